//! Keeps the replicated ledger of jobs, runs, workers, the queue catalog and excluded data centres.
//!
//! The ledger is the state machine that the replicated log drives. A task is *waiting*,
//! *assigned* to one run on one incarnation of a worker, or *done*:
//!
//! - A start is committed before its order is sent, so no run exists that is not in the ledger.
//! - A run leaves the ledger only with its completion, its withdrawal or the loss of its worker.
//!   Until then it holds its capacity, even if its job has ended.
//! - A task that is assigned may have a second run, a *copy* ([`CopyRecord`]). The first of both that
//!   succeeds ends the task; one that ends otherwise leaves the other as its only run.

mod apply;
mod command;
mod copies;
mod index;
mod record;
mod snapshot;

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

pub use self::command::LedgerCommand;
pub use self::command::LedgerOutcome;
pub use self::command::RunCompletion;
pub use self::command::RunOutcome;
pub use self::command::StartChoice;
pub(crate) use self::copies::allows_copies;
use self::index::LedgerIndex;
pub use self::record::CopyRecord;
pub use self::record::JobPhase;
pub use self::record::JobRecord;
pub use self::record::OccurrenceRecord;
pub use self::record::RunRecord;
pub use self::record::StepRecord;
pub use self::record::TaskPhase;
pub use self::record::TaskRecord;
pub use self::record::WorkerIndex;
pub use self::record::WorkerRecord;
use crate::identity::JobKey;
use crate::identity::RunNumber;
use crate::identity::StepKey;
use crate::identity::TaskKey;
use crate::identity::WorkerKey;
use crate::job::JobSpec;
use crate::job::StepSpec;
use crate::queue::QueueCatalog;
use guavavane_quorum::prelude::LogIndex;
use guavavane_quorum::prelude::RestoreError;
use guavavane_quorum::prelude::StateMachine;

/// Replicated state of a cell; changed only by committed [`LedgerCommand`]s.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobLedger {
    catalog: QueueCatalog,
    catalog_text: Arc<str>,
    excluded_data_centres: IndexSet<Arc<str>>,
    jobs: IndexMap<JobKey, JobRecord>,
    /// Steps with waiting tasks whose predecessors are done, with the number of these tasks.
    ready_steps: IndexMap<StepKey, u32>,
    workers: IndexMap<WorkerIndex, WorkerRecord>,
    next_worker: u32,
    /// Copies by task; removed when the task is done or waits again. Not encoded with the other
    /// fields, see [`snapshot`].
    #[serde(skip)]
    copies: IndexMap<TaskKey, CopyRecord>,
    /// Follows from the other fields, so it is not stored.
    #[serde(skip)]
    index: LedgerIndex,
}

impl JobLedger {
    /// Queue catalog in force; empty before the first.
    pub fn catalog(&self) -> &QueueCatalog {
        &self.catalog
    }

    /// Queue catalog in force, as the operator sent it; empty before the first.
    pub fn catalog_text(&self) -> &Arc<str> {
        &self.catalog_text
    }

    /// Whether a data centre is excluded from scheduling.
    pub fn is_excluded(&self, data_centre: &str) -> bool {
        self.excluded_data_centres.contains(data_centre)
    }

    /// Job with this identity, active or ended; none after its removal.
    pub fn job(&self, key: JobKey) -> Option<&JobRecord> {
        self.jobs.get(&key)
    }

    /// All jobs that were accepted and not removed.
    pub fn jobs(&self) -> impl Iterator<Item = (JobKey, &JobRecord)> {
        self.jobs.iter().map(|(key, record)| (*key, record))
    }

    /// Memory of all job records in bytes.
    pub fn job_bytes(&self) -> usize {
        self.index.job_bytes()
    }

    /// Memory that the submission of a job adds, in bytes.
    pub fn submission_bytes(spec: &JobSpec) -> usize {
        let occurrence = match spec.schedule {
            Some(_) => 0,
            None => record::occurrence_bytes_of(spec),
        };
        record::RECORD_BYTES + spec.memory_bytes() + occurrence
    }

    /// Memory that the next occurrence of a job adds, in bytes; none if the job has ended.
    pub fn release_bytes(&self, job: JobKey) -> Option<usize> {
        let spec = self.jobs.get(&job)?.spec.as_ref()?;
        Some(record::occurrence_bytes_of(spec))
    }

