//! Translates the operator's command line into a protocol command, sends it and prints its outcome.
//!
//! `check` parses a document locally; `diff` compares a document with the one in force.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use anyhow::bail;
use anyhow::Context;

use crate::client::OperatorClient;
use crate::options::OperatorOptions;
use crate::options::RawOperatorAction;
use crate::options::RawReplicaAction;
use crate::print;
use guavavane_model::document::DocumentFaults;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::DocumentVersion;
use guavavane_model::prelude::EnvironmentDocument;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::JobId;
use guavavane_protocol::operator::OperatorCommand;
use guavavane_protocol::operator::OperatorOutcome;

/// Result of a command, from which the exit status of the process follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandStatus {
    /// The command took effect or printed what was asked for.
    Done,
    /// The command was refused, or its outcome is unknown.
    Refused,
}

/// Runs a command and prints its outcome on standard output.
///
/// # Errors
///
/// Returns an error if a file cannot be read, a name is malformed or no entry answered.
pub fn run_command(options: OperatorOptions) -> anyhow::Result<CommandStatus> {
    let client = OperatorClient::new(options.entries);
    let outcome = match options.action {
        RawOperatorAction::Check { file } => return check_document_file(&file),
        RawOperatorAction::Diff { environment, file } => {
            return diff_document_file(&client, &environment, &file)
        }
        action => {
            let command = build_operator_command(&client, action)?;
            client.send(&command)?
        }
    };
    if options.json {
        println!("{}", serde_json::to_string_pretty(&outcome)?);
    } else {
        print::print_outcome(&outcome);
    }
    Ok(command_status(&outcome))
}

fn command_status(outcome: &OperatorOutcome) -> CommandStatus {
    match outcome {
        OperatorOutcome::Conflict { .. }
        | OperatorOutcome::Faulty { .. }
        | OperatorOutcome::Rejected { .. }
        | OperatorOutcome::Unknown
        | OperatorOutcome::Unavailable => CommandStatus::Refused,
        _ => CommandStatus::Done,
    }
}

fn build_operator_command(
    client: &OperatorClient,
    action: RawOperatorAction,
) -> anyhow::Result<OperatorCommand> {
    Ok(match action {
        RawOperatorAction::Check { .. } | RawOperatorAction::Diff { .. } => {
            bail!("check and diff run locally and are not sent to an entry")
        }
        RawOperatorAction::Apply {
            environment,
            replaces,
            file,
        } => {
            let environment = EnvironmentName::try_from(environment)?;
            let text = read_document(&file)?;
            let replaces = version_or_current(client, &environment, replaces)?;
            OperatorCommand::Apply {
                environment,
                replaces,
                text,
            }
        }
        RawOperatorAction::Promote {
            from,
            from_version,
            to,
            replaces,
        } => {
            let from = EnvironmentName::try_from(from)?;
            let to = EnvironmentName::try_from(to)?;
            OperatorCommand::Promote {
                from_version: version_or_current(client, &from, from_version)?,
                replaces: version_or_current(client, &to, replaces)?,
                from,
                to,
            }
        }
        RawOperatorAction::Show { environment } => OperatorCommand::Show {
            environment: EnvironmentName::try_from(environment)?,
        },
        RawOperatorAction::History { environment } => OperatorCommand::History {
            environment: EnvironmentName::try_from(environment)?,
        },
        RawOperatorAction::TakeOut {
            data_centre,
            replaces,
        } => data_centre_command(data_centre, true, replaces)?,
        RawOperatorAction::BringBack {
            data_centre,
            replaces,
        } => data_centre_command(data_centre, false, replaces)?,
        RawOperatorAction::Status | RawOperatorAction::Replica(RawReplicaAction::List) => {
            OperatorCommand::Status
        }
        RawOperatorAction::Jobs => OperatorCommand::Jobs,
        RawOperatorAction::Submit {
            environment,
            key,
            batch,
        } => OperatorCommand::Submit {
            environment: EnvironmentName::try_from(environment)?,
            batch: batch.as_str().try_into()?,
            key: Arc::from(key),
        },
        RawOperatorAction::Cancel { job } => OperatorCommand::Cancel { job: JobId(job) },
        RawOperatorAction::Replica(RawReplicaAction::Add { replica, address }) => {
            OperatorCommand::AddReplica {
                replica: parse_replica_identity(&replica)?,
                address,
            }
        }
        RawOperatorAction::Replica(RawReplicaAction::Remove { replica }) => {
            OperatorCommand::RemoveReplica {
                replica: parse_replica_identity(&replica)?,
            }
        }
    })
}

fn data_centre_command(
    name: String,
    out: bool,
    replaces: Option<u64>,
) -> anyhow::Result<OperatorCommand> {
    Ok(OperatorCommand::SetDataCentre {
        data_centre: DataCentreName::try_from(name)?,
        out,
        replaces,
    })
}

fn parse_replica_identity(text: &str) -> anyhow::Result<u64> {
    u64::from_str_radix(text, 16).with_context(|| {
        format!("replica identity {text:?} is not a hexadecimal number of at most 64 bits")
    })
}

/// Returns `given`, or else the version in force.
///
/// If another operator applies a document in between, the command is answered with a conflict.
fn version_or_current(
    client: &OperatorClient,
    environment: &EnvironmentName,
    given: Option<u64>,
) -> anyhow::Result<DocumentVersion> {
    if let Some(version) = given {
        return Ok(DocumentVersion(version));
    }
    let history = OperatorCommand::History {
        environment: environment.clone(),
    };
    match client.send(&history)? {
        OperatorOutcome::Versions { versions } => Ok(versions
            .first()
            .map_or(DocumentVersion(0), |newest| newest.version)),
        _ => bail!(
            "cannot read the version in force of environment {environment}; \
             give the version on the command line"
        ),
    }
}

fn read_document(file: &Path) -> anyhow::Result<Arc<str>> {
    let text = fs::read_to_string(file)
        .with_context(|| format!("cannot read document {}", file.display()))?;
    Ok(Arc::from(text))
}

fn check_document_file(file: &Path) -> anyhow::Result<CommandStatus> {
    let text = read_document(file)?;
    match EnvironmentDocument::parse(&text) {
        Ok(document) => {
            println!(
                "{}: valid, {} data centres, {} teams, {} services, {} batches",
                file.display(),
                document.data_centres.len(),
                document.teams.len(),
                document.services.len(),
                document.batches.len()
            );
            Ok(CommandStatus::Done)
        }
        Err(DocumentFaults(errors)) => {
            print::print_faults(&errors);
            Ok(CommandStatus::Refused)
        }
    }
}

fn diff_document_file(
    client: &OperatorClient,
    environment: &str,
    file: &Path,
) -> anyhow::Result<CommandStatus> {
    let text = read_document(file)?;
    let show = OperatorCommand::Show {
        environment: EnvironmentName::try_from(environment)?,
    };
    let in_force = match client.send(&show)? {
        OperatorOutcome::Document { text, .. } => text,
        OperatorOutcome::Rejected { .. } => Arc::from(""),
        outcome => {
            print::print_outcome(&outcome);
            return Ok(CommandStatus::Refused);
        }
    };
    print::print_diff(&in_force, &text);
    Ok(CommandStatus::Done)
}
