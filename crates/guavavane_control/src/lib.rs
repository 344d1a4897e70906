//! Implements the control daemon: replicated state, documents, leases, claims and scheduling.
//!
//! - [`state`] is the replicated state machine: documents, data centres, workers, jobs and claims.
//! - [`serve`] answers the calls of agents, entries, operators and other replicas.
//! - [`scheduler`] runs the placement policy on the leader and proposes its decisions.
//! - [`context::LeaderState`] holds what only the leader knows, such as leases. It is not
//!   replicated and starts empty with each term.
//! - [`daemon`] starts these parts and connects them.

pub mod context;
pub mod daemon;
pub mod entry_registry;
pub mod group_watch;
pub mod lease;
pub mod orders;
mod periodic;
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
