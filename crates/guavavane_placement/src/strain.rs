//! Hysteresis between samples of a slow service and what is done about it.

use indexmap::IndexMap;

use crate::event::LatencySample;
use crate::record::TaskAttempt;
use crate::settings::PlacementSettings;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::TaskId;

/// What a sample calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StrainVerdict {
    /// Nothing yet.
    Wait,
    /// The service has been too slow for long enough.
    Relieve,
    /// The service has been fast enough for long enough to think of giving speed back.
    Relax,
}

/// A service task that was slow of late.
#[derive(Debug, Default)]
pub(crate) struct StrainEntry {
    high_samples: u32,
    low_samples: u32,
    /// End of the last interval that was counted.
    counted_until: BootTime,
    /// Samples of intervals that began earlier do not show what was done last.
    pub(crate) acted_at: BootTime,
    /// Tasks that are throttled for this service.
    pub(crate) throttled: Vec<TaskAttempt>,
}

/// All service tasks that were slow of late.
#[derive(Debug, Default)]
pub(crate) struct StrainTable {
    entries: IndexMap<TaskId, StrainEntry>,
}

impl StrainTable {
    pub(crate) fn get_mut(&mut self, service: TaskId) -> Option<&mut StrainEntry> {
        self.entries.get_mut(&service)
    }

    /// Counts a sample.
    pub(crate) fn count(
        &mut self,
        sample: &LatencySample,
        settings: &PlacementSettings,
    ) -> StrainVerdict {
        let is_high = sample.slowdown_permille > settings.slowdown_high_permille;
        if !is_high && !self.entries.contains_key(&sample.task) {
            return StrainVerdict::Wait;
        }
        let entry = self.entries.entry(sample.task).or_default();
        let interval = sample.interval;
        if interval.until <= entry.counted_until || interval.from < entry.acted_at {
            return StrainVerdict::Wait;
        }
        entry.counted_until = interval.until;
        entry.high_samples = if is_high { entry.high_samples + 1 } else { 0 };
        entry.low_samples = if is_high { 0 } else { entry.low_samples + 1 };
        if entry.high_samples >= settings.slowdown_samples {
            return StrainVerdict::Relieve;
        }
        if entry.low_samples >= settings.slowdown_samples {
            return StrainVerdict::Relax;
        }
        StrainVerdict::Wait
    }

    /// Notes that something was done for a service.
    pub(crate) fn note_action(&mut self, now: BootTime, service: TaskId) {
        if let Some(entry) = self.entries.get_mut(&service) {
            entry.acted_at = now;
            entry.high_samples = 0;
            entry.low_samples = 0;
        }
    }

    pub(crate) fn forget(&mut self, service: TaskId) -> Option<StrainEntry> {
        self.entries.swap_remove(&service)
    }
}
