//! Messages between the processes of a cell.
//!
//! Messages are encoded with bincode: the order of variants and fields is part of the format.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use guavavane_jobs::plan::interference::BestEffortLoad;
use guavavane_jobs::plan::interference::PairEstimate;
use guavavane_jobs::plan::interference::UtilisationSample;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerFacts;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootTime;
use guavavane_quorum::prelude::PeerMessage;
use guavavane_quorum::prelude::ReplicaId;

/// Action that a caller requests on a job or a queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerAction {
    /// Submits a job, which a waiting call and the message with it share.
    Submit(Arc<RawJob>),
    /// Reads the state of a job, or the number of pending jobs of a queue.
    Query,
    /// Cancels a job.
    Cancel,
}

/// Request of a caller, as an entry forwards it to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// Host of the caller's request; selects the queue together with `path`.
    pub host: String,
    /// Path of the caller's request: the prefix of a queue, then the identity of a job if any.
    pub path: String,
    /// Action on the job or queue that the path names.
    pub action: CallerAction,
}

impl CallerRequest {
    /// Query with which an entry asks for the limits on callers' requests. Entries don't forward such a
    /// request of a caller, except those of b041a08.
    pub fn for_limits() -> Self {
        Self {
            host: String::new(),
            path: String::new(),
            action: CallerAction::Query,
        }
    }

    /// Memory of the request in bytes.
    pub fn memory_bytes(&self) -> usize {
        let job_bytes = match &self.action {
            CallerAction::Submit(job) => job.memory_bytes(),
            CallerAction::Query | CallerAction::Cancel => 0,
        };
        size_of::<Self>() + self.host.len() + self.path.len() + job_bytes
    }

    /// Whether the request names neither a host nor a path, as [`Self::for_limits`] does.
    pub fn is_for_limits(&self) -> bool {
        self.host.is_empty() && self.path.is_empty()
    }
}

/// Limits on callers' requests that the configuration sets, within the bounds of the adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Maximum time from the first byte of a request head to its last, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum time between two requests on an open connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No start of a task was committed yet.
    Queued,
    /// The start of at least one task was committed, now or earlier.
    Running,
    /// All tasks have completed.
    Completed,
    /// A task has failed as many times as its queue allows.
    Failed,
    /// A caller has cancelled the job.
    Cancelled,
}

/// Reply to a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerReply {
    /// The job is committed, now or by an earlier request with the same identity.
    Accepted,
    /// The job was not accepted and will not run; the caller may retry later.
    Refused {
        /// Delay before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request is malformed, for the given reason; nothing was accepted.
    Invalid(String),
    /// No queue of the configuration matches the host and path.
    NoQueue,
    /// State of the queried job.
    State(JobState),
    /// Number of pending jobs of the queried queue.
    Pending(u64),
    /// No job has this identity.
    NoJob,
    /// The job was cancelled or had already ended.
    Cancelled,
    /// No leader could answer; nothing was accepted.
    Unavailable,
    /// The outcome is unknown: the job may have been accepted.
    Unknown,
    /// Limits on callers' requests. Only a session that has sent [`CallerRequest::for_limits`] gets this
    /// reply, for the first time when it asks and again after each change.
    Limits(RequestLimits),
}

impl CallerReply {
    /// Name of the variant, used as a metric label.
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
            Self::Limits(_) => "limits",
        }
    }
}

/// Full state of a worker, which its agent reports at the start of a session, and again after a
/// change of `draining`, an unanswered order or a lease expiry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Incarnation of the worker.
    pub key: WorkerKey,
    /// Pool, data centre, capacity and labels that the worker advertises.
    pub facts: WorkerFacts,
    /// Whether the worker accepts no new runs.
    pub draining: bool,
    /// Number of lease expiries that the agent's process has seen; a start order is valid in one
    /// epoch only.
    pub epoch: u64,
    /// Runs that the worker holds or that an unfinished order concerns.
    pub running: Vec<(TaskKey, RunNumber)>,
    /// Completions that the leader has not acknowledged.
    pub completions: Vec<RunCompletion>,
    /// Interference estimates that the agent has received from this and earlier leaders.
    pub estimates: Vec<PairEstimate>,
    /// Runs of earlier incarnations that this one holds no more and refuses from now on.
    pub refused_runs: Vec<(TaskKey, RunNumber)>,
}

/// Order of the leader to start a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// Task to run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Input of the task.
    pub payload: Arc<str>,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Tail latency target in milliseconds; only latency-critical tasks have one.
    pub latency_target_ms: Option<u64>,
    /// Whether the task uses only processor time that others leave.
    pub best_effort: bool,
    /// Image that the task runs.
    pub image: Arc<str>,
    /// CPU demand in thousandths of a core.
    pub cpu_millis: u64,
    /// Rank among tasks that compete for CPU time, as of this order; the lowest goes first.
    pub rank: u64,
    /// Epoch of the worker for which the leader made the order.
    pub epoch: u64,
    /// Ticket of the advice service for this worker; empty if none is required.
    pub ticket: Arc<str>,
}

