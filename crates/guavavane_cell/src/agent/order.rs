//! Orders that an agent sends to its worker, and their results.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use crate::worker_api::StartOrder;
use guavavane_jobs::plan::share_tracker::ShareAnswer;
use guavavane_jobs::plan::throttle::ShareOrder;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;

/// Result of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OrderResult {
    /// The worker has accepted the run, now or before.
    Started,
    /// The worker does not have the run and can't start it later, unless a later renewal report
    /// lists it as running or ended.
    NotStarted,
    /// The worker has confirmed the stop.
    Stopped,
    /// The worker gave no usable answer before the timeout of the order.
    Unanswered,
}

impl OrderResult {
    /// Name of the variant, used as a metric label.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::NotStarted => "not_started",
            Self::Stopped => "stopped",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Order that has been answered or has timed out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct FinishedOrder {
    pub(super) key: WorkerKey,
    pub(super) task: TaskKey,
    pub(super) run: RunNumber,
    pub(super) result: OrderResult,
    /// Whether a try of a start got no answer, so that it may still be carried out.
    pub(super) may_be_late: bool,
    /// Whether the worker accepted no try of a start, for no reason that concerns its run only.
    pub(super) is_rejected: bool,
}

/// Time for which orders hold: that of one incarnation of the worker, up to the end of its lease.
/// Clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderScope(Arc<AtomicBool>);

impl OrderScope {
    /// Ends the scope; its orders are not tried again.
    pub(super) fn end(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_over(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// CPU share order that has been answered or has timed out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct FinishedShareOrder {
    pub(super) key: WorkerKey,
    pub(super) order: ShareOrder,
    pub(super) answer: ShareAnswer,
}

/// Order for the worker that is sent until it is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum WorkerOrder {
    Start(StartOrder),
    Stop,
}
