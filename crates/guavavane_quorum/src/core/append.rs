//! What a follower does with the leader's entries.

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
    pub(super) fn answer_append(
        &mut self,
        from: ReplicaId,
        address: SocketAddr,
        request: AppendRequest,
    ) {
        let sent_at = request.sent_at;
        let result = self.take_entries(request);
        let body = MessageBody::AppendResponse(AppendResponse { result, sent_at });
        self.send(from, address, self.hard_state.term, body, true);
    }

    fn take_entries(&mut self, request: AppendRequest) -> AppendResult {
        let prev_index = request.prev_index;
        if !self.agrees_at(&request) {
            return AppendResult::Rejected {
                prev_index,
                last_possible: self.last_possible(prev_index),
            };
        }
        let match_index = LogIndex(prev_index.0 + request.entries.len() as u64);
        let kept = |e: &LogEntry| self.holds(e.index, e);
        let known = request.entries.iter().take_while(|e| kept(e)).count();
        let missing: Vec<LogEntry> = request.entries.into_iter().skip(known).collect();
        if let Some(first) = missing.first() {
            self.drop_conflict(first.index);
            self.append_entries(missing);
        }
        self.commit_through(request.commit.min(match_index));
        AppendResult::Accepted { match_index }
    }

    /// Whether the log holds the entry before the sent ones.
    fn agrees_at(&self, request: &AppendRequest) -> bool {
        // What a snapshot covers is committed, so it agrees with every later leader.
        request.prev_index < self.log.base_index()
            || self.log.term_at(request.prev_index) == Some(request.prev_term)
    }

    fn holds(&self, index: LogIndex, entry: &LogEntry) -> bool {
        index <= self.log.base_index() || self.log.term_at(index) == Some(entry.term)
    }

    /// Highest index before `prev_index` at which the logs may agree.
    fn last_possible(&self, prev_index: LogIndex) -> LogIndex {
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

    /// Removes entries that a leader has replaced; the next write replaces them on disk too.
    fn drop_conflict(&mut self, from: LogIndex) {
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
