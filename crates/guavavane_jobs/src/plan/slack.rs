//! Estimates the slack of jobs: the time to the deadline less the remaining critical path.
//!
//! Declared run times are inaccurate. The estimate is the geometric mean of the declared run time
//! and the run time learned from the same queue. It gives the deadline of a job, its remaining
//! critical path, and how long its best-effort steps insist on the CPU share `CPU_SHARE_WANTED` of
//! `placement` before they accept a smaller one. A job with slack waits, one that just
//! meets its deadline does not, and one that has missed its deadline waits again.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::identity::StepKey;
use crate::job::JobSpec;
use crate::ledger::JobLedger;
use crate::ledger::JobRecord;

/// Weight of one run in the moving average of its queue's run time.
const LEARNING_RATE: f64 = 0.05;
/// Upper limit of a run time that is learned, as a multiple of the average: longer runs were
/// delayed by something else.
const OUTLIER_FACTOR: f64 = 3.0;
/// Run time of the longest task of a step, as a multiple of a typical one.
const LONGEST_TASK_FACTOR: f64 = 1.4;
/// Fraction of its slack for which a step insists on the wanted CPU share.
const WAIT_SLACK_FRACTION: f64 = 0.25;
/// Shortest time for which a step insists on the wanted CPU share.
const WAIT_MIN: Duration = Duration::from_millis(100);
/// Longest time for which a step insists on the wanted CPU share; jobs that have missed their
/// deadline wait as long.
const WAIT_MAX: Duration = Duration::from_millis(4_000);
/// Objective of jobs whose queue the catalog no longer has.
const OBJECTIVE_DEFAULT_MS: u64 = 10_000;

/// Moving average of run times, by queue.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    typical_ms: IndexMap<Arc<str>, f64>,
}

impl RunTimes {
    /// Updates the average of a queue by a run that succeeded.
    pub fn learn(&mut self, queue: &Arc<str>, run_time: Duration) {
        let run_time_ms = run_time.as_secs_f64() * 1_000.0;
        let typical_ms = self
            .typical_ms
            .entry(Arc::clone(queue))
            .or_insert(run_time_ms);
        let run_time_ms = run_time_ms.min(*typical_ms * OUTLIER_FACTOR);
        *typical_ms += (run_time_ms - *typical_ms) * LEARNING_RATE;
    }

    /// Expected run time of the longest task of a step, in milliseconds.
    pub fn longest_task_ms(&self, queue: &str, estimate_ms: u64) -> f64 {
        let declared_ms = estimate_ms as f64;
        let typical_ms = self.typical_ms.get(queue).copied().unwrap_or(declared_ms);
        (declared_ms * typical_ms).sqrt() * LONGEST_TASK_FACTOR
    }

    /// Critical paths of a job, by its steps.
    pub fn critical_paths(&self, queue: &str, spec: &JobSpec) -> CriticalPaths {
        // Successors come after their predecessors, so a step is visited after all that follow it.
        let mut from_step_ms = vec![0.0_f64; spec.steps.len()];
        for (number, step) in spec.steps.iter().enumerate().rev() {
            from_step_ms[number] += self.longest_task_ms(queue, step.estimate_ms);
            let path_ms = from_step_ms[number];
            for after in &step.after {
                let successors_ms = &mut from_step_ms[usize::from(*after)];
                *successors_ms = successors_ms.max(path_ms);
            }
        }
        let longest_ms = from_step_ms.iter().copied().fold(0.0, f64::max);
        CriticalPaths {
            from_step_ms,
            longest_ms,
        }
    }
}

/// Critical paths of a job: the longest sums of expected run times along dependent steps.
#[derive(Clone, Debug)]
pub struct CriticalPaths {
    /// Longest path from each step on, which it begins with.
    from_step_ms: Vec<f64>,
    longest_ms: f64,
}

impl CriticalPaths {
    /// Longest path from a step on, in milliseconds; zero if the job has no such step.
    pub fn from_step_ms(&self, step: u16) -> f64 {
        let path_ms = self.from_step_ms.get(usize::from(step));
        path_ms.copied().unwrap_or(0.0)
    }

    /// Deadline of a job, in milliseconds since 1970 on the leader's clock: its submission, or the
    /// due time of the occurrence, plus the objective of its queue.
    pub fn deadline_ms(
        &self,
        ledger: &JobLedger,
        job: &JobRecord,
        spec: &JobSpec,
        key: StepKey,
    ) -> u64 {
        let begin_ms = spec
            .schedule
            .map_or(job.accepted_ms, |schedule| schedule.due_ms(key.occurrence));
        let longest_ms = self.longest_ms as u64;
        let queue = ledger.catalog().queue(&job.queue);
        let objective_ms =
            queue.map_or(OBJECTIVE_DEFAULT_MS, |queue| queue.objective_ms(longest_ms));
        begin_ms.saturating_add(objective_ms)
    }
}

/// Time for which a best-effort step insists on the wanted CPU share; after that it accepts a
/// smaller one.
pub fn wanted_share_wait(deadline_ms: u64, now_ms: u64, remaining_ms: f64) -> Duration {
    let slack_ms = deadline_ms as f64 - now_ms as f64 - remaining_ms;
    if deadline_ms <= now_ms {
        return WAIT_MAX;
    }
    let wait = Duration::from_secs_f64((slack_ms * WAIT_SLACK_FRACTION / 1_000.0).max(0.0));
    wait.clamp(WAIT_MIN, WAIT_MAX)
}