/// Messages to a control process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToControl {
    /// Raft message from another replica.
    Peer(Box<PeerMessage>),
    /// Requests membership of the group.
    Join {
        /// Replica that wants to join.
        replica: ReplicaId,
        /// Address at which the replica receives messages.
        address: SocketAddr,
    },
    /// Opens the session of an entry.
    EntryHello {
        /// Name of the entry's VM.
        node: Arc<str>,
    },
    /// Forwards a caller's request.
    Call {
        /// Number of the request, which its reply repeats.
        call_id: u64,
        /// Request to handle.
        request: CallerRequest,
    },
    /// Checks that the session is alive; renews the lease of an agent.
    Ping {
        /// Time of sending on the sender's clock, which the answer repeats.
        sent_at: BootTime,
    },
    /// Opens the session of an agent.
    AgentHello {
        /// Name of the agent's VM.
        node: Arc<str>,
    },
    /// Reports the state of the agent's worker and replaces all earlier reports.
    WorkerReport(Box<WorkerReport>),
    /// Reports completions on the session's worker.
    Completions {
        /// Incarnation of the worker.
        key: WorkerKey,
        /// New completions, in the order of their numbers.
        completions: Vec<RunCompletion>,
    },
    /// Reports a run that never started and no longer can.
    Withdrawn {
        /// Incarnation of the worker.
        key: WorkerKey,
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
    },
    /// Reports new checkpoints.
    Checkpoints {
        /// Tasks with their latest checkpoints.
        checkpoints: Vec<(TaskKey, Arc<str>)>,
    },
    /// Reports the utilisation of latency-critical tasks and the best-effort load beside them, if
    /// any.
    Utilisation {
        /// Incarnation of the worker.
        key: WorkerKey,
        /// Utilisation of each latency-critical task.
        samples: Vec<UtilisationSample>,
        /// Fraction of the processor that best-effort tasks used meanwhile, by image.
        load: BestEffortLoad,
    },
    /// Reports whether the worker answers its agent.
    Silence {
        /// Incarnation of the worker.
        key: WorkerKey,
        /// Whether the worker left the latest lease renewal unanswered.
        silent: bool,
    },
    /// Reports stalled best-effort runs: their CPU share is so small that the leader stops those
    /// that would fit on another worker.
    Stalled {
        /// Incarnation of the worker.
        key: WorkerKey,
        /// Stalled runs.
        runs: Vec<(TaskKey, RunNumber)>,
    },
    /// Reports that an incarnation has ended for good.
    WorkerEnded {
        /// Incarnation of the worker.
        key: WorkerKey,
    },
    /// Reports that no worker on the agent's VM holds a lease, so that all runs there have stopped.
    /// Each session says so until the agent grants its worker a lease.
    LeaseExpired,
    /// Asks whether the losses that the agent has reported are committed, before its process ends.
    ConfirmLosses {
        /// Number of the question, which the answer repeats.
        number: u64,
    },
    /// Gives the lease of an agent back whose process ends: no grant extends it any more.
    ReleaseLease {
        /// Time from the sending after which all runs on the agent's VM have certainly stopped.
        remaining: Duration,
    },
    /// Reports that the worker has refused a start or left it unanswered, for no reason that concerns
    /// the run only.
    StartRejected {
        /// Incarnation of the worker.
        key: WorkerKey,
    },
}

/// Messages from a control process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FromControl {
    /// This process is not the leader.
    Redirect {
        /// Address of the leader, if it is known.
        leader: Option<SocketAddr>,
        /// Addresses of all members of the group.
        members: Vec<SocketAddr>,
    },
    /// Answers a ping; the leader sends it in a session, any replica before one.
    Pong {
        /// Time of sending that the ping carried.
        sent_at: BootTime,
        /// Term of the leader, the fencing token of orders to workers. Outside a session, the format
        /// of the log that the replica reads: 0 up to commit b041a08, 1 with copies of runs.
        term: u64,
        /// Addresses of all members of the group.
        members: Vec<SocketAddr>,
    },
    /// Replies to a caller's request.
    Reply {
        /// Number of the request.
        call_id: u64,
        /// Reply to pass to the caller.
        reply: CallerReply,
    },
    /// Orders the start of a run on the session's worker.
    Start {
        /// Incarnation of the worker.
        key: WorkerKey,
        /// Run to start.
        order: Box<StartTask>,
    },
    /// Orders the stop of a run on the session's worker.
    Stop {
        /// Incarnation of the worker.
        key: WorkerKey,
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
    },
    /// Sends learned interference estimates for the images on the session's worker.
    InterferenceEstimates {
        /// Incarnation of the worker.
        key: WorkerKey,
        /// Estimate for each pair of a latency-critical and a best-effort image.
        estimates: Vec<PairEstimate>,
    },
    /// Acknowledges that the completions up to a number are committed.
    CompletionsCommitted {
        /// Incarnation of the worker.
        key: WorkerKey,
        /// Highest committed completion.
        last_completion: u64,
    },
    /// Asks that the session's worker refuse runs of its earlier incarnations, and that its agent then
    /// report it again.
    RefuseRuns {
        /// Incarnation of the worker.
        key: WorkerKey,
        /// Runs to refuse.
        runs: Vec<(TaskKey, RunNumber)>,
    },
    /// Says that the losses which the agent had reported before its question are committed.
    LossesCommitted {
        /// Number of the question.
        number: u64,
    },
}
