//! Computes the state changes that an agent's poll reports, and the orders in the reply.
//!
//! Both are pure functions of the replicated state and the poll. An order is therefore repeated
//! until a later poll reports its effect, and a lost reply delays it by one poll only.

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

/// Returns the description of the worker in a poll.
pub fn poll_observation(poll: &WorkerPoll) -> WorkerObservation {
    WorkerObservation {
        worker: poll.worker.clone(),
        data_centre: poll.data_centre.clone(),
        rack: poll.rack.clone(),
        boot: poll.boot,
        capacity: poll.capacity,
    }
}

/// Returns the ended attempts of a poll that the state still has as committed to this worker.
pub fn reported_completions(state: &ControlState, poll: &WorkerPoll) -> Vec<AttemptCompletion> {
    poll.attempts
        .iter()
        .filter(|report| is_committed_here(state, poll, report))
        .filter_map(attempt_completion)
        .collect()
}

fn is_committed_here(state: &ControlState, poll: &WorkerPoll, report: &AttemptReport) -> bool {
    state
        .jobs()
        .task_of_attempt(report.attempt)
        .and_then(TaskRecord::commitment)
        .is_some_and(|commitment| {
            // The fencing token is not compared: task and attempt identify one placement, and an
            // agent that was told to stop an attempt before it started does not know the token.
            commitment.worker == poll.worker && commitment.boot == poll.boot
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

/// Renewed attempts and orders in the reply to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollAnswer {
    /// Attempts that may run for another lease duration.
    pub renewed: Vec<TaskAttempt>,
    /// Orders to the agent.
    pub orders: Vec<WorkerOrder>,
}

/// Answers a poll; the state must have the poll's description of the worker and its completions.
pub fn answer_poll(state: &ControlState, poll: &WorkerPoll, permit_ms: u32) -> PollAnswer {
    let mut answer = PollAnswer::default();
    let Some(worker) = state.workers().get(&poll.worker) else {
        return answer;
    };
    if worker.boot != poll.boot {
        return answer;
    }
    let data_centre_is_out = state.data_centres().is_out(&worker.data_centre);
    let reports: IndexMap<TaskAttempt, &AttemptReport> = poll
        .attempts
        .iter()
        .map(|report| (report.attempt, report))
        .collect();
    for task in &worker.tasks {
        let record = state.jobs().task(*task).expect("a committed task is kept");
        let commitment = record
            .commitment()
            .expect("a worker lists committed tasks only");
        let attempt = task_attempt(*task, record);
        let committed = CommittedAttempt {
            attempt,
            record,
            commitment,
        };
        if reports.contains_key(&attempt) {
            committed.answer_reported(&mut answer);
        } else {
            committed.answer_unreported(data_centre_is_out, permit_ms, &mut answer);
        }
    }
    for report in &poll.attempts {
        if !is_committed_here(state, poll, report) {
            answer.orders.push(uncommitted_order(report));
        }
    }
    answer
}

/// Replaces each order to start an attempt by an order to stop it, if an earlier poll reported the
/// attempt as running.
///
/// Such an attempt has ended without a report; if it was started again, it could run twice.
pub fn cancel_lost_starts(orders: &mut [WorkerOrder], was_running: impl Fn(TaskAttempt) -> bool) {
    for order in orders {
        if let WorkerOrder::Start { attempt, .. } = order {
            let attempt = *attempt;
            if was_running(attempt) {
                *order = WorkerOrder::Stop { attempt };
            }
        }
    }
}

struct CommittedAttempt<'a> {
    attempt: TaskAttempt,
    record: &'a TaskRecord,
    commitment: &'a TaskCommitment,
}

impl CommittedAttempt<'_> {
    fn answer_reported(&self, answer: &mut PollAnswer) {
        answer.renewed.push(self.attempt);
        answer.orders.extend(self.eviction_order());
    }

    /// Answers an attempt that the agent does not report: it has not started on this worker.
    fn answer_unreported(&self, data_centre_is_out: bool, permit_ms: u32, answer: &mut PollAnswer) {
        // An agent that is told to stop or evict an attempt that has not started refuses every
        // later start of the attempt and reports it as not started.
        let attempt = self.attempt;
        let order = match self.eviction_order() {
            Some(order) => order,
            None if data_centre_is_out => WorkerOrder::Stop { attempt },
            None => WorkerOrder::Start {
                attempt,
                fence: self.commitment.fence,
                program: self.commitment.program.clone(),
                demand: self.commitment.demand,
                permit_ms,
                resume_ms: self.record.progress_ms,
            },
        };
        answer.orders.push(order);
    }

    fn eviction_order(&self) -> Option<WorkerOrder> {
        let attempt = self.attempt;
        match self.commitment.eviction? {
            EvictionCause::Cancelled => Some(WorkerOrder::Stop { attempt }),
            _ => Some(WorkerOrder::Evict { attempt }),
        }
    }
}

/// Returns the order for a reported attempt that the state does not have committed to the worker.
fn uncommitted_order(report: &AttemptReport) -> WorkerOrder {
    let attempt = report.attempt;
    match report.phase {
        AttemptPhase::Running | AttemptPhase::Checkpointed => WorkerOrder::Stop { attempt },
        AttemptPhase::Stopped
        | AttemptPhase::Finished
        | AttemptPhase::Failed
        | AttemptPhase::NotStarted => WorkerOrder::Forget { attempt },
    }
}
