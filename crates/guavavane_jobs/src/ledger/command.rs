//! Commands of the ledger and what they answer.

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
pub enum RunEnding {
    /// The work is done.
    Done,
    /// The task or the worker failed.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

impl RunEnding {
    /// Short name, for metrics.
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

/// The end of a run, as a worker lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Position in the worker's list, from 1 in each incarnation.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub ending: RunEnding,
    /// Progress that was saved; empty if there is none.
    pub saved: Arc<str>,
}

/// A task that is to start on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartChoice {
    /// The task.
    pub task: TaskKey,
    /// Number of the new run.
    pub run: RunNumber,
    /// Where it runs.
    pub worker: WorkerIndex,
    /// Progress to resume from; empty if there is none.
    pub saved: Arc<str>,
}

/// A change of the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// Replaces the catalog if the version is higher.
    PutCatalog {
        /// The checked catalog.
        catalog: QueueCatalog,
        /// The catalog as it was sent.
        text: Arc<str>,
    },
    /// Takes a data centre out or back.
    SetExcluded {
        /// The data centre.
        data_centre: Arc<str>,
        /// Whether it is out.
        excluded: bool,
    },
    /// Accepts a job, once.
    Submit {
        /// Identity of the job.
        job: JobKey,
        /// Its queue.
        queue: Arc<str>,
        /// What it consists of.
        spec: Arc<JobSpec>,
        /// The leader's time of day, for the order of jobs only.
        accepted_ms: u64,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobKey,
    },
    /// Makes an occurrence of a scheduled job ready.
    Release {
        /// The job.
        job: JobKey,
        /// Number of the occurrence.
        occurrence: u32,
    },
    /// Notes an incarnation of a worker.
    AddWorker {
        /// The incarnation.
        key: WorkerKey,
        /// VM that it runs on.
        node: Arc<str>,
        /// What it says of itself.
        facts: WorkerFacts,
    },
    /// Frees everything on a worker that surely runs nothing any more.
    LoseWorker {
        /// The incarnation.
        worker: WorkerIndex,
        /// Whether it never comes back.
        ended: bool,
    },
    /// Commits runs before their orders are sent.
    Start {
        /// What starts where.
        choices: Vec<StartChoice>,
    },
    /// Notes ends of runs that a worker listed.
    NoteEnds {
        /// The incarnation.
        worker: WorkerIndex,
        /// The ends, by rising number.
        ends: Vec<RunEnd>,
    },
    /// Frees a run that was never started and can't be any more.
    Withdraw {
        /// The incarnation.
        worker: WorkerIndex,
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
    },
    /// Forgets jobs that ended long ago.
    Forget {
        /// The jobs.
        jobs: Vec<JobKey>,
    },
}

/// What a command answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerOutcome {
    /// The command was carried out, or changed nothing.
    Done,
    /// The job is accepted; `new` is false if it was before.
    Accepted {
        /// Whether this command accepted it.
        new: bool,
    },
    /// The queue does not exist; nothing was accepted.
    UnknownQueue,
    /// There is no such job.
    UnknownJob,
    /// Index of the worker.
    Worker(WorkerIndex),
    /// For each choice, whether it was committed.
    Started(Vec<bool>),
    /// Jobs that ended with this command.
    Ended(Vec<JobKey>),
}
