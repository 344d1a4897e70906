//! Calls between processes over h2 with bincode messages.

/// Commonly used items of this crate.
pub mod prelude {}
