//! A worker that renews its lease and leaves all orders unanswered.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::time::Duration;

use crate::support::agent_settings;
use crate::support::step;
use crate::support::worker_heartbeat;
use crate::support::TestCell;
use guavavane_cell::prelude::start_agent;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::JobState;
use guavavane_cell::prelude::OrderAnswer;
use guavavane_cell::prelude::RenewalAnswer;
use guavavane_cell::prelude::StartOrder;
use guavavane_cell::prelude::WorkerApi;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_standin::simulated_worker::SimulatedWorker;

/// Run time of a task.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Time after which a call counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest lease of a worker: no start can be carried out that much later.
const LEASE_MAX: Duration = Duration::from_secs(6);
/// Longest wait for the job: one lease, 4 s for the cell to become stable, and 3 s in which a task that
/// can run may wait.
const JOB_TIMEOUT: Duration = Duration::from_secs(LEASE_MAX.as_secs() + 7);

/// Worker that loses all orders.
#[derive(Clone)]
struct DeafWorker(SimulatedWorker);

async fn lose_order() -> OrderAnswer {
    tokio::time::sleep(CALL_TIMEOUT).await;
    OrderAnswer::Unanswered
}

impl WorkerApi for DeafWorker {
    async fn start(&self, _worker: WorkerKey, _fence: u64, _order: StartOrder) -> OrderAnswer {
        lose_order().await
    }

    async fn stop(
        &self,
        _worker: WorkerKey,
        _fence: u64,
        _task: TaskKey,
        _run: RunNumber,
    ) -> OrderAnswer {
        lose_order().await
    }

    async fn set_cpu_share(
        &self,
        _worker: WorkerKey,
        _fence: u64,
        _task: TaskKey,
        _run: RunNumber,
        _percent: u32,
    ) -> OrderAnswer {
        lose_order().await
    }

    async fn renew_lease(
        &self,
        worker: WorkerKey,
        fence: u64,
        last_completion: u64,
        deadline_ms: Option<u64>,
        wait: Duration,
    ) -> RenewalAnswer {
        let renewal = self
            .0
            .renew_lease(worker, fence, last_completion, deadline_ms, wait);
        renewal.await
    }
}

// Guards against a task that stays with a worker on which it never starts.
#[tokio::test]
async fn a_task_whose_worker_answers_no_order_runs_on_another() {
    let cell = TestCell::start(0, RUN_TIME).await;
    let worker = |index| SimulatedWorker::new(index, RUN_TIME, cell.history.clone());
    let deaf = start_agent(agent_settings(0, cell.address), DeafWorker(worker(0)));
    assert!(deaf.record_heartbeat(worker_heartbeat(0)).await);
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    tokio::time::sleep(CALL_TIMEOUT * 3).await;
    let sound = start_agent(agent_settings(1, cell.address), worker(1));
    assert!(sound.record_heartbeat(worker_heartbeat(1)).await);
    cell.wait_for_state(1, JobState::Completed, JOB_TIMEOUT)
        .await;
}
