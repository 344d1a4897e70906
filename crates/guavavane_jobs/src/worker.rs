//! Defines the facts that a worker reports about itself.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use guavavane_model::prelude::ResourceVector;

/// Most labels of a worker. The platform gives each worker two, its kind and its rack.
pub const LABELS_MAX: usize = 64;

/// Facts that stay constant during one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerFacts {
    /// Name of the pool that the worker belongs to.
    pub pool: Arc<str>,
    /// Name of the data centre that the worker runs in.
    pub data_centre: Arc<str>,
    /// Resources of the worker.
    pub capacity: ResourceVector,
    /// Kind and rack of the worker, in any order; placement takes the last label as the rack.
    pub labels: Vec<Arc<str>>,
}

impl WorkerFacts {
    /// Whether the worker has this label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels
            .iter()
            .any(|worker_label| &**worker_label == label)
    }
}
