//! Checks concurrent operators: each version has one winner, and a repeated command gets the first
//! reply.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use bolero::produce;

use crate::support::apply;
use crate::support::apply_document;
use crate::support::data_centre;
use crate::support::document;
use guavavane_control::state::command::ControlCommand;
use guavavane_control::state::command::ControlOutcome;
use guavavane_control::state::ControlState;
use guavavane_protocol::operator::OperatorCommand;
use guavavane_protocol::operator::OperatorOutcome;
use guavavane_testing::for_each_value;

/// Guards against lost updates when several operators replace the same version, and against a
/// conflict as the reply to a repeated command that had won.
#[test]
fn each_version_has_one_winner_and_repeats_get_the_first_reply() {
    for_each_value(800, produce::<Vec<(u8, u8)>>(), |commands| {
        let mut state = ControlState::default();
        let mut winners: Vec<(u64, u8)> = Vec::new();
        for (replaces, content) in commands {
            let current = winners.len() as u64;
            let replaces = u64::from(*replaces) % (current + 2);
            let content = content % 5 + 1;
            let outcome = apply_document(&mut state, replaces, &document(u32::from(content), 1));
            check_reply(&mut winners, replaces, content, &outcome);
        }
    });
}

fn check_reply(
    winners: &mut Vec<(u64, u8)>,
    replaces: u64,
    content: u8,
    outcome: &OperatorOutcome,
) {
    let current = winners.len() as u64;
    let existing = winners.iter().find(|(version, _)| *version == replaces + 1);
    match outcome {
        OperatorOutcome::Accepted(accepted) => {
            assert_eq!(accepted.version.0, replaces + 1);
            match existing {
                Some((_, winner)) => assert_eq!(*winner, content, "one version has two winners"),
                None => {
                    assert_eq!(replaces, current, "a version was skipped");
                    winners.push((replaces + 1, content));
                }
            }
        }
        OperatorOutcome::Conflict { winner } => {
            assert!(winner.version.0 <= current);
            assert!(
                existing.is_none_or(|(_, winner)| *winner != content),
                "a repeated command gets a conflict"
            );
        }
        OperatorOutcome::Rejected { .. } => assert_eq!(current, 0),
        other => panic!("unexpected reply {other:?}"),
    }
}

fn set_data_centre(state: &mut ControlState, out: bool, replaces: Option<u64>) -> OperatorOutcome {
    let command = OperatorCommand::SetDataCentre {
        data_centre: data_centre(0),
        out,
        replaces,
    };
    match apply(state, ControlCommand::Operate(command)) {
        ControlOutcome::Operator(outcome) => outcome,
        other => panic!("unexpected outcome {other:?}"),
    }
}

/// Guards against a delayed duplicate of a take-out command that takes the data centre out of
/// service again after it was brought back.
#[test]
fn late_repeat_of_take_out_is_rejected() {
    let mut state = ControlState::default();
    let first = set_data_centre(&mut state, true, Some(0));
    assert!(matches!(first, OperatorOutcome::DataCentre(_)));
    assert_eq!(
        first,
        set_data_centre(&mut state, true, Some(0)),
        "a repeated command gets another reply"
    );
    set_data_centre(&mut state, false, Some(1));
    let late = set_data_centre(&mut state, true, Some(0));
    assert!(matches!(late, OperatorOutcome::Rejected { .. }));
    assert!(!state.data_centres().is_out(&data_centre(0)));
}

/// Guards against a second job for a repeated submission.
#[test]
fn same_run_key_submits_one_job() {
    let mut state = ControlState::default();
    apply_document(&mut state, 0, &document(1, 2));
    let submit = |state: &mut ControlState, key: &str| {
        let command = OperatorCommand::Submit {
            environment: support::environment(),
            batch: "settlement".try_into().unwrap(),
            key: key.into(),
        };
        apply(state, ControlCommand::Operate(command))
    };
    let first = submit(&mut state, "harvest");
    assert_eq!(first, submit(&mut state, "harvest"));
    assert_ne!(first, submit(&mut state, "second"));
}
