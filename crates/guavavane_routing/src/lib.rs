//! Routing decisions: endpoint choice, retry budgets, hedging, ejection and shedding.

/// Commonly used items of this crate.
pub mod prelude {}
