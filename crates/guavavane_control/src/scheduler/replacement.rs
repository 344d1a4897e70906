//! Replaces tasks of services: the successor runs first, then the old task is evicted.
//!
//! Tasks leave a data centre that is out as fast as the policy says. A changed spec is rolled
//! out one task at a time for each service. An old task is evicted without a successor running
//! only after a limit, since operators have taken its data centre out. Tasks of a service that
//! share a worker, because there were few when they were placed, are spread one at a time.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::context::ControlContext;
use crate::scheduler::commit_change;
use crate::scheduler::feed::running_for;
use crate::scheduler::spread::crowded_attempts;
use crate::scheduler::RoundBreak;
use crate::state::command::ControlCommand;
use crate::state::command::EvictionCause;
use crate::state::command::TaskEviction;
use crate::state::job_record::task_attempt;
use crate::state::job_record::TaskCommitment;
use crate::state::job_record::TaskRecord;
use crate::state::ControlState;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::JobId;
use guavavane_protocol::poll::TaskAttempt;

/// Time that a successor runs before the old task is evicted: its endpoint must be announced.
const SUCCESSOR_SETTLED: Duration = Duration::from_millis(1_500);

/// Longest wait for a successor out of a data centre that is out.
const SUCCESSOR_LIMIT: Duration = Duration::from_millis(20_000);

/// Time between two looks at the spread of services.
const SPREAD_INTERVAL: Duration = Duration::from_millis(5_000);

/// Replacements under way.
#[derive(Debug, Default)]
pub(super) struct ReplacementPlan {
    /// Tasks with a successor, and when it was asked for; `None` if that is not known.
    replaced: IndexMap<TaskAttempt, Option<BootTime>>,
    /// Services whose tasks may run an older spec.
    revised: IndexSet<JobId>,
    /// When the spread of services was last looked at.
    spread_at: Option<BootTime>,
}

impl ReplacementPlan {
    /// The replacements that a state has under way.
    pub(super) fn of_state(state: &ControlState) -> Self {
        let replaced = state
            .jobs()
            .tasks()
            .filter(|(_, record)| successor_of(record).is_some())
            .map(|(task, record)| (task_attempt(task, record), None))
            .collect();
        let revised = state
            .jobs()
            .jobs()
            .filter(|(_, job)| job.origin.is_service() && job.revision > 0)
            .map(|(id, _)| id)
            .collect();
        Self {
            replaced,
            revised,
            spread_at: None,
        }
    }

    /// Takes note of services whose spec changed.
    pub(super) fn revise(&mut self, jobs: Vec<JobId>) {
        self.revised.extend(jobs);
    }

    /// Takes note of a task that gets a successor.
    pub(super) fn expect_successor(&mut self, now: BootTime, attempt: TaskAttempt) {
        self.replaced.insert(attempt, Some(now));
    }

    /// Evicts tasks whose successor runs and starts the next replacements.
    pub(super) fn advance(
        &mut self,
        context: &ControlContext,
        now: BootTime,
    ) -> Result<(), RoundBreak> {
        self.evict_replaced(context, now)?;
        self.roll_revised(context, now)?;
        self.spread_services(context, now)
    }

    fn spread_services(
        &mut self,
        context: &ControlContext,
        now: BootTime,
    ) -> Result<(), RoundBreak> {
        let last = *self.spread_at.get_or_insert(now);
        if now.saturating_since(last) < SPREAD_INTERVAL {
            return Ok(());
        }
        self.spread_at = Some(now);
        for attempt in context.quorum.local(crowded_attempts) {
            tracing::info!(event = "task_replaced", task = %attempt.task, reason = "shared-worker");
            commit_change(context, ControlCommand::ReplaceTask(attempt))?;
            self.expect_successor(now, attempt);
        }
        Ok(())
    }

