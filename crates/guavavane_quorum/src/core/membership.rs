//! Membership changes, one at a time, and automatic repairs by the leader.
//!
//! A member is unavailable if it has been silent for the removal timeout, or at once if it is
//! unreachable and another member is reachable at its address. With each heartbeat the leader
//! makes at most one repair:
//!
//! - It removes an unavailable voter if the remaining voters have a reachable quorum and are still
//!   at least `voters_min`.
//! - It promotes a caught-up learner while there are fewer voters than `voters_wanted`, or when
//!   a voter is unavailable.
//! - It removes an unavailable learner.
//!
//! With `voters_min` voters, a replacement becomes a voter before the voter that it replaces is
//! removed: if another voter loses its disk in between, a voter that was only partitioned still
//! counts when it returns.

use super::ConsensusCore;
use super::CoreOutput;
use super::CoreRefusal;
use super::MemberChange;
use super::RequestId;
use super::RoleState;
use crate::entry::EntryPayload;
use crate::entry::LogEntry;
use crate::member::MemberRole;
use crate::member::MemberSet;
use crate::member::ReplicaId;
use crate::member::ReplicaMember;
use guavavane_model::time::BootTime;

impl ConsensusCore {
    /// Appends the requested membership change, or refuses it.
    pub(super) fn change(&mut self, now: BootTime, request_id: RequestId, change: MemberChange) {
        if let Some(refusal) = self.change_refusal() {
            return self.refuse(request_id, refusal);
        }
        match self.members_after_change(now, change) {
            Err(refusal) => self.refuse(request_id, refusal),
            Ok(members) if members == *self.members() => {
                self.outputs.push(CoreOutput::Unchanged { request_id });
            }
            Ok(members) => {
                self.append_for_request(request_id, EntryPayload::Members(members));
                self.track_current_members(now);
            }
        }
    }

    /// Reason why the leader can make no membership change at all now, if there is one.
    fn change_refusal(&self) -> Option<CoreRefusal> {
        match &self.role {
            RoleState::Leader(state) if !state.is_transferring() => {
                let pending = self.change_pending();
                let term_start_uncommitted = self.commit < state.term_start_index;
                (pending || term_start_uncommitted).then_some(CoreRefusal::ChangePending)
            }
            _ => Some(CoreRefusal::NotLeader),
        }
    }

    /// Whether the member set in effect is not committed yet.
    pub(super) fn change_pending(&self) -> bool {
        let newest = self.member_sets.back();
        newest.is_some_and(|(index, _)| *index > self.commit)
    }

    fn members_after_change(
        &self,
        now: BootTime,
        change: MemberChange,
    ) -> Result<MemberSet, CoreRefusal> {
        let members = self.members();
        match change {
            MemberChange::AddLearner { id, address } => {
                let existing = members.get(id);
                if existing.is_none() && members.len() >= self.settings.members_max {
                    return Err(CoreRefusal::TooManyMembers);
                }
                let role = existing.map_or(MemberRole::Learner, |m| m.role);
                Ok(members.with_member(ReplicaMember { id, address, role }))
            }
            MemberChange::Promote(id) => {
                let member = *members.get(id).ok_or(CoreRefusal::UnknownMember)?;
                let role = MemberRole::Voter;
                self.require_quorum(now, members.with_member(ReplicaMember { role, ..member }))
            }
            MemberChange::Remove(id) if id == self.id => Err(CoreRefusal::LeaderItself),
            MemberChange::Remove(id) => self.require_quorum(now, members.without_member(id)),
        }
    }

    /// Refuses a member set whose reachable voters are fewer than its quorum.
    fn require_quorum(&self, now: BootTime, members: MemberSet) -> Result<MemberSet, CoreRefusal> {
        let reachable = members.voters().filter(|v| self.is_reachable(now, v.id));
        if reachable.count() < members.quorum() {
            return Err(CoreRefusal::QuorumAtRisk);
        }
        Ok(members)
    }

