//! Placement decisions: ledger, filters, scores, quotas, preemption and interference.

/// Commonly used items of this crate.
pub mod prelude {}
