//! Properties of the consensus core on generated sequences of faults.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod network;

use bolero::generator::TypeGenerator;
use bolero::produce;

use crate::network::node::Node;
use crate::network::CoreNetwork;
use crate::network::Weather;
use guavavane_quorum::core::CoreInput;
use guavavane_testing::for_each_seeded_value;

const SLOTS: usize = 6;
const REPAIRED: u8 = 110;
/// Rounds from a restart to the first election.
const ELECTION_ROUNDS: u64 = 96;
const TURMOIL_ROUNDS: u8 = 20;
const CHURN_STEPS: u8 = 8;
const POWER_LOSS_ROUNDS: u64 = 4;
const SEQUENCES: u64 = 400;

/// One thing that happens to the group, after some time has passed.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Event {
    /// Squared, so that much may happen at nearly the same time.
    #[generator(0..11)]
    rounds: u8,
    #[generator(0..40)]
    loss: u8,
    #[generator(0..40)]
    double: u8,
    #[generator(0..70)]
    delay: u8,
    #[generator(0..10)]
    hold: u8,
    /// Below [`REPAIRED`]: cuts, freezes and crashes end before the time passes.
    repair: u8,
    /// Replica that it happens to; see [`aim`].
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
    Bounce,
    BounceOther,
    Restart,
    RestartAll,
    LoseDisk,
    Freeze,
    Thaw,
    Cut,
    MendAll,
    Transfer,
    Remove(u8),
    CrashAll,
    /// Replicas restart one after the other while they elect a leader.
    Turmoil(u8),
    /// Followers crash as they sync, and the leader is cut off.
    PowerLoss(u8),
    /// The leader is frozen until another has written, and then asked at once.
    FrozenRead,
    /// One follower does not hear the leader, and another restarts again and again.
    CutLink(u8),
    /// Leaders crash soon after they have written or removed a member.
    Churn(u8),
}

fn slot(number: u8) -> usize {
    usize::from(number) % SLOTS
}

/// Aims at a leader rather than at any slot in most cases, since others only refuse.
fn aim(network: &CoreNetwork, number: u8) -> usize {
    let leader = network
        .nodes
        .iter()
        .position(|n| n.members_if_leader().is_some());
    match leader {
        Some(leader) if number < 192 => leader,
        _ => slot(number),
    }
}

fn happen(network: &mut CoreNetwork, event: Event) {
    let weather = Weather {
        loss: event.loss,
        double: event.double,
        delay: event.delay,
        hold: event.hold,
    };
    if event.repair < REPAIRED {
        network.repair();
    }
    network.run(u64::from(event.rounds).pow(2), weather);
    let aimed = aim(network, event.slot);
    match event.action {
        Action::Propose(count) => (0..count).for_each(|_| network.propose(aimed)),
        Action::ProposeMany(count) => {
            for _ in 0..count {
                network.propose(aimed);
                network.run(1, weather);
            }
        }
        Action::Read => network.read(aimed),
        Action::ReadTwice => {
            network.read(aimed);
            network.read(slot(event.slot));
        }
        Action::Crash => network.crash(aimed),
        Action::CrashAtSync => network.nodes[aimed].doomed = true,
        Action::Bounce => network.bounce(aimed),
        Action::BounceOther => network.bounce(slot(event.slot)),
        Action::Restart => network.restart(slot(event.slot)),
        Action::RestartAll => (0..SLOTS).for_each(|slot| network.restart(slot)),
        Action::LoseDisk => network.lose_disk(aimed),
        Action::Freeze => network.nodes[aimed].freeze(),
        Action::Thaw => network.nodes.iter_mut().for_each(Node::thaw),
        Action::Cut => network.nodes[aimed].cut = true,
        Action::MendAll => network.nodes.iter_mut().for_each(|n| n.cut = false),
        Action::Transfer => network.step(aimed, vec![CoreInput::Transfer]),
        Action::Remove(target) => network.remove(aimed, slot(target)),
        Action::CrashAll => (0..SLOTS).for_each(|slot| network.bounce(slot)),
        Action::Turmoil(first) => turmoil(network, weather, first),
        Action::PowerLoss(doomed) => power_loss(network, weather, aimed, doomed),
        Action::FrozenRead => frozen_read(network, weather, aimed),
        Action::CutLink(other) => cut_link(network, weather, aimed, slot(other)),
        Action::Churn(pattern) => churn(network, weather, pattern),
    }
}

fn turmoil(network: &mut CoreNetwork, weather: Weather, first: u8) {
    (0..SLOTS).for_each(|slot| network.bounce(slot));
    network.run(ELECTION_ROUNDS, weather);
    for number in 0..TURMOIL_ROUNDS {
        let next = slot(first.wrapping_add(number));
        network.nodes[next].doomed = number % 2 == 0;
        network.run(1, weather);
        network.bounce(next);
    }
}

fn power_loss(network: &mut CoreNetwork, weather: Weather, leader: usize, doomed: u8) {
    for other in (0..SLOTS).filter(|s| *s != leader) {
        network.nodes[other].doomed = doomed & (1 << other) != 0;
    }
    network.propose(leader);
    network.run(POWER_LOSS_ROUNDS, weather);
    network.nodes[leader].cut = true;
    (0..SLOTS).for_each(|slot| network.restart(slot));
    network.run(3 * ELECTION_ROUNDS, weather);
}

fn frozen_read(network: &mut CoreNetwork, weather: Weather, leader: usize) {
    network.nodes[leader].freeze();
    network.run(3 * ELECTION_ROUNDS, weather);
    network.propose(aim(network, 0));
    network.run(ELECTION_ROUNDS / 8, weather);
    network.nodes[leader].thaw();
    network.read(leader);
}

fn cut_link(network: &mut CoreNetwork, weather: Weather, leader: usize, other: usize) {
    network.cut_links.insert((leader, other));
    network.cut_links.insert((other, leader));
    network.run(2 * ELECTION_ROUNDS, weather);
    for _ in 0..TURMOIL_ROUNDS {
        let mut thirds = (0..SLOTS).filter(|s| *s != leader && *s != other);
        thirds.by_ref().take(2).for_each(|s| network.bounce(s));
        network.run(ELECTION_ROUNDS / 12, weather);
    }
}

fn churn(network: &mut CoreNetwork, weather: Weather, pattern: u8) {
    let mut previous = None;
    for step in 0..CHURN_STEPS {
        let leader = aim(network, 0);
        if pattern & (1 << step) == 0 {
            network.propose(leader);
        } else {
            network.remove(leader, slot(pattern.wrapping_add(step)));
        }
        network.run(u64::from(step % 3), weather);
        previous.into_iter().for_each(|slot| network.restart(slot));
        network.crash(leader);
        previous = Some(leader);
        network.run(2 * ELECTION_ROUNDS + u64::from(pattern), weather);
    }
}

#[test]
fn faults_break_no_promise_and_the_group_recovers() {
    let events = produce::<Vec<Event>>().with().len(20..120usize);
    for_each_seeded_value(SEQUENCES, events, |seed, events| {
        let voters = [1, 3, 3, 5][seed as usize % 4];
        let mut network = CoreNetwork::new(voters, SLOTS, seed);
        network.run(300, Weather::default());
        for event in events {
            happen(&mut network, event);
        }
        network.settle();
    });
}
