//! Stand-ins for tests and trials: platform worker, endpoint, callers and relay.

/// Commonly used items of this crate.
pub mod prelude {}
