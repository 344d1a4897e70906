//! Leader election: pre-vote, votes, and stepping down.
//!
//! A replica whose election timeout passes first asks the voters in a pre-vote whether it could
//! win, and raises its term only if a majority agrees. Voters refuse while they have heard from
//! a leader within the minimum election timeout, since that leader may hold a lease.

use indexmap::IndexSet;

use super::leader::LeaderState;
use super::ConsensusCore;
use super::CoreOutput;
use super::CoreRefusal;
use super::RoleState;
use crate::entry::EntryPayload;
use crate::entry::LogEntry;
use crate::entry::Term;
use crate::member::MemberRole;
use crate::member::ReplicaId;
use crate::member::ReplicaMember;
use crate::message::AppendResponse;
use crate::message::AppendResult;
use crate::message::MessageBody;
use crate::message::PeerMessage;
use crate::message::VoteRequest;
use guavavane_model::time::BootTime;

impl ConsensusCore {
    pub(super) fn start_pre_vote(&mut self, now: BootTime) {
        self.reset_election_deadline(now);
        let granted = IndexSet::from([self.id]);
        let won = granted.len() >= self.members().quorum();
        self.role = RoleState::PreCandidate { granted };
        if won {
            return self.start_election(now, false);
        }
        let request = self.vote_request(false);
        let proposed = self.hard_state.term.next();
        for member in self.other_voters() {
            let body = MessageBody::PreVoteRequest(request);
            self.send(member.id, member.address, proposed, body, false);
        }
    }

    fn start_election(&mut self, now: BootTime, forced: bool) {
        self.hard_state.term = self.hard_state.term.next();
        self.hard_state.vote = Some(self.id);
        self.save_hard_state();
        self.reset_election_deadline(now);
        self.leader = None;
        let granted = IndexSet::from([self.id]);
        let won = granted.len() >= self.members().quorum();
        self.role = RoleState::Candidate { granted };
        if won {
            return self.become_leader(now);
        }
        let request = self.vote_request(forced);
        for member in self.other_voters() {
            self.send_to(member.id, MessageBody::VoteRequest(request), true);
        }
    }

    fn vote_request(&self, forced: bool) -> VoteRequest {
        VoteRequest {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            forced,
        }
    }

    pub(super) fn other_voters(&self) -> Vec<ReplicaMember> {
        let others = self.members().voters().filter(|m| m.id != self.id);
        others.copied().collect()
    }

    fn become_leader(&mut self, now: BootTime) {
        self.leader = Some(ReplicaMember {
            id: self.id,
            address: self.settings.address,
            role: MemberRole::Voter,
        });
        let blank = LogEntry {
            index: self.log.last_index().next(),
            term: self.hard_state.term,
            payload: EntryPayload::Blank,
        };
        let mut state = LeaderState::new(now, blank.index);
        state.track_members(now, self.members(), self.id, self.log.last_index());
        self.role = RoleState::Leader(Box::new(state));
        self.incoming_snapshot = None;
        self.append_entries(vec![blank]);
    }

    /// Becomes a follower, in `term` if that is newer.
    pub(super) fn step_down(&mut self, now: BootTime, term: Term) {
        if term > self.hard_state.term {
            self.hard_state = crate::entry::HardState { term, vote: None };
            self.save_hard_state();
            self.leader = None;
        }
        let role = std::mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(state) = role {
            self.leader = None;
            self.reset_election_deadline(now);
            for read in state.reads {
                self.refuse(read.request_id, CoreRefusal::NotLeader);
            }
            self.outputs.push(CoreOutput::LostLeadership);
        }
    }

    /// Whether this replica leads or has heard from a leader within the minimum election timeout,
    /// so that the leader may still hold a lease.
    fn leader_may_hold_lease(&self, now: BootTime) -> bool {
        if matches!(self.role, RoleState::Leader(_)) {
            return true;
        }
        now < self.heard_leader_at + self.settings.election_timeout_min()
    }

