//! Estimates how much one workload slows another, for each band of load.
//!
//! The excess y of a service's slowdown over its latency target is modelled as
//!
//! ```text
//! y = b + sum over n of x(n) * e(n)
//! ```
//!
//! where b is the service's baseline excess in its load band, e(n) the excess that neighbour n
//! causes in that band, and x(n) the fraction of the interval in which n ran times its CPU share.
//! Normalised least mean squares (Widrow and Hoff 1960) fits b and e(n), one sample at a time.
//! Without samples, e(n) decays to a small prior and b to zero, with a half-life.
//!
//! The level of the slowdown can't tell apart neighbours that always run together; each of them
//! gets an equal part of the unexplained excess. Changes tell them apart: when a task starts,
//! leaves or is throttled, the difference of two samples is fitted to the differences of x(n).

use indexmap::IndexMap;

use crate::index::KindIndex;
use crate::settings::PlacementSettings;
use guavavane_model::prelude::BootTime;

/// Prior excess of a neighbour without samples, as a fraction.
const PRIOR_EXCESS: f32 = 0.03;

/// Maximum excess that is estimated for one neighbour.
const EXCESS_MAX: f32 = 16.0;

/// Step size of the fit to samples; at one, the estimates would follow each sample in full.
const LEARNING_RATE: f32 = 0.3;

/// Step size of the fit to changes.
const CHANGE_LEARNING_RATE: f32 = 0.5;

/// Minimum squared norm of the change of neighbour shares that is fitted.
const CHANGE_SQUARED_MIN: f32 = 0.05;

/// Weight of the baseline in the fit, relative to a neighbour with a share of one.
const BASELINE_WEIGHT: f32 = 0.3;

/// Weight of a new sample in the moving average of a service's load.
const LOAD_SMOOTHING_FACTOR: f32 = 0.2;

/// Number of load bands.
const LOAD_BANDS: u8 = 4;

/// Width of a load band, in thousandths of full load.
const LOAD_BAND_WIDTH_PERMILLE: f32 = 250.0;

/// Band of a service's load, from zero; the last one has no upper end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LoadBand(u8);

impl LoadBand {
    /// Returns the band of a load in thousandths of full load.
    pub(crate) fn of(load_permille: f32) -> Self {
        let band = (load_permille / LOAD_BAND_WIDTH_PERMILLE) as u8;
        Self(band.min(LOAD_BANDS - 1))
    }
}

/// Share of a neighbour in the interval of a sample: time fraction times CPU share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NeighbourShare {
    pub(crate) kind: KindIndex,
    /// Sum over the tasks of the workload; one for a task that ran unthrottled throughout.
    pub(crate) share: f32,
}

/// Excess slowdown of a service with the neighbours to which it is attributed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttributedSample<'a> {
    pub(crate) service: KindIndex,
    pub(crate) load_permille: u32,
    /// Slowdown beyond the latency target, as a fraction of the target.
    pub(crate) excess: f32,
    pub(crate) neighbours: &'a [NeighbourShare],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PairKey {
    service: KindIndex,
    /// Workload of the neighbour, or `None` for the service's baseline.
    neighbour: Option<KindIndex>,
}

#[derive(Clone, Copy, Debug)]
struct PairEstimate {
    excess: f32,
    updated: BootTime,
}

/// Estimates of a pair in each load band; `None` in a band without samples.
type BandEstimates = [Option<PairEstimate>; LOAD_BANDS as usize];

/// Estimates of all pairs, and the average load of each service.
#[derive(Debug)]
pub(crate) struct InterferenceEstimates {
    pairs: IndexMap<PairKey, BandEstimates>,
    loads: IndexMap<KindIndex, f32>,
    half_life_ms: f32,
    pairs_max: usize,
}

impl InterferenceEstimates {
    pub(crate) fn new(settings: &PlacementSettings) -> Self {
        Self {
            pairs: IndexMap::new(),
            loads: IndexMap::new(),
            half_life_ms: settings.estimate_half_life_ms.max(1) as f32,
            pairs_max: settings.estimates_max.max(1),
        }
    }

    /// Fits the baseline and the neighbours' estimates to one sample.
    pub(crate) fn fit_sample(&mut self, now: BootTime, sample: &AttributedSample<'_>) {
        let load = sample.load_permille as f32;
        let known = *self.loads.entry(sample.service).or_insert(load);
        self.loads.insert(
            sample.service,
            known + LOAD_SMOOTHING_FACTOR * (load - known),
        );
        let band = LoadBand::of(load);
        let baseline = PairKey {
            service: sample.service,
            neighbour: None,
        };
        let mut predicted = self.current_excess(now, baseline, band, 0.0);
        let mut norm = BASELINE_WEIGHT;
        let clamped_share = |neighbour: &NeighbourShare| neighbour.share.min(1.0);
        for neighbour in sample.neighbours {
            let key = baseline.with(neighbour.kind);
            predicted += neighbour.share * self.current_excess(now, key, band, PRIOR_EXCESS);
            norm += neighbour.share * clamped_share(neighbour);
        }
        let step = LEARNING_RATE * (sample.excess - predicted) / norm;
        self.adjust(now, baseline, band, 0.0, step * BASELINE_WEIGHT);
        for neighbour in sample.neighbours {
            let key = baseline.with(neighbour.kind);
            self.adjust(
                now,
                key,
                band,
                PRIOR_EXCESS,
                step * clamped_share(neighbour),
            );
        }
    }

