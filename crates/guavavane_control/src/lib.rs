//! Control daemon: replicated state, documents, leases, claims and scheduling.
//!
//! [`state`] is the replicated state machine, the authority on documents, data centres, the
//! ledger, tasks and claims. [`serve`] answers calls, [`scheduler`] lets the placement policy
//! decide on the leader and proposes its decisions, and [`daemon`] wires them together. What
//! only a leader knows, such as leases, lives in [`context::LeaderMemory`] and starts anew
//! with each term.

pub mod context;
pub mod daemon;
pub mod entry_registry;
pub mod lease;
pub mod orders;
pub mod replica;
pub mod scheduler;
pub mod serve;
pub mod settings;
pub mod state;
pub mod status;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::daemon::run_command;
    pub use crate::settings::raw_control_command;
    pub use crate::settings::ControlCommandLine;
    pub use crate::state::ControlState;
}
