//! Safety and recovery of the consensus core under generated sequences of faults.
//!
//! Each sequence crashes, pauses and partitions replicas, loses disks and changes the membership.
//! Every round checks the safety properties of Raft; at the end all faults are cleared, and the
//! group must converge with all acknowledged commands.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod network;

use bolero::generator::TypeGenerator;
use bolero::produce;

use crate::network::node::Node;
use crate::network::CoreNetwork;
use crate::network::NetworkFaults;
use guavavane_quorum::core::CoreInput;
use guavavane_testing::for_each_seeded_value;

/// Number of slots, each of which holds at most one replica at a time.
const SLOT_COUNT: usize = 6;
/// Value of `ClusterEvent::clear_faults` below which all faults are cleared before the event.
const CLEAR_FAULTS_THRESHOLD: u8 = 110;
/// Rounds from a restart to about the first election.
const ELECTION_ROUNDS: u64 = 96;
/// Number of restarts, or of pairs of restarts, in one action.
const RESTART_COUNT: u8 = 20;
const LEADER_CHURN_STEPS: u8 = 8;
/// Rounds from the proposal until the leader is partitioned.
const POWER_LOSS_ROUNDS: u64 = 4;
/// Number of generated sequences of events.
const SEQUENCE_COUNT: u64 = 400;

