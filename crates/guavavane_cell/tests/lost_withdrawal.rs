//! Runs whose stop the worker has executed, but of whose withdrawal the leader knows nothing.

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
use guavavane_jobs::prelude::RunNumber;

/// Time within which a task whose turn has come must run while there is free capacity.
const START_TIME_MAX: Duration = Duration::from_secs(7);

// Guards against a task that waits forever for a run which its worker refuses as stopped.
#[tokio::test]
async fn a_run_that_its_worker_refuses_as_stopped_is_replaced() {
    let cell = TestCell::start(1, Duration::from_millis(100)).await;
    // An agent stopped the run, and its report of the withdrawal was lost.
    let task = "0000000000000001.0.0.0".parse().unwrap();
    let key = worker_heartbeat(0).key;
    let stopped = cell.workers[0].stop(key, 1, task, RunNumber(1)).await;
    assert_eq!(stopped, OrderAnswer::Done);
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    cell.wait_for_state(1, JobState::Completed, START_TIME_MAX)
        .await;
    cell.history.assert_no_duplicate_runs();
}
