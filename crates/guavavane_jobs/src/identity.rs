//! Identities of jobs, their tasks and the incarnations of workers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Digits of a job's identity as text.
const JOB_DIGITS: usize = 16;

/// Text that names no job or task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum IdentityFault {
    /// A job has 16 lower-case hexadecimal digits.
    #[error("a job's identity has {JOB_DIGITS} lower-case hexadecimal digits")]
    Job,
    /// A task has the form `JOB.OCCURRENCE.STEP.INDEX`.
    #[error("a task's identity has the form JOB.OCCURRENCE.STEP.INDEX")]
    Task,
}

/// Identity of a job, chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobKey(pub u64);

impl fmt::Display for JobKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for JobKey {
    type Err = IdentityFault;

    fn from_str(text: &str) -> Result<Self, IdentityFault> {
        let digit = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
        if text.len() != JOB_DIGITS || !text.bytes().all(digit) {
            return Err(IdentityFault::Job);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| IdentityFault::Job)
    }
}

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u16,
}

impl StepKey {
    /// The task of this step with this index.
    pub fn task(self, index: u32) -> TaskKey {
        TaskKey { step: self, index }
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// One task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// Its step.
    pub step: StepKey,
    /// Its index in the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = IdentityFault;

    fn from_str(text: &str) -> Result<Self, IdentityFault> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(IdentityFault::Task);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| IdentityFault::Task)?;
        let step = next()?.parse().map_err(|_| IdentityFault::Task)?;
        let index = next()?.parse().map_err(|_| IdentityFault::Task)?;
        if parts.next().is_some() {
            return Err(IdentityFault::Task);
        }
        let step = StepKey {
            job,
            occurrence,
            step,
        };
        Ok(step.task(index))
    }
}

/// Number of a start of a task, from 1; it rises with each start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RunNumber(pub u32);

impl RunNumber {
    /// The number of the next start.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for RunNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// One incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkerKey {
    /// Name that the worker gives itself; a later incarnation may have the same.
    pub name: Arc<str>,
    /// When this incarnation started, in milliseconds since 1970 on the worker's clock.
    pub born_ms: u64,
}

impl fmt::Display for WorkerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.name, self.born_ms)
    }
}
