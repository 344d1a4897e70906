//! Jobs as callers hand them in, raw and checked.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use guavavane_model::prelude::ResourceVector;

/// Longest payload, in bytes.
pub const PAYLOAD_MAX_BYTES: usize = 4_000;
/// Most steps of a job: bounds the work of one command in the ledger.
pub const STEPS_MAX: usize = 200;
/// Most tasks of a job: bounds the memory of one job in the ledger.
pub const TASKS_MAX: u64 = 20_000;

/// A step as handed in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawStep {
    /// Number of tasks.
    pub tasks: u64,
    /// What each task needs.
    pub demand: ResourceVector,
    /// Rough run time of a task.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    pub after: Vec<u64>,
    /// Whether its tasks save their progress.
    pub checkpointed: bool,
    /// Whether its tasks work only together.
    pub gang: bool,
    /// Whether its tasks are slower on more than one rack.
    pub single_rack: bool,
    /// Label that the worker must have.
    pub required_label: String,
    /// Rack of its data.
    pub data_rack: String,
    /// Most tasks on one worker; 0 is no bound.
    pub per_worker_max: u64,
    /// Whether copies of a task may run in parallel.
    pub copies: bool,
    /// Whether its tasks run until the job is cancelled.
    pub serving: bool,
    /// Name of what its tasks run.
    pub image: String,
    /// Tail latency that a serving task must stay below; 0 is none.
    pub latency_target_ms: u64,
    /// Whether its tasks use only processor time that others leave.
    pub filling: bool,
    /// How many serving tasks the system may take away at a time.
    pub absent_max: Option<u64>,
}

/// A job as handed in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawJob {
    /// What the tasks are given.
    pub payload: String,
    /// Its steps.
    pub steps: Vec<RawStep>,
    /// Number of scheduled occurrences; 0 is a job that runs once, now.
    pub repeats: u64,
    /// Due time of the first occurrence, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// Time between two occurrences.
    pub period_ms: u64,
}

/// Why a job is refused.
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
    /// A step has no tasks.
    #[error("step {0} has no tasks")]
    EmptyStep(usize),
    /// A step follows one that is not before it.
    #[error("step {step} follows step {after}, which is not before it")]
    Order {
        /// The step.
        step: usize,
        /// What it names.
        after: u64,
    },
    /// The job repeats without a period or too often.
    #[error("the job repeats {0} times without a period, or too often")]
    Repeats(u64),
}

/// How the tasks of a step live.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StepKind {
    /// Tasks run to their end.
    Finite,
    /// Tasks run until the job is cancelled.
    Serving,
}

/// A checked step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// What each task needs.
    pub demand: ResourceVector,
    /// Rough run time of a task.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
    /// How its tasks live.
    pub kind: StepKind,
    /// Whether its tasks save their progress.
    pub checkpointed: bool,
    /// Whether its tasks work only together.
    pub gang: bool,
    /// Whether its tasks are slower on more than one rack.
    pub single_rack: bool,
    /// Label that the worker must have.
    pub required_label: Option<Arc<str>>,
    /// Rack of its data.
    pub data_rack: Option<Arc<str>>,
    /// Most tasks on one worker.
    pub per_worker_max: Option<u32>,
    /// Whether copies of a task may run in parallel.
    pub copies: bool,
    /// Name of what its tasks run.
    pub image: Arc<str>,
    /// Tail latency that a serving task must stay below.
    pub latency_target_ms: Option<u64>,
    /// Whether its tasks use only processor time that others leave.
    pub filling: bool,
    /// How many serving tasks the system may take away at a time.
    pub absent_max: Option<u32>,
}

impl StepSpec {
    /// What a task takes from a worker's capacity: a filling task takes no processor.
    pub fn reserved(&self) -> ResourceVector {
        let cpu_millis = if self.filling {
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

/// When the occurrences of a job are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSchedule {
    /// Number of occurrences.
    pub occurrences: u32,
    /// Due time of the first, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// Time between two.
    pub period_ms: u64,
}

impl JobSchedule {
    /// Due time of an occurrence, in milliseconds since 1970.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        let passed = u64::from(occurrence).saturating_mul(self.period_ms);
        self.first_due_ms.saturating_add(passed)
    }
}

/// A checked job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// What the tasks are given.
    pub payload: Arc<str>,
    /// Its steps.
    pub steps: Vec<StepSpec>,
    /// Its schedule, if it does not run once, now.
    pub schedule: Option<JobSchedule>,
}

impl JobSpec {
    /// Number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Longest sum of estimates along the steps that follow each other.
    pub fn chain_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step.after.iter().map(|after| ends[usize::from(*after)]);
            ends.push(begin.max().unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

fn optional_name(text: String) -> Option<Arc<str>> {
    (!text.is_empty()).then(|| Arc::from(text))
}

fn optional_count(count: u64) -> Option<u32> {
    (count > 0).then(|| u32::try_from(count).unwrap_or(u32::MAX))
}

fn check_step(number: usize, raw: RawStep) -> Result<StepSpec, JobFault> {
    if raw.tasks == 0 {
        return Err(JobFault::EmptyStep(number));
    }
    let tasks = u32::try_from(raw.tasks).map_err(|_| JobFault::Tasks(raw.tasks))?;
    let mut after = Vec::with_capacity(raw.after.len());
    for earlier in raw.after {
        let fault = JobFault::Order {
            step: number,
            after: earlier,
        };
        let earlier = u16::try_from(earlier).map_err(|_| fault.clone())?;
        if usize::from(earlier) >= number {
            return Err(fault);
        }
        after.push(earlier);
    }
    let kind = if raw.serving {
        StepKind::Serving
    } else {
        StepKind::Finite
    };
    Ok(StepSpec {
        tasks,
        demand: raw.demand,
        estimate_ms: raw.estimate_ms,
        after,
        kind,
        checkpointed: raw.checkpointed,
        gang: raw.gang,
        single_rack: raw.single_rack,
        required_label: optional_name(raw.required_label),
        data_rack: optional_name(raw.data_rack),
        per_worker_max: optional_count(raw.per_worker_max),
        copies: raw.copies,
        image: Arc::from(raw.image),
        latency_target_ms: (raw.latency_target_ms > 0).then_some(raw.latency_target_ms),
        filling: raw.filling,
        absent_max: raw
            .absent_max
            .map(|most| u32::try_from(most).unwrap_or(u32::MAX)),
    })
}

fn check_schedule(raw: &RawJob) -> Result<Option<JobSchedule>, JobFault> {
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
        if raw.payload.len() > PAYLOAD_MAX_BYTES {
            return Err(JobFault::Payload(raw.payload.len()));
        }
        if raw.steps.is_empty() || raw.steps.len() > STEPS_MAX {
            return Err(JobFault::Steps(raw.steps.len()));
        }
        let tasks = raw
            .steps
            .iter()
            .fold(0, |sum: u64, step| sum.saturating_add(step.tasks));
        if tasks > TASKS_MAX {
            return Err(JobFault::Tasks(tasks));
        }
        let schedule = check_schedule(&raw)?;
        let steps = raw.steps.into_iter().enumerate();
        let steps = steps.map(|(number, step)| check_step(number, step));
        Ok(Self {
            payload: Arc::from(raw.payload),
            steps: steps.collect::<Result<_, _>>()?,
            schedule,
        })
    }
}
