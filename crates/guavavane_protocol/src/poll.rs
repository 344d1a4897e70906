//! Defines the polls by which agents and entries report to the control leader, and its replies.
//!
//! The reply to an agent's poll renews the leases of the attempts that it lists. The agent counts
//! a renewed lease from the sending of the poll and the leader from the sending of the reply, so
//! that the lease expires at the agent first, without synchronised clocks. An order to start
//! carries a permit, the time within which the start must happen; the agent counts it, too, from
//! the sending of the poll.
//!
//! Orders are idempotent per task and attempt. The leader repeats an order until a poll reports
//! its effect.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::call::CallKind;
use crate::call::RemoteCall;
use crate::replica::ControlRefusal;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootId;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::DocumentVersion;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::FenceNumber;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::RackName;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::ServiceName;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;

/// One attempt at a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// Task that is attempted.
    pub task: TaskId,
    /// Number of the attempt within the task.
    pub attempt: AttemptNumber,
}

/// Program that a worker runs for a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskProgram {
    /// Runs an endpoint of a service until it is stopped.
    Service {
        /// Environment of the service.
        environment: EnvironmentName,
        /// Service of the endpoint.
        service: ServiceName,
        /// Maximum number of requests that the endpoint runs concurrently.
        slots: u16,
        /// Maximum number of connections that the endpoint accepts.
        connections: u16,
    },
    /// Runs a batch task to completion.
    Batch {
        /// Declared run time, in milliseconds.
        run_ms: u64,
    },
}

/// State of an attempt on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptPhase {
    /// The attempt runs.
    Running,
    /// The attempt has written a checkpoint and still runs.
    Checkpointed,
    /// The attempt was stopped and does not run again.
    Stopped,
    /// The attempt completed its work.
    Finished,
    /// The attempt ended with an error.
    Failed,
    /// The agent or the worker refused the start, or the permit or the lease expired before it.
    NotStarted,
}

/// State of one attempt as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// Attempt that is reported.
    pub attempt: TaskAttempt,
    /// Fencing token of the placement that the worker runs.
    pub fence: FenceNumber,
    /// State of the attempt on the worker.
    pub phase: AttemptPhase,
    /// Work that the last checkpoint saves, in milliseconds of run time.
    pub checkpoint_ms: u64,
}

/// Resource usage and slowdown of one attempt over a past interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Attempt whose usage is reported.
    pub attempt: TaskAttempt,
    /// Time from the end of the interval to the sending of the poll, in milliseconds.
    pub age_ms: u32,
    /// Length of the interval, in milliseconds.
    pub interval_ms: u32,
    /// Mean usage over the interval.
    pub used: ResourceVector,
    /// Slowdown: run time relative to that without interference, in thousandths; 1000 means none.
    pub slowdown_millis: u32,
}

/// Poll of an agent: describes its worker and all attempts there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerPoll {
    /// Worker of the agent.
    pub worker: WorkerName,
    /// Data centre of the worker.
    pub data_centre: DataCentreName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Current boot of the worker; another boot means that all earlier attempts ended.
    pub boot: BootId,
    /// Resources of the worker.
    pub capacity: ResourceVector,
    /// Address on which the agent accepts requests.
    pub address: SocketAddr,
    /// Incarnation of the agent.
    pub incarnation: IncarnationId,
    /// Sequence number of the poll, increasing within an incarnation.
    pub sequence: u64,
    /// All attempts on the worker that the leader has not yet told the agent to forget.
    pub attempts: Vec<AttemptReport>,
    /// Usage samples that no answered poll has reported yet.
    pub usage: Vec<UsageReport>,
    /// Digest of the entry directory that the agent has; the leader sends only a different one.
    pub entries_digest: u64,
}

