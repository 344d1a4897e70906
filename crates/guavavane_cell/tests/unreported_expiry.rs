//! Lease expiries that no agent reports to the present leader.
//!
//! Guards against tasks that run nowhere until the leader's bound on the agent's lease is over,
//! although the lease of their worker ended long before and its agent has a session.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::support::agent_settings;
use crate::support::step;
use crate::support::timing;
use crate::support::worker_heartbeat;
use crate::support::TestCell;
use guavavane_cell::prelude::start_agent;
use guavavane_cell::prelude::CallerReply;
use guavavane_standin::simulated_worker::SimulatedWorker;

/// Run time of a task, longer than the test.
const TASK_RUN_TIME: Duration = Duration::from_secs(60);
/// Longest wait for a start that nothing delays.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of times that an agent is stopped in order.
const AGENT_STOPS: usize = 4;
/// Time from the start of an agent until it is stopped, shorter than the worker's lease.
const STOP_INTERVAL: Duration = Duration::from_millis(450);
/// Time between two checks of a worker for the end of its lease.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(5);
/// Time between the heartbeats of two incarnations; shorter than the worker's lease.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time without a run after the end of the worker's lease.
const RESTART_MAX: Duration = Duration::from_secs(1);

/// Silences the worker of the only run and restarts its agent; returns the index of the worker.
async fn lose_worker_and_restart_agent(cell: &mut TestCell) -> usize {
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let lost = cell.wait_for_starts(1, START_TIMEOUT).await[0].worker;
    let worker = cell.workers[lost].clone();
    worker.silent.store(true, Ordering::Relaxed);
    tokio::spawn(record_lease_end(worker));
    restart_agent(cell, lost);
    lost
}

/// A worker that nobody calls records the end of its lease only when it is advanced.
async fn record_lease_end(worker: SimulatedWorker) {
    loop {
        worker.advance();
        tokio::time::sleep(ADVANCE_INTERVAL).await;
    }
}

fn restart_agent(cell: &mut TestCell, index: usize) {
    let worker = cell.workers[index].clone();
    cell.agents[index] = start_agent(agent_settings(index, cell.address), worker);
}

async fn assert_restarts_after_worker_lease(cell: &TestCell, silent_since: Instant) {
    let runs = cell.wait_for_starts(2, START_TIMEOUT).await;
    let waited = runs[1].started_at.saturating_duration_since(silent_since);
    let lease_bound = timing().expiry_bound(timing().worker_lease);
    assert!(waited < lease_bound + RESTART_MAX, "{waited:?}");
    cell.history.assert_no_duplicate_runs();
}

#[tokio::test]
async fn tasks_of_a_worker_that_is_gone_restart_soon_although_its_agent_restarted() {
    let mut cell = TestCell::start(2, TASK_RUN_TIME).await;
    let silent_since = Instant::now();
    lose_worker_and_restart_agent(&mut cell).await;
    assert_restarts_after_worker_lease(&cell, silent_since).await;
}

#[tokio::test]
async fn tasks_of_a_worker_that_only_sends_heartbeats_restart_soon_although_its_agent_restarted() {
    let mut cell = TestCell::start(2, TASK_RUN_TIME).await;
    let silent_since = Instant::now();
    let lost = lose_worker_and_restart_agent(&mut cell).await;
    assert!(
        cell.agents[lost]
            .record_heartbeat(worker_heartbeat(lost))
            .await
    );
    assert_restarts_after_worker_lease(&cell, silent_since).await;
}

#[tokio::test]
async fn tasks_of_a_worker_that_is_gone_restart_soon_although_its_agent_is_stopped_repeatedly() {
    let mut cell = TestCell::start(2, TASK_RUN_TIME).await;
    let silent_since = Instant::now();
    let lost = lose_worker_and_restart_agent(&mut cell).await;
    for _ in 0..AGENT_STOPS {
        tokio::time::sleep(STOP_INTERVAL).await;
        cell.agents[lost].prepare_shutdown().await;
        restart_agent(&mut cell, lost);
    }
    assert_restarts_after_worker_lease(&cell, silent_since).await;
}

/// Sends the heartbeats of one new incarnation after the other, none of which answers a call.
async fn register_incarnations(cell: &TestCell, worker: usize) {
    let mut heartbeat = worker_heartbeat(worker);
    loop {
        heartbeat.key.started_ms += 1;
        assert!(
            cell.agents[worker]
                .record_heartbeat(heartbeat.clone())
                .await
        );
        tokio::time::sleep(REGISTRATION_INTERVAL).await;
    }
}

#[tokio::test]
async fn workers_that_register_and_never_answer_do_not_postpone_the_expiry() {
    let mut cell = TestCell::start(2, TASK_RUN_TIME).await;
    let silent_since = Instant::now();
    let lost = lose_worker_and_restart_agent(&mut cell).await;
    tokio::select! {
        () = register_incarnations(&cell, lost) => {}
        () = assert_restarts_after_worker_lease(&cell, silent_since) => {}
    }
}