/// Event in the group, after some rounds with the given network faults.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct ClusterEvent {
    /// Square root of the number of rounds, so that many events are close together.
    #[generator(0..11)]
    rounds: u8,
    #[generator(0..40)]
    loss_percent: u8,
    #[generator(0..40)]
    duplicate_percent: u8,
    #[generator(0..70)]
    delay_percent: u8,
    #[generator(0..10)]
    long_delay_percent: u8,
    /// Below [`CLEAR_FAULTS_THRESHOLD`]: partitions, pauses and crashes end before the rounds.
    clear_faults: u8,
    /// Selects the replica of the event; see [`choose_target`].
    slot: u8,
    action: Action,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Action {
    Propose(#[generator(0..12)] u8),
    ProposeMany(#[generator(0..40)] u8),
    Read,
    ReadTwice,
    Crash,
    CrashAtSync,
    CrashAndRestart,
    CrashAndRestartAny,
    Restart,
    RestartAll,
    LoseDisk,
    Pause,
    ResumeAll,
    Partition,
    HealAll,
    Transfer,
    Remove(u8),
    CrashAndRestartAll,
    /// All replicas restart, then one after the other again while they elect a leader.
    RollingRestarts(u8),
    /// Some followers crash during a sync, then all crashed replicas restart without the leader,
    /// which is partitioned.
    PowerLoss(u8),
    /// The leader is paused until a new leader has appended an entry, then gets a read at once.
    StaleLeaderRead,
    /// One link of the leader is blocked, and two other replicas restart again and again.
    BlockLink(u8),
    /// Leaders crash soon after they have appended a command or removed a member.
    LeaderChurn(u8),
}

/// Maps a generated number to a slot.
fn slot_index(number: u8) -> usize {
    usize::from(number) % SLOT_COUNT
}

/// Chooses a leader for three quarters of the numbers, since other replicas refuse requests.
fn choose_target(network: &CoreNetwork, number: u8) -> usize {
    let leader = network
        .nodes
        .iter()
        .position(|n| n.members_if_leader().is_some());
    match leader {
        Some(leader) if number < 192 => leader,
        _ => slot_index(number),
    }
}

fn apply_event(network: &mut CoreNetwork, event: ClusterEvent) {
    let faults = NetworkFaults {
        loss_percent: event.loss_percent,
        duplicate_percent: event.duplicate_percent,
        delay_percent: event.delay_percent,
        long_delay_percent: event.long_delay_percent,
    };
    if event.clear_faults < CLEAR_FAULTS_THRESHOLD {
        network.clear_faults();
    }
    network.run(u64::from(event.rounds).pow(2), faults);
    let target_slot = choose_target(network, event.slot);
    match event.action {
        Action::Propose(count) => (0..count).for_each(|_| network.propose(target_slot)),
        Action::ProposeMany(count) => {
            for _ in 0..count {
                network.propose(target_slot);
                network.run(1, faults);
            }
        }
        Action::Read => network.read(target_slot),
        Action::ReadTwice => {
            network.read(target_slot);
            network.read(slot_index(event.slot));
        }
        Action::Crash => network.crash(target_slot),
        Action::CrashAtSync => network.nodes[target_slot].fails_next_sync = true,
        Action::CrashAndRestart => network.crash_and_restart(target_slot),
        Action::CrashAndRestartAny => network.crash_and_restart(slot_index(event.slot)),
        Action::Restart => network.restart(slot_index(event.slot)),
        Action::RestartAll => (0..SLOT_COUNT).for_each(|slot| network.restart(slot)),
        Action::LoseDisk => network.lose_disk(target_slot),
        Action::Pause => network.nodes[target_slot].pause(),
        Action::ResumeAll => network.nodes.iter_mut().for_each(Node::resume),
        Action::Partition => network.nodes[target_slot].partitioned = true,
        Action::HealAll => network.nodes.iter_mut().for_each(|n| n.partitioned = false),
        Action::Transfer => network.step(target_slot, vec![CoreInput::Transfer]),
        Action::Remove(target) => network.remove(target_slot, slot_index(target)),
        Action::CrashAndRestartAll => {
            (0..SLOT_COUNT).for_each(|slot| network.crash_and_restart(slot))
        }
        Action::RollingRestarts(first) => rolling_restarts(network, faults, first),
        Action::PowerLoss(failing_slots) => power_loss(network, faults, target_slot, failing_slots),
        Action::StaleLeaderRead => stale_leader_read(network, faults, target_slot),
        Action::BlockLink(other) => block_link(network, faults, target_slot, slot_index(other)),
        Action::LeaderChurn(pattern) => leader_churn(network, faults, pattern),
    }
}

fn rolling_restarts(network: &mut CoreNetwork, faults: NetworkFaults, first: u8) {
    (0..SLOT_COUNT).for_each(|slot| network.crash_and_restart(slot));
    network.run(ELECTION_ROUNDS, faults);
    for number in 0..RESTART_COUNT {
        let next = slot_index(first.wrapping_add(number));
        network.nodes[next].fails_next_sync = number % 2 == 0;
        network.run(1, faults);
        network.crash_and_restart(next);
    }
}

fn power_loss(network: &mut CoreNetwork, faults: NetworkFaults, leader: usize, failing_slots: u8) {
    for other in (0..SLOT_COUNT).filter(|s| *s != leader) {
        network.nodes[other].fails_next_sync = failing_slots & (1 << other) != 0;
    }
    network.propose(leader);
    network.run(POWER_LOSS_ROUNDS, faults);
    network.nodes[leader].partitioned = true;
    (0..SLOT_COUNT).for_each(|slot| network.restart(slot));
    network.run(3 * ELECTION_ROUNDS, faults);
}

fn stale_leader_read(network: &mut CoreNetwork, faults: NetworkFaults, leader: usize) {
    network.nodes[leader].pause();
    network.run(3 * ELECTION_ROUNDS, faults);
    network.propose(choose_target(network, 0));
    network.run(ELECTION_ROUNDS / 8, faults);
    network.nodes[leader].resume();
    network.read(leader);
}

fn block_link(network: &mut CoreNetwork, faults: NetworkFaults, leader: usize, other: usize) {
    network.blocked_links.insert((leader, other));
    network.blocked_links.insert((other, leader));
    network.run(2 * ELECTION_ROUNDS, faults);
    for _ in 0..RESTART_COUNT {
        let mut other_slots = (0..SLOT_COUNT).filter(|s| *s != leader && *s != other);
        other_slots
            .by_ref()
            .take(2)
            .for_each(|s| network.crash_and_restart(s));
        network.run(ELECTION_ROUNDS / 12, faults);
    }
}

fn leader_churn(network: &mut CoreNetwork, faults: NetworkFaults, pattern: u8) {
    let mut previous = None;
    for step in 0..LEADER_CHURN_STEPS {
        let leader = choose_target(network, 0);
        if pattern & (1 << step) == 0 {
            network.propose(leader);
        } else {
            network.remove(leader, slot_index(pattern.wrapping_add(step)));
        }
        network.run(u64::from(step % 3), faults);
        previous.into_iter().for_each(|slot| network.restart(slot));
        network.crash(leader);
        previous = Some(leader);
        network.run(2 * ELECTION_ROUNDS + u64::from(pattern), faults);
    }
}

/// Guards against lost acknowledged commands, two leaders or leases at a time, stale reads, and
/// groups that do not recover, in any order of faults.
#[test]
fn safety_holds_under_faults_and_the_group_recovers() {
    let events = produce::<Vec<ClusterEvent>>().with().len(20..120usize);
    for_each_seeded_value(SEQUENCE_COUNT, events, |seed, events| {
        let voters = [1, 3, 3, 5][seed as usize % 4];
        let mut network = CoreNetwork::new(voters, SLOT_COUNT, seed);
        network.run(300, NetworkFaults::default());
        for event in events {
            apply_event(&mut network, event);
        }
        network.run_until_converged();
    });
}
