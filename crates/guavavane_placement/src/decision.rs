//! Decisions that the control proposes to the log, with what is logged about each.

use serde::Deserialize;
use serde::Serialize;

use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::JobId;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;

/// A decision of the policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementDecision {
    /// Start a task on a worker.
    Place(PlaceDecision),
    /// Checkpoint a task, stop it and requeue it.
    Evict(EvictDecision),
    /// Change how far a task is slowed.
    Throttle(ThrottleDecision),
    /// Tell the submitter that no worker can take the task.
    ReportImpossible(ImpossibleDecision),
    /// Give a task up: its job fails on different workers.
    GiveUp(GiveUpDecision),
    /// Place nothing on a worker for a while.
    QuarantineWorker(QuarantineDecision),
    /// Place tasks on a worker again.
    ReleaseQuarantine(WorkerName),
}

/// Number of a placement decision: a rejection names it, so that a late rejection of an earlier
/// decision about the same attempt changes nothing. The first one is drawn from the seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DecisionNumber(pub u64);

/// Start of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceDecision {
    /// Number of the decision.
    pub number: DecisionNumber,
    /// The task.
    pub task: TaskId,
    /// Attempt to start.
    pub attempt: AttemptNumber,
    /// Chosen worker.
    pub worker: WorkerName,
    /// What to reserve: the declared size, or more where measurements say so.
    pub reserved: ResourceVector,
    /// Why the task is placed now.
    pub reason: PlaceReason,
    /// Score of the chosen worker.
    pub score: ScoreBreakdown,
    /// Best workers that were passed over, best first.
    pub alternatives: Vec<ScoredWorker>,
}

/// Why a task is placed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceReason {
    /// It was next by fair share.
    FairShare,
    /// It is urgent.
    Urgent,
    /// Room was made for it by preemption.
    Preempted,
    /// It replaces an attempt that runs on another worker until the new one runs.
    Replacement {
        /// Worker of the attempt that is replaced.
        from: WorkerName,
    },
}

/// Parts of a score, in thousandths; the highest total wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoreBreakdown {
    /// Fit: tight for batch, loose for services.
    pub fit: i64,
    /// Penalty for replicas of the same service in the rack and data centre.
    pub spread: i64,
    /// Penalty for the predicted slowdown of services on the worker.
    pub interference: i64,
    /// Penalty for recent failures on the worker.
    pub failures: i64,
}

impl ScoreBreakdown {
    /// Sum of the parts.
    pub fn total(&self) -> i64 {
        self.fit + self.spread + self.interference + self.failures
    }
}

/// A worker that was considered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoredWorker {
    /// The worker.
    pub worker: WorkerName,
    /// Its total score.
    pub total: i64,
}

/// Eviction of a task by checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvictDecision {
    /// The task.
    pub task: TaskId,
    /// Attempt to evict.
    pub attempt: AttemptNumber,
    /// Worker that it runs on.
    pub worker: WorkerName,
    /// Why it is evicted.
    pub cause: EvictionCause,
    /// How long the checkpoint may take before the task is stopped without one.
    pub checkpoint_limit_ms: u64,
}

/// Why a task is evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvictionCause {
    /// Another task needs the room.
    Preemption {
        /// Task that the room is for.
        for_task: TaskId,
    },
    /// It slows a service down.
    Interference {
        /// Service task that is slowed.
        service: TaskId,
    },
    /// Its data centre is out.
    DataCentreOut,
    /// Its worker shrank below what is committed.
    WorkerShrunk,
}

/// How far a task is slowed.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum ThrottleLevel {
    /// Full speed.
    #[default]
    None,
    /// Half of its processors.
    Half,
    /// A quarter of its processors.
    Quarter,
}

impl ThrottleLevel {
    /// The next faster level.
    #[must_use]
    pub fn next_weaker(self) -> Self {
        match self {
            Self::None | Self::Half => Self::None,
            Self::Quarter => Self::Half,
        }
    }

    /// Share of its processors that the task keeps, in thousandths.
    pub fn speed_permille(self) -> u32 {
        match self {
            Self::None => 1_000,
            Self::Half => 500,
            Self::Quarter => 250,
        }
    }
}

/// Change of a task's speed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ThrottleDecision {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// Worker that it runs on.
    pub worker: WorkerName,
    /// New level.
    pub level: ThrottleLevel,
    /// Service task that asked for it.
    pub service: TaskId,
}

/// A task that no worker can take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImpossibleDecision {
    /// The task.
    pub task: TaskId,
    /// Its job.
    pub job: JobId,
    /// What is missing.
    pub lacks: ResourceShortage,
}

/// What a task needs and no allowed worker has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResourceShortage {
    /// No allowed data centre has a worker.
    Workers,
    /// Processors, in thousandths of a core.
    Processors {
        /// Needed.
        needed: u64,
        /// Most that one worker has.
        largest: u64,
    },
    /// Memory, in MiB.
    Memory {
        /// Needed.
        needed: u64,
        /// Most that one worker has.
        largest: u64,
    },
    /// Accelerators.
    Accelerators {
        /// Needed.
        needed: u64,
        /// Most that one worker has.
        largest: u64,
    },
    /// Each resource exists, but no worker has all of them.
    Combination {
        /// Needed.
        needed: ResourceVector,
    },
    /// The task alone exceeds its team's cap.
    TeamCap {
        /// Needed.
        needed: ResourceVector,
        /// Cap of the team.
        cap: ResourceVector,
    },
}

/// A task that is given up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GiveUpDecision {
    /// The task.
    pub task: TaskId,
    /// Its job.
    pub job: JobId,
    /// Different workers that the job failed on.
    pub failed_workers: u32,
}

/// A worker that fails the tasks of different jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineDecision {
    /// The worker.
    pub worker: WorkerName,
    /// Different jobs that failed there.
    pub failed_jobs: u32,
    /// How long nothing is placed there.
    pub term_ms: u64,
}
