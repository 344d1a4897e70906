//! Starts of a queue that requires advice: on allowed workers only, with a valid ticket.
//!
//! Guards against starts on a worker that the service did not allow, starts with an expired
//! ticket, a lost request that blocks a step for ever, and jobs accepted where no service exists.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;

use crate::support::open_agent_session;
use crate::support::ordered_starts;
use crate::support::step;
use crate::support::worker_heartbeat;
use crate::support::TestCell;
use crate::support::ADVICE_TIMING;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::AdviceRequest;
use guavavane_cell::prelude::AdvisedWorker;
use guavavane_cell::prelude::CallerReply;

/// Time without a message after which a test expects no more.
const QUIET_PERIOD: Duration = Duration::from_millis(400);
/// Number of tasks of the job.
const TASKS: u64 = 3;

/// Leaves the first requests unanswered and then allows only the worker with index 1. Each ticket
/// carries the number of its request.
async fn serve_advice_requests(calls: Receiver<AdviceRequest>, unanswered: usize) {
    let mut request_number = 0;
    while let Ok(call) = calls.recv_async().await {
        request_number += 1;
        if request_number <= unanswered {
            continue;
        }
        let second = worker_heartbeat(1).key.name;
        let allowed = call.workers.into_iter().filter(|name| *name == second);
        let ticket: Arc<str> = Arc::from(format!("ticket-{request_number}"));
        let allowed = allowed.map(|name| AdvisedWorker {
            name,
            ticket: Arc::clone(&ticket),
        });
        // Sending fails if the leader has changed.
        let _ = call.reply.send(allowed.collect());
    }
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

    let quiet = QUIET_PERIOD * 3;
    let starts = ordered_starts(&mut second_orders, quiet).await;
    assert_eq!(starts.len() as u64, TASKS, "{starts:?}");
    assert!(starts.iter().all(|order| &*order.ticket == "ticket-2"));
    let other_starts = ordered_starts(&mut first_orders, QUIET_PERIOD).await;
    assert!(other_starts.is_empty(), "{other_starts:?}");

    // The ticket has expired by now, so that a withdrawn task must start with a new one.
    tokio::time::sleep(Duration::from_millis(ADVICE_TIMING.validity_ms)).await;
    let (key, order) = (worker_heartbeat(1).key, &starts[0]);
    let (task, run) = (order.task, order.run);
    second.send(ToControl::Withdrawn { key, task, run });
    let later_starts = ordered_starts(&mut second_orders, quiet).await;
    assert_eq!(later_starts.len(), 1, "{later_starts:?}");
    assert_ne!(later_starts[0].ticket, order.ticket);
    assert_eq!(later_starts[0].run.0, 2);
}

#[tokio::test]
async fn a_job_that_needs_advice_is_refused_without_an_advice_service() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    cell.put_catalog_with(2, Some(ADVICE_TIMING)).await;
    let reply = cell.submit(1, vec![step(TASKS, vec![])]).await;
    assert!(matches!(reply, CallerReply::Refused { .. }), "{reply:?}");
}
