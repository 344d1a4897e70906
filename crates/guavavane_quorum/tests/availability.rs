//! Membership repair, failover and leadership transfer under generated network faults.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod network;

use bolero::generator::TypeGenerator;
use bolero::produce;

use crate::network::node::Node;
use crate::network::CoreNetwork;
use crate::network::NetworkFaults;
use guavavane_quorum::core::CoreInput;
use guavavane_quorum::prelude::*;
use guavavane_testing::for_each_seeded_value;

const SEQUENCE_COUNT: u64 = 150;
const ROUNDS_PER_SECOND: u64 = 100;
/// Maximum time of a membership repair, in seconds: removal timeout, joining, and a margin for
/// elections and lost messages.
const REPAIR_TIMEOUT_SECONDS: u64 = 30;
/// Removal timeout of the simulated replicas, in seconds.
const REMOVAL_TIMEOUT_SECONDS: u64 = 5;

/// Generated network faults and load of one run of a test.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Scenario {
    #[generator(0..15)]
    loss_percent: u8,
    #[generator(0..20)]
    duplicate_percent: u8,
    #[generator(0..40)]
    delay_percent: u8,
    #[generator(0..3)]
    first_slot: u8,
    #[generator(0..3)]
    second_slot: u8,
    /// Number of commands; in the test of a partition, its length in tenths of a second.
    #[generator(1..40)]
    commands: u8,
}

impl Scenario {
    fn faults(&self) -> NetworkFaults {
        NetworkFaults {
            loss_percent: self.loss_percent,
            duplicate_percent: self.duplicate_percent,
            delay_percent: self.delay_percent,
            long_delay_percent: 0,
        }
    }
}

fn leader(network: &CoreNetwork) -> Option<usize> {
    let mut nodes = network.nodes.iter();
    nodes.position(|n| n.members_if_leader().is_some())
}

fn wait_for_leader(network: &mut CoreNetwork, faults: NetworkFaults) -> usize {
    for _ in 0..100 {
        network.run(ROUNDS_PER_SECOND / 2, faults);
        if let Some(leader) = leader(network) {
            return leader;
        }
    }
    panic!("no leader in 50 s");
}

fn propose_commands(network: &mut CoreNetwork, count: u8, faults: NetworkFaults) {
    for _ in 0..count {
        if let Some(leader) = leader(network) {
            network.propose(leader);
        }
        network.run(2, faults);
    }
}

fn is_repaired(network: &CoreNetwork) -> bool {
    let members = network.nodes.iter().find_map(Node::members_if_leader);
    let lost_replicas = &network.invariants.lost_replicas;
    members
        .is_some_and(|m| m.voter_count() == 3 && m.iter().all(|m| !lost_replicas.contains(&m.id)))
        && lost_replicas
            .iter()
            .all(|id| network.invariants.members.get(*id).is_none())
}

/// Guards against a group that stays at two voters after a VM is replaced, so that the loss of a
/// second disk would stop it.
#[test]
fn a_replacement_voter_restores_tolerance_of_a_second_disk_loss() {
    for_each_seeded_value(
        SEQUENCE_COUNT,
        produce::<Scenario>(),
        |seed, scenario: Scenario| {
            let faults = scenario.faults();
            let mut network = CoreNetwork::new(3, 3, seed);
            wait_for_leader(&mut network, faults);
            for slot in [scenario.first_slot, scenario.second_slot] {
                propose_commands(&mut network, scenario.commands, faults);
                network.lose_disk(usize::from(slot));
                for _ in 0..REPAIR_TIMEOUT_SECONDS {
                    network.run(ROUNDS_PER_SECOND, faults);
                    if is_repaired(&network) {
                        break;
                    }
                }
                assert!(
                    is_repaired(&network),
                    "not repaired after {REPAIR_TIMEOUT_SECONDS} s"
                );
            }
            assert_eq!(
                network.invariants.lost_replicas.len(),
                2,
                "both disks were lost"
            );
            network.run_until_converged();
        },
    );
}

