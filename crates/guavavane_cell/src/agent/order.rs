//! Orders of the leader that an agent carries out, and what came of them.

use crate::port::StartOrder;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;

/// What came of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OrderResult {
    /// The run is there.
    Started,
    /// The run is not there and can't come any more, unless a list says otherwise.
    NotStarted,
    /// The worker was asked to stop the run and said yes.
    Stopped,
    /// The worker gave no answer for as long as the order was worth it.
    Unanswered,
    /// A pace was set.
    Paced(u32),
}

impl OrderResult {
    /// Short name, for metrics.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::NotStarted => "not_started",
            Self::Stopped => "stopped",
            Self::Unanswered => "unanswered",
            Self::Paced(_) => "paced",
        }
    }
}

/// A finished order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct FinishedOrder {
    pub(super) key: WorkerKey,
    pub(super) task: TaskKey,
    pub(super) run: RunNumber,
    pub(super) result: OrderResult,
}

/// An order for the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum WorkerOrder {
    Start(StartOrder),
    Stop,
    Pace(u32),
}
