//! What the leader knows of another member.

use crate::entry::LogIndex;
use guavavane_model::time::BootTime;

/// How entries reach a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerFlow {
    /// The point of agreement is unknown: one message at a time.
    Probe { awaiting: bool },
    /// Entries are sent ahead of their acknowledgement.
    Replicate,
    /// The needed entries are gone: a snapshot is sent in chunks.
    Snapshot {
        index: LogIndex,
        offset: u64,
        sent_at: Option<BootTime>,
    },
}

/// Progress of one member.
#[derive(Clone, Debug)]
pub(super) struct PeerProgress {
    pub(super) match_index: LogIndex,
    pub(super) next_index: LogIndex,
    pub(super) flow: PeerFlow,
    /// Latest sending time, on this leader's clock, that the member has answered.
    pub(super) acked_sent_at: Option<BootTime>,
    /// When the member last answered, or when the leader began to count.
    pub(super) heard_at: BootTime,
}

impl PeerProgress {
    pub(super) fn new(now: BootTime, last_index: LogIndex) -> Self {
        Self {
            match_index: LogIndex(0),
            next_index: last_index.next(),
            flow: PeerFlow::Probe { awaiting: false },
            acked_sent_at: None,
            heard_at: now,
        }
    }

    pub(super) fn note_answer(&mut self, now: BootTime, sent_at: BootTime) {
        self.heard_at = now;
        self.acked_sent_at = self.acked_sent_at.max(Some(sent_at));
    }

    pub(super) fn note_match(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index.next());
        let lacks_snapshot = matches!(self.flow, PeerFlow::Snapshot { index, .. }
            if self.match_index < index);
        if !lacks_snapshot {
            self.flow = PeerFlow::Replicate;
        }
    }

    pub(super) fn note_reject(&mut self, prev_index: LogIndex, last_possible: LogIndex) {
        let stale = prev_index < self.match_index || prev_index >= self.next_index;
        if stale || matches!(self.flow, PeerFlow::Snapshot { .. }) {
            return;
        }
        let possible = last_possible.next().min(prev_index);
        self.next_index = possible.max(self.match_index.next());
        self.flow = PeerFlow::Probe { awaiting: false };
    }
}
