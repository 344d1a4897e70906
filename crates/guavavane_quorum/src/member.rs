//! Replicas and the set of members that a group has at one point of its log.

use std::fmt;
use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// Identity of a replica, drawn at random when its data folder is initialised and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

impl ReplicaId {
    /// Draws a fresh identity.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Whether a member counts towards quorums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Votes and counts towards commits.
    Voter,
    /// Receives the log only.
    Learner,
}

/// A member of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMember {
    /// Identity of the replica.
    pub id: ReplicaId,
    /// Where its messages go.
    pub address: SocketAddr,
    /// Whether it counts towards quorums.
    pub role: MemberRole,
}

/// The members of the group, effective from the log entry that carries them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberSet {
    members: IndexMap<ReplicaId, ReplicaMember>,
}

impl MemberSet {
    /// All members.
    pub fn iter(&self) -> impl Iterator<Item = &ReplicaMember> {
        self.members.values()
    }

    /// The members that count towards quorums.
    pub fn voters(&self) -> impl Iterator<Item = &ReplicaMember> {
        self.iter().filter(|m| m.role == MemberRole::Voter)
    }

    /// The member with this identity.
    pub fn get(&self, id: ReplicaId) -> Option<&ReplicaMember> {
        self.members.get(&id)
    }

    /// Whether this replica counts towards quorums.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|m| m.role == MemberRole::Voter)
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Number of voters.
    pub fn voter_count(&self) -> usize {
        self.voters().count()
    }

    /// Smallest number of voters that is a majority.
    pub fn quorum(&self) -> usize {
        self.voter_count() / 2 + 1
    }

    /// This set with one member added or replaced.
    #[must_use]
    pub fn with_member(&self, member: ReplicaMember) -> Self {
        let mut set = self.clone();
        set.members.insert(member.id, member);
        set
    }

    /// This set without one member.
    #[must_use]
    pub fn without_member(&self, id: ReplicaId) -> Self {
        let mut set = self.clone();
        set.members.shift_remove(&id);
        set
    }
}

impl FromIterator<ReplicaMember> for MemberSet {
    fn from_iter<I: IntoIterator<Item = ReplicaMember>>(members: I) -> Self {
        let members = members.into_iter().map(|m| (m.id, m)).collect();
        Self { members }
    }
}
