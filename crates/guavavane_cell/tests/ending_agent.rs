//! An agent that shuts down, and that no next process may follow.
//!
//! Guards against tasks of a VM that leaves which run nowhere until the leader's bound on the agent's
//! lease is over, although the lease of the worker ended long before.

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
/// Time in which an agent notices that its worker is silent.
const SILENCE_TIME: Duration = Duration::from_millis(350);
/// Longest wait for a start that nothing delays.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time without a run after the end of the worker's lease.
const RESTART_MAX: Duration = Duration::from_secs(1);
/// Time between two checks of a worker for the end of its lease.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(5);

/// A worker that nobody calls records the end of its lease only when it is advanced.
async fn record_lease_end(worker: SimulatedWorker) {
    loop {
        worker.advance();
        tokio::time::sleep(ADVANCE_INTERVAL).await;
    }
}

/// Starts a long run and prepares the end of its agent; returns the index of the worker, which answers.
async fn prepare_end_of_agent(cell: &TestCell) -> usize {
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let worker = cell.wait_for_starts(1, START_TIMEOUT).await[0].worker;
    tokio::spawn(record_lease_end(cell.workers[worker].clone()));
    cell.agents[worker].prepare_shutdown().await;
    worker
}

async fn assert_restarts_after_worker_lease(cell: &TestCell, ending_since: Instant) {
    cell.wait_for_starts(2, START_TIMEOUT).await;
    let lease_bound = timing().expiry_bound(timing().worker_lease);
    let waited = ending_since.elapsed();
    assert!(waited < lease_bound + RESTART_MAX, "{waited:?}");
    cell.history.assert_no_duplicate_runs();
}

#[tokio::test]
async fn tasks_of_a_silent_worker_restart_soon_although_its_agent_ends() {
    let mut cell = TestCell::start(2, TASK_RUN_TIME).await;
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let lost = cell.wait_for_starts(1, START_TIMEOUT).await[0].worker;
    let silent_since = Instant::now();
    cell.workers[lost].silent.store(true, Ordering::Relaxed);
    tokio::time::sleep(SILENCE_TIME).await;
    let agent = cell.agents.remove(lost);
    agent.prepare_shutdown().await;
    drop(agent);
    cell.wait_for_starts(2, START_TIMEOUT).await;
    let lease_bound = timing().expiry_bound(timing().worker_lease);
    let waited = silent_since.elapsed();
    assert!(waited < lease_bound + RESTART_MAX, "{waited:?}");
    let next_agent = &cell.agents[0];
    // The worker answers, so that nothing has to be awaited.
    next_agent.prepare_shutdown().await;
}

#[tokio::test]
async fn tasks_of_a_worker_that_answers_restart_soon_although_its_agent_ends() {
    let mut cell = TestCell::start(2, TASK_RUN_TIME).await;
    let worker = prepare_end_of_agent(&cell).await;
    let ending_since = Instant::now();
    drop(cell.agents.remove(worker));
    assert_restarts_after_worker_lease(&cell, ending_since).await;
}

#[tokio::test]
async fn tasks_run_once_although_an_agent_goes_on_after_it_has_prepared_its_end() {
    let cell = TestCell::start(2, TASK_RUN_TIME).await;
    prepare_end_of_agent(&cell).await;
    assert_restarts_after_worker_lease(&cell, Instant::now()).await;
}

#[tokio::test]
async fn tasks_go_on_if_the_next_process_of_an_agent_follows() {
    let mut cell = TestCell::start(2, TASK_RUN_TIME).await;
    let worker = prepare_end_of_agent(&cell).await;
    let settings = agent_settings(worker, cell.address);
    cell.agents[worker] = start_agent(settings, cell.workers[worker].clone());
    let heartbeat = worker_heartbeat(worker);
    assert!(cell.agents[worker].record_heartbeat(heartbeat).await);
    let agent_lease_bound = timing().expiry_bound(timing().agent_lease);
    tokio::time::sleep(agent_lease_bound + RESTART_MAX).await;
    assert_eq!(cell.wait_for_starts(1, START_TIMEOUT).await.len(), 1);
    cell.history.assert_no_duplicate_runs();
}
