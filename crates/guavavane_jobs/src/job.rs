//! Defines jobs as submitted ([`RawJob`]) and as validated ([`JobSpec`]).
//!
//! A job consists of steps that form a directed acyclic graph: a step starts when its predecessors
//! are done. A step consists of identical tasks of one of these kinds:
//!
//! - finite tasks run to their end;
//! - long-running tasks run until their job is cancelled; with a latency target they are
//!   *latency-critical*;
//! - *best-effort* tasks use only processor time that others leave.
//!
//! A gang is a step whose tasks run only all together. A scheduled job runs once for each of its
//! occurrences.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use guavavane_model::prelude::ResourceVector;

/// Largest payload of a job.
pub const PAYLOAD_MAX_BYTES: usize = 4_000;
/// Most steps of a job; bounds the work of one command in the ledger.
pub const STEPS_MAX: usize = 200;
/// Most bytes of the texts of a job besides its payload; a larger job fits into no command of the log.
pub const TEXTS_MAX_BYTES: usize = 1 << 20;
/// Most tasks of a job; bounds the memory of one job in the ledger.
pub const TASKS_MAX: u64 = 20_000;

/// Step as submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawStep {
    /// Number of tasks.
    pub tasks: u64,
    /// Resources that each task needs.
    pub demand: ResourceVector,
    /// Estimated run time of a task, as declared by the caller.
    pub estimate_ms: u64,
    /// Numbers of the predecessors, which are earlier steps.
    pub after: Vec<u64>,
    /// Whether the tasks save checkpoints; scheduling doesn't use it.
    pub checkpointed: bool,
    /// Whether the tasks form a gang: they run only all together.
    pub gang: bool,
    /// Whether the tasks run faster on a single rack.
    pub single_rack: bool,
    /// Label that a worker needs to run the tasks; empty for none.
    pub required_label: String,
    /// Rack that holds the input data; empty for none.
    pub data_rack: String,
    /// Most tasks of the step on one worker; 0 for no bound.
    pub per_worker_max: u64,
    /// Whether several copies of a task may run in parallel, the first to succeed counts.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks run.
    pub image: String,
    /// Latency target: upper limit of a long-running task's tail latency; 0 for none.
    pub latency_target_ms: u64,
    /// Whether the tasks are best-effort: use only processor time that others leave.
    pub best_effort: bool,
    /// How many long-running tasks may be evicted at a time, if the caller sets a bound;
    /// scheduling doesn't use it.
    pub unavailable_max: Option<u64>,
}

/// Job as submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawJob {
    /// Input that every task receives.
    pub payload: String,
    /// Steps; each may follow only earlier ones.
    pub steps: Vec<RawStep>,
    /// Number of scheduled occurrences; 0 for a job that runs once, immediately.
    pub repeats: u64,
    /// Due time of the first occurrence in milliseconds since 1970, if scheduled.
    pub first_due_ms: u64,
    /// Time between the due times of two occurrences.
    pub period_ms: u64,
}

/// Memory that an allocation takes besides its bytes.
pub(crate) const ALLOCATION_BYTES: usize = 16;

impl RawStep {
    fn text_bytes(&self) -> usize {
        self.required_label.len() + self.data_rack.len() + self.image.len()
    }

    /// Memory of the step in bytes.
    fn memory_bytes(&self) -> usize {
        // The predecessors and three texts are allocated separately.
        let allocations = 4 * ALLOCATION_BYTES + self.after.len() * size_of::<u64>();
        size_of::<Self>() + allocations + self.text_bytes()
    }
}

impl RawJob {
    /// Memory of the job in bytes.
    pub fn memory_bytes(&self) -> usize {
        let steps = self.steps.iter().map(RawStep::memory_bytes);
        size_of::<Self>() + self.payload.len() + steps.sum::<usize>()
    }

