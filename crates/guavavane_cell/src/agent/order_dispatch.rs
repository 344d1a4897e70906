//! Receives the leader's orders, passes them to the worker and handles their results.

use std::sync::Arc;

use super::agent_loop::AgentLoop;
use super::agent_loop::RenewalPlan;
use super::order::FinishedOrder;
use super::order::FinishedShareOrder;
use super::order::OrderResult;
use super::order::WorkerOrder;
use super::order_executor::OrderExecutor;
use super::worker::RunAttributes;
use crate::message::StartTask;
use crate::message::ToControl;
use crate::metric;
use crate::worker_api::StartOrder;
use crate::worker_api::WorkerApi;
use guavavane_jobs::plan::throttle::ShareOrder;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootClock;

impl<A: WorkerApi> AgentLoop<A> {
    /// Stores the attributes of a run and starts it unless it is running. A repeated order tells a new
    /// process of the agent the attributes of the runs that it has reported.
    ///
    /// Stops the run instead if the worker is draining, silent or without a lease, so that the worker
    /// refuses it from then on. A start of an earlier epoch is ignored. A confirmed stop of a
    /// run that never started is reported to the leader as its withdrawal.
    pub(super) fn start_run(&mut self, key: WorkerKey, order: StartTask) {
        let (task, run) = (order.task, order.run);
        if order.epoch != self.epoch {
            let epoch = self.epoch;
            tracing::info!(event = "start_void", %task, %run, ordered = order.epoch, epoch);
            return;
        }
        let Some(worker) = &mut self.worker else {
            return;
        };
        let attributes = RunAttributes {
            latency_target_ms: order.latency_target_ms,
            best_effort: order.best_effort,
            image: order.image,
            cpu_millis: order.cpu_millis,
            rank: order.rank,
        };
        worker.attributes.insert((task, run), attributes);
        let is_pending = self.orders_in_flight.contains_key(&(task, run))
            || self.recent_starts.contains_key(&(task, run));
        if is_pending || worker.is_running(task, run) || worker.has_ended(task, run) {
            return;
        }
        let deadline = self.lease.extend_deadline(BootClock.now());
        let is_withheld = worker.draining || self.lease.is_silent();
        let (Some(deadline_ms), false) = (deadline, is_withheld) else {
            tracing::info!(event = "start_withheld", %task, %run, draining = worker.draining);
            self.spawn_order(key, task, run, WorkerOrder::Stop);
            return;
        };
        worker.throttle.record_start(task, run);
        let order = StartOrder {
            task,
            run,
            payload: order.payload,
            checkpoint: order.checkpoint,
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
        let is_start = matches!(order, WorkerOrder::Start(_));
        self.orders_in_flight.insert((task, run), is_start);
        let executor = self.order_executor(key);
        let finished_orders = self.finished_orders.0.clone();
        tokio::spawn(async move {
            let order = executor.execute(task, run, order).await;
            // Sending fails only after the loop has stopped.
            let _ = finished_orders.send(order);
        });
    }

    pub(super) fn spawn_share_order(&self, key: WorkerKey, order: ShareOrder) {
        let executor = self.order_executor(key);
        let finished_shares = self.finished_shares.0.clone();
        tokio::spawn(async move {
            let order = executor.set_cpu_share(order).await;
            // Sending fails only after the loop has stopped.
            let _ = finished_shares.send(order);
        });
    }

    fn order_executor(&self, key: WorkerKey) -> OrderExecutor<A> {
        OrderExecutor {
            worker_api: self.worker_api.clone(),
            key,
            fencing_token: self.fencing_token,
            scope: self.order_scope.clone(),
        }
    }

    /// Records the answer to a CPU share order and sends the next one if it is due.
    pub(super) fn handle_finished_share(&mut self, finished: FinishedShareOrder) {
        let FinishedShareOrder { key, order, answer } = finished;
        let Some(worker) = self.worker.as_mut().filter(|worker| worker.key == key) else {
            return;
        };
        let next_order = worker.record_share_answer(BootClock.now(), order, answer);
        if let Some(next_order) = next_order {
            self.spawn_share_order(key, next_order);
        }
    }

    /// Ends the orders that are under way: the worker they were meant for is gone, or its lease is over.
    /// A start among them may still be carried out.
    pub(super) fn end_orders(&mut self, worker: &Arc<str>) {
        std::mem::take(&mut self.order_scope).end();
        let now = BootClock.now();
        for (id, is_start) in std::mem::take(&mut self.orders_in_flight) {
            if is_start {
                self.late_starts.record(now, worker, id);
            }
        }
        self.unconfirmed_stops.clear();
        self.recent_starts.clear();
    }

    /// Handles the result of an order. That of an order for an earlier incarnation says nothing of the
    /// present one.
    pub(super) fn handle_finished_order(&mut self, order: &FinishedOrder) {
        let id = (order.task, order.run);
        metric::count_event("order", order.result.name());
        tracing::info!(event = "order_finished", task = %order.task, run = %order.run, result = ?order.result, may_be_late = order.may_be_late);
        if order.may_be_late {
            let now = BootClock.now();
            self.late_starts.record(now, &order.key.name, id);
        }
        if !self.is_current(&order.key) {
            return;
        }
        self.orders_in_flight.swap_remove(&id);
        if order.is_rejected {
            // Before the withdrawal of the run, after which the leader places its task anew.
            let key = order.key.clone();
            self.send_to_leader(ToControl::StartRejected { key });
        }
        match order.result {
            OrderResult::Stopped | OrderResult::NotStarted => {
                // Only a renewal that is sent after this result returns a list that confirms it.
                let listed_next = !matches!(self.renewal, RenewalPlan::InFlight);
                self.unconfirmed_stops.insert(id, listed_next);
                self.renew_now();
            }
            OrderResult::Started => {
                self.recent_starts.insert(id, BootClock.now());
                self.throttle_new_run(order);
            }
            // Reporting the worker again shows the leader which runs the worker holds.
            OrderResult::Unanswered => self.reported = false,
        }
    }

    /// Throttles a best-effort task that has just started, if the latency-critical tasks on the
    /// worker leave it less than its full CPU share.
    fn throttle_new_run(&mut self, order: &FinishedOrder) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        if let Some(share_order) = worker.starting_share(BootClock.now(), order.task, order.run) {
            self.spawn_share_order(order.key.clone(), share_order);
        }
    }
}
