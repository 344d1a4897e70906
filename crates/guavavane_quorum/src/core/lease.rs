//! Leader lease, check-quorum and linearizable reads.
//!
//! The lease starts when the leader *sent* the latest heartbeat that a majority of voters has
//! answered, and ends a clock drift margin early. A follower that answered refuses votes for the
//! minimum election timeout from the later moment at which it *received* the heartbeat. That
//! timeout is longer than the lease, so no other replica can be elected while the lease is valid.

use super::ConsensusCore;
use super::CoreOutput;
use super::CoreRefusal;
use super::RequestId;
use super::RoleState;
use crate::entry::LogIndex;
use guavavane_model::time::BootTime;

/// Read that waits until a majority answers a request sent after the read was requested.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    pub(super) request_id: RequestId,
    /// Read index: the read waits until this entry is applied.
    pub(super) index: LogIndex,
    pub(super) requested_at: BootTime,
}

impl ConsensusCore {
    /// End of the leader's lease: no other replica can lead before that time.
    ///
    /// `None` unless this replica leads, has committed an entry of its term and does not transfer
    /// the leadership.
    pub fn lease_valid_until(&self) -> Option<BootTime> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        if self.commit < state.term_start_index || state.is_transferring() {
            return None;
        }
        Some(self.quorum_acked_sent_at()? + self.settings.usable_lease())
    }

    /// Time at which this replica was elected, if it leads.
    pub fn led_since(&self) -> Option<BootTime> {
        match &self.role {
            RoleState::Leader(state) => Some(state.led_since),
            _ => None,
        }
    }

    /// Latest send time whose request, or a later one, a majority of voters has answered.
    ///
    /// The leader counts itself with the time of its last tick or request; a sole voter is its
    /// own majority.
    fn quorum_acked_sent_at(&self) -> Option<BootTime> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        let mut times: Vec<Option<BootTime>> = Vec::new();
        for voter in self.members().voters() {
            if voter.id == self.id {
                times.push(Some(state.latest_time));
            } else {
                times.push(state.peers.get(&voter.id).and_then(|p| p.acked_sent_at));
            }
        }
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.members().quorum() - 1).copied().flatten()
    }

    /// Whether no majority has answered for the minimum election timeout (check-quorum).
    pub(super) fn has_lost_quorum(&self, now: BootTime) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        let answered = self.quorum_acked_sent_at().max(Some(state.led_since));
        answered.is_some_and(|at| now.saturating_since(at) > self.settings.election_timeout_min())
    }

    /// Answers a read at once during a lease; otherwise queues it for a round of heartbeats.
    pub(super) fn read(&mut self, now: BootTime, request_id: RequestId) {
        self.observe_time(now);
        let valid_until = self.lease_valid_until();
        let commit = self.commit;
        let queue_max = self.settings.read_queue;
        let RoleState::Leader(state) = &mut self.role else {
            return self.refuse(request_id, CoreRefusal::NotLeader);
        };
        // Reads are served only once the blank entry of the leader's term is committed.
        let index = commit.max(state.term_start_index);
        if valid_until.is_some_and(|until| now < until) {
            self.outputs
                .push(CoreOutput::ReadReady { request_id, index });
            return;
        }
        if state.reads.len() >= queue_max {
            return self.refuse(request_id, CoreRefusal::Overloaded);
        }
        state.reads.push_back(PendingRead {
            request_id,
            index,
            requested_at: now,
        });
        // A heartbeat is due at once: the answers to it confirm the read.
        state.next_heartbeat = now;
    }

    /// Completes the reads requested no later than the latest send time that a majority answered.
    pub(super) fn confirm_reads(&mut self) {
        let confirmed_at = self.quorum_acked_sent_at();
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        while let Some(read) = state.reads.front().copied() {
            if confirmed_at < Some(read.requested_at) {
                return;
            }
            state.reads.pop_front();
            self.outputs.push(CoreOutput::ReadReady {
                request_id: read.request_id,
                index: read.index,
            });
        }
    }
}
