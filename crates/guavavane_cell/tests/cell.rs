//! A cell on loopback whose workers stop answering, refuse starts or lose answers.
//!
//! Guards against tasks that run twice or never: when the lease of a silent worker expires, when
//! a start is executed but its answer is lost, and when a job is submitted twice or cancelled.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::support::step;
use crate::support::TestCell;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::JobState;
use guavavane_cell::prelude::OperatorReply;
use guavavane_jobs::prelude::RunOutcome;

/// Run time of a task.
const TASK_RUN_TIME: Duration = Duration::from_millis(150);
/// Longest wait for a job that nothing delays.
const JOB_TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn a_job_completes_its_steps_in_order() {
    let cell = TestCell::start(2, TASK_RUN_TIME).await;
    let steps = vec![step(4, vec![]), step(2, vec![0])];
    assert_eq!(cell.submit(1, steps).await, CallerReply::Accepted);
    cell.wait_for_state(1, JobState::Completed, JOB_TIMEOUT)
        .await;
    cell.history.assert_no_duplicate_runs();
    let runs = cell.history.all();
    assert_eq!(runs.len(), 6);
    let first_step_end = runs.iter().filter(|run| run.task.step.step == 0);
    let first_step_end = first_step_end.map(|run| run.ended.unwrap()).max().unwrap();
    let second_step = runs.iter().filter(|run| run.task.step.step == 1);
    assert!(second_step.map(|run| run.started_at).min().unwrap() >= first_step_end);
}

#[tokio::test]
async fn a_job_submitted_twice_runs_once() {
    let cell = TestCell::start(1, TASK_RUN_TIME).await;
    let steps = || vec![step(2, vec![])];
    assert_eq!(cell.submit(1, steps()).await, CallerReply::Accepted);
    assert_eq!(cell.submit(1, steps()).await, CallerReply::Accepted);
    cell.wait_for_state(1, JobState::Completed, JOB_TIMEOUT)
        .await;
    assert_eq!(cell.submit(1, steps()).await, CallerReply::Accepted);
    tokio::time::sleep(TASK_RUN_TIME * 2).await;
    assert_eq!(cell.history.all().len(), 2);
}

