//! What the documents in force say of each service.

use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;

use indexmap::IndexMap;

use guavavane_model::document::EnvironmentDocument;
use guavavane_model::document::ServiceSpec;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::DocumentVersion;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::ServiceName;
use guavavane_protocol::prelude::DocumentCopy;
use guavavane_protocol::prelude::DocumentStamp;

/// How requests of one service of an environment are treated.
#[derive(Clone, Debug)]
pub struct ServicePolicy {
    /// Environment of the service.
    pub environment: EnvironmentName,
    /// What the document says of it.
    pub spec: ServiceSpec,
}

impl ServicePolicy {
    /// Longest time that a caller waits.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.spec.request_timeout_ms))
    }
}

/// Outcome of a search for a service.
#[derive(Clone, Debug)]
pub enum PolicyOutcome {
    /// The service.
    Found(Arc<ServicePolicy>),
    /// No document has it.
    Unknown,
    /// Several environments have it and none was named.
    Ambiguous,
    /// No document has arrived since the start.
    NoView,
}

#[derive(Debug, Default)]
struct DirectoryState {
    documents: IndexMap<EnvironmentName, (DocumentVersion, EnvironmentDocument)>,
    services: IndexMap<ServiceName, Vec<Arc<ServicePolicy>>>,
    viewed_at: Option<BootTime>,
}

/// The documents in force; versions only grow.
#[derive(Clone, Debug, Default)]
pub struct ServiceDirectory {
    state: Arc<RwLock<DirectoryState>>,
}

impl ServiceDirectory {
    /// Takes documents that are newer than the known ones and the time of the view.
    pub fn update(&self, now: BootTime, documents: &[DocumentCopy]) {
        let parsed: Vec<(DocumentStamp, EnvironmentDocument)> =
            documents.iter().filter_map(parse_copy).collect();
        let mut state = self.write();
        state.viewed_at = Some(now);
        let mut changed = false;
        for (stamp, document) in parsed {
            let known = state.documents.get(&stamp.environment);
            if known.is_some_and(|(version, _)| *version >= stamp.version) {
                continue;
            }
            tracing::info!(
                event = "document_in_force",
                environment = %stamp.environment,
                version = %stamp.version,
            );
            state
                .documents
                .insert(stamp.environment, (stamp.version, document));
            changed = true;
        }
        if changed {
            state.services = index_services(&state.documents);
        }
    }

    /// Finds a service, in the named environment if one is named.
    pub fn find(&self, environment: Option<&EnvironmentName>, name: &ServiceName) -> PolicyOutcome {
        let state = self.read();
        if state.viewed_at.is_none() {
            return PolicyOutcome::NoView;
        }
        let Some(policies) = state.services.get(name) else {
            return PolicyOutcome::Unknown;
        };
        let wanted = |policy: &&Arc<ServicePolicy>| {
            environment.is_none_or(|environment| policy.environment == *environment)
        };
        let mut found = policies.iter().filter(wanted);
        match (found.next(), found.next()) {
            (None, _) => PolicyOutcome::Unknown,
            (Some(policy), None) => PolicyOutcome::Found(Arc::clone(policy)),
            (Some(_), Some(_)) => PolicyOutcome::Ambiguous,
        }
    }

    /// Versions of the known documents.
    pub fn stamps(&self) -> Vec<DocumentStamp> {
        let state = self.read();
        let stamp = |(environment, (version, _)): (&EnvironmentName, &(DocumentVersion, _))| {
            DocumentStamp {
                environment: environment.clone(),
                version: *version,
            }
        };
        state.documents.iter().map(stamp).collect()
    }

    /// Time since control was last heard, if ever.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        let viewed_at = self.read().viewed_at?;
        Some(now.saturating_since(viewed_at))
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, DirectoryState> {
        self.state.read().expect("no writer of the state panics")
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, DirectoryState> {
        self.state.write().expect("no writer of the state panics")
    }
}

fn parse_copy(copy: &DocumentCopy) -> Option<(DocumentStamp, EnvironmentDocument)> {
    match EnvironmentDocument::parse(&copy.text) {
        Ok(document) => Some((copy.stamp.clone(), document)),
        Err(faults) => {
            // Control checked it with another version of this program: keep the one in force.
            tracing::error!(
                event = "document_refused",
                environment = %copy.stamp.environment,
                version = %copy.stamp.version,
                faults = ?faults,
            );
            None
        }
    }
}

fn index_services(
    documents: &IndexMap<EnvironmentName, (DocumentVersion, EnvironmentDocument)>,
) -> IndexMap<ServiceName, Vec<Arc<ServicePolicy>>> {
    let mut services: IndexMap<ServiceName, Vec<Arc<ServicePolicy>>> = IndexMap::new();
    for (environment, (_, document)) in documents {
        for (name, spec) in &document.services {
            let policy = ServicePolicy {
                environment: environment.clone(),
                spec: spec.clone(),
            };
            let known = services.entry(name.clone()).or_default();
            known.push(Arc::new(policy));
        }
    }
    services
}
