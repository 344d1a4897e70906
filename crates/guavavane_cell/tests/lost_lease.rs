//! What the leader orders when an agent says that its worker's lease has run out.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::time::Duration;

use crate::support::idle_report;
use crate::support::notice;
use crate::support::ordered_starts;
use crate::support::speak_for;
use crate::support::step;
use crate::support::TestCell;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::CallerReply;

/// Time without a message after which no more are expected.
const QUIET: Duration = Duration::from_millis(700);
/// Tasks of the job.
const TASKS: u64 = 3;

#[tokio::test]
async fn a_run_that_is_about_to_be_freed_is_not_ordered_again() {
    let cell = TestCell::start(0, Duration::from_millis(100)).await;
    let (sender, mut receiver) = speak_for(&cell, 0).await;
    let accepted = cell.submit(1, vec![step(TASKS, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let first = ordered_starts(&mut receiver, QUIET).await;
    assert_eq!(first.len() as u64, TASKS);
    assert!(first.iter().all(|order| order.run.0 == 1));

    // The lease has run out; the agent speaks for the worker again at once.
    let key = notice(0).key;
    sender.send(ToControl::WorkerLost { key, ended: false });
    sender.send(ToControl::WorkerReport(Box::new(idle_report(0, 1))));
    let second = ordered_starts(&mut receiver, QUIET).await;
    assert_eq!(second.len() as u64, TASKS, "{second:?}");
    // The first runs are free for other workers, so the agent must not get them again.
    assert!(second.iter().all(|order| order.run.0 == 2), "{second:?}");
    assert!(second.iter().all(|order| order.epoch == 1), "{second:?}");
}
