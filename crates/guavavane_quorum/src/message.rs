//! Messages between replicas; the transport carries them without looking inside.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::entry::LogEntry;
use crate::entry::LogIndex;
use crate::entry::Term;
use crate::member::MemberSet;
use crate::member::ReplicaId;
use guavavane_model::identity::CellId;
use guavavane_model::time::BootTime;

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Cell of the group; a message of another cell is dropped.
    pub(crate) cell: CellId,
    /// Sender.
    pub(crate) from: ReplicaId,
    /// Where answers to the sender go.
    pub(crate) from_address: SocketAddr,
    /// Receiver; a replica drops what is meant for an earlier one at its address.
    pub(crate) to: ReplicaId,
    /// Term of the sender, or the proposed term in a pre-vote.
    pub(crate) term: Term,
    /// Content.
    pub(crate) body: MessageBody,
}

impl PeerMessage {
    /// Sender of the message.
    pub fn sender(&self) -> ReplicaId {
        self.from
    }

    /// Replica that the message is meant for.
    pub fn receiver(&self) -> ReplicaId {
        self.to
    }

    /// Term in which the sender gives its vote to the receiver, if that is what this says.
    pub fn granted_term(&self) -> Option<Term> {
        let granted = self.body == MessageBody::VoteResponse { granted: true };
        granted.then_some(self.term)
    }
}

/// A message with the address that it goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Receiver.
    pub to: ReplicaId,
    /// Address of the receiver.
    pub address: SocketAddr,
    /// The message.
    pub message: PeerMessage,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum MessageBody {
    PreVoteRequest(VoteRequest),
    PreVoteResponse { granted: bool },
    VoteRequest(VoteRequest),
    VoteResponse { granted: bool },
    AppendRequest(AppendRequest),
    AppendResponse(AppendResponse),
    SnapshotChunk(SnapshotChunk),
    SnapshotResponse(SnapshotResponse),
    TimeoutNow,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VoteRequest {
    pub(crate) last_index: LogIndex,
    pub(crate) last_term: Term,
    /// Set by a leadership transfer: the leader has given up its lease.
    pub(crate) forced: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AppendRequest {
    pub(crate) prev_index: LogIndex,
    pub(crate) prev_term: Term,
    pub(crate) entries: Vec<LogEntry>,
    pub(crate) commit: LogIndex,
    /// On the sender's clock; returned unchanged.
    pub(crate) sent_at: BootTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AppendResponse {
    pub(crate) result: AppendResult,
    pub(crate) sent_at: BootTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AppendResult {
    /// The log agrees with the leader's up to this synced entry.
    Accepted { match_index: LogIndex },
    /// The entry before the sent ones differs or is missing.
    Rejected {
        prev_index: LogIndex,
        last_possible_match: LogIndex,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotChunk {
    pub(crate) id: SnapshotId,
    pub(crate) members: MemberSet,
    pub(crate) offset: u64,
    pub(crate) bytes: Arc<[u8]>,
    pub(crate) checksum: u32,
    pub(crate) sent_at: BootTime,
}

/// Identifies the bytes of a snapshot, so that a transfer resumes only with the same ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotId {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
    pub(crate) total_bytes: u64,
    pub(crate) checksum: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotResponse {
    pub(crate) id: SnapshotId,
    pub(crate) next_offset: u64,
    pub(crate) installed: bool,
    pub(crate) sent_at: BootTime,
}
