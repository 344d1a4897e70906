//! What a replica publishes about itself after each batch of work.

use crate::core::ReplicaRole;
use crate::entry::LogIndex;
use crate::entry::Term;
use crate::member::MemberSet;
use crate::member::ReplicaId;
use crate::member::ReplicaMember;
use guavavane_model::time::BootTime;

/// A replica's view of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeadershipView {
    /// This replica.
    pub id: ReplicaId,
    /// What it does in the current term.
    pub role: ReplicaRole,
    /// Current term.
    pub term: Term,
    /// The leader, as far as it is known.
    pub leader: Option<ReplicaMember>,
    /// Until when no other replica can lead; compare it with the clock at each use.
    pub lease_valid_until: Option<BootTime>,
    /// When this replica was elected, if it leads.
    pub led_since: Option<BootTime>,
    /// Highest committed index.
    pub commit: LogIndex,
    /// Highest applied index.
    pub applied: LogIndex,
    /// Highest index in the log.
    pub last_index: LogIndex,
    /// Index of the latest snapshot.
    pub last_snapshot: LogIndex,
    /// Size of the entries kept in memory.
    pub log_bytes: u64,
    /// Members of the group; a replica that is not among them has to ask to join.
    pub members: MemberSet,
    /// Whether storage failed: the replica neither votes nor leads until it is restarted.
    pub storage_failed: bool,
}

impl LeadershipView {
    /// Whether this replica leads and no other can at `now`.
    pub fn holds_lease(&self, now: BootTime) -> bool {
        self.lease_valid_until.is_some_and(|until| now < until)
    }
}
