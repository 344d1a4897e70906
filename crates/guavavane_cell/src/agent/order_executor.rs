//! Executes one order; orders are idempotent.
//!
//! A start or stop is retried until it is answered, or until its scope is over: a later incarnation of
//! the worker would carry out what was meant for an earlier one. A CPU share is sent once:
//! [`guavavane_jobs::plan::share_tracker`] decides when it is ordered again.

use std::time::Duration;

use tokio::time::sleep;

use super::order::FinishedOrder;
use super::order::FinishedShareOrder;
use super::order::OrderResult;
use super::order::OrderScope;
use super::order::WorkerOrder;
use crate::worker_api::OrderAnswer;
use crate::worker_api::OrderRefusal;
use crate::worker_api::StartOrder;
use crate::worker_api::WorkerApi;
use guavavane_jobs::plan::share_tracker::ShareAnswer;
use guavavane_jobs::plan::throttle::ShareOrder;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;

/// Time for which a start is retried; after that the state it was decided on is outdated.
const START_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a stop is retried before the leader has to repeat it.
const STOP_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(30);

/// What became of an order; see [`FinishedOrder`].
struct OrderAttempt {
    result: OrderResult,
    may_be_late: bool,
    is_rejected: bool,
}

impl OrderAttempt {
    fn new(result: OrderResult) -> Self {
        Self {
            result,
            may_be_late: false,
            is_rejected: false,
        }
    }

    fn late_if(mut self, may_be_late: bool) -> Self {
        self.may_be_late = may_be_late;
        self
    }
}

/// Whether a worker that refuses a start for this reason would refuse other starts as well.
fn is_fault_of_worker(reason: OrderRefusal) -> bool {
    match reason {
        OrderRefusal::Room | OrderRefusal::Other => true,
        OrderRefusal::Fence | OrderRefusal::Old | OrderRefusal::Late | OrderRefusal::Ticket => {
            false
        }
    }
}

/// Client of a worker, with the incarnation and the fencing token that its orders carry.
#[derive(Clone)]
pub(super) struct OrderExecutor<A> {
    pub(super) worker_api: A,
    pub(super) key: WorkerKey,
    pub(super) fencing_token: u64,
    pub(super) scope: OrderScope,
}

impl<A: WorkerApi> OrderExecutor<A> {
    /// Sends a start or stop until it is answered, its timeout has passed or its scope is over.
    pub(super) async fn execute(
        self,
        task: TaskKey,
        run: RunNumber,
        order: WorkerOrder,
    ) -> FinishedOrder {
        let attempt = match order {
            WorkerOrder::Start(order) => self.start(order).await,
            WorkerOrder::Stop => OrderAttempt::new(self.stop(task, run, STOP_TIMEOUT).await),
        };
        FinishedOrder {
            key: self.key,
            task,
            run,
            result: attempt.result,
            may_be_late: attempt.may_be_late,
            is_rejected: attempt.is_rejected,
        }
    }

    /// Whether an order may be tried again.
    fn may_try(&self, until: BootTime) -> bool {
        !self.scope.is_over() && BootClock.now() < until
    }

    async fn start(&self, order: StartOrder) -> OrderAttempt {
        let until = BootClock.now() + START_TIMEOUT;
        let (task, run) = (order.task, order.run);
        let mut unanswered = false;
        let mut rejected = false;
        while self.may_try(until) {
            let answer = self
                .worker_api
                .start(self.key.clone(), self.fencing_token, order.clone())
                .await;
            match answer {
                OrderAnswer::Done => {
                    return OrderAttempt::new(OrderResult::Started).late_if(unanswered);
                }
                OrderAnswer::OtherIncarnation => {
                    return OrderAttempt::new(OrderResult::Unanswered).late_if(unanswered);
                }
                OrderAnswer::Refused(OrderRefusal::Old) => {
                    return OrderAttempt::new(OrderResult::NotStarted).late_if(unanswered);
                }
                OrderAnswer::Refused(reason) => {
                    tracing::info!(event = "start_refused", %task, %run, ?reason, unanswered);
                    rejected = is_fault_of_worker(reason);
                    break;
                }
                OrderAnswer::Unanswered => unanswered = true,
            }
            sleep(RETRY_INTERVAL).await;
        }
        let is_timed_out = !self.scope.is_over() && BootClock.now() >= until;
        // An unanswered try may have started the run or may still start it. The stop ends the run
        // and keeps any earlier try from starting it later.
        let result = match self.stop(task, run, STOP_TIMEOUT).await {
            OrderResult::Stopped => OrderResult::NotStarted,
            other => other,
        };
        OrderAttempt {
            result,
            may_be_late: unanswered,
            is_rejected: rejected || is_timed_out,
        }
    }

    async fn stop(&self, task: TaskKey, run: RunNumber, timeout: Duration) -> OrderResult {
        let until: BootTime = BootClock.now() + timeout;
        while self.may_try(until) {
            let answer = self
                .worker_api
                .stop(self.key.clone(), self.fencing_token, task, run)
                .await;
            match answer {
                OrderAnswer::Done => return OrderResult::Stopped,
                OrderAnswer::OtherIncarnation => return OrderResult::Unanswered,
                OrderAnswer::Refused(reason) => {
                    tracing::info!(event = "stop_refused", %task, %run, ?reason);
                }
                OrderAnswer::Unanswered => {}
            }
            sleep(RETRY_INTERVAL).await;
        }
        OrderResult::Unanswered
    }

    /// Sends a CPU share order once.
    pub(super) async fn set_cpu_share(self, order: ShareOrder) -> FinishedShareOrder {
        let ShareOrder { task, run, percent } = order;
        let answer = self
            .worker_api
            .set_cpu_share(self.key.clone(), self.fencing_token, task, run, percent)
            .await;
        let answer = match answer {
            OrderAnswer::Done => ShareAnswer::Applied,
            OrderAnswer::Refused(_) | OrderAnswer::OtherIncarnation => ShareAnswer::Refused,
            OrderAnswer::Unanswered => ShareAnswer::Unanswered,
        };
        FinishedShareOrder {
            key: self.key,
            order,
            answer,
        }
    }
}
