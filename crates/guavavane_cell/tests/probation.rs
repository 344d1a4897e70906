//! Starts on workers on which runs have failed.
//!
//! Guards against workers that nothing brings back into use: a job that fails everywhere fails on all
//! of them, and the runs that they hold never end.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use crate::support::step;
use crate::support::TestCell;
use guavavane_cell::message::JobState;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RawStep;
use guavavane_model::prelude::ResourceVector;
use guavavane_standin::simulated_worker::FAILING_PAYLOAD;
use guavavane_standin::simulated_worker::LONG_RUNNING_PAYLOAD;

/// Run time of a task that ends by itself.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Longest wait for a job: 4 s for the cell to become stable, and 3 s in which a task that can run may
/// wait.
const JOB_TIMEOUT: Duration = Duration::from_secs(7);
/// Number of workers.
const WORKERS: u64 = 2;
/// Tasks of a long-running job that takes all trials of the workers for longer than `JOB_TIMEOUT`.
const MANY_TASKS: u64 = 20;
/// Tasks of a long-running job that a few trials of the workers could start.
const LONG_RUNNING_TASKS: u64 = 4;
/// Jobs of one task that take all trials of the workers for longer than `JOB_TIMEOUT`.
const SMALL_JOBS: u64 = 200;

async fn submit(cell: &TestCell, key: u64, payload: &str, step: RawStep) {
    let job = RawJob {
        payload: payload.to_owned(),
        steps: vec![step],
        ..RawJob::default()
    };
    let reply = cell.call(key, CallerAction::Submit(Arc::new(job))).await;
    assert_eq!(reply, CallerReply::Accepted);
}

/// Submits a job whose tasks run on each worker and don't end by themselves.
async fn occupy_workers(cell: &TestCell, long_running: bool) {
    let endless_step = RawStep {
        per_worker_max: 1,
        long_running,
        ..step(WORKERS, Vec::new())
    };
    submit(cell, 1, LONG_RUNNING_PAYLOAD, endless_step).await;
    cell.wait_for_starts(WORKERS as usize, JOB_TIMEOUT).await;
}

/// Submits a job that fails on all workers, and then one that can be done.
async fn assert_jobs_end(cell: &TestCell) {
    submit(cell, 2, FAILING_PAYLOAD, step(8, Vec::new())).await;
    cell.wait_for_state(2, JobState::Failed, JOB_TIMEOUT).await;
    submit(cell, 3, "payload", step(1, Vec::new())).await;
    cell.wait_for_state(3, JobState::Completed, JOB_TIMEOUT)
        .await;
}

// Guards against a cell that starts nothing more once each worker holds a long-running task and a job
// has failed everywhere.
#[tokio::test]
async fn workers_with_long_running_tasks_stay_in_use_after_a_job_that_fails_everywhere() {
    let cell = TestCell::start(WORKERS as usize, RUN_TIME).await;
    occupy_workers(&cell, true).await;
    assert_jobs_end(&cell).await;
}

// Guards against workers that are held up by a single task which takes very long.
#[tokio::test]
async fn workers_with_endless_finite_tasks_stay_in_use_after_a_job_that_fails_everywhere() {
    let cell = TestCell::start(WORKERS as usize, RUN_TIME).await;
    occupy_workers(&cell, false).await;
    assert_jobs_end(&cell).await;
}

// Guards against long-running tasks that wait for ever because nothing finite runs on the workers.
#[tokio::test]
async fn long_running_tasks_start_beside_others_after_a_job_that_fails_everywhere() {
    let cell = TestCell::start(WORKERS as usize, RUN_TIME).await;
    occupy_workers(&cell, true).await;
    submit(&cell, 2, FAILING_PAYLOAD, step(8, Vec::new())).await;
    cell.wait_for_state(2, JobState::Failed, JOB_TIMEOUT).await;
    let started = cell.history.all().len();
    let further_step = RawStep {
        long_running: true,
        ..step(2 * WORKERS, Vec::new())
    };
    submit(&cell, 3, LONG_RUNNING_PAYLOAD, further_step).await;
    let expected = started + 2 * WORKERS as usize;
    cell.wait_for_starts(expected, JOB_TIMEOUT).await;
}

