//! Agent daemon: request guard of an endpoint, leases and starts of a worker.
//!
//! One small process runs beside each endpoint. The [`guard`] decides which requests reach the
//! endpoint and what their outcome proves. The [`worker`] side lists the platform's worker,
//! polls the control leader and carries out its orders. Both are decision cores without I/O;
//! [`daemon`] puts them into threads connected by channels.

pub mod announce;
pub mod daemon;
pub mod guard;
pub mod hop;
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
