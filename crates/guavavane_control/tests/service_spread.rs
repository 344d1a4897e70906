//! Tasks of a service that share a worker are found while another worker has room.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use crate::support::apply;
use crate::support::apply_document;
use crate::support::data_centre;
use crate::support::document;
use crate::support::observation;
use crate::support::place;
use guavavane_control::scheduler::spread::colocated_attempts;
use guavavane_control::state::command::ControlCommand;
use guavavane_control::state::ControlState;
use guavavane_model::prelude::TaskId;
use guavavane_protocol::operator::OperatorCommand;

fn state_with_colocated_tasks() -> ControlState {
    let mut state = ControlState::default();
    apply_document(&mut state, 0, &document(2, 1));
    apply(
        &mut state,
        ControlCommand::ObserveWorker(observation(0, 1, 8_000)),
    );
    for task in [1, 2] {
        place(&mut state, TaskId(task), 0);
    }
    state
}

#[test]
fn one_task_of_a_crowded_service_moves_once_there_is_room() {
    let mut state = state_with_colocated_tasks();
    assert!(colocated_attempts(&state).is_empty(), "nowhere to go");
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

#[test]
fn workers_without_room_or_in_a_data_centre_that_is_out_are_no_better() {
    let mut state = state_with_colocated_tasks();
    apply(
        &mut state,
        ControlCommand::ObserveWorker(observation(1, 1, 500)),
    );
    apply(
        &mut state,
        ControlCommand::ObserveWorker(observation(2, 1, 8_000)),
    );
    let out = OperatorCommand::SetDataCentre {
        data_centre: data_centre(2),
        out: true,
        replaces: None,
    };
    apply(&mut state, ControlCommand::Operate(out));
    assert!(colocated_attempts(&state).is_empty());
}
