//! Checkpoints that reach the leader late, from a worker that no longer runs the task.
//!
//! Guards against a task that resumes from an earlier checkpoint than the latest one: its work since
//! then is done twice.

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
use guavavane_cell::message::StartTask;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::CallerReply;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_transport::prelude::StreamReceiver;
use guavavane_transport::prelude::StreamSender;

/// Time without a start after which a test expects no more.
const QUIET_PERIOD: Duration = Duration::from_millis(700);
/// Checkpoint that the first run saved.
const EARLIER: &str = "0000000a";
/// Checkpoint that the second run saved.
const LATEST: &str = "0000000b";

type AgentSession = (StreamSender<ToControl>, StreamReceiver<FromControl>);

fn report_checkpoint(agent: &StreamSender<ToControl>, start: &StartTask, checkpoint: &str) {
    let checkpoints = vec![(start.task, Arc::from(checkpoint))];
    agent.send(ToControl::Checkpoints { checkpoints });
}

async fn only_start(orders: &mut StreamReceiver<FromControl>) -> StartTask {
    let mut starts = ordered_starts(orders, QUIET_PERIOD).await;
    assert_eq!(starts.len(), 1, "{starts:?}");
    starts.remove(0)
}

/// Starts a task on the first worker and, once that is lost, on the second one, where it saves a
/// checkpoint. Returns the agents and the first start.
async fn restart_elsewhere(cell: &TestCell) -> (AgentSession, AgentSession, StartTask) {
    let (first, mut first_orders) = open_agent_session(cell, 0).await;
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let first_start = only_start(&mut first_orders).await;
    report_checkpoint(&first, &first_start, EARLIER);
    let (second, mut second_orders) = open_agent_session(cell, 1).await;
    first.send(ToControl::LeaseExpired);
    let second_start = only_start(&mut second_orders).await;
    assert_eq!(&*second_start.checkpoint, EARLIER);
    report_checkpoint(&second, &second_start, LATEST);
    tokio::time::sleep(QUIET_PERIOD).await;
    ((first, first_orders), (second, second_orders), first_start)
}

/// Loses the second worker and returns the start that the first one gets then.
async fn restart_on_first(
    (first, mut first_orders): AgentSession,
    (second, _second_orders): AgentSession,
) -> StartTask {
    tokio::time::sleep(QUIET_PERIOD).await;
    let key = worker_heartbeat(1).key;
    second.send(ToControl::WorkerEnded { key });
    first.send(ToControl::WorkerReport(Box::new(idle_report(0, 1))));
    only_start(&mut first_orders).await
}

#[tokio::test]
async fn a_worker_that_lost_the_task_does_not_replace_its_checkpoint() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let (first, second, first_start) = restart_elsewhere(&cell).await;
    report_checkpoint(&first.0, &first_start, EARLIER);
    let start = restart_on_first(first, second).await;
    assert_eq!(&*start.checkpoint, LATEST);
}

#[tokio::test]
async fn a_late_completion_does_not_drop_the_checkpoint_of_a_newer_run() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let (first, second, first_start) = restart_elsewhere(&cell).await;
    let lapsed = RunCompletion {
        number: 1,
        task: first_start.task,
        run: first_start.run,
        outcome: RunOutcome::Lapsed,
        checkpoint: Arc::from(""),
    };
    first.0.send(ToControl::Completions {
        key: worker_heartbeat(0).key,
        completions: vec![lapsed],
    });
    let start = restart_on_first(first, second).await;
    assert_eq!(&*start.checkpoint, LATEST);
}

#[tokio::test]
async fn a_completion_without_a_checkpoint_does_not_drop_the_one_reported_before() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let (agent, mut orders) = open_agent_session(&cell, 0).await;
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let start = only_start(&mut orders).await;
    report_checkpoint(&agent, &start, LATEST);
    let failed = RunCompletion {
        number: 1,
        task: start.task,
        run: start.run,
        outcome: RunOutcome::Failed,
        checkpoint: Arc::from(""),
    };
    agent.send(ToControl::Completions {
        key: worker_heartbeat(0).key,
        completions: vec![failed],
    });
    assert_eq!(&*only_start(&mut orders).await.checkpoint, LATEST);
}
