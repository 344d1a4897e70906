//! What the agent tells the leader.

use std::sync::Arc;

use super::run::AgentLoop;
use crate::message::ToControl;
use crate::message::WorkerReport;
use crate::port::WorkerPort;

impl<P: WorkerPort> AgentLoop<P> {
    pub(super) fn tell(&self, message: ToControl) {
        if let Some(session) = &self.session {
            // A closed session is replaced, and the next report says it all.
            session.send(message);
        }
    }

    /// Speaks for the worker on a new session, once its list is known.
    pub(super) fn report(&mut self) {
        if self.reported || self.session.is_none() {
            return;
        }
        let Some(worker) = self.worker.as_mut().filter(|worker| worker.listed) else {
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
                .map(|row| (row.task, row.run))
                .collect(),
            ends: worker.ends.clone(),
            pairs: worker.pace.known_pairs(),
        };
        worker.passed_end = worker
            .ends
            .last()
            .map_or(worker.noted_end, |end| end.number);
        let saved = worker.running.iter().filter(|row| !row.saved.is_empty());
        let saved = saved
            .map(|row| (row.task, Arc::clone(&row.saved)))
            .collect();
        let under_way = self.under_way.keys().copied();
        let mut report = report;
        report.running.extend(under_way);
        report.running.extend(self.started.keys().copied());
        tracing::info!(event = "worker_reported", worker = %report.key, running = report.running.len(), ends = report.ends.len(), draining = report.draining, epoch = report.epoch);
        let silent = self.lease.is_silent();
        let key = report.key.clone();
        self.tell(ToControl::Worker(Box::new(report)));
        self.tell(ToControl::Silence { key, silent });
        self.tell(ToControl::Saved { saved });
        self.reported = true;
    }

    pub(super) fn tell_lost(&mut self) {
        let Some(session) = &self.session else {
            return;
        };
        for (key, ended) in self.lost.drain(..) {
            // A closed session is replaced; the leader then waits for its own lease.
            session.send(ToControl::WorkerLost { key, ended });
        }
    }

    pub(super) fn drop_worker(&mut self, ended: bool, reason: &'static str) {
        let Some(worker) = self.worker.take() else {
            return;
        };
        tracing::warn!(event = "worker_gone", worker = %worker.key, reason);
        self.unconfirmed.clear();
        self.under_way.clear();
        self.started.clear();
        self.reported = false;
        self.lost.push((worker.key, ended));
        self.tell_lost();
    }
}
