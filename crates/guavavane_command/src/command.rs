//! Runs one command of an operator.

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

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandEnd {
    /// It did what was asked.
    Done,
    /// It was refused, or its outcome is not known.
    Refused,
}

/// Runs a command and prints its answer.
///
/// # Errors
///
/// Fails if a file cannot be read, a name is malformed or no entry answered.
pub fn run_command(options: OperatorOptions) -> anyhow::Result<CommandEnd> {
    let client = OperatorClient::new(options.entries);
    let outcome = match options.action {
        RawOperatorAction::Check { file } => return check_file(&file),
        RawOperatorAction::Diff { environment, file } => {
            return diff_file(&client, &environment, &file)
        }
        action => {
            let command = operator_command(&client, action)?;
            client.send(&command)?
        }
    };
    if options.json {
        println!("{}", serde_json::to_string_pretty(&outcome)?);
    } else {
        print::print_outcome(&outcome);
    }
    Ok(command_end(&outcome))
}

fn command_end(outcome: &OperatorOutcome) -> CommandEnd {
    match outcome {
        OperatorOutcome::Conflict { .. }
        | OperatorOutcome::Faulty { .. }
        | OperatorOutcome::Rejected { .. }
        | OperatorOutcome::Unknown
        | OperatorOutcome::Unavailable => CommandEnd::Refused,
        _ => CommandEnd::Done,
    }
}

fn operator_command(
    client: &OperatorClient,
    action: RawOperatorAction,
) -> anyhow::Result<OperatorCommand> {
    Ok(match action {
        RawOperatorAction::Check { .. } | RawOperatorAction::Diff { .. } => {
            bail!("this command is not sent")
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
        } => set_data_centre(data_centre, true, replaces)?,
        RawOperatorAction::BringBack {
            data_centre,
            replaces,
        } => set_data_centre(data_centre, false, replaces)?,
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
                replica: replica_identity(&replica)?,
                address,
            }
        }
        RawOperatorAction::Replica(RawReplicaAction::Remove { replica }) => {
            OperatorCommand::RemoveReplica {
                replica: replica_identity(&replica)?,
            }
        }
    })
}

fn set_data_centre(
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

fn replica_identity(text: &str) -> anyhow::Result<u64> {
    u64::from_str_radix(text, 16).with_context(|| format!("{text:?} is not a hexadecimal number"))
}

/// The version in force, unless one is given; a race then shows as a conflict.
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
        _ => bail!("the version in force of {environment} is not known"),
    }
}

fn read_document(file: &Path) -> anyhow::Result<Arc<str>> {
    let text =
        fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    Ok(Arc::from(text))
}

fn check_file(file: &Path) -> anyhow::Result<CommandEnd> {
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
            Ok(CommandEnd::Done)
        }
        Err(DocumentFaults(faults)) => {
            print::print_faults(&faults);
            Ok(CommandEnd::Refused)
        }
    }
}

fn diff_file(
    client: &OperatorClient,
    environment: &str,
    file: &Path,
) -> anyhow::Result<CommandEnd> {
    let text = read_document(file)?;
    let show = OperatorCommand::Show {
        environment: EnvironmentName::try_from(environment)?,
    };
    let in_force = match client.send(&show)? {
        OperatorOutcome::Document { text, .. } => text,
        OperatorOutcome::Rejected { .. } => Arc::from(""),
        outcome => {
            print::print_outcome(&outcome);
            return Ok(CommandEnd::Refused);
        }
    };
    print::print_diff(&in_force, &text);
    Ok(CommandEnd::Done)
}
