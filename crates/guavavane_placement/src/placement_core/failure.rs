//! Handles task failures by backoff, by giving up the task or by quarantine of the worker.

use std::time::Duration;

use super::PlacementCore;
use crate::decision::GiveUpDecision;
use crate::decision::PlacementDecision;
use crate::decision::QuarantineDecision;
use crate::failure_history::FailureAttribution;
use crate::index::WorkerIndex;
use crate::worker_table::Allocation;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::TaskId;

/// Maximum number of doublings of a backoff.
const BACKOFF_DOUBLINGS_MAX: u32 = 20;

impl PlacementCore {
    /// Clears the failures of the job and the worker, and records the run time.
    pub(super) fn record_success(
        &mut self,
        now: BootTime,
        worker: WorkerIndex,
        allocation: &Allocation,
    ) {
        let Some(entry) = self.tasks.get(allocation.task) else {
            return;
        };
        self.failures.record_success(entry.job, worker);
        let kind = self.shapes.get(entry.shape).key.kind;
        let expected_ms = u64::from(entry.expected_run_ms);
        let ran = now.saturating_since(allocation.since);
        let ran_ms = u64::try_from(ran.as_millis()).unwrap_or(u64::MAX);
        self.sizes.record_run(kind, expected_ms, ran_ms);
    }

    /// Attributes the failure of a released task, and requeues the task after a backoff.
    pub(super) fn handle_failure(&mut self, now: BootTime, worker: WorkerIndex, task: TaskId) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        entry.failures = entry.failures.saturating_add(1);
        let job = entry.job;
        let failures = u32::from(entry.failures);
        let attribution = self
            .failures
            .record_failure(now, job, worker, &self.settings);
        match attribution {
            FailureAttribution::Job { failed_workers } => {
                let decision = GiveUpDecision {
                    task,
                    job,
                    failed_workers,
                };
                self.pending_reports
                    .push_back(PlacementDecision::GiveUp(decision));
                self.end_task(task);
                return;
            }
            FailureAttribution::Worker { failed_jobs } => self.quarantine(now, worker, failed_jobs),
            FailureAttribution::Undecided => {}
        }
        let doublings = (failures - 1).min(BACKOFF_DOUBLINGS_MAX);
        let backoff_ms = self.settings.backoff_ms.saturating_mul(1 << doublings);
        let backoff_ms = backoff_ms.min(self.settings.backoff_max_ms);
        self.start_backoff(task, now + Duration::from_millis(backoff_ms));
    }

    fn quarantine(&mut self, now: BootTime, worker: WorkerIndex, failed_jobs: u32) {
        let Some(slot) = self.workers.find_slot(worker) else {
            return;
        };
        let data_centre = slot.data_centre;
        let is_quarantined = slot.quarantined;
        let name = slot.name.clone();
        if is_quarantined
            || !self
                .data_centres
                .get(data_centre)
                .can_quarantine(&self.settings)
        {
            return;
        }
        let term_ms = self.failures.quarantine(now, worker, &self.settings);
        self.data_centres.get_mut(data_centre).quarantined += 1;
        self.workers.update(worker, |slot| slot.quarantined = true);
        self.holds_changed = true;
        let decision = QuarantineDecision {
            worker: name,
            failed_jobs,
            term_ms,
        };
        self.pending_reports
            .push_back(PlacementDecision::QuarantineWorker(decision));
    }

    /// Releases the workers whose quarantine has lasted its full time.
    pub(super) fn end_quarantines(&mut self, now: BootTime) {
        while let Some(worker) = self.failures.pop_ended_quarantine(now) {
            let Some(slot) = self.workers.find_slot(worker) else {
                continue;
            };
            let data_centre = slot.data_centre;
            let name = slot.name.clone();
            self.data_centres.get_mut(data_centre).quarantined -= 1;
            self.workers.update(worker, |slot| slot.quarantined = false);
            self.pending_reports
                .push_back(PlacementDecision::ReleaseQuarantine(name));
        }
    }
}
