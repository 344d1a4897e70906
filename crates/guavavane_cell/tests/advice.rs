//! Starts of a queue that requires advice: on allowed workers only, with a valid ticket.
//!
//! Guards against starts on a worker that the service did not allow, starts with an expired
//! ticket or none, a lost request that blocks a step for ever, and jobs accepted where no service
//! exists.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use tokio::time::timeout;

use crate::support::open_agent_session;
use crate::support::ordered_starts;
use crate::support::step;
use crate::support::worker_heartbeat;
use crate::support::TestCell;
use crate::support::ADVICE_TIMING;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::StartTask;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::AdviceRequest;
use guavavane_cell::prelude::AdvisedWorker;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::JobState;
use guavavane_jobs::prelude::AdviceTiming;
use guavavane_transport::prelude::StreamReceiver;
use guavavane_transport::prelude::StreamSender;

/// Time without a message after which a test expects no more.
const QUIET_PERIOD: Duration = Duration::from_millis(400);
/// Longest wait for the starts of a step: 4 s for the cell to become stable, and 3 s in which a task
/// that can run may wait.
const START_TIMEOUT: Duration = Duration::from_secs(7);
/// Number of tasks of the job.
const TASKS: u64 = 3;

/// Leaves the first requests that name the worker with index 1 unanswered and then allows only this
/// worker. Each ticket carries the number of its request among those that name the worker.
async fn serve_advice_requests(calls: Receiver<AdviceRequest>, unanswered: usize) {
    let second = worker_heartbeat(1).key.name;
    let mut request_number = 0;
    while let Ok(call) = calls.recv_async().await {
        let mut allowed = Vec::new();
        if call.workers.contains(&second) {
            request_number += 1;
            if request_number <= unanswered {
                continue;
            }
            allowed.push(AdvisedWorker {
                name: Arc::clone(&second),
                ticket: Arc::from(format!("ticket-{request_number}")),
            });
        }
        // Sending fails if the leader has changed.
        let _ = call.reply.send(allowed);
    }
}

/// Returns the first `count` starts and then those of a quiet period. As an agent does, reports the
/// withdrawal of each run that is stopped before it was ordered to start.
async fn receive_starts(
    sender: &StreamSender<ToControl>,
    receiver: &mut StreamReceiver<FromControl>,
    count: u64,
) -> Vec<StartTask> {
    let mut starts: Vec<StartTask> = Vec::new();
    loop {
        let is_complete = starts.len() as u64 >= count;
        let limit = if is_complete {
            QUIET_PERIOD * 3
        } else {
            START_TIMEOUT
        };
        let order = timeout(limit, next_order(receiver)).await;
        match order.ok().flatten() {
            Some(FromControl::Start { order, .. }) => starts.push(*order),
            Some(FromControl::Stop { key, task, run }) => {
                let is_started = starts
                    .iter()
                    .any(|start| (start.task, start.run) == (task, run));
                assert!(!is_started, "{task} {run} is stopped");
                sender.send(ToControl::Withdrawn { key, task, run });
            }
            _ => return starts,
        }
    }
}

/// Next start or stop; none once the session is closed.
async fn next_order(receiver: &mut StreamReceiver<FromControl>) -> Option<FromControl> {
    loop {
        let message = receiver.receive().await?;
        if matches!(
            message,
            FromControl::Start { .. } | FromControl::Stop { .. }
        ) {
            return Some(message);
        }
    }
}

/// Number of the request that an order's ticket answers; panics if the order has no ticket.
fn ticket_number(order: &StartTask) -> u64 {
    let number = order.ticket.strip_prefix("ticket-");
    number
        .and_then(|n| n.parse().ok())
        .unwrap_or_else(|| panic!("no ticket: {order:?}"))
}