    /// Whether the member has answered within the minimum election timeout.
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
            p.acked_sent_at.is_some() && now.saturating_since(p.last_heard_at) < timeout
        })
    }

    /// Whether the member has not answered for the removal timeout.
    fn is_silent(&self, now: BootTime, id: ReplicaId) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        let timeout = self.settings.removal_timeout();
        let peer = state.peers.get(&id);
        peer.is_some_and(|p| now.saturating_since(p.last_heard_at) >= timeout)
    }

    /// Whether the member is unreachable and another member answers at its address.
    ///
    /// The member has then lost its data folder, and a new replica runs in its place.
    fn is_superseded(&self, now: BootTime, id: ReplicaId) -> bool {
        let Some(member) = self.members().get(id) else {
            return false;
        };
        let shares_address = |m: &&ReplicaMember| m.id != id && m.address == member.address;
        let mut others = self.members().iter().filter(shares_address);
        !self.is_reachable(now, id) && others.any(|m| self.is_reachable(now, m.id))
    }

    /// Whether the member would be replaced if a replacement existed.
    fn is_unavailable(&self, now: BootTime, id: ReplicaId) -> bool {
        self.is_silent(now, id) || self.is_superseded(now, id)
    }

    /// Voters that are unavailable at the latest time passed to the core; empty unless this
    /// replica leads.
    pub fn unavailable_voters(&self) -> Vec<ReplicaId> {
        let RoleState::Leader(state) = &self.role else {
            return Vec::new();
        };
        let now = state.latest_time;
        let voters = self.members().voters().map(|m| m.id);
        voters.filter(|id| self.is_unavailable(now, *id)).collect()
    }

    /// Whether the member is reachable and lacks at most `promotion_lag_entries` entries.
    fn is_caught_up(&self, now: BootTime, id: ReplicaId) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        let last = self.log.last_index();
        let lag = self.settings.promotion_lag_entries;
        let is_within_lag = |p: &super::peer::PeerProgress| p.match_index.0 + lag >= last.0;
        self.is_reachable(now, id) && state.peers.get(&id).is_some_and(is_within_lag)
    }

    /// Appends the next membership repair, if one is needed and possible.
    pub(super) fn repair_members(&mut self, now: BootTime) {
        if self.change_refusal().is_some() {
            return;
        }
        let Some(change) = self.next_repair(now) else {
            return;
        };
        let Ok(members) = self.members_after_change(now, change) else {
            return;
        };
        let entry = LogEntry {
            index: self.log.last_index().next(),
            term: self.hard_state.term,
            payload: EntryPayload::Members(members),
        };
        self.append_entries(vec![entry]);
        self.track_current_members(now);
    }

    fn next_repair(&self, now: BootTime) -> Option<MemberChange> {
        let members = self.members();
        let learners = || members.iter().filter(|m| m.role == MemberRole::Learner);
        let caught_up = learners().find(|m| self.is_caught_up(now, m.id));
        let unavailable_voter = self.next_unavailable_voter(now);
        let voters = members.voter_count();
        if let Some(voter) = unavailable_voter.filter(|_| voters > self.settings.voters_min) {
            return Some(MemberChange::Remove(voter.id));
        }
        let needs_voter = voters < self.settings.voters_wanted || unavailable_voter.is_some();
        if let Some(learner) = caught_up.filter(|_| needs_voter) {
            return Some(MemberChange::Promote(learner.id));
        }
        let unavailable_learner = learners().find(|m| self.is_unavailable(now, m.id));
        unavailable_learner.map(|m| MemberChange::Remove(m.id))
    }

    /// Voter to remove or replace next. One whose address another member has taken over goes before a
    /// silent one, which may return.
    fn next_unavailable_voter(&self, now: BootTime) -> Option<&ReplicaMember> {
        let members = self.members();
        let shares_address = |voter: &&ReplicaMember| {
            let mut others = members.iter().filter(|m| m.id != voter.id);
            others.any(|m| m.address == voter.address)
        };
        if members.voters().any(|voter| shares_address(&voter)) {
            let mut sharing = members.voters().filter(shares_address);
            return sharing.find(|m| self.is_unavailable(now, m.id));
        }
        members.voters().find(|m| self.is_silent(now, m.id))
    }

    fn track_current_members(&mut self, now: BootTime) {
        let members = self.members().clone();
        let last = self.log.last_index();
        if let RoleState::Leader(state) = &mut self.role {
            state.track_members(now, &members, self.id, last);
        }
    }
}
