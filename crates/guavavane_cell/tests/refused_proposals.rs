//! Proposals that a leader refuses while it is overloaded, and goes on to lead.
//!
//! Guards against what an agent reports only once and the leader then forgets: a run that has ended,
//! a run that never started, a worker that has gone, a worker that is new.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::support::idle_report;
use crate::support::open_agent_session;
use crate::support::ordered_starts;
use crate::support::step;
use crate::support::worker_heartbeat;
use crate::support::TestCell;
use crate::support::HOST;
use crate::support::PREFIX;
use guavavane_cell::entry::CallerRequest;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::StartTask;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::JobState;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::ResourceVector;
use guavavane_transport::prelude::StreamReceiver;
use guavavane_transport::prelude::StreamSender;

/// Number of proposals that overload the leader.
const BURST: u64 = 200;
/// Number of tasks of a job.
const TASKS: u64 = 3;
/// Time without a start after which a test expects no more.
const QUIET_PERIOD: Duration = Duration::from_millis(700);
/// Longest wait for what a leader must do again: twice the rounds of its maintenance, of half a second
/// each, that get one proposal for each task and one for the starts through.
const REPAIR_MAX: Duration = Duration::from_millis(4_000);

/// Submits jobs that fit on no worker: each is a proposal.
fn overload(agent: &StreamSender<ToControl>) {
    let mut oversized = step(1, vec![]);
    oversized.demand = ResourceVector::new(1_000_000, 1_000, 0);
    let job = RawJob {
        payload: "payload".to_owned(),
        steps: vec![oversized],
        ..RawJob::default()
    };
    for call_id in 1..=BURST {
        let request = CallerRequest {
            host: HOST.to_owned(),
            path: format!("{PREFIX}{:016x}", rand::random::<u64>()),
            action: CallerAction::Submit(Arc::new(job.clone())),
        };
        agent.send(ToControl::Call { call_id, request });
    }
}

