//! Serves the polls of agents.
//!
//! A poll is served in four steps:
//!
//! 1. Renew the lease of the worker.
//! 2. Commit changes of the worker and completions that the state does not have yet.
//! 3. Build the reply from a read that sees these commits.
//! 4. Check the leadership again before the reply is sent.
//!
//! Most polls report no change and need one read only.

use crate::context::ControlContext;
use crate::context::LeaderState;
use crate::context::ReceivedSample;
use crate::lease::PollIdentity;
use crate::lease::RenewalResult;
use crate::orders::answer_poll;
use crate::orders::cancel_lost_starts;
use crate::orders::poll_observation;
use crate::orders::reported_completions;
use crate::orders::PollAnswer;
use crate::state::command::AttemptCompletion;
use crate::state::command::ControlCommand;
use crate::state::ControlState;
use guavavane_model::prelude::BootTime;
use guavavane_protocol::poll::TaskAttempt;
use guavavane_protocol::poll::WorkerOrder;
use guavavane_protocol::poll::WorkerOrders;
use guavavane_protocol::poll::WorkerPoll;
use guavavane_protocol::poll::WorkerPollReply;
use guavavane_protocol::replica::ControlRefusal;

/// Divides the poll interval of a worker that has just received orders.
const BUSY_POLL_DIVISOR: u32 = 4;

/// Maximum number of samples that wait for the scheduler; more are dropped.
const PENDING_SAMPLES_MAX: usize = 65_536;

pub(super) fn serve_poll(context: &ControlContext, poll: WorkerPoll) -> WorkerPollReply {
    match handle_poll(context, &poll) {
        Ok(orders) => WorkerPollReply::Orders(orders),
        Err(refusal) => WorkerPollReply::Refused(refusal),
    }
}

fn handle_poll(
    context: &ControlContext,
    poll: &WorkerPoll,
) -> Result<WorkerOrders, ControlRefusal> {
    renew_lease(context, poll)?;
    let permit_ms = duration_millis(context.settings.permit);
    let answer = match context.read(|state| classify_poll(state, poll, permit_ms))? {
        PollClass::Outdated => return Err(ControlRefusal::Unavailable),
        PollClass::Unchanged(answer) => answer,
        PollClass::Changed(changes) => {
            commit_changes(context, poll, changes)?;
            context.read(|state| answer_poll(state, poll, permit_ms))?
        }
    };
    build_orders(context, poll, answer)
}

/// Changes in a poll that the state does not have yet.
struct PollChanges {
    worker_changed: bool,
    completions: Vec<AttemptCompletion>,
}

/// Comparison of a poll with the state.
enum PollClass {
    /// The poll comes from an earlier boot of the worker.
    Outdated,
    /// The state has all that the poll reports; the reply is built from the same read.
    Unchanged(PollAnswer),
    /// These changes have to be committed before the reply is built.
    Changed(PollChanges),
}

fn classify_poll(state: &ControlState, poll: &WorkerPoll, permit_ms: u32) -> PollClass {
    let worker = state.workers().get(&poll.worker);
    if worker.is_some_and(|worker| worker.is_earlier_boot(poll.boot)) {
        return PollClass::Outdated;
    }
    let changes = PollChanges {
        worker_changed: state.workers().is_changed_by(&poll_observation(poll)),
        completions: reported_completions(state, poll),
    };
    if changes.worker_changed || !changes.completions.is_empty() {
        return PollClass::Changed(changes);
    }
    PollClass::Unchanged(answer_poll(state, poll, permit_ms))
}

/// Renews the worker's lease before the state is read: if attempts are ended in between through
/// lease expiry, the worker is marked as expired by then.
fn renew_lease(context: &ControlContext, poll: &WorkerPoll) -> Result<(), ControlRefusal> {
    let now = context.now();
    let identity = PollIdentity {
        incarnation: poll.incarnation,
        sequence: poll.sequence,
    };
    let renewal =
        context.with_leader_state(|leader| leader.leases.renew(now, &poll.worker, identity));
    match renewal {
        Some(RenewalResult::Renewed) => Ok(()),
        Some(RenewalResult::Expired | RenewalResult::Outdated) => Err(ControlRefusal::Unavailable),
        None => Err(context.not_leader()),
    }
}

fn record_reports(
    leader: &mut LeaderState,
    now: BootTime,
    poll: &WorkerPoll,
    renewed: &[TaskAttempt],
) {
    for attempt in renewed {
        leader.running_since.entry(*attempt).or_insert(now);
    }
    let remaining = PENDING_SAMPLES_MAX.saturating_sub(leader.samples.len());
    let samples = poll
        .usage
        .iter()
        .take(remaining)
        .map(|report| ReceivedSample {
            received_at: now,
            report: *report,
        });
    leader.samples.extend(samples);
}

fn commit_changes(
    context: &ControlContext,
    poll: &WorkerPoll,
    changes: PollChanges,
) -> Result<(), ControlRefusal> {
    if changes.worker_changed {
        context.propose(ControlCommand::ObserveWorker(poll_observation(poll)))?;
    }
    for completion in changes.completions {
        tracing::info!(
            event = "attempt_ended",
            task = %completion.attempt.task,
            attempt = %completion.attempt.attempt,
            worker = %poll.worker,
            cause = ?completion.outcome,
            progress_ms = completion.progress_ms,
        );
        context.propose(ControlCommand::EndAttempt(completion))?;
    }
    Ok(())
}

fn build_orders(
    context: &ControlContext,
    poll: &WorkerPoll,
    answer: PollAnswer,
) -> Result<WorkerOrders, ControlRefusal> {
    let now = context.now();
    let mut answer = answer;
    let parts = context.with_leader_state(|leader| {
        let entries = leader.entries.directory(now, poll.entries_digest);
        cancel_lost_starts(&mut answer.orders, |attempt| {
            leader.running_since.contains_key(&attempt)
        });
        record_reports(leader, now, poll, &answer.renewed);
        let throttles = throttle_orders(leader, &answer);
        (entries, throttles)
    });
    // Without the leadership, no part of the reply may be sent.
    let Some((entries, throttles)) = parts else {
        return Err(context.not_leader());
    };
    let mut orders = answer.orders;
    // The next poll reports the effect of the orders. It comes early if there are any, so that
    // released capacity is used at once.
    let next_poll = if orders.is_empty() {
        context.settings.poll_interval
    } else {
        context.settings.poll_interval / BUSY_POLL_DIVISOR
    };
    orders.extend(throttles);
    Ok(WorkerOrders {
        lease_ms: duration_millis(context.settings.lease_duration),
        renewed: answer.renewed,
        orders,
        entries,
        next_poll_ms: duration_millis(next_poll),
    })
}

fn throttle_orders(leader: &LeaderState, answer: &PollAnswer) -> Vec<WorkerOrder> {
    answer
        .renewed
        .iter()
        .filter_map(|attempt| {
            let share_millis = *leader.throttles.get(attempt)?;
            Some(WorkerOrder::Throttle {
                attempt: *attempt,
                share_millis,
            })
        })
        .collect()
}

fn duration_millis(duration: std::time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
