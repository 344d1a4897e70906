//! Throttling by an agent that has lost the attributes of runs: after its restart, or because a
//! renewal report lacked runs that were just starting.
//!
//! Guards against a latency-critical task that is no longer protected, a best-effort task that is no
//! longer throttled, and one that stays paused.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::support::agent_settings;
use crate::support::step;
use crate::support::worker_heartbeat;
use crate::support::TestCell;
use guavavane_cell::prelude::start_agent;
use guavavane_cell::prelude::AgentHandle;
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
use guavavane_model::prelude::ResourceVector;
use guavavane_standin::simulated_worker::SimulatedWorker;
use guavavane_standin::simulated_worker::LONG_RUNNING_PAYLOAD;

/// Latency target of the latency-critical task.
const TARGET_MS: u64 = 100;
/// Tail latency far above the target.
const SLOW_TAIL_MS: u64 = 300;
/// Tail latency of a task without load.
const FAST_TAIL_MS: u64 = 10;
/// Longest wait for a start or a CPU share that nothing delays.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Number of tasks that start together, more than the unlisted runs whose attributes an agent keeps.
const PENDING_STARTS: u64 = 20;
/// Time that a slow worker takes to start a run, longer than the wait of a lease renewal.
const SLOW_START: Duration = Duration::from_millis(450);

/// Worker with one latency-critical and one best-effort task, both started by the first agent.
struct MixedWorker {
    cell: TestCell,
    worker: SimulatedWorker,
    agent: AgentHandle,
    latency_critical: TaskKey,
    best_effort: TaskKey,
}

impl MixedWorker {
    async fn start() -> Self {
        let cell = TestCell::start(0, Duration::ZERO).await;
        let worker = SimulatedWorker::new(0, Duration::ZERO, cell.history.clone());
        let agent = start_agent(agent_settings(0, cell.address), worker.clone());
        assert!(agent.record_heartbeat(worker_heartbeat(0)).await);
        let latency_critical = start_task(&cell, 1, latency_critical_step()).await;
        let best_effort = start_task(&cell, 2, best_effort_step()).await;
        Self {
            cell,
            worker,
            agent,
            latency_critical,
            best_effort,
        }
    }

    /// Replaces the agent by a new process of it.
    async fn restart_agent(&mut self) {
        self.agent = start_agent(agent_settings(0, self.cell.address), self.worker.clone());
        assert!(self.agent.record_heartbeat(worker_heartbeat(0)).await);
    }

    fn set_tail_latency(&self, tail_ms: u64) {
        self.worker.set_measurement(self.latency_critical, tail_ms);
    }

