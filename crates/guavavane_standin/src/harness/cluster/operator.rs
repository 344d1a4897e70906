//! Operator commands to a test cluster, and the evidence that its processes write.

use std::path::PathBuf;

use anyhow::Context;
use anyhow::Result;

use super::RunningCluster;
use super::READY_TIMEOUT;
use crate::callers::settings::CallerSettings;
use crate::checker::check_records;
use crate::checker::CheckReport;
use crate::checker::CheckRules;
use crate::clock::wait_until;
use crate::evidence::read_folder;
use crate::evidence::EvidenceEvent;
use crate::evidence::EvidenceRecord;
use crate::harness::process::CommandOutput;
use guavavane_model::prelude::DataCentreName;

impl RunningCluster {
    pub(super) fn evidence_path(&self, name: &str) -> PathBuf {
        self.group
            .evidence_folder()
            .join(format!("{name}.evidence"))
    }

    /// Runs the command line `guavavane` once, with all entries as its targets.
    pub fn run_operator_command(&self, arguments: &[&str]) -> Result<CommandOutput> {
        let addresses = self.entries.iter().map(|x| x.operator.to_string());
        let list = addresses.collect::<Vec<_>>().join(",");
        let mut all = vec!["--entries", list.as_str()];
        all.extend(arguments);
        self.group.run("guavavane", &all)
    }

    /// Repeats an operator command until it exits with status 0.
    pub fn run_operator_command_until_success(&self, arguments: &[&str]) -> Result<CommandOutput> {
        let mut last = None;
        let waited = wait_until("success of an operator command", READY_TIMEOUT, || {
            last = self.run_operator_command(arguments).ok();
            last.as_ref().is_some_and(|output| output.code == Some(0))
        });
        waited.with_context(|| format!("{arguments:?}: {last:?}"))?;
        last.context("no output of the command")
    }

    /// Applies the document of the plan.
    pub fn apply_document(&self) -> Result<()> {
        let document = self.plan.document.to_string_lossy();
        let environment = format!("--environment={}", self.plan.environment);
        self.run_operator_command_until_success(&["apply", &environment, &document])?;
        Ok(())
    }

    /// Takes a data centre out of service, then records the time in the evidence of the operator.
    pub fn take_out(&self, data_centre: &str) -> Result<()> {
        self.run_operator_command_until_success(&["take-out", data_centre])?;
        self.operator_evidence.append(EvidenceEvent::DataCentreOut {
            data_centre: DataCentreName::try_from(data_centre)?,
        })
    }

    /// Records the time in the evidence of the operator, then brings a data centre back into
    /// service.
    pub fn bring_back(&self, data_centre: &str) -> Result<()> {
        self.operator_evidence
            .append(EvidenceEvent::DataCentreBack {
                data_centre: DataCentreName::try_from(data_centre)?,
            })?;
        self.run_operator_command_until_success(&["bring-back", data_centre])?;
        Ok(())
    }

    /// Returns settings of a load through all entries, with an evidence file of its own.
    pub fn caller_settings(&self, name: &str) -> CallerSettings {
        let targets = self.entries.iter().map(|entry| entry.caller).collect();
        let evidence = self.evidence_path(&format!("callers-{name}"));
        let base = CallerSettings::new(targets, &self.plan.service, evidence);
        CallerSettings {
            name: name.to_owned(),
            ..base
        }
    }

    /// Returns the merged evidence of all processes so far.
    pub fn evidence(&self) -> Result<Vec<EvidenceRecord>> {
        read_folder(&self.group.evidence_folder())
    }

    /// Runs the invariant checker over the evidence so far.
    pub fn check_evidence(&self, rules: &CheckRules) -> Result<CheckReport> {
        Ok(check_records(&self.evidence()?, rules))
    }
}
