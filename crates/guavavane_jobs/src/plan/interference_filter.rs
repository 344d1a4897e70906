//! Extended Kalman filter that estimates the interference model of one latency-critical image.
//!
//! The state vector holds the interference coefficient of each best-effort image and the baseline
//! utilisation of each job that runs the latency-critical image; the model is that of
//! [`super::interference`]. A coefficient drifts as a random walk. A baseline utilisation returns
//! to its mean as an Ornstein-Uhlenbeck process. Each sample of a utilisation corrects the whole
//! state in proportion to the covariances, which hold how far causes that occur together can be
//! separated.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::interference::added_utilisation;
use super::interference::BestEffortLoad;
use super::interference::Estimate;
use super::interference::UTILISATION_SATURATED_MIN;
use crate::identity::JobKey;
use guavavane_model::prelude::BootTime;

/// Growth of a coefficient's variance with each sample, so that the filter follows a change.
const COEFFICIENT_NOISE_VARIANCE: f64 = 1e-4;
/// Largest coefficient.
const COEFFICIENT_MAX: f64 = 10.0;
/// Mean of the baseline utilisation, and its value before the first sample.
const BASELINE_PRIOR_MEAN: f64 = 0.45;
/// Standard deviation of the baseline utilisation.
const BASELINE_DEVIATION: f64 = 0.17;
/// Time constant with which a baseline utilisation returns to its mean.
const BASELINE_TIME_CONSTANT: Duration = Duration::from_millis(5_000);
/// Standard deviation of a reported utilisation.
const SAMPLE_DEVIATION: f64 = 0.05;
/// Further standard deviation near saturation, where small causes have large effects.
const SAMPLE_DEVIATION_HIGH: f64 = 0.15;
/// Utilisation from which the further standard deviation applies.
const UTILISATION_HIGH_MIN: f64 = 0.9;
/// Fraction of the processor up to which a sample says nothing about a best-effort image.
const CPU_FRACTION_MIN: f64 = 0.002;
/// Most states of a filter; bounds the cost of a sample, which grows with their square.
const STATES_MAX: usize = 48;

/// Quantity that a state estimates.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum StateKey {
    /// Interference coefficient of a best-effort image.
    Coefficient(Arc<str>),
    /// Baseline utilisation of a job.
    Baseline(JobKey),
}

/// State estimate for one latency-critical image.
#[derive(Clone, Debug, Default)]
pub(super) struct InterferenceFilter {
    /// Expected value of each state.
    means: IndexMap<StateKey, f64>,
    /// Covariance of any two states, by their positions.
    covariances: Vec<Vec<f64>>,
    updated_at: BootTime,
}

impl InterferenceFilter {
    /// Best-effort images that have a coefficient.
    pub(super) fn best_effort_images(&self) -> impl Iterator<Item = &Arc<str>> {
        self.means.keys().filter_map(|key| match key {
            StateKey::Coefficient(image) => Some(image),
            StateKey::Baseline(_) => None,
        })
    }

    /// Estimated coefficient of a best-effort image, if it is known.
    pub(super) fn coefficient(&self, image: &Arc<str>) -> Option<Estimate> {
        let key = StateKey::Coefficient(Arc::clone(image));
        let (index, _, mean) = self.means.get_full(&key)?;
        Some(Estimate {
            mean: *mean,
            variance: self.covariances[index][index],
        })
    }

    /// Sets the coefficient of a best-effort image, uncorrelated with all other states.
    pub(super) fn set_coefficient(&mut self, image: &Arc<str>, coefficient: Estimate) {
        let index = self.index_of(StateKey::Coefficient(Arc::clone(image)), coefficient);
        self.means[index] = coefficient.mean;
        for (other, row) in self.covariances.iter_mut().enumerate() {
            row[index] = if other == index {
                coefficient.variance
            } else {
                0.0
            };
        }
        let row = &mut self.covariances[index];
        row.fill(0.0);
        row[index] = coefficient.variance;
    }