    /// Steps with waiting tasks whose predecessors are done, with the number of these tasks.
    pub fn ready_steps(&self) -> impl Iterator<Item = (StepKey, u32)> + '_ {
        self.ready_steps.iter().map(|(key, count)| (*key, *count))
    }

    /// All incarnations of workers that were not lost for good.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerIndex, &WorkerRecord)> {
        self.workers.iter().map(|(index, record)| (*index, record))
    }

    /// Record of a worker's incarnation.
    pub fn worker(&self, index: WorkerIndex) -> Option<&WorkerRecord> {
        self.workers.get(&index)
    }

    /// All incarnations on a VM that were not lost for good.
    pub fn workers_on(&self, node: &str) -> impl Iterator<Item = WorkerIndex> + '_ {
        self.index.workers_on(node)
    }

    /// Index of an incarnation, if the ledger has it.
    pub fn worker_index(&self, key: &WorkerKey) -> Option<WorkerIndex> {
        self.index.worker(key)
    }

    /// Number that rises with each change of a worker or its runs.
    pub fn worker_revision(&self) -> u64 {
        self.index.revision()
    }

    /// Workers that have changed since a revision, some of them several times; none if the ledger no
    /// longer knows, so that any worker may have changed.
    pub fn workers_changed_since(
        &self,
        revision: u64,
    ) -> Option<impl Iterator<Item = WorkerIndex> + '_> {
        self.index.changed_since(revision)
    }

    /// Jobs of which some runs may no longer be desired; at least all that have such a run.
    pub fn disturbed_jobs(&self) -> impl Iterator<Item = JobKey> + '_ {
        self.index.disturbed_jobs()
    }

    /// Runs of a job that workers hold although they are not desired.
    pub fn undesired_runs(
        &self,
        job: JobKey,
    ) -> impl Iterator<Item = (WorkerIndex, TaskKey, RunNumber)> + '_ {
        self.undesired_runs_of(job, &self.index)
    }

    fn undesired_runs_of<'ledger>(
        &'ledger self,
        job: JobKey,
        index: &'ledger LedgerIndex,
    ) -> impl Iterator<Item = (WorkerIndex, TaskKey, RunNumber)> + 'ledger {
        index.runs_of(job).filter_map(|(worker, task)| {
            let run = self.workers.get(&worker)?.runs.get(&task)?.run;
            (!self.is_desired(task, run, worker)).then_some((worker, task, run))
        })
    }

    /// Number of a queue's active jobs of which no task is known to have started. `answers` tells
    /// whether a worker answers its agent, and the agent the leader: a start that was committed for
    /// any other worker may never have reached it.
    pub fn pending_jobs(&self, queue: &str, answers: impl Fn(WorkerIndex) -> bool) -> usize {
        let is_pending = |(key, job): &(JobKey, &JobRecord)| {
            let is_active = job.phase == JobPhase::Active && &*job.queue == queue;
            is_active && !job.started && !self.run_holders(*key).any(&answers)
        };
        self.jobs().filter(is_pending).count()
    }

    /// Worker of each run of a job.
    pub fn run_holders(&self, job: JobKey) -> impl Iterator<Item = WorkerIndex> + '_ {
        self.index.runs_of(job).map(|(worker, _)| worker)
    }

    /// Specification of a step; none if its job has ended.
    pub fn step_spec(&self, key: StepKey) -> Option<&StepSpec> {
        let spec = self.jobs.get(&key.job)?.spec.as_ref()?;
        spec.steps.get(usize::from(key.step))
    }

    /// State of a step; none if its job or occurrence has ended.
    pub fn step(&self, key: StepKey) -> Option<&StepRecord> {
        let occurrence = self.jobs.get(&key.job)?.occurrences.get(&key.occurrence)?;
        occurrence.steps.get(usize::from(key.step))
    }

    /// State of a task; none if its job or occurrence has ended.
    pub fn task(&self, key: TaskKey) -> Option<&TaskRecord> {
        self.step(key.step)?.tasks.get(key.index as usize)
    }

    /// Whether a run is desired: the ledger assigns the task to this worker in this run, and the
    /// gang of the run, if any, is intact.
    pub fn is_desired(&self, key: TaskKey, run: RunNumber, worker: WorkerIndex) -> bool {
        let Some(step) = self.step(key.step) else {
            return false;
        };
        let Some(task) = step.tasks.get(key.index as usize) else {
            return false;
        };
        let assigned = task.phase == TaskPhase::Assigned(worker) && task.run == run;
        assigned && run > step.last_broken_run || self.is_active_copy(key, run, worker)
    }
}

impl StateMachine for JobLedger {
    type Command = LedgerCommand;
    type Outcome = LedgerOutcome;

    fn apply(&mut self, _index: LogIndex, command: LedgerCommand) -> LedgerOutcome {
        self.apply_command(command)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.encode()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError> {
        let ledger = Self::decode(bytes).map_err(|error| RestoreError {
            reason: error.to_string(),
        })?;
        let previous = std::mem::replace(self, ledger);
        self.index = LedgerIndex::rebuild(self, &previous.index);
        Ok(())
    }
}
