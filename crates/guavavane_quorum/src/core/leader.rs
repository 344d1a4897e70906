//! Leader: heartbeats, log replication, proposals, commit index and leadership transfer.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;

use super::lease::PendingRead;
use super::peer::PeerProgress;
use super::peer::ReplicationState;
use super::ConsensusCore;
use super::CoreOutput;
use super::CoreRefusal;
use super::RequestId;
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

/// Leadership transfer that waits until its target has the whole log.
#[derive(Clone, Copy, Debug)]
struct PendingTransfer {
    target: ReplicaId,
    /// Time at which the leader abandons the transfer.
    deadline: BootTime,
}

/// Volatile state of a leader, valid for one term.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// Time at which this replica was elected.
    pub(super) led_since: BootTime,
    /// Index of the blank entry that the leader appended at the start of its term.
    pub(super) term_start_index: LogIndex,
    pub(super) peers: IndexMap<ReplicaId, PeerProgress>,
    pub(super) reads: VecDeque<PendingRead>,
    pub(super) next_heartbeat: BootTime,
    /// Latest time passed to the core.
    pub(super) latest_time: BootTime,
    transfer: Option<PendingTransfer>,
}

impl LeaderState {
    pub(super) fn new(now: BootTime, term_start_index: LogIndex) -> Self {
        Self {
            led_since: now,
            term_start_index,
            peers: IndexMap::new(),
            reads: VecDeque::new(),
            next_heartbeat: now,
            latest_time: now,
            transfer: None,
        }
    }

    pub(super) fn is_transferring(&self) -> bool {
        self.transfer.is_some()
    }

    /// Starts to track the progress of new members and drops removed members.
    pub(super) fn track_members(
        &mut self,
        now: BootTime,
        members: &MemberSet,
        own_id: ReplicaId,
        last_index: LogIndex,
    ) {
        self.peers.retain(|id, _| members.get(*id).is_some());
        for member in members.iter().filter(|m| m.id != own_id) {
            self.peers
                .entry(member.id)
                .or_insert_with(|| PeerProgress::new(now, last_index));
        }
    }
}

impl ConsensusCore {
    pub(super) fn observe_time(&mut self, now: BootTime) {
        if let RoleState::Leader(state) = &mut self.role {
            state.latest_time = state.latest_time.max(now);
        }
    }