/// Submits a job until the leader accepts it, and returns the starts of its tasks.
async fn start_job(
    cell: &TestCell,
    key: u64,
    orders: &mut StreamReceiver<FromControl>,
) -> Vec<StartTask> {
    while cell.submit(key, vec![step(TASKS, vec![])]).await != CallerReply::Accepted {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let starts = ordered_starts(orders, QUIET_PERIOD).await;
    assert_eq!(starts.len() as u64, TASKS);
    starts
}

fn completion(number: u64, start: &StartTask) -> RunCompletion {
    RunCompletion {
        number,
        task: start.task,
        run: start.run,
        outcome: RunOutcome::Done,
        checkpoint: Arc::from(""),
    }
}

/// Highest completion that the leader acknowledges within a time.
async fn last_acknowledged(orders: &mut StreamReceiver<FromControl>) -> u64 {
    let mut highest = 0;
    let until = Instant::now() + QUIET_PERIOD;
    while let Ok(Some(message)) = timeout_at(until, orders.receive()).await {
        if let FromControl::CompletionsCommitted {
            last_completion, ..
        } = message
        {
            highest = highest.max(last_completion);
        }
    }
    highest
}

#[tokio::test]
async fn a_completion_is_recorded_although_its_first_proposal_was_refused() {
    let cell = TestCell::start_overloaded().await;
    let (agent, mut orders) = open_agent_session(&cell, 0).await;
    let starts = start_job(&cell, 1, &mut orders).await;
    let key = worker_heartbeat(0).key;
    for (number, start) in (1..).zip(&starts) {
        // The leader refuses the first completions, and records the last one before it tries again.
        if number < TASKS {
            overload(&agent);
        } else {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        agent.send(ToControl::Completions {
            key: key.clone(),
            completions: vec![completion(number, start)],
        });
    }
    cell.wait_for_state(1, JobState::Completed, REPAIR_MAX)
        .await;
    assert_eq!(last_acknowledged(&mut orders).await, TASKS);
}

/// The worker forgets what it is told that the leader has recorded.
#[tokio::test]
async fn a_refused_completion_is_not_acknowledged_with_a_later_one() {
    let cell = TestCell::start_overloaded().await;
    let (agent, mut orders) = open_agent_session(&cell, 0).await;
    let starts = start_job(&cell, 1, &mut orders).await;
    let key = worker_heartbeat(0).key;
    overload(&agent);
    for (number, start) in (1..).zip(&starts) {
        agent.send(ToControl::Completions {
            key: key.clone(),
            completions: vec![completion(number, start)],
        });
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let acknowledged = async {
        while let Some(message) = orders.receive().await {
            if let FromControl::CompletionsCommitted {
                last_completion, ..
            } = message
            {
                if last_completion == TASKS {
                    return;
                }
            }
        }
    };
    assert!(timeout(REPAIR_MAX, acknowledged).await.is_ok());
    cell.wait_for_state(1, JobState::Completed, Duration::ZERO)
        .await;
}

#[tokio::test]
async fn a_withdrawn_run_starts_anew_although_the_first_proposal_was_refused() {
    let cell = TestCell::start_overloaded().await;
    let (agent, mut orders) = open_agent_session(&cell, 0).await;
    let starts = start_job(&cell, 1, &mut orders).await;
    overload(&agent);
    for start in &starts {
        agent.send(ToControl::Withdrawn {
            key: worker_heartbeat(0).key,
            task: start.task,
            run: start.run,
        });
    }
    let starts = ordered_starts(&mut orders, REPAIR_MAX).await;
    assert_eq!(starts.len() as u64, TASKS, "{starts:?}");
    assert!(starts.iter().all(|start| start.run.0 == 2), "{starts:?}");
}

#[tokio::test]
async fn the_tasks_of_a_gone_worker_start_elsewhere_although_the_first_proposal_was_refused() {
    let cell = TestCell::start_overloaded().await;
    let (agent, mut orders) = open_agent_session(&cell, 0).await;
    start_job(&cell, 1, &mut orders).await;
    let (_other, mut other_orders) = open_agent_session(&cell, 1).await;
    tokio::time::sleep(QUIET_PERIOD).await;
    overload(&agent);
    let key = worker_heartbeat(0).key;
    agent.send(ToControl::WorkerEnded { key });
    let starts = ordered_starts(&mut other_orders, REPAIR_MAX).await;
    assert_eq!(starts.len() as u64, TASKS, "{starts:?}");
}

#[tokio::test]
async fn a_new_worker_is_used_although_its_first_proposal_was_refused() {
    let cell = TestCell::start_overloaded().await;
    let (agent, mut orders) = open_agent_session(&cell, 0).await;
    tokio::time::sleep(QUIET_PERIOD).await;
    overload(&agent);
    let mut report = idle_report(0, 0);
    report.key.started_ms += 1;
    let key = report.key.clone();
    agent.send(ToControl::WorkerReport(Box::new(report)));
    tokio::time::sleep(REPAIR_MAX).await;
    while cell.submit(1, vec![step(TASKS, vec![])]).await != CallerReply::Accepted {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(starts_on(&key, &mut orders).await, TASKS);
}

/// Number of starts on a worker within a time.
async fn starts_on(key: &WorkerKey, orders: &mut StreamReceiver<FromControl>) -> u64 {
    let mut starts = 0;
    let until = Instant::now() + REPAIR_MAX;
    while let Ok(Some(message)) = timeout_at(until, orders.receive()).await {
        if matches!(&message, FromControl::Start { key: ordered, .. } if ordered == key) {
            starts += 1;
        }
    }
    starts
}

/// The end of a worker may overtake the proposal that adds it.
#[tokio::test]
async fn nothing_starts_on_a_worker_that_ended_before_it_was_added() {
    for is_overloaded in [false, true] {
        let cell = TestCell::start_overloaded().await;
        let (agent, mut orders) = open_agent_session(&cell, 0).await;
        tokio::time::sleep(QUIET_PERIOD).await;
        let gone = worker_heartbeat(0).key;
        agent.send(ToControl::WorkerEnded { key: gone });
        tokio::time::sleep(QUIET_PERIOD).await;
        let mut report = idle_report(0, 0);
        report.key.started_ms += 1;
        let key = report.key.clone();
        if is_overloaded {
            overload(&agent);
        }
        agent.send(ToControl::WorkerReport(Box::new(report)));
        agent.send(ToControl::WorkerEnded { key: key.clone() });
        tokio::time::sleep(QUIET_PERIOD).await;
        while cell.submit(1, vec![step(TASKS, vec![])]).await != CallerReply::Accepted {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(starts_on(&key, &mut orders).await, 0, "{is_overloaded}");
    }
}
