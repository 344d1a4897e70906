//! Orders of the leader, from their arrival to their result.

use super::order::FinishedOrder;
use super::order::OrderResult;
use super::order::WorkerOrder;
use super::orders::OrderTarget;
use super::run::AgentLoop;
use super::run::HoldPlan;
use super::worker::RunTraits;
use crate::message::StartTask;
use crate::metric;
use crate::port::StartOrder;
use crate::port::WorkerPort;
use guavavane_jobs::plan::pace::PaceOrder;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootClock;

impl<P: WorkerPort> AgentLoop<P> {
    pub(super) fn start_task(&mut self, key: WorkerKey, order: StartTask) {
        let (task, run) = (order.task, order.run);
        if order.epoch != self.epoch {
            let epoch = self.epoch;
            tracing::info!(event = "start_void", %task, %run, ordered = order.epoch, epoch);
            return;
        }
        let Some(worker) = &mut self.worker else {
            return;
        };
        if worker.is_running(task, run) || self.under_way.contains_key(&(task, run)) {
            return;
        }
        let traits = RunTraits {
            latency_target_ms: order.latency_target_ms,
            filling: order.filling,
            image: order.image,
            cpu_millis: order.cpu_millis,
            urgency: order.urgency,
        };
        worker.traits.insert((task, run), traits);
        let deadline = self.lease.next_deadline(BootClock.now());
        let withheld = worker.draining || self.lease.is_silent();
        let (Some(deadline_ms), false) = (deadline, withheld) else {
            tracing::info!(event = "start_withheld", %task, %run, draining = worker.draining);
            self.spawn_order(key, task, run, WorkerOrder::Stop);
            return;
        };
        let order = StartOrder {
            task,
            run,
            payload: order.payload,
            saved: order.saved,
            deadline_ms,
            ticket: order.ticket,
        };
        self.spawn_order(key, task, run, WorkerOrder::Start(order));
    }

    pub(super) fn spawn_order(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: RunNumber,
        order: WorkerOrder,
    ) {
        if !matches!(order, WorkerOrder::Pace(_)) {
            let starts = matches!(order, WorkerOrder::Start(_));
            self.under_way.insert((task, run), starts);
        }
        let target = OrderTarget {
            port: self.port.clone(),
            key,
            fence: self.fence,
        };
        let finished = self.finished.0.clone();
        tokio::spawn(async move {
            let order = target.carry_out(task, run, order).await;
            // The loop has ended.
            let _ = finished.send(order);
        });
    }

    pub(super) fn take_finished(&mut self, order: &FinishedOrder) {
        let id = (order.task, order.run);
        if let OrderResult::Paced(percent) = order.result {
            if let Some(worker) = &mut self.worker {
                worker.pace.note_ordered(PaceOrder {
                    task: order.task,
                    run: order.run,
                    percent,
                });
            }
            return;
        }
        self.under_way.swap_remove(&id);
        metric::count("order", order.result.name());
        tracing::info!(event = "order_finished", task = %order.task, run = %order.run, result = ?order.result);
        match order.result {
            OrderResult::Stopped | OrderResult::NotStarted if self.is_current(&order.key) => {
                // The list must come from a hold that is sent after this.
                let listed_next = !matches!(self.hold, HoldPlan::Waiting);
                self.unconfirmed.insert(id, listed_next);
                self.hasten_hold();
            }
            OrderResult::Started => {
                self.started.insert(id, BootClock.now());
                self.pace_new_run(order);
            }
            // The leader sees at the next report that the run is not there.
            OrderResult::Unanswered => self.reported = false,
            _ => {}
        }
    }

    /// Slows down a filling task at its start where the worker has no room for it.
    fn pace_new_run(&mut self, order: &FinishedOrder) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        if let Some(pace) = worker.begin_pace(order.task, order.run) {
            let percent = WorkerOrder::Pace(pace.percent);
            self.spawn_order(order.key.clone(), order.task, order.run, percent);
        }
    }
}
