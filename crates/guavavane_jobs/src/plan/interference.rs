//! Estimates how much best-effort images slow down latency-critical images.
//!
//! A latency-critical task is modelled as an M/M/1 queue, whose response time quantiles are
//! proportional to `1 / (1 - u)` (Kleinrock, Queueing Systems, volume 1). With
//!
//! - `T`: tail latency of the task, and `T0`: its tail latency without load,
//! - `u = 1 - T0 / T`: utilisation as the tail latency shows it,
//! - `b`: baseline utilisation, due to the requests of the task alone,
//! - `f_i`: fraction of the worker's processor that best-effort image `i` uses,
//! - `c_i`: interference coefficient, the slowdown by image `i` on a whole processor,
//! - `x = sum of c_i * f_i`: slowdown, which lengthens the service time to `1 + x` times,
//!
//! the longer service time gives `T = T0 * (1 + x) / (1 - b * (1 + x))`, hence
//! `u = b + x / (1 + x)`.
//!
//! `u` and `b` are utilisations of that queue, not of a processor.
//!
//! A coefficient belongs to a pair of images. The leader's [`InterferenceModel`] learns it from the
//! utilisation reports of agents. They separate it from the baseline utilisation, because all tasks
//! of a job share one request load that changes slowly, while best-effort tasks start and end on
//! each worker independently. An agent's model learns nothing; it holds the estimates that leaders
//! have sent. The agent returns them when it reports its worker, so that a new leader starts from
//! them.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use super::interference_filter::InterferenceFilter;
use crate::identity::JobKey;
use guavavane_model::prelude::BootTime;

/// Tail latency of a latency-critical task without load, as a fraction of its target (`T0`).
const UNLOADED_FRACTION: f64 = 0.2;
/// Coefficient of an unknown pair. Most pairs interfere either weakly or strongly.
const COEFFICIENT_PRIOR_MEAN: f64 = 1.9;
/// Standard deviation of the coefficient between pairs.
const COEFFICIENT_PRIOR_DEVIATION: f64 = 1.9;
/// Coefficient from which a pair certainly interferes strongly.
const COEFFICIENT_STRONG_MIN: f64 = 2.0;
/// Utilisation from which the tail latency no longer shows how much interference adds.
pub(super) const UTILISATION_SATURATED_MIN: f64 = 0.95;

/// Fractions of a worker's processor that its best-effort tasks use, by image (`f_i`).
pub type BestEffortLoad = IndexMap<Arc<str>, f64>;

/// Utilisation of a latency-critical task with this tail latency and target (`u`), from 0 to 1; 0
/// for a tail latency up to that without load.
pub fn utilisation_of_tail(tail_ms: u64, target_ms: u64) -> f64 {
    let unloaded_ms = target_ms as f64 * UNLOADED_FRACTION;
    let tail_latency_ms = (tail_ms as f64).max(unloaded_ms);
    if tail_latency_ms <= 0.0 {
        0.0
    } else {
        1.0 - unloaded_ms / tail_latency_ms
    }
}

/// Utilisation at which the tail latency equals its target.
pub fn utilisation_limit() -> f64 {
    1.0 - UNLOADED_FRACTION
}

/// Utilisation that a slowdown adds: `x / (1 + x)`.
pub(super) fn added_utilisation(slowdown: f64) -> f64 {
    slowdown / (1.0 + slowdown)
}

/// Slowdown that adds this utilisation; inverse of `x / (1 + x)`.
pub fn slowdown_for_utilisation(added: f64) -> f64 {
    let added = added.clamp(0.0, UTILISATION_SATURATED_MIN);
    added / (1.0 - added)
}

/// Utilisation of one latency-critical task in a utilisation report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UtilisationSample {
    /// Job of the task: all tasks of a job share one baseline utilisation.
    pub job: JobKey,
    /// Image of the latency-critical task.
    pub image: Arc<str>,
    /// Utilisation of the task, from 0 to 1.
    pub utilisation: f64,
}

/// Estimated interference coefficient of a pair of images.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PairEstimate {
    /// Latency-critical image, which is slowed down.
    pub latency_critical: Arc<str>,
    /// Best-effort image, which slows it down.
    pub best_effort: Arc<str>,
    /// Estimate of the coefficient.
    pub coefficient: Estimate,
}

/// Estimate of a state of the interference model, an interference coefficient or a baseline
/// utilisation, as a normal distribution.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Expected value; a coefficient of 0.5 lengthens the service time by half.
    pub mean: f64,
    /// Variance of the estimate.
    pub variance: f64,
}

