//! The largest legal document fits into a command of the log.
//!
//! Guards against a valid document that is answered with "unavailable" each time it is applied, because the
//! log accepts smaller commands than the check of documents does.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

use std::sync::Arc;

use guavavane_control::replica::COMMAND_BYTES_MAX;
use guavavane_control::state::command::ControlCommand;
use guavavane_model::document::DOCUMENT_MAX_BYTES;
use guavavane_model::identity::DocumentVersion;
use guavavane_model::prelude::EnvironmentName;
use guavavane_protocol::operator::OperatorCommand;
use guavavane_quorum::prelude::QuorumSettings;

#[test]
fn the_largest_document_fits_into_a_command() {
    let longest_name = "e".repeat(guavavane_model::name::NAME_MAX_BYTES);
    let command = ControlCommand::Operate(OperatorCommand::Apply {
        environment: EnvironmentName::try_from(longest_name.as_str()).unwrap(),
        replaces: DocumentVersion(u64::MAX),
        text: Arc::from("x".repeat(DOCUMENT_MAX_BYTES)),
    });
    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(&command, config).unwrap();
    assert!(bytes.len() <= COMMAND_BYTES_MAX);
    // The default of the log is too small for it.
    let settings = QuorumSettings::new(([127, 0, 0, 1], 1).into());
    assert!(bytes.len() > settings.command_bytes_max);
}
