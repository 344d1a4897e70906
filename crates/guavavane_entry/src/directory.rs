//! Directory of services from the documents in force.

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
use guavavane_protocol::prelude::EnvironmentVersion;
use guavavane_protocol::prelude::VersionedDocument;

/// How the entry treats requests of one service.
#[derive(Clone, Debug)]
pub struct ServicePolicy {
    /// Environment that defines the service.
    pub environment: EnvironmentName,
    /// Specification of the service in the document.
    pub spec: ServiceSpec,
}

impl ServicePolicy {
    /// Returns the longest time that a caller waits for a result.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.spec.request_timeout_ms))
    }
}

/// Outcome of the lookup of a service.
#[derive(Clone, Debug)]
pub enum PolicyLookup {
    /// The policy of the service.
    Found(Arc<ServicePolicy>),
    /// No document defines the service.
    Unknown,
    /// Several environments define the service and the request named none.
    Ambiguous,
    /// No view has arrived from control since the start.
    NoView,
}

#[derive(Debug, Default)]
struct DirectoryState {
    documents: IndexMap<EnvironmentName, (DocumentVersion, EnvironmentDocument)>,
    services: IndexMap<ServiceName, Vec<Arc<ServicePolicy>>>,
    view_requested_at: Option<BootTime>,
}

/// The documents in force by environment, where versions only increase.
#[derive(Clone, Debug, Default)]
pub struct ServiceDirectory {
    state: Arc<RwLock<DirectoryState>>,
}

impl ServiceDirectory {
    /// Applies the documents of a view that are newer than the known ones. The age of the view
    /// counts from `requested_at`, the time at which it was requested.
    pub fn apply_view(&self, requested_at: BootTime, documents: &[VersionedDocument]) {
        let parsed_documents: Vec<(EnvironmentVersion, EnvironmentDocument)> =
            documents.iter().filter_map(parse_document).collect();
        let mut state = self.write();
        state.view_requested_at = Some(requested_at);
        let mut changed = false;
        for (environment_version, document) in parsed_documents {
            let known = state.documents.get(&environment_version.environment);
            if known.is_some_and(|(version, _)| *version >= environment_version.version) {
                continue;
            }
            tracing::info!(
                event = "document_in_force",
                environment = %environment_version.environment,
                version = %environment_version.version,
            );
            state.documents.insert(
                environment_version.environment,
                (environment_version.version, document),
            );
            changed = true;
        }
        if changed {
            state.services = index_services(&state.documents);
        }
    }

    /// Finds a service, in the named environment if one is given.
    pub fn find(&self, environment: Option<&EnvironmentName>, name: &ServiceName) -> PolicyLookup {
        let state = self.read();
        if state.view_requested_at.is_none() {
            return PolicyLookup::NoView;
        }
        let Some(policies) = state.services.get(name) else {
            return PolicyLookup::Unknown;
        };
        let is_in_environment = |policy: &&Arc<ServicePolicy>| {
            environment.is_none_or(|environment| policy.environment == *environment)
        };
        let mut matches = policies.iter().filter(is_in_environment);
        match (matches.next(), matches.next()) {
            (None, _) => PolicyLookup::Unknown,
            (Some(policy), None) => PolicyLookup::Found(Arc::clone(policy)),
            (Some(_), Some(_)) => PolicyLookup::Ambiguous,
        }
    }

    /// Returns the versions of the known documents.
    pub fn versions(&self) -> Vec<EnvironmentVersion> {
        let state = self.read();
        let environment_version =
            |(environment, (version, _)): (&EnvironmentName, &(DocumentVersion, _))| {
                EnvironmentVersion {
                    environment: environment.clone(),
                    version: *version,
                }
            };
        state.documents.iter().map(environment_version).collect()
    }

    /// Returns the time since the last view was requested, or `None` without a view.
    pub fn view_age(&self, now: BootTime) -> Option<Duration> {
        let view_requested_at = self.read().view_requested_at?;
        Some(now.saturating_since(view_requested_at))
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, DirectoryState> {
        self.state.read().expect("no writer of the state panics")
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, DirectoryState> {
        self.state.write().expect("no writer of the state panics")
    }
}

fn parse_document(copy: &VersionedDocument) -> Option<(EnvironmentVersion, EnvironmentDocument)> {
    match EnvironmentDocument::parse(&copy.text) {
        Ok(document) => Some((copy.environment_version.clone(), document)),
        Err(errors) => {
            // Control accepted the document with another version of this program; the previous
            // one stays in force.
            tracing::error!(
                event = "document_refused",
                environment = %copy.environment_version.environment,
                version = %copy.environment_version.version,
                faults = ?errors,
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
