//! Stand-ins for tests and trials: platform worker, endpoint, callers and relay.
//!
//! The stand-ins write what they saw to evidence files, one line an event, and the judge counts
//! from these files alone. The harness starts the daemons as child processes on loopback.

pub mod answer;
pub mod callers;
pub mod clock;
pub mod command;
pub mod evidence;
pub mod http;
pub mod judge;
pub mod worker;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::callers::load::run_load;
    pub use crate::callers::load::LoadSummary;
    pub use crate::callers::settings::CallerSettings;
    pub use crate::evidence::CallerOutcome;
    pub use crate::evidence::EvidenceEvent;
    pub use crate::evidence::EvidenceFile;
    pub use crate::evidence::EvidenceRecord;
    pub use crate::judge::judge_records;
    pub use crate::judge::JudgeReport;
    pub use crate::judge::JudgeRules;
    pub use crate::worker::machine::WorkerMachine;
    pub use crate::worker::misbehaviour::Misbehaviour;
    pub use crate::worker::server::WorkerServer;
    pub use crate::worker::settings::WorkerSettings;
}
