//! Simulated group: consensus cores on in-memory disks, connected by a faulty network.
//!
//! The network loses, duplicates, delays and reorders messages, at random from a seed. Time
//! advances in rounds of 10 ms. Every round checks the safety properties in [`invariants`].

#![allow(dead_code, reason = "each test uses a part")]

pub(crate) mod invariants;
pub(crate) mod memory_disk;
pub(crate) mod node;

use std::time::Duration;

use indexmap::IndexSet;
use rand::seq::SliceRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::network::invariants::InvariantChecker;
use crate::network::memory_disk::MemoryDisk;
use crate::network::node::Node;
use crate::network::node::NodeState;
use guavavane_model::time::BootTime;
use guavavane_quorum::core::CoreInput;
use guavavane_quorum::core::MemberChange;
use guavavane_quorum::core::RequestId;
use guavavane_quorum::prelude::*;

/// Simulated time of a round, in milliseconds.
const ROUND_MS: u64 = 10;
/// Maximum number of rounds of a long delay, exclusive.
const LONG_DELAY_MAX_ROUNDS: u64 = 200;
/// Rounds between two requests of non-members to be added.
const JOIN_INTERVAL_ROUNDS: u64 = 50;

/// Network faults, as percentages of the messages.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NetworkFaults {
    pub(crate) loss_percent: u8,
    pub(crate) duplicate_percent: u8,
    /// Messages that are delayed to the next round, where they may be delayed again.
    pub(crate) delay_percent: u8,
    /// Messages that are delayed by up to [`LONG_DELAY_MAX_ROUNDS`] rounds.
    pub(crate) long_delay_percent: u8,
}

/// Group of replicas, one in each slot, with their network; a slot stands for a VM's address.
pub(crate) struct CoreNetwork {
    pub(crate) nodes: Vec<Node>,
    pub(crate) invariants: InvariantChecker,
    /// Pairs of sending and receiving slots between which no message is delivered.
    pub(crate) blocked_links: IndexSet<(usize, usize)>,
    /// Messages that arrive in the next round.
    in_flight: Vec<OutgoingMessage>,
    /// Messages under a long delay, with the round in which they are delivered.
    delayed: Vec<(u64, OutgoingMessage)>,
    rounds: u64,
    next_request_id: u64,
    next_id: u64,
    random: ChaCha8Rng,
    settings: CheckedSettings,
}

impl CoreNetwork {
    /// Creates a group of `voters` voters and empty slots for more replicas, `slots` in total.
    pub(crate) fn new(voters: usize, slots: usize, seed: u64) -> Self {
        let mut network = Self {
            nodes: Vec::new(),
            invariants: InvariantChecker::default(),
            blocked_links: IndexSet::new(),
            in_flight: Vec::new(),
            delayed: Vec::new(),
            rounds: 0,
            next_request_id: 0,
            next_id: 100,
            random: ChaCha8Rng::seed_from_u64(seed),
            settings: node::settings(voters.max(3), seed.is_multiple_of(3)),
        };
        let members: MemberSet = (0..voters).map(|n| node::member(n, n as u64 + 1)).collect();
        for slot in 0..slots {
            let mut node = Node::empty(slot);
            if slot < voters {
                node.init_voter(slot as u64 + 1, members.clone());
                node.start(network.now(), slot as u64, &network.settings);
            }
            network.nodes.push(node);
        }
        network.invariants.record_members(LogIndex(0), &members);
        network
    }

    /// Simulated time; the clock of each node has an offset and a drift from it.
    pub(crate) fn now(&self) -> BootTime {
        BootTime::from_millis(10_000) + Duration::from_millis(self.rounds * ROUND_MS)
    }

    /// Runs `rounds` rounds with the given network faults.
    pub(crate) fn run(&mut self, rounds: u64, faults: NetworkFaults) {
        for _ in 0..rounds {
            self.rounds += 1;
            self.deliver_messages(faults);
            for slot in 0..self.nodes.len() {
                self.step(slot, Vec::new());
            }
            if self.rounds.is_multiple_of(JOIN_INTERVAL_ROUNDS) {
                self.add_non_members();
            }
            let now = self.now();
            self.invariants.check_leases(now, &self.nodes);
        }
    }

