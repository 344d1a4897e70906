//! An agent that shuts down while its worker no longer answers.
//!
//! Guards against tasks of a reclaimed VM that run nowhere until the leader's bound on the agent's
//! lease is over, because the agent ended shortly before its worker's lease did.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::support::step;
use crate::support::timing;
use crate::support::TestCell;
use guavavane_cell::prelude::CallerReply;

/// Run time of a task, longer than the test.
const TASK_RUN_TIME: Duration = Duration::from_secs(60);
/// Time in which an agent notices that its worker is silent.
const SILENCE_TIME: Duration = Duration::from_millis(350);
/// Longest wait for a start that nothing delays.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time without a run after the end of the worker's lease.
const RESTART_MAX: Duration = Duration::from_secs(1);

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
