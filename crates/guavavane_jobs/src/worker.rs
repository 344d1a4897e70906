//! What a worker says of itself.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use guavavane_model::prelude::ResourceVector;

/// Facts of one incarnation of a worker that do not change during its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerFacts {
    /// Pool of the worker.
    pub pool: Arc<str>,
    /// Data centre of the worker.
    pub data_centre: Arc<str>,
    /// What it has.
    pub capacity: ResourceVector,
    /// Its kind and its rack, in any order.
    pub labels: Vec<Arc<str>>,
}

impl WorkerFacts {
    /// Whether the worker has this label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| &**own == label)
    }
}
