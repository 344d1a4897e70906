//! Records of the ledger.

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
use crate::worker::WorkerFacts;
use guavavane_model::prelude::ResourceVector;

/// Number of an incarnation of a worker in the ledger, never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerIndex(pub u32);

/// Where a job is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Accepted and not ended.
    Active,
    /// All tasks are done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// Cancelled by the caller.
    Cancelled,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Its queue.
    pub queue: Arc<str>,
    /// Pool of its queue when it was accepted, should the queue be dropped.
    pub pool: Arc<str>,
    /// What it consists of, until it ends.
    pub spec: Option<Arc<JobSpec>>,
    /// Where it is in its life.
    pub phase: JobPhase,
    /// Whether a task has started.
    pub started: bool,
    /// How often a task may fail.
    pub attempts_max: u32,
    /// Time of day of its acceptance at the leader, for the order of jobs only.
    pub accepted_ms: u64,
    /// Occurrences that are due and not done.
    pub occurrences: IndexMap<u32, OccurrenceRecord>,
    /// Number of occurrences that are done.
    pub occurrences_done: u32,
    /// Number of the next occurrence to become due.
    pub next_occurrence: u32,
}

impl JobRecord {
    /// Whether a run of one of its tasks is committed to a worker.
    pub fn has_runs(&self) -> bool {
        let steps = self.occurrences.values().flat_map(|o| &o.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        tasks.any(|task| matches!(task.phase, TaskPhase::Assigned(_)))
    }
}

/// One occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceRecord {
    /// Its steps.
    pub steps: Vec<StepRecord>,
}

/// One step of an occurrence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// Its tasks.
    pub tasks: Vec<TaskRecord>,
    /// Number of tasks that are done.
    pub done: u32,
    /// Highest run of the step's gang of which a member has ended other than done.
    pub broken_run: RunNumber,
}

impl StepRecord {
    /// The first state of a step.
    pub(super) fn new(spec: &StepSpec) -> Self {
        let task = TaskRecord {
            phase: TaskPhase::Waiting,
            run: RunNumber(0),
            failures: 0,
            saved: Arc::from(""),
        };
        Self {
            tasks: vec![task; spec.tasks as usize],
            done: 0,
            broken_run: RunNumber(0),
        }
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

/// Where a task is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// Nothing of it runs.
    Waiting,
    /// Its run is committed to a worker.
    Assigned(WorkerIndex),
    /// Its work is done.
    Done,
}

/// A task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Where it is.
    pub phase: TaskPhase,
    /// Its latest run; 0 before the first.
    pub run: RunNumber,
    /// Number of runs that ended as failed.
    pub failures: u32,
    /// Latest progress that an end reported.
    pub saved: Arc<str>,
}

/// A run that takes room on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Its number.
    pub run: RunNumber,
    /// What it takes from the worker's capacity.
    pub reserved: ResourceVector,
    /// Processor that it could use, in thousandths of a core.
    pub cpu_millis: u64,
    /// Whether it uses only processor time that others leave.
    pub filling: bool,
    /// Tail latency that it must stay below, if it serves.
    pub latency_target_ms: Option<u64>,
    /// Whether it runs until its job is cancelled.
    pub serving: bool,
    /// Name of what it runs.
    pub image: Arc<str>,
}

impl RunRecord {
    /// The room that a run of this step takes.
    pub fn new(run: RunNumber, spec: &StepSpec) -> Self {
        Self {
            run,
            reserved: spec.reserved(),
            cpu_millis: spec.demand.cpu_millis,
            filling: spec.filling,
            latency_target_ms: spec.latency_target_ms,
            serving: spec.kind == StepKind::Serving,
            image: Arc::clone(&spec.image),
        }
    }
}

/// An incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The incarnation.
    pub key: WorkerKey,
    /// VM that it runs on.
    pub node: Arc<str>,
    /// What it says of itself.
    pub facts: WorkerFacts,
    /// Highest end that is noted.
    pub last_end: u64,
    /// Runs that take its room.
    pub runs: IndexMap<TaskKey, RunRecord>,
}
