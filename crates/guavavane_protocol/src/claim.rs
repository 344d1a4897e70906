//! Claims of idempotency keys in the replicated state.
//!
//! A claim is committed before its request is dispatched and names the attempt and the agent
//! incarnation it goes to. It ends with the kept answer, or is freed once the attempt is proven
//! not to have run. An attempt that cannot be proven either way stays unknown while it is kept.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::call::CallKind;
use crate::call::RemoteCall;
use crate::entry::DispatchTarget;
use crate::entry::HttpAnswer;
use crate::entry::RequestAttempt;
use crate::replica::ControlRefusal;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::ServiceName;

/// What a claim is for: one key of one service of one environment.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Environment of the service.
    pub environment: EnvironmentName,
    /// Service that the request is for.
    pub service: ServiceName,
    /// The caller's `Idempotency-Key`.
    pub key: Arc<str>,
}

/// An attempt and where it goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// The attempt.
    pub attempt: RequestAttempt,
    /// Where it is dispatched.
    pub target: DispatchTarget,
}

/// One change of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimChange {
    /// Claims the key for an attempt, if nobody holds it.
    Acquire(ClaimHolder),
    /// Replaces an attempt that is proven not to have run.
    Replace {
        /// The attempt proven not to have run.
        not_run: RequestAttempt,
        /// The next attempt.
        next: ClaimHolder,
    },
    /// Frees the key: the attempt is proven not to have run.
    Release {
        /// The attempt proven not to have run.
        not_run: RequestAttempt,
    },
    /// Keeps the answer of an attempt.
    Settle {
        /// The attempt that ran.
        attempt: RequestAttempt,
        /// Its answer.
        answer: HttpAnswer,
    },
}

/// Asks the leader for one change of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// What is claimed.
    pub key: ClaimKey,
    /// Digest of method, path and body: the same key with another digest is refused.
    pub digest: u64,
    /// The change.
    pub change: ClaimChange,
}

/// State of a claim after a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The change holds: the caller's attempt holds the claim, or the claim is settled or free.
    Granted,
    /// Another attempt holds the claim.
    Held(ClaimHolder),
    /// The request was answered before.
    Answered(HttpAnswer),
    /// The key was used with another request.
    DigestMismatch,
    /// No room for another claim.
    Full,
}

/// The leader's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// Committed.
    Outcome(ClaimOutcome),
    /// Not taken, or not known to be committed.
    Refused(ControlRefusal),
}

impl RemoteCall for ClaimRequest {
    type Reply = ClaimReply;

    const KIND: CallKind = CallKind::Claim;
}
