//! What the leader orders when an agent says that its worker's lease has run out.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::support::notice;
use crate::support::step;
use crate::support::TestCell;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::StartTask;
use guavavane_cell::message::ToControl;
use guavavane_cell::message::WorkerReport;
use guavavane_cell::prelude::CallerReply;
use guavavane_transport::prelude::open_stream;
use guavavane_transport::prelude::StreamReceiver;

/// Time without a message after which no more are expected.
const QUIET: Duration = Duration::from_millis(700);
/// Tasks of the job.
const TASKS: u64 = 3;

fn report(epoch: u64) -> WorkerReport {
    let notice = notice(0);
    WorkerReport {
        key: notice.key,
        facts: notice.facts,
        draining: false,
        epoch,
        running: Vec::new(),
        ends: Vec::new(),
        pairs: Vec::new(),
    }
}

/// Starts that are ordered until the stream is quiet.
async fn starts(receiver: &mut StreamReceiver<FromControl>) -> Vec<StartTask> {
    let mut starts = Vec::new();
    while let Ok(Some(message)) = timeout(QUIET, receiver.receive()).await {
        if let FromControl::Start { order, .. } = message {
            starts.push(*order);
        }
    }
    starts
}

#[tokio::test]
async fn a_run_that_is_about_to_be_freed_is_not_ordered_again() {
    let cell = TestCell::start(0, Duration::from_millis(100)).await;
    let opened = open_stream::<ToControl, FromControl>(cell.address, QUIET).await;
    let (sender, mut receiver) = opened.unwrap();
    let node = Arc::from("vm-0");
    sender.send(ToControl::AgentHello { node });
    sender.send(ToControl::Worker(Box::new(report(0))));
    let accepted = cell.submit(1, vec![step(TASKS, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let first = starts(&mut receiver).await;
    assert_eq!(first.len() as u64, TASKS);
    assert!(first.iter().all(|order| order.run.0 == 1));

    // The lease has run out; the agent speaks for the worker again at once.
    let key = notice(0).key;
    sender.send(ToControl::WorkerLost { key, ended: false });
    sender.send(ToControl::Worker(Box::new(report(1))));
    let second = starts(&mut receiver).await;
    assert_eq!(second.len() as u64, TASKS, "{second:?}");
    // The first runs are free for other workers, so the agent must not get them again.
    assert!(second.iter().all(|order| order.run.0 == 2), "{second:?}");
    assert!(second.iter().all(|order| order.epoch == 1), "{second:?}");
}
