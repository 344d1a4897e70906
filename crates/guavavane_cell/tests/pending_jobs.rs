//! Number of pending jobs of a queue while committed starts reach no worker.
//!
//! Guards against jobs that count as started once a start is committed, although no worker has
//! begun a task: its worker does not answer its agent, has lost its lease, or its VM is
//! gone.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::time::timeout;

use crate::support::open_agent_session;
use crate::support::open_silent_session;
use crate::support::step;
use crate::support::timing;
use crate::support::worker_heartbeat;
use crate::support::TestCell;
use crate::support::HOST;
use crate::support::PREFIX;
use guavavane_cell::entry::CallerRequest;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_transport::prelude::StreamReceiver;
use guavavane_transport::prelude::StreamSender;

/// Run time of a task, longer than the test.
const TASK_RUN_TIME: Duration = Duration::from_secs(60);
/// Run time of a task that ends during the test.
const SHORT_RUN_TIME: Duration = Duration::from_millis(100);
/// Longest time for which the number of pending jobs may be out of date.
const PENDING_AGE_MAX: Duration = Duration::from_secs(2);
/// Longest wait for a start that nothing delays.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);

async fn pending_jobs(cell: &TestCell) -> u64 {
    let request = CallerRequest {
        host: HOST.to_owned(),
        path: PREFIX.to_owned(),
        action: CallerAction::Query,
    };
    match cell.entry.call(request, START_TIMEOUT).await {
        CallerReply::Pending(pending) => pending,
        other => panic!("{other:?}"),
    }
}

async fn wait_for_pending_jobs(cell: &TestCell, pending: u64) {
    let until = Instant::now() + PENDING_AGE_MAX;
    loop {
        let replied = pending_jobs(cell).await;
        if replied == pending {
            return;
        }
        assert!(Instant::now() < until, "{replied} pending, not {pending}");
        tokio::time::sleep(QUERY_INTERVAL).await;
    }
}

/// Checks the number of pending jobs until the leader has freed the runs of an unreachable agent.
async fn assert_pending_jobs_stay(cell: &TestCell, pending: u64) {
    let until = Instant::now() + timing().expiry_bound(timing().agent_lease) + PENDING_AGE_MAX;
    while Instant::now() < until {
        assert_eq!(pending_jobs(cell).await, pending);
        tokio::time::sleep(QUERY_INTERVAL).await;
    }
}

/// Starts a cell whose only agent executes no order, and submits a job; returns the agent's session
/// once it has received the start.
async fn start_with_idle_agent() -> (TestCell, StreamSender<ToControl>) {
    let cell = TestCell::start(0, TASK_RUN_TIME).await;
    let (sender, mut receiver) = open_agent_session(&cell, 0).await;
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    receive_start(&mut receiver).await;
    tokio::spawn(async move { while receiver.receive().await.is_some() {} });
    (cell, sender)
}

async fn receive_start(receiver: &mut StreamReceiver<FromControl>) {
    let start =
        async { while !matches!(receiver.receive().await.unwrap(), FromControl::Start { .. }) {} };
    timeout(START_TIMEOUT, start).await.unwrap();
}

#[tokio::test]
async fn a_job_on_a_worker_that_does_not_answer_is_pending() {
    let (cell, agent) = start_with_idle_agent().await;
    let key = worker_heartbeat(0).key;
    agent.send(ToControl::Silence { key, silent: true });
    wait_for_pending_jobs(&cell, 1).await;
    assert_pending_jobs_stay(&cell, 1).await;
}

#[tokio::test]
async fn a_job_on_a_worker_whose_lease_has_expired_is_pending() {
    let (cell, agent) = start_with_idle_agent().await;
    agent.send(ToControl::LeaseExpired);
    wait_for_pending_jobs(&cell, 1).await;
    assert_pending_jobs_stay(&cell, 1).await;
}

#[tokio::test]
async fn a_job_on_a_vm_that_is_gone_is_pending() {
    let cell = TestCell::start(0, TASK_RUN_TIME).await;
    let (sender, mut receiver) = open_silent_session(&cell, 0).await;
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    receive_start(&mut receiver).await;
    drop((sender, receiver));
    wait_for_pending_jobs(&cell, 1).await;
    assert_pending_jobs_stay(&cell, 1).await;
}

#[tokio::test]
async fn a_job_whose_task_runs_is_not_pending() {
    let cell = TestCell::start(1, TASK_RUN_TIME).await;
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    cell.wait_for_starts(1, START_TIMEOUT).await;
    assert_eq!(pending_jobs(&cell).await, 0);
}

#[tokio::test]
async fn a_job_with_a_task_that_has_ended_is_never_pending_again() {
    let cell = TestCell::start(1, SHORT_RUN_TIME).await;
    let steps = vec![step(1, vec![]), step(400, vec![0])];
    assert_eq!(cell.submit(1, steps).await, CallerReply::Accepted);
    cell.wait_for_starts(2, START_TIMEOUT).await;
    cell.workers[0].silent.store(true, Ordering::Relaxed);
    assert_pending_jobs_stay(&cell, 0).await;
}
