//! Events that the replicated state feeds to the policy, in log order.
//!
//! Every event is idempotent: a doubled or late one names an attempt that is no longer current
//! and is ignored.

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
    /// A worker joined, or came back with this capacity.
    WorkerUp(WorkerRecord),
    /// A worker's capacity, rack or data centre changed.
    WorkerChanged(WorkerRecord),
    /// A worker is gone; its tasks stay committed until they are released.
    WorkerGone(WorkerName),
    /// Operators took a data centre out.
    DataCentreOut(DataCentreName),
    /// Operators brought a data centre back.
    DataCentreIn(DataCentreName),
    /// A team's weight and cap were set.
    QuotaSet(TeamQuota),
    /// A task waits for a worker.
    TaskSubmitted(TaskRecord),
    /// A task as a new leader finds it: waiting, or with the attempts that are committed.
    TaskRestored(TaskRestore),
    /// A task was cancelled; it is never placed again.
    TaskCancelled(TaskId),
    /// The replicated state committed a placement.
    TaskRunning(TaskPlacement),
    /// A task's lease on a worker has ended.
    TaskReleased(TaskRelease),
    /// The replicated state refused a placement.
    DecisionRejected(DecisionNumber),
    /// What a task used, reported late.
    UsageSample(UsageSample),
    /// How slow a service was, reported late.
    LatencySample(LatencySample),
}

/// Share and cap of a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamQuota {
    /// The team.
    pub team: TeamName,
    /// Weight of its fair share; at least one.
    pub weight: u32,
    /// What the team may hold at most, or no cap.
    pub cap: Option<ResourceVector>,
}

/// A placement that the replicated state committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskPlacement {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// Worker that the task is committed to.
    pub worker: WorkerName,
    /// What is reserved for it there.
    pub reserved: ResourceVector,
    /// Whether its eviction was ordered.
    pub evicting: bool,
    /// How long it has run, in milliseconds.
    pub ran_ms: u64,
}

/// A task with all its committed attempts, for a policy that is built at an election.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRestore {
    /// The task; its attempt is the highest that was ever given out.
    pub record: TaskRecord,
    /// Committed attempts; two while a service task is moved, none while it waits.
    pub placements: Vec<TaskPlacement>,
}

/// Why a task left its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseCause {
    /// It completed.
    Finished,
    /// It was stopped for good.
    Stopped,
    /// It was evicted and its stop was confirmed; it is requeued.
    Evicted,
    /// Its lease expired; it is requeued.
    LeaseExpired,
    /// It failed; it is requeued after a backoff.
    FailedOnWorker,
}

/// End of a task's lease on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRelease {
    /// The task.
    pub task: TaskId,
    /// The attempt that ended.
    pub attempt: AttemptNumber,
    /// Worker that the task was on.
    pub worker: WorkerName,
    /// Why it ended.
    pub cause: ReleaseCause,
}

/// Interval that a sample measured, on the leader's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MeasuredInterval {
    /// Start.
    pub from: BootTime,
    /// End.
    pub until: BootTime,
}

/// Resources that a task used over an interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSample {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// Worker that measured it.
    pub worker: WorkerName,
    /// Interval that was measured.
    pub interval: MeasuredInterval,
    /// Peak use in the interval.
    pub used: ResourceVector,
}

/// Slowdown of a service task over an interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencySample {
    /// The service task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// Worker that measured it.
    pub worker: WorkerName,
    /// Interval that was measured.
    pub interval: MeasuredInterval,
    /// Latency relative to the task's own objective; 1,000 is on the objective.
    pub slowdown_permille: u32,
    /// Load on the task in the interval; 1,000 is full.
    pub load_permille: u32,
}
