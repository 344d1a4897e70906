//! Contract with the platform's workers and with endpoints.

/// Commonly used items of this crate.
pub mod prelude {}
