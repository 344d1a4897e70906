//! Jobs, their tasks and the phases of a task.

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

/// Where a job comes from.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobOrigin {
    /// A service of an environment.
    Service {
        /// The environment.
        environment: EnvironmentName,
        /// The service.
        service: ServiceName,
    },
    /// A run of a batch of an environment.
    Batch {
        /// The environment.
        environment: EnvironmentName,
        /// The batch.
        batch: BatchName,
        /// Key of the run; the same key makes one job.
        key: Arc<str>,
    },
}

impl JobOrigin {
    /// The environment.
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

/// What each task of a job needs and runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Team that it is charged to.
    pub team: TeamName,
    /// What a task is committed.
    pub demand: ResourceVector,
    /// Data centres that it may use.
    pub data_centres: Arc<[DataCentreName]>,
    /// What a task runs.
    pub program: TaskProgram,
    /// Whether it must start within seconds.
    pub urgent: bool,
    /// Failures after which a task is given up; services are never given up.
    pub max_failures: Option<u32>,
}

impl JobSpec {
    /// What the endpoints of a service need.
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

    /// What the tasks of a batch need.
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

/// A job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Where it comes from.
    pub origin: JobOrigin,
    /// What its tasks need.
    pub spec: JobSpec,
    /// Raised with each change of the spec.
    pub revision: u32,
    /// Its tasks that are kept.
    pub tasks: Vec<TaskId>,
    /// Whether it is cancelled.
    pub cancelled: bool,
    /// Evictions of its tasks.
    pub evictions: u32,
    /// Tasks that have not ended.
    pub open: u32,
}

/// What an attempt holds while it is committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCommitment {
    /// The worker.
    pub worker: WorkerName,
    /// Its boot.
    pub boot: BootId,
    /// Larger than that of any earlier placement.
    pub fence: FenceNumber,
    /// What is committed.
    pub demand: ResourceVector,
    /// Revision of the job's spec that the attempt runs.
    pub revision: u32,
    /// What the attempt runs.
    pub program: TaskProgram,
    /// Why it is evicted, once it is.
    pub evicting: Option<EvictionCause>,
    /// Task that runs before this one is evicted.
    pub successor: Option<TaskId>,
}

/// Phase of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// It waits for a worker.
    Pending,
    /// It is committed to a worker and may run there.
    Committed(TaskCommitment),
    /// Its work is done.
    Finished,
    /// It was cancelled.
    Cancelled,
    /// It failed too often.
    GivenUp,
}

/// A task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Its job.
    pub job: JobId,
    /// Its current attempt.
    pub attempt: AttemptNumber,
    /// Failures so far.
    pub failures: u32,
    /// Work kept in its last checkpoint, in milliseconds.
    pub progress_ms: u64,
    /// What it lacks, if it can never run.
    pub impossible: Option<String>,
    /// Its phase.
    pub phase: TaskPhase,
}

impl TaskRecord {
    /// What the task holds, if it is committed.
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

    /// Whether the task neither waits nor is committed.
    pub fn has_ended(&self) -> bool {
        !self.is_pending() && self.commitment().is_none()
    }
}

/// An attempt as an identity.
pub fn task_attempt(task: TaskId, record: &TaskRecord) -> TaskAttempt {
    TaskAttempt {
        task,
        attempt: record.attempt,
    }
}
