//! What a leader does: heartbeats, replication, proposals, commits and handing over.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;

use super::lease::PendingRead;
use super::peer::PeerFlow;
use super::peer::PeerProgress;
use super::ConsensusCore;
use super::CoreOutcome;
use super::CoreRefusal;
use super::RequestTicket;
use super::RoleState;
use crate::entry::EntryPayload;
use crate::entry::LogEntry;
use crate::entry::LogIndex;
use crate::member::MemberSet;
use crate::member::ReplicaId;
use crate::message::AppendRequest;
use crate::message::AppendResponse;
use crate::message::AppendResult;
use crate::message::MessageBody;
use guavavane_model::time::BootTime;

/// A handover of the leadership that waits for its target to have the whole log.
#[derive(Clone, Copy, Debug)]
struct PendingTransfer {
    target: ReplicaId,
    deadline: BootTime,
}

/// State of a leader, valid for one term.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) led_since: BootTime,
    /// Index of the blank entry that opened the term.
    pub(super) first_index: LogIndex,
    pub(super) peers: IndexMap<ReplicaId, PeerProgress>,
    pub(super) reads: VecDeque<PendingRead>,
    pub(super) next_heartbeat: BootTime,
    /// Latest time that was passed in.
    pub(super) latest: BootTime,
    transfer: Option<PendingTransfer>,
}

impl LeaderState {
    pub(super) fn new(now: BootTime, first_index: LogIndex) -> Self {
        Self {
            led_since: now,
            first_index,
            peers: IndexMap::new(),
            reads: VecDeque::new(),
            next_heartbeat: now,
            latest: now,
            transfer: None,
        }
    }

    pub(super) fn handing_over(&self) -> bool {
        self.transfer.is_some()
    }

    /// Starts to follow the progress of new members and forgets removed ones.
    pub(super) fn match_members(
        &mut self,
        now: BootTime,
        members: &MemberSet,
        own: ReplicaId,
        last_index: LogIndex,
    ) {
        self.peers.retain(|id, _| members.get(*id).is_some());
        for member in members.iter().filter(|m| m.id != own) {
            self.peers
                .entry(member.id)
                .or_insert_with(|| PeerProgress::new(now, last_index));
        }
    }
}

impl ConsensusCore {
    pub(super) fn note_now(&mut self, now: BootTime) {
        if let RoleState::Leader(state) = &mut self.role {
            state.latest = state.latest.max(now);
        }
    }

    pub(super) fn tick_leader(&mut self, now: BootTime) {
        self.note_now(now);
        if self.has_lost_quorum(now) {
            return self.step_down(now, self.hard_state.term);
        }
        if let RoleState::Leader(state) = &mut self.role {
            state.transfer = state.transfer.filter(|t| now < t.deadline);
        }
        self.confirm_reads();
        let heartbeat = self.settings.heartbeat();
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        if now < state.next_heartbeat {
            return;
        }
        state.next_heartbeat = now + heartbeat;
        self.repair_members(now);
        self.send_heartbeats(now);
    }

    fn send_heartbeats(&mut self, now: BootTime) {
        for id in self.peer_ids() {
            match self.peer_mut(id).map(|p| p.flow) {
                Some(PeerFlow::Probe { .. }) => self.send_probe(now, id),
                Some(PeerFlow::Replicate) => self.send_entries_or_none(now, id),
                Some(PeerFlow::Snapshot { .. }) => {
                    self.send_append(now, id, Vec::new());
                    self.send_chunk(now, id);
                }
                None => {}
            }
        }
    }

    fn send_entries_or_none(&mut self, now: BootTime, id: ReplicaId) {
        if !self.send_entries(now, id) {
            self.send_append(now, id, Vec::new());
        }
    }

    /// Sends what was appended since the last call, as far as each member's window allows.
    pub(super) fn replicate(&mut self, now: BootTime) {
        self.note_now(now);
        let due = match &self.role {
            RoleState::Leader(state) => now >= state.next_heartbeat,
            _ => return,
        };
        if due {
            return self.tick_leader(now);
        }
        for id in self.peer_ids() {
            match self.peer_mut(id).map(|p| p.flow) {
                Some(PeerFlow::Probe { awaiting: false }) => self.send_probe(now, id),
                Some(PeerFlow::Replicate) => {
                    self.send_entries(now, id);
                }
                Some(PeerFlow::Snapshot { .. }) => self.send_chunk(now, id),
                _ => {}
            }
        }
    }

    fn send_probe(&mut self, now: BootTime, id: ReplicaId) {
        let base = self.log.base_index();
        let bytes = self.settings.message_bytes_max;
        let Some(peer) = self.peer_mut(id) else {
            return;
        };
        if peer.next_index <= base {
            return self.begin_snapshot(now, id);
        }
        peer.flow = PeerFlow::Probe { awaiting: true };
        let next = peer.next_index;
        let entries = self.log.slice(next, self.settings.in_flight_entries, bytes);
        self.send_append(now, id, entries);
    }

    /// Sends entries ahead of their acknowledgement; returns whether there were any.
    fn send_entries(&mut self, now: BootTime, id: ReplicaId) -> bool {
        let mut sent = false;
        loop {
            let base = self.log.base_index();
            let Some(peer) = self.peer_mut(id) else {
                return sent;
            };
            let next = peer.next_index;
            let in_flight = next.0 - peer.match_index.0 - 1;
            if next <= base {
                self.begin_snapshot(now, id);
                return true;
            }
            let room = self.settings.in_flight_entries.saturating_sub(in_flight);
            let bytes = self.settings.message_bytes_max;
            let entries = self.log.slice(next, room, bytes);
            let Some(last) = entries.last().map(|e| e.index) else {
                return sent;
            };
            self.send_append(now, id, entries);
            if let Some(peer) = self.peer_mut(id) {
                peer.next_index = last.next();
            }
            sent = true;
        }
    }

