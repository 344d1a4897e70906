//! Orders the waiting steps for a scheduling pass.
//!
//! Queues are served by priority, and the steps of equal priority by earliest deadline first
//! (EDF). The deadline of a job follows from its submission time and its critical path. A job that
//! can no longer meet its deadline is infeasible and yields to those that can, because plain EDF
//! under overload spends all capacity on jobs that just miss their deadlines. Of the infeasible jobs,
//! those whose result is still useful, up to three times the objective, go before those whose result
//! is useless.
//!
//! Under overload EDF starts each job at the last moment, so that each error of an estimate makes one
//! late. Therefore a job without a run yields as it ages: for each quarter of its slack that it has
//! waited, its turn is later by its whole slack. Jobs of about the same slack are then served newest
//! quarter first, while a job with a small slack still goes before one with a large slack, and a job
//! that has started is finished by EDF. A queue of which most jobs failed lately yields to the others
//! of its priority.
//!
//! A long-running step is never infeasible: it has no end that could be late, and each
//! moment in which its tasks run counts.

use std::cmp::Reverse;
use std::time::Duration;

use super::slack::wanted_share_wait;
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
    /// Time that orders the steps of equal priority and lateness: the deadline, later for a job that
    /// has waited without a run.
    pub turn_ms: u64,
    /// Whether the remaining critical path ends after the deadline; never for a long-running step.
    pub infeasible: bool,
    /// Time until which the result of the job is useful, in milliseconds since 1970 on the leader's
    /// clock.
    pub useful_until_ms: u64,
    /// Whether the remaining critical path ends after that time; never for a long-running step or
    /// without an objective.
    pub useless: bool,
    /// Time for which best-effort tasks of the step insist on the wanted CPU share.
    pub wanted_share_wait: Duration,
    /// Number of tasks of the step.
    pub tasks: u32,
    /// Number of these tasks that wait.
    pub waiting_tasks: u32,
}

/// Multiple of the objective up to which a result is late but useful.
pub const USEFUL_OBJECTIVES: u64 = 3;

/// Number of parts of its slack that a job waits before its turn is later by the whole slack.
const SLACK_PARTS: u64 = 4;

/// Added to the rank of infeasible steps; above any deadline in milliseconds.
const INFEASIBLE_RANK: u64 = 1 << 60;

/// Rank of a step's tasks when processor time is short; the lowest comes first.
pub fn step_rank(
    ledger: &JobLedger,
    run_times: &RunTimes,
    key: StepKey,
    now_ms: u64,
) -> Option<u64> {
    let waiting = waiting_step(ledger, run_times, (key, 0), now_ms)?;
    let rank = waiting.deadline_ms.min(INFEASIBLE_RANK - 1);
    let yields = u64::from(waiting.infeasible) + u64::from(waiting.useless);
    Some(rank + yields * INFEASIBLE_RANK)
}

/// Time by which the turn of a job is later that has waited for this part of its slack.
fn yielded_ms(slack_ms: u64, waited_ms: u64) -> u64 {
    let parts = waited_ms.saturating_mul(SLACK_PARTS) / slack_ms.max(1);
    slack_ms.saturating_mul(parts)
}

fn waiting_step(
    ledger: &JobLedger,
    run_times: &RunTimes,
    (key, waiting_tasks): (StepKey, u32),
    now_ms: u64,
) -> Option<WaitingStep> {
    let job = ledger.job(key.job)?;
    let spec = job.spec.as_ref()?;
    let step = ledger.step_spec(key)?;
    let queue = ledger.catalog().queue(&job.queue);
    let (begin_ms, objective_ms) = run_times.objective_ms(ledger, job, spec, key);
    let deadline_ms = begin_ms.saturating_add(objective_ms);
    let useful_until_ms = begin_ms.saturating_add(objective_ms.saturating_mul(USEFUL_OBJECTIVES));
    let remaining_ms = run_times.critical_path_ms(&job.queue, spec, usize::from(key.step));
    let waits_unstarted = !job.started && ledger.run_holders(key.job).next().is_none();
    let turn_ms = if step.kind == StepKind::LongRunning {
        deadline_ms
    } else if waits_unstarted {
        let slack_ms = objective_ms.saturating_sub(remaining_ms as u64);
        deadline_ms.saturating_add(yielded_ms(slack_ms, now_ms.saturating_sub(begin_ms)))
    } else {
        deadline_ms.saturating_sub(remaining_ms as u64)
    };
    let is_finite = step.kind == StepKind::Finite;
    let end_ms = now_ms as f64 + remaining_ms;
    Some(WaitingStep {
        key,
        priority: queue.map_or(u64::MAX, |queue| queue.priority),
        deadline_ms,
        turn_ms,
        infeasible: is_finite && end_ms > deadline_ms as f64,
        useful_until_ms,
        useless: is_finite && objective_ms > 0 && end_ms > useful_until_ms as f64,
        wanted_share_wait: wanted_share_wait(deadline_ms, now_ms, remaining_ms),
        tasks: step.tasks,
        waiting_tasks,
    })
}

/// Returns all steps that may start, in the order in which they are served. Of equals, the step
/// with most tasks comes first.
pub fn waiting_steps(ledger: &JobLedger, run_times: &RunTimes, now_ms: u64) -> Vec<WaitingStep> {
    let ready = ledger.ready_steps();
    let steps = ready.filter_map(|ready| waiting_step(ledger, run_times, ready, now_ms));
    let mut steps: Vec<WaitingStep> = steps.collect();
    steps.sort_by_key(|step| {
        let lateness = (step.useless, step.infeasible);
        let rank = (step.priority, lateness, step.turn_ms);
        (rank, Reverse(step.tasks), step.key)
    });
    steps
}

/// Moves the steps of these jobs behind all others of their priority.
pub fn yield_steps(steps: &mut [WaitingStep], yields: impl Fn(JobKey) -> bool) {
    steps.sort_by_key(|step| (step.priority, yields(step.key.job)));
}
