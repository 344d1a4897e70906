//! Messages between the processes of the system.

/// Commonly used items of this crate.
pub mod prelude {}
