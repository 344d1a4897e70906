//! A few consensus cores on disks in memory, with a network that loses, doubles, delays and
//! reorders messages. Every step checks what must always hold.

#![allow(dead_code, reason = "each test drives a part")]

pub(crate) mod memory_disk;
pub(crate) mod node;
pub(crate) mod truth;

use std::time::Duration;

use indexmap::IndexSet;
use rand::seq::SliceRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::network::memory_disk::MemoryDisk;
use crate::network::node::Node;
use crate::network::node::NodeState;
use crate::network::truth::Truth;
use guavavane_model::time::BootTime;
use guavavane_quorum::core::CoreInput;
use guavavane_quorum::core::MemberChange;
use guavavane_quorum::core::RequestId;
use guavavane_quorum::prelude::*;

const ROUND_MS: u64 = 10;
const HOLD_ROUNDS: u64 = 200;
const JOIN_ROUNDS: u64 = 50;

/// How the network treats messages, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Weather {
    pub(crate) loss: u8,
    pub(crate) double: u8,
    pub(crate) delay: u8,
    /// Held for up to [`HOLD_ROUNDS`].
    pub(crate) hold: u8,
}

pub(crate) struct CoreNetwork {
    pub(crate) nodes: Vec<Node>,
    pub(crate) truth: Truth,
    /// Pairs of slots, from and to, between which nothing passes.
    pub(crate) cut_links: IndexSet<(usize, usize)>,
    wire: Vec<OutgoingMessage>,
    /// Messages with the round in which they go on.
    held: Vec<(u64, OutgoingMessage)>,
    rounds: u64,
    next_request_id: u64,
    next_id: u64,
    random: ChaCha8Rng,
    settings: CheckedSettings,
}

