//! Keeps the directory of live entries, to which agents announce their endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use guavavane_model::prelude::BootTime;
use guavavane_protocol::poll::EntryDirectory;
use guavavane_protocol::poll::EntryPoll;

/// Maximum number of entries.
const ENTRIES_MAX: usize = 256;

/// Entries by address, with the time of their last poll.
#[derive(Clone, Debug)]
pub struct EntryRegistry {
    led_since: BootTime,
    expiry: Duration,
    last_polls: IndexMap<SocketAddr, BootTime>,
}

impl EntryRegistry {
    /// Creates an empty registry for a leadership that began at `led_since`.
    pub fn new(led_since: BootTime, expiry: Duration) -> Self {
        Self {
            led_since,
            expiry,
            last_polls: IndexMap::new(),
        }
    }

    /// Records a poll, or removes an entry that shuts down. Returns `false` if the maximum number
    /// of entries is reached.
    pub fn record_poll(&mut self, now: BootTime, poll: &EntryPoll) -> bool {
        if poll.shutting_down {
            self.last_polls.swap_remove(&poll.address);
            return true;
        }
        if !self.last_polls.contains_key(&poll.address) && self.last_polls.len() >= ENTRIES_MAX {
            return false;
        }
        self.last_polls.insert(poll.address, now);
        true
    }

    /// Returns the directory of live entries, or `None` if `agent_digest` is its digest already.
    ///
    /// A new leader returns `None` until every live entry has had time to poll it: after an
    /// incomplete directory agents would stop announcing to healthy entries.
    pub fn directory(&mut self, now: BootTime, agent_digest: u64) -> Option<EntryDirectory> {
        if now.saturating_since(self.led_since) < self.expiry {
            return None;
        }
        let expiry = self.expiry;
        self.last_polls
            .retain(|_, last_poll| now.saturating_since(*last_poll) <= expiry);
        let mut addresses: Vec<SocketAddr> = self.last_polls.keys().copied().collect();
        addresses.sort_unstable();
        let digest = directory_digest(&addresses);
        (digest != agent_digest).then_some(EntryDirectory { digest, addresses })
    }
}

fn directory_digest(addresses: &[SocketAddr]) -> u64 {
    let text: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    xxh3_64(text.join(",").as_bytes())
}
