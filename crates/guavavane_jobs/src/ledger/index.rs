//! Indexes of the ledger, which follow from its records and are not stored.
//!
//! They make the cost of a decision follow what it concerns rather than all workers and runs: the
//! worker of a report, the runs of a job, the workers that have changed since an earlier look, and
//! the jobs that may hold runs which are no longer desired.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::record::JobPhase;
use super::record::JobRecord;
use super::record::WorkerIndex;
use super::record::WorkerRecord;
use super::JobLedger;
use crate::identity::JobKey;
use crate::identity::TaskKey;
use crate::identity::WorkerKey;

/// Number of changes of workers that are kept for readers; one that is further behind reads all.
const CHANGES_MAX: usize = 8_192;

/// Workers in the order in which they changed.
#[derive(Clone, Debug, Default)]
struct WorkerChanges {
    /// Number of changes so far, whether kept or not.
    revision: u64,
    latest: VecDeque<WorkerIndex>,
}

impl WorkerChanges {
    fn record(&mut self, worker: WorkerIndex) {
        self.revision += 1;
        if self.latest.len() == CHANGES_MAX {
            self.latest.pop_front();
        }
        self.latest.push_back(worker);
    }

    /// Makes each reader read all workers.
    fn record_all(&mut self) {
        self.revision += 1;
        self.latest.clear();
    }

    /// Workers that changed after a revision; none if not all of these changes are kept.
    fn since(&self, revision: u64) -> Option<impl Iterator<Item = WorkerIndex> + '_> {
        let missed = usize::try_from(self.revision.checked_sub(revision)?).ok()?;
        let known = self.latest.len().checked_sub(missed)?;
        Some(self.latest.iter().skip(known).copied())
    }
}

/// Indexes of a ledger.
#[derive(Clone, Debug, Default)]
pub(super) struct LedgerIndex {
    workers: IndexMap<WorkerKey, WorkerIndex>,
    /// Workers by the name of their VM.
    nodes: IndexMap<Arc<str>, IndexSet<WorkerIndex>>,
    runs: IndexMap<JobKey, IndexSet<(WorkerIndex, TaskKey)>>,
    /// Jobs with runs of which some may no longer be desired: the job has ended, or a gang has broken
    /// or is done.
    disturbed_jobs: IndexSet<JobKey>,
    /// Memory of all job records in bytes.
    job_bytes: usize,
    changes: WorkerChanges,
}

/// Ledgers with the same records are equal, whatever their indexes remember of earlier changes.
impl PartialEq for LedgerIndex {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl LedgerIndex {
    /// Builds the indexes of a ledger that replaces the one of `previous`.
    pub(super) fn rebuild(ledger: &JobLedger, previous: &Self) -> Self {
        let mut index = Self {
            changes: previous.changes.clone(),
            ..Self::default()
        };
        index.job_bytes = ledger.jobs.values().map(JobRecord::memory_bytes).sum();
        for (worker, record) in ledger.workers() {
            index.add_worker(worker, record);
            for task in record.runs.keys() {
                index.add_run(worker, *task);
            }
        }
        let has_undesired = |job: &JobKey| {
            let is_active = |job| ledger.job(job).is_some_and(|j| j.phase == JobPhase::Active);
            !is_active(*job) || ledger.undesired_runs_of(*job, &index).next().is_some()
        };
        let disturbed = index.runs.keys().copied().filter(has_undesired);
        index.disturbed_jobs = disturbed.collect();
        index.changes.record_all();
        index
    }

    pub(super) fn worker(&self, key: &WorkerKey) -> Option<WorkerIndex> {
        self.workers.get(key).copied()
    }

    pub(super) fn workers_on(&self, node: &str) -> impl Iterator<Item = WorkerIndex> + '_ {
        self.nodes.get(node).into_iter().flatten().copied()
    }

    pub(super) fn add_worker(&mut self, worker: WorkerIndex, record: &WorkerRecord) {
        self.workers.insert(record.key.clone(), worker);
        let node = self.nodes.entry(Arc::clone(&record.node));
        node.or_default().insert(worker);
        self.changes.record(worker);
    }

    /// Removes a worker; its runs are removed one by one.
    pub(super) fn remove_worker(&mut self, worker: WorkerIndex, record: &WorkerRecord) {
        if self.workers.get(&record.key) == Some(&worker) {
            self.workers.swap_remove(&record.key);
        }
        if let Some(workers) = self.nodes.get_mut(&record.node) {
            workers.swap_remove(&worker);
            if workers.is_empty() {
                self.nodes.swap_remove(&record.node);
            }
        }
        self.changes.record(worker);
    }

    pub(super) fn add_run(&mut self, worker: WorkerIndex, task: TaskKey) {
        let runs = self.runs.entry(task.step.job).or_default();
        runs.insert((worker, task));
        self.changes.record(worker);
    }

    pub(super) fn remove_run(&mut self, worker: WorkerIndex, task: TaskKey) {
        self.changes.record(worker);
        let job = task.step.job;
        let Some(runs) = self.runs.get_mut(&job) else {
            return;
        };
        runs.swap_remove(&(worker, task));
        if runs.is_empty() {
            self.runs.swap_remove(&job);
            self.disturbed_jobs.swap_remove(&job);
        }
    }

    /// Records that some runs of a job may no longer be desired.
    pub(super) fn disturb_job(&mut self, job: JobKey) {
        if self.runs.contains_key(&job) {
            self.disturbed_jobs.insert(job);
        }
    }

    /// Records the memory that a job record takes from now on.
    pub(super) fn add_job_bytes(&mut self, bytes: usize) {
        self.job_bytes += bytes;
    }

    /// Records the memory that a job record takes no more.
    pub(super) fn remove_job_bytes(&mut self, bytes: usize) {
        self.job_bytes -= bytes;
    }

    pub(super) fn job_bytes(&self) -> usize {
        self.job_bytes
    }

    /// Records a change that concerns all workers.
    pub(super) fn change_all_workers(&mut self) {
        self.changes.record_all();
    }

    pub(super) fn runs_of(&self, job: JobKey) -> impl Iterator<Item = (WorkerIndex, TaskKey)> + '_ {
        self.runs.get(&job).into_iter().flatten().copied()
    }

    pub(super) fn disturbed_jobs(&self) -> impl Iterator<Item = JobKey> + '_ {
        self.disturbed_jobs.iter().copied()
    }

    pub(super) fn revision(&self) -> u64 {
        self.changes.revision
    }

    pub(super) fn changed_since(
        &self,
        revision: u64,
    ) -> Option<impl Iterator<Item = WorkerIndex> + '_> {
        self.changes.since(revision)
    }
}
