//! Jobs of a queue for whose steps another service allows each worker.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;

use crate::support::notice;
use crate::support::ordered_starts;
use crate::support::speak_for;
use crate::support::step;
use crate::support::TestCell;
use crate::support::ADVICE_TIMING;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::AdviceCall;
use guavavane_cell::prelude::AdvisedWorker;
use guavavane_cell::prelude::CallerReply;

/// Time without a message after which no more are expected.
const QUIET: Duration = Duration::from_millis(400);
/// Tasks of the job.
const TASKS: u64 = 3;

/// Allows the worker with index 1 alone, with a ticket that counts the questions.
async fn allow_second(calls: Receiver<AdviceCall>, unanswered: usize) {
    let mut question = 0;
    while let Ok(call) = calls.recv_async().await {
        question += 1;
        if question <= unanswered {
            continue;
        }
        let second = notice(1).key.name;
        let allowed = call.workers.into_iter().filter(|name| *name == second);
        let ticket: Arc<str> = Arc::from(format!("ticket-{question}"));
        let allowed = allowed.map(|name| AdvisedWorker {
            name,
            ticket: Arc::clone(&ticket),
        });
        // The leader may have changed.
        let _ = call.reply.send(allowed.collect());
    }
}

#[tokio::test]
async fn tasks_start_on_allowed_workers_with_their_ticket() {
    let (advice, calls) = flume::bounded(8);
    // The first question is lost on its way.
    tokio::spawn(allow_second(calls, 1));
    let cell = TestCell::start_advised(0, Duration::ZERO, Some(advice)).await;
    let (_first, mut first_orders) = speak_for(&cell, 0).await;
    let (second, mut second_orders) = speak_for(&cell, 1).await;
    let accepted = cell.submit(1, vec![step(TASKS, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);

    let quiet = QUIET * 3;
    let starts = ordered_starts(&mut second_orders, quiet).await;
    assert_eq!(starts.len() as u64, TASKS, "{starts:?}");
    assert!(starts.iter().all(|order| &*order.ticket == "ticket-2"));
    let others = ordered_starts(&mut first_orders, QUIET).await;
    assert!(others.is_empty(), "{others:?}");

    // The ticket is over by now: a task that comes back starts with a new one.
    tokio::time::sleep(Duration::from_millis(ADVICE_TIMING.validity_ms)).await;
    let (key, order) = (notice(1).key, &starts[0]);
    let (task, run) = (order.task, order.run);
    second.send(ToControl::Withdrawn { key, task, run });
    let again = ordered_starts(&mut second_orders, quiet).await;
    assert_eq!(again.len(), 1, "{again:?}");
    assert_ne!(again[0].ticket, order.ticket);
    assert_eq!(again[0].run.0, 2);
}

#[tokio::test]
async fn a_job_that_needs_advice_is_refused_where_nobody_can_be_asked() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    cell.put_catalog_with(2, Some(ADVICE_TIMING)).await;
    let reply = cell.submit(1, vec![step(TASKS, vec![])]).await;
    assert!(matches!(reply, CallerReply::Refused { .. }), "{reply:?}");
}
