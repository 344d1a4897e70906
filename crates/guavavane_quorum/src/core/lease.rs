//! Leader lease, check-quorum and linearizable reads.
//!
//! A lease counts from the moment that a heartbeat was *sent* which a majority answered, and
//! ends a drift margin early. Followers that answered refuse votes for the shortest election
//! timeout from the later moment at which they *received* it, and that timeout is longer.

use super::ConsensusCore;
use super::CoreOutcome;
use super::CoreRefusal;
use super::RequestTicket;
use super::RoleState;
use crate::entry::LogIndex;
use guavavane_model::time::BootTime;

/// A read that waits for a majority to answer something sent after it was asked.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    pub(super) ticket: RequestTicket,
    pub(super) index: LogIndex,
    pub(super) asked_at: BootTime,
}

impl ConsensusCore {
    /// Until when no other replica can lead, if this one leads and has committed in its term.
    pub fn lease_valid_until(&self) -> Option<BootTime> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        if self.commit < state.first_index || state.handing_over() {
            return None;
        }
        Some(self.quorum_sent_at()? + self.settings.usable_lease())
    }

    /// When this replica was elected, if it leads.
    pub fn led_since(&self) -> Option<BootTime> {
        match &self.role {
            RoleState::Leader(state) => Some(state.led_since),
            _ => None,
        }
    }

    /// Latest sending time that a majority of voters has answered.
    ///
    /// A sole voter is its own majority; its time is that of the last tick or request.
    fn quorum_sent_at(&self) -> Option<BootTime> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        let mut times: Vec<Option<BootTime>> = Vec::new();
        for voter in self.members().voters() {
            if voter.id == self.id {
                times.push(Some(state.latest));
            } else {
                times.push(state.peers.get(&voter.id).and_then(|p| p.acked_sent_at));
            }
        }
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.members().quorum() - 1).copied().flatten()
    }

    /// Whether a majority has been silent for an election timeout.
    pub(super) fn has_lost_quorum(&self, now: BootTime) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        let answered = self.quorum_sent_at().max(Some(state.led_since));
        answered.is_some_and(|at| now.saturating_since(at) > self.settings.election_timeout_min())
    }

    pub(super) fn read(&mut self, now: BootTime, ticket: RequestTicket) {
        self.note_now(now);
        let valid_until = self.lease_valid_until();
        let commit = self.commit;
        let queue_max = self.settings.read_queue;
        let RoleState::Leader(state) = &mut self.role else {
            return self.refuse(ticket, CoreRefusal::NotLeader);
        };
        let index = commit.max(state.first_index);
        if valid_until.is_some_and(|until| now < until) {
            self.outcomes.push(CoreOutcome::ReadReady { ticket, index });
            return;
        }
        if state.reads.len() >= queue_max {
            return self.refuse(ticket, CoreRefusal::Overloaded);
        }
        state.reads.push_back(PendingRead {
            ticket,
            index,
            asked_at: now,
        });
        state.next_heartbeat = now;
    }

    /// Releases the reads that a majority's answers have confirmed.
    pub(super) fn confirm_reads(&mut self) {
        let confirmed_at = self.quorum_sent_at();
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        while let Some(read) = state.reads.front().copied() {
            if confirmed_at < Some(read.asked_at) {
                return;
            }
            state.reads.pop_front();
            self.outcomes.push(CoreOutcome::ReadReady {
                ticket: read.ticket,
                index: read.index,
            });
        }
    }
}
