//! Requests of callers, the ends of their attempts and their results.

use std::fmt;
use std::sync::Arc;

use crate::service::ServiceKey;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::RequestId;
use guavavane_protocol::prelude::DispatchReply;
use guavavane_protocol::prelude::HeaderField;
use guavavane_protocol::prelude::HttpAnswer;
use guavavane_protocol::prelude::RefusalReason;
use guavavane_protocol::prelude::RevokeReply;
use guavavane_protocol::prelude::UnknownReason;

/// The claim that a keyed request needs before it is dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimIntent {
    /// The caller's `Idempotency-Key`.
    pub key: Arc<str>,
    /// Digest of method, path and body.
    pub digest: u64,
}

/// A request of a caller, whole.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its identity.
    pub id: RequestId,
    /// Service that it is for.
    pub service: ServiceKey,
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query below the service.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<HeaderField>,
    /// Body, whole.
    pub body: Vec<u8>,
    /// When the caller stops waiting.
    pub deadline: BootTime,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether a second attempt may run beside a slow first one.
    pub hedge: bool,
    /// The claim that it needs.
    pub claim: Option<ClaimIntent>,
}

impl CallerRequest {
    /// Whether it may be sent again without a proof. A keyed request may not: its claim
    /// promises one run.
    pub fn may_repeat(&self) -> bool {
        self.idempotent && self.claim.is_none()
    }
}

/// What the transport says of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The agent replied.
    Reply(DispatchReply),
    /// No handler of the agent saw the attempt and none ever will.
    Unseen,
    /// The agent may have seen the attempt; there is no reply.
    Lost,
}

/// Evidence that an attempt did not run and never will.
///
/// It is made only from a refusal, a revocation or a failed send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunProof {
    reason: Option<RefusalReason>,
}

impl NotRunProof {
    /// Why the agent refused, if it was the agent.
    pub fn reason(self) -> Option<RefusalReason> {
        self.reason
    }
}

/// How one attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It ran once, with this answer.
    Answered(HttpAnswer),
    /// It did not run and never will.
    NotRun(NotRunProof),
    /// It may have run; the agent knows no more.
    Unknown(UnknownReason),
    /// It may have run; the agent may know more.
    Lost,
}

impl From<AttemptResult> for AttemptEnd {
    fn from(result: AttemptResult) -> Self {
        match result {
            AttemptResult::Reply(DispatchReply::Answered(answer)) => Self::Answered(answer),
            AttemptResult::Reply(DispatchReply::Refused(reason)) => Self::NotRun(NotRunProof {
                reason: Some(reason),
            }),
            AttemptResult::Reply(DispatchReply::Unknown(reason)) => Self::Unknown(reason),
            AttemptResult::Unseen => Self::NotRun(NotRunProof { reason: None }),
            AttemptResult::Lost => Self::Lost,
        }
    }
}

impl From<RevokeReply> for AttemptEnd {
    fn from(reply: RevokeReply) -> Self {
        match reply {
            RevokeReply::NotRun => Self::NotRun(NotRunProof {
                reason: Some(RefusalReason::Revoked),
            }),
            RevokeReply::Answered(answer) => Self::Answered(answer),
            RevokeReply::Unknown(reason) => Self::Unknown(reason),
        }
    }
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// The queue is full, or its wait would outlast the deadline.
    Overloaded,
    /// The deadline passed before an endpoint was free.
    DeadlinePassed,
    /// Each endpoint that was tried refused.
    Refused,
    /// The same key was used with another request.
    KeyMismatch,
    /// No room for another claim.
    ClaimsFull,
    /// The claim could not be committed.
    ControlUnavailable,
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoEndpoint => "no-endpoint",
            Self::Overloaded => "overloaded",
            Self::DeadlinePassed => "deadline-passed",
            Self::Refused => "refused",
            Self::KeyMismatch => "key-mismatch",
            Self::ClaimsFull => "claims-full",
            Self::ControlUnavailable => "control-unavailable",
        })
    }
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// It ran, and this is its answer.
    Answered(HttpAnswer),
    /// It did not run and never will.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(UnknownReason),
}
