//! Replication progress of one member, as the leader tracks it.

use crate::entry::LogIndex;
use guavavane_model::time::BootTime;

/// How the leader replicates entries to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplicationState {
    /// The last matching index is unknown: one request at a time is outstanding.
    Probe { awaiting_response: bool },
    /// Requests are pipelined: entries are sent before earlier ones are acknowledged.
    Replicate,
    /// The next entries were compacted: a snapshot is sent in chunks.
    Snapshot {
        /// Last index that the snapshot includes.
        index: LogIndex,
        /// Offset of the chunk that the member needs next.
        offset: u64,
        /// Send time of that chunk; `None` if it must be sent.
        sent_at: Option<BootTime>,
    },
}

/// Replication progress of one member.
#[derive(Clone, Debug)]
pub(super) struct PeerProgress {
    /// Highest index known to be durable on the member.
    pub(super) match_index: LogIndex,
    /// Index of the next entry to send.
    pub(super) next_index: LogIndex,
    pub(super) state: ReplicationState,
    /// Send time, on the leader's clock, of the latest request that the member has answered.
    pub(super) acked_sent_at: Option<BootTime>,
    /// Time of the member's last answer, or of the start of tracking before the first one.
    pub(super) last_heard_at: BootTime,
}

impl PeerProgress {
    pub(super) fn new(now: BootTime, last_index: LogIndex) -> Self {
        Self {
            match_index: LogIndex(0),
            next_index: last_index.next(),
            state: ReplicationState::Probe {
                awaiting_response: false,
            },
            acked_sent_at: None,
            last_heard_at: now,
        }
    }

    pub(super) fn record_response(&mut self, now: BootTime, sent_at: BootTime) {
        self.last_heard_at = now;
        self.acked_sent_at = self.acked_sent_at.max(Some(sent_at));
    }

    /// Raises the match index and resumes pipelining unless a snapshot is still needed.
    pub(super) fn record_match(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index.next());
        let needs_snapshot = matches!(self.state, ReplicationState::Snapshot { index, .. }
            if self.match_index < index);
        if !needs_snapshot {
            self.state = ReplicationState::Replicate;
        }
    }

    /// Lowers the next index after a failed consistency check.
    pub(super) fn record_rejection(&mut self, prev_index: LogIndex, last_possible_match: LogIndex) {
        let stale = prev_index < self.match_index || prev_index >= self.next_index;
        if stale || matches!(self.state, ReplicationState::Snapshot { .. }) {
            return;
        }
        let possible = last_possible_match.next().min(prev_index);
        self.next_index = possible.max(self.match_index.next());
        self.state = ReplicationState::Probe {
            awaiting_response: false,
        };
    }
}
