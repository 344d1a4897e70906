//! Placement decisions: ledger, filters, scores, quotas, preemption and interference.
//!
//! [`placement_core::PlacementCore`] is the pure policy that runs on the leader. It is built from the
//! replicated state at an election and is then fed events in log order; it returns decisions,
//! which the control proposes to the log. A decision is reserved in the core until the
//! replicated state confirms it with [`event::PlacementEvent::TaskRunning`] or refuses it with
//! [`event::PlacementEvent::DecisionRejected`]. The replicated state checks the ledger again
//! when it applies the decision.
//!
//! Fair shares follow dominant resource fairness (Ghodsi et al., NSDI 2011); candidates are
//! sampled rather than enumerated (the power of d choices, Mitzenmacher 2001); the pairwise
//! interference estimates are fitted by normalised least mean squares (Widrow and Hoff 1960).

pub mod decision;
pub mod event;
pub mod placement_core;
pub mod record;
pub mod settings;

mod allocation_history;
mod capacity_grid;
mod data_centre;
mod failure_history;
mod index;
mod interference;
mod shape;
mod size_estimate;
mod slowdown_hysteresis;
mod task_table;
mod team;
mod token_bucket;
mod worker_table;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::decision::DecisionNumber;
    pub use crate::decision::EvictDecision;
    pub use crate::decision::EvictionCause;
    pub use crate::decision::GiveUpDecision;
    pub use crate::decision::ImpossibleDecision;
    pub use crate::decision::PlaceDecision;
    pub use crate::decision::PlaceReason;
    pub use crate::decision::PlacementDecision;
    pub use crate::decision::QuarantineDecision;
    pub use crate::decision::ResourceShortage;
    pub use crate::decision::ScoreBreakdown;
    pub use crate::decision::ScoredWorker;
    pub use crate::decision::ThrottleDecision;
    pub use crate::decision::ThrottleLevel;
    pub use crate::event::LatencySample;
    pub use crate::event::MeasuredInterval;
    pub use crate::event::PlacementEvent;
    pub use crate::event::ReleaseCause;
    pub use crate::event::TaskPlacement;
    pub use crate::event::TaskRelease;
    pub use crate::event::TaskRestore;
    pub use crate::event::TeamQuota;
    pub use crate::event::UsageSample;
    pub use crate::placement_core::IgnoredReason;
    pub use crate::placement_core::PlacementCore;
    pub use crate::placement_core::StepOutcome;
    pub use crate::record::TaskAttempt;
    pub use crate::record::TaskClass;
    pub use crate::record::TaskPriority;
    pub use crate::record::TaskRecord;
    pub use crate::record::WorkerRecord;
    pub use crate::record::WorkloadKind;
    pub use crate::settings::PlacementSettings;
}
