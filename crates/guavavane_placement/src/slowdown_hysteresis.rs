//! Decides by hysteresis when to act on the slowdown of a service.
//!
//! `slowdown_samples` consecutive samples above `slowdown_high_permille` call for mitigation. For
//! a service that was slow before, as many that are not above it call for recovery.

use indexmap::IndexMap;

use crate::event::LatencySample;
use crate::record::TaskAttempt;
use crate::settings::PlacementSettings;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::TaskId;

/// Action that a sample calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlowdownAction {
    /// The sample does not count, or there are too few consecutive ones on one side of the limit.
    NoAction,
    /// The service has been too slow for long enough to throttle or evict the batch task that slows
    /// it most.
    Mitigate,
    /// The service has been fast for long enough to consider less throttling.
    Recover,
}

/// Consecutive samples of a service task that was recently slow.
#[derive(Debug, Default)]
pub(crate) struct SlowdownEntry {
    high_samples: u32,
    low_samples: u32,
    /// End of the interval of the last counted sample.
    last_interval_end: BootTime,
    /// Time of the last action. Samples whose interval began earlier don't show its full effect
    /// and are not counted.
    pub(crate) last_action_at: BootTime,
    /// Tasks that are throttled for this service, the most recently throttled last.
    pub(crate) throttled: Vec<TaskAttempt>,
}

/// All service tasks that were recently slow.
#[derive(Debug, Default)]
pub(crate) struct SlowdownTable {
    entries: IndexMap<TaskId, SlowdownEntry>,
}

impl SlowdownTable {
    pub(crate) fn get_mut(&mut self, service: TaskId) -> Option<&mut SlowdownEntry> {
        self.entries.get_mut(&service)
    }

    /// Counts a sample, and returns the action that it calls for.
    pub(crate) fn count_sample(
        &mut self,
        sample: &LatencySample,
        settings: &PlacementSettings,
    ) -> SlowdownAction {
        let is_high = sample.slowdown_permille > settings.slowdown_high_permille;
        if !is_high && !self.entries.contains_key(&sample.task) {
            return SlowdownAction::NoAction;
        }
        let entry = self.entries.entry(sample.task).or_default();
        let interval = sample.interval;
        if interval.until <= entry.last_interval_end || interval.from < entry.last_action_at {
            return SlowdownAction::NoAction;
        }
        entry.last_interval_end = interval.until;
        entry.high_samples = if is_high { entry.high_samples + 1 } else { 0 };
        entry.low_samples = if is_high { 0 } else { entry.low_samples + 1 };
        if entry.high_samples >= settings.slowdown_samples {
            return SlowdownAction::Mitigate;
        }
        if entry.low_samples >= settings.slowdown_samples {
            return SlowdownAction::Recover;
        }
        SlowdownAction::NoAction
    }

    /// Records an action for a service, and starts the counts again.
    pub(crate) fn record_action(&mut self, now: BootTime, service: TaskId) {
        if let Some(entry) = self.entries.get_mut(&service) {
            entry.last_action_at = now;
            entry.high_samples = 0;
            entry.low_samples = 0;
        }
    }

    pub(crate) fn forget(&mut self, service: TaskId) -> Option<SlowdownEntry> {
        self.entries.swap_remove(&service)
    }
}
