//! Calls that an agent makes to its worker, and the request to the advice service.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::StepKey;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;

/// Order to start a run, with everything that the worker needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Task to run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Input of the task.
    pub payload: Arc<str>,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Arc<str>,
    /// End of the worker's lease, in milliseconds on the worker's clock.
    pub deadline_ms: u64,
    /// Ticket of the advice service for this worker; empty if none is required.
    pub ticket: Arc<str>,
}

/// Reason why a worker refused an order. A refused order has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// The worker has seen a higher fencing token.
    Fence,
    /// A run of the task with this or a higher number was stopped or has ended on the worker.
    Old,
    /// The deadline of the order has passed.
    Late,
    /// The worker lacks free capacity.
    Room,
    /// The ticket is missing or has expired.
    Ticket,
    /// Another reason, such as poor health.
    Other,
}

/// Answer of a worker to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order has been executed, now or before.
    Done,
    /// The worker refused the order.
    Refused(OrderRefusal),
    /// The worker at the address answers that the call is not meant for it. The call names the
    /// worker, not its incarnation.
    OtherIncarnation,
    /// No answer arrived; the order may still be executed later.
    Unanswered,
}

/// Status of one run on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStatus {
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Progress in percent: 100 if the run is done, or if it is latency-critical and answers
    /// requests.
    pub progress_percent: u32,
    /// Tail latency in milliseconds of a latency-critical task; for any other task, its CPU use in
    /// thousandths of a core.
    pub measurement: u64,
}

/// Renewal report: state of a worker's runs, returned by a lease renewal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalReport {
    /// Reading of the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start of the incarnation in milliseconds, if the worker reports it.
    pub started_ms: Option<u64>,
    /// Runs that the worker holds.
    pub running: Vec<RunStatus>,
    /// Completions that have not been acknowledged to the worker.
    pub completions: Vec<RunCompletion>,
    /// Highest completion that may be acknowledged, because the row after it was unreadable; none if
    /// all may be.
    pub acknowledge_max: Option<u64>,
    /// Whether rows of further runs were unreadable.
    pub omits_runs: bool,
    /// Whether there may be further completions: a row was unreadable, or the list is as long as a
    /// list can be.
    pub omits_completions: bool,
}

/// Answer of a worker to a lease renewal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RenewalAnswer {
    /// The lease is renewed.
    Report(RenewalReport),
    /// The worker refused the renewal, for example because it has seen a higher fencing token.
    Refused,
    /// The worker at the address answers that the call is not meant for it. The call names the
    /// worker, not its incarnation; [`RenewalReport::started_ms`] tells the incarnation.
    OtherIncarnation,
    /// Nothing listens at the address.
    Unreachable,
    /// No answer arrived in time.
    Unanswered,
}

/// Worker that the advice service allows to run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdvisedWorker {
    /// Name of the worker.
    pub name: Arc<str>,
    /// Ticket that a start on this worker must carry.
    pub ticket: Arc<str>,
}

/// Request to the advice service, which decides for some queues on which workers a step may run.
#[derive(Debug)]
pub struct AdviceRequest {
    /// Step to place.
    pub step: StepKey,
    /// Names of the candidate workers.
    pub workers: Vec<Arc<str>>,
    /// Expected time until the reply: the service answers earlier requests first.
    pub reply_time: Duration,
    /// Receives the allowed workers; dropped if the service does not reply.
    pub reply: oneshot::Sender<Vec<AdvisedWorker>>,
}

/// Client of one worker. Each call names the worker that it is meant for by [`WorkerKey::name`],
/// which later incarnations share. A renewal report tells by [`RenewalReport::started_ms`] which
/// incarnation has answered.
pub trait WorkerApi: Clone + Send + Sync + 'static {
    /// Starts a run.
    fn start(
        &self,
        worker: WorkerKey,
        fencing_token: u64,
        order: StartOrder,
    ) -> impl Future<Output = OrderAnswer> + Send;

    /// Stops a run; a run that has not started yet is refused from then on.
    fn stop(
        &self,
        worker: WorkerKey,
        fencing_token: u64,
        task: TaskKey,
        run: RunNumber,
    ) -> impl Future<Output = OrderAnswer> + Send;

    /// Sets the CPU share of a run, in percent.
    fn set_cpu_share(
        &self,
        worker: WorkerKey,
        fencing_token: u64,
        task: TaskKey,
        run: RunNumber,
        percent: u32,
    ) -> impl Future<Output = OrderAnswer> + Send;

    /// Renews the lease of all runs on the worker, acknowledges completions up to
    /// `last_completion`, and returns the worker's runs after `wait` or once a run has ended.
    fn renew_lease(
        &self,
        worker: WorkerKey,
        fencing_token: u64,
        last_completion: u64,
        deadline_ms: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = RenewalAnswer> + Send;
}
