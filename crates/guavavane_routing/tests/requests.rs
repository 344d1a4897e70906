//! What always holds of requests, over generated faults of network, agents and entries.

#![allow(clippy::unwrap_used)]

mod world;

use bolero::produce;

use crate::world::key_of;
use crate::world::RequestKind;
use crate::world::World;
use guavavane_routing::prelude::*;
use guavavane_testing::for_each_value;

/// Longest generated sequence.
const ACTIONS_MAX: usize = 400;

fn play(actions: &[[u8; 2]]) -> World {
    let mut world = World::new();
    for action in actions {
        world.act(*action);
    }
    world.settle();
    world
}

fn runs(world: &World, wanted: impl Fn(&guavavane_model::prelude::RequestId) -> bool) -> u32 {
    let runs = world.agents.iter().flat_map(|agent| &agent.runs);
    runs.filter(|(id, _)| wanted(id))
        .map(|(_, count)| count)
        .sum()
}

fn check_world(world: &World) {
    for (id, kind) in &world.kinds {
        if *kind != RequestKind::Idempotent {
            let key = key_of(kind, *id);
            let ran = runs(world, |other| key_of(&world.kinds[other], *other) == key);
            assert!(ran <= 1, "{key} ran {ran} times");
        }
        let alive = world.entries.iter().any(|e| e.incarnation == id.entry);
        match world.results.get(id) {
            Some(RequestResult::NotRun(reason)) => {
                let ran = runs(world, |other| other == id);
                assert_eq!(ran, 0, "{id} was refused with {reason} and ran");
            }
            Some(RequestResult::Answered(_)) => {
                let key = key_of(kind, *id);
                let ran = runs(world, |other| key_of(&world.kinds[other], *other) == key);
                assert!(ran >= 1, "{id} was answered and did not run");
            }
            Some(RequestResult::Unknown(_)) => {}
            None => assert!(!alive, "{id} has no result"),
        }
    }
    for entry in &world.entries {
        let counts = entry.router.counts();
        assert_eq!((counts.requests, counts.attempts), (0, 0));
        let settings = &world.settings;
        let percent = settings.retry_percent + settings.hedge_percent;
        let cap = 2 * settings.budget_tokens_max + entry.submitted * percent / 100;
        let repeats = world.repeats(entry.incarnation);
        assert!(repeats <= cap, "{repeats} repeats");
    }
}

#[test]
fn requests_run_at_most_once_and_refusals_are_true() {
    for_each_value(
        400,
        produce::<Vec<[u8; 2]>>().with().len(20..ACTIONS_MAX),
        |actions| check_world(&play(actions)),
    );
}
