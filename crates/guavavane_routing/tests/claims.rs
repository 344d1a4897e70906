//! Claims of idempotency keys, step by step.

#![allow(clippy::unwrap_used)]

mod world;

use crate::world::RequestKind;
use crate::world::World;
use crate::world::AGENTS;
use guavavane_model::prelude::RequestId;
use guavavane_routing::prelude::*;

const KEY: RequestKind = RequestKind::Keyed(1);

fn result(world: &World, id: RequestId) -> &RequestResult {
    world.results.get(&id).unwrap()
}

fn restart_agents(world: &mut World) {
    for agent in 0..AGENTS {
        world.restart_agent(agent);
        world.announce(agent);
    }
}

#[test]
fn settled_answer_outlives_the_agent() {
    let mut world = World::new();
    let first = world.submit_kind(0, KEY);
    world.settle();
    restart_agents(&mut world);
    let second = world.submit_kind(1, KEY);
    world.settle();
    assert!(matches!(result(&world, first), RequestResult::Answered(_)));
    assert_eq!(result(&world, first), result(&world, second));
}

#[test]
fn abandoned_claim_is_released() {
    let mut world = World::new();
    let first = world.submit_kind(0, KEY);
    // The claim arrives after its request has ended.
    world.advance(1_100);
    world.settle();
    assert!(matches!(result(&world, first), RequestResult::NotRun(_)));
    restart_agents(&mut world);
    let second = world.submit_kind(1, KEY);
    world.settle();
    assert!(matches!(result(&world, second), RequestResult::Answered(_)));
}

#[test]
fn two_entries_with_one_key_give_one_answer() {
    let mut world = World::new();
    let ids = [world.submit_kind(0, KEY), world.submit_kind(1, KEY)];
    world.settle();
    assert!(matches!(result(&world, ids[0]), RequestResult::Answered(_)));
    assert_eq!(result(&world, ids[0]), result(&world, ids[1]));
    let runs = world.agents.iter().flat_map(|agent| agent.runs.values());
    assert_eq!(runs.sum::<u32>(), 1);
}

#[test]
fn claim_of_a_dead_entry_is_resolved_by_revocation() {
    let mut world = World::new();
    world.submit_kind(0, KEY);
    // The claim is committed; the entry dies before it dispatches.
    world.deliver_claims();
    world.restart_entry(0);
    let second = world.submit_kind(1, KEY);
    world.settle();
    assert!(matches!(result(&world, second), RequestResult::Answered(_)));
}

#[test]
fn without_control_only_keyed_requests_are_refused() {
    let mut world = World::new();
    world.control.down = true;
    let keyed = world.submit_kind(0, KEY);
    let plain = world.submit_kind(0, RequestKind::Plain);
    world.deliver_all();
    for agent in 0..AGENTS {
        world.work(agent, true);
    }
    world.deliver_all();
    let refused = RequestResult::NotRun(NotRunReason::ControlUnavailable);
    assert_eq!(result(&world, keyed), &refused);
    assert!(matches!(result(&world, plain), RequestResult::Answered(_)));
}
