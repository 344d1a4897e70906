//! Defines the messages by which entries dispatch requests to agents and revoke them.
//!
//! A dispatch names the incarnation of the agent to which it is addressed. An agent of another
//! incarnation refuses the dispatch, since it does not know which attempts its predecessor ran.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::call::CallKind;
use crate::call::RemoteCall;
use guavavane_model::prelude::EndpointName;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::RequestId;
use guavavane_model::prelude::ServiceName;

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderField {
    /// Name, in lower case.
    pub name: String,
    /// Value, unchanged.
    pub value: String,
}

/// One attempt at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestAttempt {
    /// Request that is attempted.
    pub request: RequestId,
    /// Number of the attempt within the request, from one.
    pub attempt: u16,
}

/// Target of an attempt: an endpoint behind one incarnation of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DispatchTarget {
    /// Address of the agent.
    pub agent: SocketAddr,
    /// Incarnation of the agent.
    pub incarnation: IncarnationId,
    /// Endpoint behind the agent.
    pub endpoint: EndpointName,
}

/// Dispatches one attempt at a request, with the whole body, to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchRequest {
    /// Attempt that is dispatched.
    pub attempt: RequestAttempt,
    /// Agent incarnation and endpoint that run the attempt.
    pub target: DispatchTarget,
    /// Service to which the caller addressed the request.
    pub service: ServiceName,
    /// HTTP method, in upper case.
    pub method: String,
    /// Path and query, relative to the service.
    pub path: String,
    /// Headers that the agent passes to the endpoint.
    pub headers: Vec<HeaderField>,
    /// Complete body.
    pub body: Vec<u8>,
    /// Deadline for the reply, from the arrival of this message, in milliseconds.
    pub deadline_ms: u32,
    /// Whether the agent retains the answer for a later [`RevokeRequest`].
    pub keep_answer: bool,
}

/// Answer: the complete HTTP response of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers that the entry passes to the caller.
    pub headers: Vec<HeaderField>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Why an agent refused an attempt; each reason proves that the attempt never ran and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The dispatch is addressed to another incarnation of the agent.
    WrongIncarnation,
    /// The agent knows no endpoint of this name and service whose announcement is valid.
    UnknownEndpoint,
    /// The endpoint or the agent is draining.
    Leaving,
    /// All slots are taken, and the queue is full or its wait would exceed the deadline; or the
    /// agent holds too many bytes of requests.
    Busy,
    /// The attempt was revoked before it ran.
    Revoked,
    /// The deadline passed before the attempt got a slot.
    DeadlinePassed,
    /// No byte was sent to the endpoint, for example because it refused the connection.
    ConnectionRefused,
    /// The agent's record of attempts, or of retained answers, is full.
    RecordFull,
}

/// Why it is not known whether an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The endpoint received the request and did not answer in time.
    EndpointTimeout,
    /// The connection to the endpoint failed after the request was sent.
    ConnectionLost,
    /// The answer was truncated, too long, malformed or for another request.
    BadAnswer,
    /// Another attempt at the request, or this one, still runs.
    StillRunning,
    /// The agent that accepted the attempt has restarted or no longer has a record of it.
    AgentRestarted,
    /// The agent did not reply in time.
    AgentTimeout,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchReply {
    /// The attempt ran once, with this answer.
    Answered(HttpResponse),
    /// The attempt did not run and never will.
    Refused(RefusalReason),
    /// The attempt may have run.
    Unknown(UnknownReason),
}

impl RemoteCall for DispatchRequest {
    type Reply = DispatchReply;

    const KIND: CallKind = CallKind::Dispatch;
}

/// Asks for the answer of an attempt or, if it has not run, to refuse it permanently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeRequest {
    /// Attempt to revoke.
    pub attempt: RequestAttempt,
    /// Incarnation of the agent to which the attempt was dispatched.
    pub incarnation: IncarnationId,
    /// Maximum time that the agent waits for a running attempt to end, in milliseconds.
    pub wait_ms: u32,
}

/// Outcome of an attempt after its revocation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevokeReply {
    /// The attempt has not run, and the agent refuses it permanently.
    NotRun,
    /// The attempt ran once, with this answer.
    Answered(HttpResponse),
    /// The attempt ran or may have run, and its answer is not available.
    Unknown(UnknownReason),
}

impl RemoteCall for RevokeRequest {
    type Reply = RevokeReply;

    const KIND: CallKind = CallKind::Revoke;
}