/// Order of the leader to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerOrder {
    /// Starts an attempt, which then runs under a lease.
    Start {
        /// Attempt to start.
        attempt: TaskAttempt,
        /// Fencing token, larger than that of any earlier placement in the cell.
        fence: FenceNumber,
        /// Program to run.
        program: TaskProgram,
        /// Resources committed to the attempt.
        demand: ResourceVector,
        /// Time within which the attempt may start, from the sending of the poll, in milliseconds.
        permit_ms: u32,
        /// Work that the last checkpoint saves, in milliseconds of run time; zero without one.
        resume_ms: u64,
    },
    /// Limits the CPU share of an attempt.
    Throttle {
        /// Attempt to throttle.
        attempt: TaskAttempt,
        /// CPU share, in thousandths of the demand; 1000 ends the throttling.
        share_millis: u16,
    },
    /// Has the attempt write a checkpoint, then stops it.
    Evict {
        /// Attempt to evict.
        attempt: TaskAttempt,
    },
    /// Stops the attempt without a checkpoint.
    Stop {
        /// Attempt to stop.
        attempt: TaskAttempt,
    },
    /// Removes an ended attempt from the records of the agent.
    Forget {
        /// Attempt to forget.
        attempt: TaskAttempt,
    },
}

/// Entries to which agents announce their endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryDirectory {
    /// Digest of the addresses.
    pub digest: u64,
    /// Addresses on which the entries accept announcements.
    pub addresses: Vec<SocketAddr>,
}

/// The leader's lease renewals and orders for an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerOrders {
    /// Length of the renewed leases, from the sending of the poll, in milliseconds.
    pub lease_ms: u32,
    /// Attempts whose leases are renewed.
    pub renewed: Vec<TaskAttempt>,
    /// Orders to carry out, including those repeated from earlier replies.
    pub orders: Vec<WorkerOrder>,
    /// Entry directory, if its digest differs from that of the poll.
    pub entries: Option<EntryDirectory>,
    /// Interval until the next poll, in milliseconds.
    pub next_poll_ms: u32,
}

/// Reply to a [`WorkerPoll`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerPollReply {
    /// The replica holds the leader lease and served the poll.
    Orders(WorkerOrders),
    /// The poll was not served.
    Refused(ControlRefusal),
}

impl RemoteCall for WorkerPoll {
    type Reply = WorkerPollReply;

    const KIND: CallKind = CallKind::WorkerPoll;
}

/// An environment and the version of its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnvironmentVersion {
    /// Environment of the document.
    pub environment: EnvironmentName,
    /// Version of the document.
    pub version: DocumentVersion,
}

/// Copy of an accepted document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedDocument {
    /// Environment and version of the document.
    pub environment_version: EnvironmentVersion,
    /// TOML text, byte for byte as it was accepted.
    pub text: Arc<str>,
}

/// Whether operators have taken a data centre out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreStatus {
    /// Name of the data centre.
    pub name: DataCentreName,
    /// Whether the data centre is out of service.
    pub out: bool,
    /// Version of this state; each change increments it.
    pub version: u64,
}

/// Poll of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPoll {
    /// Address on which the entry accepts announcements.
    pub address: SocketAddr,
    /// Incarnation of the entry.
    pub incarnation: IncarnationId,
    /// Versions of the documents that the entry has; the leader sends only newer ones.
    pub documents: Vec<EnvironmentVersion>,
    /// Whether the entry is shutting down and leaves the entry directory.
    pub shutting_down: bool,
}

/// Replicated state by which an entry routes requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingUpdate {
    /// Documents that are newer than those of the entry.
    pub documents: Vec<VersionedDocument>,
    /// State of every data centre that was ever taken out of service.
    pub data_centres: Vec<DataCentreStatus>,
    /// Addresses of the control replicas.
    pub replicas: Vec<SocketAddr>,
    /// Interval until the next poll, in milliseconds.
    pub next_poll_ms: u32,
}

/// Reply to an [`EntryPoll`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPollReply {
    /// The replica holds the leader lease and served the poll.
    View(RoutingUpdate),
    /// The poll was not served.
    Refused(ControlRefusal),
}

impl RemoteCall for EntryPoll {
    type Reply = EntryPollReply;

    const KIND: CallKind = CallKind::EntryPoll;
}
