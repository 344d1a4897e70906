//! A job with a schedule, which becomes due while its cell runs.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::support::step;
use crate::support::TestCell;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::JobState;
use guavavane_jobs::prelude::RawJob;

/// Run time of a task.
const TASK_RUN_TIME: Duration = Duration::from_millis(100);
/// Time from the submission to the first occurrence.
const FIRST_DELAY: Duration = Duration::from_millis(600);
/// Time between two occurrences.
const PERIOD: Duration = Duration::from_millis(500);
/// Number of occurrences.
const OCCURRENCES: u32 = 3;
/// Longest wait for the completion of the job.
const JOB_TIMEOUT: Duration = Duration::from_secs(10);

// Guards against occurrences that start before they are due, twice or never.
#[tokio::test]
async fn a_scheduled_job_runs_once_for_each_occurrence() {
    let cell = TestCell::start(1, TASK_RUN_TIME).await;
    let submitted_at = Instant::now();
    let first_due = SystemTime::now() + FIRST_DELAY;
    let first_due_ms = first_due.duration_since(UNIX_EPOCH).unwrap().as_millis();
    let job = RawJob {
        steps: vec![step(1, vec![])],
        repeats: u64::from(OCCURRENCES),
        first_due_ms: u64::try_from(first_due_ms).unwrap(),
        period_ms: u64::try_from(PERIOD.as_millis()).unwrap(),
        ..RawJob::default()
    };
    let reply = cell.call(1, CallerAction::Submit(Arc::new(job))).await;
    assert_eq!(reply, CallerReply::Accepted);
    cell.wait_for_state(1, JobState::Completed, JOB_TIMEOUT)
        .await;
    tokio::time::sleep(PERIOD).await;

    cell.history.assert_no_duplicate_runs();
    let runs = cell.history.all();
    assert_eq!(runs.len() as u32, OCCURRENCES, "{runs:?}");
    // The due time is rounded down to a millisecond.
    let first_due_at = submitted_at + FIRST_DELAY - Duration::from_millis(1);
    for (number, run) in (0..).zip(&runs) {
        let due_at = first_due_at + PERIOD * number;
        assert!(run.started_at >= due_at, "occurrence {number}: {runs:?}");
    }
}
