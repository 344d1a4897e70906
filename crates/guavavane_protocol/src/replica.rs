//! Control replicas: where they are and why they refuse.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::call::CallKind;
use crate::call::RemoteCall;

/// Why a control replica did not serve a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRefusal {
    /// Another replica leads, or nobody is known to.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// The change may or may not be committed.
    Unknown,
    /// Too much waits already; nothing was taken.
    Overloaded,
    /// The replica is stopping or its disk failed; nothing was taken.
    Unavailable,
}

/// A message between control replicas, opaque to the transport.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEnvelope {
    /// The encoded message.
    pub message: Vec<u8>,
}

/// Receipt of a [`ReplicaEnvelope`]; says nothing about its contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnvelopeReceipt;

impl RemoteCall for ReplicaEnvelope {
    type Reply = EnvelopeReceipt;

    const KIND: CallKind = CallKind::Replica;
}

/// A replica with a new identity asks to be added as a learner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Fresh identity of the replica.
    pub replica: u64,
    /// Address at which it takes calls.
    pub address: SocketAddr,
}

/// The leader's answer to a join.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinReply {
    /// The replica is a member, or will be once the change commits.
    Accepted,
    /// Not taken.
    Refused(ControlRefusal),
}

impl RemoteCall for JoinRequest {
    type Reply = JoinReply;

    const KIND: CallKind = CallKind::Join;
}