impl Estimate {
    /// Coefficient of an unknown pair.
    pub(super) const COEFFICIENT_PRIOR: Self = Self {
        mean: COEFFICIENT_PRIOR_MEAN,
        variance: COEFFICIENT_PRIOR_DEVIATION * COEFFICIENT_PRIOR_DEVIATION,
    };
}

/// Interference coefficients by pair of images. A pair is known if it was learned here or taken
/// from another model.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    filters: IndexMap<Arc<str>, InterferenceFilter>,
}

impl InterferenceModel {
    /// Coefficient of a pair; the prior if the pair is unknown.
    pub fn coefficient(&self, latency_critical: &Arc<str>, best_effort: &Arc<str>) -> Estimate {
        let filter = self.filters.get(latency_critical);
        let known = filter.and_then(|filter| filter.coefficient(best_effort));
        known.unwrap_or(Estimate::COEFFICIENT_PRIOR)
    }

    /// Expected coefficient of a pair.
    pub fn mean_coefficient(&self, latency_critical: &Arc<str>, best_effort: &Arc<str>) -> f64 {
        self.coefficient(latency_critical, best_effort).mean
    }

    /// Degree to which a pair interferes strongly, from 0 to 1, by its expected coefficient.
    pub fn interference_degree(&self, latency_critical: &Arc<str>, best_effort: &Arc<str>) -> f64 {
        (self.mean_coefficient(latency_critical, best_effort) / COEFFICIENT_STRONG_MIN).min(1.0)
    }

    /// Best-effort images of the known pairs.
    pub fn best_effort_images(&self) -> IndexSet<&Arc<str>> {
        let filters = self.filters.values();
        filters
            .flat_map(InterferenceFilter::best_effort_images)
            .collect()
    }

    /// Estimates of those of the given pairs that are known.
    pub fn estimates_for<'pairs>(
        &self,
        pairs: impl Iterator<Item = (&'pairs Arc<str>, &'pairs Arc<str>)>,
    ) -> Vec<PairEstimate> {
        let known = pairs.filter_map(|(latency_critical, best_effort)| {
            let coefficient = self
                .filters
                .get(latency_critical)?
                .coefficient(best_effort)?;
            Some(PairEstimate {
                latency_critical: Arc::clone(latency_critical),
                best_effort: Arc::clone(best_effort),
                coefficient,
            })
        });
        known.collect()
    }

    /// Replaces the coefficients of these pairs by the estimates of another model.
    pub fn set_coefficients(&mut self, estimates: Vec<PairEstimate>) {
        for estimate in estimates {
            let filter = self.filters.entry(estimate.latency_critical).or_default();
            filter.set_coefficient(&estimate.best_effort, estimate.coefficient);
        }
    }

    /// Keeps for each pair the estimate with the lower variance, of this model or of another.
    pub fn keep_narrower_estimates(&mut self, estimates: Vec<PairEstimate>) {
        let better = estimates.into_iter().filter(|estimate| {
            let own = self.coefficient(&estimate.latency_critical, &estimate.best_effort);
            estimate.coefficient.variance < own.variance
        });
        let better = better.collect();
        self.set_coefficients(better);
    }

    /// Estimates of all known pairs.
    pub fn all_estimates(&self) -> Vec<PairEstimate> {
        let filters = self.filters.iter();
        let pairs = filters.flat_map(|(latency_critical, filter)| {
            let images = filter.best_effort_images();
            images.map(move |best_effort| (latency_critical, best_effort))
        });
        self.estimates_for(pairs)
    }

    /// Slowdown of a latency-critical image by a best-effort load (`x`).
    pub fn slowdown(&self, image: &Arc<str>, load: &BestEffortLoad) -> f64 {
        let slowdowns = load
            .iter()
            .map(|(best_effort, fraction)| self.mean_coefficient(image, best_effort) * fraction);
        slowdowns.sum()
    }

    /// Utilisation that a best-effort load adds to a latency-critical image: `x / (1 + x)`.
    pub fn added_utilisation(&self, image: &Arc<str>, load: &BestEffortLoad) -> f64 {
        added_utilisation(self.slowdown(image, load))
    }

    /// Updates the estimates by one utilisation report: utilisations of a worker's latency-critical
    /// tasks and the best-effort load beside them.
    pub fn learn(&mut self, now: BootTime, samples: &[UtilisationSample], load: &BestEffortLoad) {
        for sample in samples {
            let image = Arc::clone(&sample.image);
            let filter = self.filters.entry(image).or_default();
            filter.learn(now, sample.job, sample.utilisation, load);
        }
    }
}
