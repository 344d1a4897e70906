//! Order in which waiting steps get room when there is not enough for all.
//!
//! Queues go by their priority. Within one, the step whose job must end first goes first: a
//! job's objective is known from its arrival and its longest chain. Jobs that have missed
//! theirs yield to those that have not.

use std::cmp::Reverse;

use crate::identity::StepKey;
use crate::job::JobSpec;
use crate::ledger::JobLedger;
use crate::ledger::JobRecord;

/// Objective of jobs in queues that the catalog no longer has.
const DEFAULT_OBJECTIVE_MS: u64 = 10_000;

/// A step that may start, with what its place in the order depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingStep {
    /// The step.
    pub key: StepKey,
    /// Priority of its queue; 0 comes first.
    pub priority: u64,
    /// When its job should end, in the leader's time of day.
    pub deadline_ms: u64,
    /// Number of tasks of the step.
    pub tasks: u32,
}

/// When a job should end, in the leader's time of day.
fn deadline_ms(ledger: &JobLedger, job: &JobRecord, spec: &JobSpec, key: StepKey) -> u64 {
    let begin = spec
        .schedule
        .map_or(job.accepted_ms, |schedule| schedule.due_ms(key.occurrence));
    let queue = ledger.catalog().queue(&job.queue);
    let objective = queue.map_or(DEFAULT_OBJECTIVE_MS, |q| q.objective_ms(spec.chain_ms()));
    begin.saturating_add(objective)
}

/// All steps that may start, the most urgent first.
pub fn waiting_steps(ledger: &JobLedger, now_ms: u64) -> Vec<WaitingStep> {
    let mut steps = Vec::new();
    for (key, _) in ledger.ready_steps() {
        let Some(job) = ledger.job(key.job) else {
            continue;
        };
        let (Some(spec), Some(step)) = (&job.spec, ledger.step_spec(key)) else {
            continue;
        };
        let queue = ledger.catalog().queue(&job.queue);
        let deadline_ms = deadline_ms(ledger, job, spec, key);
        steps.push(WaitingStep {
            key,
            priority: queue.map_or(u64::MAX, |queue| queue.priority),
            deadline_ms,
            tasks: step.tasks,
        });
    }
    let late = |step: &WaitingStep| step.deadline_ms < now_ms;
    steps.sort_by_key(|step| {
        let urgency = (step.priority, late(step), step.deadline_ms);
        (urgency, Reverse(step.tasks), step.key)
    });
    steps
}
