//! Defines the commands that change the ledger, and their replies.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::record::WorkerIndex;
use crate::identity::JobKey;
use crate::identity::RunNumber;
use crate::identity::TaskKey;
use crate::identity::WorkerKey;
use crate::job::JobSpec;
use crate::queue::QueueCatalog;
use crate::worker::WorkerFacts;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The task succeeded.
    Done,
    /// The task or the worker failed.
    Failed,
    /// The worker stopped the run on an order, or the run was withdrawn.
    Stopped,
    /// The worker's lease expired, or its incarnation ended.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not join.
    Alone,
}

impl RunOutcome {
    /// Name in metrics and in the reports of workers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
        }
    }
}

/// Completion: a worker's record that a run ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCompletion {
    /// Number in the worker's list of completions, from 1 in each incarnation; 0 if the ledger ended
    /// the run itself.
    pub number: u64,
    /// Identity of the task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Outcome of the run.
    pub outcome: RunOutcome,
    /// Checkpoint that the run saved; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// Placement of one task: the start of a run on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartChoice {
    /// Identity of the task.
    pub task: TaskKey,
    /// Number of the new run; exceeds those of all earlier runs of the task.
    pub run: RunNumber,
    /// Worker that runs the task.
    pub worker: WorkerIndex,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// Change of the ledger, proposed by the leader and applied by every replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// Replaces the queue catalog if the version is higher.
    PutCatalog {
        /// Validated catalog.
        catalog: QueueCatalog,
        /// Catalog as the operator sent it.
        text: Arc<str>,
    },
    /// Excludes a data centre from scheduling, or includes it again.
    SetExcluded {
        /// Name of the data centre.
        data_centre: Arc<str>,
        /// Whether to exclude the data centre.
        excluded: bool,
    },
    /// Accepts a job; a repeated submission changes nothing.
    Submit {
        /// Identity of the job, chosen by the caller.
        job: JobKey,
        /// Name of the queue.
        queue: Arc<str>,
        /// Validated specification of the job.
        spec: Arc<JobSpec>,
        /// Submission time in milliseconds since 1970 on the leader's clock; used only to
        /// order jobs by deadline.
        accepted_ms: u64,
    },
    /// Cancels a job; its runs hold their capacity until they end.
    Cancel {
        /// Job to cancel.
        job: JobKey,
    },
    /// Releases the next occurrence of a scheduled job: its first steps become ready.
    Release {
        /// Scheduled job.
        job: JobKey,
        /// Number of the occurrence, from 0.
        occurrence: u32,
    },
    /// Adds an incarnation of a worker; a repeated command changes nothing.
    AddWorker {
        /// Identity of the incarnation.
        key: WorkerKey,
        /// VM that the worker runs on.
        node: Arc<str>,
        /// Facts that the worker reports about itself.
        facts: WorkerFacts,
    },
    /// Ends all runs on a worker, all of which have certainly stopped.
    LoseWorker {
        /// Lost incarnation.
        worker: WorkerIndex,
        /// Whether the incarnation never returns, so that its record is removed.
        ended: bool,
    },
    /// Commits the starts of a scheduling pass, before their orders are sent.
    Start {
        /// Starts, each of which is accepted or refused.
        choices: Vec<StartChoice>,
    },
    /// Records completions that a worker reported; a repeated completion changes nothing.
    NoteEnds {
        /// Incarnation that reported them.
        worker: WorkerIndex,
        /// Completions by rising number.
        completions: Vec<RunCompletion>,
    },
    /// Withdraws a run that was never started and can no longer start.
    Withdraw {
        /// Incarnation that the run was assigned to.
        worker: WorkerIndex,
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
    },
    /// Removes jobs that have ended, after their retention time.
    Forget {
        /// Jobs to remove; active ones are kept.
        jobs: Vec<JobKey>,
    },
    /// Commits the starts of copies of runs that take long, before their orders are sent. Replicas of
    /// commit b041a08 and earlier can't decode it and stop.
    StartCopies {
        /// Starts, each of which is accepted or refused.
        choices: Vec<StartChoice>,
    },
}

/// Reply to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerOutcome {
    /// The command was applied, or there was nothing to change.
    Done,
    /// The job is accepted, by this command or an earlier one.
    Accepted {
        /// Whether this command accepted the job.
        new: bool,
    },
    /// The queue does not exist, so the job is not accepted.
    UnknownQueue,
    /// The ledger has no job with this identity.
    UnknownJob,
    /// Index of the added worker.
    Worker(WorkerIndex),
    /// For each start, whether it was accepted.
    Started(Vec<bool>),
    /// Jobs that ended by this command.
    Ended(Vec<JobKey>),
}
