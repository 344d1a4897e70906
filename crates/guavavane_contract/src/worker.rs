//! Orders to the platform's worker, and the worker's answers and listings.
//!
//! Times on the worker's clock are in ms since its boot, and mean nothing in another boot.

use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

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

/// Name, location, boot and capacity of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerFacts {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Data centre of the worker.
    pub data_centre: DataCentreName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Current boot; a new one means that all attempts of the previous boot have ended.
    pub boot: BootId,
    /// Total resources of the worker.
    pub capacity: ResourceVector,
}

/// Identifies an attempt at a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptKey {
    /// Task that is attempted.
    pub task: TaskId,
    /// Number of the attempt among those of the task.
    pub attempt: AttemptNumber,
}

/// Program that an attempt runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartProgram {
    /// An endpoint of a service.
    Service {
        /// Environment of the service.
        environment: EnvironmentName,
        /// Name of the service.
        service: ServiceName,
        /// Maximum number of requests that the endpoint runs at the same time.
        slots: u16,
        /// Maximum number of connections that the endpoint accepts.
        connections: u16,
    },
    /// A batch task.
    Batch {
        /// Declared run time, in ms.
        run_ms: u64,
    },
}

/// Order to start an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Boot from which the times below count; the order is refused in any other boot.
    pub boot: BootId,
    /// Attempt to start.
    pub key: AttemptKey,
    /// Fencing token; the order is refused if the worker has seen a higher one for the task.
    pub fence: FenceNumber,
    /// Program to run.
    pub program: StartProgram,
    /// Resources reserved for the attempt.
    pub demand: ResourceVector,
    /// Work saved in the checkpoint that the attempt resumes from, in ms.
    pub resume_ms: u64,
    /// The order is refused if it arrives after this time on the worker's clock, in ms since boot.
    pub start_by_ms: u64,
    /// Lease expiry on the worker's clock, in ms since boot.
    pub lease_until_ms: u64,
}

/// Order to extend leases that have not expired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewOrder {
    /// Boot from which the time below counts; the order is refused in any other boot.
    pub boot: BootId,
    /// Attempts whose leases to extend.
    pub keys: Vec<AttemptKey>,
    /// New lease expiry on the worker's clock, in ms since boot; never shortens a lease.
    pub lease_until_ms: u64,
}

/// Order to set the CPU share of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ThrottleOrder {
    /// Attempt to throttle.
    pub key: AttemptKey,
    /// CPU share as a part of the attempt's demand, in thousandths; 1000 ends the throttling.
    pub share_millis: u16,
}

/// Answer of the worker to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAnswer {
    /// The order was carried out, now or before.
    Done,
    /// A checkpoint was written.
    Checkpointed {
        /// Work saved in the checkpoint, in ms.
        progress_ms: u64,
    },
    /// The order was not carried out and never will be.
    Refused {
        /// Reason for the refusal, for logs.
        reason: String,
    },
}

/// State of an attempt on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptState {
    /// The attempt runs.
    Running,
    /// The attempt was stopped by an order.
    Stopped,
    /// The worker stopped the attempt because its lease expired.
    Expired,
    /// The attempt completed its work.
    Finished,
    /// The attempt failed.
    Failed,
}

/// Resource usage of an attempt over an interval in the past.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSample {
    /// End of the interval on the worker's clock, in ms since boot.
    pub until_ms: u64,
    /// Length of the interval, in ms.
    pub interval_ms: u32,
    /// Mean usage over the interval.
    pub used: ResourceVector,
    /// Slowdown by interference, in thousandths: run time divided by the run time without others on
    /// the worker.
    pub slowdown_millis: u32,
}

/// Status of an attempt in a listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStatus {
    /// Attempt that the status is about.
    pub key: AttemptKey,
    /// Fencing token with which the attempt was started.
    pub fence: FenceNumber,
    /// State of the attempt.
    pub state: AttemptState,
    /// Resources reserved for the attempt.
    pub demand: ResourceVector,
    /// Work saved in the last checkpoint, in ms.
    pub checkpoint_ms: u64,
    /// Last usage sample of the attempt, if one is available.
    pub usage: Option<UsageSample>,
}

/// Listing of all attempts that the worker remembers, ended ones included.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RawAttemptList")]
pub struct AttemptList {
    /// Boot of the worker at the time of the listing.
    pub boot: BootId,
    /// Time of the listing on the worker's clock, in ms since boot.
    pub now_ms: u64,
    /// Status of each attempt; without those that could not be read.
    pub attempts: Vec<AttemptStatus>,
    /// Whether the status of an attempt could not be read, so that a missing attempt may be on the
    /// worker.
    #[serde(skip)]
    pub omits_attempts: bool,
}

/// Listing whose attempts have not been read.
#[derive(Deserialize)]
struct RawAttemptList {
    boot: BootId,
    now_ms: u64,
    attempts: Vec<Box<RawValue>>,
}

impl From<RawAttemptList> for AttemptList {
    fn from(raw: RawAttemptList) -> Self {
        let attempts = raw.attempts.iter();
        let attempts = attempts.filter_map(|status| serde_json::from_str(status.get()).ok());
        let attempts: Vec<AttemptStatus> = attempts.collect();
        Self {
            boot: raw.boot,
            now_ms: raw.now_ms,
            omits_attempts: attempts.len() < raw.attempts.len(),
            attempts,
        }
    }
}
