//! Messages between the processes of a cell.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use guavavane_jobs::plan::press::FillingLoad;
use guavavane_jobs::plan::press::KnownPair;
use guavavane_jobs::plan::press::StrainSample;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RunEnd;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerFacts;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootTime;
use guavavane_quorum::prelude::PeerMessage;
use guavavane_quorum::prelude::ReplicaId;

/// What a caller asks of a job or a queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerAction {
    /// Hand in a job.
    Submit(Box<RawJob>),
    /// Ask for the state of a job, or the number of a queue's pending jobs.
    Query,
    /// Cancel a job.
    Cancel,
}

/// A request of a caller, as an entry passes it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// Host that the caller named.
    pub host: String,
    /// Path that the caller named.
    pub path: String,
    /// What it asks for.
    pub action: CallerAction,
}

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// Cancelled by the caller.
    Cancelled,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerReply {
    /// The job is accepted and stored.
    Accepted,
    /// The job is not accepted and never runs; come back after this time.
    Refused {
        /// Time until another try makes sense.
        retry_after_ms: u64,
    },
    /// The request is malformed; nothing was accepted.
    Invalid(String),
    /// The configuration has no such queue.
    NoQueue,
    /// State of the job.
    State(JobState),
    /// Number of the queue's pending jobs.
    Pending(u64),
    /// No such job exists.
    NoJob,
    /// The job is cancelled or has ended.
    Cancelled,
    /// Nobody can answer now; nothing was accepted.
    Unavailable,
    /// The outcome is unknown: the job may have been accepted.
    Unknown,
}

impl CallerReply {
    /// Short name, for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused { .. } => "refused",
            Self::Invalid(_) => "invalid",
            Self::NoQueue => "no_queue",
            Self::State(_) => "state",
            Self::Pending(_) => "pending",
            Self::NoJob => "no_job",
            Self::Cancelled => "cancelled",
            Self::Unavailable => "unavailable",
            Self::Unknown => "unknown",
        }
    }
}

/// What a worker's agent reports when it starts to speak for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The incarnation.
    pub key: WorkerKey,
    /// What it says of itself.
    pub facts: WorkerFacts,
    /// Whether it takes no new work.
    pub draining: bool,
    /// How often its lease has run out; starts name it.
    pub epoch: u64,
    /// Runs that are on it.
    pub running: Vec<(TaskKey, RunNumber)>,
    /// Ends that are not noted.
    pub ends: Vec<RunEnd>,
    /// What earlier leaders have told of its images.
    pub pairs: Vec<KnownPair>,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// What the task is given.
    pub payload: Arc<str>,
    /// Progress to resume from; empty if there is none.
    pub saved: Arc<str>,
    /// Tail latency that it must stay below, if it serves.
    pub latency_target_ms: Option<u64>,
    /// Whether it uses only processor time that others leave.
    pub filling: bool,
    /// Name of what it runs.
    pub image: Arc<str>,
    /// Processor that it could use, in thousandths of a core.
    pub cpu_millis: u64,
    /// Those with less go first where not all can work.
    pub urgency: u64,
    /// Epoch of the worker that the order was made for.
    pub epoch: u64,
    /// Proof that another service allows this worker; empty if none has to.
    pub ticket: Arc<str>,
}

/// To a control process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToControl {
    /// From another replica.
    Peer(Box<PeerMessage>),
    /// Asks to become a member.
    Join {
        /// The replica.
        replica: ReplicaId,
        /// Where its messages go.
        address: SocketAddr,
    },
    /// An entry opens its session.
    EntryHello {
        /// VM of the entry.
        node: Arc<str>,
    },
    /// An entry passes on a caller's request.
    Call {
        /// Names the request in the reply.
        ticket: u64,
        /// The request.
        request: CallerRequest,
    },
    /// Keeps a session alive.
    Ping {
        /// On the sender's clock; returned unchanged.
        sent_at: BootTime,
    },
    /// An agent opens its session.
    AgentHello {
        /// VM of the agent.
        node: Arc<str>,
    },
    /// An agent speaks for a worker; it replaces what was said before.
    Worker(Box<WorkerReport>),
    /// Ends of runs on the session's worker.
    Ends {
        /// The incarnation.
        key: WorkerKey,
        /// The ends.
        ends: Vec<RunEnd>,
    },
    /// A run that was never started and can't be any more.
    Withdrawn {
        /// The incarnation.
        key: WorkerKey,
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
    },
    /// Progress that tasks have saved.
    Saved {
        /// The tasks with their progress.
        saved: Vec<(TaskKey, Arc<str>)>,
    },
    /// Strain of serving tasks beside filling ones.
    Pressed {
        /// The incarnation.
        key: WorkerKey,
        /// Serving tasks.
        samples: Vec<StrainSample>,
        /// Shares of the worker's processor that filling tasks beside them used.
        load: FillingLoad,
    },
    /// Whether a worker answers its agent.
    Silence {
        /// The incarnation.
        key: WorkerKey,
        /// Whether it left the latest call unanswered.
        silent: bool,
    },
    /// Filling tasks that stand still beside serving ones.
    Stalled {
        /// The incarnation.
        key: WorkerKey,
        /// The runs.
        runs: Vec<(TaskKey, RunNumber)>,
    },
    /// An incarnation surely runs nothing any more.
    WorkerLost {
        /// The incarnation.
        key: WorkerKey,
        /// Whether it never comes back.
        ended: bool,
    },
}

/// From a control process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FromControl {
    /// This process does not lead.
    Redirect {
        /// The leader, as far as it is known.
        leader: Option<SocketAddr>,
        /// All control processes that are known.
        members: Vec<SocketAddr>,
    },
    /// Answer to a ping: the session is with the leader.
    Pong {
        /// As it was sent.
        sent_at: BootTime,
        /// Term of the leader.
        term: u64,
        /// All control processes.
        members: Vec<SocketAddr>,
    },
    /// Answer to a caller's request.
    Reply {
        /// Names the request.
        ticket: u64,
        /// The answer.
        reply: CallerReply,
    },
    /// Start a run on the session's worker.
    Start {
        /// The incarnation.
        key: WorkerKey,
        /// The order.
        order: Box<StartTask>,
    },
    /// Stop a run on the session's worker.
    Stop {
        /// The incarnation.
        key: WorkerKey,
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
    },
    /// What is known of the images on the session's worker.
    Pairs {
        /// The incarnation.
        key: WorkerKey,
        /// Serving and filling images.
        pairs: Vec<KnownPair>,
    },
    /// Ends up to this number are durable.
    Noted {
        /// The incarnation.
        key: WorkerKey,
        /// Highest noted end.
        last_end: u64,
    },
}