    /// Checks the sizes of the job and the order of its steps.
    ///
    /// # Errors
    ///
    /// Fails if the job can't be converted into a [`JobSpec`].
    pub fn validate(&self) -> Result<(), JobFault> {
        if self.payload.len() > PAYLOAD_MAX_BYTES {
            return Err(JobFault::Payload(self.payload.len()));
        }
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX {
            return Err(JobFault::Steps(self.steps.len()));
        }
        let text_bytes = self.steps.iter().map(RawStep::text_bytes).sum();
        if text_bytes > TEXTS_MAX_BYTES {
            return Err(JobFault::Texts(text_bytes));
        }
        let counts = self.steps.iter().map(|step| step.tasks);
        let tasks = counts.fold(0, u64::saturating_add);
        if tasks > TASKS_MAX {
            return Err(JobFault::Tasks(tasks));
        }
        for (number, step) in self.steps.iter().enumerate() {
            validate_step(number, step)?;
        }
        validate_schedule(self)?;
        Ok(())
    }
}

fn validate_step(number: usize, step: &RawStep) -> Result<(), JobFault> {
    if step.tasks == 0 {
        return Err(JobFault::EmptyStep(number));
    }
    let is_later = |after: &&u64| **after >= number as u64;
    match step.after.iter().find(is_later) {
        Some(after) => Err(JobFault::Order {
            step: number,
            after: *after,
        }),
        None => Ok(()),
    }
}

/// Reason for which a submitted job is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JobFault {
    /// The payload is too long.
    #[error("the payload has {0} bytes; at most {PAYLOAD_MAX_BYTES} are allowed")]
    Payload(usize),
    /// The number of steps is out of range.
    #[error("the job has {0} steps; 1 to {STEPS_MAX} are allowed")]
    Steps(usize),
    /// The number of tasks is out of range.
    #[error("the job has {0} tasks; 1 to {TASKS_MAX} are allowed")]
    Tasks(u64),
    /// The texts of the steps are too long.
    #[error("the texts of the steps have {0} bytes; at most {TEXTS_MAX_BYTES} are allowed")]
    Texts(usize),
    /// A step has no tasks.
    #[error("step {0} has no tasks")]
    EmptyStep(usize),
    /// A step follows one that is not before it, which also excludes cycles.
    #[error("step {step} follows step {after}, which is not before it")]
    Order {
        /// Number of the step, from 0.
        step: usize,
        /// Number of the predecessor that it names.
        after: u64,
    },
    /// The job has several occurrences without a period, or too many.
    #[error("the job repeats {0} times without a period, or too often")]
    Repeats(u64),
}

/// Whether the tasks of a step run to an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StepKind {
    /// The tasks run to their end.
    Finite,
    /// The tasks run until the job is cancelled.
    LongRunning,
}

/// Validated step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs.
    pub demand: ResourceVector,
    /// Estimated run time of a task, as declared by the caller.
    pub estimate_ms: u64,
    /// Numbers of the predecessors, which are earlier steps.
    pub after: Vec<u16>,
    /// Whether the tasks run to an end.
    pub kind: StepKind,
    /// Whether the tasks save checkpoints; scheduling doesn't use it.
    pub checkpointed: bool,
    /// Whether the tasks form a gang: they run only all together.
    pub gang: bool,
    /// Whether the tasks run faster on a single rack.
    pub single_rack: bool,
    /// Label that a worker needs to run the tasks.
    pub required_label: Option<Arc<str>>,
    /// Rack that holds the input data.
    pub data_rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker.
    pub per_worker_max: Option<u32>,
    /// Whether several copies of a task may run in parallel, the first to succeed counts.
    pub speculative: bool,
    /// Image that the tasks run.
    pub image: Arc<str>,
    /// Latency target: upper limit of a long-running task's tail latency.
    pub latency_target_ms: Option<u64>,
    /// Whether the tasks are best-effort: use only processor time that others leave.
    pub best_effort: bool,
    /// How many long-running tasks may be evicted at a time, if the caller sets a bound;
    /// scheduling doesn't use it.
    pub unavailable_max: Option<u32>,
}

