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

    /// Expected run time of a typical task of a step, in milliseconds.
    pub fn typical_task_ms(&self, queue: &str, estimate_ms: u64) -> f64 {
        self.longest_task_ms(queue, estimate_ms) / LONGEST_TASK_FACTOR
    }

    /// Shortest and longest run time of a step that the declared and the learned run time allow, in
    /// milliseconds.
    fn run_time_range_ms(&self, queue: &str, estimate_ms: u64) -> (f64, f64) {
        let declared_ms = estimate_ms as f64;
        let typical_ms = self.typical_ms.get(queue).copied().unwrap_or(declared_ms);
        let longest_ms = declared_ms.max(typical_ms) * LONGEST_TASK_FACTOR;
        (declared_ms.min(typical_ms), longest_ms)
    }

    /// Critical path of a job from one of its steps on: the longest sum of expected run times along
    /// dependent steps, in milliseconds.
    pub fn critical_path_ms(&self, queue: &str, spec: &JobSpec, first_step: usize) -> f64 {
        longest_path_ms(spec, first_step, |estimate_ms| {
            self.longest_task_ms(queue, estimate_ms)
        })
    }

    /// Expected critical path of a whole job, in milliseconds.
    pub fn job_path_ms(&self, queue: &str, spec: &JobSpec) -> f64 {
        whole_path_ms(spec, |estimate_ms| self.longest_task_ms(queue, estimate_ms))
    }

    /// Shortest and longest critical path of a whole job that the declared and the learned run times
    /// allow, in milliseconds.
    pub fn job_path_range_ms(&self, queue: &str, spec: &JobSpec) -> (f64, f64) {
        let range = |estimate_ms| self.run_time_range_ms(queue, estimate_ms);
        let shortest_ms = whole_path_ms(spec, |estimate_ms| range(estimate_ms).0);
        let longest_ms = whole_path_ms(spec, |estimate_ms| range(estimate_ms).1);
        (shortest_ms, longest_ms)
    }

    /// Time at which the objective of a job begins, which is its submission or the due time of the
    /// occurrence in milliseconds since 1970 on the leader's clock, and the objective of its queue.
    pub fn objective_ms(
        &self,
        ledger: &JobLedger,
        job: &JobRecord,
        spec: &JobSpec,
        key: StepKey,
    ) -> (u64, u64) {
        let begin_ms = spec
            .schedule
            .map_or(job.accepted_ms, |schedule| schedule.due_ms(key.occurrence));
        let critical_path_ms = self.job_path_ms(&job.queue, spec) as u64;
        let queue = ledger.catalog().queue(&job.queue);
        let objective_ms = queue.map_or(OBJECTIVE_DEFAULT_MS, |queue| {
            queue.objective_ms(critical_path_ms)
        });
        (begin_ms, objective_ms)
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
        let (begin_ms, objective_ms) = self.objective_ms(ledger, job, spec, key);
        begin_ms.saturating_add(objective_ms)
    }
}

/// Longest sum of run times along dependent steps from one step on, in milliseconds.
fn longest_path_ms(spec: &JobSpec, first_step: usize, run_time_ms: impl Fn(u64) -> f64) -> f64 {
    let mut end_ms = vec![0.0_f64; spec.steps.len()];
    let mut critical_path_ms: f64 = 0.0;
    for (number, step) in spec.steps.iter().enumerate().skip(first_step) {
        let after = step.after.iter().map(|after| usize::from(*after));
        let predecessors: Vec<usize> = after.filter(|after| *after >= first_step).collect();
        let is_successor = predecessors.iter().any(|after| end_ms[*after] > 0.0);
        if number != first_step && !is_successor {
            continue;
        }
        let begin_ms = predecessors
            .iter()
            .map(|after| end_ms[*after])
            .fold(0.0, f64::max);
        end_ms[number] = begin_ms + run_time_ms(step.estimate_ms);
        critical_path_ms = critical_path_ms.max(end_ms[number]);
    }
    critical_path_ms
}

/// Longest sum of run times along dependent steps, in milliseconds.
fn whole_path_ms(spec: &JobSpec, run_time_ms: impl Fn(u64) -> f64) -> f64 {
    let sources = spec.steps.iter().enumerate();
    let sources = sources.filter(|(_, step)| step.after.is_empty());
    let paths_ms = sources.map(|(number, _)| longest_path_ms(spec, number, &run_time_ms));
    paths_ms.fold(0.0, f64::max)
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