    /// Updates the estimate by the utilisation of one task beside a best-effort load.
    pub(super) fn learn(
        &mut self,
        now: BootTime,
        job: JobKey,
        utilisation: f64,
        load: &BestEffortLoad,
    ) {
        self.predict(now);
        let baseline = self.index_of(StateKey::Baseline(job), baseline_prior());
        let mut gradient = vec![(baseline, 1.0)];
        let mut slowdown = 0.0;
        for (image, fraction) in load
            .iter()
            .filter(|(_, fraction)| **fraction > CPU_FRACTION_MIN)
        {
            let key = StateKey::Coefficient(Arc::clone(image));
            let index = self.index_of(key, Estimate::COEFFICIENT_PRIOR);
            slowdown += self.means[index] * fraction;
            gradient.push((index, *fraction));
        }
        let expected = self.means[baseline] + added_utilisation(slowdown);
        if utilisation.min(expected) >= UTILISATION_SATURATED_MIN {
            return;
        }
        let derivative = 1.0 / ((1.0 + slowdown) * (1.0 + slowdown));
        gradient[1..]
            .iter_mut()
            .for_each(|slope| slope.1 *= derivative);
        let error =
            utilisation.min(UTILISATION_SATURATED_MIN) - expected.min(UTILISATION_SATURATED_MIN);
        let mut noise_variance = SAMPLE_DEVIATION * SAMPLE_DEVIATION;
        if utilisation > UTILISATION_HIGH_MIN {
            noise_variance += SAMPLE_DEVIATION_HIGH * SAMPLE_DEVIATION_HIGH;
        }
        self.correct(&gradient, error, noise_variance);
        self.drop_oldest_states();
    }

    /// Prediction step: advances the state to `now`, which raises the variances.
    fn predict(&mut self, now: BootTime) {
        let elapsed = now.saturating_since(self.updated_at);
        self.updated_at = now;
        let decay = (-elapsed.as_secs_f64() / BASELINE_TIME_CONSTANT.as_secs_f64()).exp();
        let prior = baseline_prior();
        for index in 0..self.means.len() {
            let is_baseline = matches!(
                self.means.get_index(index),
                Some((StateKey::Baseline(_), _))
            );
            if !is_baseline {
                self.covariances[index][index] += COEFFICIENT_NOISE_VARIANCE;
                continue;
            }
            self.means[index] = prior.mean + (self.means[index] - prior.mean) * decay;
            for other in 0..self.means.len() {
                self.covariances[index][other] *= decay;
                self.covariances[other][index] *= decay;
            }
            self.covariances[index][index] += prior.variance * (1.0 - decay * decay);
        }
    }

    /// Position of a state; a new state is added with its prior.
    fn index_of(&mut self, key: StateKey, prior: Estimate) -> usize {
        if let Some(index) = self.means.get_index_of(&key) {
            return index;
        }
        let index = self.means.len();
        self.means.insert(key, prior.mean);
        self.covariances.iter_mut().for_each(|row| row.push(0.0));
        let mut row = vec![0.0; index + 1];
        row[index] = prior.variance;
        self.covariances.push(row);
        index
    }

    /// Correction step for a prediction `error`; `gradient` holds the partial derivatives of the
    /// prediction by state.
    fn correct(&mut self, gradient: &[(usize, f64)], error: f64, noise_variance: f64) {
        let state_count = self.means.len();
        let state_covariances: Vec<f64> = (0..state_count)
            .map(|state| {
                let row = &self.covariances[state];
                gradient
                    .iter()
                    .map(|(index, slope)| row[*index] * slope)
                    .sum()
            })
            .collect();
        let variance: f64 = gradient
            .iter()
            .map(|(index, slope)| state_covariances[*index] * slope)
            .sum();
        let variance = variance + noise_variance;
        for (state, (key, mean)) in self.means.iter_mut().enumerate() {
            let upper_bound = match key {
                StateKey::Coefficient(_) => COEFFICIENT_MAX,
                StateKey::Baseline(_) => 1.0,
            };
            *mean = (*mean + state_covariances[state] / variance * error).clamp(0.0, upper_bound);
        }
        for (state, row) in self.covariances.iter_mut().enumerate() {
            for (other, covariance) in row.iter_mut().enumerate() {
                *covariance -= state_covariances[state] * state_covariances[other] / variance;
            }
        }
    }

    /// Drops the oldest states beyond [`STATES_MAX`].
    fn drop_oldest_states(&mut self) {
        while self.means.len() > STATES_MAX {
            self.means.shift_remove_index(0);
            self.covariances.remove(0);
            self.covariances.iter_mut().for_each(|row| {
                row.remove(0);
            });
        }
    }
}

/// Estimate of a baseline utilisation before the first sample.
fn baseline_prior() -> Estimate {
    Estimate {
        mean: BASELINE_PRIOR_MEAN,
        variance: BASELINE_DEVIATION * BASELINE_DEVIATION,
    }
}
