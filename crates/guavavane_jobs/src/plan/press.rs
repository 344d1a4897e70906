//! How much filling images slow down serving images.
//!
//! A serving task behaves like a queue: its tail latency is its unloaded latency divided by
//! what is left of its throughput. So a tail gives a *strain*, the used part of the throughput
//! from 0 to 1, and filling tasks add to the strain in proportion to their number and pace.
//! How much one adds depends on the pair of images; it is learned from what the strain does
//! when filling tasks come, go or change their pace, since that tells it apart from the
//! serving task's own load, which changes more slowly.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// Part of its target that an unloaded serving task's tail takes, before lower ones are seen.
const UNLOADED_PART: f64 = 0.2;
/// Strain that one task of a pair adds that was never seen.
const WEIGHT_UNSEEN: f64 = 0.12;
/// Most that one task adds.
const WEIGHT_MAX: f64 = 0.6;
/// Part of an error that a change corrects at the least, so that a pair may change.
const LEARN_RATE_LEAST: f64 = 0.2;
/// Strain from which a tail no longer tells how much is added.
const STRAIN_FULL: f64 = 0.95;

/// Filling tasks on a worker: for each image the sum of their paces, where 1 is one task.
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

/// What the strain of one serving image did when filling tasks changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StrainChange {
    /// Image of the serving tasks.
    pub serving: Arc<str>,
    /// Strain before.
    pub before: f64,
    /// Strain after.
    pub after: f64,
    /// What changed of the filling tasks.
    pub changes: FillingLoad,
}

/// What one pair has shown.
#[derive(Clone, Copy, Debug)]
struct PairWeight {
    weight: f64,
    seen: f64,
}

/// Strain that filling images add to serving images.
#[derive(Clone, Debug, Default)]
pub struct PressTable {
    pairs: IndexMap<(Arc<str>, Arc<str>), PairWeight>,
}

impl PressTable {
    /// Strain that one filling task at full pace adds to a serving one.
    pub fn weight(&self, serving: &Arc<str>, filling: &Arc<str>) -> f64 {
        self.pair(serving, filling).weight
    }

    fn pair(&self, serving: &Arc<str>, filling: &Arc<str>) -> PairWeight {
        let key = (Arc::clone(serving), Arc::clone(filling));
        self.pairs.get(&key).copied().unwrap_or(PairWeight {
            weight: WEIGHT_UNSEEN,
            seen: 0.0,
        })
    }

    /// Every pair that was seen, with its weight and how much it was seen.
    pub fn pairs(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>, f64, f64)> {
        let pairs = self.pairs.iter();
        pairs.map(|((serving, filling), pair)| (serving, filling, pair.weight, pair.seen))
    }

    /// Strain that filling tasks add to a serving image.
    pub fn added(&self, serving: &Arc<str>, filling: &FillingLoad) -> f64 {
        let parts = filling
            .iter()
            .map(|(image, tasks)| self.weight(serving, image) * tasks);
        parts.sum()
    }

    /// Learns from a change.
    pub fn learn(&mut self, change: &StrainChange) {
        if change.before.min(change.after) >= STRAIN_FULL {
            return;
        }
        let energy: f64 = change.changes.values().map(|tasks| tasks * tasks).sum();
        if energy < 0.05 {
            return;
        }
        let seen = change.after - change.before;
        let error = seen - self.added(&change.serving, &change.changes);
        for (image, tasks) in &change.changes {
            let mut pair = self.pair(&change.serving, image);
            let rate = (1.0 / (pair.seen + 2.0)).max(LEARN_RATE_LEAST);
            let weight = pair.weight + rate * error * tasks / energy;
            pair.weight = weight.clamp(0.0, WEIGHT_MAX);
            pair.seen += tasks * tasks / energy;
            let key = (Arc::clone(&change.serving), Arc::clone(image));
            self.pairs.insert(key, pair);
        }
    }
}