impl CoreNetwork {
    /// `voters` first voters, and slots for more replicas up to `slots`.
    pub(crate) fn new(voters: usize, slots: usize, seed: u64) -> Self {
        let mut network = Self {
            nodes: Vec::new(),
            truth: Truth::default(),
            cut_links: IndexSet::new(),
            wire: Vec::new(),
            held: Vec::new(),
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
        network.truth.note_members(LogIndex(0), &members);
        network
    }

    /// True time; each node's own clock is offset and drifts from it.
    pub(crate) fn now(&self) -> BootTime {
        BootTime::from_millis(10_000) + Duration::from_millis(self.rounds * ROUND_MS)
    }

    /// Lets `rounds` rounds pass under this weather.
    pub(crate) fn run(&mut self, rounds: u64, weather: Weather) {
        for _ in 0..rounds {
            self.rounds += 1;
            self.deliver(weather);
            for slot in 0..self.nodes.len() {
                self.step(slot, Vec::new());
            }
            if self.rounds.is_multiple_of(JOIN_ROUNDS) {
                self.join_strangers();
            }
            let now = self.now();
            self.truth.check_leases(now, &self.nodes);
        }
    }

    fn deliver(&mut self, weather: Weather) {
        let mut arriving = std::mem::take(&mut self.wire);
        let now = self.rounds;
        let released = self.held.extract_if(.., |(due, _)| *due <= now);
        arriving.extend(released.map(|(_, message)| message));
        arriving.shuffle(&mut self.random);
        for message in arriving {
            if self.random.random_range(0..100) < weather.delay {
                self.wire.push(message);
                continue;
            }
            if self.random.random_range(0..100) < weather.hold {
                let due = now + self.random.random_range(1..HOLD_ROUNDS);
                self.held.push((due, message.clone()));
                continue;
            }
            if self.random.random_range(0..100) < weather.double {
                self.wire.push(message.clone());
            }
            if self.random.random_range(0..100) >= weather.loss {
                self.arrive(message);
            }
        }
    }

    fn arrive(&mut self, message: OutgoingMessage) {
        let sender = message.message.sender();
        let slot = usize::from(message.address.port());
        let links = &self.cut_links;
        let cuts = |n: &Node| n.cut || links.contains(&(n.slot, slot));
        let mut senders = self.nodes.iter().filter(|n| n.id == Some(sender));
        let cut = senders.any(cuts);
        let node = &mut self.nodes[slot];
        if !cut && !node.cut && node.state != NodeState::Down {
            node.inbox.push(message.message);
        }
    }

    /// One round of the replica in `slot`, as its thread would make it.
    pub(crate) fn step(&mut self, slot: usize, inputs: Vec<CoreInput>) {
        let now = self.now();
        let node = &mut self.nodes[slot];
        let sent = node.round(now, inputs, &mut self.truth, &mut self.random);
        self.wire.extend(sent);
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
        self.truth.ask_read(request_id);
        self.step(slot, vec![CoreInput::Read { request_id }]);
    }

    /// An operator removes a member, if that leaves a quorum of disks.
    pub(crate) fn remove(&mut self, leader: usize, target: usize) {
        let members = self.nodes[leader].members_if_leader();
        let (Some(members), Some(id)) = (members, self.nodes[target].id) else {
            return;
        };
        let left = members.without_member(id);
        let kept = |m: &&ReplicaMember| !self.truth.lost.contains(&m.id);
        if left.voters().filter(kept).count() >= left.quorum() {
            self.change(leader, MemberChange::Remove(id));
        }
    }

    fn change(&mut self, slot: usize, change: MemberChange) {
        let request_id = self.allocate_request_id();
        self.step(slot, vec![CoreInput::Change { request_id, change }]);
    }

    /// Replicas that the leaders do not know ask to be added, as a daemon does.
    fn join_strangers(&mut self) {
        for leader in 0..self.nodes.len() {
            let Some(members) = self.nodes[leader].members_if_leader() else {
                continue;
            };
            let up = self
                .nodes
                .iter()
                .filter(|n| n.state == NodeState::Up && !n.cut);
            let ids = up.filter_map(|n| Some((n.id?, node::address(n.slot))));
            let strangers: Vec<_> = ids.filter(|(id, _)| members.get(*id).is_none()).collect();
            for (id, address) in strangers {
                self.change(leader, MemberChange::AddLearner { id, address });
            }
        }
    }

    pub(crate) fn crash(&mut self, slot: usize) {
        self.nodes[slot].crash(&mut self.random);
    }

    pub(crate) fn bounce(&mut self, slot: usize) {
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

    /// Replaces the VM in `slot` by one with an empty disk, if that leaves every member set
    /// that is or may come into force a quorum of disks.
    pub(crate) fn lose_disk(&mut self, slot: usize) {
        let id = self.nodes[slot].id;
        if id.is_some_and(|id| !self.may_lose(id)) {
            return;
        }
        self.truth.lost.extend(id);
        self.next_id += 1;
        let fresh = self.next_id;
        let now = self.now();
        let node = &mut self.nodes[slot];
        *node = Node::empty(slot);
        let refused = LogOpen::open(MemoryDisk::default(), 1);
        assert!(matches!(refused, Err(StorageError::NoIdentity { .. })));
        node.init_learner(fresh);
        node.start(now, fresh, &self.settings);
    }

    fn may_lose(&self, id: ReplicaId) -> bool {
        let survives = |members: &MemberSet| {
            // A leader that has not missed a learner yet may still make it a voter.
            let role = MemberRole::Voter;
            let learner = members.get(id).map(|m| ReplicaMember { role, ..*m });
            let members = learner.map_or(members.clone(), |m| members.with_member(m));
            let kept = |m: &&ReplicaMember| m.id != id && !self.truth.lost.contains(&m.id);
            members.is_empty() || members.voters().filter(kept).count() >= members.quorum()
        };
        let effective = self.nodes.iter().filter_map(|n| n.last_members.as_ref());
        survives(&self.truth.members) && effective.into_iter().all(survives)
    }

    /// Ends all cuts, freezes and crashes.
    pub(crate) fn repair(&mut self) {
        self.cut_links.clear();
        for slot in 0..self.nodes.len() {
            self.nodes[slot].thaw();
            self.nodes[slot].cut = false;
            self.nodes[slot].doomed = false;
            self.nodes[slot].disk.repair();
            self.restart(slot);
        }
    }

    /// Waits until all replicas agree and are in the group.
    pub(crate) fn settle(&mut self) {
        self.repair();
        for _ in 0..60 {
            self.run(100, Weather::default());
            if let Some(leader) = self
                .nodes
                .iter()
                .position(|n| n.members_if_leader().is_some())
            {
                self.propose(leader);
            }
            if self.is_settled() {
                return;
            }
        }
        let nodes: Vec<String> = self.nodes.iter().map(Node::describe).collect();
        panic!("not settled after a minute: {nodes:#?}");
    }

    fn is_settled(&self) -> bool {
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
                .truth
                .acknowledged
                .iter()
                .all(|v| leader.values.contains(v))
            && self
                .nodes
                .iter()
                .all(|n| n.id.is_none() || n.values == leader.values)
    }
}

type LogOpen = guavavane_quorum::storage::LogStore<MemoryDisk>;
