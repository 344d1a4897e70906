//! Control daemon: replicated state, documents, leases, claims and scheduling.

/// Commonly used items of this crate.
pub mod prelude {}
