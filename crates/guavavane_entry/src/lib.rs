//! Entry daemon: HTTP for callers and operators, routing, retries and claims.

/// Commonly used items of this crate.
pub mod prelude {}
