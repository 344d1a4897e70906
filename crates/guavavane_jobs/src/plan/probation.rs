//! Probation of workers on which runs keep failing.
//!
//! After [`PROBATION_FAILURES_MIN`] failures in a row a worker is on probation until a run succeeds
//! on it. Meanwhile it gets trials only: one task, or the members of one gang, at a time. The failures
//! may be those of a job that fails everywhere, and some runs never end, so no trial holds up the next
//! one for longer than [`TRIAL_INTERVAL`]: every worker stays in use.

use std::time::Duration;

use guavavane_model::prelude::BootTime;

/// Consecutive failures from which a worker is on probation.
pub const PROBATION_FAILURES_MIN: u32 = 3;
/// Longest time that a trial, or a failure beside other runs, holds up the next trial.
pub const TRIAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Failures of a worker and its trials.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerProbation {
    consecutive_failures: u32,
    next_trial_at: BootTime,
}

impl WorkerProbation {
    /// State of a worker after this many failures in a row, with a trial due.
    pub fn after_failures(consecutive_failures: u32) -> Self {
        Self {
            consecutive_failures,
            next_trial_at: BootTime::default(),
        }
    }

    /// Number of failed runs since the last one that succeeded.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Whether the worker gets trials only.
    pub fn is_active(&self) -> bool {
        self.consecutive_failures >= PROBATION_FAILURES_MIN
    }

    /// Whether the worker may get a task at `now`.
    pub fn allows_start(&self, now: BootTime) -> bool {
        !self.is_active() || now >= self.next_trial_at
    }

    /// Records a start on the worker, which is a trial during probation.
    pub fn record_start(&mut self, now: BootTime) {
        if self.is_active() {
            self.next_trial_at = now + TRIAL_INTERVAL;
        }
    }

    /// Records a failed run.
    pub fn record_failure(&mut self, now: BootTime) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.record_start(now);
    }

    /// Records a run that succeeded, which ends the probation.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Ends the present trial: the worker holds no run that will end by itself.
    pub fn end_trial(&mut self) {
        self.next_trial_at = BootTime::default();
    }
}