    fn deliver_messages(&mut self, faults: NetworkFaults) {
        let mut arriving = std::mem::take(&mut self.in_flight);
        let now = self.rounds;
        let due_messages = self.delayed.extract_if(.., |(due, _)| *due <= now);
        arriving.extend(due_messages.map(|(_, message)| message));
        arriving.shuffle(&mut self.random);
        for message in arriving {
            if self.random.random_range(0..100) < faults.delay_percent {
                self.in_flight.push(message);
                continue;
            }
            if self.random.random_range(0..100) < faults.long_delay_percent {
                let due = now + self.random.random_range(1..LONG_DELAY_MAX_ROUNDS);
                self.delayed.push((due, message.clone()));
                continue;
            }
            if self.random.random_range(0..100) < faults.duplicate_percent {
                self.in_flight.push(message.clone());
            }
            if self.random.random_range(0..100) >= faults.loss_percent {
                self.deliver_message(message);
            }
        }
    }

    fn deliver_message(&mut self, message: OutgoingMessage) {
        let sender = message.message.sender();
        let slot = usize::from(message.address.port());
        let links = &self.blocked_links;
        let is_blocked = |n: &Node| n.partitioned || links.contains(&(n.slot, slot));
        let mut senders = self.nodes.iter().filter(|n| n.id == Some(sender));
        let blocked = senders.any(is_blocked);
        let node = &mut self.nodes[slot];
        if !blocked && !node.partitioned && node.state != NodeState::Down {
            node.inbox.push(message.message);
        }
    }

    /// Runs one round of the replica in `slot`, like its thread.
    pub(crate) fn step(&mut self, slot: usize, inputs: Vec<CoreInput>) {
        let now = self.now();
        let node = &mut self.nodes[slot];
        let sent = node.run_round(now, inputs, &mut self.invariants, &mut self.random);
        self.in_flight.extend(sent);
    }

    fn allocate_request_id(&mut self) -> RequestId {
        self.next_request_id += 1;
        RequestId(self.next_request_id)
    }

    pub(crate) fn propose(&mut self, slot: usize) {
        let request_id = self.allocate_request_id();
        let command = request_id.0.to_le_bytes();
        let command = command.as_slice().into();
        self.step(
            slot,
            vec![CoreInput::Propose {
                request_id,
                command,
            }],
        );
    }

    pub(crate) fn read(&mut self, slot: usize) {
        let request_id = self.allocate_request_id();
        self.invariants.record_read_start(request_id);
        self.step(slot, vec![CoreInput::Read { request_id }]);
    }

    /// Requests the removal of a member, as an operator would, if a quorum of intact disks remains.
    pub(crate) fn remove(&mut self, leader: usize, target: usize) {
        let members = self.nodes[leader].members_if_leader();
        let (Some(members), Some(id)) = (members, self.nodes[target].id) else {
            return;
        };
        let left = members.without_member(id);
        let keeps_disk = |m: &&ReplicaMember| !self.invariants.lost_replicas.contains(&m.id);
        if left.voters().filter(keeps_disk).count() >= left.quorum() {
            self.change(leader, MemberChange::Remove(id));
        }
    }

    fn change(&mut self, slot: usize, change: MemberChange) {
        let request_id = self.allocate_request_id();
        self.step(slot, vec![CoreInput::Change { request_id, change }]);
    }

    /// Adds running replicas that are not members as learners, as their daemons would request.
    fn add_non_members(&mut self) {
        for leader in 0..self.nodes.len() {
            if self.nodes[leader].members_if_leader().is_none() {
                continue;
            }
            let up = self
                .nodes
                .iter()
                .filter(|n| !n.partitioned && n.needs_join());
            let askers = up.filter_map(|n| Some((n.id?, node::address(n.slot))));
            for (id, address) in askers.collect::<Vec<_>>() {
                self.change(leader, MemberChange::AddLearner { id, address });
            }
        }
    }

