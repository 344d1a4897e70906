//! Polls of agents.
//!
//! A poll is served in four steps: its lease is granted, what it observes and reports is
//! committed, the answer is built from a read that has all of it, and the leadership is checked
//! once more before the answer leaves.

use indexmap::IndexSet;

use crate::context::ArrivedSample;
use crate::context::ControlContext;
use crate::context::LeaderMemory;
use crate::lease::LeaseGrant;
use crate::lease::PollIdentity;
use crate::orders::answer_poll;
use crate::orders::poll_observation;
use crate::orders::reported_ends;
use crate::orders::PollAnswer;
use crate::state::command::AttemptEnd;
use crate::state::command::ControlCommand;
use crate::state::job_record::task_attempt;
use crate::state::ControlState;
use guavavane_model::prelude::BootTime;
use guavavane_protocol::poll::AttemptPhase;
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
    let news = context.read(|state| poll_news(state, poll))?;
    if news.outdated {
        return Err(ControlRefusal::Unavailable);
    }
    let seen_running = grant_lease(context, poll)?;
    commit_news(context, poll, news)?;
    let permit_ms = millis(context.settings.permit);
    let was_running = |attempt| seen_running.contains(&attempt);
    let answer = context.read(|state| answer_poll(state, poll, permit_ms, was_running))?;
    finish_answer(context, poll, answer)
}

/// What a poll says that the state does not have.
struct PollNews {
    outdated: bool,
    observed: bool,
    ends: Vec<AttemptEnd>,
}

fn poll_news(state: &ControlState, poll: &WorkerPoll) -> PollNews {
    let outdated = state
        .workers()
        .get(&poll.worker)
        .is_some_and(|worker| worker.is_earlier_boot(poll.boot));
    PollNews {
        outdated,
        observed: state.workers().is_news(&poll_observation(poll)),
        ends: reported_ends(state, poll),
    }
}

/// Renews the worker's lease and returns the attempts that earlier polls reported as running.
fn grant_lease(
    context: &ControlContext,
    poll: &WorkerPoll,
) -> Result<IndexSet<TaskAttempt>, ControlRefusal> {
    let held = context.read(|state| held_attempts(state, poll))?;
    let now = context.now();
    let identity = PollIdentity {
        incarnation: poll.incarnation,
        sequence: poll.sequence,
    };
    let grant = context.with_memory(|memory| {
        let grant = memory.leases.grant(now, &poll.worker, identity);
        if grant == LeaseGrant::Granted {
            remember_reports(memory, now, poll);
        }
        let running = held.iter().copied();
        let running = running.filter(|attempt| memory.running.contains_key(attempt));
        (grant, running.collect())
    });
    match grant {
        Some((LeaseGrant::Granted, running)) => Ok(running),
        Some((LeaseGrant::Closed | LeaseGrant::Outdated, _)) => Err(ControlRefusal::Unavailable),
        None => Err(context.not_leader()),
    }
}

fn held_attempts(state: &ControlState, poll: &WorkerPoll) -> Vec<TaskAttempt> {
    let worker = state.workers().get(&poll.worker);
    let tasks = worker.into_iter().flat_map(|worker| worker.tasks.iter());
    tasks
        .filter_map(|task| Some(task_attempt(*task, state.jobs().task(*task)?)))
        .collect()
}

fn remember_reports(memory: &mut LeaderMemory, now: BootTime, poll: &WorkerPoll) {
    for report in &poll.attempts {
        let runs = matches!(
            report.phase,
            AttemptPhase::Running | AttemptPhase::Checkpointed
        );
        if runs {
            memory.running.entry(report.attempt).or_insert(now);
        } else {
            memory.running.swap_remove(&report.attempt);
        }
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
            cause = ?end.cause,
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
    let parts = context.with_memory(|memory| {
        let entries = memory.entries.directory(now, poll.entries_digest);
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
