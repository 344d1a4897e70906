//! Time of day, which only orders jobs by deadline and releases occurrences of scheduled jobs.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The leader's time of day in milliseconds since 1970.
pub(super) fn time_of_day_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