    pub(crate) fn crash(&mut self, slot: usize) {
        self.nodes[slot].crash(&mut self.random);
    }

    pub(crate) fn crash_and_restart(&mut self, slot: usize) {
        self.crash(slot);
        self.restart(slot);
    }

    pub(crate) fn restart(&mut self, slot: usize) {
        let now = self.now();
        let seed = self.random.random();
        let node = &mut self.nodes[slot];
        if node.state == NodeState::Down && node.id.is_some() {
            node.start(now, seed, &self.settings);
        }
    }

    /// Replaces the VM in `slot` by one with an empty disk.
    ///
    /// Does nothing unless a quorum of intact disks remains in every member set that is or may
    /// come into effect.
    pub(crate) fn lose_disk(&mut self, slot: usize) {
        let id = self.nodes[slot].id;
        if id.is_some_and(|id| !self.may_lose_disk(id)) {
            return;
        }
        self.invariants.lost_replicas.extend(id);
        self.next_id += 1;
        let fresh = self.next_id;
        let now = self.now();
        let node = &mut self.nodes[slot];
        *node = Node::empty(slot);
        let refused = MemoryLogStore::open(MemoryDisk::default(), 1);
        assert!(matches!(refused, Err(StorageError::NoIdentity { .. })));
        node.init_learner(fresh);
        node.start(now, fresh, &self.settings);
    }

    fn may_lose_disk(&self, id: ReplicaId) -> bool {
        let keeps_quorum = |members: &MemberSet| {
            // The leader may still promote the learner until it notices that the disk is lost.
            let role = MemberRole::Voter;
            let learner = members.get(id).map(|m| ReplicaMember { role, ..*m });
            let members = learner.map_or(members.clone(), |m| members.with_member(m));
            let keeps_disk =
                |m: &&ReplicaMember| m.id != id && !self.invariants.lost_replicas.contains(&m.id);
            members.is_empty() || members.voters().filter(keeps_disk).count() >= members.quorum()
        };
        let effective = self.nodes.iter().filter_map(|n| n.last_members.as_ref());
        keeps_quorum(&self.invariants.members) && effective.into_iter().all(keeps_quorum)
    }

    /// Ends all partitions, pauses and disk faults, and restarts crashed replicas.
    pub(crate) fn clear_faults(&mut self) {
        self.blocked_links.clear();
        for slot in 0..self.nodes.len() {
            self.nodes[slot].resume();
            self.nodes[slot].partitioned = false;
            self.nodes[slot].fails_next_sync = false;
            self.nodes[slot].disk.clear_faults();
            self.restart(slot);
        }
    }

    /// Clears all faults and runs until all replicas are members with equal state.
    pub(crate) fn run_until_converged(&mut self) {
        self.clear_faults();
        for _ in 0..60 {
            self.run(100, NetworkFaults::default());
            if let Some(leader) = self
                .nodes
                .iter()
                .position(|n| n.members_if_leader().is_some())
            {
                self.propose(leader);
            }
            if self.has_converged() {
                return;
            }
        }
        let nodes: Vec<String> = self.nodes.iter().map(Node::describe).collect();
        panic!("not converged after a minute: {nodes:#?}");
    }

    fn has_converged(&self) -> bool {
        let leaders = || {
            self.nodes
                .iter()
                .filter(|n| n.members_if_leader().is_some())
        };
        let Some(leader) = leaders().next() else {
            return false;
        };
        let ids = || self.nodes.iter().filter_map(|n| n.id);
        let members = leader.members_if_leader().unwrap_or_default();
        leaders().count() == 1
            && ids().all(|id| members.get(id).is_some())
            && members.iter().all(|m| ids().any(|id| id == m.id))
            && members.voter_count() >= ids().count().min(3)
            && self
                .invariants
                .acknowledged
                .iter()
                .all(|v| leader.values.contains(v))
            && self
                .nodes
                .iter()
                .all(|n| n.id.is_none() || n.values == leader.values)
    }
}

type MemoryLogStore = guavavane_quorum::storage::LogStore<MemoryDisk>;
