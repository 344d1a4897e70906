//! Repairs and handovers that must come about by themselves, on generated weather.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod network;

use bolero::generator::TypeGenerator;
use bolero::produce;

use crate::network::node::Node;
use crate::network::CoreNetwork;
use crate::network::Weather;
use guavavane_quorum::core::CoreInput;
use guavavane_quorum::prelude::*;
use guavavane_testing::for_each_seeded_value;

const SEQUENCES: u64 = 150;
const ROUNDS_A_SECOND: u64 = 100;
/// Removal timeout, joining, and a margin for elections and lost messages.
const REPAIR_SECONDS: u64 = 30;

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Situation {
    #[generator(0..15)]
    loss: u8,
    #[generator(0..20)]
    double: u8,
    #[generator(0..40)]
    delay: u8,
    #[generator(0..3)]
    first: u8,
    #[generator(0..3)]
    second: u8,
    #[generator(1..40)]
    changes: u8,
}

impl Situation {
    fn weather(&self) -> Weather {
        Weather {
            loss: self.loss,
            double: self.double,
            delay: self.delay,
            hold: 0,
        }
    }
}

fn leader(network: &CoreNetwork) -> Option<usize> {
    let mut nodes = network.nodes.iter();
    nodes.position(|n| n.members_if_leader().is_some())
}

fn wait_for_leader(network: &mut CoreNetwork, weather: Weather) -> usize {
    for _ in 0..100 {
        network.run(ROUNDS_A_SECOND / 2, weather);
        if let Some(leader) = leader(network) {
            return leader;
        }
    }
    panic!("no leader in 50 s");
}

fn propose_some(network: &mut CoreNetwork, count: u8, weather: Weather) {
    for _ in 0..count {
        if let Some(leader) = leader(network) {
            network.propose(leader);
        }
        network.run(2, weather);
    }
}

fn is_repaired(network: &CoreNetwork) -> bool {
    let members = network.nodes.iter().find_map(Node::members_if_leader);
    let lost = &network.truth.lost;
    members.is_some_and(|m| m.voter_count() == 3 && m.iter().all(|m| !lost.contains(&m.id)))
        && lost
            .iter()
            .all(|id| network.truth.members.get(*id).is_none())
}

#[test]
fn a_replaced_vm_restores_the_tolerance_of_a_second_loss() {
    for_each_seeded_value(
        SEQUENCES,
        produce::<Situation>(),
        |seed, situation: Situation| {
            let weather = situation.weather();
            let mut network = CoreNetwork::new(3, 3, seed);
            wait_for_leader(&mut network, weather);
            for slot in [situation.first, situation.second] {
                propose_some(&mut network, situation.changes, weather);
                network.lose_disk(usize::from(slot));
                for _ in 0..REPAIR_SECONDS {
                    network.run(ROUNDS_A_SECOND, weather);
                    if is_repaired(&network) {
                        break;
                    }
                }
                assert!(
                    is_repaired(&network),
                    "not repaired after {REPAIR_SECONDS} s"
                );
            }
            assert_eq!(network.truth.lost.len(), 2, "both disks were lost");
            network.settle();
        },
    );
}

#[test]
fn a_replica_that_was_cut_off_does_not_depose_the_leader() {
    for_each_seeded_value(
        SEQUENCES,
        produce::<Situation>(),
        |seed, situation: Situation| {
            let mut network = CoreNetwork::new(3, 3, seed);
            let before = wait_for_leader(&mut network, Weather::default());
            let other = (before + 1 + usize::from(situation.first) % 2) % 3;
            let term = network.nodes[before].term();
            network.nodes[other].cut = true;
            network.run(
                u64::from(situation.changes) * ROUNDS_A_SECOND / 10,
                Weather::default(),
            );
            network.nodes[other].cut = false;
            network.run(3 * ROUNDS_A_SECOND, Weather::default());
            assert_eq!(leader(&network), Some(before));
            assert_eq!(network.nodes[before].term(), term);
        },
    );
}

#[test]
fn a_leader_without_a_quorum_steps_down() {
    for_each_seeded_value(
        SEQUENCES,
        produce::<Situation>(),
        |seed, situation: Situation| {
            let mut network = CoreNetwork::new(3, 3, seed);
            let old = wait_for_leader(&mut network, situation.weather());
            network.nodes[old].cut = true;
            network.run(2 * ROUNDS_A_SECOND, situation.weather());
            assert!(network.nodes[old].members_if_leader().is_none());
            wait_for_leader(&mut network, situation.weather());
            network.settle();
        },
    );
}

#[test]
fn a_handover_takes_no_election_timeout() {
    for_each_seeded_value(
        SEQUENCES,
        produce::<Situation>(),
        |seed, situation: Situation| {
            let mut network = CoreNetwork::new(3, 3, seed);
            let old = wait_for_leader(&mut network, Weather::default());
            propose_some(&mut network, situation.changes, Weather::default());
            network.step(old, vec![CoreInput::Transfer]);
            network.run(ROUNDS_A_SECOND / 5, Weather::default());
            assert!(
                leader(&network).is_some_and(|l| l != old),
                "no new leader in 200 ms"
            );
        },
    );
}

#[test]
fn a_restart_after_hundreds_of_changes_gives_the_same_state() {
    for_each_seeded_value(
        SEQUENCES / 5,
        produce::<Situation>(),
        |seed, situation: Situation| {
            let weather = situation.weather();
            let mut network = CoreNetwork::new(3, 3, seed);
            wait_for_leader(&mut network, weather);
            for _ in 0..10 {
                propose_some(&mut network, 20 + situation.changes, weather);
                network.run(ROUNDS_A_SECOND, weather);
                (0..3).for_each(|slot| network.bounce(slot));
                wait_for_leader(&mut network, weather);
            }
            network.settle();
            let acknowledged = network.truth.acknowledged.len();
            assert!(acknowledged > 100, "only {acknowledged} changes were made");
        },
    );
}

#[test]
fn a_sole_voter_grows_to_the_wanted_number() {
    for_each_seeded_value(
        SEQUENCES / 5,
        produce::<Situation>(),
        |seed, situation: Situation| {
            let mut network = CoreNetwork::new(1, 4, seed);
            let leader = wait_for_leader(&mut network, situation.weather());
            (1..4).for_each(|slot| network.lose_disk(slot));
            network.run(10 * ROUNDS_A_SECOND, situation.weather());
            network.settle();
            let members = network.nodes[leader].members_if_leader();
            let members =
                members.or_else(|| network.nodes.iter().find_map(Node::members_if_leader));
            let voters = members.as_ref().map(MemberSet::voter_count);
            assert_eq!(voters, Some(3), "one stays a spare learner");
        },
    );
}
