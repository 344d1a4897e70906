//! Raft messages between replicas, opaque to the transport.
//!
//! Times are on the clock of the replica that sent the request; a response returns the time
//! unchanged, so that clocks of different replicas are never compared.

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

/// Message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Cell of the sender's group; a receiver of another cell drops the message.
    pub(crate) cell: CellId,
    /// Sender.
    pub(crate) from: ReplicaId,
    /// Address to which answers are sent.
    pub(crate) from_address: SocketAddr,
    /// Receiver; a replica drops messages for an earlier replica at its address.
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

    /// Replica to which the message is addressed.
    pub fn receiver(&self) -> ReplicaId {
        self.to
    }

    /// Term of the vote, if this message grants the sender's vote to the receiver.
    pub fn granted_vote_term(&self) -> Option<Term> {
        let granted = self.body == MessageBody::VoteResponse { granted: true };
        granted.then_some(self.term)
    }
}

/// Message with the address of its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Receiver.
    pub to: ReplicaId,
    /// Address of the receiver.
    pub address: SocketAddr,
    /// Message to deliver.
    pub message: PeerMessage,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum MessageBody {
    /// Asks whether the receiver would vote for the sender in the next term.
    PreVoteRequest(VoteRequest),
    PreVoteResponse {
        granted: bool,
    },
    VoteRequest(VoteRequest),
    VoteResponse {
        granted: bool,
    },
    AppendRequest(AppendRequest),
    AppendResponse(AppendResponse),
    SnapshotChunk(SnapshotChunk),
    SnapshotResponse(SnapshotResponse),
    /// Tells the target of a leadership transfer to start an election at once.
    TimeoutNow,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VoteRequest {
    /// Last index in the candidate's log.
    pub(crate) last_index: LogIndex,
    /// Term of the entry at `last_index`.
    pub(crate) last_term: Term,
    /// Set in a leadership transfer, in which the leader has given up its lease.
    pub(crate) forced: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AppendRequest {
    /// Index of the entry before `entries`.
    pub(crate) prev_index: LogIndex,
    /// Term of the entry at `prev_index`.
    pub(crate) prev_term: Term,
    pub(crate) entries: Vec<LogEntry>,
    /// Commit index of the leader.
    pub(crate) commit: LogIndex,
    /// Send time on the leader's clock; the response returns it.
    pub(crate) sent_at: BootTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AppendResponse {
    pub(crate) result: AppendResult,
    pub(crate) sent_at: BootTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AppendResult {
    /// The log matches the leader's up to `match_index`, and is durable up to there.
    Accepted { match_index: LogIndex },
    /// The entry before the sent ones differs or is missing; the logs may match up to
    /// `last_possible_match` at most.
    Rejected {
        prev_index: LogIndex,
        last_possible_match: LogIndex,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotChunk {
    pub(crate) id: SnapshotId,
    pub(crate) members: MemberSet,
    /// Offset of `bytes` in the snapshot.
    pub(crate) offset: u64,
    pub(crate) bytes: Arc<[u8]>,
    /// CRC-32 of `bytes`.
    pub(crate) checksum: u32,
    pub(crate) sent_at: BootTime,
}

/// Identity of a snapshot's bytes; a transfer continues only with chunks of the same identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotId {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
    pub(crate) total_bytes: u64,
    /// CRC-32 of the whole snapshot.
    pub(crate) checksum: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotResponse {
    pub(crate) id: SnapshotId,
    /// Offset of the chunk that the follower needs next.
    pub(crate) next_offset: u64,
    /// Whether the follower has installed the snapshot or committed its last entry before.
    pub(crate) installed: bool,
    pub(crate) sent_at: BootTime,
}
