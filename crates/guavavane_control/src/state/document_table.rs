//! Stores the documents of all environments; changes are compare-and-swap by version and digest.
//!
//! An accepted version never changes, and the current version of an environment never decreases. A
//! repeated pair of version and digest gets the same reply as the first time while the version is
//! in the history; the same version with another digest is a conflict, and the reply names the
//! winner.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use guavavane_model::document::document_digest;
use guavavane_model::prelude::DocumentVersion;
use guavavane_model::prelude::EnvironmentDocument;
use guavavane_model::prelude::EnvironmentName;
use guavavane_protocol::operator::AcceptedVersion;
use guavavane_protocol::operator::OperatorOutcome;
use guavavane_protocol::poll::EnvironmentVersion;
use guavavane_protocol::poll::VersionedDocument;

/// Maximum number of versions of an environment in the history; for each the digest is kept.
const HISTORY_VERSIONS_MAX: usize = 1_024;

/// Number of newest versions of an environment whose text is kept.
const HISTORY_TEXTS_MAX: usize = 16;

/// Maximum number of environments.
const ENVIRONMENTS_MAX: usize = 256;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct VersionRecord {
    version: DocumentVersion,
    digest: u64,
    text: Option<Arc<str>>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct EnvironmentRecord {
    /// Oldest first; the last is the current version.
    versions: VecDeque<VersionRecord>,
}

/// Result of a command that changes the document of an environment.
#[derive(Clone, Debug)]
pub struct DocumentChange {
    /// Reply to the operator.
    pub outcome: OperatorOutcome,
    /// The new current document, if the command was accepted.
    pub document: Option<Arc<EnvironmentDocument>>,
}

impl DocumentChange {
    fn rejected(outcome: OperatorOutcome) -> Self {
        Self {
            outcome,
            document: None,
        }
    }
}

/// Documents by environment.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DocumentTable {
    environments: IndexMap<EnvironmentName, EnvironmentRecord>,
    #[serde(skip)]
    parsed: IndexMap<EnvironmentName, Arc<EnvironmentDocument>>,
}

impl DocumentTable {
    /// Replaces version `replaces` of the document of an environment.
    pub fn apply(
        &mut self,
        environment: &EnvironmentName,
        replaces: DocumentVersion,
        text: &Arc<str>,
    ) -> DocumentChange {
        let digest = document_digest(text);
        if let Some(outcome) = self.check_version(environment, replaces, digest) {
            return DocumentChange::rejected(outcome);
        }
        let document = match EnvironmentDocument::parse(text) {
            Ok(document) => Arc::new(document),
            Err(errors) => {
                return DocumentChange::rejected(OperatorOutcome::Faulty { faults: errors.0 })
            }
        };
        if !self.environments.contains_key(environment)
            && self.environments.len() >= ENVIRONMENTS_MAX
        {
            let reason = format!("the maximum of {ENVIRONMENTS_MAX} environments is reached");
            return DocumentChange::rejected(OperatorOutcome::Rejected { reason });
        }
        let record = VersionRecord {
            version: replaces.next(),
            digest,
            text: Some(Arc::clone(text)),
        };
        let accepted = accepted_version(environment, &record);
        self.environments
            .entry(environment.clone())
            .or_default()
            .push(record);
        self.parsed
            .insert(environment.clone(), Arc::clone(&document));
        DocumentChange {
            outcome: OperatorOutcome::Accepted(accepted),
            document: Some(document),
        }
    }

    /// Applies a version of one environment's document to another environment.
    pub fn promote(
        &mut self,
        from: &EnvironmentName,
        from_version: DocumentVersion,
        to: &EnvironmentName,
        replaces: DocumentVersion,
    ) -> DocumentChange {
        let text = self
            .environments
            .get(from)
            .and_then(|record| record.find(from_version))
            .and_then(|record| record.text.clone());
        match text {
            Some(text) => self.apply(to, replaces, &text),
            None => DocumentChange::rejected(OperatorOutcome::Rejected {
                reason: format!("version {from_version} of {from} is not kept"),
            }),
        }
    }

