//! Describes workers and tasks to the policy.

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
    /// Data centre of the worker.
    pub data_centre: DataCentreName,
    /// Rack of the worker, unique within the data centre.
    pub rack: RackName,
    /// Maximum sum of the reservations on the worker.
    pub capacity: ResourceVector,
}

/// Whether a task has a latency target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TaskClass {
    /// Replica of a service; spread over racks and data centres.
    LatencyCritical,
    /// Batch work; packed tightly and evicted with a checkpoint.
    Batch,
}

/// Order in which tasks are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TaskPriority {
    /// Placed before all normal tasks, by preemption if necessary; never preempted.
    Urgent,
    /// Placed in the order of fair shares.
    Normal,
}

/// Name of the workload of a task; interference is estimated between workloads.
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

/// One attempt at a task; decisions and reports name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
}

/// A task that waits for a worker or runs on one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Identity of the task; never used again in the cell.
    pub id: TaskId,
    /// Job of the task.
    pub job: JobId,
    /// Team against whose quota the task counts.
    pub team: TeamName,
    /// Workload of the task.
    pub kind: WorkloadKind,
    /// Whether the task has a latency target.
    pub class: TaskClass,
    /// Priority of the task.
    pub priority: TaskPriority,
    /// Whether two attempts of the task must never run at once, not even while the task moves.
    pub exclusive: bool,
    /// Declared size, the least that is reserved.
    pub demand: ResourceVector,
    /// Data centres that the task may run in; an empty list allows none.
    pub data_centres: Arc<[DataCentreName]>,
    /// Declared run time, in milliseconds; zero for a task that runs until it is stopped.
    pub expected_run_ms: u64,
    /// Current attempt.
    pub attempt: AttemptNumber,
}
