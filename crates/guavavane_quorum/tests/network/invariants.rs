//! Safety properties of Raft, checked over all replicas.
//!
//! At most one leader and, for each replica, one vote in a term; equal states after equal
//! indexes; reads that never miss a reported write; at most one valid lease.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::network::node::Node;
use guavavane_model::time::BootTime;
use guavavane_quorum::core::RequestId;
use guavavane_quorum::prelude::*;

#[derive(Default)]
pub(crate) struct InvariantChecker {
    leaders: IndexMap<Term, ReplicaId>,
    votes: IndexMap<(ReplicaId, Term), ReplicaId>,
    /// Hash of the state after each applied index.
    states: IndexMap<LogIndex, u64>,
    /// Commands whose callers were told that they were applied.
    pub(crate) acknowledged: IndexSet<u64>,
    /// Highest index reported to a caller, by a write or a read.
    reported_index: LogIndex,
    reads: IndexMap<RequestId, LogIndex>,
    /// Replicas that lost their disk.
    pub(crate) lost_replicas: IndexSet<ReplicaId>,
    /// Latest committed member set.
    pub(crate) members: MemberSet,
    members_index: LogIndex,
}

impl InvariantChecker {
    pub(crate) fn record_leader(&mut self, term: Term, id: ReplicaId) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "two leaders in term {term}");
    }

    pub(crate) fn record_vote(&mut self, voter: ReplicaId, term: Term, candidate: ReplicaId) {
        assert!(
            !self.lost_replicas.contains(&voter),
            "{voter} votes after the loss of its disk"
        );
        let first = *self.votes.entry((voter, term)).or_insert(candidate);
        assert_eq!(first, candidate, "{voter} votes twice in term {term}");
    }

    pub(crate) fn record_state(&mut self, index: LogIndex, state: u64) {
        let first = *self.states.entry(index).or_insert(state);
        assert_eq!(first, state, "states differ after entry {index}");
    }

    pub(crate) fn record_members(&mut self, index: LogIndex, members: &MemberSet) {
        if index >= self.members_index {
            self.members_index = index;
            self.members = members.clone();
        }
    }

    pub(crate) fn record_acknowledgement(&mut self, index: LogIndex, value: u64) {
        self.acknowledged.insert(value);
        self.reported_index = self.reported_index.max(index);
    }

    pub(crate) fn record_read_start(&mut self, request_id: RequestId) {
        self.reads.insert(request_id, self.reported_index);
    }

    pub(crate) fn check_read(&mut self, request_id: RequestId, index: LogIndex) {
        let reported_index = self.reads[&request_id];
        assert!(
            index >= reported_index,
            "a read at {index} misses entries up to {reported_index}"
        );
        self.reported_index = self.reported_index.max(index);
    }

    /// Checks that at most one replica holds a lease, including paused replicas.
    pub(crate) fn check_leases(&self, now: BootTime, nodes: &[Node]) {
        let holders: Vec<String> = nodes
            .iter()
            .filter(|n| n.holds_lease(now))
            .map(Node::describe)
            .collect();
        assert!(holders.len() <= 1, "two leases at {now}: {holders:#?}");
    }
}
