//! Worker that departs from the simulated worker in the calls that a test chooses.

use std::time::Duration;

use guavavane_cell::prelude::OrderAnswer;
use guavavane_cell::prelude::RenewalAnswer;
use guavavane_cell::prelude::RenewalReport;
use guavavane_cell::prelude::StartOrder;
use guavavane_cell::prelude::WorkerApi;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_standin::simulated_worker::SimulatedWorker;

/// Departures from the simulated worker; the defaults change nothing.
pub(crate) trait WorkerOddity: Clone + Send + Sync + 'static {
    /// Simulated worker that executes the calls.
    fn worker(&self) -> &SimulatedWorker;

    /// Whether a call that names this worker is answered by it.
    fn is_named(&self, _key: &WorkerKey) -> bool {
        true
    }

    /// Whether a stop is confirmed while the run goes on.
    fn ignores_stops(&self) -> bool {
        false
    }

    /// Whether renewals are refused.
    fn refuses_renewals(&self) -> bool {
        false
    }

    /// Takes note of a renewal that acknowledges the completions up to this one.
    fn record_acknowledgement(&self, _last_completion: u64) {}

    /// Takes note of a renewal with this deadline before it is answered.
    fn record_renewal(&self, _deadline_ms: Option<u64>) {}

    /// Changes the report that answers a renewal with this deadline.
    fn change_report(&self, _deadline_ms: Option<u64>, _report: &mut RenewalReport) {}
}

/// Worker with an oddity.
#[derive(Clone)]
pub(crate) struct OddWorker<O>(pub(crate) O);

impl<O: WorkerOddity> WorkerApi for OddWorker<O> {
    async fn start(&self, worker: WorkerKey, fence: u64, order: StartOrder) -> OrderAnswer {
        if !self.0.is_named(&worker) {
            return OrderAnswer::OtherIncarnation;
        }
        self.0.worker().start(worker, fence, order).await
    }

    async fn stop(
        &self,
        worker: WorkerKey,
        fence: u64,
        task: TaskKey,
        run: RunNumber,
    ) -> OrderAnswer {
        if !self.0.is_named(&worker) {
            return OrderAnswer::OtherIncarnation;
        }
        if self.0.ignores_stops() {
            return OrderAnswer::Done;
        }
        self.0.worker().stop(worker, fence, task, run).await
    }

    async fn set_cpu_share(
        &self,
        worker: WorkerKey,
        fence: u64,
        task: TaskKey,
        run: RunNumber,
        percent: u32,
    ) -> OrderAnswer {
        let simulated = self.0.worker();
        simulated
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
        if !self.0.is_named(&worker) {
            return RenewalAnswer::OtherIncarnation;
        }
        if self.0.refuses_renewals() {
            return RenewalAnswer::Refused;
        }
        self.0.record_acknowledgement(last_completion);
        self.0.record_renewal(deadline_ms);
        let simulated = self.0.worker();
        let mut answer = simulated
            .renew_lease(worker, fence, last_completion, deadline_ms, wait)
            .await;
        if let RenewalAnswer::Report(report) = &mut answer {
            self.0.change_report(deadline_ms, report);
        }
        answer
    }
}
