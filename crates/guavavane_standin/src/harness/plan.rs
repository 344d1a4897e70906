//! What a cluster consists of.

use std::path::PathBuf;

use guavavane_model::prelude::ResourceVector;

/// Workers in a rack.
pub const RACK_WORKERS: usize = 3;

/// Time for which an entry takes work after SIGTERM, in ms; the balancer notices earlier.
pub const DRAIN_WAIT_MS: u64 = 1_000;

/// What a cluster consists of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterPlan {
    /// Name of its folder.
    pub name: String,
    /// Environment that its document is for.
    pub environment: String,
    /// Document that is applied.
    pub document: PathBuf,
    /// Data centres, over which workers and entries are spread in turn.
    pub data_centres: Vec<String>,
    /// Service that callers use.
    pub service: String,
    /// Number of control replicas.
    pub replicas: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of workers, each with its agent.
    pub workers: usize,
    /// What each worker has.
    pub capacity: ResourceVector,
    /// Further flags of the control replicas.
    pub control_flags: Vec<String>,
    /// Further flags of the entries.
    pub entry_flags: Vec<String>,
    /// Further flags of the agents.
    pub agent_flags: Vec<String>,
    /// Further flags of the workers.
    pub worker_flags: Vec<String>,
    /// Whether calls to control replicas go through relays.
    pub relay_control: bool,
    /// Whether calls of entries to agents go through relays.
    pub relay_agents: bool,
}

impl ClusterPlan {
    /// The Cooperativa's cell, with documents from the folder `examples`.
    pub fn cooperativa(examples: &std::path::Path) -> Self {
        Self {
            name: "cooperativa".to_owned(),
            environment: "production".to_owned(),
            document: examples.join("environments/cooperativa.toml"),
            data_centres: names(&["caxias", "bento", "farroupilha"]),
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

    /// Blomstervagt's cell, with documents from the folder `examples`.
    pub fn blomstervagt(examples: &std::path::Path) -> Self {
        Self {
            name: "blomstervagt".to_owned(),
            document: examples.join("environments/blomstervagt.toml"),
            data_centres: names(&["jyl-aarhus", "jyl-vejle", "jyl-aalborg"]),
            service: "rota-api".to_owned(),
            capacity: ResourceVector::new(32_000, 125_000, 0),
            ..Self::cooperativa(examples)
        }
    }

    /// Data centre of the worker or entry with this index.
    pub fn data_centre(&self, index: usize) -> &str {
        &self.data_centres[index % self.data_centres.len()]
    }

    /// Rack of the worker with this index.
    pub fn rack(&self, index: usize) -> String {
        let rack = index / self.data_centres.len() / RACK_WORKERS + 1;
        format!("{}-rack-{rack}", self.data_centre(index))
    }
}

fn names(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}
