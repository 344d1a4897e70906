//! Forecasts the load of each latency-critical job for placement, from the reports of all agents.
//!
//! Load: all tasks of a job share one load, which swings by half in waves of 11 to 15 s. A best-effort
//! task that is placed while the load falls soon has room; one that is placed while it rises is
//! throttled soon. Each agent reports every half second. The reports of all workers within a quarter
//! of a second are one sample of the job's load, so that the cost of a report does not grow with the
//! number of tasks.
//!
//! A worker can be slower than others, so its own level counts as much as that of the job.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::load_forecast::LoadEstimate;
use super::load_forecast::LoadForecast;
use crate::identity::JobKey;
use guavavane_model::prelude::BootTime;

/// Time over which reports are summed up.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Mean age of what a sample shows: half a second of averaging, and the interval of the sample.
const SAMPLE_AGE: Duration = Duration::from_millis(375);
/// Time from a placement until its run works.
const START_DELAY: Duration = Duration::from_millis(500);
/// Time ahead for which a placed run needs room. A forecast for longer says little.
const HORIZON: Duration = Duration::from_millis(1_500);
/// Standard errors of a forecast that placement keeps free.
const FORECAST_ERRORS: f64 = 1.0;
/// Age of a forecast from which it no longer counts.
const FORECAST_AGE_MAX: Duration = Duration::from_millis(2_000);
/// Time after which a job without reports is forgotten.
const JOB_MEMORY: Duration = Duration::from_secs(10);

/// Load of a job, as forecast at its latest sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpectedLoad {
    /// Baseline utilisation at present.
    pub present: f64,
    /// Rise above the present until the horizon, with the error of the forecast; negative if the load
    /// falls.
    pub rise: f64,
}

/// Load of one job.
#[derive(Clone, Debug, Default)]
struct JobLoad {
    forecast: LoadForecast,
    sampled_at: BootTime,
    /// Sum of the baseline utilisations since the latest sample.
    sum: f64,
    count: f64,
    expected: Option<ExpectedLoad>,
}

impl JobLoad {
    fn record(&mut self, now: BootTime, baseline: f64) {
        self.sum += baseline;
        self.count += 1.0;
        if now.saturating_since(self.sampled_at) < SAMPLE_INTERVAL {
            return;
        }
        self.forecast.record(now, self.sum / self.count);
        self.sampled_at = now;
        (self.sum, self.count) = (0.0, 0.0);
        self.expected = self.forecast.fit(now).map(|fit| {
            // Samples are recorded at the times of their reports, so the forecast is taken later by
            // the age of what they show.
            let present = fit.at(now + SAMPLE_AGE).mean;
            let first = fit.at(now + SAMPLE_AGE + START_DELAY);
            let last = fit.at(now + SAMPLE_AGE + HORIZON);
            let rise = upper_bound(&first).max(upper_bound(&last)) - present;
            ExpectedLoad { present, rise }
        });
    }
}

/// Loads of all latency-critical jobs, by job and image.
#[derive(Clone, Debug, Default)]
pub struct JobLoads {
    loads: IndexMap<(JobKey, Arc<str>), JobLoad>,
    pruned_at: BootTime,
}

impl JobLoads {
    /// Adds the baseline utilisation of one task of a job.
    pub fn record(&mut self, now: BootTime, job: JobKey, image: &Arc<str>, baseline: f64) {
        if !baseline.is_finite() {
            return;
        }
        if now.saturating_since(self.pruned_at) > JOB_MEMORY {
            self.pruned_at = now;
            self.loads
                .retain(|_, load| now.saturating_since(load.sampled_at) < JOB_MEMORY);
        }
        let load = self.loads.entry((job, Arc::clone(image))).or_default();
        load.record(now, baseline.clamp(0.0, 1.0));
    }

    /// Load of a job; none with too little history.
    pub fn expected(&self, now: BootTime, job: JobKey, image: &Arc<str>) -> Option<ExpectedLoad> {
        let load = self.loads.get(&(job, Arc::clone(image)))?;
        let is_recent = now.saturating_since(load.sampled_at) < FORECAST_AGE_MAX;
        load.expected.filter(|_| is_recent)
    }
}

/// Load that placement makes room for.
fn upper_bound(load: &LoadEstimate) -> f64 {
    load.mean + FORECAST_ERRORS * load.standard_error
}
