//! Defines the commands of the replicated state and their outcomes.
//!
//! Commands are entries of the replicated log, encoded with bincode by the order of variants and
//! fields.

use serde::Deserialize;
use serde::Serialize;

use guavavane_model::prelude::BootId;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::RackName;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;
use guavavane_protocol::claim::ClaimOutcome;
use guavavane_protocol::claim::ClaimRequest;
use guavavane_protocol::operator::OperatorCommand;
use guavavane_protocol::operator::OperatorOutcome;
use guavavane_protocol::poll::TaskAttempt;

/// Description of a worker, taken from its poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerObservation {
    /// The worker.
    pub worker: WorkerName,
    /// Data centre of the worker.
    pub data_centre: DataCentreName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Current boot of the worker.
    pub boot: BootId,
    /// Total capacity of the worker.
    pub capacity: ResourceVector,
}

/// Commits an attempt of a task to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskPlacement {
    /// The attempt.
    pub attempt: TaskAttempt,
    /// The worker.
    pub worker: WorkerName,
    /// Capacity to commit; in each resource at least the declared demand is committed.
    pub demand: ResourceVector,
}

/// Why an attempt is evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EvictionCause {
    /// The job was cancelled, or its service has fewer instances now.
    Cancelled,
    /// Urgent work needs the capacity.
    Preempted,
    /// The data centre of the worker was taken out of service.
    DataCentreOut,
    /// The attempt slows others through interference, or is slowed by them.
    Interference,
    /// The successor of the attempt runs.
    Replaced,
    /// The worker has less capacity than is committed on it.
    WorkerShrunk,
    /// The worker is quarantined.
    Quarantined,
}

/// Orders the eviction of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEviction {
    /// The attempt.
    pub attempt: TaskAttempt,
    /// Why the attempt is evicted.
    pub cause: EvictionCause,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The attempt completed its work.
    Finished,
    /// The attempt ended with an error.
    Failed,
    /// The attempt was stopped before it completed.
    Stopped,
    /// The attempt did not start and the worker refuses any later start.
    NotStarted,
    /// The lease of the worker expired, or the worker has booted again.
    LeaseExpired,
}

/// Outcome and progress of an attempt that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCompletion {
    /// The attempt.
    pub attempt: TaskAttempt,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Work saved in the last checkpoint, in milliseconds.
    pub progress_ms: u64,
}

/// Limits of the claims. The leader adds them from its settings to each command, so that all
/// replicas apply the same limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLimits {
    /// Maximum number of claims.
    pub claims: u64,
    /// Maximum sum of the stored answers, in bytes.
    pub answer_bytes: u64,
}

/// Changes a claim within the limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCommand {
    /// The requested change.
    pub request: ClaimRequest,
    /// The limits.
    pub limits: ClaimLimits,
}

/// A command of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Applies a command of an operator.
    Operate(OperatorCommand),
    /// Records a new or changed worker.
    ObserveWorker(WorkerObservation),
    /// Removes a worker that has no tasks.
    ForgetWorker(WorkerName),
    /// Commits an attempt of a task to a worker.
    PlaceTask(TaskPlacement),
    /// Orders the eviction of an attempt.
    EvictTask(TaskEviction),
    /// Adds a successor, which starts before the attempt is evicted.
    ReplaceTask(TaskAttempt),
    /// Ends an attempt and releases its capacity.
    EndAttempt(AttemptCompletion),
    /// Records that no worker can take a waiting task, or clears that record.
    SetImpossible {
        /// The task.
        task: TaskId,
        /// Resource that no worker has enough of; `None` clears the record.
        lacks: Option<String>,
    },
    /// Gives up a waiting task, since its job failed on several workers.
    GiveUpTask(TaskId),
    /// Acquires, replaces, releases or settles a claim.
    ChangeClaim(ClaimCommand),
    /// Drops the claims up to a sequence number, at the end of their retention.
    DropClaims {
        /// Highest sequence number to drop.
        last_sequence: u64,
    },
}

/// Outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlOutcome {
    /// Reply to an operator's command.
    Operator(OperatorOutcome),
    /// Outcome of a change of a claim.
    Claim(ClaimOutcome),
    /// The state changed.
    Changed,
    /// Nothing changed: the command refers to an outdated state or has been applied before.
    Stale,
    /// Nothing changed: the command violates a constraint.
    Rejected(RejectReason),
}

/// Why a placement is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The state has no such worker.
    UnknownWorker,
    /// The free capacity of the worker is too small.
    Overcommitted,
    /// The data centre of the worker is out of service.
    DataCentreOut,
    /// The job may not use the data centre of the worker.
    DataCentreNotAllowed,
}
