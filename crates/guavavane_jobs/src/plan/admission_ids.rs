//! Remembers a bounded number of recent job IDs.
//!
//! Callers choose the IDs, so the number of different ones has no bound. The table keeps two
//! generations and drops the older one when the younger is full or old. Looking up an ID and recording
//! it cost the same for any number of IDs.

use indexmap::IndexMap;

use crate::identity::JobKey;

/// Most IDs of one generation.
const GENERATION_IDS_MAX: usize = 16_384;
/// Longest time for which a generation takes IDs, in milliseconds.
const GENERATION_TIME_MAX_MS: u64 = 120_000;

/// Table of recent IDs with a time of day each.
#[derive(Clone, Debug, Default)]
pub struct RecentIds {
    young: IndexMap<JobKey, u64>,
    old: IndexMap<JobKey, u64>,
    young_since_ms: u64,
}

impl RecentIds {
    /// Time that was recorded first for an ID; none if it is not known.
    pub fn first_time_ms(&self, key: JobKey) -> Option<u64> {
        let known = self.young.get(&key).or_else(|| self.old.get(&key));
        known.copied()
    }

    /// Records an ID and returns the time that was recorded first for it.
    pub fn record(&mut self, key: JobKey, now_ms: u64) -> u64 {
        let first_ms = self.first_time_ms(key).unwrap_or(now_ms);
        let age_ms = now_ms.saturating_sub(self.young_since_ms);
        if self.young.len() >= GENERATION_IDS_MAX || age_ms > GENERATION_TIME_MAX_MS {
            self.old = std::mem::take(&mut self.young);
            self.young_since_ms = now_ms;
        }
        self.young.insert(key, first_ms);
        first_ms
    }

    /// Drops an ID.
    pub fn forget(&mut self, key: JobKey) {
        self.young.swap_remove(&key);
        self.old.swap_remove(&key);
    }
}
