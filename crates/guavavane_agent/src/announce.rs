//! Schedule of the announcements of the agent's endpoints to the entries.

use std::net::SocketAddr;
use std::time::Duration;

use guavavane_model::prelude::BootTime;
use guavavane_protocol::prelude::EntryDirectory;

/// One round of announcements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncementRound {
    /// Sequence number of the announcements.
    pub sequence: u64,
    /// Addresses of the entries that receive the announcement.
    pub entries: Vec<SocketAddr>,
}

/// Schedule of the announcements: at a fixed interval, and at once after a change.
#[derive(Clone, Debug)]
pub struct AnnouncementSchedule {
    interval: Duration,
    next_round_at: BootTime,
    sequence: u64,
    directory: EntryDirectory,
}

impl AnnouncementSchedule {
    /// Creates a schedule without entries; the first round is due at `now`, the next ones every
    /// `interval`.
    pub fn new(now: BootTime, interval: Duration) -> Self {
        Self {
            interval,
            next_round_at: now,
            sequence: 0,
            directory: EntryDirectory {
                digest: 0,
                addresses: Vec::new(),
            },
        }
    }

    /// Sets the entries to announce to; if they changed, the next round is due at once.
    pub fn set_entries(&mut self, now: BootTime, directory: EntryDirectory) {
        if self.directory != directory {
            self.directory = directory;
            self.next_round_at = now;
        }
    }

    /// Addresses of the entries that receive announcements.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.directory.addresses
    }

    /// Makes the next round due at once, after a change of the endpoints.
    pub fn announce_now(&mut self, now: BootTime) {
        self.next_round_at = self.next_round_at.min(now);
    }

    /// When the next round is due.
    pub fn next_due(&self) -> BootTime {
        self.next_round_at
    }

    /// Starts the round that is due by `now`, if any, and schedules the next one.
    pub fn take_due(&mut self, now: BootTime) -> Option<AnnouncementRound> {
        if now < self.next_round_at {
            return None;
        }
        self.next_round_at = now + self.interval;
        self.sequence += 1;
        Some(AnnouncementRound {
            sequence: self.sequence,
            entries: self.directory.addresses.clone(),
        })
    }
}
