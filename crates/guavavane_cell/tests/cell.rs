//! A whole cell on loopback, with workers that fail.

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
use guavavane_jobs::prelude::RunEnding;

/// Run time of a task.
const WORK: Duration = Duration::from_millis(150);
/// Longest wait for a job that nothing holds up.
const SOON: Duration = Duration::from_secs(5);

#[tokio::test]
async fn a_job_of_two_steps_is_completed_in_order() {
    let cell = TestCell::start(2, WORK).await;
    let steps = vec![step(4, vec![]), step(2, vec![0])];
    assert_eq!(cell.submit(1, steps).await, CallerReply::Accepted);
    cell.wait_state(1, JobState::Completed, SOON).await;
    cell.history.check();
    let runs = cell.history.all();
    assert_eq!(runs.len(), 6);
    let first_ends = runs.iter().filter(|run| run.task.step.step == 0);
    let first_ends = first_ends.map(|run| run.ended.unwrap()).max().unwrap();
    let second = runs.iter().filter(|run| run.task.step.step == 1);
    assert!(second.map(|run| run.begun).min().unwrap() >= first_ends);
}

#[tokio::test]
async fn a_job_handed_in_twice_is_one_job() {
    let cell = TestCell::start(1, WORK).await;
    let steps = || vec![step(2, vec![])];
    assert_eq!(cell.submit(1, steps()).await, CallerReply::Accepted);
    assert_eq!(cell.submit(1, steps()).await, CallerReply::Accepted);
    cell.wait_state(1, JobState::Completed, SOON).await;
    assert_eq!(cell.submit(1, steps()).await, CallerReply::Accepted);
    tokio::time::sleep(WORK * 2).await;
    assert_eq!(cell.history.all().len(), 2);
}

#[tokio::test]
async fn tasks_of_a_worker_that_goes_dark_run_elsewhere_after_they_have_lapsed() {
    let cell = TestCell::start(2, Duration::from_secs(2)).await;
    assert_eq!(
        cell.submit(1, vec![step(6, vec![])]).await,
        CallerReply::Accepted
    );
    cell.wait_state(1, JobState::Running, SOON).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    cell.workers[0].dark.store(true, Ordering::Relaxed);
    let dark = cell.workers[0].clone();
    tokio::spawn(async move {
        // It runs on behind its silence, until its lease ends.
        loop {
            dark.pass();
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    let begun = Instant::now();
    cell.wait_state(1, JobState::Completed, Duration::from_secs(8))
        .await;
    cell.history.check();
    let lapsed = cell.history.all().into_iter();
    let lapsed = lapsed.filter(|run| run.ending == Some(RunEnding::Lapsed));
    assert!(lapsed.count() > 0, "the dark worker had tasks");
    assert!(begun.elapsed() < Duration::from_secs(5));
}

#[tokio::test]
async fn tasks_run_once_while_workers_go_dark_and_come_back() {
    let cell = TestCell::start(2, WORK).await;
    for worker in cell.workers.clone() {
        // Time passes behind a silence, too.
        tokio::spawn(async move {
            loop {
                worker.pass();
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
    }
    // More tasks than room all the while, so that a worker that is back gets starts at once.
    let jobs = 12;
    for key in 1..=jobs {
        let steps = vec![step(24, vec![])];
        assert_eq!(cell.submit(key, steps).await, CallerReply::Accepted);
    }
    for round in 0..4 {
        let dark = &cell.workers[round % 2].dark;
        dark.store(true, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        dark.store(false, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    for key in 1..=jobs {
        cell.wait_state(key, JobState::Completed, Duration::from_secs(20))
            .await;
    }
    cell.history.check();
}

#[tokio::test]
async fn a_start_that_a_worker_refuses_goes_to_another() {
    let cell = TestCell::start(2, WORK).await;
    cell.workers[0].full.store(true, Ordering::Relaxed);
    assert_eq!(
        cell.submit(1, vec![step(4, vec![])]).await,
        CallerReply::Accepted
    );
    tokio::time::sleep(Duration::from_millis(400)).await;
    cell.workers[0].full.store(false, Ordering::Relaxed);
    cell.wait_state(1, JobState::Completed, SOON).await;
    cell.history.check();
}

#[tokio::test]
async fn a_start_that_is_carried_out_and_not_answered_runs_once() {
    let cell = TestCell::start(1, WORK).await;
    cell.workers[0].mute.store(true, Ordering::Relaxed);
    assert_eq!(
        cell.submit(1, vec![step(3, vec![])]).await,
        CallerReply::Accepted
    );
    cell.wait_state(1, JobState::Completed, SOON).await;
    cell.history.check();
    assert_eq!(cell.history.all().len(), 3);
}

#[tokio::test]
async fn a_cancelled_job_stops_and_stays_cancelled() {
    let cell = TestCell::start(1, Duration::from_secs(30)).await;
    assert_eq!(
        cell.submit(1, vec![step(2, vec![])]).await,
        CallerReply::Accepted
    );
    cell.wait_state(1, JobState::Running, SOON).await;
    let cancelled = cell.call(1, CallerAction::Cancel).await;
    assert_eq!(cancelled, CallerReply::Cancelled);
    cell.wait_state(1, JobState::Cancelled, SOON).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let runs = cell.history.all();
    assert!(runs
        .iter()
        .all(|run| run.ending == Some(RunEnding::Stopped)));
    assert_eq!(cell.call(2, CallerAction::Cancel).await, CallerReply::NoJob);
}

#[tokio::test]
async fn nothing_starts_in_a_data_centre_that_is_out() {
    let cell = TestCell::start(2, WORK).await;
    let out = cell.control.set_excluded(Arc::from("caxias"), true).await;
    assert_eq!(out, OperatorReply::Done);
    assert_eq!(
        cell.submit(1, vec![step(6, vec![])]).await,
        CallerReply::Accepted
    );
    cell.wait_state(1, JobState::Completed, SOON).await;
    assert!(cell.history.all().iter().all(|run| run.worker == 1));
    let back = cell.control.set_excluded(Arc::from("caxias"), false).await;
    assert_eq!(back, OperatorReply::Done);
}

#[tokio::test]
async fn an_older_configuration_is_acknowledged_and_changes_nothing() {
    let cell = TestCell::start(0, WORK).await;
    cell.put_catalog(7).await;
    cell.put_catalog(3).await;
    let held = cell.control.read_catalog().await;
    assert_eq!(held, OperatorReply::Catalog(Arc::from("version 7")));
}

#[tokio::test]
async fn a_path_outside_all_queues_and_a_malformed_identity_are_refused() {
    let cell = TestCell::start(0, WORK).await;
    let request = guavavane_cell::entry::CallerRequest {
        host: support::HOST.to_owned(),
        path: "/other/0".to_owned(),
        action: CallerAction::Query,
    };
    let reply = cell.entry.call(request, SOON).await;
    assert_eq!(reply, CallerReply::NoQueue);
    let request = guavavane_cell::entry::CallerRequest {
        host: support::HOST.to_owned(),
        path: format!("{}XYZ", support::PREFIX),
        action: CallerAction::Query,
    };
    let reply = cell.entry.call(request, SOON).await;
    assert!(matches!(reply, CallerReply::Invalid(_)), "{reply:?}");
}
