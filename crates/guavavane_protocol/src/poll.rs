//! Polls of agents and entries, and what control answers.
//!
//! An agent polls the leader. The answer renews the leases it names, counted by the agent from
//! the moment it sent the poll and by the leader from the moment it answered. An order to start
//! carries a permit that the agent counts from that same moment. Orders are idempotent by task
//! and attempt and are repeated until a poll reports their effect.

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
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
}

/// What a worker does for a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskProgram {
    /// Runs an endpoint of a service.
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
    /// Runs a batch task to its end.
    Batch {
        /// Declared run time.
        run_ms: u64,
    },
}

/// State of an attempt on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptPhase {
    /// It runs.
    Running,
    /// A checkpoint was written; it still runs.
    Checkpointed,
    /// It was stopped and will not run again.
    Stopped,
    /// It ended by itself, its work done.
    Finished,
    /// It ended with an error.
    Failed,
    /// The worker refused to start it, or its permit or lease ran out before it started.
    NotStarted,
}

/// One attempt as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The attempt.
    pub attempt: TaskAttempt,
    /// Fencing number it was placed with.
    pub fence: FenceNumber,
    /// Its state.
    pub phase: AttemptPhase,
    /// Progress kept in the last checkpoint, in milliseconds of work.
    pub checkpoint_ms: u64,
}

/// Usage of one attempt over an interval that ended some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The attempt.
    pub attempt: TaskAttempt,
    /// How long before the poll the interval ended.
    pub age_ms: u32,
    /// Length of the interval.
    pub interval_ms: u32,
    /// Mean use over the interval.
    pub used: ResourceVector,
    /// Run time against run time alone, in thousandths; 1000 is undisturbed.
    pub slowdown_millis: u32,
}

/// A poll of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerPoll {
    /// The worker.
    pub worker: WorkerName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its rack.
    pub rack: RackName,
    /// Boot of the worker.
    pub boot: BootId,
    /// What the worker has.
    pub capacity: ResourceVector,
    /// Address at which the agent takes requests.
    pub address: SocketAddr,
    /// Run of the agent.
    pub incarnation: IncarnationId,
    /// Grows with each poll of an incarnation.
    pub sequence: u64,
    /// All attempts on the worker that control has not yet released.
    pub attempts: Vec<AttemptReport>,
    /// New usage samples.
    pub usage: Vec<UsageReport>,
    /// Entries known to the agent, as a digest; equal digests are not sent again.
    pub entries_digest: u64,
}

/// An order to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerOrder {
    /// Starts an attempt within the permit, under a lease.
    Start {
        /// The attempt.
        attempt: TaskAttempt,
        /// Fencing number, larger than that of any earlier placement.
        fence: FenceNumber,
        /// What to run.
        program: TaskProgram,
        /// What it is committed.
        demand: ResourceVector,
        /// Latest start, from the moment the poll was sent.
        permit_ms: u32,
        /// Work done before, from the last checkpoint.
        resume_ms: u64,
    },
    /// Slows an attempt to a share of its demand, in thousandths; 1000 lifts it.
    Throttle {
        /// The attempt.
        attempt: TaskAttempt,
        /// Share left to it.
        share_millis: u16,
    },
    /// Writes a checkpoint, then stops the attempt.
    Evict {
        /// The attempt.
        attempt: TaskAttempt,
    },
    /// Stops the attempt without a checkpoint.
    Stop {
        /// The attempt.
        attempt: TaskAttempt,
    },
    /// The attempt is released: forget it.
    Forget {
        /// The attempt.
        attempt: TaskAttempt,
    },
}

/// The entries that agents announce to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryDirectory {
    /// Digest of the addresses.
    pub digest: u64,
    /// Addresses at which entries take announcements.
    pub addresses: Vec<SocketAddr>,
}

/// The leader's answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerOrders {
    /// Length of the leases of `renewed`, from the moment the poll was sent.
    pub lease_ms: u32,
    /// Attempts whose leases are renewed.
    pub renewed: Vec<TaskAttempt>,
    /// What to do.
    pub orders: Vec<WorkerOrder>,
    /// The entries, if the agent's digest differs.
    pub entries: Option<EntryDirectory>,
    /// When to poll next.
    pub next_poll_ms: u32,
}

/// The answer to a [`WorkerPoll`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerPollReply {
    /// From a leader with a valid lease.
    Orders(WorkerOrders),
    /// Not served.
    Refused(ControlRefusal),
}

impl RemoteCall for WorkerPoll {
    type Reply = WorkerPollReply;

    const KIND: CallKind = CallKind::WorkerPoll;
}

/// Version of an accepted document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentStamp {
    /// The environment.
    pub environment: EnvironmentName,
    /// Its version.
    pub version: DocumentVersion,
}

/// An accepted document as it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentCopy {
    /// Environment and version.
    pub stamp: DocumentStamp,
    /// The text that was checked and accepted.
    pub text: Arc<str>,
}

/// Whether a data centre takes work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreStatus {
    /// The data centre.
    pub name: DataCentreName,
    /// Whether operators have taken it out.
    pub out: bool,
    /// Raised with each change.
    pub version: u64,
}

/// A poll of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPoll {
    /// Address at which the entry takes announcements.
    pub address: SocketAddr,
    /// Run of the entry.
    pub incarnation: IncarnationId,
    /// Documents that the entry has; newer ones are sent.
    pub documents: Vec<DocumentStamp>,
    /// Whether the entry is shutting down and wants no more announcements.
    pub leaving: bool,
}

/// What an entry routes by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryView {
    /// Documents newer than the entry's.
    pub documents: Vec<DocumentCopy>,
    /// All data centres that were ever taken out.
    pub data_centres: Vec<DataCentreStatus>,
    /// Addresses of the control replicas.
    pub replicas: Vec<SocketAddr>,
    /// When to poll next.
    pub next_poll_ms: u32,
}

/// The answer to an [`EntryPoll`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPollReply {
    /// From a leader with a valid lease.
    View(EntryView),
    /// Not served.
    Refused(ControlRefusal),
}

impl RemoteCall for EntryPoll {
    type Reply = EntryPollReply;

    const KIND: CallKind = CallKind::EntryPoll;
}