impl StepSpec {
    fn memory_bytes(&self) -> usize {
        let labels = [&self.required_label, &self.data_rack]
            .into_iter()
            .flatten();
        let text_bytes = self.image.len() + labels.map(|label| label.len()).sum::<usize>();
        let after_bytes = self.after.len() * size_of::<u16>();
        // The predecessors and three texts are allocated separately.
        size_of::<Self>() + 4 * ALLOCATION_BYTES + after_bytes + text_bytes
    }

    /// Capacity that a task reserves on its worker; a best-effort task reserves no processor.
    pub fn reserved(&self) -> ResourceVector {
        let cpu_millis = if self.best_effort {
            0
        } else {
            self.demand.cpu_millis
        };
        ResourceVector {
            cpu_millis,
            ..self.demand
        }
    }
}

/// Due times of a job's occurrences.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSchedule {
    /// Number of occurrences.
    pub occurrences: u32,
    /// Due time of the first occurrence, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// Time between the due times of two occurrences.
    pub period_ms: u64,
}

impl JobSchedule {
    /// Due time of an occurrence, in milliseconds since 1970.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        let offset_ms = u64::from(occurrence).saturating_mul(self.period_ms);
        self.first_due_ms.saturating_add(offset_ms)
    }
}

/// Validated job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Input that every task receives.
    pub payload: Arc<str>,
    /// Steps in topological order.
    pub steps: Vec<StepSpec>,
    /// Due times of the occurrences; none for a job that runs once, immediately.
    pub schedule: Option<JobSchedule>,
}

impl JobSpec {
    /// Memory of the specification in bytes.
    pub fn memory_bytes(&self) -> usize {
        let steps = self.steps.iter().map(StepSpec::memory_bytes);
        size_of::<Self>() + self.payload.len() + steps.sum::<usize>()
    }

    /// Number of occurrences; 1 without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }
}

fn non_empty(text: String) -> Option<Arc<str>> {
    (!text.is_empty()).then(|| Arc::from(text))
}

fn non_zero(count: u64) -> Option<u32> {
    (count > 0).then(|| u32::try_from(count).unwrap_or(u32::MAX))
}

/// Converts a step that has been validated.
fn convert_step(raw: RawStep) -> StepSpec {
    let after = raw.after.iter();
    let after = after.map(|after| u16::try_from(*after).expect("the number of steps is bounded"));
    let kind = if raw.long_running {
        StepKind::LongRunning
    } else {
        StepKind::Finite
    };
    StepSpec {
        tasks: u32::try_from(raw.tasks).expect("the number of tasks is bounded"),
        demand: raw.demand,
        estimate_ms: raw.estimate_ms,
        after: after.collect(),
        kind,
        checkpointed: raw.checkpointed,
        gang: raw.gang,
        single_rack: raw.single_rack,
        required_label: non_empty(raw.required_label),
        data_rack: non_empty(raw.data_rack),
        per_worker_max: non_zero(raw.per_worker_max),
        speculative: raw.speculative,
        image: Arc::from(raw.image),
        latency_target_ms: (raw.latency_target_ms > 0).then_some(raw.latency_target_ms),
        best_effort: raw.best_effort,
        unavailable_max: raw
            .unavailable_max
            .map(|maximum| u32::try_from(maximum).unwrap_or(u32::MAX)),
    }
}

fn validate_schedule(raw: &RawJob) -> Result<Option<JobSchedule>, JobFault> {
    if raw.repeats == 0 {
        return Ok(None);
    }
    let fault = JobFault::Repeats(raw.repeats);
    let occurrences = u32::try_from(raw.repeats).map_err(|_| fault.clone())?;
    if occurrences > 1 && raw.period_ms == 0 {
        return Err(fault);
    }
    Ok(Some(JobSchedule {
        occurrences,
        first_due_ms: raw.first_due_ms,
        period_ms: raw.period_ms,
    }))
}

impl TryFrom<RawJob> for JobSpec {
    type Error = JobFault;

    fn try_from(raw: RawJob) -> Result<Self, JobFault> {
        raw.validate()?;
        let schedule = validate_schedule(&raw)?;
        Ok(Self {
            payload: Arc::from(raw.payload),
            steps: raw.steps.into_iter().map(convert_step).collect(),
            schedule,
        })
    }
}
