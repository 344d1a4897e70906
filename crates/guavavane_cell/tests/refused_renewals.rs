//! Tasks on a worker that refuses the renewals of its lease.
//!
//! Guards against tasks that stay assigned for ever to a worker on which they have lapsed: their agent
//! counted each refused renewal as one that had extended the lease.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::support::agent_settings;
use crate::support::odd_worker::OddWorker;
use crate::support::odd_worker::WorkerOddity;
use crate::support::step;
use crate::support::timing;
use crate::support::worker_heartbeat;
use crate::support::TestCell;
use guavavane_cell::prelude::start_agent;
use guavavane_cell::prelude::AgentHandle;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::WorkerApi;
use guavavane_standin::simulated_worker::SimulatedWorker;

/// Run time of a task, longer than the test.
const TASK_RUN_TIME: Duration = Duration::from_secs(60);
/// Longest wait for a start that nothing delays.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time without a run after the end of the worker's lease.
const RESTART_MAX: Duration = Duration::from_secs(1);

/// Worker that refuses renewals while `refuses` is set.
#[derive(Clone)]
struct RefusingWorker {
    simulated: SimulatedWorker,
    refuses: Arc<AtomicBool>,
}

impl WorkerOddity for RefusingWorker {
    fn worker(&self) -> &SimulatedWorker {
        &self.simulated
    }

    fn refuses_renewals(&self) -> bool {
        self.refuses.load(Ordering::Relaxed)
    }
}

async fn start_worker<A: WorkerApi>(cell: &TestCell, index: usize, worker: A) -> AgentHandle {
    let agent = start_agent(agent_settings(index, cell.address), worker);
    assert!(agent.record_heartbeat(worker_heartbeat(index)).await);
    agent
}

/// Waits until this many runs have started; `worker` records the end of its lease only when called.
async fn wait_for_starts(cell: &TestCell, worker: &SimulatedWorker, starts: usize) {
    let until = Instant::now() + START_TIMEOUT;
    while cell.history.all().len() < starts {
        assert!(Instant::now() < until, "{:?}", cell.history.all());
        tokio::time::sleep(Duration::from_millis(10)).await;
        worker.advance();
    }
}

#[tokio::test]
async fn tasks_of_a_worker_that_refuses_renewals_restart_elsewhere_after_its_lease() {
    let cell = TestCell::start(0, TASK_RUN_TIME).await;
    let refusing = RefusingWorker {
        simulated: SimulatedWorker::new(0, TASK_RUN_TIME, cell.history.clone()),
        refuses: Arc::default(),
    };
    let _refusing_agent = start_worker(&cell, 0, OddWorker(refusing.clone())).await;
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    wait_for_starts(&cell, &refusing.simulated, 1).await;

    let other = SimulatedWorker::new(1, TASK_RUN_TIME, cell.history.clone());
    let _other_agent = start_worker(&cell, 1, other).await;
    refusing.refuses.store(true, Ordering::Relaxed);
    let refused_since = Instant::now();
    wait_for_starts(&cell, &refusing.simulated, 2).await;
    let waited = refused_since.elapsed();
    let lease_bound = timing().expiry_bound(timing().worker_lease);
    assert!(waited < lease_bound + RESTART_MAX, "{waited:?}");
    cell.history.assert_no_duplicate_runs();
}