#[tokio::test]
async fn tasks_of_a_silent_worker_restart_elsewhere_after_lease_expiry() {
    let cell = TestCell::start(2, Duration::from_secs(2)).await;
    assert_eq!(
        cell.submit(1, vec![step(6, vec![])]).await,
        CallerReply::Accepted
    );
    cell.wait_for_state(1, JobState::Running, JOB_TIMEOUT).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    cell.workers[0].silent.store(true, Ordering::Relaxed);
    let silent_worker = cell.workers[0].clone();
    tokio::spawn(async move {
        // The silent worker keeps running its tasks until its lease expires.
        loop {
            silent_worker.advance();
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    let started_at = Instant::now();
    cell.wait_for_state(1, JobState::Completed, Duration::from_secs(8))
        .await;
    cell.history.assert_no_duplicate_runs();
    let lapsed = cell.history.all().into_iter();
    let lapsed = lapsed.filter(|run| run.outcome == Some(RunOutcome::Lapsed));
    assert!(lapsed.count() > 0, "the silent worker had tasks");
    assert!(started_at.elapsed() < Duration::from_secs(5));
}

#[tokio::test]
async fn tasks_run_once_while_workers_fall_silent_and_recover() {
    let cell = TestCell::start(2, TASK_RUN_TIME).await;
    for worker in cell.workers.clone() {
        // Workers make progress while they are silent, too.
        tokio::spawn(async move {
            loop {
                worker.advance();
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
    }
    // More tasks than capacity at all times, so that a worker gets starts as soon as it answers.
    let jobs = 12;
    for key in 1..=jobs {
        let steps = vec![step(24, vec![])];
        assert_eq!(cell.submit(key, steps).await, CallerReply::Accepted);
    }
    for round in 0..4 {
        let silence = &cell.workers[round % 2].silent;
        silence.store(true, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        silence.store(false, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    for key in 1..=jobs {
        cell.wait_for_state(key, JobState::Completed, Duration::from_secs(20))
            .await;
    }
    cell.history.assert_no_duplicate_runs();
}

#[tokio::test]
async fn a_refused_start_goes_to_another_worker() {
    let cell = TestCell::start(2, TASK_RUN_TIME).await;
    cell.workers[0]
        .out_of_capacity
        .store(true, Ordering::Relaxed);
    assert_eq!(
        cell.submit(1, vec![step(4, vec![])]).await,
        CallerReply::Accepted
    );
    tokio::time::sleep(Duration::from_millis(400)).await;
    cell.workers[0]
        .out_of_capacity
        .store(false, Ordering::Relaxed);
    cell.wait_for_state(1, JobState::Completed, JOB_TIMEOUT)
        .await;
    cell.history.assert_no_duplicate_runs();
}

#[tokio::test]
async fn a_start_whose_answer_is_lost_runs_once() {
    let cell = TestCell::start(1, TASK_RUN_TIME).await;
    cell.workers[0].drops_answers.store(true, Ordering::Relaxed);
    assert_eq!(
        cell.submit(1, vec![step(3, vec![])]).await,
        CallerReply::Accepted
    );
    cell.wait_for_state(1, JobState::Completed, JOB_TIMEOUT)
        .await;
    cell.history.assert_no_duplicate_runs();
    assert_eq!(cell.history.all().len(), 3);
}

#[tokio::test]
async fn a_cancelled_job_stops_and_stays_cancelled() {
    let cell = TestCell::start(1, Duration::from_secs(30)).await;
    assert_eq!(
        cell.submit(1, vec![step(2, vec![])]).await,
        CallerReply::Accepted
    );
    cell.wait_for_state(1, JobState::Running, JOB_TIMEOUT).await;
    let cancelled = cell.call(1, CallerAction::Cancel).await;
    assert_eq!(cancelled, CallerReply::Cancelled);
    cell.wait_for_state(1, JobState::Cancelled, JOB_TIMEOUT)
        .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let runs = cell.history.all();
    assert!(runs
        .iter()
        .all(|run| run.outcome == Some(RunOutcome::Stopped)));
    assert_eq!(cell.call(2, CallerAction::Cancel).await, CallerReply::NoJob);
}

#[tokio::test]
async fn nothing_starts_in_an_excluded_data_centre() {
    let cell = TestCell::start(2, TASK_RUN_TIME).await;
    let excluded = cell.control.set_excluded(Arc::from("caxias"), true).await;
    assert_eq!(excluded, OperatorReply::Done);
    assert_eq!(
        cell.submit(1, vec![step(6, vec![])]).await,
        CallerReply::Accepted
    );
    cell.wait_for_state(1, JobState::Completed, JOB_TIMEOUT)
        .await;
    assert!(cell.history.all().iter().all(|run| run.worker == 1));
    let readmitted = cell.control.set_excluded(Arc::from("caxias"), false).await;
    assert_eq!(readmitted, OperatorReply::Done);
}

#[tokio::test]
async fn an_older_configuration_is_acknowledged_and_changes_nothing() {
    let cell = TestCell::start(0, TASK_RUN_TIME).await;
    cell.put_catalog(7).await;
    cell.put_catalog(3).await;
    let held = cell.control.read_catalog().await;
    assert_eq!(held, OperatorReply::Catalog(Arc::from("version 7")));
}

#[tokio::test]
async fn a_path_outside_all_queues_and_a_malformed_identity_are_rejected() {
    let cell = TestCell::start(0, TASK_RUN_TIME).await;
    let request = guavavane_cell::entry::CallerRequest {
        host: support::HOST.to_owned(),
        path: "/other/0".to_owned(),
        action: CallerAction::Query,
    };
    let reply = cell.entry.call(request, JOB_TIMEOUT).await;
    assert_eq!(reply, CallerReply::NoQueue);
    let request = guavavane_cell::entry::CallerRequest {
        host: support::HOST.to_owned(),
        path: format!("{}XYZ", support::PREFIX),
        action: CallerAction::Query,
    };
    let reply = cell.entry.call(request, JOB_TIMEOUT).await;
    assert!(matches!(reply, CallerReply::Invalid(_)), "{reply:?}");
}
