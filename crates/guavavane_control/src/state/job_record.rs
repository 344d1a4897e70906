//! Defines the records of jobs and tasks and the phases of a task.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::state::command::EvictionCause;
use guavavane_model::document::BatchSpec;
use guavavane_model::document::ServiceSpec;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BatchName;
use guavavane_model::prelude::BootId;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::FenceNumber;
use guavavane_model::prelude::JobId;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::ServiceName;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::TeamName;
use guavavane_model::prelude::WorkerName;
use guavavane_protocol::poll::TaskAttempt;
use guavavane_protocol::poll::TaskProgram;

/// Service or batch run that declares a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobOrigin {
    /// A service of an environment.
    Service {
        /// Environment of the job.
        environment: EnvironmentName,
        /// Name of the service.
        service: ServiceName,
    },
    /// A run of a batch in an environment.
    Batch {
        /// Environment of the job.
        environment: EnvironmentName,
        /// Name of the batch.
        batch: BatchName,
        /// Idempotency key of the run: each key creates one job.
        key: Arc<str>,
    },
}

impl JobOrigin {
    /// Environment of the job.
    pub fn environment(&self) -> &EnvironmentName {
        match self {
            Self::Service { environment, .. } | Self::Batch { environment, .. } => environment,
        }
    }

    /// Name of the service or batch.
    pub fn workload(&self) -> &str {
        match self {
            Self::Service { service, .. } => service.as_str(),
            Self::Batch { batch, .. } => batch.as_str(),
        }
    }

    /// Whether the job is a service.
    pub fn is_service(&self) -> bool {
        matches!(self, Self::Service { .. })
    }
}

/// Resources and program of each task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Team whose quota the job uses.
    pub team: TeamName,
    /// Declared demand of a task.
    pub demand: ResourceVector,
    /// Data centres that the tasks may run in.
    pub data_centres: Arc<[DataCentreName]>,
    /// Program of a task.
    pub program: TaskProgram,
    /// Whether the tasks must start within seconds.
    pub urgent: bool,
    /// Failures after which a task is given up; `None` for services, which are never given up.
    pub max_failures: Option<u32>,
}

impl JobSpec {
    /// Returns the spec for the tasks of a service; each task runs one endpoint.
    pub fn of_service(environment: &EnvironmentName, spec: &ServiceSpec) -> Self {
        Self {
            team: spec.team.clone(),
            demand: spec.demand,
            data_centres: Arc::clone(&spec.data_centres),
            program: TaskProgram::Service {
                environment: environment.clone(),
                service: spec.name.clone(),
                slots: spec.slots,
                connections: spec.connections,
            },
            urgent: false,
            max_failures: None,
        }
    }

    /// Returns the spec for the tasks of a batch.
    pub fn of_batch(spec: &BatchSpec) -> Self {
        Self {
            team: spec.team.clone(),
            demand: spec.demand,
            data_centres: Arc::clone(&spec.data_centres),
            program: TaskProgram::Batch {
                run_ms: spec.run_ms,
            },
            urgent: spec.urgent,
            max_failures: Some(spec.max_failures),
        }
    }
}

/// A service, or one run of a batch, with its tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Service or batch run that declares the job.
    pub origin: JobOrigin,
    /// Spec of new attempts.
    pub spec: JobSpec,
    /// Number of changes of the spec.
    pub revision: u32,
    /// Tasks of the job that are kept; ended tasks of services are not.
    pub tasks: Vec<TaskId>,
    /// Whether the job is cancelled.
    pub cancelled: bool,
    /// Number of evictions after which a task of the job was requeued.
    pub evictions: u32,
    /// Number of tasks that have not ended.
    pub active_tasks: u32,
}

/// Commitment of an attempt to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCommitment {
    /// The worker.
    pub worker: WorkerName,
    /// Boot of the worker under which the attempt was placed.
    pub boot: BootId,
    /// Fencing token, larger than the token of any earlier placement.
    pub fence: FenceNumber,
    /// Committed capacity.
    pub demand: ResourceVector,
    /// Revision of the job's spec that the attempt runs.
    pub revision: u32,
    /// Program of the attempt.
    pub program: TaskProgram,
    /// Why the attempt is evicted, if its eviction was ordered.
    pub eviction: Option<EvictionCause>,
    /// Task that replaces this one and starts before this one is evicted.
    pub successor: Option<TaskId>,
}

/// Phase of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// The task waits for a worker.
    Pending,
    /// The task is committed to a worker and may run there.
    Committed(TaskCommitment),
    /// The task completed its work.
    Finished,
    /// The task was cancelled.
    Cancelled,
    /// The task failed too often.
    GivenUp,
}

/// A task of a job; it has at most one running attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Job of the task.
    pub job: JobId,
    /// Current attempt; rises each time the task becomes pending again.
    pub attempt: AttemptNumber,
    /// Number of failed attempts.
    pub failures: u32,
    /// Work saved in the last checkpoint, in milliseconds.
    pub progress_ms: u64,
    /// Resource that no worker has enough of, if the task cannot be placed.
    pub impossible: Option<String>,
    /// Current phase.
    pub phase: TaskPhase,
}

impl TaskRecord {
    /// Returns the commitment, if the task is committed.
    pub fn commitment(&self) -> Option<&TaskCommitment> {
        match &self.phase {
            TaskPhase::Committed(commitment) => Some(commitment),
            _ => None,
        }
    }

    /// Whether the task waits for a worker.
    pub fn is_pending(&self) -> bool {
        self.phase == TaskPhase::Pending
    }

    /// Whether the task is in a final phase.
    pub fn has_ended(&self) -> bool {
        !self.is_pending() && self.commitment().is_none()
    }
}

/// Returns the identity of the current attempt of a task.
pub fn task_attempt(task: TaskId, record: &TaskRecord) -> TaskAttempt {
    TaskAttempt {
        task,
        attempt: record.attempt,
    }
}
