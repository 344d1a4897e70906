//! Inputs of the event loop, and what their replies and results carry.
//!
//! The engine and the modules that handle its inputs share these types, so that none of them depends on
//! another for a type alone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::session::SessionId;
use crate::message::FromControl;
use crate::message::ToControl;
use crate::message::WorkerReport;
use crate::worker_api::AdvisedWorker;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::LedgerOutcome;
use guavavane_jobs::prelude::QueueCatalog;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::StartChoice;
use guavavane_jobs::prelude::StepKey;
use guavavane_jobs::prelude::TaskKey;
use guavavane_quorum::prelude::ProposeError;
use guavavane_transport::prelude::StreamSender;

/// Inputs of the event loop.
pub(super) enum EngineInput {
    SessionMessage {
        id: SessionId,
        sender: StreamSender<FromControl>,
        message: ToControl,
    },
    SessionClosed(SessionId),
    Operator(OperatorCall, OperatorReplySender),
    Committed {
        tenure: u64,
        purpose: CommitPurpose,
        result: CommitResult,
    },
    AdviceReply {
        term: u64,
        reply: AdviceReply,
    },
}

/// Session and number of a request, to which its reply is addressed.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallOrigin {
    pub(super) session: SessionId,
    pub(super) call_id: u64,
}

/// Reply to a call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// The change is committed or was already in force.
    Done,
    /// The configuration in force, in the text that the operator sent.
    Catalog(Arc<str>),
    /// This process is not the leader; the leader has this address.
    Redirect(SocketAddr),
    /// No leader is known, no configuration is in force yet, or the outcome of the change is
    /// unknown.
    Unavailable,
    /// Earlier configurations are not committed yet; the change was not made and may be sent again.
    Busy,
    /// The change takes `bytes` in the log, which accepts `bytes_max`; it can never be made.
    TooLarge {
        /// Size of the change in bytes.
        bytes: usize,
        /// Maximum size in bytes.
        bytes_max: usize,
    },
}

/// Call of an operator.
#[derive(Clone, Debug)]
pub(super) enum OperatorCall {
    PutCatalog {
        catalog: Box<QueueCatalog>,
        text: Arc<str>,
    },
    ReadCatalog,
    SetExcluded {
        data_centre: Arc<str>,
        excluded: bool,
    },
}

/// Channel for the reply to one call.
pub(super) type OperatorReplySender = oneshot::Sender<OperatorReply>;

/// Reply of the advice service to one request, or its absence.
#[derive(Debug)]
pub(super) struct AdviceReply {
    pub(super) step: StepKey,
    /// Workers named in the request.
    pub(super) asked_workers: Vec<(WorkerIndex, Arc<str>)>,
    pub(super) validity: Duration,
    /// Workers that may run the step; none if no reply arrived.
    pub(super) allowed: Option<Vec<AdvisedWorker>>,
}

/// Reason of a proposal, which decides the action after its commit.
#[derive(Debug)]
pub(super) enum CommitPurpose {
    Submit {
        origin: CallOrigin,
        key: JobKey,
    },
    Cancel {
        origin: CallOrigin,
        key: JobKey,
    },
    Operator(OperatorReplySender),
    PutCatalog {
        reply_sender: OperatorReplySender,
        /// Size of the command, as it was admitted.
        bytes: usize,
    },
    AddWorker {
        session: SessionId,
        report: Box<WorkerReport>,
    },
    NoteEnds {
        worker: WorkerIndex,
        completions: Vec<RunCompletion>,
    },
    Start(Vec<StartChoice>),
    StartCopies(Vec<StartChoice>),
    Lose {
        worker: WorkerIndex,
        /// Whether the incarnation never returns.
        ended: bool,
    },
    Withdraw {
        worker: WorkerIndex,
        task: TaskKey,
        run: RunNumber,
    },
    Release,
    Forget(Vec<JobKey>),
}

impl CommitPurpose {
    /// Whether the proposal takes capacity that the ledger shows as free until it is committed.
    pub(super) fn reserves_capacity(&self) -> bool {
        matches!(self, Self::Start(_) | Self::StartCopies(_))
    }
}

/// Result of a proposal.
pub(super) type CommitResult = Result<LedgerOutcome, ProposeError>;
