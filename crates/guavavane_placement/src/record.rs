//! Workers and tasks as the replicated state describes them to the policy.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BatchName;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::JobId;
use guavavane_model::prelude::NameError;
use guavavane_model::prelude::RackName;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::ServiceName;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::TeamName;
use guavavane_model::prelude::WorkerName;

/// A worker that may run tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Name, unique in the cell.
    pub name: WorkerName,
    /// Data centre that the worker stands in.
    pub data_centre: DataCentreName,
    /// Rack that the worker is mounted in.
    pub rack: RackName,
    /// What the worker can be committed to at most.
    pub capacity: ResourceVector,
}

/// Whether callers wait for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TaskClass {
    /// A replica of a service; spread over racks and data centres.
    LatencyCritical,
    /// Batch work; packed tightly and evicted by checkpoint.
    Batch,
}

/// How soon a task must start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TaskPriority {
    /// Decided before all else, by preemption if need be; never preempted.
    Urgent,
    /// Decided by fair shares.
    Normal,
}

/// Name of the workload that a task belongs to, the unit of interference estimates.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct WorkloadKind(Arc<str>);

impl WorkloadKind {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for WorkloadKind {
    type Error = NameError;

    fn try_from(text: &str) -> Result<Self, NameError> {
        let name = ServiceName::try_from(text)?;
        Ok(Self::from(&name))
    }
}

impl TryFrom<String> for WorkloadKind {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        Self::try_from(text.as_str())
    }
}

impl From<&ServiceName> for WorkloadKind {
    fn from(name: &ServiceName) -> Self {
        Self(Arc::from(name.as_str()))
    }
}

impl From<&BatchName> for WorkloadKind {
    fn from(name: &BatchName) -> Self {
        Self(Arc::from(name.as_str()))
    }
}

impl From<WorkloadKind> for String {
    fn from(kind: WorkloadKind) -> Self {
        kind.0.as_ref().to_owned()
    }
}

impl fmt::Display for WorkloadKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// One attempt at a task; every order and report names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: AttemptNumber,
}

/// A task that waits for a worker or runs on one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Identity, unique in the cell for ever.
    pub id: TaskId,
    /// Job that the task was submitted with.
    pub job: JobId,
    /// Team whose quota the task counts against.
    pub team: TeamName,
    /// Workload that the task belongs to.
    pub kind: WorkloadKind,
    /// Whether callers wait for the task.
    pub class: TaskClass,
    /// How soon the task must start.
    pub priority: TaskPriority,
    /// Whether the task must never run in two places, not even while it is moved.
    pub exclusive: bool,
    /// Declared size.
    pub demand: ResourceVector,
    /// Data centres that the task may run in; an empty list allows none.
    pub data_centres: Arc<[DataCentreName]>,
    /// Declared run time, in milliseconds; zero if it runs until it is stopped.
    pub expected_run_ms: u64,
    /// Current attempt.
    pub attempt: AttemptNumber,
}
