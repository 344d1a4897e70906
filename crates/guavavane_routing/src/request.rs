//! Requests of callers, outcomes of their attempts and final results.

use std::fmt;
use std::sync::Arc;

use crate::service::ServiceKey;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::RequestId;
use guavavane_protocol::prelude::DispatchReply;
use guavavane_protocol::prelude::HeaderField;
use guavavane_protocol::prelude::HttpResponse;
use guavavane_protocol::prelude::RefusalReason;
use guavavane_protocol::prelude::RevokeReply;
use guavavane_protocol::prelude::UnknownReason;

/// Claim of an idempotency key that must be committed before the request is dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimIntent {
    /// Value of the caller's `Idempotency-Key` header.
    pub key: Arc<str>,
    /// Digest of method, path and body; the same key with another digest is refused.
    pub digest: u64,
}

/// A complete request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Unique number of the request.
    pub id: RequestId,
    /// Service that the request is for.
    pub service: ServiceKey,
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query below the service.
    pub path: String,
    /// Headers that are forwarded to the endpoint.
    pub headers: Vec<HeaderField>,
    /// Complete body.
    pub body: Vec<u8>,
    /// Time at which the caller stops waiting.
    pub deadline: BootTime,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// Whether a hedge, a second attempt beside a slow first one, is allowed.
    pub may_hedge: bool,
    /// Claim that the request needs; `None` for requests without an idempotency key.
    pub claim: Option<ClaimIntent>,
}

impl CallerRequest {
    /// Returns whether the request may be sent again without proof that earlier attempts did not
    /// run. A keyed request may not, since its claim promises a single run.
    pub fn is_safe_to_repeat(&self) -> bool {
        self.idempotent && self.claim.is_none()
    }
}

/// Result of one attempt as the transport reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The agent replied.
    Reply(DispatchReply),
    /// No handler of the agent has seen the attempt and none ever will.
    Unseen,
    /// The agent may have seen the attempt, but no reply arrived.
    NoReply,
}

/// Proof that an attempt did not run and never will.
///
/// Created only from a refusal, a revocation or a failed send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunProof {
    reason: Option<RefusalReason>,
}

impl NotRunProof {
    /// Returns the reason of the agent's refusal, or `None` if the attempt was not delivered.
    pub fn reason(self) -> Option<RefusalReason> {
        self.reason
    }
}

/// Outcome of one attempt: what an [`AttemptResult`] or a [`RevokeReply`] tells of whether it
/// ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The attempt ran once and gave this answer.
    Answered(HttpResponse),
    /// The attempt did not run and never will.
    NotRun(NotRunProof),
    /// The attempt may have run; its agent has no more information.
    Unknown(UnknownReason),
    /// The attempt may have run; its agent may have more information.
    NoReply,
}

impl From<AttemptResult> for AttemptOutcome {
    fn from(result: AttemptResult) -> Self {
        match result {
            AttemptResult::Reply(DispatchReply::Answered(answer)) => Self::Answered(answer),
            AttemptResult::Reply(DispatchReply::Refused(reason)) => Self::NotRun(NotRunProof {
                reason: Some(reason),
            }),
            AttemptResult::Reply(DispatchReply::Unknown(reason)) => Self::Unknown(reason),
            AttemptResult::Unseen => Self::NotRun(NotRunProof { reason: None }),
            AttemptResult::NoReply => Self::NoReply,
        }
    }
}

impl From<RevokeReply> for AttemptOutcome {
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
    /// No endpoint of the service takes attempts.
    NoEndpoint,
    /// The queue is full, or the expected wait would exceed the deadline.
    Overloaded,
    /// The deadline passed before an endpoint was free.
    DeadlinePassed,
    /// All endpoints that were tried refused the request.
    Refused,
    /// The idempotency key was used before with another request.
    KeyMismatch,
    /// The maximum number of claims is reached.
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

/// Final result of a request, as the caller receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// The request ran and gave this answer.
    Answered(HttpResponse),
    /// The request did not run and never will.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}
