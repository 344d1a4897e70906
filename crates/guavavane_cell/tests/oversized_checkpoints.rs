//! Starts and ends of runs that do not fit into one command of the replicated log.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::support::open_agent_session;
use crate::support::step;
use crate::support::worker_heartbeat;
use crate::support::TestCell;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::StartTask;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::CallerReply;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_transport::prelude::StreamReceiver;

/// Size of a checkpoint that an answer of a worker may contain and a command may not.
const CHECKPOINT_BYTES: usize = 3 << 19;
/// Longest wait for a start: 4 s for the cell to become stable, and 3 s in which a task that can run
/// may wait.
const START_TIMEOUT: Duration = Duration::from_secs(7);

/// Start of a task of this job; none if none arrives in time.
async fn start_of(receiver: &mut StreamReceiver<FromControl>, job: u64) -> Option<StartTask> {
    let start = async {
        loop {
            match receiver.receive().await? {
                FromControl::Start { order, .. } if order.task.step.job == JobKey(job) => {
                    return Some(*order);
                }
                _ => {}
            }
        }
    };
    timeout(START_TIMEOUT, start).await.ok().flatten()
}

// Guards against a cell that starts nothing any more, because one task has a checkpoint with which no
// start can be committed.
#[tokio::test]
async fn a_task_with_an_oversized_checkpoint_keeps_no_other_from_starting() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let (first, mut first_orders) = open_agent_session(&cell, 0).await;
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let start = start_of(&mut first_orders, 1).await.unwrap();
    let checkpoint = Arc::from("c".repeat(CHECKPOINT_BYTES));
    let checkpoints = vec![(start.task, checkpoint)];
    first.send(ToControl::Checkpoints { checkpoints });
    let key = worker_heartbeat(0).key;
    first.send(ToControl::WorkerEnded { key });

    let (_second, mut second_orders) = open_agent_session(&cell, 1).await;
    let accepted = cell.submit(2, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let start = start_of(&mut second_orders, 2).await;
    assert!(start.is_some(), "job 2 isn't started");
}

// Guards against a run that holds its worker for ever, because its end has a checkpoint with which it
// can't be committed.
#[tokio::test]
async fn a_run_that_ended_with_an_oversized_checkpoint_is_followed_by_the_next() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let (agent, mut orders) = open_agent_session(&cell, 0).await;
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let start = start_of(&mut orders, 1).await.unwrap();
    let completion = RunCompletion {
        number: 1,
        task: start.task,
        run: start.run,
        outcome: RunOutcome::Stopped,
        checkpoint: Arc::from("c".repeat(CHECKPOINT_BYTES)),
    };
    agent.send(ToControl::Completions {
        key: worker_heartbeat(0).key,
        completions: vec![completion],
    });
    let next = start_of(&mut orders, 1).await;
    assert_eq!(next.map(|next| next.run), Some(start.run.next()));
}
