//! Configuration of a test cluster: its documents, processes and flags.

use std::path::PathBuf;

use guavavane_model::prelude::ResourceVector;

/// Number of workers in a rack.
pub const RACK_WORKERS: usize = 3;

/// Time for which an entry accepts requests after SIGTERM, in ms.
///
/// Longer than the health check interval of the load balancer, which thus stops sending to the
/// entry before the entry stops accepting.
pub const DRAIN_WAIT_MS: u64 = 1_000;

/// Configuration of a test cluster, from which [`RunningCluster`] is started.
///
/// [`RunningCluster`]: crate::harness::cluster::RunningCluster
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterPlan {
    /// Name of the cluster, part of the name of its folder.
    pub name: String,
    /// Environment to which the document is applied.
    pub environment: String,
    /// File of the environment document.
    pub document: PathBuf,
    /// Data centres; workers and entries are spread over them round robin.
    pub data_centres: Vec<String>,
    /// Service to which callers send requests.
    pub service: String,
    /// Number of control replicas.
    pub replicas: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of workers, each with one agent.
    pub workers: usize,
    /// Capacity of each worker.
    pub capacity: ResourceVector,
    /// Additional command line flags of the control replicas.
    pub control_flags: Vec<String>,
    /// Additional command line flags of the entries.
    pub entry_flags: Vec<String>,
    /// Additional command line flags of the agents.
    pub agent_flags: Vec<String>,
    /// Additional command line flags of the workers.
    pub worker_flags: Vec<String>,
    /// Whether calls to control replicas go through relays, so that tests can cut them.
    pub relay_control: bool,
    /// Whether calls of entries to agents go through relays, so that tests can cut them.
    pub relay_agents: bool,
}

impl ClusterPlan {
    /// Returns the example cell `cooperativa`, with the document in the folder `examples`.
    pub fn cooperativa(examples: &std::path::Path) -> Self {
        Self {
            name: "cooperativa".to_owned(),
            environment: "production".to_owned(),
            document: examples.join("environments/cooperativa.toml"),
            data_centres: owned_names(&["caxias", "bento", "farroupilha"]),
            service: "despacho".to_owned(),
            replicas: 3,
            entries: 2,
            workers: 11,
            capacity: ResourceVector::new(16_000, 60_000, 0),
            control_flags: Vec::new(),
            entry_flags: vec![format!("--drain-wait-ms={DRAIN_WAIT_MS}")],
            agent_flags: Vec::new(),
            worker_flags: Vec::new(),
            relay_control: false,
            relay_agents: false,
        }
    }

    /// Returns the example cell `blomstervagt`, with the document in the folder `examples`.
    pub fn blomstervagt(examples: &std::path::Path) -> Self {
        Self {
            name: "blomstervagt".to_owned(),
            document: examples.join("environments/blomstervagt.toml"),
            data_centres: owned_names(&["jyl-aarhus", "jyl-vejle", "jyl-aalborg"]),
            service: "rota-api".to_owned(),
            capacity: ResourceVector::new(32_000, 125_000, 0),
            ..Self::cooperativa(examples)
        }
    }

    /// Returns the data centre of the worker or entry with this index.
    pub fn data_centre(&self, index: usize) -> &str {
        &self.data_centres[index % self.data_centres.len()]
    }

    /// Returns the rack of the worker with this index.
    pub fn rack(&self, index: usize) -> String {
        let rack = index / self.data_centres.len() / RACK_WORKERS + 1;
        format!("{}-rack-{rack}", self.data_centre(index))
    }
}

fn owned_names(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}
