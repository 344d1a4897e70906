//! Attributes failures to a worker or to a job.
//!
//! A worker on which different jobs fail is faulty, and so is a job that fails on different
//! workers. The failures of a faulty job no longer count against workers, and the failures on a
//! quarantined worker no longer count against jobs. A success clears the failures of both its
//! job and its worker.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::index::WorkerIndex;
use crate::settings::PlacementSettings;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::JobId;

/// Maximum number of jobs whose failures are remembered.
const JOBS_MAX: usize = 16_384;

/// Maximum number of doublings of the quarantine time.
const QUARANTINE_DOUBLINGS_MAX: u32 = 16;

/// What a failure is attributed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureAttribution {
    /// Neither the job nor the worker has reached its limit.
    Undecided,
    /// The job has failed on too many different workers.
    Job {
        /// Number of different workers within the failure window.
        failed_workers: u32,
    },
    /// Too many different jobs have failed on the worker.
    Worker {
        /// Number of different jobs within the failure window.
        failed_jobs: u32,
    },
}

#[derive(Debug, Default)]
struct WorkerFailures {
    jobs: IndexMap<JobId, BootTime>,
    quarantine_count: u32,
}

#[derive(Debug, Default)]
struct JobFailures {
    workers: IndexMap<WorkerIndex, BootTime>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QuarantineEnd {
    until: BootTime,
    worker: WorkerIndex,
}

/// Failures of workers and jobs within the failure window, and the ends of quarantines.
#[derive(Debug, Default)]
pub(crate) struct FailureHistory {
    workers: IndexMap<WorkerIndex, WorkerFailures>,
    jobs: IndexMap<JobId, JobFailures>,
    quarantine_ends: BTreeSet<QuarantineEnd>,
}

impl FailureHistory {
    /// Records a failure and attributes it.
    pub(crate) fn record_failure(
        &mut self,
        now: BootTime,
        job: JobId,
        worker: WorkerIndex,
        settings: &PlacementSettings,
    ) -> FailureAttribution {
        let failed_workers = self.record_job_failure(now, job, worker, settings);
        if failed_workers >= settings.job_failed_workers_max {
            self.clear_job_from_workers(job);
            return FailureAttribution::Job { failed_workers };
        }
        let failures = self.workers.entry(worker).or_default();
        failures.jobs.insert(job, now);
        remove_expired(&mut failures.jobs, now, settings.failure_window_ms);
        let failed_jobs = failures.jobs.len() as u32;
        // For a worker that was quarantined and has had no success since, one failed job is enough.
        let limit = match failures.quarantine_count {
            0 => settings.worker_failed_jobs_max,
            _ => 1,
        };
        if failed_jobs >= limit {
            return FailureAttribution::Worker { failed_jobs };
        }
        FailureAttribution::Undecided
    }

    fn record_job_failure(
        &mut self,
        now: BootTime,
        job: JobId,
        worker: WorkerIndex,
        settings: &PlacementSettings,
    ) -> u32 {
        if self.jobs.len() >= JOBS_MAX && !self.jobs.contains_key(&job) {
            self.jobs.swap_remove_index(0);
        }
        let failures = self.jobs.entry(job).or_default();
        remove_expired(&mut failures.workers, now, settings.failure_window_ms);
        if failures.workers.len() < settings.job_failed_workers_max as usize {
            failures.workers.insert(worker, now);
        }
        failures.workers.len() as u32
    }

    fn clear_job_from_workers(&mut self, job: JobId) {
        let Some(failures) = self.jobs.get(&job) else {
            return;
        };
        for worker in failures.workers.keys() {
            if let Some(failures) = self.workers.get_mut(worker) {
                failures.jobs.swap_remove(&job);
            }
        }
    }

    /// Records a success: clears the failures of the job and of the worker.
    pub(crate) fn record_success(&mut self, job: JobId, worker: WorkerIndex) {
        self.jobs.swap_remove(&job);
        self.workers.swap_remove(&worker);
    }

    /// Starts a quarantine, and returns its length in milliseconds.
    pub(crate) fn quarantine(
        &mut self,
        now: BootTime,
        worker: WorkerIndex,
        settings: &PlacementSettings,
    ) -> u64 {
        let failures = self.workers.entry(worker).or_default();
        let doublings = failures.quarantine_count.min(QUARANTINE_DOUBLINGS_MAX);
        let term_ms = settings.quarantine_ms.saturating_mul(1 << doublings);
        let term_ms = term_ms.min(settings.quarantine_max_ms);
        failures.quarantine_count += 1;
        let jobs: Vec<JobId> = failures.jobs.drain(..).map(|(job, _)| job).collect();
        for job in jobs {
            self.remove_job_failure(job, worker);
        }
        let until = BootTime::from_millis(now.as_millis().saturating_add(term_ms));
        self.quarantine_ends.insert(QuarantineEnd { until, worker });
        term_ms
    }

    fn remove_job_failure(&mut self, job: JobId, worker: WorkerIndex) {
        let Some(failures) = self.jobs.get_mut(&job) else {
            return;
        };
        failures.workers.swap_remove(&worker);
        if failures.workers.is_empty() {
            self.jobs.swap_remove(&job);
        }
    }

    /// Removes one quarantine that has ended by `now`, and returns its worker.
    pub(crate) fn pop_ended_quarantine(&mut self, now: BootTime) -> Option<WorkerIndex> {
        let first = *self.quarantine_ends.first()?;
        if first.until > now {
            return None;
        }
        self.quarantine_ends.remove(&first);
        Some(first.worker)
    }

    /// Forgets a worker that the policy forgets.
    pub(crate) fn forget_worker(&mut self, worker: WorkerIndex) {
        self.workers.swap_remove(&worker);
        self.quarantine_ends.retain(|end| end.worker != worker);
        for failures in self.jobs.values_mut() {
            failures.workers.swap_remove(&worker);
        }
    }

    /// Number of different jobs that recently failed on a worker.
    pub(crate) fn failed_job_count(&self, worker: WorkerIndex) -> i64 {
        let failures = self.workers.get(&worker);
        failures.map_or(0, |failures| failures.jobs.len() as i64)
    }

    /// Whether a job recently failed on a worker.
    pub(crate) fn job_failed_on(&self, job: JobId, worker: WorkerIndex) -> bool {
        let failures = self.jobs.get(&job);
        failures.is_some_and(|failures| failures.workers.contains_key(&worker))
    }
}

fn remove_expired<K>(failures: &mut IndexMap<K, BootTime>, now: BootTime, window_ms: u64) {
    let oldest_ms = now.as_millis().saturating_sub(window_ms);
    failures.retain(|_, failed_at| failed_at.as_millis() >= oldest_ms);
}
