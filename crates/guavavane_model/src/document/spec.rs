//! Defines the validated contents of a document.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Serialize;

use crate::name::BatchName;
use crate::name::DataCentreName;
use crate::name::RegionName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::resource::ResourceVector;

/// HTTP methods that RFC 9110 section 9.2.2 defines as idempotent.
const IDEMPOTENT_METHODS: [&str; 6] = ["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"];

/// A validated document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EnvironmentDocument {
    /// Data centres that the environment may use, by name.
    pub data_centres: IndexMap<DataCentreName, DataCentreSpec>,
    /// Teams to which services and batches are charged, by name.
    pub teams: IndexMap<TeamName, TeamSpec>,
    /// Services, by name.
    pub services: IndexMap<ServiceName, ServiceSpec>,
    /// Batches, by name.
    pub batches: IndexMap<BatchName, BatchSpec>,
}

/// A data centre of the environment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DataCentreSpec {
    /// Name of the data centre.
    pub name: DataCentreName,
    /// Region of the data centre.
    pub region: RegionName,
}

/// A team with its fair-share weight and quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TeamSpec {
    /// Name of the team.
    pub name: TeamName,
    /// Weight of the team in fair sharing, at least 1.
    pub weight: u32,
    /// Most resources that the tasks of the team may hold at once; `None` for no limit.
    pub quota: Option<ResourceVector>,
}

/// Rule that declares the requests of a method and path prefix idempotent or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteRule {
    /// HTTP method in upper case; `None` matches every method.
    pub method: Option<String>,
    /// Prefix of the path, relative to the service, that the rule matches.
    pub path_prefix: String,
    /// Whether a matching request may be retried when its outcome is unknown.
    pub idempotent: bool,
}

impl RouteRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self
            .method
            .as_deref()
            .is_none_or(|required| required == method);
        method_matches && path.starts_with(&self.path_prefix)
    }
}

/// A service: a set of endpoints that serve requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Team to which the service is charged.
    pub team: TeamName,
    /// Data centres in which endpoints may run; all declared ones if the text lists none.
    pub data_centres: Arc<[DataCentreName]>,
    /// Number of endpoints to run.
    pub instances: u32,
    /// Resources committed to one endpoint.
    pub demand: ResourceVector,
    /// Largest number of requests that one endpoint runs concurrently.
    pub slots: u16,
    /// Largest number of connections that one endpoint accepts, at least `slots`.
    pub connections: u16,
    /// Longest time for one request at the entry, in milliseconds.
    pub request_timeout_ms: u32,
    /// Whether the entry may hedge: send a second attempt at a slow idempotent request.
    pub hedge: bool,
    /// Idempotence rules; the first rule that matches a request decides.
    pub routes: Vec<RouteRule>,
}

impl ServiceSpec {
    /// Whether a request may be retried when its outcome is unknown.
    ///
    /// The first matching rule decides; without one, the definition of the HTTP method does.
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

/// A batch: a declared set of tasks that each run to completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BatchSpec {
    /// Name of the batch.
    pub name: BatchName,
    /// Team to which the batch is charged.
    pub team: TeamName,
    /// Data centres in which tasks may run; all declared ones if the text lists none.
    pub data_centres: Arc<[DataCentreName]>,
    /// Number of tasks of one run.
    pub tasks: u32,
    /// Resources committed to one task.
    pub demand: ResourceVector,
    /// Declared run time of one task, in milliseconds.
    pub run_ms: u64,
    /// Whether the tasks must start within seconds, if needed by preempting other batch tasks.
    pub urgent: bool,
    /// Number of failures after which a task is given up; zero in the text counts as 1.
    pub max_failures: u32,
    /// Keys of the declared runs; each key creates exactly one job.
    pub runs: Vec<Arc<str>>,
}
