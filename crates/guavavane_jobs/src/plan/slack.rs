//! How much time a job has to spare when filling tasks have to wait or to press.
//!
//! Declared run times are far off, so they are weighed against what runs of the same queue
//! have taken. From both follow a job's objective, the chain that is left, and how long a
//! step may wait for a worker where it presses on nobody: a job with time to spare waits,
//! one that can just make it does not, and one that has missed its objective waits again.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::identity::StepKey;
use crate::job::JobSpec;
use crate::ledger::JobLedger;
use crate::ledger::JobRecord;

/// Part by which one run moves the learned run time of its queue.
const LEARN_PART: f64 = 0.05;
/// Longest run that is learned from, in learned run times: longer ones were held up.
const OUTLIER_FACTOR: f64 = 3.0;
/// How much longer the longest task of a step runs than a typical one.
const LONGEST_FACTOR: f64 = 1.4;
/// Part of its spare time that a step waits for a harmless worker.
const PATIENCE_PART: f64 = 0.25;
/// Shortest such wait.
const PATIENCE_LEAST: Duration = Duration::from_millis(100);
/// Longest such wait, and that of jobs that have missed their objective.
const PATIENCE_MOST: Duration = Duration::from_millis(4_000);
/// Objective of jobs in queues that the catalog no longer has.
const DEFAULT_OBJECTIVE_MS: u64 = 10_000;

/// Run times that were seen, by queue.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    queues: IndexMap<Arc<str>, f64>,
}

impl RunTimes {
    /// Learns from a run that was done.
    pub fn learn(&mut self, queue: &Arc<str>, run_time: Duration) {
        let millis = run_time.as_secs_f64() * 1_000.0;
        let known = self.queues.entry(Arc::clone(queue)).or_insert(millis);
        let millis = millis.min(*known * OUTLIER_FACTOR);
        *known += (millis - *known) * LEARN_PART;
    }

    /// Run time to expect of the longest task of a step, in milliseconds.
    pub fn expected_ms(&self, queue: &str, estimate_ms: u64) -> f64 {
        let declared = estimate_ms as f64;
        let typical = self.queues.get(queue).copied().unwrap_or(declared);
        (declared * typical).sqrt() * LONGEST_FACTOR
    }

    /// Longest chain of a job from one of its steps on, in milliseconds.
    pub fn chain_ms(&self, queue: &str, spec: &JobSpec, from: usize) -> f64 {
        let mut ends = vec![0.0_f64; spec.steps.len()];
        let mut longest: f64 = 0.0;
        for (number, step) in spec.steps.iter().enumerate().skip(from) {
            let after = step.after.iter().map(|after| usize::from(*after));
            let after: Vec<usize> = after.filter(|after| *after >= from).collect();
            let follows = after.iter().any(|after| ends[*after] > 0.0);
            if number != from && !follows {
                continue;
            }
            let begin = after.iter().map(|after| ends[*after]).fold(0.0, f64::max);
            ends[number] = begin + self.expected_ms(queue, step.estimate_ms);
            longest = longest.max(ends[number]);
        }
        longest
    }

    /// When a job should end, in the leader's time of day.
    pub fn deadline_ms(
        &self,
        ledger: &JobLedger,
        job: &JobRecord,
        spec: &JobSpec,
        key: StepKey,
    ) -> u64 {
        let begin = spec
            .schedule
            .map_or(job.accepted_ms, |schedule| schedule.due_ms(key.occurrence));
        let firsts = spec.steps.iter().enumerate();
        let firsts = firsts.filter(|(_, step)| step.after.is_empty());
        let chains = firsts.map(|(number, _)| self.chain_ms(&job.queue, spec, number));
        let chain_ms = chains.fold(0.0, f64::max) as u64;
        let queue = ledger.catalog().queue(&job.queue);
        let objective = queue.map_or(DEFAULT_OBJECTIVE_MS, |queue| queue.objective_ms(chain_ms));
        begin.saturating_add(objective)
    }
}

/// How long a step may wait for a worker where it presses on nobody.
pub fn patience(deadline_ms: u64, now_ms: u64, left_ms: f64) -> Duration {
    let spare = deadline_ms as f64 - now_ms as f64 - left_ms;
    if deadline_ms <= now_ms {
        return PATIENCE_MOST;
    }
    let wait = Duration::from_secs_f64((spare * PATIENCE_PART / 1_000.0).max(0.0));
    wait.clamp(PATIENCE_LEAST, PATIENCE_MOST)
}
