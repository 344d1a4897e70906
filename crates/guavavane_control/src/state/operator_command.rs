//! Applies operators' commands that change the replicated state.

use std::sync::Arc;

use crate::state::change_feed::StateChange;
use crate::state::data_centre_table::DataCentreChange;
use crate::state::document_table::DocumentChange;
use crate::state::ControlState;
use guavavane_model::prelude::BatchName;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::EnvironmentName;
use guavavane_protocol::operator::OperatorCommand;
use guavavane_protocol::operator::OperatorOutcome;

/// Maximum length of the key of a submitted run, in bytes.
const RUN_KEY_MAX_BYTES: usize = 128;

impl ControlState {
    /// Applies a command that changes the state; the leader serves the other commands without the
    /// log.
    pub(super) fn apply_operator_command(&mut self, command: &OperatorCommand) -> OperatorOutcome {
        match command {
            OperatorCommand::Apply {
                environment,
                replaces,
                text,
            } => {
                let change = self.documents.apply(environment, *replaces, text);
                self.apply_document_change(environment, change)
            }
            OperatorCommand::Promote {
                from,
                from_version,
                to,
                replaces,
            } => {
                let change = self.documents.promote(from, *from_version, to, *replaces);
                self.apply_document_change(to, change)
            }
            OperatorCommand::SetDataCentre {
                data_centre,
                out,
                replaces,
            } => self.set_data_centre(data_centre, *out, *replaces),
            OperatorCommand::Submit {
                environment,
                batch,
                key,
            } => self.submit_run(environment, batch, key),
            OperatorCommand::Cancel { job } => {
                if self.jobs.cancel(*job, &mut self.feed) {
                    OperatorOutcome::Cancelled { job: *job }
                } else {
                    rejected(format!("job {job} does not exist or is no longer kept"))
                }
            }
            OperatorCommand::Show { .. }
            | OperatorCommand::History { .. }
            | OperatorCommand::Status
            | OperatorCommand::Jobs
            | OperatorCommand::AddReplica { .. }
            | OperatorCommand::RemoveReplica { .. } => {
                rejected("this command does not change the state".to_owned())
            }
        }
    }

    fn apply_document_change(
        &mut self,
        environment: &EnvironmentName,
        change: DocumentChange,
    ) -> OperatorOutcome {
        if let Some(document) = change.document {
            self.feed.push(StateChange::TeamsChanged);
            self.jobs.reconcile(environment, &document, &mut self.feed);
        }
        change.outcome
    }

    fn set_data_centre(
        &mut self,
        name: &DataCentreName,
        out: bool,
        replaces: Option<u64>,
    ) -> OperatorOutcome {
        match self.data_centres.set(name, out, replaces) {
            DataCentreChange::Changed(_) => {
                self.feed.push(StateChange::DataCentreChanged(name.clone()));
                OperatorOutcome::DataCentre(self.data_centre_report(name))
            }
            DataCentreChange::Unchanged(_) => {
                OperatorOutcome::DataCentre(self.data_centre_report(name))
            }
            DataCentreChange::Conflict(status) => rejected(format!(
                "{name} has version {} and is {}; another change came first",
                status.version,
                if status.out { "out" } else { "in service" }
            )),
            DataCentreChange::Full => {
                rejected("the maximum number of data centres is reached".to_owned())
            }
        }
    }

    fn submit_run(
        &mut self,
        environment: &EnvironmentName,
        batch: &BatchName,
        key: &Arc<str>,
    ) -> OperatorOutcome {
        if key.is_empty() || key.len() > RUN_KEY_MAX_BYTES {
            return rejected(format!(
                "a run key must have 1 to {RUN_KEY_MAX_BYTES} bytes"
            ));
        }
        let document = self.documents.current_document(environment).cloned();
        let Some(spec) = document.as_ref().and_then(|d| d.batches.get(batch)) else {
            return rejected(format!("{environment} declares no batch {batch}"));
        };
        let job = self.jobs.submit(environment, spec, key, &mut self.feed);
        OperatorOutcome::Submitted { job }
    }
}

fn rejected(reason: String) -> OperatorOutcome {
    OperatorOutcome::Rejected { reason }
}