/// Guards against a partitioned replica that raises its term and, on its return, forces the
/// leader to step down; pre-vote and ignored vote requests prevent it.
#[test]
fn a_partitioned_replica_does_not_depose_the_leader() {
    for_each_seeded_value(
        SEQUENCE_COUNT,
        produce::<Scenario>(),
        |seed, scenario: Scenario| {
            let mut network = CoreNetwork::new(3, 3, seed);
            let initial_leader = wait_for_leader(&mut network, NetworkFaults::default());
            let partitioned_slot = (initial_leader + 1 + usize::from(scenario.first_slot) % 2) % 3;
            let term = network.nodes[initial_leader].term();
            network.nodes[partitioned_slot].partitioned = true;
            network.run(
                u64::from(scenario.commands) * ROUNDS_PER_SECOND / 10,
                NetworkFaults::default(),
            );
            network.nodes[partitioned_slot].partitioned = false;
            network.run(3 * ROUNDS_PER_SECOND, NetworkFaults::default());
            assert_eq!(leader(&network), Some(initial_leader));
            assert_eq!(network.nodes[initial_leader].term(), term);
        },
    );
}

/// Guards against a leader that keeps the role without a quorum (check-quorum).
#[test]
fn a_leader_without_a_quorum_steps_down() {
    for_each_seeded_value(
        SEQUENCE_COUNT,
        produce::<Scenario>(),
        |seed, scenario: Scenario| {
            let mut network = CoreNetwork::new(3, 3, seed);
            let old_leader = wait_for_leader(&mut network, scenario.faults());
            network.nodes[old_leader].partitioned = true;
            network.run(2 * ROUNDS_PER_SECOND, scenario.faults());
            assert!(network.nodes[old_leader].members_if_leader().is_none());
            wait_for_leader(&mut network, scenario.faults());
            network.run_until_converged();
        },
    );
}

/// Guards against a voter that stops answering while the leader goes on and shows nothing.
#[test]
fn a_voter_without_answers_shows_as_unavailable_until_it_returns() {
    for_each_seeded_value(
        SEQUENCE_COUNT,
        produce::<Scenario>(),
        |seed, scenario: Scenario| {
            let mut network = CoreNetwork::new(3, 3, seed);
            let leader = wait_for_leader(&mut network, NetworkFaults::default());
            let silent_slot = (leader + 1 + usize::from(scenario.first_slot) % 2) % 3;
            let silent_id = network.nodes[silent_slot].id;
            let unavailable = |network: &CoreNetwork| network.nodes[leader].unavailable_voters();
            propose_commands(&mut network, scenario.commands, NetworkFaults::default());
            assert_eq!(unavailable(&network), []);
            network.nodes[silent_slot].partitioned = true;
            let seconds = REMOVAL_TIMEOUT_SECONDS + 1;
            network.run(seconds * ROUNDS_PER_SECOND, NetworkFaults::default());
            assert_eq!(unavailable(&network), Vec::from_iter(silent_id));
            network.nodes[silent_slot].partitioned = false;
            network.run(ROUNDS_PER_SECOND, NetworkFaults::default());
            assert_eq!(unavailable(&network), []);
        },
    );
}

/// Guards against a replica that never joins again after it was replaced while it was silent, since
/// it still finds itself in its own member set.
#[test]
fn a_replica_that_was_replaced_while_silent_joins_again() {
    let mut network = CoreNetwork::new(3, 4, 1);
    let leader = wait_for_leader(&mut network, NetworkFaults::default());
    network.lose_disk(3);
    network.run(2 * ROUNDS_PER_SECOND, NetworkFaults::default());
    let silent_slot = (leader + 1) % 3;
    network.nodes[silent_slot].partitioned = true;
    let seconds = REMOVAL_TIMEOUT_SECONDS + 3;
    network.run(seconds * ROUNDS_PER_SECOND, NetworkFaults::default());
    let members = network.nodes[leader].members_if_leader().unwrap();
    let silent_id = network.nodes[silent_slot].id.unwrap();
    assert_eq!(members.get(silent_id), None);
    network.nodes[silent_slot].partitioned = false;
    network.run(10 * ROUNDS_PER_SECOND, NetworkFaults::default());
    let members = network.nodes.iter().find_map(Node::members_if_leader);
    assert!(members.is_some_and(|members| members.get(silent_id).is_some()));
}