    /// Returns the reply to a command that does not replace the current version: the first reply if
    /// the command is repeated, a conflict otherwise. Returns `None` if it replaces the current
    /// version.
    fn check_version(
        &self,
        environment: &EnvironmentName,
        replaces: DocumentVersion,
        digest: u64,
    ) -> Option<OperatorOutcome> {
        let current = self.environments.get(environment).and_then(|r| r.current());
        let current_version = current.map_or(DocumentVersion(0), |record| record.version);
        if replaces == current_version {
            return None;
        }
        let Some(current) = current else {
            let reason = format!("{environment} has no document; replace version 0");
            return Some(OperatorOutcome::Rejected { reason });
        };
        let existing = self.environments[environment].find(replaces.next());
        let winner = existing.unwrap_or(current);
        let accepted = accepted_version(environment, winner);
        let is_repeated = winner.version == replaces.next() && winner.digest == digest;
        Some(if is_repeated {
            OperatorOutcome::Accepted(accepted)
        } else {
            OperatorOutcome::Conflict { winner: accepted }
        })
    }

    /// Returns the current document of an environment.
    pub fn current_document(
        &self,
        environment: &EnvironmentName,
    ) -> Option<&Arc<EnvironmentDocument>> {
        self.parsed.get(environment)
    }

    /// Iterates over the current documents of all environments.
    pub fn current_documents(
        &self,
    ) -> impl Iterator<Item = (&EnvironmentName, &Arc<EnvironmentDocument>)> {
        self.parsed.iter()
    }

    /// Returns the text of the current document as a reply to an operator.
    pub fn show(&self, environment: &EnvironmentName) -> OperatorOutcome {
        let current = self.environments.get(environment).and_then(|r| r.current());
        let text = current.and_then(|record| record.text.clone());
        match (current, text) {
            (Some(record), Some(text)) => OperatorOutcome::Document {
                accepted: accepted_version(environment, record),
                text,
            },
            _ => OperatorOutcome::Rejected {
                reason: format!("{environment} has no document"),
            },
        }
    }

    /// Returns the versions in the history of an environment, newest first, as a reply to an
    /// operator.
    pub fn history(&self, environment: &EnvironmentName) -> OperatorOutcome {
        let versions = self
            .environments
            .get(environment)
            .map(|record| {
                let newest_first = record.versions.iter().rev();
                newest_first
                    .map(|version| accepted_version(environment, version))
                    .collect()
            })
            .unwrap_or_default();
        OperatorOutcome::Versions { versions }
    }

    /// Returns the current version of each environment.
    pub fn current_versions(&self) -> Vec<AcceptedVersion> {
        self.environments
            .iter()
            .filter_map(|(name, record)| Some(accepted_version(name, record.current()?)))
            .collect()
    }

    /// Returns the current documents that are newer than the versions in `known`.
    pub fn newer_than(&self, known: &[EnvironmentVersion]) -> Vec<VersionedDocument> {
        self.environments
            .iter()
            .filter_map(|(name, record)| {
                let current = record.current()?;
                let known = known.iter().find(|known| known.environment == *name);
                if known.is_some_and(|known| known.version >= current.version) {
                    return None;
                }
                let environment_version = EnvironmentVersion {
                    environment: name.clone(),
                    version: current.version,
                };
                let text = current.text.clone()?;
                Some(VersionedDocument {
                    environment_version,
                    text,
                })
            })
            .collect()
    }

    /// Parses the current documents after a snapshot was restored; snapshots hold only the texts.
    ///
    /// # Errors
    ///
    /// Returns the name of an environment whose accepted document no longer parses.
    pub fn parse_all(&mut self) -> Result<(), EnvironmentName> {
        self.parsed.clear();
        for (name, record) in &self.environments {
            let Some(text) = record.current().and_then(|record| record.text.as_ref()) else {
                continue;
            };
            let document = EnvironmentDocument::parse(text).map_err(|_| name.clone())?;
            self.parsed.insert(name.clone(), Arc::new(document));
        }
        Ok(())
    }
}

impl EnvironmentRecord {
    fn current(&self) -> Option<&VersionRecord> {
        self.versions.back()
    }

    fn find(&self, version: DocumentVersion) -> Option<&VersionRecord> {
        self.versions
            .binary_search_by_key(&version, |record| record.version)
            .ok()
            .map(|index| &self.versions[index])
    }

    fn push(&mut self, record: VersionRecord) {
        self.versions.push_back(record);
        if self.versions.len() > HISTORY_VERSIONS_MAX {
            self.versions.pop_front();
        }
        if let Some(index) = self.versions.len().checked_sub(HISTORY_TEXTS_MAX + 1) {
            self.versions[index].text = None;
        }
    }
}

fn accepted_version(environment: &EnvironmentName, record: &VersionRecord) -> AcceptedVersion {
    AcceptedVersion {
        environment: environment.clone(),
        version: record.version,
        digest: record.digest,
    }
}
