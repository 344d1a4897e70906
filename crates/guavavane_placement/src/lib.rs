//! Decides which worker runs each task: filtering, scoring, quotas, preemption, interference.
//!
//! [`placement_core::PlacementCore`] is a deterministic policy without input or output; it runs
//! on the leader. After an election it is built from the replicated state and then receives
//! events in the order of the log. Its scheduling passes return decisions, which the control
//! daemon proposes to the log. The policy reserves the capacity of a placement until the replicated
//! state commits it ([`event::PlacementEvent::PlacementCommitted`]) or rejects it
//! ([`event::PlacementEvent::PlacementRejected`]). The replicated state checks the capacity of
//! the worker again when it applies a placement.
//!
//! Teams share the cell by dominant resource fairness (Ghodsi et al., NSDI 2011). Candidate
//! workers are sampled, not enumerated (the power of d choices, Mitzenmacher 2001). Pairwise
//! interference is estimated by normalised least mean squares (Widrow and Hoff 1960).

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
    pub use crate::placement_core::EventOutcome;
    pub use crate::placement_core::IgnoredReason;
    pub use crate::placement_core::PlacementCore;
    pub use crate::record::TaskAttempt;
    pub use crate::record::TaskClass;
    pub use crate::record::TaskPriority;
    pub use crate::record::TaskRecord;
    pub use crate::record::WorkerRecord;
    pub use crate::record::WorkloadKind;
    pub use crate::settings::PlacementSettings;
}
