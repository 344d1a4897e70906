//! Commands of the replicated state and their outcomes.

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

/// What a worker's poll says of the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerObservation {
    /// The worker.
    pub worker: WorkerName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its rack.
    pub rack: RackName,
    /// Its boot.
    pub boot: BootId,
    /// What it has.
    pub capacity: ResourceVector,
}

/// Commits an attempt to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskPlacement {
    /// The attempt.
    pub attempt: TaskAttempt,
    /// The worker.
    pub worker: WorkerName,
    /// What to commit; the declared demand if that is more.
    pub demand: ResourceVector,
}

/// Why an attempt is evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EvictionCause {
    /// Its job was cancelled or shrunk.
    Cancelled,
    /// Urgent work needs the room.
    Preempted,
    /// Its data centre was taken out.
    DataCentreOut,
    /// It slows others, or others slow it.
    Interference,
    /// Its successor runs.
    Replaced,
    /// Its worker has less than is committed.
    WorkerShrunk,
    /// Its worker is quarantined.
    Quarantined,
}

/// Orders an eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEviction {
    /// The attempt.
    pub attempt: TaskAttempt,
    /// Why.
    pub cause: EvictionCause,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndCause {
    /// Its work is done.
    Finished,
    /// It ended with an error.
    Failed,
    /// It was stopped.
    Stopped,
    /// It never started and never will.
    NotStarted,
    /// Its lease ran out.
    LeaseExpired,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The attempt.
    pub attempt: TaskAttempt,
    /// How it ended.
    pub cause: EndCause,
    /// Work kept in its last checkpoint, in milliseconds.
    pub progress_ms: u64,
}

/// Bounds of the claims, as the proposing leader has them in its settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLimits {
    /// Most claims kept.
    pub claims: u64,
    /// Most bytes of answers kept.
    pub answer_bytes: u64,
}

/// Changes a claim within bounds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCommand {
    /// The change.
    pub request: ClaimRequest,
    /// The bounds.
    pub limits: ClaimLimits,
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// A change that an operator asked for.
    Operate(OperatorCommand),
    /// A worker appeared or changed.
    ObserveWorker(WorkerObservation),
    /// A worker without tasks is gone.
    ForgetWorker(WorkerName),
    /// Commits an attempt to a worker.
    PlaceTask(TaskPlacement),
    /// Orders an eviction.
    EvictTask(TaskEviction),
    /// Adds a successor that runs before the attempt is evicted.
    ReplaceTask(TaskAttempt),
    /// Records the end of an attempt.
    EndAttempt(AttemptEnd),
    /// Records that a task can never run, or that it can again.
    SetImpossible {
        /// The task.
        task: TaskId,
        /// What it lacks.
        lacks: Option<String>,
    },
    /// Gives up a task that waits: its job fails on different workers.
    GiveUpTask(TaskId),
    /// Changes a claim.
    ChangeClaim(ClaimCommand),
    /// Drops the claims up to this sequence number.
    DropClaims {
        /// Highest sequence number to drop.
        last_sequence: u64,
    },
}

/// What a command led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlOutcome {
    /// Answer to an operator.
    Operator(OperatorOutcome),
    /// State of a claim.
    Claim(ClaimOutcome),
    /// The state changed.
    Changed,
    /// The state has moved on; nothing changed.
    Stale,
    /// The change would break a rule; nothing changed.
    Rejected(RejectReason),
}

/// Why a placement is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The worker is not known.
    UnknownWorker,
    /// The worker would be committed beyond what it has.
    Overcommitted,
    /// The data centre is out.
    DataCentreOut,
    /// The job may not use that data centre.
    DataCentreNotAllowed,
}
