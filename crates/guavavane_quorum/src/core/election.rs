//! Elections: pre-vote, votes, and stepping down.

use indexmap::IndexSet;

use super::leader::LeaderState;
use super::ConsensusCore;
use super::CoreOutcome;
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
        state.match_members(now, self.members(), self.id, self.log.last_index());
        self.role = RoleState::Leader(Box::new(state));
        self.incoming = None;
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
                self.refuse(read.ticket, CoreRefusal::NotLeader);
            }
            self.outcomes.push(CoreOutcome::LostLeadership);
        }
    }

    /// Whether a leader was heard within the shortest election timeout, so that it may still
    /// hold a lease.
    fn leader_may_hold_lease(&self, now: BootTime) -> bool {
        if matches!(self.role, RoleState::Leader(_)) {
            return true;
        }
        now < self.heard_leader_at + self.settings.election_timeout_min()
    }

    /// Ignored votes leave the term as it is, so that a cut-off replica can't depose a leader.
    pub(super) fn ignores_vote(
        &self,
        now: BootTime,
        message: &PeerMessage,
        request: VoteRequest,
    ) -> bool {
        let newer = message.term > self.hard_state.term;
        newer && !request.forced && self.leader_may_hold_lease(now)
    }

    fn is_up_to_date(&self, request: VoteRequest) -> bool {
        let theirs = (request.last_term, request.last_index);
        theirs >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn answer_pre_vote(
        &mut self,
        now: BootTime,
        message: &PeerMessage,
        request: VoteRequest,
    ) {
        let newer = message.term > self.hard_state.term;
        let granted = newer && self.is_up_to_date(request) && !self.leader_may_hold_lease(now);
        let term = if granted {
            message.term
        } else {
            self.hard_state.term
        };
        let body = MessageBody::PreVoteResponse { granted };
        // A refusal may carry a term that is not durable yet.
        self.send(message.from, message.from_address, term, body, true);
    }

    pub(super) fn count_pre_vote(&mut self, now: BootTime, message: &PeerMessage) {
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

    pub(super) fn answer_vote(
        &mut self,
        now: BootTime,
        message: &PeerMessage,
        request: VoteRequest,
    ) {
        let free = self.hard_state.vote.is_none_or(|v| v == message.from);
        let granted = free && self.is_up_to_date(request);
        if granted {
            self.hard_state.vote = Some(message.from);
            self.save_hard_state();
            self.reset_election_deadline(now);
        }
        let body = MessageBody::VoteResponse { granted };
        let term = self.hard_state.term;
        self.send(message.from, message.from_address, term, body, true);
    }

    pub(super) fn count_vote(&mut self, now: BootTime, from: ReplicaId, vote: bool) {
        let quorum = self.members().quorum();
        let counts = vote && self.members().is_voter(from);
        let RoleState::Candidate { granted } = &mut self.role else {
            return;
        };
        if !counts {
            return;
        }
        granted.insert(from);
        if granted.len() >= quorum {
            self.become_leader(now);
        }
    }

    /// Answers a request of an earlier term, so that its sender learns the current one.
    pub(super) fn answer_stale(&mut self, message: &PeerMessage) {
        let body = match &message.body {
            MessageBody::VoteRequest(_) => MessageBody::VoteResponse { granted: false },
            MessageBody::AppendRequest(request) => MessageBody::AppendResponse(AppendResponse {
                result: AppendResult::Rejected {
                    prev_index: request.prev_index,
                    last_possible: self.log.last_index(),
                },
                sent_at: request.sent_at,
            }),
            MessageBody::SnapshotChunk(_) => MessageBody::VoteResponse { granted: false },
            _ => return,
        };
        let term = self.hard_state.term;
        self.send(message.from, message.from_address, term, body, true);
    }

    /// The leader has handed over: no pre-vote, and voters need not wait out its lease.
    pub(super) fn campaign_at_once(&mut self, now: BootTime, from: ReplicaId) {
        let from_leader = self.leader.is_some_and(|l| l.id == from);
        let follower = matches!(self.role, RoleState::Follower);
        if from_leader && follower && self.members().is_voter(self.id) {
            self.start_election(now, true);
        }
    }
}