    fn send_append(&mut self, now: BootTime, id: ReplicaId, entries: Vec<LogEntry>) {
        let commit = self.commit;
        let Some(peer) = self.peer_mut(id) else {
            return;
        };
        let prev_index = match peer.flow {
            PeerFlow::Snapshot { .. } => commit,
            _ => peer.next_index.previous(),
        };
        let Some(prev_term) = self.log.term_at(prev_index) else {
            return;
        };
        let request = AppendRequest {
            prev_index,
            prev_term,
            entries,
            commit,
            sent_at: now,
        };
        self.send_to(id, MessageBody::AppendRequest(request), false);
    }

    pub(super) fn propose(&mut self, now: BootTime, ticket: RequestTicket, command: Arc<[u8]>) {
        self.note_now(now);
        let outstanding = self.log.last_index().0 - self.commit.0;
        match &self.role {
            RoleState::Leader(state) if !state.handing_over() => {}
            _ => return self.refuse(ticket, CoreRefusal::NotLeader),
        }
        if outstanding >= self.settings.in_flight_entries {
            return self.refuse(ticket, CoreRefusal::Overloaded);
        }
        self.append_own(ticket, EntryPayload::Command(command));
    }

    pub(super) fn append_own(&mut self, ticket: RequestTicket, payload: EntryPayload) {
        let entry = LogEntry {
            index: self.log.last_index().next(),
            term: self.hard_state.term,
            payload,
        };
        self.outcomes.push(CoreOutcome::Accepted {
            ticket,
            index: entry.index,
            term: entry.term,
        });
        self.append_entries(vec![entry]);
    }

    pub(super) fn note_append(&mut self, now: BootTime, from: ReplicaId, response: AppendResponse) {
        self.note_now(now);
        let Some(peer) = self.peer_mut(from) else {
            return;
        };
        peer.note_answer(now, response.sent_at);
        match response.result {
            AppendResult::Accepted { match_index } => peer.note_match(match_index),
            AppendResult::Rejected {
                prev_index,
                last_possible,
            } => peer.note_reject(prev_index, last_possible),
        }
        self.advance_commit(now);
        self.confirm_reads();
        self.finish_transfer(now);
    }

    /// Commits what a majority has synced, if the last of it is of this leader's term.
    pub(super) fn advance_commit(&mut self, now: BootTime) {
        let RoleState::Leader(state) = &self.role else {
            return;
        };
        let mut synced: Vec<LogIndex> = Vec::new();
        for voter in self.members().voters() {
            if voter.id == self.id {
                synced.push(self.persisted);
            } else {
                let peer = state.peers.get(&voter.id);
                synced.push(peer.map_or(LogIndex(0), |p| p.match_index));
            }
        }
        synced.sort_unstable_by(|a, b| b.cmp(a));
        let index = synced[self.members().quorum() - 1];
        if self.log.term_at(index) == Some(self.hard_state.term) {
            let changing = self.change_pending();
            self.commit_through(index);
            self.note_now(now);
            if changing && !self.change_pending() {
                self.hurry_heartbeat(now);
            }
        }
    }

    pub(super) fn begin_transfer(&mut self, now: BootTime) {
        let timeout = self.settings.election_timeout_min();
        let voters = self.other_voters();
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let reachable = voters.iter().filter(|v| {
            let peer = state.peers.get(&v.id);
            peer.is_some_and(|p| now.saturating_since(p.heard_at) < timeout)
        });
        let best = reachable.max_by_key(|v| state.peers.get(&v.id).map(|p| p.match_index));
        let Some(target) = best.map(|v| v.id) else {
            return;
        };
        state.transfer = Some(PendingTransfer {
            target,
            deadline: now + timeout,
        });
        self.finish_transfer(now);
    }

    /// Hands over once the target has the whole log; the lease ended when the transfer began.
    fn finish_transfer(&mut self, now: BootTime) {
        let last = self.log.last_index();
        let RoleState::Leader(state) = &self.role else {
            return;
        };
        let Some(transfer) = state.transfer else {
            return;
        };
        let peer = state.peers.get(&transfer.target);
        if peer.is_none_or(|p| p.match_index < last) {
            return;
        }
        self.send_to(transfer.target, MessageBody::TimeoutNow, true);
        self.step_down(now, self.hard_state.term);
    }

    /// Makes the next heartbeat due: for a read that waits, or the next step of a repair.
    pub(super) fn hurry_heartbeat(&mut self, now: BootTime) {
        if let RoleState::Leader(state) = &mut self.role {
            state.next_heartbeat = now;
        }
    }

    pub(super) fn peer_mut(&mut self, id: ReplicaId) -> Option<&mut PeerProgress> {
        match &mut self.role {
            RoleState::Leader(state) => state.peers.get_mut(&id),
            _ => None,
        }
    }

    pub(super) fn peer_ids(&self) -> Vec<ReplicaId> {
        match &self.role {
            RoleState::Leader(state) => state.peers.keys().copied().collect(),
            _ => Vec::new(),
        }
    }
}
