//! Computes how much slowdown by best-effort tasks each latency-critical image on a worker tolerates.
//!
//! The baseline utilisation of a latency-critical task is its utilisation less what the best-effort
//! tasks add. The difference to the utilisation at the latency target is the slowdown budget. The
//! baseline is the one that [`super::load_forecast`] expects while the shares of this report are in
//! force, with a margin by its standard error. With too little history, it is that of the latest
//! report with a fixed margin.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::interference::slowdown_for_utilisation;
use super::interference::utilisation_limit;
use super::interference::BestEffortLoad;
use super::interference::InterferenceModel;
use super::interference::UtilisationSample;
use super::load_forecast::LoadEstimate;
use super::load_forecast::LoadForecast;
use crate::identity::JobKey;
use guavavane_model::prelude::BootTime;

/// Utilisation kept free below the limit without a forecast: baseline utilisation rises by as much
/// between two renewal reports.
const UTILISATION_MARGIN: f64 = 0.07;
/// Utilisation kept free below the limit beside the error of a forecast.
const FORECAST_MARGIN: f64 = 0.02;
/// Standard errors of a forecast that are kept free below the limit.
const FORECAST_ERRORS: f64 = 1.5;
/// Mean age of what a report shows, which is averaged over half a second.
const REPORT_AGE: Duration = Duration::from_millis(250);
/// Time from a report until the CPU shares that it leads to act.
const SHARE_DELAY: Duration = Duration::from_millis(100);
/// Time from a report until the CPU shares that the next report leads to act.
const NEXT_SHARE_DELAY: Duration = Duration::from_millis(350);
/// Fraction of the remaining utilisation that best-effort tasks get while a latency-critical task
/// is at or over its target.
const VIOLATION_HEADROOM_FRACTION: f64 = 0.5;

/// Latency-critical tasks of a job that run the same image.
type LoadKey = (JobKey, Arc<str>);

/// Load histories of the latency-critical tasks on a worker.
#[derive(Clone, Debug, Default)]
pub struct BudgetPlanner {
    forecasts: IndexMap<LoadKey, LoadForecast>,
    /// Highest load expected while the shares of the latest report are in force; none without a
    /// forecast.
    highest_load: Option<LoadEstimate>,
    /// Whether the fixed margin applies in place of the forecasts.
    has_fixed_margin: bool,
}

impl BudgetPlanner {
    /// Creates a planner that never forecasts.
    pub fn with_fixed_margin() -> Self {
        Self {
            has_fixed_margin: true,
            ..Self::default()
        }
    }

    /// Slowdown that each latency-critical image tolerates, the lowest of its tasks, from the samples
    /// of a new report and the best-effort load beside them.
    pub fn update(
        &mut self,
        now: BootTime,
        samples: &[UtilisationSample],
        load: &BestEffortLoad,
        interference: &InterferenceModel,
    ) -> IndexMap<Arc<str>, f64> {
        let baseline_of = |sample: &UtilisationSample| {
            let added = interference.added_utilisation(&sample.image, load);
            (sample.utilisation - added).max(0.0)
        };
        let loads = if self.has_fixed_margin {
            IndexMap::new()
        } else {
            self.record(now, samples, baseline_of);
            self.expected_loads(now)
        };
        let highest = loads.values().copied();
        self.highest_load =
            highest.max_by(|left, right| upper_bound(left).total_cmp(&upper_bound(right)));
        let mut budgets: IndexMap<Arc<str>, f64> = IndexMap::new();
        for sample in samples {
            let reserved = match loads.get(&(sample.job, Arc::clone(&sample.image))) {
                Some(load) => upper_bound(load) + FORECAST_MARGIN,
                None => baseline_of(sample) + UTILISATION_MARGIN,
            };
            let mut headroom = utilisation_limit() - reserved;
            if sample.utilisation >= utilisation_limit() {
                headroom *= VIOLATION_HEADROOM_FRACTION;
            }
            let budget = slowdown_for_utilisation(headroom);
            let lowest = budgets.entry(Arc::clone(&sample.image)).or_insert(budget);
            *lowest = lowest.min(budget);
        }
        budgets
    }

    /// Highest baseline utilisation that is expected on the worker while the shares of the latest
    /// report are in force; none without a forecast.
    pub fn highest_load(&self) -> Option<LoadEstimate> {
        self.highest_load
    }

    /// Adds the mean baseline utilisation of each job's tasks, and forgets jobs without tasks.
    fn record(
        &mut self,
        now: BootTime,
        samples: &[UtilisationSample],
        baseline_of: impl Fn(&UtilisationSample) -> f64,
    ) {
        let mut sums: IndexMap<LoadKey, (f64, f64)> = IndexMap::new();
        for sample in samples {
            let key = (sample.job, Arc::clone(&sample.image));
            let (sum, count) = sums.entry(key).or_default();
            *sum += baseline_of(sample);
            *count += 1.0;
        }
        self.forecasts.retain(|key, _| sums.contains_key(key));
        for (key, (sum, count)) in sums {
            self.forecasts
                .entry(key)
                .or_default()
                .record(now, sum / count);
        }
    }

    /// Loads of the jobs that have a forecast.
    fn expected_loads(&self, now: BootTime) -> IndexMap<LoadKey, LoadEstimate> {
        let forecasts = self.forecasts.iter();
        let loads = forecasts.filter_map(|(key, forecast)| {
            let fit = forecast.fit(now)?;
            // Samples are recorded at the times of their reports, so the forecast is taken later by
            // the age of what they show.
            let first = fit.at(now + REPORT_AGE + SHARE_DELAY);
            let last = fit.at(now + REPORT_AGE + NEXT_SHARE_DELAY);
            let is_rising = upper_bound(&last) > upper_bound(&first);
            Some((key.clone(), if is_rising { last } else { first }))
        });
        loads.collect()
    }
}

/// Load that best-effort work makes room for.
fn upper_bound(load: &LoadEstimate) -> f64 {
    load.mean + FORECAST_ERRORS * load.standard_error
}
