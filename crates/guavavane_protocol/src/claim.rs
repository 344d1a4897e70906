//! Defines claims of idempotency keys, which the control replicas store in their replicated state.
//!
//! A claim makes requests with the same key run at most once. It is committed before its request
//! is dispatched, and names the attempt and the agent incarnation to which the request goes. The
//! claim is settled with the answer of the attempt, or released once the attempt is proven not
//! to have run. If neither can be proven, the outcome stays unknown for as long as the claim is
//! retained.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::call::CallKind;
use crate::call::RemoteCall;
use crate::entry::DispatchTarget;
use crate::entry::HttpResponse;
use crate::entry::RequestAttempt;
use crate::replica::ControlRefusal;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::ServiceName;

/// Identifies a claim: one idempotency key of one service in one environment.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Environment of the service.
    pub environment: EnvironmentName,
    /// Service to which the request is addressed.
    pub service: ServiceName,
    /// Value of the caller's `Idempotency-Key` header.
    pub key: Arc<str>,
}

/// The attempt that holds a claim, and its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// Attempt that holds the claim.
    pub attempt: RequestAttempt,
    /// Agent incarnation and endpoint to which the attempt is dispatched.
    pub target: DispatchTarget,
}

/// One transition of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimChange {
    /// Acquires the claim for an attempt, unless another attempt holds it.
    Acquire(ClaimHolder),
    /// Passes the claim to the next attempt after the previous one is proven not to have run.
    Replace {
        /// The attempt proven not to have run.
        not_run: RequestAttempt,
        /// Attempt that holds the claim from now on.
        next: ClaimHolder,
    },
    /// Releases the claim after its attempt is proven not to have run.
    Release {
        /// The attempt proven not to have run.
        not_run: RequestAttempt,
    },
    /// Stores the answer of the attempt for later requests with the same key.
    Settle {
        /// The attempt that ran.
        attempt: RequestAttempt,
        /// Answer of the attempt.
        answer: HttpResponse,
    },
}

/// Asks the leader to change a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Claim to change.
    pub key: ClaimKey,
    /// Digest of method, path and body; the leader refuses the same key with another digest.
    pub digest: u64,
    /// Change to make.
    pub change: ClaimChange,
}

/// State of a claim after a [`ClaimChange`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The change is in force: the attempt holds the claim, or the claim is settled or released.
    Granted,
    /// Another attempt holds the claim.
    Held(ClaimHolder),
    /// The claim is settled: an earlier request with the key got this answer.
    Answered(HttpResponse),
    /// The key was used before for a request with another digest.
    DigestMismatch,
    /// The limit on the number of claims, or on the bytes of their answers, is reached.
    Full,
}

/// Reply of a control replica to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The state of the claim is committed.
    Outcome(ClaimOutcome),
    /// The change was not made, or is not known to be committed.
    Refused(ControlRefusal),
}

impl RemoteCall for ClaimRequest {
    type Reply = ClaimReply;

    const KIND: CallKind = CallKind::Claim;
}
