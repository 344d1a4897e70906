//! Defines the records of the ledger: jobs, their occurrences, steps and tasks, and workers.
//!
//! Snapshots hold these records in a positional encoding, so the order of their fields and
//! variants is part of the stored format.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::identity::RunNumber;
use crate::identity::TaskKey;
use crate::identity::WorkerKey;
use crate::job::JobSpec;
use crate::job::StepKind;
use crate::job::StepSpec;
use crate::job::ALLOCATION_BYTES;
use crate::worker::WorkerFacts;
use guavavane_model::prelude::ResourceVector;

/// Memory of a job record in bytes besides its specification and its occurrences: its fields, its place in
/// the index of jobs and the names of its queue and pool.
pub(super) const RECORD_BYTES: usize = size_of::<JobRecord>() + 6 * ALLOCATION_BYTES;
/// Memory of a task in bytes; its checkpoint is an allocation of its own.
const TASK_BYTES: usize = size_of::<TaskRecord>() + 2 * ALLOCATION_BYTES;

/// Index of a worker's incarnation in the ledger; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerIndex(pub u32);

/// Phase of a job's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// The job is accepted and has not ended.
    Active,
    /// All tasks succeeded.
    Completed,
    /// A task has failed [`JobRecord::attempts_max`] times.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Pool of the queue at submission; used if the catalog no longer has the queue.
    pub pool: Arc<str>,
    /// Specification of the job; dropped when the job ends.
    pub spec: Option<Arc<JobSpec>>,
    /// Phase of the job's life cycle.
    pub phase: JobPhase,
    /// Whether a worker has reported the end of a run, so that a task has certainly started.
    pub started: bool,
    /// Failures of one task after which the job fails.
    pub attempts_max: u32,
    /// Submission time in milliseconds since 1970 on the leader's clock; used only to order
    /// jobs by deadline.
    pub accepted_ms: u64,
    /// Released occurrences that are not done, by number.
    pub occurrences: IndexMap<u32, OccurrenceRecord>,
    /// Number of occurrences whose tasks are all done.
    pub occurrences_done: u32,
    /// Number of the next occurrence to release.
    pub next_occurrence: u32,
}

impl JobRecord {
    /// Memory of the record in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        let spec = self.spec.as_ref().map_or(0, |spec| spec.memory_bytes());
        let occurrences = self
            .occurrences
            .values()
            .map(OccurrenceRecord::memory_bytes);
        RECORD_BYTES + spec + occurrences.sum::<usize>()
    }

    /// Whether any task is assigned to a worker.
    pub fn has_runs(&self) -> bool {
        let steps = self.occurrences.values().flat_map(|o| &o.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        tasks.any(|task| matches!(task.phase, TaskPhase::Assigned(_)))
    }
}

/// State of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceRecord {
    /// Steps in the order of the specification.
    pub steps: Vec<StepRecord>,
}

/// State of one step of an occurrence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// Tasks by index.
    pub tasks: Vec<TaskRecord>,
    /// Number of tasks that are done.
    pub done: u32,
    /// Latest run of the gang of which a member has ended without success; the other members of
    /// that run must stop.
    pub last_broken_run: RunNumber,
    /// Latest run of the gang of which a member has failed; each such run counts as one failure.
    pub last_failed_run: RunNumber,
}

impl OccurrenceRecord {
    /// Memory of the record in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        let tasks = self.steps.iter().map(|step| step.tasks.len());
        occurrence_bytes(self.steps.len(), tasks.sum())
    }
}

/// Memory of an occurrence in bytes.
fn occurrence_bytes(steps: usize, tasks: usize) -> usize {
    steps * size_of::<StepRecord>() + tasks * TASK_BYTES
}

/// Memory of each occurrence of a job in bytes.
pub(super) fn occurrence_bytes_of(spec: &JobSpec) -> usize {
    let tasks = spec.steps.iter().map(|step| step.tasks as usize);
    occurrence_bytes(spec.steps.len(), tasks.sum())
}

impl StepRecord {
    /// Creates a step whose tasks all wait.
    pub(super) fn new(spec: &StepSpec) -> Self {
        let task = TaskRecord {
            phase: TaskPhase::Waiting,
            run: RunNumber(0),
            failures: 0,
            checkpoint: Arc::from(""),
        };
        Self {
            tasks: vec![task; spec.tasks as usize],
            done: 0,
            last_broken_run: RunNumber(0),
            last_failed_run: RunNumber(0),
        }
    }

    /// Whether all tasks of the step are done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

/// Phase of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// The task has no current run.
    Waiting,
    /// The current run is committed to this worker.
    Assigned(WorkerIndex),
    /// The task succeeded.
    Done,
}

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Current phase.
    pub phase: TaskPhase,
    /// Number of the latest run; 0 before the first.
    pub run: RunNumber,
    /// Number of failed runs that count against the job's limit.
    pub failures: u32,
    /// Latest checkpoint that the ledger has; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// Second run of a task, started because the run in its [`TaskRecord`] takes long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyRecord {
    /// Number of the copy's run; the next run of the task has a higher one.
    pub run: RunNumber,
    /// Worker of the copy; none after the copy has ended without success.
    pub worker: Option<WorkerIndex>,
}

/// Run that holds capacity of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Number of the run.
    pub run: RunNumber,
    /// Reserved capacity; a best-effort run reserves no processor.
    pub reserved: ResourceVector,
    /// Processor that the run could use, in thousandths of a core.
    pub cpu_millis: u64,
    /// Whether the run is best-effort: uses only processor time that others leave.
    pub best_effort: bool,
    /// Latency target of a latency-critical run.
    pub latency_target_ms: Option<u64>,
    /// Whether the run continues until its job is cancelled.
    pub long_running: bool,
    /// Image of the task; identifies it in the interference model.
    pub image: Arc<str>,
}

impl RunRecord {
    /// Creates the record of a run of this step.
    pub fn new(run: RunNumber, spec: &StepSpec) -> Self {
        Self {
            run,
            reserved: spec.reserved(),
            cpu_millis: spec.demand.cpu_millis,
            best_effort: spec.best_effort,
            latency_target_ms: spec.latency_target_ms,
            long_running: spec.kind == StepKind::LongRunning,
            image: Arc::clone(&spec.image),
        }
    }
}

/// State of a worker's incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Identity of the incarnation.
    pub key: WorkerKey,
    /// VM that the worker runs on.
    pub node: Arc<str>,
    /// Facts that the worker reports about itself.
    pub facts: WorkerFacts,
    /// Highest number of a recorded completion.
    pub last_completion: u64,
    /// Runs that hold capacity, by task.
    pub runs: IndexMap<TaskKey, RunRecord>,
}
