//! Agent daemon: request guard of an endpoint, leases and starts of a worker.

/// Commonly used items of this crate.
pub mod prelude {}
