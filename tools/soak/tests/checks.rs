//! Checks of long-running tasks that are idle for too long, and of failed jobs.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

use std::time::Duration;
use std::time::Instant;

use soak::checks::find_idle_task;
use soak::checks::may_have_failed;
use soak::checks::LongRunningTask;
use soak::faults::FaultSpan;

use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_standin::simulated_worker::RecordedRun;

/// Times in seconds from the acceptance of a job with one task.
struct History {
    /// Start and end of each run.
    runs: &'static [(u64, Option<u64>)],
    faults: &'static [(u64, u64)],
}

/// Whether the task of the history is idle for too long before a time.
fn is_idle(history: &History, until: u64) -> bool {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let task = LongRunningTask {
        task: "0000000000000001.0.0.0".parse().unwrap(),
        accepted_at: start,
    };
    let runs = history.runs.iter().map(|(from, to)| RecordedRun {
        task: task.task,
        run: RunNumber(1),
        worker: 0,
        started_at: at(*from),
        ended: to.map(at),
        outcome: None,
        void: false,
    });
    let faults = history.faults.iter().map(|(from, to)| FaultSpan {
        began_at: at(*from),
        ended_at: at(*to),
    });
    let (runs, faults) = (runs.collect::<Vec<_>>(), faults.collect::<Vec<_>>());
    find_idle_task(&[task], &runs, &faults, at(until)).is_some()
}

// Guards against an ended run that nobody starts again.
#[test]
fn ended_run_without_successor_is_found_after_nine_seconds() {
    let history = History {
        runs: &[(1, Some(20))],
        faults: &[],
    };
    assert!(!is_idle(&history, 28));
    assert!(is_idle(&history, 29));
}

// Guards against an accepted job that never starts.
#[test]
fn task_that_never_ran_is_found() {
    let history = History {
        runs: &[],
        faults: &[],
    };
    assert!(!is_idle(&history, 8));
    assert!(is_idle(&history, 9));
}

// Guards against a check that looks only at the end of the history.
#[test]
fn gap_between_two_runs_is_found_later() {
    let history = History {
        runs: &[(1, Some(20)), (40, None)],
        faults: &[],
    };
    assert!(is_idle(&history, 100));
}

// Guards against a check that asks for more than is promised during faults.
#[test]
fn gap_that_faults_excuse_is_not_found() {
    let history = History {
        runs: &[(1, Some(20)), (40, None)],
        faults: &[(10, 24), (30, 36)],
    };
    assert!(!is_idle(&history, 100));
}

// Guards against faults that excuse calm periods between them.
#[test]
fn calm_period_between_two_faults_is_found() {
    let history = History {
        runs: &[(1, Some(20)), (60, None)],
        faults: &[(10, 24), (40, 50)],
    };
    assert!(is_idle(&history, 100));
}

/// Runs of the tasks of job 1, by the index of the task and the outcome.
fn ended_runs(outcomes: &[(u32, RunOutcome)]) -> Vec<RecordedRun> {
    let now = Instant::now();
    let runs = outcomes.iter().map(|(index, outcome)| RecordedRun {
        task: format!("0000000000000001.0.0.{index}").parse().unwrap(),
        run: RunNumber(1),
        worker: 0,
        started_at: now,
        ended: Some(now),
        outcome: Some(*outcome),
        void: false,
    });
    runs.collect()
}

#[test]
fn job_may_fail_after_three_failed_runs_of_one_task() {
    let failed = RunOutcome::Failed;
    let runs = ended_runs(&[(0, failed), (1, failed), (0, failed), (0, failed)]);
    assert!(may_have_failed(1, &runs));
    assert!(!may_have_failed(2, &runs));
}

// Guards against a job that counts lost runs, or those of different tasks, as failures of one.
#[test]
fn job_may_not_fail_because_of_other_ends() {
    let (failed, lapsed) = (RunOutcome::Failed, RunOutcome::Lapsed);
    let runs = ended_runs(&[(0, failed), (0, lapsed), (0, failed), (1, failed)]);
    assert!(!may_have_failed(1, &runs));
}
