//! Bound on the memory of the jobs that a cell keeps.
//!
//! The load: callers submit legal jobs with long texts, or with the most tasks that a job may have, faster
//! than jobs end, or jobs whose occurrences are all due at once. Each replica keeps all jobs, in memory and
//! in its snapshots, and has them back after a restart. The leader therefore refuses a job, and postpones
//! an occurrence, that does not fit; a part of the memory is for small jobs, as ordinary callers submit
//! them.
//!
//! A refused job must never run. A job that is sent again while its first proposal has no result is
//! therefore never refused: the first one may still be committed.

use indexmap::IndexMap;

use crate::identity::JobKey;

/// Divisor of the memory of the process that gives the memory for jobs. A replica holds up to three
/// snapshots of about the same size while it takes the next one.
const JOBS_DIVISOR: usize = 8;
/// Divisor of the memory for jobs that gives the part for small ones.
const RESERVED_DIVISOR: usize = 8;
/// Smallest memory for jobs in bytes: a few of the largest legal ones.
const JOBS_BYTES_MIN: usize = 8 << 20;
/// Largest job, or occurrence of one, that may use the part for small ones, in bytes.
const SMALL_JOB_BYTES: usize = 32 << 10;

/// The memory for jobs is used up; it is free again when jobs have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetExceeded;

/// Memory that the jobs of a cell may use.
#[derive(Clone, Copy, Debug)]
pub struct JobBudget {
    bytes_max: Option<usize>,
}

impl JobBudget {
    /// Derives the budget from the memory that the process may use, in bytes, if it is bounded.
    pub fn derive(memory_bytes: Option<usize>) -> Self {
        let bytes_max = memory_bytes.map(|bytes| (bytes / JOBS_DIVISOR).max(JOBS_BYTES_MIN));
        Self { bytes_max }
    }

    /// Memory for jobs in bytes, if it is bounded.
    pub fn bytes_max(&self) -> Option<usize> {
        self.bytes_max
    }

    /// Checks whether `bytes` more fit beside those that are in use.
    ///
    /// # Errors
    ///
    /// Fails if they do not fit.
    pub fn check(&self, used_bytes: usize, bytes: usize) -> Result<(), BudgetExceeded> {
        let Some(bytes_max) = self.bytes_max else {
            return Ok(());
        };
        let reserved_bytes = if bytes > SMALL_JOB_BYTES {
            bytes_max / RESERVED_DIVISOR
        } else {
            0
        };
        if used_bytes.saturating_add(bytes) > bytes_max - reserved_bytes {
            return Err(BudgetExceeded);
        }
        Ok(())
    }
}

/// Admission of jobs, with those that are proposed and have no result.
#[derive(Clone, Debug)]
pub struct JobAdmission {
    budget: JobBudget,
    proposed: IndexMap<JobKey, usize>,
    proposed_bytes: usize,
}

impl JobAdmission {
    /// Admits jobs within a budget.
    pub fn new(budget: JobBudget) -> Self {
        Self {
            budget,
            proposed: IndexMap::new(),
            proposed_bytes: 0,
        }
    }

    /// Admits a job of `bytes` that is to be proposed, beside those that the ledger holds. It counts until
    /// [`Self::settle`].
    ///
    /// # Errors
    ///
    /// Fails if the job does not fit.
    pub fn admit(
        &mut self,
        job: JobKey,
        ledger_bytes: usize,
        bytes: usize,
    ) -> Result<(), BudgetExceeded> {
        if self.proposed.contains_key(&job) {
            return Ok(());
        }
        self.check(ledger_bytes, bytes)?;
        self.proposed.insert(job, bytes);
        self.proposed_bytes += bytes;
        Ok(())
    }

    /// Records that the proposal of a job has a result; the ledger counts the job if it was committed.
    pub fn settle(&mut self, job: JobKey) {
        if let Some(bytes) = self.proposed.swap_remove(&job) {
            self.proposed_bytes -= bytes;
        }
    }

    /// Checks whether `bytes` more fit beside `used_bytes` and the jobs that are proposed.
    ///
    /// # Errors
    ///
    /// Fails if they do not fit.
    pub fn check(&self, used_bytes: usize, bytes: usize) -> Result<(), BudgetExceeded> {
        self.budget.check(used_bytes + self.proposed_bytes, bytes)
    }
}
