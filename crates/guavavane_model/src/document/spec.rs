//! Checked contents of a document.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Serialize;

use crate::name::BatchName;
use crate::name::DataCentreName;
use crate::name::RegionName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::resource::ResourceVector;

/// Methods that HTTP defines as idempotent.
const IDEMPOTENT_METHODS: [&str; 6] = ["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"];

/// A checked document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EnvironmentDocument {
    /// Data centres that it may use.
    pub data_centres: IndexMap<DataCentreName, DataCentreSpec>,
    /// Teams with their shares.
    pub teams: IndexMap<TeamName, TeamSpec>,
    /// Services.
    pub services: IndexMap<ServiceName, ServiceSpec>,
    /// Batch work.
    pub batches: IndexMap<BatchName, BatchSpec>,
}

/// A data centre of the environment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DataCentreSpec {
    /// Its name.
    pub name: DataCentreName,
    /// Its region.
    pub region: RegionName,
}

/// A team and its share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TeamSpec {
    /// Its name.
    pub name: TeamName,
    /// Its weight in the fair shares.
    pub weight: u32,
    /// Most that its tasks may be committed at once, if capped.
    pub quota: Option<ResourceVector>,
}

/// Says whether requests of one kind are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteRule {
    /// Method in upper case; any method if absent.
    pub method: Option<String>,
    /// Start of the path below the service.
    pub path_prefix: String,
    /// Whether a request may be sent again when its outcome is unknown.
    pub idempotent: bool,
}

impl RouteRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method.as_deref().is_none_or(|own| own == method);
        method_matches && path.starts_with(&self.path_prefix)
    }
}

/// A service, which answers requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// Team that it is charged to.
    pub team: TeamName,
    /// Data centres that it may use.
    pub data_centres: Arc<[DataCentreName]>,
    /// Endpoints that should run.
    pub instances: u32,
    /// What one endpoint is committed.
    pub demand: ResourceVector,
    /// Requests that one endpoint runs at once.
    pub slots: u16,
    /// Connections that one endpoint takes.
    pub connections: u16,
    /// Time for one request at the entry, in milliseconds.
    pub request_timeout_ms: u32,
    /// Whether idempotent requests may be hedged.
    pub hedge: bool,
    /// Rules on idempotence; the first that matches decides.
    pub routes: Vec<RouteRule>,
}

impl ServiceSpec {
    /// Whether a request may be sent again when its outcome is unknown.
    ///
    /// The first matching rule decides; without one, HTTP's definition of the method does.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.routes
            .iter()
            .find(|rule| rule.matches(method, path))
            .map_or_else(
                || IDEMPOTENT_METHODS.contains(&method),
                |rule| rule.idempotent,
            )
    }
}

/// Batch work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BatchSpec {
    /// Its name.
    pub name: BatchName,
    /// Team that it is charged to.
    pub team: TeamName,
    /// Data centres that it may use.
    pub data_centres: Arc<[DataCentreName]>,
    /// Tasks of one run.
    pub tasks: u32,
    /// What one task is committed.
    pub demand: ResourceVector,
    /// Declared run time of one task, in milliseconds.
    pub run_ms: u64,
    /// Whether it must start within seconds, preempting other batch work if needed.
    pub urgent: bool,
    /// Failures after which a task is given up.
    pub max_failures: u32,
    /// Keys of the runs that should exist; each key makes one job, once.
    pub runs: Vec<Arc<str>>,
}
