//! When the agent announces its endpoints, and to which entries.

use std::net::SocketAddr;
use std::time::Duration;

use guavavane_model::prelude::BootTime;
use guavavane_protocol::prelude::EntryDirectory;

/// One round of announcements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncementRound {
    /// Sequence number of the announcements.
    pub sequence: u64,
    /// Entries to announce to.
    pub entries: Vec<SocketAddr>,
}

/// Plan of the announcements: regular, and at once after a change.
#[derive(Clone, Debug)]
pub struct AnnouncementPlan {
    interval: Duration,
    next: BootTime,
    sequence: u64,
    directory: EntryDirectory,
}

impl AnnouncementPlan {
    /// A plan without entries that announces every `interval`.
    pub fn new(now: BootTime, interval: Duration) -> Self {
        Self {
            interval,
            next: now,
            sequence: 0,
            directory: EntryDirectory {
                digest: 0,
                addresses: Vec::new(),
            },
        }
    }

    /// Takes the entries to announce to; they hear of the endpoints at once.
    pub fn set_entries(&mut self, now: BootTime, directory: EntryDirectory) {
        if self.directory != directory {
            self.directory = directory;
            self.next = now;
        }
    }

    /// The entries to announce to.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.directory.addresses
    }

    /// Announces at once, since the endpoints have changed.
    pub fn hasten(&mut self, now: BootTime) {
        self.next = self.next.min(now);
    }

    /// When the next round is due.
    pub fn next_due(&self) -> BootTime {
        self.next
    }

    /// The round that is due by `now`, if any.
    pub fn take_due(&mut self, now: BootTime) -> Option<AnnouncementRound> {
        if now < self.next {
            return None;
        }
        self.next = now + self.interval;
        self.sequence += 1;
        Some(AnnouncementRound {
            sequence: self.sequence,
            entries: self.directory.addresses.clone(),
        })
    }
}
