//! Heartbeats that another writer sends in the place of the worker.
//!
//! Guards against a heartbeat that takes the place of a worker that is still running: the leader
//! frees its runs and starts them again elsewhere, and the agent follows a worker that does not
//! exist. Guards against a sequence number so high that the worker's drain goes unnoticed.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::support::agent_settings;
use crate::support::odd_worker::OddWorker;
use crate::support::odd_worker::WorkerOddity;
use crate::support::step;
use crate::support::worker_heartbeat;
use crate::support::TestCell;
use guavavane_cell::prelude::start_agent;
use guavavane_cell::prelude::AgentHandle;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::JobState;
use guavavane_cell::prelude::RenewalReport;
use guavavane_cell::prelude::WorkerHeartbeat;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_standin::simulated_worker::SimulatedWorker;

/// Run time of a task, longer than the lease of the worker.
const TASK_RUN_TIME: Duration = Duration::from_millis(1_200);
/// Longest wait for a job that nothing delays.
const JOB_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which a draining worker must get no start.
const DRAIN_PERIOD: Duration = Duration::from_millis(600);

/// Worker that only answers calls that name it, and reports its incarnation.
#[derive(Clone)]
struct NamedWorker {
    worker: SimulatedWorker,
    key: Arc<Mutex<WorkerKey>>,
}

impl WorkerOddity for NamedWorker {
    fn worker(&self) -> &SimulatedWorker {
        &self.worker
    }

    fn is_named(&self, key: &WorkerKey) -> bool {
        self.key.lock().unwrap().name == key.name
    }

    fn change_report(&self, _deadline_ms: Option<u64>, report: &mut RenewalReport) {
        report.started_ms = Some(self.key.lock().unwrap().started_ms);
    }
}

/// Starts a cell with one worker and lets it start a job of two tasks.
async fn start_busy_cell() -> (TestCell, NamedWorker, AgentHandle) {
    let cell = TestCell::start(0, TASK_RUN_TIME).await;
    let worker = NamedWorker {
        worker: SimulatedWorker::new(0, TASK_RUN_TIME, cell.history.clone()),
        key: Arc::new(Mutex::new(worker_heartbeat(0).key)),
    };
    let agent = start_agent(agent_settings(0, cell.address), OddWorker(worker.clone()));
    assert!(agent.record_heartbeat(worker_heartbeat(0)).await);
    assert_eq!(
        cell.submit(1, vec![step(2, vec![])]).await,
        CallerReply::Accepted
    );
    cell.wait_for_starts(2, JOB_TIMEOUT).await;
    (cell, worker, agent)
}

/// Heartbeats of other writers that look later than those of the worker.
fn foreign_heartbeats() -> Vec<WorkerHeartbeat> {
    let mut other_name = worker_heartbeat(0);
    other_name.key.name = Arc::from("no-such-worker");
    other_name.facts.pool = Arc::from("no-such-pool");
    let mut far_future = worker_heartbeat(0);
    far_future.key.started_ms = u64::MAX;
    let mut both = other_name.clone();
    both.key.started_ms = u64::MAX;
    both.sequence = u64::MAX;
    vec![other_name, far_future, both]
}