    /// Fits the neighbours' estimates to the change between two samples of a task, if both are in
    /// the same load band.
    pub(crate) fn fit_change(
        &mut self,
        now: BootTime,
        before: &AttributedSample<'_>,
        after: &AttributedSample<'_>,
    ) {
        let band = LoadBand::of(after.load_permille as f32);
        if band != LoadBand::of(before.load_permille as f32) {
            return;
        }
        let baseline = PairKey {
            service: after.service,
            neighbour: None,
        };
        let changes = share_changes(before.neighbours, after.neighbours);
        let norm: f32 = changes
            .iter()
            .map(|change| change.share * change.share)
            .sum();
        if norm < CHANGE_SQUARED_MIN {
            return;
        }
        let predicted = changes.iter().map(|change| {
            let key = baseline.with(change.kind);
            change.share * self.current_excess(now, key, band, PRIOR_EXCESS)
        });
        let error = after.excess - before.excess - predicted.sum::<f32>();
        let step = CHANGE_LEARNING_RATE * error / norm.max(1.0);
        for change in changes {
            let key = baseline.with(change.kind);
            self.adjust(now, key, band, PRIOR_EXCESS, step * change.share);
        }
    }

    fn adjust(&mut self, now: BootTime, key: PairKey, band: LoadBand, prior: f32, change: f32) {
        let excess = self.current_excess(now, key, band, prior) + change;
        let excess = excess.clamp(0.0, EXCESS_MAX);
        if self.pairs.len() >= self.pairs_max && !self.pairs.contains_key(&key) {
            self.pairs.swap_remove_index(0);
        }
        let bands = self.pairs.entry(key).or_default();
        let updated = now;
        bands[usize::from(band.0)] = Some(PairEstimate { excess, updated });
    }

    /// Returns an estimate after its decay since the last sample, or `prior` without samples.
    fn current_excess(&self, now: BootTime, key: PairKey, band: LoadBand, prior: f32) -> f32 {
        let bands = self.pairs.get(&key);
        let estimate = bands.and_then(|bands| bands[usize::from(band.0)]);
        estimate.map_or(prior, |estimate| self.decayed(now, &estimate, prior))
    }

    fn decayed(&self, now: BootTime, estimate: &PairEstimate, prior: f32) -> f32 {
        let age = now.saturating_since(estimate.updated);
        let half_lives = age.as_millis() as f32 / self.half_life_ms;
        prior + (estimate.excess - prior) * (-half_lives).exp2()
    }

    /// Predicts the excess that an unthrottled neighbour causes a service at its average load.
    pub(crate) fn predict(&self, now: BootTime, service: KindIndex, neighbour: KindIndex) -> f32 {
        let load = self.loads.get(&service).copied();
        let Some(load) = load else {
            return PRIOR_EXCESS;
        };
        let key = PairKey {
            service,
            neighbour: Some(neighbour),
        };
        let Some(known) = self.pairs.get(&key) else {
            return PRIOR_EXCESS;
        };
        // A band without samples uses the nearest lower band with samples, then the nearest higher.
        let band = usize::from(LoadBand::of(load).0);
        let lower = known[..=band].iter().rev();
        let higher = known[band + 1..].iter();
        let mut estimates = lower.chain(higher).flatten();
        let estimate = estimates.next();
        estimate.map_or(PRIOR_EXCESS, |estimate| {
            self.decayed(now, estimate, PRIOR_EXCESS)
        })
    }
}

/// Differences of the neighbours' shares between two samples.
fn share_changes(before: &[NeighbourShare], after: &[NeighbourShare]) -> Vec<NeighbourShare> {
    let mut changes = after.to_vec();
    for earlier in before {
        let mut known = changes.iter_mut();
        match known.find(|change| change.kind == earlier.kind) {
            Some(change) => change.share -= earlier.share,
            None => changes.push(NeighbourShare {
                share: -earlier.share,
                ..*earlier
            }),
        }
    }
    changes
}

impl PairKey {
    fn with(self, neighbour: KindIndex) -> Self {
        let neighbour = Some(neighbour);
        Self { neighbour, ..self }
    }
}
