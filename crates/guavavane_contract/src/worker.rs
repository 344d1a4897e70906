//! Orders to a worker and what it reports.

use serde::Deserialize;
use serde::Serialize;

use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootId;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::FenceNumber;
use guavavane_model::prelude::RackName;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::ServiceName;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;

/// What a worker says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerFacts {
    /// Its name.
    pub worker: WorkerName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its rack.
    pub rack: RackName,
    /// Its boot; another one means that nothing of the last boot runs.
    pub boot: BootId,
    /// What it has.
    pub capacity: ResourceVector,
}

/// One attempt at a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptKey {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
}

/// What to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartProgram {
    /// An endpoint of a service.
    Service {
        /// Environment of the service.
        environment: EnvironmentName,
        /// The service.
        service: ServiceName,
        /// Requests that the endpoint runs at once.
        slots: u16,
        /// Connections that the endpoint takes.
        connections: u16,
    },
    /// A batch task.
    Batch {
        /// Declared run time.
        run_ms: u64,
    },
}

/// Starts an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Boot whose clock the times below count on; refused if it is another one.
    pub boot: BootId,
    /// The attempt.
    pub key: AttemptKey,
    /// Refused if below the highest number seen for the task.
    pub fence: FenceNumber,
    /// What to run.
    pub program: StartProgram,
    /// What it is committed.
    pub demand: ResourceVector,
    /// Work done before, from the last checkpoint.
    pub resume_ms: u64,
    /// Refused if it arrives on the worker's clock later than this, in ms since its boot.
    pub start_by_ms: u64,
    /// End of the lease on the worker's clock, in ms since its boot.
    pub lease_until_ms: u64,
}

/// Moves the end of a lease that has not run out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewOrder {
    /// Boot whose clock the time below counts on; refused if it is another one.
    pub boot: BootId,
    /// The attempts to renew.
    pub keys: Vec<AttemptKey>,
    /// End of their leases on the worker's clock, in ms since its boot; never moved back.
    pub lease_until_ms: u64,
}

/// Slows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ThrottleOrder {
    /// The attempt.
    pub key: AttemptKey,
    /// Share of its demand left to it, in thousandths; 1000 lifts the throttle.
    pub share_millis: u16,
}

/// The worker's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAnswer {
    /// Done, or done before.
    Done,
    /// A checkpoint was written.
    Checkpointed {
        /// Work kept in it, in ms.
        progress_ms: u64,
    },
    /// Not done and never will be.
    Refused {
        /// Why.
        reason: String,
    },
}

/// State of an attempt on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptState {
    /// It runs.
    Running,
    /// It was stopped.
    Stopped,
    /// Its lease ran out and the worker stopped it.
    Expired,
    /// It ended by itself, its work done.
    Finished,
    /// It ended with an error.
    Failed,
}

/// Use of resources over an interval that ended some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSample {
    /// End of the interval on the worker's clock, in ms since its boot.
    pub until_ms: u64,
    /// Length of the interval.
    pub interval_ms: u32,
    /// Mean use.
    pub used: ResourceVector,
    /// Run time against run time alone, in thousandths.
    pub slowdown_millis: u32,
}

/// One attempt as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStatus {
    /// The attempt.
    pub key: AttemptKey,
    /// Its fencing number.
    pub fence: FenceNumber,
    /// Its state.
    pub state: AttemptState,
    /// What it is committed.
    pub demand: ResourceVector,
    /// Work kept in its last checkpoint, in ms.
    pub checkpoint_ms: u64,
    /// Its last usage sample, if one is ready.
    pub usage: Option<UsageSample>,
}

/// All attempts that the worker remembers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptList {
    /// Boot of the worker.
    pub boot: BootId,
    /// The worker's clock, in ms since its boot.
    pub now_ms: u64,
    /// The attempts.
    pub attempts: Vec<AttemptStatus>,
}