// Guards against a gang that needs more tasks on a worker than one trial at a time allows.
#[tokio::test]
async fn a_gang_wider_than_the_cell_starts_after_a_job_that_fails_everywhere() {
    let cell = TestCell::start(WORKERS as usize, RUN_TIME).await;
    submit(&cell, 2, FAILING_PAYLOAD, step(8, Vec::new())).await;
    cell.wait_for_state(2, JobState::Failed, JOB_TIMEOUT).await;
    let gang_step = RawStep {
        gang: true,
        ..step(2 * WORKERS, Vec::new())
    };
    submit(&cell, 3, "payload", gang_step).await;
    cell.wait_for_state(3, JobState::Completed, JOB_TIMEOUT)
        .await;
}

/// Long-running step of many small tasks, which all have room beside others.
fn wide_long_running_step() -> RawStep {
    RawStep {
        long_running: true,
        demand: ResourceVector::new(100, 100, 0),
        ..step(MANY_TASKS, Vec::new())
    }
}

/// Submits a job that can be done and waits until it is.
async fn assert_job_completes(cell: &TestCell) {
    submit(cell, 3, "payload", step(1, Vec::new())).await;
    cell.wait_for_state(3, JobState::Completed, JOB_TIMEOUT)
        .await;
}

// Guards against workers on which nothing fails any more, but which stay out of use because long-running
// tasks take all their trials and never end.
#[tokio::test]
async fn a_job_starts_beside_many_waiting_long_running_tasks_after_a_job_that_fails_everywhere() {
    let cell = TestCell::start(WORKERS as usize, RUN_TIME).await;
    submit(&cell, 1, FAILING_PAYLOAD, step(8, Vec::new())).await;
    cell.wait_for_state(1, JobState::Failed, JOB_TIMEOUT).await;
    submit(&cell, 2, LONG_RUNNING_PAYLOAD, wide_long_running_step()).await;
    assert_job_completes(&cell).await;
}

// Guards against a cell in which nothing else starts beside a long-running job that fails everywhere, which
// has no limit of attempts.
#[tokio::test]
async fn a_job_starts_beside_a_long_running_job_that_fails_everywhere() {
    let cell = TestCell::start(WORKERS as usize, RUN_TIME).await;
    submit(&cell, 2, FAILING_PAYLOAD, wide_long_running_step()).await;
    cell.wait_for_starts(4 * MANY_TASKS as usize, JOB_TIMEOUT)
        .await;
    assert_job_completes(&cell).await;
}

// Guards against many long-running tasks that start one a second on each worker on which nothing fails any
// more.
#[tokio::test]
async fn many_long_running_tasks_start_after_a_job_that_fails_everywhere() {
    let cell = TestCell::start(WORKERS as usize, RUN_TIME).await;
    submit(&cell, 1, FAILING_PAYLOAD, step(8, Vec::new())).await;
    cell.wait_for_state(1, JobState::Failed, JOB_TIMEOUT).await;
    submit(&cell, 2, LONG_RUNNING_PAYLOAD, wide_long_running_step()).await;
    cell.wait_for_runs_of(2, MANY_TASKS as usize, JOB_TIMEOUT)
        .await;
}

// Guards against long-running tasks that wait for ever beside a long-running job that fails everywhere and
// comes before them.
#[tokio::test]
async fn long_running_tasks_start_beside_a_long_running_job_that_fails_everywhere() {
    let cell = TestCell::start(WORKERS as usize, RUN_TIME).await;
    submit(&cell, 1, FAILING_PAYLOAD, wide_long_running_step()).await;
    cell.wait_for_starts(4 * MANY_TASKS as usize, JOB_TIMEOUT)
        .await;
    submit(&cell, 2, LONG_RUNNING_PAYLOAD, wide_long_running_step()).await;
    cell.wait_for_runs_of(2, MANY_TASKS as usize, JOB_TIMEOUT)
        .await;
}

// Guards against long-running tasks that wait for ever beside a stream of small jobs that fail and take all
// trials.
#[tokio::test]
async fn long_running_tasks_start_beside_many_small_jobs_that_fail() {
    let cell = TestCell::start(WORKERS as usize, RUN_TIME).await;
    submit(&cell, 1, FAILING_PAYLOAD, step(8, Vec::new())).await;
    cell.wait_for_state(1, JobState::Failed, JOB_TIMEOUT).await;
    let long_running_step = RawStep {
        tasks: LONG_RUNNING_TASKS,
        ..wide_long_running_step()
    };
    submit(&cell, 2, LONG_RUNNING_PAYLOAD, long_running_step).await;
    for key in 3..3 + SMALL_JOBS {
        submit(&cell, key, FAILING_PAYLOAD, step(1, Vec::new())).await;
    }
    cell.wait_for_runs_of(2, LONG_RUNNING_TASKS as usize, JOB_TIMEOUT)
        .await;
}
