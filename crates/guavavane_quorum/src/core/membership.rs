//! Changes of the members: one at a time, and repairs that the leader makes by itself.
//!
//! Repairs. A caught-up learner is promoted while there are fewer voters than wanted, or when
//! a voter has been silent for the removal timeout. A silent voter is removed if the voters
//! that remain have a reachable quorum and are still at least `voters_min`. A voter whose
//! address belongs to another replica counts as silent at once. So a replacement
//! votes before the voter that it replaces is removed: should another voter lose its disk in
//! between, a voter that was only cut off still counts when it returns.

use super::ConsensusCore;
use super::CoreOutcome;
use super::CoreRefusal;
use super::MemberChange;
use super::RequestTicket;
use super::RoleState;
use crate::entry::EntryPayload;
use crate::entry::LogEntry;
use crate::member::MemberRole;
use crate::member::MemberSet;
use crate::member::ReplicaId;
use crate::member::ReplicaMember;
use guavavane_model::time::BootTime;

impl ConsensusCore {
    pub(super) fn change(&mut self, now: BootTime, ticket: RequestTicket, change: MemberChange) {
        if let Some(refusal) = self.change_refusal() {
            return self.refuse(ticket, refusal);
        }
        match self.changed_members(now, change) {
            Err(refusal) => self.refuse(ticket, refusal),
            Ok(members) if members == *self.members() => {
                self.outcomes.push(CoreOutcome::Unchanged { ticket });
            }
            Ok(members) => {
                self.append_own(ticket, EntryPayload::Members(members));
                self.match_peers(now);
            }
        }
    }

    /// Why no change can be made now, whatever it is.
    fn change_refusal(&self) -> Option<CoreRefusal> {
        match &self.role {
            RoleState::Leader(state) if !state.handing_over() => {
                let pending = self.change_pending();
                let unsettled = self.commit < state.first_index;
                (pending || unsettled).then_some(CoreRefusal::ChangePending)
            }
            _ => Some(CoreRefusal::NotLeader),
        }
    }

    /// Whether the members that are effective are not committed yet.
    pub(super) fn change_pending(&self) -> bool {
        let newest = self.member_sets.back();
        newest.is_some_and(|(index, _)| *index > self.commit)
    }

    fn changed_members(
        &self,
        now: BootTime,
        change: MemberChange,
    ) -> Result<MemberSet, CoreRefusal> {
        let members = self.members();
        match change {
            MemberChange::AddLearner { id, address } => {
                let known = members.get(id);
                if known.is_none() && members.len() >= self.settings.members_max {
                    return Err(CoreRefusal::TooManyMembers);
                }
                let role = known.map_or(MemberRole::Learner, |m| m.role);
                Ok(members.with(ReplicaMember { id, address, role }))
            }
            MemberChange::Promote(id) => {
                let member = *members.get(id).ok_or(CoreRefusal::UnknownMember)?;
                let role = MemberRole::Voter;
                self.check_quorum(now, members.with(ReplicaMember { role, ..member }))
            }
            MemberChange::Remove(id) if id == self.id => Err(CoreRefusal::LeaderItself),
            MemberChange::Remove(id) => self.check_quorum(now, members.without(id)),
        }
    }

    /// Refuses a set that could not commit with the voters that answer now.
    fn check_quorum(&self, now: BootTime, members: MemberSet) -> Result<MemberSet, CoreRefusal> {
        let reachable = members.voters().filter(|v| self.is_reachable(now, v.id));
        if reachable.count() < members.quorum() {
            return Err(CoreRefusal::QuorumAtRisk);
        }
        Ok(members)
    }

    fn is_reachable(&self, now: BootTime, id: ReplicaId) -> bool {
        if id == self.id {
            return true;
        }
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        let timeout = self.settings.election_timeout_min();
        let peer = state.peers.get(&id);
        peer.is_some_and(|p| {
            p.acked_sent_at.is_some() && now.saturating_since(p.heard_at) < timeout
        })
    }

    fn is_silent(&self, now: BootTime, id: ReplicaId) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        let timeout = self.settings.removal_timeout();
        let peer = state.peers.get(&id);
        peer.is_some_and(|p| now.saturating_since(p.heard_at) >= timeout)
    }

    /// Whether another replica answers at this one's address: its folder was lost.
    fn is_superseded(&self, now: BootTime, id: ReplicaId) -> bool {
        let Some(member) = self.members().get(id) else {
            return false;
        };
        let same = |m: &&ReplicaMember| m.id != id && m.address == member.address;
        let mut others = self.members().iter().filter(same);
        !self.is_reachable(now, id) && others.any(|m| self.is_reachable(now, m.id))
    }

    fn is_caught_up(&self, now: BootTime, id: ReplicaId) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        let last = self.log.last_index();
        let lag = self.settings.promotion_lag_entries;
        let close = |p: &super::peer::PeerProgress| p.match_index.0 + lag >= last.0;
        self.is_reachable(now, id) && state.peers.get(&id).is_some_and(close)
    }

    /// Makes at most one repair of the members.
    pub(super) fn repair_members(&mut self, now: BootTime) {
        if self.change_refusal().is_some() {
            return;
        }
        let Some(change) = self.wanted_repair(now) else {
            return;
        };
        let Ok(members) = self.changed_members(now, change) else {
            return;
        };
        let entry = LogEntry {
            index: self.log.last_index().next(),
            term: self.hard_state.term,
            payload: EntryPayload::Members(members),
        };
        self.append_entries(vec![entry]);
        self.match_peers(now);
    }

    fn wanted_repair(&self, now: BootTime) -> Option<MemberChange> {
        let members = self.members();
        let learners = || members.iter().filter(|m| m.role == MemberRole::Learner);
        let ready = learners().find(|m| self.is_caught_up(now, m.id));
        let gone = |id| self.is_silent(now, id) || self.is_superseded(now, id);
        let silent_voter = members.voters().find(|m| gone(m.id));
        let voters = members.voter_count();
        if let Some(voter) = silent_voter.filter(|_| voters > self.settings.voters_min) {
            return Some(MemberChange::Remove(voter.id));
        }
        let wanted = voters < self.settings.voters_wanted || silent_voter.is_some();
        if let Some(learner) = ready.filter(|_| wanted) {
            return Some(MemberChange::Promote(learner.id));
        }
        let silent_learner = learners().find(|m| gone(m.id));
        silent_learner.map(|m| MemberChange::Remove(m.id))
    }

    fn match_peers(&mut self, now: BootTime) {
        let members = self.members().clone();
        let last = self.log.last_index();
        if let RoleState::Leader(state) = &mut self.role {
            state.match_members(now, &members, self.id, last);
        }
    }
}
