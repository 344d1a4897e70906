//! Entries that poll the leader, which agents announce their endpoints to.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use guavavane_model::prelude::BootTime;
use guavavane_protocol::poll::EntryDirectory;
use guavavane_protocol::poll::EntryPoll;

/// Most entries that are kept.
const ENTRIES_MAX: usize = 256;

/// Entries that polled within their expiry.
#[derive(Clone, Debug)]
pub struct EntryRegistry {
    led_since: BootTime,
    expiry: Duration,
    seen: IndexMap<SocketAddr, BootTime>,
}

impl EntryRegistry {
    /// An empty registry of a leadership that began at `led_since`.
    pub fn new(led_since: BootTime, expiry: Duration) -> Self {
        Self {
            led_since,
            expiry,
            seen: IndexMap::new(),
        }
    }

    /// Takes note of a poll; `false` if too many entries are kept.
    pub fn observe(&mut self, now: BootTime, poll: &EntryPoll) -> bool {
        if poll.leaving {
            self.seen.swap_remove(&poll.address);
            return true;
        }
        if !self.seen.contains_key(&poll.address) && self.seen.len() >= ENTRIES_MAX {
            return false;
        }
        self.seen.insert(poll.address, now);
        true
    }

    /// The entries, unless the agent has them already.
    ///
    /// A new leader gives none before each live entry has had time to poll it: an incomplete
    /// directory would make agents fall silent towards entries that are well.
    pub fn directory(&mut self, now: BootTime, known_digest: u64) -> Option<EntryDirectory> {
        if now.saturating_since(self.led_since) < self.expiry {
            return None;
        }
        let expiry = self.expiry;
        self.seen
            .retain(|_, seen| now.saturating_since(*seen) <= expiry);
        let mut addresses: Vec<SocketAddr> = self.seen.keys().copied().collect();
        addresses.sort_unstable();
        let digest = directory_digest(&addresses);
        (digest != known_digest).then_some(EntryDirectory { digest, addresses })
    }
}

fn directory_digest(addresses: &[SocketAddr]) -> u64 {
    let text: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    xxh3_64(text.join(",").as_bytes())
}
