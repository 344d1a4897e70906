//! Observes the run times of each step of a queue, from which the threshold of a copy follows.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

/// Quantile of the run times that a run has to pass; leaves a tail of one run in ten.
const DELAY_QUANTILE: f64 = 0.9;
/// Threshold of a copy as a multiple of the quantile, so that the spread of ordinary run times starts
/// no copies.
const DELAY_FACTOR: f64 = 1.25;
/// Remaining run time that is expected without a copy, as a multiple of the mean run time.
const GAIN_FACTOR: f64 = 1.5;
/// Number of observed run times from which quantiles are used.
const RUNS_MIN: f64 = 30.0;
/// Weight of the observed run times at which all are halved, so that later ones count more.
const WEIGHT_MAX: f64 = 1_024.0;
/// Weight of runs beyond the threshold below which nothing is known of them. A run that passes the
/// threshold then counts as a straggler.
const TAIL_WEIGHT_MIN: f64 = 0.5;
/// Buckets for each doubling of the run time; each is 12 percent wide.
const BUCKETS_PER_DOUBLING: f64 = 6.0;
/// Number of buckets; the last holds all run times from 62 minutes on.
const BUCKETS: usize = 132;
/// Steps of a queue whose run times are kept, by number; bounds the memory that a caller can claim.
const STEPS_MAX: u16 = 64;

/// Histogram of run times with buckets of a constant relative width.
#[derive(Clone, Debug)]
struct RunTimeHistogram {
    /// Runs that succeeded.
    succeeded: Vec<f64>,
    /// Runs that were stopped because their copies succeeded: they would have taken longer.
    stopped: Vec<f64>,
    total: f64,
}

impl RunTimeHistogram {
    fn new() -> Self {
        Self {
            succeeded: vec![0.0; BUCKETS],
            stopped: vec![0.0; BUCKETS],
            total: 0.0,
        }
    }

    fn bucket(run_time_ms: f64) -> usize {
        let bucket = run_time_ms.max(1.0).log2() * BUCKETS_PER_DOUBLING;
        (bucket as usize).min(BUCKETS - 1)
    }

    /// Run time at the upper end of a bucket.
    fn upper_ms(bucket: usize) -> f64 {
        ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2()
    }

    /// Run time at the lower end of a bucket.
    fn lower_ms(bucket: usize) -> f64 {
        (bucket as f64 / BUCKETS_PER_DOUBLING).exp2()
    }

    fn learn(&mut self, run_time_ms: f64, has_succeeded: bool) {
        let weights = if has_succeeded {
            &mut self.succeeded
        } else {
            &mut self.stopped
        };
        weights[Self::bucket(run_time_ms)] += 1.0;
        self.total += 1.0;
        if self.total >= WEIGHT_MAX {
            let weights = self.succeeded.iter_mut().chain(&mut self.stopped);
            weights.for_each(|weight| *weight /= 2.0);
            self.total /= 2.0;
        }
    }

    fn weights(&self) -> impl DoubleEndedIterator<Item = f64> + ExactSizeIterator + '_ {
        let weights = self.succeeded.iter().zip(&self.stopped);
        weights.map(|(succeeded, stopped)| succeeded + stopped)
    }

    /// Upper bound of the run times of this fraction of the runs.
    fn quantile_ms(&self, fraction: f64) -> f64 {
        let mut remaining = self.total * fraction;
        let position = self.weights().position(|weight| {
            remaining -= weight;
            remaining <= 0.0
        });
        Self::upper_ms(position.unwrap_or(BUCKETS - 1))
    }

    fn mean_ms(&self) -> f64 {
        let weights = self.weights().enumerate();
        let sum: f64 = weights
            .map(|(bucket, weight)| weight * Self::lower_ms(bucket))
            .sum();
        sum / self.total
    }

    /// Mean time that runs which have taken this long still take; none if there were too few. It
    /// follows from the fraction of the runs still in progress that ended in each bucket
    /// (Kaplan-Meier), since those that were stopped don't tell their run time. Where all were
    /// stopped, they are taken to last as long again.
    fn mean_remaining_ms(&self, elapsed_ms: f64) -> Option<f64> {
        let first = Self::bucket(elapsed_ms) + 1;
        let mut in_progress: f64 = self.weights().skip(first).sum();
        if in_progress < TAIL_WEIGHT_MIN {
            return None;
        }
        let (mut surviving, mut remaining_ms) = (1.0, 0.0);
        for bucket in first..BUCKETS {
            if in_progress < TAIL_WEIGHT_MIN {
                return Some(remaining_ms + surviving * Self::lower_ms(bucket));
            }
            remaining_ms += surviving * (Self::upper_ms(bucket) - Self::lower_ms(bucket));
            surviving *= 1.0 - self.succeeded[bucket] / in_progress;
            in_progress -= self.succeeded[bucket] + self.stopped[bucket];
        }
        Some(remaining_ms)
    }

    /// Time after which a run gets a copy; none if too little is known or copies don't pay.
    fn copy_delay(&self) -> Option<Duration> {
        if self.total < RUNS_MIN {
            return None;
        }
        let delay_ms = self.quantile_ms(DELAY_QUANTILE) * DELAY_FACTOR;
        let gain_min_ms = self.mean_ms() * GAIN_FACTOR;
        let remaining_ms = self.mean_remaining_ms(delay_ms);
        let pays = remaining_ms.is_none_or(|remaining_ms| remaining_ms >= gain_min_ms);
        pays.then(|| Duration::from_secs_f64(delay_ms / 1_000.0))
    }
}

/// Run times that were observed in this term, by queue and number of the step.
#[derive(Clone, Debug, Default)]
pub struct StepRunTimes {
    queues: IndexMap<Arc<str>, IndexMap<u16, RunTimeHistogram>>,
}

impl StepRunTimes {
    /// Records the run time of a run that succeeded, or the time after which it was stopped because
    /// the other run of its task did.
    pub fn learn(&mut self, queue: &Arc<str>, step: u16, run_time: Duration, has_succeeded: bool) {
        if step >= STEPS_MAX {
            return;
        }
        let steps = self.queues.entry(Arc::clone(queue)).or_default();
        let histogram = steps.entry(step).or_insert_with(RunTimeHistogram::new);
        histogram.learn(run_time.as_secs_f64() * 1_000.0, has_succeeded);
    }

    /// Time after which a run of a step gets a copy; none if too little is known or copies don't pay.
    pub fn copy_delay(&self, queue: &str, step: u16) -> Option<Duration> {
        self.queues.get(queue)?.get(&step)?.copy_delay()
    }
}
