//! Provides monotonic time since the boot of the machine, read from `CLOCK_BOOTTIME`.
//!
//! All decisions use this clock, never the wall clock, and take the time as an argument. The clock
//! also advances while the VM is suspended, so that a process that resumes sees its leases as
//! expired.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

use rustix::time::clock_gettime;
use rustix::time::ClockId;
use serde::Deserialize;
use serde::Serialize;

/// Time since the boot of one machine; times of different machines are not comparable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BootTime {
    micros: u64,
}

impl BootTime {
    /// Returns the time that is `micros` microseconds after boot.
    pub const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// Returns the time that is `millis` milliseconds after boot, or the largest time on overflow.
    pub const fn from_millis(millis: u64) -> Self {
        Self {
            micros: millis.saturating_mul(1_000),
        }
    }

    /// Returns the microseconds since boot.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }

    /// Returns the whole milliseconds since boot, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.micros / 1_000
    }

    /// Returns the duration from `earlier` to this time, or zero if `earlier` is later.
    #[must_use]
    pub fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(earlier.micros))
    }
}

impl Add<Duration> for BootTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: self.micros.saturating_add(micros),
        }
    }
}

impl fmt::Display for BootTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}us", self.micros)
    }
}

/// Clock that reads `CLOCK_BOOTTIME`.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the current time.
    pub fn now(self) -> BootTime {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        BootTime::from_micros(seconds * 1_000_000 + nanos / 1_000)
    }
}
