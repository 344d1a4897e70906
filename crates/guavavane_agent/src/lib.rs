//! Agent daemon: request guard of the endpoints, and controller of the worker they run on.
//!
//! One agent process runs beside the endpoints of a worker. The [`guard`] admits requests to the
//! endpoints, runs each attempt at most once and reports what its outcome proves. The [`worker`]
//! controller lists the platform's worker, polls the control leader and carries out the leader's
//! orders. Both are state machines without I/O; [`daemon`] runs them in threads connected by
//! channels.

pub mod announce;
pub mod daemon;
pub mod exchange;
pub mod guard;
pub mod route;
pub mod settings;
pub mod worker;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::daemon::run_agent;
    pub use crate::daemon::RunningAgent;
    pub use crate::settings::agent_options;
    pub use crate::settings::AgentSettings;
    pub use crate::settings::RawAgentSettings;
}
