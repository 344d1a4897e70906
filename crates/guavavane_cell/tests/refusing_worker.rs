//! Starts on a worker that refuses all of them, or answers none, and goes on to renew its lease.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use crate::support::step;
use crate::support::TestCell;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::JobState;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RawStep;
use guavavane_standin::simulated_worker::LONG_RUNNING_PAYLOAD;

/// Run time of a task that ends by itself.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Longest wait for a job: 4 s for the cell to become stable, and 3 s in which a task that can run may
/// wait.
const JOB_TIMEOUT: Duration = Duration::from_secs(7);

/// Cell of two workers of which the first one, which is the best for the first task, refuses all starts.
async fn cell_with_refusing_worker() -> TestCell {
    let cell = TestCell::start(2, RUN_TIME).await;
    cell.workers[0]
        .out_of_capacity
        .store(true, Ordering::Relaxed);
    cell
}

// Guards against a task that is ordered again and again on the one worker that refuses it.
#[tokio::test]
async fn a_task_that_one_worker_refuses_runs_on_another() {
    let cell = cell_with_refusing_worker().await;
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    cell.wait_for_state(1, JobState::Completed, JOB_TIMEOUT)
        .await;
}

// Guards against a task that is ordered again and again on the one worker that leaves starts unanswered.
#[tokio::test]
async fn a_task_whose_start_one_worker_leaves_unanswered_runs_on_another() {
    let cell = TestCell::start(2, RUN_TIME).await;
    cell.workers[0].holds_starts.store(true, Ordering::Relaxed);
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    cell.wait_for_state(1, JobState::Completed, JOB_TIMEOUT)
        .await;
}

// Guards against long-running tasks that are packed on a worker that refuses them.
#[tokio::test]
async fn long_running_tasks_that_one_worker_refuses_run_on_another() {
    let cell = cell_with_refusing_worker().await;
    let long_running_step = RawStep {
        long_running: true,
        ..step(2, vec![])
    };
    let job = RawJob {
        payload: LONG_RUNNING_PAYLOAD.to_owned(),
        steps: vec![long_running_step],
        ..RawJob::default()
    };
    let accepted = cell.call(1, CallerAction::Submit(Arc::new(job))).await;
    assert_eq!(accepted, CallerReply::Accepted);
    cell.wait_for_starts(2, JOB_TIMEOUT).await;
}
