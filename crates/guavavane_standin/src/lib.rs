//! Test doubles ("stand-ins") for the platform and its users, and a harness for fault tests.
//!
//! - [`worker`]: platform worker with service endpoints, into which faults can be injected
//! - [`callers`]: open-loop load generator with a load balancer
//! - [`relay`]: TCP relay that simulates network partitions
//! - [`harness`]: test clusters of daemons as child processes on loopback
//! - [`evidence`] and [`checker`]: the stand-ins write the events that they observe to evidence
//!   files, one JSON line an event; the checker verifies the invariants of the system from these
//!   files alone

pub mod answer;
pub mod callers;
pub mod checker;
pub mod clock;
pub mod command;
pub mod demo;
pub mod evidence;
pub mod harness;
pub mod http;
pub mod relay;
mod run_history;
pub mod simulated_worker;
pub mod socket_owner;
pub mod worker;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::callers::load::run_load;
    pub use crate::callers::load::LoadSummary;
    pub use crate::callers::settings::CallerSettings;
    pub use crate::checker::check_records;
    pub use crate::checker::CheckReport;
    pub use crate::checker::CheckRules;
    pub use crate::evidence::CallerOutcome;
    pub use crate::evidence::EvidenceEvent;
    pub use crate::evidence::EvidenceFile;
    pub use crate::evidence::EvidenceRecord;
    pub use crate::harness::address::AddressPool;
    pub use crate::harness::cluster::RunningCluster;
    pub use crate::harness::plan::ClusterPlan;
    pub use crate::harness::process::ProcessGroup;
    pub use crate::harness::process::ProcessPlan;
    pub use crate::relay::RelayMode;
    pub use crate::relay::TcpRelay;
    pub use crate::worker::fault::EndpointFault;
    pub use crate::worker::machine::WorkerMachine;
    pub use crate::worker::server::WorkerServer;
    pub use crate::worker::settings::WorkerSettings;
}
