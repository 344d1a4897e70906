//! Addresses of the control processes that a process contacts first.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

/// Seeds, which may be replaced while the process runs; clones share them.
#[derive(Clone, Debug)]
pub struct SeedAddresses(Arc<RwLock<Vec<SocketAddr>>>);

impl SeedAddresses {
    /// Creates the seeds of the start.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self(Arc::new(RwLock::new(addresses)))
    }

    /// Current seeds.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.0
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the seeds.
    pub fn replace(&self, addresses: Vec<SocketAddr>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = addresses;
    }
}
