//! What must hold over all replicas, whatever happened.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::network::node::Node;
use guavavane_model::time::BootTime;
use guavavane_quorum::core::RequestId;
use guavavane_quorum::prelude::*;

#[derive(Default)]
pub(crate) struct Truth {
    leaders: IndexMap<Term, ReplicaId>,
    votes: IndexMap<(ReplicaId, Term), ReplicaId>,
    /// State after each applied index.
    states: IndexMap<LogIndex, u64>,
    /// Commands whose caller was told that they ran.
    pub(crate) acknowledged: IndexSet<u64>,
    /// Highest index that a caller was told of, by a write or a read.
    floor: LogIndex,
    reads: IndexMap<RequestId, LogIndex>,
    pub(crate) lost: IndexSet<ReplicaId>,
    /// Latest committed members.
    pub(crate) members: MemberSet,
    members_index: LogIndex,
}

impl Truth {
    pub(crate) fn note_leader(&mut self, term: Term, id: ReplicaId) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "two leaders in term {term}");
    }

    pub(crate) fn note_vote(&mut self, voter: ReplicaId, term: Term, candidate: ReplicaId) {
        assert!(
            !self.lost.contains(&voter),
            "{voter} votes without its disk"
        );
        let first = *self.votes.entry((voter, term)).or_insert(candidate);
        assert_eq!(first, candidate, "{voter} forgot its vote in term {term}");
    }

    pub(crate) fn note_state(&mut self, index: LogIndex, state: u64) {
        let first = *self.states.entry(index).or_insert(state);
        assert_eq!(first, state, "states differ after entry {index}");
    }

    pub(crate) fn note_members(&mut self, index: LogIndex, members: &MemberSet) {
        if index >= self.members_index {
            self.members_index = index;
            self.members = members.clone();
        }
    }

    pub(crate) fn acknowledge(&mut self, index: LogIndex, value: u64) {
        self.acknowledged.insert(value);
        self.floor = self.floor.max(index);
    }

    pub(crate) fn ask_read(&mut self, request_id: RequestId) {
        self.reads.insert(request_id, self.floor);
    }

    pub(crate) fn answer_read(&mut self, request_id: RequestId, index: LogIndex) {
        let floor = self.reads[&request_id];
        assert!(index >= floor, "a read at {index} goes back behind {floor}");
        self.floor = self.floor.max(index);
    }

    /// At most one replica holds a lease at a time, frozen ones included.
    pub(crate) fn check_leases(&self, now: BootTime, nodes: &[Node]) {
        let holders: Vec<String> = nodes
            .iter()
            .filter(|n| n.holds_lease(now))
            .map(Node::describe)
            .collect();
        assert!(holders.len() <= 1, "two leases at {now}: {holders:#?}");
    }
}