#[tokio::test]
async fn tasks_start_on_allowed_workers_with_their_ticket() {
    let (advice, calls) = flume::bounded(8);
    // The first request is lost.
    tokio::spawn(serve_advice_requests(calls, 1));
    let cell = TestCell::start_advised(0, Duration::ZERO, Some(advice)).await;
    let (_first, mut first_orders) = open_agent_session(&cell, 0).await;
    let (second, mut second_orders) = open_agent_session(&cell, 1).await;
    let accepted = cell.submit(1, vec![step(TASKS, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);

    let starts = receive_starts(&second, &mut second_orders, TASKS).await;
    assert_eq!(starts.len() as u64, TASKS, "{starts:?}");
    for order in &starts {
        // The leader withdraws a run whose ticket expires before its start is committed.
        let is_first = order.run.0 == 1;
        assert_eq!(ticket_number(order) == 2, is_first, "{order:?}");
    }
    let other_starts = ordered_starts(&mut first_orders, QUIET_PERIOD).await;
    assert!(other_starts.is_empty(), "{other_starts:?}");

    // The ticket has expired by now, so that a withdrawn task must start with a new one.
    tokio::time::sleep(Duration::from_millis(ADVICE_TIMING.validity_ms)).await;
    let (key, order) = (worker_heartbeat(1).key, &starts[0]);
    let (task, run) = (order.task, order.run);
    second.send(ToControl::Withdrawn { key, task, run });
    let later_starts = receive_starts(&second, &mut second_orders, 1).await;
    assert_eq!(later_starts.len(), 1, "{later_starts:?}");
    assert!(ticket_number(&later_starts[0]) > ticket_number(order));
    assert_eq!(later_starts[0].task, task);
    assert!(later_starts[0].run > run);
}

#[tokio::test]
async fn a_run_that_never_started_is_withdrawn_once_its_ticket_has_expired() {
    let (advice, calls) = flume::bounded(8);
    tokio::spawn(serve_advice_requests(calls, 0));
    let cell = TestCell::start_advised(0, Duration::ZERO, Some(advice)).await;
    let (lost, mut lost_orders) = open_agent_session(&cell, 1).await;
    let accepted = cell.submit(1, vec![step(TASKS, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let lost_starts = receive_starts(&lost, &mut lost_orders, TASKS).await;
    assert_eq!(lost_starts.len() as u64, TASKS, "{lost_starts:?}");

    // The next session reports that the worker runs nothing.
    tokio::time::sleep(Duration::from_millis(ADVICE_TIMING.validity_ms)).await;
    let (second, mut second_orders) = open_agent_session(&cell, 1).await;
    let starts = receive_starts(&second, &mut second_orders, TASKS).await;
    assert_eq!(starts.len() as u64, TASKS, "{starts:?}");
    for order in &starts {
        let lost = lost_starts.iter().find(|lost| lost.task == order.task);
        let lost = lost.unwrap();
        assert!(ticket_number(order) > ticket_number(lost), "{order:?}");
        assert!(order.run > lost.run, "{order:?}");
    }
}

#[tokio::test]
async fn a_job_that_needs_advice_is_refused_without_an_advice_service() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    cell.put_catalog_with(2, Some(ADVICE_TIMING)).await;
    let reply = cell.submit(1, vec![step(TASKS, vec![])]).await;
    assert!(matches!(reply, CallerReply::Refused { .. }), "{reply:?}");
}

/// Timing of a service that takes 200 ms for a request about both workers.
const SLOW_TIMING: AdviceTiming = AdviceTiming {
    decision_ms: 150,
    interval_ms: 25,
    validity_ms: 1_500,
};
/// Number of jobs that come at once.
const BURST_JOBS: u64 = 12;

/// Allows all workers and answers one request after the other, in the time of a timing.
async fn serve_in_turn(calls: Receiver<AdviceRequest>, timing: AdviceTiming) {
    while let Ok(call) = calls.recv_async().await {
        let reply_ms = timing.reply_ms(call.workers.len());
        tokio::time::sleep(Duration::from_millis(reply_ms)).await;
        let allowed = call.workers.into_iter().map(|name| AdvisedWorker {
            name,
            ticket: Arc::from("ticket"),
        });
        // Sending fails if the leader has changed.
        let _ = call.reply.send(allowed.collect());
    }
}

// Guards against a burst after which the tickets of each job expire while others are asked for, so that
// none of them ever starts.
#[tokio::test]
async fn jobs_of_a_burst_complete_although_the_service_answers_one_request_after_the_other() {
    let (advice, calls) = flume::bounded(32);
    tokio::spawn(serve_in_turn(calls, SLOW_TIMING));
    let cell = TestCell::start_advised(2, Duration::from_millis(10), Some(advice)).await;
    cell.put_catalog_with(2, Some(SLOW_TIMING)).await;
    for job in 1..=BURST_JOBS {
        let accepted = cell.submit(job, vec![step(1, vec![])]).await;
        assert_eq!(accepted, CallerReply::Accepted);
    }
    for job in 1..=BURST_JOBS {
        cell.wait_for_state(job, JobState::Completed, START_TIMEOUT)
            .await;
    }
}

// Guards against a queue that never runs anything because a decision takes most of the time for which a
// ticket is valid, or longer.
#[tokio::test]
async fn jobs_complete_however_long_a_decision_takes() {
    for decision_ms in [500, 700, 1_500] {
        let timing = AdviceTiming {
            decision_ms,
            interval_ms: 10,
            validity_ms: 1_000,
        };
        let (advice, calls) = flume::bounded(32);
        tokio::spawn(serve_in_turn(calls, timing));
        let cell = TestCell::start_advised(2, Duration::from_millis(10), Some(advice)).await;
        cell.put_catalog_with(2, Some(timing)).await;
        let accepted = cell.submit(1, vec![step(TASKS, vec![])]).await;
        assert_eq!(accepted, CallerReply::Accepted);
        cell.wait_for_state(1, JobState::Completed, START_TIMEOUT)
            .await;
    }
}

// Guards against a job that is accepted and can never start, since no ticket outlasts a commit.
#[tokio::test]
async fn a_job_is_refused_whose_tickets_expire_before_a_start_can_use_them() {
    let (advice, calls) = flume::bounded(32);
    tokio::spawn(serve_in_turn(calls, ADVICE_TIMING));
    let cell = TestCell::start_advised(1, Duration::from_millis(10), Some(advice)).await;
    for validity_ms in [0, 19] {
        let timing = AdviceTiming {
            validity_ms,
            ..ADVICE_TIMING
        };
        cell.put_catalog_with(2 + validity_ms, Some(timing)).await;
        let reply = cell.submit(1, vec![step(TASKS, vec![])]).await;
        assert!(matches!(reply, CallerReply::Refused { .. }), "{reply:?}");
    }
}
