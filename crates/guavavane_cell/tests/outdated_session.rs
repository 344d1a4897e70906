//! Messages that arrive on an agent's session after a later one has reported the worker.
//!
//! Guards against runs that are freed while they go on, and against a worker that gets no orders any
//! more although its agent has a session.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use crate::support::idle_report;
use crate::support::open_agent_session;
use crate::support::ordered_starts;
use crate::support::step;
use crate::support::worker_heartbeat;
use crate::support::TestCell;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::ToControl;
use guavavane_cell::message::WorkerReport;
use guavavane_cell::prelude::CallerReply;
use guavavane_model::prelude::BootClock;
use guavavane_transport::prelude::open_stream;
use guavavane_transport::prelude::StreamReceiver;
use guavavane_transport::prelude::StreamSender;

/// Time without a start after which a test expects no more.
const QUIET_PERIOD: Duration = Duration::from_millis(700);
/// Time for the leader to handle the messages of one session before those of another.
const DELIVERY_MAX: Duration = Duration::from_millis(300);
/// Number of tasks of the job.
const TASKS: u64 = 3;

type AgentStream = (StreamSender<ToControl>, StreamReceiver<FromControl>);

/// Opens a session as the agent of worker 0 and reports nothing yet.
async fn open_unreported_session(cell: &TestCell) -> AgentStream {
    let opened = open_stream::<ToControl, FromControl>(cell.address, Duration::from_secs(1)).await;
    let (sender, mut receiver) = opened.unwrap();
    let node = Arc::from("vm-0");
    sender.send(ToControl::AgentHello { node });
    let sent_at = BootClock.now();
    sender.send(ToControl::Ping { sent_at });
    let answer = receiver.receive().await;
    assert!(
        matches!(answer, Some(FromControl::Pong { .. })),
        "{answer:?}"
    );
    (sender, receiver)
}

/// Opens an earlier session of worker 0, then a later one that reports the worker.
async fn open_two_sessions(cell: &TestCell) -> (AgentStream, AgentStream) {
    let earlier = open_unreported_session(cell).await;
    let later = open_agent_session(cell, 0).await;
    tokio::time::sleep(DELIVERY_MAX).await;
    (earlier, later)
}

async fn deliver(session: &AgentStream, message: ToControl) {
    session.0.send(message);
    tokio::time::sleep(DELIVERY_MAX).await;
}

async fn submit_job(cell: &TestCell) {
    let accepted = cell.submit(1, vec![step(TASKS, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
}

async fn assert_started_on(session: &mut AgentStream) {
    let starts = ordered_starts(&mut session.1, QUIET_PERIOD).await;
    assert_eq!(starts.len() as u64, TASKS, "{starts:?}");
}

async fn assert_nothing_started_on(session: &mut AgentStream) {
    let starts = ordered_starts(&mut session.1, QUIET_PERIOD).await;
    assert!(starts.is_empty(), "{starts:?}");
}

#[tokio::test]
async fn a_late_report_takes_no_orders_from_the_later_session() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let (earlier, mut later) = open_two_sessions(&cell).await;
    let report = Box::new(idle_report(0, 0));
    deliver(&earlier, ToControl::WorkerReport(report)).await;
    submit_job(&cell).await;
    assert_started_on(&mut later).await;
}

#[tokio::test]
async fn a_late_report_of_an_earlier_incarnation_frees_no_runs_of_the_present_one() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let (mut earlier, mut later) = open_two_sessions(&cell).await;
    submit_job(&cell).await;
    assert_started_on(&mut later).await;

    let present = idle_report(0, 0);
    let mut key = present.key.clone();
    key.started_ms -= 1;
    let outdated = WorkerReport { key, ..present };
    deliver(&earlier, ToControl::WorkerReport(Box::new(outdated))).await;
    let mut other = open_agent_session(&cell, 1).await;
    assert_nothing_started_on(&mut earlier).await;
    assert_nothing_started_on(&mut other).await;
}

#[tokio::test]
async fn a_late_silence_does_not_keep_starts_from_a_worker_that_answers() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let (earlier, mut later) = open_two_sessions(&cell).await;
    let key = worker_heartbeat(0).key;
    deliver(&earlier, ToControl::Silence { key, silent: true }).await;
    submit_job(&cell).await;
    assert_started_on(&mut later).await;
}

#[tokio::test]
async fn a_late_lease_expiry_frees_no_runs_of_the_later_session() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let (earlier, mut later) = open_two_sessions(&cell).await;
    submit_job(&cell).await;
    assert_started_on(&mut later).await;
    deliver(&earlier, ToControl::LeaseExpired).await;
    let mut other = open_agent_session(&cell, 1).await;
    assert_nothing_started_on(&mut other).await;
}
