//! Documents of all environments, with compare-and-swap by version and digest.
//!
//! An accepted version never changes and the version in force never goes back. The same pair
//! of version and digest gets the same answer as the first time, for as long as the version is
//! in the history; an equal version with another digest is a conflict that names the winner.

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
use guavavane_protocol::poll::DocumentCopy;
use guavavane_protocol::poll::DocumentStamp;

/// Versions of an environment whose digest is kept.
const HISTORY_VERSIONS: usize = 1_024;

/// Newest versions of an environment whose text is kept.
const HISTORY_TEXTS: usize = 16;

/// Most environments.
const ENVIRONMENTS_MAX: usize = 256;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct VersionRecord {
    version: DocumentVersion,
    digest: u64,
    text: Option<Arc<str>>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct EnvironmentRecord {
    /// Oldest first; the last is in force.
    versions: VecDeque<VersionRecord>,
}

/// A change of the document in force.
#[derive(Clone, Debug)]
pub struct DocumentChange {
    /// The answer.
    pub outcome: OperatorOutcome,
    /// The document, if this change put it in force.
    pub document: Option<Arc<EnvironmentDocument>>,
}

impl DocumentChange {
    fn refused(outcome: OperatorOutcome) -> Self {
        Self {
            outcome,
            document: None,
        }
    }
}

/// All documents.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DocumentTable {
    environments: IndexMap<EnvironmentName, EnvironmentRecord>,
    #[serde(skip)]
    parsed: IndexMap<EnvironmentName, Arc<EnvironmentDocument>>,
}

impl DocumentTable {
    /// Replaces the document of an environment.
    pub fn apply(
        &mut self,
        environment: &EnvironmentName,
        replaces: DocumentVersion,
        text: &Arc<str>,
    ) -> DocumentChange {
        let digest = document_digest(text);
        if let Some(outcome) = self.earlier_answer(environment, replaces, digest) {
            return DocumentChange::refused(outcome);
        }
        let document = match EnvironmentDocument::parse(text) {
            Ok(document) => Arc::new(document),
            Err(faults) => {
                return DocumentChange::refused(OperatorOutcome::Faulty { faults: faults.0 })
            }
        };
        if !self.environments.contains_key(environment)
            && self.environments.len() >= ENVIRONMENTS_MAX
        {
            let reason = format!("{ENVIRONMENTS_MAX} environments are kept already");
            return DocumentChange::refused(OperatorOutcome::Rejected { reason });
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

    /// Puts the document of one environment in force in another.
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
            None => DocumentChange::refused(OperatorOutcome::Rejected {
                reason: format!("version {from_version} of {from} is not kept"),
            }),
        }
    }

    /// The answer to a command whose version is not the next one, or that was answered before.
    fn earlier_answer(
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
        let taken = self.environments[environment].find(replaces.next());
        let winner = taken.unwrap_or(current);
        let accepted = accepted_version(environment, winner);
        let same = winner.version == replaces.next() && winner.digest == digest;
        Some(if same {
            OperatorOutcome::Accepted(accepted)
        } else {
            OperatorOutcome::Conflict { winner: accepted }
        })
    }

    /// The document in force.
    pub fn in_force(&self, environment: &EnvironmentName) -> Option<&Arc<EnvironmentDocument>> {
        self.parsed.get(environment)
    }

    /// All documents in force.
    pub fn all_in_force(
        &self,
    ) -> impl Iterator<Item = (&EnvironmentName, &Arc<EnvironmentDocument>)> {
        self.parsed.iter()
    }

    /// The document in force as an answer to an operator.
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

    /// The kept versions of an environment, newest first.
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

    /// The versions in force.
    pub fn accepted(&self) -> Vec<AcceptedVersion> {
        self.environments
            .iter()
            .filter_map(|(name, record)| Some(accepted_version(name, record.current()?)))
            .collect()
    }

    /// Copies of the documents that are newer than the given ones.
    pub fn newer_than(&self, known: &[DocumentStamp]) -> Vec<DocumentCopy> {
        self.environments
            .iter()
            .filter_map(|(name, record)| {
                let current = record.current()?;
                let known = known.iter().find(|stamp| stamp.environment == *name);
                if known.is_some_and(|stamp| stamp.version >= current.version) {
                    return None;
                }
                let stamp = DocumentStamp {
                    environment: name.clone(),
                    version: current.version,
                };
                let text = current.text.clone()?;
                Some(DocumentCopy { stamp, text })
            })
            .collect()
    }

    /// Parses the documents in force again after a snapshot was restored.
    ///
    /// # Errors
    ///
    /// Fails with the name of an environment whose accepted document no longer parses.
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
        if self.versions.len() > HISTORY_VERSIONS {
            self.versions.pop_front();
        }
        if let Some(index) = self.versions.len().checked_sub(HISTORY_TEXTS + 1) {
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
