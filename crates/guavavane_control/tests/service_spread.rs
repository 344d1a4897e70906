//! Checks that tasks of a service that share a worker are found while another worker has capacity.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use crate::support::apply;
use crate::support::apply_document;
use crate::support::data_centre;
use crate::support::document;
use crate::support::observation;
use crate::support::place_task;
use guavavane_control::scheduler::spread::colocated_attempts;
use guavavane_control::state::command::ControlCommand;
use guavavane_control::state::ControlState;
use guavavane_model::prelude::TaskId;
use guavavane_protocol::operator::OperatorCommand;

/// Returns a state in which both tasks of a service run on worker 0.
fn state_with_colocated_tasks() -> ControlState {
    let mut state = ControlState::default();
    apply_document(&mut state, 0, &document(2, 1));
    apply(
        &mut state,
        ControlCommand::ObserveWorker(observation(0, 1, 8_000)),
    );
    for task in [1, 2] {
        place_task(&mut state, TaskId(task), 0);
    }
    state
}

#[test]
fn one_colocated_task_is_found_once_another_worker_has_capacity() {
    let mut state = state_with_colocated_tasks();
    assert!(
        colocated_attempts(&state).is_empty(),
        "no other worker has capacity"
    );
    apply(
        &mut state,
        ControlCommand::ObserveWorker(observation(1, 1, 8_000)),
    );
    let found = colocated_attempts(&state);
    assert_eq!(found.len(), 1);
    apply(&mut state, ControlCommand::ReplaceTask(found[0]));
    assert!(
        colocated_attempts(&state).is_empty(),
        "a service is spread one task at a time"
    );
}

/// Guards against successors that no worker can take: the service would keep one replacement
/// pending for nothing.
#[test]
fn workers_without_capacity_or_out_of_service_are_no_alternative() {
    let mut state = state_with_colocated_tasks();
    apply(
        &mut state,
        ControlCommand::ObserveWorker(observation(1, 1, 500)),
    );
    apply(
        &mut state,
        ControlCommand::ObserveWorker(observation(2, 1, 8_000)),
    );
    let take_out = OperatorCommand::SetDataCentre {
        data_centre: data_centre(2),
        out: true,
        replaces: None,
    };
    apply(&mut state, ControlCommand::Operate(take_out));
    assert!(colocated_attempts(&state).is_empty());
}
