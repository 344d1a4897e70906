//! Replica identities, roles and member sets of a replicated group.

use std::fmt;
use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// Identity of a replica, random, set when its data folder is initialised and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

impl ReplicaId {
    /// Returns a new random identity.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Role of a member in elections and commits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Votes in elections and counts towards the quorum of a commit.
    Voter,
    /// Receives the log without voting or counting towards a quorum.
    Learner,
}

/// Member of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMember {
    /// Identity of the replica.
    pub id: ReplicaId,
    /// Address at which the other members reach the replica.
    pub address: SocketAddr,
    /// Role in elections and commits.
    pub role: MemberRole,
}

/// Members of the group, in effect from the log entry that contains the set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberSet {
    members: IndexMap<ReplicaId, ReplicaMember>,
}

impl MemberSet {
    /// Iterates over all members, in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &ReplicaMember> {
        self.members.values()
    }

    /// Iterates over the voters.
    pub fn voters(&self) -> impl Iterator<Item = &ReplicaMember> {
        self.iter().filter(|m| m.role == MemberRole::Voter)
    }

    /// Returns the member with identity `id`.
    pub fn get(&self, id: ReplicaId) -> Option<&ReplicaMember> {
        self.members.get(&id)
    }

    /// Whether replica `id` is a member with the voter role.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|m| m.role == MemberRole::Voter)
    }

    /// Number of members, voters and learners.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the set has no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Number of voters.
    pub fn voter_count(&self) -> usize {
        self.voters().count()
    }

    /// Smallest number of voters that forms a majority.
    pub fn quorum(&self) -> usize {
        self.voter_count() / 2 + 1
    }

    /// Returns a copy of the set with `member` added, or replaced if its identity is present.
    #[must_use]
    pub fn with_member(&self, member: ReplicaMember) -> Self {
        let mut set = self.clone();
        set.members.insert(member.id, member);
        set
    }

    /// Returns a copy of the set without member `id`.
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
