//! A CPU share order that a worker leaves unanswered and applies after later ones.
//!
//! Guards against a best-effort task that works on beside a slow latency-critical task while its agent
//! takes it for paused.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::support::agent_settings;
use crate::support::step;
use crate::support::worker_heartbeat;
use crate::support::TestCell;
use guavavane_cell::prelude::start_agent;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::OrderAnswer;
use guavavane_cell::prelude::RenewalAnswer;
use guavavane_cell::prelude::StartOrder;
use guavavane_cell::prelude::WorkerApi;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RawStep;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_standin::simulated_worker::SimulatedWorker;
use guavavane_standin::simulated_worker::LONG_RUNNING_PAYLOAD;

/// Latency target of the latency-critical task.
const TARGET_MS: u64 = 100;
/// Tail latency far above the target.
const SLOW_TAIL_MS: u64 = 300;
/// Tail latency of a task without load.
const FAST_TAIL_MS: u64 = 10;
/// Time after which the worker applies the unanswered order.
const EXECUTION_DELAY: Duration = Duration::from_millis(2_500);
/// Longest wait for a start or a CPU share.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(6);

/// Worker that leaves the first order of the full CPU share unanswered and applies it late.
#[derive(Clone)]
struct LateWorker {
    worker: SimulatedWorker,
    /// Whether the order has arrived.
    ordered: Arc<AtomicBool>,
    /// Whether the order has been applied.
    applied: Arc<AtomicBool>,
}

impl WorkerApi for LateWorker {
    async fn start(&self, worker: WorkerKey, fence: u64, order: StartOrder) -> OrderAnswer {
        self.worker.start(worker, fence, order).await
    }

    async fn stop(
        &self,
        worker: WorkerKey,
        fence: u64,
        task: TaskKey,
        run: RunNumber,
    ) -> OrderAnswer {
        self.worker.stop(worker, fence, task, run).await
    }

    async fn set_cpu_share(
        &self,
        worker: WorkerKey,
        fence: u64,
        task: TaskKey,
        run: RunNumber,
        percent: u32,
    ) -> OrderAnswer {
        let late_worker = self.clone();
        let apply = async move {
            let worker_api = &late_worker.worker;
            worker_api
                .set_cpu_share(worker, fence, task, run, percent)
                .await
        };
        if percent < 100 || self.ordered.swap(true, Ordering::Relaxed) {
            return apply.await;
        }
        let applied = Arc::clone(&self.applied);
        tokio::spawn(async move {
            tokio::time::sleep(EXECUTION_DELAY).await;
            apply.await;
            applied.store(true, Ordering::Relaxed);
        });
        OrderAnswer::Unanswered
    }

    async fn renew_lease(
        &self,
        worker: WorkerKey,
        fence: u64,
        last_completion: u64,
        deadline_ms: Option<u64>,
        wait: Duration,
    ) -> RenewalAnswer {
        let worker_api = &self.worker;
        worker_api
            .renew_lease(worker, fence, last_completion, deadline_ms, wait)
            .await
    }
}

/// Submits a job that runs until it is stopped, again until it is accepted; returns its task once it
/// runs.
async fn start_task(cell: &TestCell, key: u64, step: RawStep) -> TaskKey {
    let job = RawJob {
        payload: LONG_RUNNING_PAYLOAD.to_owned(),
        steps: vec![step],
        ..RawJob::default()
    };
    let submission = CallerAction::Submit(Arc::new(job));
    while cell.call(key, submission.clone()).await != CallerReply::Accepted {}
    wait_until(|| cell.history.all().len() >= key as usize).await;
    cell.history.all().last().unwrap().task
}

async fn wait_until(is_met: impl Fn() -> bool) {
    let until = Instant::now() + CHANGE_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < until, "the condition is not met");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn a_share_order_that_is_applied_late_does_not_stay_in_force() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let worker = SimulatedWorker::new(0, Duration::ZERO, cell.history.clone());
    let late_worker = LateWorker {
        worker: worker.clone(),
        ordered: Arc::default(),
        applied: Arc::default(),
    };
    let agent = start_agent(agent_settings(0, cell.address), late_worker.clone());
    assert!(agent.record_heartbeat(worker_heartbeat(0)).await);
    let latency_critical = RawStep {
        long_running: true,
        image: "web".to_owned(),
        latency_target_ms: TARGET_MS,
        ..step(1, vec![])
    };
    let best_effort = RawStep {
        best_effort: true,
        image: "batch".to_owned(),
        ..step(1, vec![])
    };
    let latency_critical = start_task(&cell, 1, latency_critical).await;
    let best_effort = start_task(&cell, 2, best_effort).await;
    worker.set_measurement(latency_critical, SLOW_TAIL_MS);
    wait_until(|| worker.cpu_share(best_effort) == Some(0)).await;
    worker.set_measurement(latency_critical, FAST_TAIL_MS);
    wait_until(|| late_worker.ordered.load(Ordering::Relaxed)).await;
    worker.set_measurement(latency_critical, SLOW_TAIL_MS);
    wait_until(|| late_worker.applied.load(Ordering::Relaxed)).await;
    assert_eq!(worker.cpu_share(best_effort), Some(100));
    wait_until(|| worker.cpu_share(best_effort) == Some(0)).await;
}
