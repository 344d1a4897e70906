//! Replaces tasks of services: a successor starts first, then the replaced task is evicted.
//!
//! A task is replaced for one of three reasons:
//!
//! - Its data centre is out of service. The policy sets the rate of these replacements. Since
//!   operators want the data centre empty, the task is evicted after [`SUCCESSOR_WAIT_MAX`] even
//!   if no successor runs.
//! - The spec of its service changed. Each service rolls out one task at a time.
//! - It shares a worker with another task of its service, because there were few workers when the
//!   tasks were placed. Each service moves one task at a time.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::context::ControlContext;
use crate::scheduler::commit_change;
use crate::scheduler::placement_events::running_time;
use crate::scheduler::spread::colocated_attempts;
use crate::scheduler::PassError;
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

/// Minimum time that a successor runs before the replaced task is evicted: entries must learn of
/// the successor's endpoint first.
const SUCCESSOR_RUNNING_MIN: Duration = Duration::from_millis(1_500);

/// Maximum wait for a successor of a task whose data centre is out of service.
const SUCCESSOR_WAIT_MAX: Duration = Duration::from_millis(20_000);

/// Time between two searches for tasks of a service that share a worker.
const SPREAD_CHECK_INTERVAL: Duration = Duration::from_millis(5_000);

/// Replacements that are in progress or due.
#[derive(Debug, Default)]
pub(super) struct ReplacementController {
    /// Attempts with a successor, and when the successor was requested; `None` after a change of
    /// leaders, until the next pass sets it.
    replaced: IndexMap<TaskAttempt, Option<BootTime>>,
    /// Services whose tasks may run an older revision of the spec.
    revised: IndexSet<JobId>,
    /// Time of the last search for tasks that share a worker.
    spread_checked_at: Option<BootTime>,
}

