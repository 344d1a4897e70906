//! Schedules jobs of several steps: job model, replicated ledger and scheduling decisions.
//!
//! [`job`] and [`queue`] define the validated model. [`ledger`] is the state machine that the
//! replicated log drives; it alone records which task runs on which worker and which runs have
//! ended. [`budget`] bounds the memory of the jobs. [`plan`] makes the scheduling decisions as pure
//! functions of the ledger, the reports of the agents and the time.

pub mod budget;
pub mod identity;
pub mod job;
pub mod ledger;
pub mod plan;
pub mod queue;
pub mod worker;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::budget::BudgetExceeded;
    pub use crate::budget::JobAdmission;
    pub use crate::budget::JobBudget;
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
    pub use crate::ledger::RunCompletion;
    pub use crate::ledger::RunOutcome;
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