/// Guards against a repair that removes a voter which may return, in place of one whose disk is lost.
#[test]
fn a_replacement_takes_the_place_of_the_voter_whose_disk_was_lost() {
    for seed in 0..SEQUENCE_COUNT {
        let mut network = CoreNetwork::new(5, 5, seed);
        let leader = wait_for_leader(&mut network, NetworkFaults::default());
        let others: Vec<usize> = (0..5).filter(|slot| *slot != leader).collect();
        let (silent_slot, lost_slot) = (others[seed as usize % 4], others[(seed as usize + 1) % 4]);
        let silent_id = network.nodes[silent_slot].id.unwrap();
        network.nodes[silent_slot].partitioned = true;
        let seconds = REMOVAL_TIMEOUT_SECONDS + 3;
        network.run(seconds * ROUNDS_PER_SECOND, NetworkFaults::default());
        network.lose_disk(lost_slot);
        network.run(seconds * ROUNDS_PER_SECOND, NetworkFaults::default());
        let members = network.nodes.iter().find_map(Node::members_if_leader);
        let members = members.unwrap();
        assert!(members.get(silent_id).is_some(), "seed {seed}");
        let lost_replicas = &network.invariants.lost_replicas;
        assert!(lost_replicas.iter().all(|id| members.get(*id).is_none()));
    }
}

/// Guards against a transfer after which the group waits 1 s or more for an election timeout.
#[test]
fn a_leadership_transfer_needs_no_election_timeout() {
    for_each_seeded_value(
        SEQUENCE_COUNT,
        produce::<Scenario>(),
        |seed, scenario: Scenario| {
            let mut network = CoreNetwork::new(3, 3, seed);
            let old_leader = wait_for_leader(&mut network, NetworkFaults::default());
            propose_commands(&mut network, scenario.commands, NetworkFaults::default());
            network.step(old_leader, vec![CoreInput::Transfer]);
            network.run(ROUNDS_PER_SECOND / 5, NetworkFaults::default());
            assert!(
                leader(&network).is_some_and(|l| l != old_leader),
                "no new leader in 200 ms"
            );
        },
    );
}

/// Guards against entries lost or applied twice when replicas restart from snapshot and log.
#[test]
fn restarts_after_hundreds_of_commands_give_the_same_state() {
    for_each_seeded_value(
        SEQUENCE_COUNT / 5,
        produce::<Scenario>(),
        |seed, scenario: Scenario| {
            let faults = scenario.faults();
            let mut network = CoreNetwork::new(3, 3, seed);
            wait_for_leader(&mut network, faults);
            for _ in 0..10 {
                propose_commands(&mut network, 20 + scenario.commands, faults);
                network.run(ROUNDS_PER_SECOND, faults);
                (0..3).for_each(|slot| network.crash_and_restart(slot));
                wait_for_leader(&mut network, faults);
            }
            network.run_until_converged();
            let acknowledged = network.invariants.acknowledged.len();
            assert!(
                acknowledged > 100,
                "only {acknowledged} commands were acknowledged"
            );
        },
    );
}

/// Guards against a group that never gets its wanted voters when replicas join a single voter.
#[test]
fn a_group_of_one_voter_grows_to_the_wanted_number() {
    for_each_seeded_value(
        SEQUENCE_COUNT / 5,
        produce::<Scenario>(),
        |seed, scenario: Scenario| {
            let mut network = CoreNetwork::new(1, 4, seed);
            let leader = wait_for_leader(&mut network, scenario.faults());
            (1..4).for_each(|slot| network.lose_disk(slot));
            network.run(10 * ROUNDS_PER_SECOND, scenario.faults());
            network.run_until_converged();
            let members = network.nodes[leader].members_if_leader();
            let members =
                members.or_else(|| network.nodes.iter().find_map(Node::members_if_leader));
            let voters = members.as_ref().map(MemberSet::voter_count);
            assert_eq!(voters, Some(3), "one replica stays a learner");
        },
    );
}
