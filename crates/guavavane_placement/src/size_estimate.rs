//! Corrects declared sizes and run times by measured ones.
//!
//! A reservation is never less than the declared size, so that a correction can't overcommit a
//! worker; it is more if tasks of the same workload were measured to use more.

use indexmap::IndexMap;

use crate::index::KindIndex;
use guavavane_model::prelude::ResourceVector;

/// As declared.
const UNIT_PERMILLE: u64 = 1_000;

/// Largest reservation, in thousandths of the declared size.
const RAISE_MAX_PERMILLE: u64 = 2_000;

/// Samples over which a peak fades, and over which run times are averaged.
const FADING_SAMPLES: u64 = 16;

#[derive(Clone, Copy, Debug)]
struct KindMeasure {
    cpu_permille: u64,
    memory_permille: u64,
    run_permille: u64,
}

impl Default for KindMeasure {
    fn default() -> Self {
        Self {
            cpu_permille: UNIT_PERMILLE,
            memory_permille: UNIT_PERMILLE,
            run_permille: UNIT_PERMILLE,
        }
    }
}

/// What each workload was measured to use, against what was declared.
#[derive(Debug, Default)]
pub(crate) struct SizeEstimates {
    kinds: IndexMap<KindIndex, KindMeasure>,
}

fn ratio(measured: u64, declared: u64) -> u64 {
    match declared {
        0 => UNIT_PERMILLE,
        _ => measured.saturating_mul(UNIT_PERMILLE) / declared,
    }
}

/// Follows a rise at once and a fall slowly.
fn follow_peak(peak: u64, sample: u64) -> u64 {
    let faded = peak - peak.saturating_sub(sample) / FADING_SAMPLES;
    faded.max(sample)
}

fn scale(declared: u64, permille: u64) -> u64 {
    let permille = permille.clamp(UNIT_PERMILLE, RAISE_MAX_PERMILLE);
    declared.saturating_mul(permille) / UNIT_PERMILLE
}

impl SizeEstimates {
    pub(crate) fn record_usage(
        &mut self,
        kind: KindIndex,
        declared: &ResourceVector,
        used: &ResourceVector,
    ) {
        let measure = self.kinds.entry(kind).or_default();
        let cpu = ratio(used.cpu_millis, declared.cpu_millis);
        let memory = ratio(used.memory_mib, declared.memory_mib);
        measure.cpu_permille = follow_peak(measure.cpu_permille, cpu);
        measure.memory_permille = follow_peak(measure.memory_permille, memory);
    }

    pub(crate) fn record_run(&mut self, kind: KindIndex, expected_ms: u64, ran_ms: u64) {
        if expected_ms == 0 {
            return;
        }
        let measure = self.kinds.entry(kind).or_default();
        let weighted = measure.run_permille * (FADING_SAMPLES - 1);
        let sample = ratio(ran_ms, expected_ms).min(u64::from(u32::MAX));
        measure.run_permille = (weighted + sample) / FADING_SAMPLES;
    }

    /// What to reserve for a declared size.
    pub(crate) fn reservation(&self, kind: KindIndex, declared: &ResourceVector) -> ResourceVector {
        let Some(measure) = self.kinds.get(&kind) else {
            return *declared;
        };
        ResourceVector {
            cpu_millis: scale(declared.cpu_millis, measure.cpu_permille),
            memory_mib: scale(declared.memory_mib, measure.memory_permille),
            accelerators: declared.accelerators,
        }
    }

    /// Expected run time, in milliseconds.
    pub(crate) fn expected_run_ms(&self, kind: KindIndex, declared_ms: u64) -> u64 {
        let measure = self.kinds.get(&kind).copied().unwrap_or_default();
        declared_ms.saturating_mul(measure.run_permille) / UNIT_PERMILLE
    }
}
