//! Orders of the leader after an agent reports that its worker's lease has expired.
//!
//! Guards against a task that runs twice: if the agent reports the worker again before the loss
//! is committed, the leader must not order the runs again that it is about to free.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::time::Duration;

use crate::support::idle_report;
use crate::support::open_agent_session;
use crate::support::ordered_starts;
use crate::support::step;
use crate::support::TestCell;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::CallerReply;

/// Time without a message after which a test expects no more.
const QUIET_PERIOD: Duration = Duration::from_millis(700);
/// Number of tasks of the job.
const TASKS: u64 = 3;

#[tokio::test]
async fn a_run_that_is_about_to_be_freed_is_not_ordered_again() {
    let cell = TestCell::start(0, Duration::from_millis(100)).await;
    let (sender, mut receiver) = open_agent_session(&cell, 0).await;
    let accepted = cell.submit(1, vec![step(TASKS, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let first_starts = ordered_starts(&mut receiver, QUIET_PERIOD).await;
    assert_eq!(first_starts.len() as u64, TASKS);
    assert!(first_starts.iter().all(|order| order.run.0 == 1));

    // The lease has expired, and the agent reports the worker again at once.
    sender.send(ToControl::LeaseExpired);
    sender.send(ToControl::WorkerReport(Box::new(idle_report(0, 1))));
    let second_starts = ordered_starts(&mut receiver, QUIET_PERIOD).await;
    assert_eq!(second_starts.len() as u64, TASKS, "{second_starts:?}");
    // The first runs may restart on other workers, so the agent must not get them again.
    assert!(
        second_starts.iter().all(|order| order.run.0 == 2),
        "{second_starts:?}"
    );
    assert!(
        second_starts.iter().all(|order| order.epoch == 1),
        "{second_starts:?}"
    );
}
