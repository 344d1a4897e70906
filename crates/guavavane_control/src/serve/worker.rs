//! Polls of agents.
//!
//! A poll is served in steps: its lease is granted, what it observes and reports is committed if
//! that is new, the answer is built from a read that has all of it, and the leadership is checked
//! once more before the answer leaves. Most polls say nothing new and need one read.

use crate::context::ArrivedSample;
use crate::context::ControlContext;
use crate::context::LeaderMemory;
use crate::lease::LeaseGrant;
use crate::lease::PollIdentity;
use crate::orders::answer_poll;
use crate::orders::call_off_lost;
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

/// A worker with orders polls again after this fraction of the interval.
const BUSY_POLL_DIVISOR: u32 = 4;

/// Most samples that wait for the scheduler.
const SAMPLES_MAX: usize = 65_536;

pub(super) fn serve_poll(context: &ControlContext, poll: WorkerPoll) -> WorkerPollReply {
    match serve_in_steps(context, &poll) {
        Ok(orders) => WorkerPollReply::Orders(orders),
        Err(refusal) => WorkerPollReply::Refused(refusal),
    }
}

fn serve_in_steps(
    context: &ControlContext,
    poll: &WorkerPoll,
) -> Result<WorkerOrders, ControlRefusal> {
    grant_lease(context, poll)?;
    let permit_ms = millis(context.settings.permit);
    let answer = match context.read(|state| look_at_poll(state, poll, permit_ms))? {
        PollLook::Outdated => return Err(ControlRefusal::Unavailable),
        PollLook::Known(answer) => answer,
        PollLook::News(news) => {
            commit_news(context, poll, news)?;
            context.read(|state| answer_poll(state, poll, permit_ms))?
        }
    };
    finish_answer(context, poll, answer)
}

/// What a poll says that the state does not have.
struct PollNews {
    observed: bool,
    ends: Vec<AttemptCompletion>,
}

/// A first look at a poll; most say nothing new and are answered from it.
enum PollLook {
    /// It comes from an earlier boot of its worker.
    Outdated,
    /// The state has all of it.
    Known(PollAnswer),
    /// Something is to be committed first.
    News(PollNews),
}

fn look_at_poll(state: &ControlState, poll: &WorkerPoll, permit_ms: u32) -> PollLook {
    let worker = state.workers().get(&poll.worker);
    if worker.is_some_and(|worker| worker.is_earlier_boot(poll.boot)) {
        return PollLook::Outdated;
    }
    let news = PollNews {
        observed: state.workers().is_changed_by(&poll_observation(poll)),
        ends: reported_completions(state, poll),
    };
    if news.observed || !news.ends.is_empty() {
        return PollLook::News(news);
    }
    PollLook::Known(answer_poll(state, poll, permit_ms))
}

/// Renews the worker's lease, before the state is read: attempts that are ended in between
/// belong to a worker that is closed by then.
fn grant_lease(context: &ControlContext, poll: &WorkerPoll) -> Result<(), ControlRefusal> {
    let now = context.now();
    let identity = PollIdentity {
        incarnation: poll.incarnation,
        sequence: poll.sequence,
    };
    let grant = context.with_memory(|memory| memory.leases.grant(now, &poll.worker, identity));
    match grant {
        Some(LeaseGrant::Granted) => Ok(()),
        Some(LeaseGrant::Closed | LeaseGrant::Outdated) => Err(ControlRefusal::Unavailable),
        None => Err(context.not_leader()),
    }
}

fn remember_reports(
    memory: &mut LeaderMemory,
    now: BootTime,
    poll: &WorkerPoll,
    renewed: &[TaskAttempt],
) {
    for attempt in renewed {
        memory.running.entry(*attempt).or_insert(now);
    }
    let room = SAMPLES_MAX.saturating_sub(memory.samples.len());
    let samples = poll.usage.iter().take(room).map(|report| ArrivedSample {
        arrived: now,
        report: *report,
    });
    memory.samples.extend(samples);
}

fn commit_news(
    context: &ControlContext,
    poll: &WorkerPoll,
    news: PollNews,
) -> Result<(), ControlRefusal> {
    if news.observed {
        context.propose(ControlCommand::ObserveWorker(poll_observation(poll)))?;
    }
    for end in news.ends {
        tracing::info!(
            event = "attempt_ended",
            task = %end.attempt.task,
            attempt = %end.attempt.attempt,
            worker = %poll.worker,
            cause = ?end.outcome,
            progress_ms = end.progress_ms,
        );
        context.propose(ControlCommand::EndAttempt(end))?;
    }
    Ok(())
}

fn finish_answer(
    context: &ControlContext,
    poll: &WorkerPoll,
    answer: PollAnswer,
) -> Result<WorkerOrders, ControlRefusal> {
    let now = context.now();
    let mut answer = answer;
    let parts = context.with_memory(|memory| {
        let entries = memory.entries.directory(now, poll.entries_digest);
        call_off_lost(&mut answer.orders, |attempt| {
            memory.running.contains_key(&attempt)
        });
        remember_reports(memory, now, poll, &answer.renewed);
        let throttles = throttle_orders(memory, &answer);
        (entries, throttles)
    });
    // Without the leadership, nothing of the answer may leave.
    let Some((entries, throttles)) = parts else {
        return Err(context.not_leader());
    };
    let mut orders = answer.orders;
    // What was just ordered is worth a report soon, so that freed room is filled at once.
    let next_poll = if orders.is_empty() {
        context.settings.poll
    } else {
        context.settings.poll / BUSY_POLL_DIVISOR
    };
    orders.extend(throttles);
    Ok(WorkerOrders {
        lease_ms: millis(context.settings.lease),
        renewed: answer.renewed,
        orders,
        entries,
        next_poll_ms: millis(next_poll),
    })
}

fn throttle_orders(memory: &LeaderMemory, answer: &PollAnswer) -> Vec<WorkerOrder> {
    answer
        .renewed
        .iter()
        .filter_map(|attempt| {
            let share_millis = *memory.throttles.get(attempt)?;
            Some(WorkerOrder::Throttle {
                attempt: *attempt,
                share_millis,
            })
        })
        .collect()
}

fn millis(duration: std::time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
