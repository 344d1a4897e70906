//! Defines the messages between control replicas, and why a replica refuses a call.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::call::CallKind;
use crate::call::RemoteCall;

/// Why a control replica did not serve a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRefusal {
    /// The replica is not the leader.
    NotLeader {
        /// Address of the current leader, if the replica knows it.
        leader: Option<SocketAddr>,
    },
    /// The change was proposed; whether it is or will be committed is not known.
    Unknown,
    /// Too many calls are queued; the call had no effect.
    Overloaded,
    /// The replica is shutting down or its disk failed; the call had no effect.
    Unavailable,
}

/// A consensus message between control replicas, opaque to this crate and the transport.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEnvelope {
    /// Encoded message of the consensus protocol.
    pub message: Vec<u8>,
}

/// Acknowledges that a [`ReplicaEnvelope`] arrived, not that its message was processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnvelopeAck;

impl RemoteCall for ReplicaEnvelope {
    type Reply = EnvelopeAck;

    const KIND: CallKind = CallKind::Replica;
}

/// Asks the leader to add a replica with a new identity as a learner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Identity of the replica, never used before in the group.
    pub replica: u64,
    /// Address on which the replica accepts calls.
    pub address: SocketAddr,
}

/// Reply of a control replica to a [`JoinRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinReply {
    /// The replica is a member, or becomes one when the membership change commits.
    Accepted,
    /// The request was not served.
    Refused(ControlRefusal),
}

impl RemoteCall for JoinRequest {
    type Reply = JoinReply;

    const KIND: CallKind = CallKind::Join;
}
