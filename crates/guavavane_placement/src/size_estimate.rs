//! Corrects declared sizes and run times by measurements of the same workload.
//!
//! A reservation is never less than the declared size, so that a correction can't overcommit a
//! worker. It is more if tasks of the same workload were measured to use more.

use indexmap::IndexMap;

use crate::index::KindIndex;
use guavavane_model::prelude::ResourceVector;

/// Ratio of a measurement that equals the declaration.
const DECLARED_PERMILLE: u64 = 1_000;

/// Maximum reservation, in thousandths of the declared size.
const RESERVATION_MAX_PERMILLE: u64 = 2_000;

/// Samples over which a peak decays and over which run times are averaged.
const DECAY_SAMPLES: u64 = 16;

/// Measured usage and run time of a workload, in thousandths of the declared ones.
#[derive(Clone, Copy, Debug)]
struct UsageRatios {
    cpu_permille: u64,
    memory_permille: u64,
    run_permille: u64,
}

impl Default for UsageRatios {
    fn default() -> Self {
        Self {
            cpu_permille: DECLARED_PERMILLE,
            memory_permille: DECLARED_PERMILLE,
            run_permille: DECLARED_PERMILLE,
        }
    }
}

/// Ratios of measured to declared sizes and run times, for each workload.
#[derive(Debug, Default)]
pub(crate) struct SizeEstimates {
    kinds: IndexMap<KindIndex, UsageRatios>,
}

fn ratio_permille(measured: u64, declared: u64) -> u64 {
    match declared {
        0 => DECLARED_PERMILLE,
        _ => measured.saturating_mul(DECLARED_PERMILLE) / declared,
    }
}

/// Returns a peak that follows a rise at once and decays slowly.
fn decay_peak(peak: u64, sample: u64) -> u64 {
    let decayed = peak - peak.saturating_sub(sample) / DECAY_SAMPLES;
    decayed.max(sample)
}

fn scale_reservation(declared: u64, permille: u64) -> u64 {
    let permille = permille.clamp(DECLARED_PERMILLE, RESERVATION_MAX_PERMILLE);
    declared.saturating_mul(permille) / DECLARED_PERMILLE
}

impl SizeEstimates {
    pub(crate) fn record_usage(
        &mut self,
        kind: KindIndex,
        declared: &ResourceVector,
        used: &ResourceVector,
    ) {
        let ratios = self.kinds.entry(kind).or_default();
        let cpu = ratio_permille(used.cpu_millis, declared.cpu_millis);
        let memory = ratio_permille(used.memory_mib, declared.memory_mib);
        ratios.cpu_permille = decay_peak(ratios.cpu_permille, cpu);
        ratios.memory_permille = decay_peak(ratios.memory_permille, memory);
    }

    pub(crate) fn record_run(&mut self, kind: KindIndex, expected_ms: u64, ran_ms: u64) {
        if expected_ms == 0 {
            return;
        }
        let ratios = self.kinds.entry(kind).or_default();
        let weighted = ratios.run_permille * (DECAY_SAMPLES - 1);
        let sample = ratio_permille(ran_ms, expected_ms).min(u64::from(u32::MAX));
        ratios.run_permille = (weighted + sample) / DECAY_SAMPLES;
    }

    /// Capacity to reserve for a declared size: one to two times that size.
    pub(crate) fn reservation_size(
        &self,
        kind: KindIndex,
        declared: &ResourceVector,
    ) -> ResourceVector {
        let Some(ratios) = self.kinds.get(&kind) else {
            return *declared;
        };
        ResourceVector {
            cpu_millis: scale_reservation(declared.cpu_millis, ratios.cpu_permille),
            memory_mib: scale_reservation(declared.memory_mib, ratios.memory_permille),
            accelerators: declared.accelerators,
        }
    }

    /// Declared run time corrected by measured ones, in milliseconds.
    pub(crate) fn expected_run_ms(&self, kind: KindIndex, declared_ms: u64) -> u64 {
        let ratios = self.kinds.get(&kind).copied().unwrap_or_default();
        declared_ms.saturating_mul(ratios.run_permille) / DECLARED_PERMILLE
    }
}
