//! Changes of the group that its operators need to know, found by comparing successive views.
//!
//! A daemon passes the view of its replica to a [`GroupWatch`] at intervals. Only the leader
//! knows which voters answer, so only the leader reports that a voter is unavailable.

use crate::core::ReplicaRole;
use crate::member::MemberSet;
use crate::member::ReplicaId;
use crate::member::ReplicaMember;
use crate::view::LeadershipView;

/// Change between two views of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupChange {
    /// The replica knows another leader than in the earlier view, or none.
    Leader(Option<ReplicaMember>),
    /// The group has other members than in the earlier view.
    Members,
    /// A voter no longer answers the leader.
    VoterSilent(ReplicaMember),
    /// A voter answers the leader again.
    VoterHeard(ReplicaMember),
}

/// Compares successive views of one replica.
#[derive(Debug, Default)]
pub struct GroupWatch {
    leader: Option<ReplicaMember>,
    members: MemberSet,
    unavailable_voters: Vec<ReplicaId>,
}

impl GroupWatch {
    /// Logs the changes since the earlier view.
    pub fn log_changes(&mut self, view: &LeadershipView) {
        for change in self.changes(view) {
            log_change(change, view);
        }
    }

    /// Returns the changes since the earlier view.
    pub fn changes(&mut self, view: &LeadershipView) -> Vec<GroupChange> {
        let mut changes = Vec::new();
        if self.leader != view.leader {
            self.leader = view.leader;
            changes.push(GroupChange::Leader(view.leader));
        }
        if self.members != view.members {
            self.members = view.members.clone();
            changes.push(GroupChange::Members);
        }
        if view.role != ReplicaRole::Leader {
            self.unavailable_voters.clear();
            return changes;
        }
        let earlier = std::mem::take(&mut self.unavailable_voters);
        let current = &view.unavailable_voters;
        for voter in view.members.voters() {
            match (earlier.contains(&voter.id), current.contains(&voter.id)) {
                (false, true) => changes.push(GroupChange::VoterSilent(*voter)),
                (true, false) => changes.push(GroupChange::VoterHeard(*voter)),
                _ => {}
            }
        }
        self.unavailable_voters.clone_from(current);
        changes
    }
}

fn log_change(change: GroupChange, view: &LeadershipView) {
    let voters = view.members.voter_count();
    let spare = view.spare_voters();
    match change {
        GroupChange::Leader(None) => {
            tracing::warn!(event = "leader_unknown", term = view.term.0);
        }
        GroupChange::Leader(Some(leader)) => {
            let ReplicaMember { id, address, .. } = leader;
            tracing::info!(event = "leader_known", replica = %id, %address, term = view.term.0);
        }
        GroupChange::Members => {
            let learners = view.members.len() - voters;
            tracing::info!(event = "members_changed", voters, learners);
        }
        GroupChange::VoterSilent(voter) => {
            let ReplicaMember { id, address, .. } = voter;
            tracing::warn!(event = "voter_silent", replica = %id, %address, voters, spare);
        }
        GroupChange::VoterHeard(voter) => {
            let ReplicaMember { id, address, .. } = voter;
            tracing::info!(event = "voter_heard", replica = %id, %address, voters, spare);
        }
    }
}
