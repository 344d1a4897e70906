//! Requests from entries to agents.
//!
//! A dispatch names the agent incarnation that it is meant for. An agent of another
//! incarnation refuses it, since it cannot know what its predecessor ran.

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
    /// Name in lower case.
    pub name: String,
    /// Value as sent.
    pub value: String,
}

/// One attempt at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestAttempt {
    /// The request.
    pub request: RequestId,
    /// Attempt within the request, counted from one.
    pub attempt: u16,
}

/// Where an attempt is sent: one endpoint behind one incarnation of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DispatchTarget {
    /// Address of the agent.
    pub agent: SocketAddr,
    /// Incarnation of the agent.
    pub incarnation: IncarnationId,
    /// Endpoint behind the agent.
    pub endpoint: EndpointName,
}

/// A request, whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchRequest {
    /// Which attempt this is.
    pub attempt: RequestAttempt,
    /// Whom it is meant for.
    pub target: DispatchTarget,
    /// Service that the caller asked for.
    pub service: ServiceName,
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query below the service.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<HeaderField>,
    /// Body, whole.
    pub body: Vec<u8>,
    /// Time left for an answer, from the arrival of this message.
    pub deadline_ms: u32,
    /// Whether the agent keeps the answer for a later [`RevokeRequest`].
    pub keep_answer: bool,
}

/// An answer of an endpoint, whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<HeaderField>,
    /// Body, whole.
    pub body: Vec<u8>,
}

/// Why an agent did not run a request; each is a proof that it never ran and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The agent has another incarnation than the one named.
    WrongIncarnation,
    /// The endpoint is not known to the agent.
    UnknownEndpoint,
    /// The endpoint has announced that it is leaving, or the agent is draining.
    Leaving,
    /// Slots and queue are full, or the queue would outlast the deadline.
    Busy,
    /// The attempt was revoked before it arrived.
    Revoked,
    /// The deadline passed before the attempt got a slot.
    DeadlinePassed,
    /// The connection to the endpoint was refused before a byte was sent.
    ConnectionRefused,
    /// The record of kept attempts is full.
    RecordFull,
}

/// Why the outcome of a request is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The endpoint took the request and did not answer in time.
    EndpointTimeout,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The answer was short, too long, malformed or for another request.
    BadAnswer,
    /// The attempt is still running elsewhere.
    StillRunning,
    /// The agent that took it has restarted or forgotten it.
    AgentRestarted,
    /// The agent did not answer in time.
    AgentTimeout,
}

/// What became of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchReply {
    /// It ran once, and this is its answer.
    Answered(HttpAnswer),
    /// It did not run and never will.
    Refused(RefusalReason),
    /// It may have run.
    Unknown(UnknownReason),
}

impl RemoteCall for DispatchRequest {
    type Reply = DispatchReply;

    const KIND: CallKind = CallKind::Dispatch;
}

/// Asks for the answer of an attempt, or that it never runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeRequest {
    /// The attempt.
    pub attempt: RequestAttempt,
    /// Incarnation of the agent that it was sent to.
    pub incarnation: IncarnationId,
    /// How long the agent may wait for a running attempt to end.
    pub wait_ms: u32,
}

/// What the agent knows of an attempt after a revocation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevokeReply {
    /// It has not run here and is refused for good.
    NotRun,
    /// It ran once, and this is its answer.
    Answered(HttpAnswer),
    /// It ran or may have run, and its answer is not to be had.
    Unknown(UnknownReason),
}

impl RemoteCall for RevokeRequest {
    type Reply = RevokeReply;

    const KIND: CallKind = CallKind::Revoke;
}
