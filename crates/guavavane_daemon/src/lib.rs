//! What every daemon shares: settings, logs, metrics, clock and shutdown.

/// Commonly used items of this crate.
pub mod prelude {}
