//! Jobs of several steps: their model, the replicated ledger and the decisions about them.
//!
//! [`job`] and [`queue`] are the checked model. [`ledger`] is the state machine that the
//! replicated log drives: it alone says which task runs where and which runs have ended.
//! [`plan`] holds the decisions of the leader as pure functions of the ledger, of what the
//! agents report and of the time; each of its modules names the load that it answers.

pub mod identity;
pub mod job;
pub mod ledger;
pub mod plan;
pub mod queue;
pub mod worker;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::identity::JobKey;
    pub use crate::identity::RunNumber;
    pub use crate::identity::StepKey;
    pub use crate::identity::TaskKey;
    pub use crate::identity::WorkerKey;
    pub use crate::job::JobFault;
    pub use crate::job::JobSpec;
    pub use crate::job::RawJob;
    pub use crate::job::RawStep;
    pub use crate::job::StepKind;
    pub use crate::job::StepSpec;
    pub use crate::ledger::JobLedger;
    pub use crate::ledger::JobPhase;
    pub use crate::ledger::LedgerCommand;
    pub use crate::ledger::LedgerOutcome;
    pub use crate::ledger::RunEnd;
    pub use crate::ledger::RunEnding;
    pub use crate::ledger::StartChoice;
    pub use crate::queue::AdviceTiming;
    pub use crate::queue::CatalogFault;
    pub use crate::queue::QueueCatalog;
    pub use crate::queue::QueueSpec;
    pub use crate::queue::RawCatalog;
    pub use crate::queue::RawPool;
    pub use crate::queue::RawQueue;
    pub use crate::worker::WorkerFacts;
}
