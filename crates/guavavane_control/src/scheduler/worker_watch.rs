//! Watches workers that fall silent.
//!
//! A silent worker gets nothing new at once. Its attempts are ended only after its lease has
//! run out, and a worker without attempts is forgotten after a while.

use std::time::Duration;

use indexmap::IndexSet;

use crate::context::ControlContext;
use crate::scheduler::commit_change;
use crate::scheduler::RoundBreak;
use crate::state::command::AttemptEnd;
use crate::state::command::ControlCommand;
use crate::state::command::EndCause;
use crate::state::job_record::task_attempt;
use crate::state::ControlState;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;
use guavavane_placement::prelude::PlacementCore;
use guavavane_placement::prelude::PlacementEvent;
use guavavane_placement::prelude::WorkerRecord;

/// Polls that a worker may miss before it gets nothing new.
const MISSED_POLLS: u32 = 4;

/// Silence after which a worker without attempts is forgotten.
const FORGET_AFTER: Duration = Duration::from_millis(60_000);

/// Time between two looks at all workers.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Workers that are silent.
#[derive(Debug, Default)]
pub(super) struct WorkerWatch {
    silent: IndexSet<WorkerName>,
    followed_at: Option<BootTime>,
}

/// One worker as the watch sees it.
struct WatchedWorker {
    record: WorkerRecord,
    tasks: Vec<TaskId>,
}

impl WorkerWatch {
    /// Tells the policy who is silent and ends attempts whose lease has run out.
    pub(super) fn follow(
        &mut self,
        context: &ControlContext,
        now: BootTime,
        core: &mut PlacementCore,
    ) -> Result<(), RoundBreak> {
        let followed = self.followed_at;
        if followed.is_some_and(|at| now.saturating_since(at) < WATCH_INTERVAL) {
            return Ok(());
        }
        self.followed_at = Some(now);
        let workers = context.quorum.local(watched_workers);
        let silence_limit = context.settings.poll * MISSED_POLLS;
        for worker in workers {
            let name = worker.record.name.clone();
            let silence = context
                .with_memory(|memory| memory.leases.silence(now, &name))
                .ok_or(RoundBreak::NotLeader)?;
            if silence > silence_limit {
                self.note_silence(context, now, core, &worker, silence)?;
            } else if self.silent.swap_remove(&name) {
                core.apply_event(now, PlacementEvent::WorkerUp(worker.record));
            }
        }
        self.reopen_ended(context)
    }

    fn note_silence(
        &mut self,
        context: &ControlContext,
        now: BootTime,
        core: &mut PlacementCore,
        worker: &WatchedWorker,
        silence: Duration,
    ) -> Result<(), RoundBreak> {
        let name = &worker.record.name;
        if self.silent.insert(name.clone()) {
            tracing::warn!(event = "worker_silent", worker = %name, silence_ms = silence.as_millis() as u64);
            core.apply_event(now, PlacementEvent::WorkerGone(name.clone()));
        }
        if worker.tasks.is_empty() {
            if silence > FORGET_AFTER {
                self.forget(context, name)?;
            }
            return Ok(());
        }
        let closed = context
            .with_memory(|memory| memory.leases.close_expired(now, name))
            .ok_or(RoundBreak::NotLeader)?;
        if closed {
            end_attempts(context, worker)?;
        }
        Ok(())
    }

    fn forget(&mut self, context: &ControlContext, name: &WorkerName) -> Result<(), RoundBreak> {
        commit_change(context, ControlCommand::ForgetWorker(name.clone()))?;
        self.silent.swap_remove(name);
        context.with_memory(|memory| memory.leases.forget(name));
        tracing::info!(event = "worker_forgotten", worker = %name);
        Ok(())
    }

    /// Serves closed workers again once none of their attempts is left.
    fn reopen_ended(&self, context: &ControlContext) -> Result<(), RoundBreak> {
        let closed: Vec<WorkerName> = context
            .with_memory(|memory| memory.leases.closed().cloned().collect())
            .ok_or(RoundBreak::NotLeader)?;
        for name in closed {
            let idle = context.quorum.local(|state| {
                let worker = state.workers().get(&name);
                worker.is_none_or(|worker| worker.tasks.is_empty())
            });
            if idle {
                context.with_memory(|memory| memory.leases.reopen(&name));
            }
        }
        Ok(())
    }
}

fn watched_workers(state: &ControlState) -> Vec<WatchedWorker> {
    state
        .workers()
        .iter()
        .map(|(name, worker)| WatchedWorker {
            record: WorkerRecord {
                name: name.clone(),
                data_centre: worker.data_centre.clone(),
                rack: worker.rack.clone(),
                capacity: worker.capacity,
            },
            tasks: worker.tasks.iter().copied().collect(),
        })
        .collect()
}

fn end_attempts(context: &ControlContext, worker: &WatchedWorker) -> Result<(), RoundBreak> {
    for task in &worker.tasks {
        let end = context.quorum.local(|state| {
            let record = state.jobs().task(*task)?;
            Some(AttemptEnd {
                attempt: task_attempt(*task, record),
                cause: EndCause::LeaseExpired,
                progress_ms: record.progress_ms,
            })
        });
        let Some(end) = end else {
            continue;
        };
        tracing::warn!(
            event = "lease_expired",
            worker = %worker.record.name,
            task = %end.attempt.task,
            attempt = %end.attempt.attempt,
        );
        commit_change(context, ControlCommand::EndAttempt(end))?;
    }
    Ok(())
}
