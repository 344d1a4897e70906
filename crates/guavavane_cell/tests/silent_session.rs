//! Workers whose agents have fallen silent without closing their sessions.
//!
//! Guards against tasks that stay assigned for ever to a VM that is gone: no reset tells the leader
//! that such a session is over, so only missing pings do.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::time::Duration;

use crate::support::open_agent_session;
use crate::support::open_silent_session;
use crate::support::ordered_starts;
use crate::support::step;
use crate::support::timing;
use crate::support::TestCell;
use guavavane_cell::prelude::CallerReply;

/// Time without a start after which a test expects no more.
const QUIET_PERIOD: Duration = Duration::from_millis(700);
/// Time within which a leader notices that an agent is silent.
const DETECTION_MAX: Duration = Duration::from_millis(2_500);
/// Time for a lost worker to be committed and its tasks to start elsewhere.
const RESTART_MAX: Duration = Duration::from_millis(1_500);
/// Number of tasks of a job.
const TASKS: u64 = 3;

#[tokio::test]
async fn tasks_of_a_silent_agent_restart_after_its_lease() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let (_silent, mut silent_orders) = open_silent_session(&cell, 0).await;
    let accepted = cell.submit(1, vec![step(TASKS, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let first_starts = ordered_starts(&mut silent_orders, QUIET_PERIOD).await;
    assert_eq!(first_starts.len() as u64, TASKS);

    let (_live, mut live_orders) = open_agent_session(&cell, 1).await;
    let lease_max = timing().expiry_bound(timing().agent_lease);
    let later_starts = ordered_starts(&mut live_orders, lease_max + RESTART_MAX).await;
    assert_eq!(later_starts.len() as u64, TASKS, "{later_starts:?}");
    assert!(later_starts.iter().all(|order| order.run.0 == 2));
}

#[tokio::test]
async fn no_task_starts_on_the_worker_of_a_silent_agent() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let (_silent, mut silent_orders) = open_silent_session(&cell, 0).await;
    tokio::time::sleep(DETECTION_MAX).await;
    let accepted = cell.submit(1, vec![step(TASKS, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let starts = ordered_starts(&mut silent_orders, QUIET_PERIOD).await;
    assert!(starts.is_empty(), "{starts:?}");
}