#[tokio::test]
async fn a_foreign_heartbeat_does_not_free_the_runs_of_the_worker() {
    let (cell, _worker, agent) = start_busy_cell().await;
    for heartbeat in foreign_heartbeats() {
        assert!(agent.record_heartbeat(heartbeat).await);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    cell.wait_for_state(1, JobState::Completed, JOB_TIMEOUT)
        .await;
    assert_eq!(cell.history.all().len(), 2, "{:?}", cell.history.all());
    // The agent still knows its worker.
    assert_eq!(
        cell.submit(2, vec![step(1, vec![])]).await,
        CallerReply::Accepted
    );
    cell.wait_for_state(2, JobState::Completed, JOB_TIMEOUT)
        .await;
}

/// A heartbeat of another writer that arrives first is dropped once the worker disowns it.
#[tokio::test]
async fn a_foreign_heartbeat_does_not_keep_the_worker_out() {
    for foreign in foreign_heartbeats() {
        let cell = TestCell::start(0, TASK_RUN_TIME).await;
        let worker = NamedWorker {
            worker: SimulatedWorker::new(0, TASK_RUN_TIME, cell.history.clone()),
            key: Arc::new(Mutex::new(worker_heartbeat(0).key)),
        };
        let agent = start_agent(agent_settings(0, cell.address), OddWorker(worker));
        assert!(agent.record_heartbeat(foreign).await);
        let mut heartbeat = worker_heartbeat(0);
        assert_eq!(
            cell.submit(1, vec![step(1, vec![])]).await,
            CallerReply::Accepted
        );
        while cell.history.all().is_empty() {
            assert!(heartbeat.sequence < 30, "the worker is not adopted");
            assert!(agent.record_heartbeat(heartbeat.clone()).await);
            heartbeat.sequence += 1;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// An agent that has just started knows nothing of the runs that an earlier process of it started.
#[tokio::test]
async fn a_foreign_heartbeat_at_a_new_agent_does_not_free_the_runs_of_the_worker() {
    let (cell, worker, agent) = start_busy_cell().await;
    drop(agent);
    let agent = start_agent(agent_settings(0, cell.address), OddWorker(worker));
    assert!(agent.record_heartbeat(worker_heartbeat(0)).await);
    for heartbeat in foreign_heartbeats() {
        assert!(agent.record_heartbeat(heartbeat).await);
    }
    let mut heartbeat = worker_heartbeat(0);
    for sequence in 2..5 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        heartbeat.sequence = sequence;
        assert!(agent.record_heartbeat(heartbeat.clone()).await);
    }
    cell.wait_for_state(1, JobState::Completed, JOB_TIMEOUT)
        .await;
    assert_eq!(cell.history.all().len(), 2, "{:?}", cell.history.all());
}

/// The real successor is adopted as soon as the worker's address answers for it, without another
/// heartbeat.
#[tokio::test]
async fn a_restarted_worker_replaces_its_former_incarnation() {
    for name in ["worker-0", "worker-new"] {
        let (cell, worker, agent) = start_busy_cell().await;
        let mut heartbeat = worker_heartbeat(0);
        heartbeat.key.name = Arc::from(name);
        heartbeat.key.started_ms = 2;
        *worker.key.lock().unwrap() = heartbeat.key.clone();
        assert!(agent.record_heartbeat(heartbeat).await);
        // The runs of the former incarnation are freed and started again.
        cell.wait_for_starts(4, JOB_TIMEOUT).await;
        if name == "worker-0" {
            // The runs go on until the later incarnation of that name has been told to refuse them.
            cell.history.assert_no_duplicate_runs();
        }
    }
}

#[tokio::test]
async fn a_drain_is_noticed_after_a_foreign_sequence_number() {
    let (cell, _worker, agent) = start_busy_cell().await;
    let mut foreign = worker_heartbeat(0);
    foreign.sequence = u64::MAX;
    assert!(agent.record_heartbeat(foreign).await);
    let mut draining = worker_heartbeat(0);
    draining.sequence = 2;
    draining.draining = true;
    assert!(agent.record_heartbeat(draining).await);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        cell.submit(2, vec![step(1, vec![])]).await,
        CallerReply::Accepted
    );
    tokio::time::sleep(DRAIN_PERIOD).await;
    assert_eq!(cell.history.all().len(), 2, "{:?}", cell.history.all());
}

/// A notice of another writer, or a late one of an earlier incarnation with the same name.
#[tokio::test]
async fn a_foreign_leave_does_not_free_the_runs_of_the_worker() {
    let (cell, _worker, agent) = start_busy_cell().await;
    let mut heartbeat = worker_heartbeat(0);
    assert!(agent.record_leave(heartbeat.key.name.clone()).await);
    for sequence in 2..6 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        heartbeat.sequence = sequence;
        assert!(agent.record_heartbeat(heartbeat.clone()).await);
    }
    cell.wait_for_state(1, JobState::Completed, JOB_TIMEOUT)
        .await;
    assert_eq!(cell.history.all().len(), 2, "{:?}", cell.history.all());
    // The worker still gets starts.
    let accepted = cell.submit(2, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    cell.wait_for_state(2, JobState::Completed, JOB_TIMEOUT)
        .await;
}
