//! Reports of the agent to the leader.

use std::sync::Arc;

use super::agent_loop::AgentLoop;
use crate::message::ToControl;
use crate::message::WorkerReport;
use crate::worker_api::WorkerApi;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootClock;

/// Number of ended incarnations that an agent remembers.
const ENDED_WORKERS_MAX: usize = 4;

impl<A: WorkerApi> AgentLoop<A> {
    pub(super) fn send_to_leader(&self, message: ToControl) {
        if let Some(session) = &self.session {
            // Sending fails on a closed session; the next session reports the full state.
            session.send(message);
        }
    }

    /// Reports the full state of the worker if the session lacks it and a list has arrived.
    pub(super) fn report_worker(&mut self) {
        if self.reported || self.session.is_none() {
            return;
        }
        let Some(worker) = self.worker.as_mut().filter(|worker| worker.has_list) else {
            return;
        };
        let report = WorkerReport {
            key: worker.key.clone(),
            facts: worker.facts.clone(),
            draining: worker.draining,
            epoch: self.epoch,
            running: worker
                .running
                .iter()
                .map(|status| (status.task, status.run))
                .collect(),
            completions: worker.completions.clone(),
            estimates: worker.throttle.estimates(),
            refused_runs: worker.refusals.confirmed().collect(),
        };
        worker.reported_runs = report.running.iter().copied().collect();
        worker.reported_completion = worker
            .completions
            .last()
            .map_or(worker.acknowledged_completion, |completion| {
                completion.number
            });
        let checkpoints = worker
            .running
            .iter()
            .filter(|status| !status.checkpoint.is_empty());
        let checkpoints = checkpoints
            .map(|status| (status.task, Arc::clone(&status.checkpoint)))
            .collect();
        let orders_in_flight = self.orders_in_flight.keys().copied();
        let mut report = report;
        report.running.extend(orders_in_flight);
        report.running.extend(self.recent_starts.keys().copied());
        tracing::info!(event = "worker_reported", worker = %report.key, running = report.running.len(), ends = report.completions.len(), draining = report.draining, epoch = report.epoch);
        let silent = self.lease.is_silent();
        let key = report.key.clone();
        self.send_to_leader(ToControl::WorkerReport(Box::new(report)));
        self.send_to_leader(ToControl::Silence { key, silent });
        self.send_to_leader(ToControl::Checkpoints { checkpoints });
        self.reported = true;
        if self.granted_from.is_none() {
            self.request_grant();
        }
        if self.lease.is_released() {
            // The leader counts a report as the start of a lease.
            self.release_lease();
        }
    }

    /// Gives the lease back to the leader, since the process ends and no other one may follow.
    pub(super) fn release_lease(&mut self) {
        let remaining = self.lease.release(BootClock.now());
        tracing::info!(
            event = "lease_released",
            remaining_ms = remaining.as_millis() as u64
        );
        self.send_to_leader(ToControl::ReleaseLease { remaining });
    }

    /// Requests the first lease of the session without waiting for the next regular ping.
    fn request_grant(&mut self) {
        let now = BootClock.now();
        self.granted_from = Some(now);
        self.send_to_leader(ToControl::Ping { sent_at: now });
    }

    /// Reports the ended incarnations and an expired lease to a new session: the leader of an earlier
    /// one may have been lost before it committed them, and so may an earlier process of the agent. A
    /// leader that has nothing to free commits them without effect.
    pub(super) fn report_losses(&mut self) {
        for key in &self.ended_workers {
            self.send_to_leader(ToControl::WorkerEnded { key: key.clone() });
        }
        if !self.lease.may_be_held() {
            self.send_to_leader(ToControl::LeaseExpired);
        }
        self.loss_question = None;
    }

    /// Reports a loss that has just been noticed; without a session, the next one reports it.
    pub(super) fn report_loss(&mut self, loss: ToControl) {
        self.send_to_leader(loss);
        self.has_unconfirmed_loss = true;
        self.loss_question = None;
    }

    /// Asks the leader whether the reported losses are committed, unless the question is open.
    pub(super) fn ask_for_losses(&mut self) {
        if self.loss_question.is_some() || self.session.is_none() {
            return;
        }
        self.loss_questions += 1;
        let number = self.loss_questions;
        self.loss_question = Some(number);
        self.send_to_leader(ToControl::ConfirmLosses { number });
    }

    /// Records that the losses are committed which were reported before a question.
    pub(super) fn record_committed_losses(&mut self, number: u64) {
        if self.loss_question == Some(number) {
            tracing::info!(event = "losses_confirmed", number);
            self.loss_question = None;
            self.has_unconfirmed_loss = false;
        }
    }

    /// Forgets the worker and reports that it has ended. The leader then frees its runs at once, so no
    /// later incarnation may have its name.
    pub(super) fn remove_worker(&mut self, reason: &'static str) {
        let Some(key) = self.forget_worker(reason) else {
            return;
        };
        self.ended_workers.push_back(key.clone());
        let surplus = self.ended_workers.len().saturating_sub(ENDED_WORKERS_MAX);
        self.ended_workers.drain(..surplus);
        self.report_loss(ToControl::WorkerEnded { key });
    }

    /// Forgets the worker and returns its key.
    pub(super) fn forget_worker(&mut self, reason: &'static str) -> Option<WorkerKey> {
        let worker = self.worker.take()?;
        tracing::warn!(event = "worker_gone", worker = %worker.key, reason);
        self.end_orders(&worker.key.name);
        self.former_name = Some(Arc::clone(&worker.key.name));
        self.leaving = false;
        self.asks_incarnation = false;
        self.acknowledge_max = None;
        self.reported = false;
        self.granted_from = None;
        Some(worker.key)
    }
}
