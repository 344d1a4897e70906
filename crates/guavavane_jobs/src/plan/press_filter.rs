//! What reports say of one serving image, as a Kalman filter.
//!
//! Its state is the stretch by every filling image, for a whole processor, and the own load of every job
//! that serves the image. A report moves both by what it differs from the expectation; the
//! covariances keep apart what came and went together.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::press::stretch_strain;
use super::press::FillingLoad;
use super::press::PairWeight;
use super::press::STRAIN_FULL;
use crate::identity::JobKey;
use guavavane_model::prelude::BootTime;

/// Growth of a stretch's variance with each sample, so that a pair may change.
const WEIGHT_NOISE: f64 = 1e-4;
/// Most stretch for a whole processor.
const WEIGHT_MAX: f64 = 10.0;
/// Own load of a serving task before its reports.
const LOAD_UNSEEN: f64 = 0.45;
/// Spread of own loads.
const LOAD_SPREAD: f64 = 0.17;
/// Time in which an own load changes by its spread.
const LOAD_TIME: Duration = Duration::from_millis(5_000);
/// Spread of a reported strain.
const STRAIN_SPREAD: f64 = 0.05;
/// Further spread of a strain near the limit of the queue, where small causes show much.
const STRAIN_SPREAD_HIGH: f64 = 0.15;
/// Strain from which its spread is higher.
const STRAIN_HIGH: f64 = 0.9;
/// Least load of a filling image that a sample tells something about, as a share of the processor.
const LOAD_LEAST: f64 = 0.002;
/// Most states of a filter: bounds the cost of a sample.
const STATES_MAX: usize = 48;

/// What a state stands for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum StateName {
    /// Stretch by a filling image, for a whole processor.
    Filling(Arc<str>),
    /// Own load of a job.
    Load(JobKey),
}

/// Filter of one serving image.
#[derive(Clone, Debug, Default)]
pub(super) struct ImageFilter {
    /// Expected value of each state.
    means: IndexMap<StateName, f64>,
    /// Covariance of any two states, by their positions.
    covariances: Vec<Vec<f64>>,
    seen_at: BootTime,
}

impl ImageFilter {
    /// Filling images that it knows.
    pub(super) fn filling_images(&self) -> impl Iterator<Item = &Arc<str>> {
        self.means.keys().filter_map(|name| match name {
            StateName::Filling(image) => Some(image),
            StateName::Load(_) => None,
        })
    }

    /// What is known of a filling image.
    pub(super) fn weight(&self, image: &Arc<str>) -> Option<PairWeight> {
        let name = StateName::Filling(Arc::clone(image));
        let (index, _, mean) = self.means.get_full(&name)?;
        Some(PairWeight {
            mean: *mean,
            variance: self.covariances[index][index],
        })
    }

    /// Takes a filling image's weight as known from elsewhere.
    pub(super) fn set_weight(&mut self, image: &Arc<str>, weight: PairWeight) {
        let index = self.index(StateName::Filling(Arc::clone(image)), weight);
        self.means[index] = weight.mean;
        for (other, row) in self.covariances.iter_mut().enumerate() {
            row[index] = if other == index { weight.variance } else { 0.0 };
        }
        let own = &mut self.covariances[index];
        own.fill(0.0);
        own[index] = weight.variance;
    }

    /// Takes the strain of one task beside a load.
    pub(super) fn learn(&mut self, now: BootTime, job: JobKey, strain: f64, load: &FillingLoad) {
        self.age(now);
        let own = self.index(StateName::Load(job), unseen_load());
        let mut parts = vec![(own, 1.0)];
        let mut stretch = 0.0;
        for (image, share) in load.iter().filter(|(_, share)| **share > LOAD_LEAST) {
            let name = StateName::Filling(Arc::clone(image));
            let index = self.index(name, PairWeight::UNSEEN);
            stretch += self.means[index] * share;
            parts.push((index, *share));
        }
        let expected = self.means[own] + stretch_strain(stretch);
        if strain.min(expected) >= STRAIN_FULL {
            return;
        }
        let slope = 1.0 / ((1.0 + stretch) * (1.0 + stretch));
        parts[1..].iter_mut().for_each(|part| part.1 *= slope);
        let error = strain.min(STRAIN_FULL) - expected.min(STRAIN_FULL);
        let mut noise = STRAIN_SPREAD * STRAIN_SPREAD;
        if strain > STRAIN_HIGH {
            noise += STRAIN_SPREAD_HIGH * STRAIN_SPREAD_HIGH;
        }
        self.correct(&parts, error, noise);
        self.trim();
    }

    /// Lets own loads become less certain with time.
    fn age(&mut self, now: BootTime) {
        let passed = now.saturating_since(self.seen_at);
        self.seen_at = now;
        let kept = (-passed.as_secs_f64() / LOAD_TIME.as_secs_f64()).exp();
        let unseen = unseen_load();
        for index in 0..self.means.len() {
            let is_load = matches!(self.means.get_index(index), Some((StateName::Load(_), _)));
            if !is_load {
                self.covariances[index][index] += WEIGHT_NOISE;
                continue;
            }
            self.means[index] = unseen.mean + (self.means[index] - unseen.mean) * kept;
            for other in 0..self.means.len() {
                self.covariances[index][other] *= kept;
                self.covariances[other][index] *= kept;
            }
            self.covariances[index][index] += unseen.variance * (1.0 - kept * kept);
        }
    }

    /// Position of a state, which is added if it is new.
    fn index(&mut self, name: StateName, unseen: PairWeight) -> usize {
        if let Some(index) = self.means.get_index_of(&name) {
            return index;
        }
        let index = self.means.len();
        self.means.insert(name, unseen.mean);
        self.covariances.iter_mut().for_each(|row| row.push(0.0));
        let mut row = vec![0.0; index + 1];
        row[index] = unseen.variance;
        self.covariances.push(row);
        index
    }

    /// Moves all states by an error of the expectation, which depends on `parts` of them.
    fn correct(&mut self, parts: &[(usize, f64)], error: f64, noise: f64) {
        let states = self.means.len();
        let shared: Vec<f64> = (0..states)
            .map(|state| {
                let row = &self.covariances[state];
                parts.iter().map(|(index, part)| row[*index] * part).sum()
            })
            .collect();
        let total: f64 = parts
            .iter()
            .map(|(index, part)| shared[*index] * part)
            .sum();
        let total = total + noise;
        for (state, (name, mean)) in self.means.iter_mut().enumerate() {
            let most = match name {
                StateName::Filling(_) => WEIGHT_MAX,
                StateName::Load(_) => 1.0,
            };
            *mean = (*mean + shared[state] / total * error).clamp(0.0, most);
        }
        for (state, row) in self.covariances.iter_mut().enumerate() {
            for (other, covariance) in row.iter_mut().enumerate() {
                *covariance -= shared[state] * shared[other] / total;
            }
        }
    }

    /// Forgets the oldest states beyond the bound.
    fn trim(&mut self) {
        while self.means.len() > STATES_MAX {
            self.means.shift_remove_index(0);
            self.covariances.remove(0);
            self.covariances.iter_mut().for_each(|row| {
                row.remove(0);
            });
        }
    }
}

/// An own load before its reports.
fn unseen_load() -> PairWeight {
    PairWeight {
        mean: LOAD_UNSEEN,
        variance: LOAD_SPREAD * LOAD_SPREAD,
    }
}
