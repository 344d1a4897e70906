//! Starts that a worker refuses because the run was stopped on it before.
//!
//! Guards against a task that never runs: if the withdrawal of a stopped run is lost, with its agent
//! or its leader, the run is ordered again, and the worker refuses it for ever.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::time::Duration;

use crate::support::step;
use crate::support::worker_heartbeat;
use crate::support::TestCell;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::JobState;
use guavavane_cell::prelude::OrderAnswer;
use guavavane_cell::prelude::WorkerApi;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::StepKey;
use guavavane_jobs::prelude::TaskKey;

/// Time that each task needs.
const TASK_RUN_TIME: Duration = Duration::from_millis(100);
/// Longest wait for the job.
const JOB_TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn a_task_whose_run_was_stopped_before_gets_a_new_run() {
    let cell = TestCell::start(1, TASK_RUN_TIME).await;
    let task = TaskKey {
        step: StepKey {
            job: JobKey(1),
            occurrence: 0,
            step: 0,
        },
        index: 0,
    };
    // An agent that has restarted since, so that it no longer knows of the stop.
    let key = worker_heartbeat(0).key;
    let stopped = cell.workers[0].stop(key, 0, task, RunNumber(1)).await;
    assert_eq!(stopped, OrderAnswer::Done);

    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    cell.wait_for_state(1, JobState::Completed, JOB_TIMEOUT)
        .await;
    let runs = cell.history.all();
    assert_eq!(runs.len(), 1, "{runs:?}");
    assert_eq!(runs[0].run, RunNumber(2));
}
