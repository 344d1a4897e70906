//! Invariants of requests under generated faults of the network, agents, entries and control.

#![allow(clippy::unwrap_used)]

mod simulation;

use bolero::produce;

use crate::simulation::key_of;
use crate::simulation::RequestKind;
use crate::simulation::Simulation;
use guavavane_routing::prelude::*;
use guavavane_testing::for_each_value;

/// Maximum length of a generated sequence of actions.
const ACTIONS_MAX: usize = 400;

fn run_actions(actions: &[[u8; 2]]) -> Simulation {
    let mut simulation = Simulation::new();
    for action in actions {
        simulation.apply_action(*action);
    }
    simulation.run_to_completion();
    simulation
}

fn count_runs(
    simulation: &Simulation,
    is_counted: impl Fn(&guavavane_model::prelude::RequestId) -> bool,
) -> u32 {
    let runs = simulation.agents.iter().flat_map(|agent| &agent.runs);
    runs.filter(|(id, _)| is_counted(id))
        .map(|(_, count)| count)
        .sum()
}

/// Checks that no request that is not idempotent ran twice, that each result agrees with the runs
/// that the agents counted, that no request or attempt stays open, and that repeats stay within
/// the budgets.
fn check_invariants(simulation: &Simulation) {
    for (id, kind) in &simulation.kinds {
        if *kind != RequestKind::Idempotent {
            let key = key_of(kind, *id);
            let run_count = count_runs(simulation, |other| {
                key_of(&simulation.kinds[other], *other) == key
            });
            assert!(run_count <= 1, "{key} ran {run_count} times");
        }
        let is_running = simulation.entries.iter().any(|e| e.incarnation == id.entry);
        match simulation.results.get(id) {
            Some(RequestResult::NotRun(reason)) => {
                let run_count = count_runs(simulation, |other| other == id);
                assert_eq!(run_count, 0, "{id} was refused with {reason} and ran");
            }
            Some(RequestResult::Answered(_)) => {
                let key = key_of(kind, *id);
                let run_count = count_runs(simulation, |other| {
                    key_of(&simulation.kinds[other], *other) == key
                });
                assert!(run_count >= 1, "{id} was answered and did not run");
            }
            Some(RequestResult::Unknown(_)) => {}
            None => assert!(!is_running, "{id} has no result"),
        }
    }
    for entry in &simulation.entries {
        let counts = entry.router.counts();
        assert_eq!((counts.requests, counts.attempts), (0, 0));
        let settings = &simulation.settings;
        let percent = settings.retry_percent + settings.hedge_percent;
        let repeats_max = 2 * settings.budget_tokens_max + entry.submitted * percent / 100;
        let repeats = simulation.count_repeats(entry.incarnation);
        assert!(repeats <= repeats_max, "{repeats} repeats");
    }
}

/// Guards against a second run of a request through lost, duplicated, delayed and reordered
/// messages, and against a "not run" for a request that ran. 400 generated sequences.
#[test]
fn requests_run_at_most_once_and_refusals_are_true() {
    for_each_value(
        400,
        produce::<Vec<[u8; 2]>>().with().len(20..ACTIONS_MAX),
        |actions| check_invariants(&run_actions(actions)),
    );
}
