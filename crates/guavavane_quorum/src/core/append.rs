//! AppendEntries on the follower: consistency check, conflict removal and commit index.
//!
//! A request carries entries and the index and term of the entry before them. The follower
//! accepts the request only if its own log has that previous entry (log matching property);
//! otherwise it answers with the highest index at which the two logs may still agree.

use std::net::SocketAddr;

use super::ConsensusCore;
use crate::entry::LogEntry;
use crate::entry::LogIndex;
use crate::member::ReplicaId;
use crate::message::AppendRequest;
use crate::message::AppendResponse;
use crate::message::AppendResult;
use crate::message::MessageBody;

impl ConsensusCore {
    /// Handles entries or a heartbeat of the leader; the answer is sent after the next sync.
    pub(super) fn handle_append_request(
        &mut self,
        from: ReplicaId,
        address: SocketAddr,
        request: AppendRequest,
    ) {
        let sent_at = request.sent_at;
        let result = self.append_leader_entries(request);
        let body = MessageBody::AppendResponse(AppendResponse { result, sent_at });
        self.send(from, address, self.hard_state.term, body, true);
    }

    fn append_leader_entries(&mut self, request: AppendRequest) -> AppendResult {
        let prev_index = request.prev_index;
        if !self.matches_previous_entry(&request) {
            return AppendResult::Rejected {
                prev_index,
                last_possible_match: self.last_possible_match(prev_index),
            };
        }
        let match_index = LogIndex(prev_index.0 + request.entries.len() as u64);
        let is_present = |e: &LogEntry| self.has_entry(e.index, e);
        let present = request.entries.iter().take_while(|e| is_present(e)).count();
        let missing: Vec<LogEntry> = request.entries.into_iter().skip(present).collect();
        if let Some(first) = missing.first() {
            self.truncate_conflicting(first.index);
            self.append_entries(missing);
        }
        self.commit_through(request.commit.min(match_index));
        AppendResult::Accepted { match_index }
    }

    /// Whether the log has the entry that precedes the sent ones.
    fn matches_previous_entry(&self, request: &AppendRequest) -> bool {
        // Entries that a snapshot covers are committed, so the log of every later leader has them.
        request.prev_index < self.log.base_index()
            || self.log.term_at(request.prev_index) == Some(request.prev_term)
    }

    fn has_entry(&self, index: LogIndex, entry: &LogEntry) -> bool {
        index <= self.log.base_index() || self.log.term_at(index) == Some(entry.term)
    }

    /// Highest index before `prev_index` at which this log and the leader's may agree.
    fn last_possible_match(&self, prev_index: LogIndex) -> LogIndex {
        if self.log.last_index() < prev_index {
            return self.log.last_index();
        }
        let conflicting = self.log.term_at(prev_index);
        let mut index = prev_index.previous();
        while index > self.commit && self.log.term_at(index) == conflicting {
            index = index.previous();
        }
        index
    }

    /// Removes the entries from `from` on, which conflict with the leader's log.
    ///
    /// The next write replaces them on disk too.
    fn truncate_conflicting(&mut self, from: LogIndex) {
        if from > self.log.last_index() {
            return;
        }
        assert!(
            from > self.commit,
            "entry {from} is committed (up to {}) and must not be replaced",
            self.commit,
        );
        self.log.truncate(from);
        self.persisted = self.persisted.min(from.previous());
        while self.member_sets.len() > 1 {
            let newest = self.member_sets.back().map(|(index, _)| *index);
            if newest < Some(from) {
                return;
            }
            self.member_sets.pop_back();
        }
    }
}
