//! Makes a new incarnation of the worker refuse the runs of earlier ones.
//!
//! A start that was meant for an earlier incarnation may reach the present one, which would carry it
//! out. A stop ends the run if it has started and keeps it from starting from then on. The leader frees
//! the runs of the earlier incarnation once a report says that all of them are refused.

use indexmap::IndexSet;

use super::agent_loop::AgentLoop;
use super::order::WorkerOrder;
use crate::worker_api::WorkerApi;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootTime;

/// Runs of earlier incarnations that an incarnation has to refuse.
#[derive(Clone, Debug, Default)]
pub(super) struct RunRefusals {
    /// Runs whose stop is not confirmed.
    pending: IndexSet<(TaskKey, RunNumber)>,
    /// Runs that are neither running nor can start.
    confirmed: IndexSet<(TaskKey, RunNumber)>,
}

impl RunRefusals {
    /// Adds runs; those that are refused already stay so.
    pub(super) fn add(&mut self, runs: impl IntoIterator<Item = (TaskKey, RunNumber)>) {
        let confirmed = &self.confirmed;
        let new_runs = runs.into_iter().filter(|run| !confirmed.contains(run));
        self.pending.extend(new_runs);
    }

    /// Records that a run was stopped and is in no list of running ones; returns whether it was to be
    /// refused.
    pub(super) fn confirm(&mut self, run: (TaskKey, RunNumber)) -> bool {
        let was_pending = self.pending.swap_remove(&run);
        if was_pending {
            self.confirmed.insert(run);
        }
        was_pending
    }

    /// Whether all runs are refused.
    pub(super) fn is_complete(&self) -> bool {
        self.pending.is_empty()
    }

    pub(super) fn is_pending(&self, run: &(TaskKey, RunNumber)) -> bool {
        self.pending.contains(run)
    }

    pub(super) fn pending(&self) -> impl Iterator<Item = (TaskKey, RunNumber)> + '_ {
        self.pending.iter().copied()
    }

    pub(super) fn confirmed(&self) -> impl Iterator<Item = (TaskKey, RunNumber)> + '_ {
        self.confirmed.iter().copied()
    }
}

impl<A: WorkerApi> AgentLoop<A> {
    /// Lets a new worker refuse the unanswered starts of earlier incarnations.
    pub(super) fn refuse_late_starts(&mut self, now: BootTime) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        let late_runs = self.late_starts.of_worker(now, &worker.key.name);
        worker.refusals.add(late_runs);
        self.continue_refusals();
    }

    /// Refuses runs that the leader knows of earlier incarnations, then reports the worker again.
    pub(super) fn refuse_runs(&mut self, key: &WorkerKey, runs: Vec<(TaskKey, RunNumber)>) {
        let Some(worker) = self.worker.as_mut().filter(|worker| worker.key == *key) else {
            return;
        };
        tracing::info!(event = "runs_to_refuse", worker = %key, runs = runs.len());
        worker.refusals.add(runs);
        self.continue_refusals();
        self.finish_refusals();
    }

    /// Stops the runs to refuse that no stop is under way for.
    pub(super) fn continue_refusals(&mut self) {
        let Some(worker) = &self.worker else {
            return;
        };
        if self.fencing_token == 0 {
            return;
        }
        let key = worker.key.clone();
        let is_open = |run: &(TaskKey, RunNumber)| {
            !self.orders_in_flight.contains_key(run) && !self.unconfirmed_stops.contains_key(run)
        };
        let open: Vec<(TaskKey, RunNumber)> = worker.refusals.pending().filter(is_open).collect();
        for (task, run) in open {
            self.spawn_order(key.clone(), task, run, WorkerOrder::Stop);
        }
    }

    /// Reports the worker once it refuses all runs.
    pub(super) fn finish_refusals(&mut self) {
        let worker = self.worker.as_ref();
        if worker.is_some_and(|worker| worker.refusals.is_complete()) {
            self.reported = false;
            self.report_worker();
        }
    }
}
