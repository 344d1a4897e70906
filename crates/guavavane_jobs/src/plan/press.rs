//! How much filling images slow down serving images.
//!
//! A serving task behaves like a queue. A tail latency gives its *strain*: 1 less the
//! unloaded tail divided by the tail. Filling tasks stretch the service time by a part that is
//! proportional to the processor that they use; in strain, a stretch of `x` adds
//! `x / (1 + x)` to the task's own load. How much a share stretches depends on the pair of
//! images. [`PressTable`] learns it from reports, which tell it apart from the tasks' own load
//! because all tasks of a job follow one load that changes slowly, while filling tasks come and
//! go on each worker.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use super::press_filter::ImageFilter;
use crate::identity::JobKey;
use guavavane_model::prelude::BootTime;

/// Part of its target that an unloaded serving task's tail takes.
const UNLOADED_PART: f64 = 0.2;
/// Stretch for a whole processor of a pair that was never seen: most pairs are either light or
/// strong.
const WEIGHT_UNSEEN: f64 = 1.9;
/// Spread of the stretch between pairs.
const WEIGHT_SPREAD: f64 = 1.9;
/// Stretch for a whole processor from which a pair is surely a strong one.
const WEIGHT_STRONG: f64 = 2.0;
/// Strain from which a tail no longer tells how much is added.
pub(super) const STRAIN_FULL: f64 = 0.95;

/// Shares of a worker's processor that its filling tasks use, by image.
pub type FillingLoad = IndexMap<Arc<str>, f64>;

/// Strain of a serving task whose tail and target are known.
pub fn strain(tail_ms: u64, target_ms: u64) -> f64 {
    let unloaded = target_ms as f64 * UNLOADED_PART;
    let tail = (tail_ms as f64).max(unloaded);
    if tail <= 0.0 {
        0.0
    } else {
        1.0 - unloaded / tail
    }
}

/// Strain at which a tail reaches its target.
pub fn strain_limit() -> f64 {
    1.0 - UNLOADED_PART
}

/// Strain that a stretch of the service time adds.
pub(super) fn stretch_strain(stretch: f64) -> f64 {
    stretch / (1.0 + stretch)
}

/// Stretch of the service time that adds this strain.
pub fn strain_stretch(strain: f64) -> f64 {
    let strain = strain.clamp(0.0, STRAIN_FULL);
    strain / (1.0 - strain)
}

/// Strain of a serving task, as a worker reported it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StrainSample {
    /// Its job: all tasks of a job follow one load.
    pub job: JobKey,
    /// What it runs.
    pub serving: Arc<str>,
    /// Its strain.
    pub strain: f64,
}

/// What is known of a pair of images.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownPair {
    /// Image that serves.
    pub serving: Arc<str>,
    /// Image that fills.
    pub filling: Arc<str>,
    /// What is known of it.
    pub weight: PairWeight,
}

/// Stretch of a serving image's service time by a filling image that uses a whole processor.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PairWeight {
    /// Expected stretch.
    pub mean: f64,
    /// Its variance.
    pub variance: f64,
}

impl PairWeight {
    /// A pair that was never seen.
    pub(super) const UNSEEN: Self = Self {
        mean: WEIGHT_UNSEEN,
        variance: WEIGHT_SPREAD * WEIGHT_SPREAD,
    };
}

/// Stretch that filling images cause in serving images, as learned from reports.
#[derive(Clone, Debug, Default)]
pub struct PressTable {
    filters: IndexMap<Arc<str>, ImageFilter>,
}

impl PressTable {
    /// What is known of a pair.
    pub fn pair(&self, serving: &Arc<str>, filling: &Arc<str>) -> PairWeight {
        let filter = self.filters.get(serving);
        let known = filter.and_then(|filter| filter.weight(filling));
        known.unwrap_or(PairWeight::UNSEEN)
    }

    /// Stretch that a filling image causes in a serving one, for a whole processor.
    pub fn weight(&self, serving: &Arc<str>, filling: &Arc<str>) -> f64 {
        self.pair(serving, filling).mean
    }

    /// How surely a filling image presses strongly on a serving one, from 0 to 1.
    pub fn presses(&self, serving: &Arc<str>, filling: &Arc<str>) -> f64 {
        (self.weight(serving, filling) / WEIGHT_STRONG).min(1.0)
    }

    /// Filling images that were seen beside serving ones.
    pub fn filling_images(&self) -> IndexSet<&Arc<str>> {
        let filters = self.filters.values();
        filters.flat_map(ImageFilter::filling_images).collect()
    }

    /// What is known of these pairs and was learned.
    pub fn known_pairs<'names>(
        &self,
        names: impl Iterator<Item = (&'names Arc<str>, &'names Arc<str>)>,
    ) -> Vec<KnownPair> {
        let known = names.filter_map(|(serving, filling)| {
            let weight = self.filters.get(serving)?.weight(filling)?;
            Some(KnownPair {
                serving: Arc::clone(serving),
                filling: Arc::clone(filling),
                weight,
            })
        });
        known.collect()
    }

    /// Takes what another table has learned in place of what this one knows.
    pub fn adopt(&mut self, pairs: Vec<KnownPair>) {
        for known in pairs {
            let filter = self.filters.entry(known.serving).or_default();
            filter.set_weight(&known.filling, known.weight);
        }
    }

    /// Takes what another table has learned of pairs that this one knows less of.
    pub fn adopt_better(&mut self, pairs: Vec<KnownPair>) {
        let better = pairs.into_iter().filter(|known| {
            let own = self.pair(&known.serving, &known.filling);
            known.weight.variance < own.variance
        });
        let better = better.collect();
        self.adopt(better);
    }

    /// All pairs that were learned.
    pub fn all_pairs(&self) -> Vec<KnownPair> {
        let filters = self.filters.iter();
        let names = filters.flat_map(|(serving, filter)| {
            let images = filter.filling_images();
            images.map(move |filling| (serving, filling))
        });
        self.known_pairs(names)
    }

    /// Stretch that filling tasks cause in a serving image.
    pub fn stretch(&self, serving: &Arc<str>, filling: &FillingLoad) -> f64 {
        let parts = filling
            .iter()
            .map(|(image, share)| self.weight(serving, image) * share);
        parts.sum()
    }

    /// Strain that filling tasks add to a serving image.
    pub fn added(&self, serving: &Arc<str>, filling: &FillingLoad) -> f64 {
        stretch_strain(self.stretch(serving, filling))
    }

    /// Learns from one report of a worker: strains of its serving tasks beside a load.
    pub fn learn(&mut self, now: BootTime, samples: &[StrainSample], load: &FillingLoad) {
        for sample in samples {
            let serving = Arc::clone(&sample.serving);
            let filter = self.filters.entry(serving).or_default();
            filter.learn(now, sample.job, sample.strain, load);
        }
    }
}
