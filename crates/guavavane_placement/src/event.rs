//! Defines the events of the replicated state that the policy applies, in the order of the log.
//!
//! Every event is idempotent: a duplicate or late event names an attempt that is no longer
//! current and is ignored.

use serde::Deserialize;
use serde::Serialize;

use crate::decision::DecisionNumber;
use crate::record::TaskRecord;
use crate::record::WorkerRecord;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::TeamName;
use guavavane_model::prelude::WorkerName;

/// A change of the replicated state that concerns placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementEvent {
    /// A worker joined or came back, with this capacity.
    WorkerUp(WorkerRecord),
    /// A worker's capacity, rack or data centre changed.
    WorkerChanged(WorkerRecord),
    /// A worker left; its tasks stay committed until they are released.
    WorkerGone(WorkerName),
    /// Operators took a data centre out of service.
    DataCentreOut(DataCentreName),
    /// Operators brought a data centre back into service.
    DataCentreBack(DataCentreName),
    /// A team's weight and cap were set.
    QuotaSet(TeamQuota),
    /// A task waits for a worker.
    TaskSubmitted(TaskRecord),
    /// Describes a task to the policy of a new leader: waiting, or with its committed attempts.
    TaskRestored(TaskRestore),
    /// A task was cancelled; it is never placed again.
    TaskCancelled(TaskId),
    /// The replicated state committed a placement; the task may not have started yet.
    PlacementCommitted(TaskPlacement),
    /// An attempt has ended, and its capacity on the worker is released.
    TaskReleased(TaskRelease),
    /// The replicated state rejected a placement.
    PlacementRejected(DecisionNumber),
    /// Measured resource usage of a task; arrives after its interval has ended.
    UsageSample(UsageSample),
    /// Measured slowdown of a service task; arrives after its interval has ended.
    LatencySample(LatencySample),
}

/// Fair-share weight and cap of a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamQuota {
    /// The team.
    pub team: TeamName,
    /// Weight of the team's fair share; zero counts as one.
    pub weight: u32,
    /// Maximum sum of the team's reservations, or `None` without a cap.
    pub cap: Option<ResourceVector>,
}

/// A placement that the replicated state committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskPlacement {
    /// The task.
    pub task: TaskId,
    /// Attempt that was placed.
    pub attempt: AttemptNumber,
    /// Worker of the attempt.
    pub worker: WorkerName,
    /// Capacity that is reserved for the attempt.
    pub reserved: ResourceVector,
    /// Whether the eviction of the attempt was ordered.
    pub evicting: bool,
    /// Time that the attempt has run, in milliseconds.
    pub ran_ms: u64,
}

/// A task with all its committed attempts, for the policy of a new leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRestore {
    /// The task; `attempt` is the highest that was ever assigned.
    pub record: TaskRecord,
    /// Committed attempts: none while the task waits, two while a service task is replaced.
    pub placements: Vec<TaskPlacement>,
}

/// Why an attempt released its capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseCause {
    /// The task completed.
    Finished,
    /// The task was stopped and is not requeued.
    Stopped,
    /// The task was evicted and its stop was confirmed; it is requeued.
    Evicted,
    /// The lease of the worker expired; the task is requeued.
    LeaseExpired,
    /// The task failed; it is requeued after a backoff.
    FailedOnWorker,
}

/// End of an attempt on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRelease {
    /// The task.
    pub task: TaskId,
    /// The attempt that ended.
    pub attempt: AttemptNumber,
    /// Worker of the attempt.
    pub worker: WorkerName,
    /// Why the attempt ended.
    pub cause: ReleaseCause,
}

/// Interval of a sample, on the leader's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MeasuredInterval {
    /// Start of the interval.
    pub from: BootTime,
    /// End of the interval.
    pub until: BootTime,
}

/// Resources that a task used over an interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSample {
    /// The task.
    pub task: TaskId,
    /// Attempt that was measured.
    pub attempt: AttemptNumber,
    /// Worker that reported the sample.
    pub worker: WorkerName,
    /// Interval that was measured.
    pub interval: MeasuredInterval,
    /// Peak usage in the interval.
    pub used: ResourceVector,
}

/// Slowdown of a service task in an interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencySample {
    /// The service task.
    pub task: TaskId,
    /// Attempt that was measured.
    pub attempt: AttemptNumber,
    /// Worker that reported the sample.
    pub worker: WorkerName,
    /// Interval that was measured.
    pub interval: MeasuredInterval,
    /// Latency in thousandths of the task's latency target; 1,000 is on target.
    pub slowdown_permille: u32,
    /// Load on the task in the interval, in thousandths of full load.
    pub load_permille: u32,
}
