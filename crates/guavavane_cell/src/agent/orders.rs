//! Carrying out one order: repeated until it is answered, since each is idempotent.

use std::time::Duration;

use tokio::time::sleep;

use super::order::FinishedOrder;
use super::order::OrderResult;
use super::order::WorkerOrder;
use crate::port::OrderAnswer;
use crate::port::OrderRefusal;
use crate::port::StartOrder;
use crate::port::WorkerPort;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;

/// How long a start is tried: what it was decided on is old after that.
const START_WORTH: Duration = Duration::from_millis(1_500);
/// How long a stop is tried before the leader has to ask again.
const STOP_WORTH: Duration = Duration::from_millis(4_000);
/// Pause between two tries.
const TRY_PAUSE: Duration = Duration::from_millis(30);

/// A worker's port with the identity and the fence that its orders carry.
#[derive(Clone)]
pub(super) struct OrderTarget<P> {
    pub(super) port: P,
    pub(super) key: WorkerKey,
    pub(super) fence: u64,
}

impl<P: WorkerPort> OrderTarget<P> {
    /// Carries out an order.
    pub(super) async fn carry_out(
        self,
        task: TaskKey,
        run: RunNumber,
        order: WorkerOrder,
    ) -> FinishedOrder {
        let result = match order {
            WorkerOrder::Start(order) => self.start(order).await,
            WorkerOrder::Stop => self.stop(task, run, STOP_WORTH).await,
            WorkerOrder::Pace(percent) => self.pace(task, run, percent).await,
        };
        FinishedOrder {
            key: self.key,
            task,
            run,
            result,
        }
    }

    async fn start(&self, order: StartOrder) -> OrderResult {
        let until = BootClock.now() + START_WORTH;
        let (task, run) = (order.task, order.run);
        let mut unanswered = false;
        while BootClock.now() < until {
            let answer = self
                .port
                .start(self.key.clone(), self.fence, order.clone())
                .await;
            match answer {
                OrderAnswer::Done => return OrderResult::Started,
                OrderAnswer::OtherIncarnation => return OrderResult::Unanswered,
                OrderAnswer::Refused(OrderRefusal::Old) => return OrderResult::Started,
                OrderAnswer::Refused(reason) => {
                    tracing::info!(event = "start_refused", %task, %run, ?reason, unanswered);
                    break;
                }
                OrderAnswer::Unanswered => unanswered = true,
            }
            sleep(TRY_PAUSE).await;
        }
        // Keeps out a try that may still be carried out, and one that went to no effect.
        match self.stop(task, run, STOP_WORTH).await {
            OrderResult::Stopped => OrderResult::NotStarted,
            other => other,
        }
    }

    async fn stop(&self, task: TaskKey, run: RunNumber, worth: Duration) -> OrderResult {
        let until: BootTime = BootClock.now() + worth;
        while BootClock.now() < until {
            let answer = self
                .port
                .stop(self.key.clone(), self.fence, task, run)
                .await;
            match answer {
                OrderAnswer::Done => return OrderResult::Stopped,
                OrderAnswer::OtherIncarnation => return OrderResult::Unanswered,
                OrderAnswer::Refused(reason) => {
                    tracing::info!(event = "stop_refused", %task, %run, ?reason);
                }
                OrderAnswer::Unanswered => {}
            }
            sleep(TRY_PAUSE).await;
        }
        OrderResult::Unanswered
    }

    async fn pace(&self, task: TaskKey, run: RunNumber, percent: u32) -> OrderResult {
        let port = &self.port;
        match port
            .pace(self.key.clone(), self.fence, task, run, percent)
            .await
        {
            OrderAnswer::Done => OrderResult::Paced(percent),
            _ => OrderResult::Unanswered,
        }
    }
}
