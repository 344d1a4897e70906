//! Times of the agent's clock on the clock of the platform's worker.

use std::time::Duration;

use guavavane_model::prelude::BootId;
use guavavane_model::prelude::BootTime;

/// Share of the time since a reading by which the clocks may have drifted apart, as a divisor.
const DRIFT_DIVISOR: u32 = 1_000;

/// A reading of the worker's clock.
///
/// The worker read its clock before the reply arrived, so a moment on its clock is at least
/// the reading plus the time since the arrival. Deadlines derived from it are early, never late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerClock {
    boot: BootId,
    reading_ms: u64,
    arrived: BootTime,
}

impl WorkerClock {
    /// A reading that arrived at `arrived`.
    pub fn new(boot: BootId, reading_ms: u64, arrived: BootTime) -> Self {
        Self {
            boot,
            reading_ms,
            arrived,
        }
    }

    /// Boot that the clock belongs to.
    pub fn boot(&self) -> BootId {
        self.boot
    }

    /// The latest time on the worker's clock that is surely not after `moment`, in ms.
    pub fn before(&self, moment: BootTime) -> u64 {
        if moment < self.arrived {
            return 0;
        }
        let since = moment.saturating_since(self.arrived);
        let certain = since.saturating_sub(since / DRIFT_DIVISOR);
        self.reading_ms.saturating_add(whole_millis(certain))
    }

    /// Age on the agent's clock at `now` of a moment on the worker's clock.
    pub fn age_ms(&self, now: BootTime, worker_ms: u64) -> u32 {
        let since = whole_millis(now.saturating_since(self.arrived));
        let age = self
            .reading_ms
            .saturating_add(since)
            .saturating_sub(worker_ms);
        u32::try_from(age).unwrap_or(u32::MAX)
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