impl ReplacementController {
    /// Restores the replacements in progress from the replicated state, and lists every service
    /// whose spec has ever changed.
    pub(super) fn from_state(state: &ControlState) -> Self {
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
            spread_checked_at: None,
        }
    }

    /// Adds services whose spec changed.
    pub(super) fn add_revised_services(&mut self, jobs: Vec<JobId>) {
        self.revised.extend(jobs);
    }

    /// Records that a successor of this attempt was requested.
    pub(super) fn record_replacement(&mut self, now: BootTime, attempt: TaskAttempt) {
        self.replaced.insert(attempt, Some(now));
    }

    /// Evicts attempts whose successor is ready and starts the next replacements.
    pub(super) fn run(&mut self, context: &ControlContext, now: BootTime) -> Result<(), PassError> {
        self.evict_replaced_tasks(context, now)?;
        self.roll_out_revised_specs(context, now)?;
        self.spread_colocated_tasks(context, now)
    }

    fn spread_colocated_tasks(
        &mut self,
        context: &ControlContext,
        now: BootTime,
    ) -> Result<(), PassError> {
        let last_check = *self.spread_checked_at.get_or_insert(now);
        if now.saturating_since(last_check) < SPREAD_CHECK_INTERVAL {
            return Ok(());
        }
        self.spread_checked_at = Some(now);
        for attempt in context.quorum.read_local(colocated_attempts) {
            tracing::info!(event = "task_replaced", task = %attempt.task, reason = "shared-worker");
            commit_change(context, ControlCommand::ReplaceTask(attempt))?;
            self.record_replacement(now, attempt);
        }
        Ok(())
    }

    fn evict_replaced_tasks(
        &mut self,
        context: &ControlContext,
        now: BootTime,
    ) -> Result<(), PassError> {
        let attempts: Vec<TaskAttempt> = self.replaced.keys().copied().collect();
        for attempt in attempts {
            let requested_at = self.replaced.get(&attempt).copied().flatten();
            let first_seen = *self.replaced[&attempt].get_or_insert(now);
            let waited = now.saturating_since(requested_at.unwrap_or(first_seen));
            match self.next_action(context, now, attempt, waited) {
                ReplacementAction::Wait => {}
                ReplacementAction::Forget => drop(self.replaced.swap_remove(&attempt)),
                ReplacementAction::Evict => {
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

    fn next_action(
        &self,
        context: &ControlContext,
        now: BootTime,
        attempt: TaskAttempt,
        waited: Duration,
    ) -> ReplacementAction {
        let replacement = context
            .quorum
            .read_local(|state| Replacement::find(state, attempt));
        let Some(replacement) = replacement else {
            return ReplacementAction::Forget;
        };
        let successor_ready = replacement
            .successor
            .and_then(|successor| running_time(context, now, successor))
            .is_some_and(|running| running >= SUCCESSOR_RUNNING_MIN);
        if successor_ready || (replacement.data_centre_is_out && waited >= SUCCESSOR_WAIT_MAX) {
            ReplacementAction::Evict
        } else {
            ReplacementAction::Wait
        }
    }

    fn roll_out_revised_specs(
        &mut self,
        context: &ControlContext,
        now: BootTime,
    ) -> Result<(), PassError> {
        for job in self.revised.clone() {
            let rollout = context
                .quorum
                .read_local(|state| next_rollout_step(state, job));
            match rollout {
                RolloutStep::Done => drop(self.revised.swap_remove(&job)),
                RolloutStep::InProgress => {}
                RolloutStep::Replace(attempt) => {
                    tracing::info!(event = "task_replaced", task = %attempt.task, %job, reason = "spec-changed");
                    commit_change(context, ControlCommand::ReplaceTask(attempt))?;
                    self.record_replacement(now, attempt);
                }
            }
        }
        Ok(())
    }
}

enum ReplacementAction {
    Wait,
    Evict,
    /// The attempt has ended or is being evicted: stop tracking it.
    Forget,
}

/// Successor of a committed attempt, and whether the attempt's data centre is out of service.
struct Replacement {
    successor: Option<TaskAttempt>,
    data_centre_is_out: bool,
}

impl Replacement {
    /// Returns `None` if the attempt has ended or is being evicted.
    fn find(state: &ControlState, attempt: TaskAttempt) -> Option<Self> {
        let record = state.jobs().task_of_attempt(attempt)?;
        let commitment = record.commitment()?;
        if commitment.eviction.is_some() {
            return None;
        }
        let worker = state.workers().get(&commitment.worker)?;
        let successor = commitment.successor.and_then(|task| {
            let record = state.jobs().task(task)?;
            Some(task_attempt(task, record))
        });
        Some(Self {
            successor,
            data_centre_is_out: state.data_centres().is_out(&worker.data_centre),
        })
    }
}

/// Next step of the rollout of a service's spec.
enum RolloutStep {
    /// All tasks run the current spec, or the service is cancelled.
    Done,
    /// Another task of the service is being replaced, or waits for a worker.
    InProgress,
    /// This attempt runs an older spec and is replaced next.
    Replace(TaskAttempt),
}

fn next_rollout_step(state: &ControlState, job: JobId) -> RolloutStep {
    let Some(record) = state.jobs().job(job).filter(|job| !job.cancelled) else {
        return RolloutStep::Done;
    };
    let mut rollout = RolloutStep::Done;
    for task in &record.tasks {
        let Some(task_record) = state.jobs().task(*task) else {
            continue;
        };
        let Some(commitment) = task_record.commitment() else {
            return RolloutStep::InProgress;
        };
        if commitment.successor.is_some() || commitment.eviction.is_some() {
            return RolloutStep::InProgress;
        }
        if commitment.revision < record.revision && matches!(rollout, RolloutStep::Done) {
            rollout = RolloutStep::Replace(task_attempt(*task, task_record));
        }
    }
    rollout
}

fn successor_of(record: &TaskRecord) -> Option<guavavane_model::prelude::TaskId> {
    record
        .commitment()
        .and_then(|commitment: &TaskCommitment| commitment.successor)
}
