//! Order in which waiting steps get room when there is not enough for all.
//!
//! Queues go by their priority. Within one, the step whose job must end first goes first: a
//! job's objective is known from its arrival and its longest chain. Jobs that can't make theirs any
//! more yield to those that can: without that, under overload all work goes to jobs that just
//! miss it.

use std::cmp::Reverse;
use std::time::Duration;

use super::slack::patience;
use super::slack::RunTimes;
use crate::identity::StepKey;
use crate::ledger::JobLedger;

/// A step that may start, with what its place in the order depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingStep {
    /// The step.
    pub key: StepKey,
    /// Priority of its queue; 0 comes first.
    pub priority: u64,
    /// When its job should end, in the leader's time of day.
    pub deadline_ms: u64,
    /// Whether its job can't make its objective any more.
    pub hopeless: bool,
    /// How long it may wait for a worker where it presses on nobody.
    pub patience: Duration,
    /// Number of tasks of the step.
    pub tasks: u32,
}

/// Added to the rank of what can't make its objective any more.
const HOPELESS_RANK: u64 = 1 << 60;

/// Rank of a step's tasks where not all can work; those with less go first.
pub fn step_urgency(
    ledger: &JobLedger,
    run_times: &RunTimes,
    key: StepKey,
    now_ms: u64,
) -> Option<u64> {
    let waiting = waiting_step(ledger, run_times, key, now_ms)?;
    let rank = waiting.deadline_ms.min(HOPELESS_RANK - 1);
    Some(rank + u64::from(waiting.hopeless) * HOPELESS_RANK)
}

fn waiting_step(
    ledger: &JobLedger,
    run_times: &RunTimes,
    key: StepKey,
    now_ms: u64,
) -> Option<WaitingStep> {
    let job = ledger.job(key.job)?;
    let spec = job.spec.as_ref()?;
    let step = ledger.step_spec(key)?;
    let queue = ledger.catalog().queue(&job.queue);
    let deadline_ms = run_times.deadline_ms(ledger, job, spec, key);
    let left_ms = run_times.chain_ms(&job.queue, spec, usize::from(key.step));
    Some(WaitingStep {
        key,
        priority: queue.map_or(u64::MAX, |queue| queue.priority),
        deadline_ms,
        hopeless: now_ms as f64 + left_ms > deadline_ms as f64,
        patience: patience(deadline_ms, now_ms, left_ms),
        tasks: step.tasks,
    })
}

/// All steps that may start, the most urgent first.
pub fn waiting_steps(ledger: &JobLedger, run_times: &RunTimes, now_ms: u64) -> Vec<WaitingStep> {
    let ready = ledger.ready_steps();
    let steps = ready.filter_map(|(key, _)| waiting_step(ledger, run_times, key, now_ms));
    let mut steps: Vec<WaitingStep> = steps.collect();
    steps.sort_by_key(|step| {
        let urgency = (step.priority, step.hopeless, step.deadline_ms);
        (urgency, Reverse(step.tasks), step.key)
    });
    steps
}
