//! Status that the replica thread publishes in each round.

use crate::core::ReplicaRole;
use crate::entry::LogIndex;
use crate::entry::Term;
use crate::member::MemberSet;
use crate::member::ReplicaId;
use crate::member::ReplicaMember;
use guavavane_model::time::BootTime;

/// Status of a replica and its view of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeadershipView {
    /// Identity of this replica.
    pub id: ReplicaId,
    /// Raft role of this replica in the current term.
    pub role: ReplicaRole,
    /// Current term.
    pub term: Term,
    /// Leader of the current term, if this replica knows it.
    pub leader: Option<ReplicaMember>,
    /// End of this replica's leader lease, if it holds one.
    ///
    /// No other replica can lead before that time; compare it with the clock at each use.
    pub lease_valid_until: Option<BootTime>,
    /// Time at which this replica was elected, if it leads.
    pub led_since: Option<BootTime>,
    /// Commit index.
    pub commit: LogIndex,
    /// Index of the last entry applied to the state machine.
    pub applied: LogIndex,
    /// Highest index in the log.
    pub last_index: LogIndex,
    /// Last index that the latest snapshot includes; 0 without a snapshot.
    pub last_snapshot: LogIndex,
    /// Size of the log entries in memory, in bytes.
    pub log_bytes: u64,
    /// Latest member set that this replica knows.
    pub members: MemberSet,
    /// Whether this replica has to ask the leader for membership, which leaves a member as it is.
    pub needs_join: bool,
    /// Voters that have not answered this replica for the removal timeout, or in whose place
    /// another replica runs; empty unless this replica leads.
    pub unavailable_voters: Vec<ReplicaId>,
    /// Whether the replica has stopped on an error of storage or the state machine.
    ///
    /// It neither votes nor leads until its disk accepts writes again; after an error of the state
    /// machine, until it is restarted.
    pub storage_failed: bool,
}

impl LeadershipView {
    /// Whether this replica leads at `now` and no other replica can.
    pub fn holds_lease(&self, now: BootTime) -> bool {
        self.lease_valid_until.is_some_and(|until| now < until)
    }

    /// Number of voters that the group can still lose without losing its quorum; `None` unless
    /// this replica leads.
    pub fn spare_voters(&self) -> Option<usize> {
        if self.role != ReplicaRole::Leader {
            return None;
        }
        let voters = self.members.voter_count();
        let available = voters.saturating_sub(self.unavailable_voters.len());
        Some(available.saturating_sub(self.members.quorum()))
    }
}
