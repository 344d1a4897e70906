//! Defines the identities of jobs, steps, tasks, runs and worker incarnations.
//!
//! As text, a job is 16 hexadecimal digits and a task is `JOB.OCCURRENCE.STEP.INDEX`.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Number of hexadecimal digits of a job's identity as text.
const JOB_HEX_DIGITS: usize = 16;

/// Error of parsing an identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum IdentityFault {
    /// The text is not 16 lower-case hexadecimal digits.
    #[error("a job's identity has {JOB_HEX_DIGITS} lower-case hexadecimal digits")]
    Job,
    /// The text does not have the form `JOB.OCCURRENCE.STEP.INDEX`.
    #[error("a task's identity has the form JOB.OCCURRENCE.STEP.INDEX")]
    Task,
}

/// Identity of a job in all queues, chosen by the caller, which makes a repeated submission
/// idempotent.
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
        let is_hex_digit = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
        if text.len() != JOB_HEX_DIGITS || !text.bytes().all(is_hex_digit) {
            return Err(IdentityFault::Job);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| IdentityFault::Job)
    }
}

/// Identity of a step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// Identity of the job.
    pub job: JobKey,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u16,
}

impl StepKey {
    /// Identity of the task with this index, from 0.
    pub fn task(self, index: u32) -> TaskKey {
        TaskKey { step: self, index }
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identity of a task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// Step of the task.
    pub step: StepKey,
    /// Index of the task in its step, from 0.
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
        let mut fields = text.split('.');
        let mut next = || fields.next().ok_or(IdentityFault::Task);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| IdentityFault::Task)?;
        let step = next()?.parse().map_err(|_| IdentityFault::Task)?;
        let index = next()?.parse().map_err(|_| IdentityFault::Task)?;
        if fields.next().is_some() {
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

/// Number of a task's run, from 1; each start has a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RunNumber(pub u32);

impl RunNumber {
    /// Number of the run that follows this one.
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

/// Identity of a worker's incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkerKey {
    /// Name of the worker, which its later incarnations share.
    pub name: Arc<str>,
    /// Start of the incarnation, in milliseconds since 1970 on the worker's clock.
    pub started_ms: u64,
}

impl fmt::Display for WorkerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.name, self.started_ms)
    }
}
