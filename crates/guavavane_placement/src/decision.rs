//! Defines the decisions that the control daemon logs and proposes to the replicated log.

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
    /// Starts a task on a worker.
    Place(PlaceDecision),
    /// Checkpoints, stops and requeues a task.
    Evict(EvictDecision),
    /// Changes the CPU share of a task.
    Throttle(ThrottleDecision),
    /// Reports that no worker can take a task.
    ReportImpossible(ImpossibleDecision),
    /// Gives a task up, because its job fails on different workers.
    GiveUp(GiveUpDecision),
    /// Stops placements on a worker for the time of a quarantine.
    QuarantineWorker(QuarantineDecision),
    /// Allows placements on a worker after a quarantine.
    ReleaseQuarantine(WorkerName),
}

/// Number of a placement. A rejection names it, so that a late rejection of an earlier
/// placement of the same attempt changes nothing. The first number is drawn from the seed, the
/// others count up from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DecisionNumber(pub u64);

/// Placement of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceDecision {
    /// Number of the placement.
    pub number: DecisionNumber,
    /// The task.
    pub task: TaskId,
    /// Attempt to start.
    pub attempt: AttemptNumber,
    /// Worker with the best score.
    pub worker: WorkerName,
    /// Capacity to reserve: the declared size, or more if measured usage exceeds it.
    pub reserved: ResourceVector,
    /// Why the task is placed.
    pub reason: PlaceReason,
    /// Score of the chosen worker.
    pub score: ScoreBreakdown,
    /// Next best candidates, best first.
    pub alternatives: Vec<ScoredWorker>,
}

/// Why a task is placed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceReason {
    /// The task was next by fair share.
    FairShare,
    /// The task is urgent.
    Urgent,
    /// Capacity was freed for the task by preemption.
    Preempted,
    /// The new attempt replaces one on another worker; that one is evicted once the new one is
    /// committed.
    Replacement {
        /// Worker of the replaced attempt.
        from: WorkerName,
    },
}

/// Parts of a worker's score, in thousandths; the worker with the highest total is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoreBreakdown {
    /// Committed fraction of the worker with the task: positive for batch, negative for services.
    pub fit: i64,
    /// Penalty for replicas of the same service on the worker, in the rack and in the data centre.
    pub spread: i64,
    /// Penalty for the predicted slowdown that the task causes and, as a service, suffers.
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

/// A candidate worker with its score.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoredWorker {
    /// The worker.
    pub worker: WorkerName,
    /// Total score of the worker.
    pub total: i64,
}

/// Eviction of a task with a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvictDecision {
    /// The task.
    pub task: TaskId,
    /// Attempt to evict.
    pub attempt: AttemptNumber,
    /// Worker of the attempt.
    pub worker: WorkerName,
    /// Why the task is evicted.
    pub cause: EvictionCause,
    /// Time after which the task is stopped without a checkpoint, in milliseconds.
    pub checkpoint_limit_ms: u64,
}

/// Why a task is evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvictionCause {
    /// An urgent or latency-critical task needs the capacity.
    Preemption {
        /// The preempting task.
        for_task: TaskId,
    },
    /// The task slows a service.
    Interference {
        /// Service task that is slowed.
        service: TaskId,
    },
    /// The data centre of the worker is out of service, or another committed attempt of the task
    /// replaces the attempt.
    DataCentreOut,
    /// The capacity of the worker shrank below the sum of its reservations.
    WorkerShrunk,
}

/// CPU share to which a task is throttled.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum ThrottleLevel {
    /// All of the reserved processors.
    #[default]
    None,
    /// Half of the reserved processors.
    Half,
    /// A quarter of the reserved processors.
    Quarter,
}

impl ThrottleLevel {
    /// Returns the level with the next larger CPU share.
    #[must_use]
    pub fn next_weaker(self) -> Self {
        match self {
            Self::None | Self::Half => Self::None,
            Self::Quarter => Self::Half,
        }
    }

    /// CPU share of the level, in thousandths of the reserved processors.
    pub fn cpu_share_permille(self) -> u32 {
        match self {
            Self::None => 1_000,
            Self::Half => 500,
            Self::Quarter => 250,
        }
    }
}

/// Change of a task's CPU share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ThrottleDecision {
    /// The task.
    pub task: TaskId,
    /// Attempt to throttle.
    pub attempt: AttemptNumber,
    /// Worker of the attempt.
    pub worker: WorkerName,
    /// New level.
    pub level: ThrottleLevel,
    /// Service task whose slowdown caused the change.
    pub service: TaskId,
}

/// A task that no worker can take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImpossibleDecision {
    /// The task.
    pub task: TaskId,
    /// Job of the task.
    pub job: JobId,
    /// Resource that no worker has enough of.
    pub lacks: ResourceShortage,
}

/// Resource that a task needs and that no worker of its data centres has enough of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResourceShortage {
    /// None of the task's data centres has a worker.
    Workers,
    /// Processors, in thousandths of a core.
    Processors {
        /// Demand of the task.
        needed: u64,
        /// Largest capacity of one worker.
        largest: u64,
    },
    /// Memory, in MiB.
    Memory {
        /// Demand of the task.
        needed: u64,
        /// Largest capacity of one worker.
        largest: u64,
    },
    /// Number of accelerators.
    Accelerators {
        /// Demand of the task.
        needed: u64,
        /// Largest capacity of one worker.
        largest: u64,
    },
    /// For each resource some worker has enough, but no worker has enough of all.
    Combination {
        /// Demand of the task.
        needed: ResourceVector,
    },
    /// The task alone exceeds its team's cap.
    TeamCap {
        /// Demand of the task.
        needed: ResourceVector,
        /// Cap of the team.
        cap: ResourceVector,
    },
}

/// A task that is given up and not placed again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GiveUpDecision {
    /// The task.
    pub task: TaskId,
    /// Job of the task.
    pub job: JobId,
    /// Number of different workers on which the job failed.
    pub failed_workers: u32,
}

/// Quarantine of a worker on which different jobs failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineDecision {
    /// The worker.
    pub worker: WorkerName,
    /// Number of different jobs that failed on the worker.
    pub failed_jobs: u32,
    /// Length of the quarantine, in milliseconds.
    pub term_ms: u64,
}
