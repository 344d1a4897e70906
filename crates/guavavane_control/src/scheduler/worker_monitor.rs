//! Detects workers that no longer poll.
//!
//! A worker that has missed [`MISSED_POLLS_MAX`] polls is silent: the policy places nothing more on
//! it. Its attempts are ended only after its lease has expired, since they may run until then. A
//! silent worker without attempts is forgotten after [`FORGET_TIMEOUT`].

use std::time::Duration;

use indexmap::IndexSet;

use crate::context::ControlContext;
use crate::scheduler::commit_change;
use crate::scheduler::PassError;
use crate::state::command::AttemptCompletion;
use crate::state::command::AttemptOutcome;
use crate::state::command::ControlCommand;
use crate::state::job_record::task_attempt;
use crate::state::ControlState;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;
use guavavane_placement::prelude::PlacementCore;
use guavavane_placement::prelude::PlacementEvent;
use guavavane_placement::prelude::WorkerRecord;

/// Number of poll intervals without a poll after which a worker counts as silent.
const MISSED_POLLS_MAX: u32 = 4;

/// Time without a poll after which a worker without attempts is forgotten.
const FORGET_TIMEOUT: Duration = Duration::from_millis(60_000);

/// Minimum time between two checks of all workers.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Workers that are silent, and when all workers were last checked.
#[derive(Debug, Default)]
pub(super) struct WorkerMonitor {
    silent: IndexSet<WorkerName>,
    checked_at: Option<BootTime>,
}

/// Copy of a worker's record and tasks, so that the state is not borrowed during a check.
struct WorkerSnapshot {
    record: WorkerRecord,
    tasks: Vec<TaskId>,
}

impl WorkerMonitor {
    /// Reports silent workers to the policy and ends the attempts of workers whose lease has
    /// expired.
    pub(super) fn run(
        &mut self,
        context: &ControlContext,
        now: BootTime,
        core: &mut PlacementCore,
    ) -> Result<(), PassError> {
        let checked_at = self.checked_at;
        if checked_at.is_some_and(|at| now.saturating_since(at) < CHECK_INTERVAL) {
            return Ok(());
        }
        self.checked_at = Some(now);
        let workers = context.quorum.read_local(worker_snapshots);
        let silence_max = context.settings.poll_interval * MISSED_POLLS_MAX;
        for worker in workers {
            let name = worker.record.name.clone();
            let silence = context
                .with_leader_state(|leader| leader.leases.time_since_poll(now, &name))
                .ok_or(PassError::NotLeader)?;
            if silence > silence_max {
                self.handle_silence(context, now, core, &worker, silence)?;
            } else if self.silent.swap_remove(&name) {
                core.apply_event(now, PlacementEvent::WorkerUp(worker.record));
            }
        }
        self.readmit_idle_workers(context)
    }

    fn handle_silence(
        &mut self,
        context: &ControlContext,
        now: BootTime,
        core: &mut PlacementCore,
        worker: &WorkerSnapshot,
        silence: Duration,
    ) -> Result<(), PassError> {
        let name = &worker.record.name;
        if self.silent.insert(name.clone()) {
            tracing::warn!(event = "worker_silent", worker = %name, silence_ms = silence.as_millis() as u64);
            core.apply_event(now, PlacementEvent::WorkerGone(name.clone()));
        }
        if worker.tasks.is_empty() {
            if silence > FORGET_TIMEOUT {
                self.forget_worker(context, name)?;
            }
            return Ok(());
        }
        let is_expired = context
            .with_leader_state(|leader| leader.leases.mark_if_expired(now, name))
            .ok_or(PassError::NotLeader)?;
        if is_expired {
            expire_attempts(context, worker)?;
        }
        Ok(())
    }

    fn forget_worker(
        &mut self,
        context: &ControlContext,
        name: &WorkerName,
    ) -> Result<(), PassError> {
        commit_change(context, ControlCommand::ForgetWorker(name.clone()))?;
        self.silent.swap_remove(name);
        context.with_leader_state(|leader| leader.leases.forget(name));
        tracing::info!(event = "worker_forgotten", worker = %name);
        Ok(())
    }

    /// Readmits expired workers that have no committed task left.
    fn readmit_idle_workers(&self, context: &ControlContext) -> Result<(), PassError> {
        let expired_workers: Vec<WorkerName> = context
            .with_leader_state(|leader| leader.leases.expired_workers().cloned().collect())
            .ok_or(PassError::NotLeader)?;
        for name in expired_workers {
            let has_no_tasks = context.quorum.read_local(|state| {
                let worker = state.workers().get(&name);
                worker.is_none_or(|worker| worker.tasks.is_empty())
            });
            if has_no_tasks {
                context.with_leader_state(|leader| leader.leases.readmit(&name));
            }
        }
        Ok(())
    }
}

fn worker_snapshots(state: &ControlState) -> Vec<WorkerSnapshot> {
    state
        .workers()
        .iter()
        .map(|(name, worker)| WorkerSnapshot {
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

fn expire_attempts(context: &ControlContext, worker: &WorkerSnapshot) -> Result<(), PassError> {
    for task in &worker.tasks {
        let completion = context.quorum.read_local(|state| {
            let record = state.jobs().task(*task)?;
            Some(AttemptCompletion {
                attempt: task_attempt(*task, record),
                outcome: AttemptOutcome::LeaseExpired,
                progress_ms: record.progress_ms,
            })
        });
        let Some(completion) = completion else {
            continue;
        };
        tracing::warn!(
            event = "lease_expired",
            worker = %worker.record.name,
            task = %completion.attempt.task,
            attempt = %completion.attempt.attempt,
        );
        commit_change(context, ControlCommand::EndAttempt(completion))?;
    }
    Ok(())
}