    /// Whether a vote request is dropped because a leader may hold a lease.
    ///
    /// A dropped request leaves the term unchanged, so that a partitioned replica can't depose
    /// a working leader.
    pub(super) fn ignores_vote_request(
        &self,
        now: BootTime,
        message: &PeerMessage,
        request: VoteRequest,
    ) -> bool {
        let is_newer_term = message.term > self.hard_state.term;
        is_newer_term && !request.forced && self.leader_may_hold_lease(now)
    }

    fn is_up_to_date(&self, request: VoteRequest) -> bool {
        let candidate_log = (request.last_term, request.last_index);
        candidate_log >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn handle_pre_vote_request(
        &mut self,
        now: BootTime,
        message: &PeerMessage,
        request: VoteRequest,
    ) {
        let is_newer_term = message.term > self.hard_state.term;
        let granted =
            is_newer_term && self.is_up_to_date(request) && !self.leader_may_hold_lease(now);
        let term = if granted {
            message.term
        } else {
            self.hard_state.term
        };
        let body = MessageBody::PreVoteResponse { granted };
        // A refusal carries the current term, which may not be durable yet.
        self.send(message.from, message.from_address, term, body, true);
    }

    pub(super) fn handle_pre_vote_response(&mut self, now: BootTime, message: &PeerMessage) {
        if message.term != self.hard_state.term.next() {
            return;
        }
        let quorum = self.members().quorum();
        if !self.members().is_voter(message.from) {
            return;
        }
        let RoleState::PreCandidate { granted } = &mut self.role else {
            return;
        };
        granted.insert(message.from);
        if granted.len() >= quorum {
            self.start_election(now, false);
        }
    }

    pub(super) fn handle_vote_request(
        &mut self,
        now: BootTime,
        message: &PeerMessage,
        request: VoteRequest,
    ) {
        let vote_available = self.hard_state.vote.is_none_or(|v| v == message.from);
        let granted = vote_available && self.is_up_to_date(request);
        if granted {
            self.hard_state.vote = Some(message.from);
            self.save_hard_state();
            self.reset_election_deadline(now);
        }
        let body = MessageBody::VoteResponse { granted };
        let term = self.hard_state.term;
        self.send(message.from, message.from_address, term, body, true);
    }

    pub(super) fn handle_vote_response(&mut self, now: BootTime, from: ReplicaId, vote: bool) {
        let quorum = self.members().quorum();
        let is_valid = vote && self.members().is_voter(from);
        let RoleState::Candidate { granted } = &mut self.role else {
            return;
        };
        if !is_valid {
            return;
        }
        granted.insert(from);
        if granted.len() >= quorum {
            self.become_leader(now);
        }
    }

    /// Rejects a request of an earlier term, so that the sender learns the current term.
    pub(super) fn reply_to_stale_term(&mut self, message: &PeerMessage) {
        let body = match &message.body {
            MessageBody::VoteRequest(_) => MessageBody::VoteResponse { granted: false },
            MessageBody::AppendRequest(request) => MessageBody::AppendResponse(AppendResponse {
                result: AppendResult::Rejected {
                    prev_index: request.prev_index,
                    last_possible_match: self.log.last_index(),
                },
                sent_at: request.sent_at,
            }),
            // The vote response serves only to carry the current term.
            MessageBody::SnapshotChunk(_) => MessageBody::VoteResponse { granted: false },
            _ => return,
        };
        let term = self.hard_state.term;
        self.send(message.from, message.from_address, term, body, true);
    }

    /// Starts an election at once on a leadership transfer.
    ///
    /// No pre-vote is needed, and the voters need not wait for the end of the lease, which the
    /// leader has given up.
    pub(super) fn handle_timeout_now(&mut self, now: BootTime, from: ReplicaId) {
        let from_leader = self.leader.is_some_and(|l| l.id == from);
        let follower = matches!(self.role, RoleState::Follower);
        if from_leader && follower && self.members().is_voter(self.id) {
            self.start_election(now, true);
        }
    }
}