    fn evict_replaced(
        &mut self,
        context: &ControlContext,
        now: BootTime,
    ) -> Result<(), RoundBreak> {
        let attempts: Vec<TaskAttempt> = self.replaced.keys().copied().collect();
        for attempt in attempts {
            let asked = self.replaced.get(&attempt).copied().flatten();
            let since = *self.replaced[&attempt].get_or_insert(now);
            let waited = now.saturating_since(asked.unwrap_or(since));
            match self.step(context, now, attempt, waited) {
                ReplacementStep::Wait => {}
                ReplacementStep::Over => drop(self.replaced.swap_remove(&attempt)),
                ReplacementStep::Evict => {
                    let eviction = TaskEviction {
                        attempt,
                        cause: EvictionCause::Replaced,
                    };
                    commit_change(context, ControlCommand::EvictTask(eviction))?;
                    self.replaced.swap_remove(&attempt);
                }
            }
        }
        Ok(())
    }

    fn step(
        &self,
        context: &ControlContext,
        now: BootTime,
        attempt: TaskAttempt,
        waited: Duration,
    ) -> ReplacementStep {
        let view = context
            .quorum
            .local(|state| SuccessorView::of(state, attempt));
        let Some(view) = view else {
            return ReplacementStep::Over;
        };
        let settled = view
            .successor
            .and_then(|successor| running_for(context, now, successor))
            .is_some_and(|running| running >= SUCCESSOR_SETTLED);
        if settled || (view.out && waited >= SUCCESSOR_LIMIT) {
            ReplacementStep::Evict
        } else {
            ReplacementStep::Wait
        }
    }

    fn roll_revised(&mut self, context: &ControlContext, now: BootTime) -> Result<(), RoundBreak> {
        for job in self.revised.clone() {
            let next = context.quorum.local(|state| next_outdated(state, job));
            match next {
                NextOutdated::None => drop(self.revised.swap_remove(&job)),
                NextOutdated::Busy => {}
                NextOutdated::Task(attempt) => {
                    tracing::info!(event = "task_replaced", task = %attempt.task, %job, reason = "spec-changed");
                    commit_change(context, ControlCommand::ReplaceTask(attempt))?;
                    self.expect_successor(now, attempt);
                }
            }
        }
        Ok(())
    }
}

enum ReplacementStep {
    Wait,
    Evict,
    Over,
}

/// An old task and its successor.
struct SuccessorView {
    successor: Option<TaskAttempt>,
    out: bool,
}

impl SuccessorView {
    /// `None` if the attempt has ended or is being evicted.
    fn of(state: &ControlState, attempt: TaskAttempt) -> Option<Self> {
        let record = state.jobs().current(attempt)?;
        let held = record.commitment()?;
        if held.evicting.is_some() {
            return None;
        }
        let worker = state.workers().get(&held.worker)?;
        let successor = held.successor.and_then(|task| {
            let record = state.jobs().task(task)?;
            Some(task_attempt(task, record))
        });
        Some(Self {
            successor,
            out: state.data_centres().is_out(&worker.data_centre),
        })
    }
}

enum NextOutdated {
    None,
    /// Another task of the service is being replaced, or waits for a worker.
    Busy,
    Task(TaskAttempt),
}

fn next_outdated(state: &ControlState, job: JobId) -> NextOutdated {
    let Some(record) = state.jobs().job(job).filter(|job| !job.cancelled) else {
        return NextOutdated::None;
    };
    let mut next = NextOutdated::None;
    for task in &record.tasks {
        let Some(task_record) = state.jobs().task(*task) else {
            continue;
        };
        let Some(held) = task_record.commitment() else {
            return NextOutdated::Busy;
        };
        if held.successor.is_some() || held.evicting.is_some() {
            return NextOutdated::Busy;
        }
        if held.revision < record.revision && matches!(next, NextOutdated::None) {
            next = NextOutdated::Task(task_attempt(*task, task_record));
        }
    }
    next
}

fn successor_of(record: &TaskRecord) -> Option<guavavane_model::prelude::TaskId> {
    record
        .commitment()
        .and_then(|held: &TaskCommitment| held.successor)
}
