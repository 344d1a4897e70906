//! Orders the waiting steps for a scheduling pass.
//!
//! Queues are served by priority, and the steps of equal priority by earliest deadline first
//! (EDF). The deadline of a job follows from its submission time and its critical path. A job that
//! can no longer meet its deadline is infeasible and yields to those that can, because plain EDF
//! under overload spends all capacity on jobs that just miss their deadlines. A long-running step is
//! never infeasible: it has no end that could be late, and each moment in which its tasks run counts.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexMap;

use super::slack::wanted_share_wait;
use super::slack::CriticalPaths;
use super::slack::RunTimes;
use crate::identity::JobKey;
use crate::identity::StepKey;
use crate::job::StepKind;
use crate::ledger::JobLedger;

/// Step that may start, with the criteria of the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingStep {
    /// Identity of the step.
    pub key: StepKey,
    /// Priority of the queue; 0 is the highest.
    pub priority: u64,
    /// Deadline of the job, in milliseconds since 1970 on the leader's clock.
    pub deadline_ms: u64,
    /// Whether the remaining critical path ends after the deadline; never for a long-running step.
    pub infeasible: bool,
    /// Time for which best-effort tasks of the step insist on the wanted CPU share.
    pub wanted_share_wait: Duration,
    /// Number of tasks of the step.
    pub tasks: u32,
}

/// Added to the rank of infeasible steps; above any deadline in milliseconds.
const INFEASIBLE_RANK: u64 = 1 << 60;

/// Rank of a step's tasks when processor time is short; the lowest comes first.
pub fn step_rank(
    ledger: &JobLedger,
    run_times: &RunTimes,
    key: StepKey,
    now_ms: u64,
) -> Option<u64> {
    let waiting = waiting_step(ledger, run_times, &mut JobPaths::new(), key, now_ms)?;
    let rank = waiting.deadline_ms.min(INFEASIBLE_RANK - 1);
    Some(rank + u64::from(waiting.infeasible) * INFEASIBLE_RANK)
}

/// Critical paths of the jobs that a pass has met, so that they are computed once for all steps of a
/// job.
type JobPaths = IndexMap<JobKey, CriticalPaths>;

fn waiting_step(
    ledger: &JobLedger,
    run_times: &RunTimes,
    paths: &mut JobPaths,
    key: StepKey,
    now_ms: u64,
) -> Option<WaitingStep> {
    let job = ledger.job(key.job)?;
    let spec = job.spec.as_ref()?;
    let step = ledger.step_spec(key)?;
    let queue = ledger.catalog().queue(&job.queue);
    let paths = paths
        .entry(key.job)
        .or_insert_with(|| run_times.critical_paths(&job.queue, spec));
    let deadline_ms = paths.deadline_ms(ledger, job, spec, key);
    let remaining_ms = paths.from_step_ms(key.step);
    Some(WaitingStep {
        key,
        priority: queue.map_or(u64::MAX, |queue| queue.priority),
        deadline_ms,
        infeasible: step.kind == StepKind::Finite
            && now_ms as f64 + remaining_ms > deadline_ms as f64,
        wanted_share_wait: wanted_share_wait(deadline_ms, now_ms, remaining_ms),
        tasks: step.tasks,
    })
}

/// Returns all steps that may start, in the order in which they are served. Of equals, the step
/// with most tasks comes first.
pub fn waiting_steps(ledger: &JobLedger, run_times: &RunTimes, now_ms: u64) -> Vec<WaitingStep> {
    let mut paths = JobPaths::new();
    let ready = ledger.ready_steps();
    let steps =
        ready.filter_map(|(key, _)| waiting_step(ledger, run_times, &mut paths, key, now_ms));
    let mut steps: Vec<WaitingStep> = steps.collect();
    steps.sort_by_key(|step| {
        let rank = (step.priority, step.infeasible, step.deadline_ms);
        (rank, Reverse(step.tasks), step.key)
    });
    steps
}
