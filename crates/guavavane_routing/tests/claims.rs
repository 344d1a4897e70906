//! Claims of idempotency keys in chosen sequences of faults.

#![allow(clippy::unwrap_used)]

mod simulation;

use crate::simulation::RequestKind;
use crate::simulation::Simulation;
use crate::simulation::AGENT_COUNT;
use guavavane_model::prelude::RequestId;
use guavavane_routing::prelude::*;

const KEYED_REQUEST: RequestKind = RequestKind::Keyed(1);

fn result(simulation: &Simulation, id: RequestId) -> &RequestResult {
    simulation.results.get(&id).unwrap()
}

fn restart_agents(simulation: &mut Simulation) {
    for agent in 0..AGENT_COUNT {
        simulation.restart_agent(agent);
        simulation.announce(agent);
    }
}

/// Guards against a second run of a keyed request whose agent restarted after the answer. The
/// second entry must return the stored answer.
#[test]
fn settled_answer_outlives_the_agent() {
    let mut simulation = Simulation::new();
    let first = simulation.submit_kind(0, KEYED_REQUEST);
    simulation.run_to_completion();
    restart_agents(&mut simulation);
    let second = simulation.submit_kind(1, KEYED_REQUEST);
    simulation.run_to_completion();
    assert!(matches!(
        result(&simulation, first),
        RequestResult::Answered(_)
    ));
    assert_eq!(result(&simulation, first), result(&simulation, second));
}

/// Guards against a key that stays held by a claim which control commits after its request has
/// ended. No attempt runs under such a claim, so a later request must get the key.
#[test]
fn abandoned_claim_is_released() {
    let mut simulation = Simulation::new();
    let first = simulation.submit_kind(0, KEYED_REQUEST);
    // The claim reaches control after its request has ended.
    simulation.advance(1_100);
    simulation.run_to_completion();
    assert!(matches!(
        result(&simulation, first),
        RequestResult::NotRun(_)
    ));
    restart_agents(&mut simulation);
    let second = simulation.submit_kind(1, KEYED_REQUEST);
    simulation.run_to_completion();
    assert!(matches!(
        result(&simulation, second),
        RequestResult::Answered(_)
    ));
}

/// Guards against two runs of concurrent requests with one key at different entries.
#[test]
fn two_entries_with_one_key_give_one_answer() {
    let mut simulation = Simulation::new();
    let ids = [
        simulation.submit_kind(0, KEYED_REQUEST),
        simulation.submit_kind(1, KEYED_REQUEST),
    ];
    simulation.run_to_completion();
    assert!(matches!(
        result(&simulation, ids[0]),
        RequestResult::Answered(_)
    ));
    assert_eq!(result(&simulation, ids[0]), result(&simulation, ids[1]));
    let runs = simulation
        .agents
        .iter()
        .flat_map(|agent| agent.runs.values());
    assert_eq!(runs.sum::<u32>(), 1);
}

/// Guards against a key that stays held by an entry that restarted between claim and dispatch.
/// Another entry must revoke the attempt and take over the key.
#[test]
fn claim_of_a_dead_entry_is_resolved_by_revocation() {
    let mut simulation = Simulation::new();
    simulation.submit_kind(0, KEYED_REQUEST);
    // The claim is committed, and the entry restarts before it dispatches the attempt.
    simulation.commit_claims_with_unknown_outcome();
    simulation.restart_entry(0);
    let second = simulation.submit_kind(1, KEYED_REQUEST);
    simulation.run_to_completion();
    assert!(matches!(
        result(&simulation, second),
        RequestResult::Answered(_)
    ));
}

/// Guards against an outage of control that stops requests which need no claim.
#[test]
fn without_control_only_keyed_requests_are_refused() {
    let mut simulation = Simulation::new();
    simulation.control.is_down = true;
    let keyed = simulation.submit_kind(0, KEYED_REQUEST);
    let plain = simulation.submit_kind(0, RequestKind::Plain);
    simulation.deliver_all();
    for agent in 0..AGENT_COUNT {
        simulation.complete_oldest(agent, true);
    }
    simulation.deliver_all();
    let refused = RequestResult::NotRun(NotRunReason::ControlUnavailable);
    assert_eq!(result(&simulation, keyed), &refused);
    assert!(matches!(
        result(&simulation, plain),
        RequestResult::Answered(_)
    ));
}
