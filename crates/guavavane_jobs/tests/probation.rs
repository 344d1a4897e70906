//! Probation of workers on which runs keep failing, and the trials that end it.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::time::Duration;

use crate::support::add_worker;
use crate::support::job_with_steps;
use crate::support::ledger_with_queue;
use crate::support::raw_step;
use crate::support::replay::Replay;
use crate::support::submit;
use guavavane_jobs::plan::order::waiting_steps;
use guavavane_jobs::plan::probation::JobFailures;
use guavavane_jobs::plan::probation::TrialOrder;
use guavavane_jobs::plan::probation::WorkerProbation;
use guavavane_jobs::plan::probation::PROBATION_FAILURES_MIN;
use guavavane_jobs::plan::probation::TRIAL_INTERVAL;
use guavavane_jobs::prelude::StepKind;
use guavavane_model::prelude::BootTime;

/// Time of the first failure.
const FAILED_AT: BootTime = BootTime::from_millis(10_000);

fn failed_worker() -> WorkerProbation {
    let mut probation = WorkerProbation::default();
    for _ in 0..PROBATION_FAILURES_MIN {
        assert_eq!(probation.trials_due(FAILED_AT), None);
        probation.record_failure(FAILED_AT);
    }
    probation
}

// Guards against a worker that is kept out of use for longer than one trial.
#[test]
fn the_next_trial_follows_after_the_interval_or_the_end_of_the_one_before() {
    let mut probation = failed_worker();
    let next = FAILED_AT + TRIAL_INTERVAL;
    let before_next = FAILED_AT + Duration::from_millis(1);
    assert_eq!(probation.trials_due(before_next), Some(0));
    assert_eq!(probation.trials_due(next), Some(1));
    probation.record_start(next);
    assert_eq!(probation.trials_due(next), Some(0));
    probation.make_trial_due();
    assert_eq!(probation.trials_due(next), Some(1));
}

// Guards against a worker that stays on probation after a run has succeeded on it.
#[test]
fn a_success_ends_the_probation() {
    let mut probation = failed_worker();
    probation.record_success();
    assert!(!probation.is_active());
    probation.record_start(FAILED_AT);
    assert_eq!(probation.trials_due(FAILED_AT), None);
}

// Guards against a worker that stays on probation because none of its runs ends.
#[test]
fn trials_that_go_on_end_the_probation() {
    let mut probation = failed_worker();
    let mut now = FAILED_AT;
    for trials in [1, 2, 4] {
        now = now + TRIAL_INTERVAL;
        assert_eq!(probation.trials_due(now), Some(trials));
        for _ in 0..trials {
            probation.record_start(now);
        }
        assert_eq!(probation.trials_due(now), Some(0));
    }
    now = now + TRIAL_INTERVAL;
    assert_eq!(probation.trials_due(now), None);
    probation.record_start(now);
    assert!(!probation.is_active());
}

// Guards against ever more trials of a worker on which runs fail late.
#[test]
fn a_failure_among_the_trials_begins_again_with_one() {
    let mut probation = failed_worker();
    let first = FAILED_AT + TRIAL_INTERVAL;
    probation.record_start(first);
    let second = first + TRIAL_INTERVAL;
    probation.record_start(second);
    probation.record_failure(second);
    assert_eq!(probation.trials_due(second), Some(0));
    assert_eq!(probation.trials_due(second + TRIAL_INTERVAL), Some(1));
}

// Guards against a worker on probation that gets several tasks in one pass.
#[test]
fn a_pass_gives_a_worker_on_probation_one_task_and_any_other_worker_as_many_as_fit() {
    for (failures, expected) in [(0, 6), (PROBATION_FAILURES_MIN, 1)] {
        let mut ledger = ledger_with_queue();
        add_worker(&mut ledger, 1);
        submit(&mut ledger, 1, job_with_steps(vec![raw_step(3)]));
        submit(&mut ledger, 2, job_with_steps(vec![raw_step(3)]));
        let mut cell = Replay::new(ledger);
        for condition in cell.view.conditions.values_mut() {
            condition.probation = WorkerProbation::after_failures(failures);
        }
        cell.run_pass(
            |ledger, view| waiting_steps(ledger, &view.run_times, view.now_ms),
            |_| 0.0,
        );
        assert_eq!(cell.runs.len(), expected);
    }
}

// Guards against a job that counts as failing for ever although it isn't tried any more.
#[test]
fn a_job_counts_as_failing_after_three_failures_for_five_seconds() {
    let mut failures = JobFailures::default();
    for _ in 0..2 {
        failures.record_failure(FAILED_AT);
    }
    assert!(!failures.is_failing(FAILED_AT));
    failures.record_failure(FAILED_AT);
    assert!(failures.is_failing(FAILED_AT + Duration::from_millis(4_999)));
    let later = FAILED_AT + Duration::from_secs(5);
    assert!(!failures.is_failing(later));
    failures.record_failure(later);
    assert!(!failures.is_failing(later));
}

// Guards against steps that wait for ever behind others which always come first as trials.
#[test]
fn a_step_that_has_waited_two_seconds_comes_first_unless_its_job_keeps_failing() {
    let wait = Duration::from_secs(2);
    let order = TrialOrder::new(StepKind::LongRunning, wait, false);
    assert_eq!(order, TrialOrder::Overdue);
    let order = TrialOrder::new(StepKind::Finite, wait, true);
    assert_eq!(order, TrialOrder::Failing);
    let order = TrialOrder::new(StepKind::Finite, Duration::ZERO, false);
    assert_eq!(order, TrialOrder::Finite);
}
