//! Scheduler for colocated latency-critical and batch work, driven by one document for each
//! environment.
//!
//! This crate re-exports the crates of the workspace and holds the binaries.

pub use guavavane_agent as agent;
pub use guavavane_cell as cell;
pub use guavavane_command as command;
pub use guavavane_contract as contract;
pub use guavavane_control as control;
pub use guavavane_daemon as daemon;
pub use guavavane_entry as entry;
pub use guavavane_jobs as jobs;
pub use guavavane_model as model;
pub use guavavane_placement as placement;
pub use guavavane_protocol as protocol;
pub use guavavane_quorum as quorum;
pub use guavavane_routing as routing;
pub use guavavane_standin as standin;
pub use guavavane_transport as transport;
