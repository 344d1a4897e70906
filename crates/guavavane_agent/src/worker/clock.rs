//! Conversion of times on the agent's clock to times on the worker's clock.
//!
//! Let `c` be the worker's clock reading, `t0` the agent's time when the reading arrived, and
//! `1 / d` the largest relative drift between the clocks, with `d` = `CLOCK_DRIFT_DIVISOR`.
//! The worker's clock at the agent's time `t` is at least `c + (t - t0) * (1 - 1 / d)`.

use std::time::Duration;

use guavavane_model::prelude::BootId;
use guavavane_model::prelude::BootTime;

/// Largest relative drift between the clocks since a reading, as a divisor: 1/1000.
const CLOCK_DRIFT_DIVISOR: u32 = 1_000;

/// A reading of the worker's clock, used to bound later times on that clock from below.
///
/// The worker reads its clock before its reply arrives, so its clock has since advanced by at
/// least the time since the arrival. Deadlines derived from the bound are early, never late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerClock {
    boot: BootId,
    reading_ms: u64,
    received_at: BootTime,
}

impl WorkerClock {
    /// Creates a reading of `reading_ms` that the agent received at `received_at`.
    pub fn new(boot: BootId, reading_ms: u64, received_at: BootTime) -> Self {
        Self {
            boot,
            reading_ms,
            received_at,
        }
    }

    /// Boot of the worker since which its clock counts.
    pub fn boot(&self) -> BootId {
        self.boot
    }

    /// Lower bound of the worker's clock at `moment`, in ms since its boot; 0 if `moment` is
    /// before the reading arrived.
    pub fn lower_bound_ms(&self, moment: BootTime) -> u64 {
        if moment < self.received_at {
            return 0;
        }
        let elapsed = moment.saturating_since(self.received_at);
        let elapsed_min = elapsed.saturating_sub(elapsed / CLOCK_DRIFT_DIVISOR);
        self.reading_ms
            .saturating_add(saturating_millis(elapsed_min))
    }

    /// Age at `now` of the time `worker_ms` on the worker's clock, in ms.
    pub fn age_ms(&self, now: BootTime, worker_ms: u64) -> u32 {
        let elapsed_ms = saturating_millis(now.saturating_since(self.received_at));
        let age = self
            .reading_ms
            .saturating_add(elapsed_ms)
            .saturating_sub(worker_ms);
        u32::try_from(age).unwrap_or(u32::MAX)
    }
}

fn saturating_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
