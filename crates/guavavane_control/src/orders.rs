//! What a poll of an agent changes, and the orders that answer it.
//!
//! Both are pure functions of the replicated state and the poll, so that an order is repeated
//! until a later poll reports its effect, and a lost answer costs one poll.

use indexmap::IndexMap;

use crate::state::command::AttemptCompletion;
use crate::state::command::AttemptOutcome;
use crate::state::command::EvictionCause;
use crate::state::command::WorkerObservation;
use crate::state::job_record::task_attempt;
use crate::state::job_record::TaskCommitment;
use crate::state::job_record::TaskRecord;
use crate::state::ControlState;
use guavavane_protocol::poll::AttemptPhase;
use guavavane_protocol::poll::AttemptReport;
use guavavane_protocol::poll::TaskAttempt;
use guavavane_protocol::poll::WorkerOrder;
use guavavane_protocol::poll::WorkerPoll;

/// The observation that a poll makes of its worker.
pub fn poll_observation(poll: &WorkerPoll) -> WorkerObservation {
    WorkerObservation {
        worker: poll.worker.clone(),
        data_centre: poll.data_centre.clone(),
        rack: poll.rack.clone(),
        boot: poll.boot,
        capacity: poll.capacity,
    }
}

/// The ends of attempts that a poll reports and the state does not have yet.
pub fn reported_completions(state: &ControlState, poll: &WorkerPoll) -> Vec<AttemptCompletion> {
    poll.attempts
        .iter()
        .filter(|report| is_held_here(state, poll, report))
        .filter_map(attempt_completion)
        .collect()
}

fn is_held_here(state: &ControlState, poll: &WorkerPoll, report: &AttemptReport) -> bool {
    state
        .jobs()
        .task_of_attempt(report.attempt)
        .and_then(TaskRecord::commitment)
        .is_some_and(|held| {
            // The fencing number is not compared: task and attempt name one placement, and an
            // agent that was told to end an attempt which never started does not know it.
            held.worker == poll.worker && held.boot == poll.boot
        })
}

fn attempt_completion(report: &AttemptReport) -> Option<AttemptCompletion> {
    let outcome = match report.phase {
        AttemptPhase::Running | AttemptPhase::Checkpointed => return None,
        AttemptPhase::Stopped => AttemptOutcome::Stopped,
        AttemptPhase::Finished => AttemptOutcome::Finished,
        AttemptPhase::Failed => AttemptOutcome::Failed,
        AttemptPhase::NotStarted => AttemptOutcome::NotStarted,
    };
    Some(AttemptCompletion {
        attempt: report.attempt,
        outcome,
        progress_ms: report.checkpoint_ms,
    })
}

/// What an answer renews and orders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollAnswer {
    /// Attempts whose leases are renewed.
    pub renewed: Vec<TaskAttempt>,
    /// Orders.
    pub orders: Vec<WorkerOrder>,
}

/// Answers a poll from a state that has the poll's observation and ends.
pub fn answer_poll(state: &ControlState, poll: &WorkerPoll, permit_ms: u32) -> PollAnswer {
    let mut answer = PollAnswer::default();
    let Some(worker) = state.workers().get(&poll.worker) else {
        return answer;
    };
    if worker.boot != poll.boot {
        return answer;
    }
    let out = state.data_centres().is_out(&worker.data_centre);
    let reports: IndexMap<TaskAttempt, &AttemptReport> = poll
        .attempts
        .iter()
        .map(|report| (report.attempt, report))
        .collect();
    for task in &worker.tasks {
        let record = state.jobs().task(*task).expect("a committed task is kept");
        let held = record
            .commitment()
            .expect("a worker lists committed tasks only");
        let attempt = task_attempt(*task, record);
        let context = HeldAttempt {
            attempt,
            record,
            held,
        };
        if reports.contains_key(&attempt) {
            context.answer_running(&mut answer);
        } else {
            context.answer_unreported(out, permit_ms, &mut answer);
        }
    }
    for report in &poll.attempts {
        if !is_held_here(state, poll, report) {
            answer.orders.push(unheld_order(report));
        }
    }
    answer
}

/// Calls off the starts of attempts that an earlier poll reported as running.
///
/// Such an attempt has ended without a report; started again, it could run twice.
pub fn call_off_lost(orders: &mut [WorkerOrder], was_running: impl Fn(TaskAttempt) -> bool) {
    for order in orders {
        if let WorkerOrder::Start { attempt, .. } = order {
            let attempt = *attempt;
            if was_running(attempt) {
                *order = WorkerOrder::Stop { attempt };
            }
        }
    }
}

struct HeldAttempt<'a> {
    attempt: TaskAttempt,
    record: &'a TaskRecord,
    held: &'a TaskCommitment,
}

impl HeldAttempt<'_> {
    fn answer_running(&self, answer: &mut PollAnswer) {
        answer.renewed.push(self.attempt);
        answer.orders.extend(self.eviction_order());
    }

    /// An attempt that the agent does not report has not started there.
    fn answer_unreported(&self, out: bool, permit_ms: u32, answer: &mut PollAnswer) {
        // An order to end an attempt that never started makes the agent refuse its start for
        // good, and report that.
        let attempt = self.attempt;
        let order = match self.eviction_order() {
            Some(order) => order,
            None if out => WorkerOrder::Stop { attempt },
            None => WorkerOrder::Start {
                attempt,
                fence: self.held.fence,
                program: self.held.program.clone(),
                demand: self.held.demand,
                permit_ms,
                resume_ms: self.record.progress_ms,
            },
        };
        answer.orders.push(order);
    }

    fn eviction_order(&self) -> Option<WorkerOrder> {
        let attempt = self.attempt;
        match self.held.eviction? {
            EvictionCause::Cancelled => Some(WorkerOrder::Stop { attempt }),
            _ => Some(WorkerOrder::Evict { attempt }),
        }
    }
}

/// The order for an attempt that the worker has and the state does not hold there.
fn unheld_order(report: &AttemptReport) -> WorkerOrder {
    let attempt = report.attempt;
    match report.phase {
        AttemptPhase::Running | AttemptPhase::Checkpointed => WorkerOrder::Stop { attempt },
        AttemptPhase::Stopped
        | AttemptPhase::Finished
        | AttemptPhase::Failed
        | AttemptPhase::NotStarted => WorkerOrder::Forget { attempt },
    }
}
