//! Calls that an agent makes to its worker.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use guavavane_jobs::prelude::AdviceTiming;
use guavavane_jobs::prelude::RunEnd;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::StepKey;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;

/// An order to start a run, complete for the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// What the task is given.
    pub payload: Arc<str>,
    /// Progress to resume from; empty if there is none.
    pub saved: Arc<str>,
    /// Until when everything on the worker holds, on the worker's clock.
    pub deadline_ms: u64,
    /// Proof that another service allows this worker; empty if none has to.
    pub ticket: Arc<str>,
}

/// Why a worker refused an order; it has done nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// It has seen a higher fence.
    Fence,
    /// The run is not higher than one that was stopped or has ended there.
    Old,
    /// The deadline of the order has passed.
    Late,
    /// There is no room.
    Room,
    /// Its ticket is missing or no longer holds.
    Ticket,
    /// Another reason, such as bad health.
    Other,
}

/// Answer of a worker to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Carried out, now or before.
    Done,
    /// Refused.
    Refused(OrderRefusal),
    /// Another incarnation is at the address.
    OtherIncarnation,
    /// No answer: it may be carried out, also later.
    Unanswered,
}

/// A run on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRow {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// Progress that is saved; empty if there is none.
    pub saved: Arc<str>,
    /// How far it is; 100 is done, or at work if it serves.
    pub percent: u32,
    /// Tail latency in milliseconds of a serving task, processor use of others.
    pub figure: u64,
}

/// What a worker says of its runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldReport {
    /// The worker's clock.
    pub clock_ms: u64,
    /// When the incarnation started, if it says so.
    pub born_ms: Option<u64>,
    /// Runs that are on it.
    pub running: Vec<RunRow>,
    /// Ends that are not forgotten.
    pub ends: Vec<RunEnd>,
}

/// Answer of a worker to a hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldAnswer {
    /// Its runs.
    Report(HoldReport),
    /// It has seen a higher fence; its clock, if it says so.
    Refused,
    /// Another incarnation is at the address.
    OtherIncarnation,
    /// Nobody listens at the address.
    Absent,
    /// No answer.
    Unanswered,
}

/// A worker that may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdvisedWorker {
    /// Name of the worker.
    pub name: Arc<str>,
    /// What a start on it has to carry.
    pub ticket: Arc<str>,
}

/// A question to the service that allows workers for the steps of some queues.
#[derive(Debug)]
pub struct AdviceCall {
    /// The step.
    pub step: StepKey,
    /// Names of the workers that it is about.
    pub workers: Vec<Arc<str>>,
    /// How long the answer takes and holds.
    pub timing: AdviceTiming,
    /// Takes the workers that may run the step; dropped if there is no answer.
    pub reply: oneshot::Sender<Vec<AdvisedWorker>>,
}

/// Calls to one worker, each for one incarnation of it.
pub trait WorkerPort: Clone + Send + Sync + 'static {
    /// Starts a run.
    fn start(
        &self,
        worker: WorkerKey,
        fence: u64,
        order: StartOrder,
    ) -> impl Future<Output = OrderAnswer> + Send;

    /// Stops a run, also one that is not there yet.
    fn stop(
        &self,
        worker: WorkerKey,
        fence: u64,
        task: TaskKey,
        run: RunNumber,
    ) -> impl Future<Output = OrderAnswer> + Send;

    /// Sets the share at which a run works.
    fn pace(
        &self,
        worker: WorkerKey,
        fence: u64,
        task: TaskKey,
        run: RunNumber,
        percent: u32,
    ) -> impl Future<Output = OrderAnswer> + Send;

    /// Extends the lease of everything on the worker, notes ends up to `last_end` and lists
    /// what is there, after `wait` or as soon as a run has ended.
    fn hold(
        &self,
        worker: WorkerKey,
        fence: u64,
        last_end: u64,
        deadline_ms: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = HoldAnswer> + Send;
}
