//! Domain types, checked settings and environment documents.

/// Commonly used items of this crate.
pub mod prelude {}
