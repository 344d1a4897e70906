//! Replicated log with durable storage, snapshots and membership.

/// Commonly used items of this crate.
pub mod prelude {}
