//! Probation of workers on which runs keep failing.
//!
//! After [`PROBATION_FAILURES_MIN`] failures in a row a worker is on probation until a run succeeds
//! on it. Meanwhile it gets trials only. A trial is one task, or the members of one gang. As long as no
//! run fails, the number of trials doubles with each [`TRIAL_INTERVAL`], because some runs never end; when
//! more than [`TRIALS_MAX`] are due, the probation is over.
//!
//! The failures may be those of a job that fails everywhere, so every worker stays in use, and the tasks
//! of a job whose runs keep failing ([`JobFailures`]) are the last to be trials.

use std::time::Duration;

use crate::job::StepKind;
use guavavane_model::prelude::BootTime;

/// Consecutive failures from which a worker is on probation.
pub const PROBATION_FAILURES_MIN: u32 = 3;
/// Longest time that a trial, or a failure beside other runs, holds up the next trial.
pub const TRIAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Most trials of one interval.
pub const TRIALS_MAX: u32 = 4;
/// Consecutive failures from which a job is taken to fail everywhere.
const JOB_FAILURES_MIN: u32 = 3;
/// Time after which a failure of a job no longer counts.
const JOB_FAILURE_MEMORY: Duration = Duration::from_secs(5);
/// Longest time for which a step waits behind others for a trial, unless its job keeps failing.
pub const TRIAL_WAIT_MAX: Duration = Duration::from_secs(2);

/// Failures of a worker and its trials.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerProbation {
    consecutive_failures: u32,
    /// Trials of the present interval; 0 after a failure, until the next trial starts.
    trials: u32,
    /// Trials of the present interval that have not started.
    trials_left: u32,
    /// End of the present interval.
    next_trial_at: BootTime,
}

impl WorkerProbation {
    /// State of a worker after this many failures in a row, with a trial due.
    pub fn after_failures(consecutive_failures: u32) -> Self {
        Self {
            consecutive_failures,
            ..Self::default()
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

    /// Number of trials that may start at `now`; none if there is no limit.
    pub fn trials_due(&self, now: BootTime) -> Option<u32> {
        if !self.is_active() {
            return None;
        }
        if now < self.next_trial_at {
            return Some(self.trials_left);
        }
        let trials = self.next_trials();
        (trials <= TRIALS_MAX).then_some(trials)
    }

    /// Trials of the interval after the present one.
    fn next_trials(&self) -> u32 {
        self.trials.saturating_mul(2).max(1)
    }

    /// Records a start on the worker, which is a trial during probation.
    pub fn record_start(&mut self, now: BootTime) {
        if !self.is_active() {
            return;
        }
        if now >= self.next_trial_at {
            self.trials = self.next_trials();
            self.trials_left = self.trials;
        }
        if self.trials > TRIALS_MAX {
            return self.record_success();
        }
        self.trials = self.trials.max(1);
        self.trials_left = self.trials_left.saturating_sub(1);
        self.next_trial_at = now + TRIAL_INTERVAL;
    }

    /// Records a failed run.
    pub fn record_failure(&mut self, now: BootTime) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.trials = 0;
        self.trials_left = 0;
        self.next_trial_at = now + TRIAL_INTERVAL;
    }

    /// Records a run that succeeded, which ends the probation.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Makes the next trial due at once: the worker holds no run that will end by itself.
    pub fn make_trial_due(&mut self) {
        self.trials_left = self.trials_left.max(1);
    }
}

/// Failures of a job since the last of its runs that succeeded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobFailures {
    consecutive_failures: u32,
    latest_at: BootTime,
}

impl JobFailures {
    /// Records a failed run of the job.
    pub fn record_failure(&mut self, now: BootTime) {
        if self.is_forgotten(now) {
            self.consecutive_failures = 0;
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.latest_at = now;
    }

    /// Whether the job is taken to fail everywhere.
    pub fn is_failing(&self, now: BootTime) -> bool {
        self.consecutive_failures >= JOB_FAILURES_MIN && !self.is_forgotten(now)
    }

    /// Whether the failures no longer count.
    pub fn is_forgotten(&self, now: BootTime) -> bool {
        now.saturating_since(self.latest_at) >= JOB_FAILURE_MEMORY
    }
}

/// Order in which waiting steps get the trials of workers on probation. The run of a trial should tell
/// whether the worker is sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialOrder {
    /// The step has waited for [`TRIAL_WAIT_MAX`].
    Overdue,
    /// The runs end by themselves.
    Finite,
    /// The runs don't end by themselves.
    LongRunning,
    /// The latest runs of the job have failed.
    Failing,
}

impl TrialOrder {
    /// Order of a step by its kind, its waiting time and whether its job keeps failing.
    pub fn new(kind: StepKind, waiting_time: Duration, failing: bool) -> Self {
        if failing {
            Self::Failing
        } else if waiting_time >= TRIAL_WAIT_MAX {
            Self::Overdue
        } else {
            match kind {
                StepKind::Finite => Self::Finite,
                StepKind::LongRunning => Self::LongRunning,
            }
        }
    }
}