    /// Waits until the CPU share of the best-effort task meets a condition.
    async fn wait_for_share(&self, is_expected: impl Fn(u32) -> bool) {
        let until = Instant::now() + CHANGE_TIMEOUT;
        loop {
            let cpu_share = self.worker.cpu_share(self.best_effort);
            if cpu_share.is_some_and(&is_expected) {
                return;
            }
            assert!(Instant::now() < until, "the CPU share is {cpu_share:?} %");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn latency_critical_step() -> RawStep {
    RawStep {
        long_running: true,
        image: "web".to_owned(),
        latency_target_ms: TARGET_MS,
        ..step(1, vec![])
    }
}

fn best_effort_step() -> RawStep {
    RawStep {
        best_effort: true,
        image: "batch".to_owned(),
        ..step(1, vec![])
    }
}

/// Worker that takes long to start a run.
#[derive(Clone)]
struct SlowWorker(SimulatedWorker);

impl WorkerApi for SlowWorker {
    async fn start(&self, worker: WorkerKey, fence: u64, order: StartOrder) -> OrderAnswer {
        tokio::time::sleep(SLOW_START).await;
        self.0.start(worker, fence, order).await
    }

    async fn stop(
        &self,
        worker: WorkerKey,
        fence: u64,
        task: TaskKey,
        run: RunNumber,
    ) -> OrderAnswer {
        self.0.stop(worker, fence, task, run).await
    }

    async fn set_cpu_share(
        &self,
        worker: WorkerKey,
        fence: u64,
        task: TaskKey,
        run: RunNumber,
        percent: u32,
    ) -> OrderAnswer {
        let worker_api = &self.0;
        worker_api
            .set_cpu_share(worker, fence, task, run, percent)
            .await
    }

    async fn renew_lease(
        &self,
        worker: WorkerKey,
        fence: u64,
        last_completion: u64,
        deadline_ms: Option<u64>,
        wait: Duration,
    ) -> RenewalAnswer {
        let worker_api = &self.0;
        worker_api
            .renew_lease(worker, fence, last_completion, deadline_ms, wait)
            .await
    }
}

/// Submits a job of one step that runs until it is stopped, and waits for its first task to start.
async fn start_task(cell: &TestCell, key: u64, step: RawStep) -> TaskKey {
    let job = RawJob {
        payload: LONG_RUNNING_PAYLOAD.to_owned(),
        steps: vec![step],
        ..RawJob::default()
    };
    submit_job(cell, key, job).await;
    cell.wait_for_starts(key as usize, CHANGE_TIMEOUT).await;
    cell.history.all().last().unwrap().task
}

/// Submits a job again until it is accepted, which is idempotent.
async fn submit_job(cell: &TestCell, key: u64, job: RawJob) {
    let until = Instant::now() + CHANGE_TIMEOUT;
    let submission = CallerAction::Submit(Arc::new(job));
    loop {
        let reply = cell.call(key, submission.clone()).await;
        if reply == CallerReply::Accepted {
            return;
        }
        assert!(Instant::now() < until, "{reply:?}");
    }
}

#[tokio::test]
async fn a_task_over_its_target_is_protected_after_a_restart_of_the_agent() {
    let mut mixed = MixedWorker::start().await;
    mixed.set_tail_latency(FAST_TAIL_MS);
    mixed.restart_agent().await;
    mixed.set_tail_latency(SLOW_TAIL_MS);
    mixed.wait_for_share(|percent| percent == 0).await;
}

#[tokio::test]
async fn a_paused_task_resumes_after_a_restart_of_the_agent() {
    let mut mixed = MixedWorker::start().await;
    mixed.set_tail_latency(SLOW_TAIL_MS);
    mixed.wait_for_share(|percent| percent == 0).await;
    mixed.restart_agent().await;
    mixed.set_tail_latency(FAST_TAIL_MS);
    mixed.wait_for_share(|percent| percent == 100).await;
}

#[tokio::test]
async fn runs_that_start_during_a_renewal_keep_their_attributes() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let worker = SimulatedWorker::new(0, Duration::ZERO, cell.history.clone());
    let agent = start_agent(agent_settings(0, cell.address), SlowWorker(worker.clone()));
    assert!(agent.record_heartbeat(worker_heartbeat(0)).await);
    let best_effort = RawStep {
        tasks: PENDING_STARTS,
        demand: ResourceVector::new(300, 100, 0),
        ..best_effort_step()
    };
    let job = RawJob {
        payload: LONG_RUNNING_PAYLOAD.to_owned(),
        steps: vec![latency_critical_step(), best_effort],
        ..RawJob::default()
    };
    submit_job(&cell, 1, job).await;
    cell.wait_for_starts(1 + PENDING_STARTS as usize, CHANGE_TIMEOUT)
        .await;
    let runs = cell.history.all();
    let tasks = runs.iter().map(|run| run.task);
    let (latency_critical, best_effort): (Vec<_>, Vec<_>) =
        tasks.partition(|task| task.step.step == 0);
    worker.set_measurement(latency_critical[0], SLOW_TAIL_MS);
    let until = Instant::now() + CHANGE_TIMEOUT;
    while best_effort
        .iter()
        .any(|task| worker.cpu_share(*task) != Some(0))
    {
        let shares = best_effort.iter().map(|task| worker.cpu_share(*task));
        let shares: Vec<Option<u32>> = shares.collect();
        assert!(Instant::now() < until, "the CPU shares are {shares:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