    pub(super) fn tick_leader(&mut self, now: BootTime) {
        self.observe_time(now);
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
            match self.peer_mut(id).map(|p| p.state) {
                Some(ReplicationState::Probe { .. }) => self.send_probe(now, id),
                Some(ReplicationState::Replicate) => self.send_entries_or_none(now, id),
                Some(ReplicationState::Snapshot { .. }) => {
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

    /// Sends new entries to each member, up to the limit of unacknowledged entries.
    pub(super) fn replicate(&mut self, now: BootTime) {
        self.observe_time(now);
        let heartbeat_due = match &self.role {
            RoleState::Leader(state) => now >= state.next_heartbeat,
            _ => return,
        };
        if heartbeat_due {
            return self.tick_leader(now);
        }
        for id in self.peer_ids() {
            match self.peer_mut(id).map(|p| p.state) {
                Some(ReplicationState::Probe {
                    awaiting_response: false,
                }) => self.send_probe(now, id),
                Some(ReplicationState::Replicate) => {
                    self.send_entries(now, id);
                }
                Some(ReplicationState::Snapshot { .. }) => self.send_chunk(now, id),
                _ => {}
            }
        }
    }

    /// Sends one request to find the last matching index, or begins a snapshot transfer.
    fn send_probe(&mut self, now: BootTime, id: ReplicaId) {
        let base = self.log.base_index();
        let bytes = self.settings.message_bytes_max;
        let Some(peer) = self.peer_mut(id) else {
            return;
        };
        if peer.next_index <= base {
            return self.begin_snapshot(now, id);
        }
        peer.state = ReplicationState::Probe {
            awaiting_response: true,
        };
        let next = peer.next_index;
        let entries = self.log.slice(next, self.settings.in_flight_entries, bytes);
        self.send_append(now, id, entries);
    }

    /// Sends entries before earlier ones are acknowledged; returns whether any message was sent.
    fn send_entries(&mut self, now: BootTime, id: ReplicaId) -> bool {
        let mut sent = false;
        loop {
            let base = self.log.base_index();
            let Some(peer) = self.peer_mut(id) else {
                return sent;
            };
            let next = peer.next_index;
            let unacknowledged = next.0 - peer.match_index.0 - 1;
            if next <= base {
                self.begin_snapshot(now, id);
                return true;
            }
            let window_entries = self
                .settings
                .in_flight_entries
                .saturating_sub(unacknowledged);
            let bytes = self.settings.message_bytes_max;
            let entries = self.log.slice(next, window_entries, bytes);
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
        let prev_index = match peer.state {
            // During a snapshot transfer the request carries no entries and is only a heartbeat.
            ReplicationState::Snapshot { .. } => commit,
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

    /// Appends a command, unless too many entries are uncommitted.
    pub(super) fn propose(&mut self, now: BootTime, request_id: RequestId, command: Arc<[u8]>) {
        self.observe_time(now);
        let uncommitted_entries = self.log.last_index().0 - self.commit.0;
        match &self.role {
            RoleState::Leader(state) if !state.is_transferring() => {}
            _ => return self.refuse(request_id, CoreRefusal::NotLeader),
        }
        if uncommitted_entries >= self.settings.in_flight_entries {
            return self.refuse(request_id, CoreRefusal::Overloaded);
        }
        self.append_for_request(request_id, EntryPayload::Command(command));
    }

    pub(super) fn append_for_request(&mut self, request_id: RequestId, payload: EntryPayload) {
        let entry = LogEntry {
            index: self.log.last_index().next(),
            term: self.hard_state.term,
            payload,
        };
        self.outputs.push(CoreOutput::Accepted {
            request_id,
            index: entry.index,
            term: entry.term,
        });
        self.append_entries(vec![entry]);
    }

    pub(super) fn handle_append_response(
        &mut self,
        now: BootTime,
        from: ReplicaId,
        response: AppendResponse,
    ) {
        self.observe_time(now);
        let Some(peer) = self.peer_mut(from) else {
            return;
        };
        peer.record_response(now, response.sent_at);
        match response.result {
            AppendResult::Accepted { match_index } => peer.record_match(match_index),
            AppendResult::Rejected {
                prev_index,
                last_possible_match,
            } => peer.record_rejection(prev_index, last_possible_match),
        }
        self.advance_commit(now);
        self.confirm_reads();
        self.finish_transfer(now);
    }

    /// Raises the commit index to the highest index that a majority of voters has made durable.
    ///
    /// Only an entry of the leader's own term is committed by counting replicas; earlier entries
    /// commit with it.
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
            let change_was_pending = self.change_pending();
            self.commit_through(index);
            self.observe_time(now);
            if change_was_pending && !self.change_pending() {
                self.schedule_immediate_heartbeat(now);
            }
        }
    }

    /// Starts a leadership transfer to the reachable voter with the highest match index.
    pub(super) fn begin_transfer(&mut self, now: BootTime) {
        let timeout = self.settings.election_timeout_min();
        let voters = self.other_voters();
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let reachable = voters.iter().filter(|v| {
            let peer = state.peers.get(&v.id);
            peer.is_some_and(|p| now.saturating_since(p.last_heard_at) < timeout)
        });
        let most_up_to_date =
            reachable.max_by_key(|v| state.peers.get(&v.id).map(|p| p.match_index));
        let Some(target) = most_up_to_date.map(|v| v.id) else {
            return;
        };
        state.transfer = Some(PendingTransfer {
            target,
            deadline: now + timeout,
        });
        self.finish_transfer(now);
    }

    /// Tells the target to start an election once it has the whole log, and steps down.
    ///
    /// The whole log has to be committed: its callers would otherwise get no outcome.
    ///
    /// The leader has held no lease since the transfer began.
    pub(super) fn finish_transfer(&mut self, now: BootTime) {
        let last = self.log.last_index();
        let RoleState::Leader(state) = &self.role else {
            return;
        };
        let Some(transfer) = state.transfer else {
            return;
        };
        let peer = state.peers.get(&transfer.target);
        if self.commit < last || peer.is_none_or(|p| p.match_index < last) {
            return;
        }
        self.send_to(transfer.target, MessageBody::TimeoutNow, true);
        self.step_down(now, self.hard_state.term);
    }

    /// Makes the next heartbeat due now, so that the next membership repair follows at once.
    pub(super) fn schedule_immediate_heartbeat(&mut self, now: BootTime) {
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
