//! Inputs and outputs of the consensus core.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::entry::HardState;
use crate::entry::LogEntry;
use crate::entry::LogIndex;
use crate::entry::SnapshotImage;
use crate::entry::Term;
use crate::member::MemberSet;
use crate::member::ReplicaId;
use crate::message::OutgoingMessage;
use crate::message::PeerMessage;

/// Identifies a request of a caller, so that an output can refer to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(pub u64);

/// Membership change of a single member; a second one waits until the first is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a learner, or moves a member to another address.
    AddLearner {
        /// Identity of the replica.
        id: ReplicaId,
        /// Address at which the other replicas reach it.
        address: SocketAddr,
    },
    /// Makes a learner a voter.
    Promote(ReplicaId),
    /// Removes a member.
    Remove(ReplicaId),
}

/// Input of [`ConsensusCore::step`](super::ConsensusCore::step).
#[derive(Clone, Debug)]
pub enum CoreInput {
    /// Checks timers: election timeout, heartbeat, check-quorum.
    Tick,
    /// Ends a batch of inputs: the leader sends the entries that the batch appended.
    Flush,
    /// All writes that earlier steps output are durable.
    Persisted,
    /// A message from another replica.
    Message(PeerMessage),
    /// Append a command to the log.
    Propose {
        /// Identifies the request in outputs.
        request_id: RequestId,
        /// Encoded command of the state machine.
        command: Arc<[u8]>,
    },
    /// Find the index that a linearizable read must wait for.
    Read {
        /// Identifies the request in outputs.
        request_id: RequestId,
    },
    /// Change the membership.
    Change {
        /// Identifies the request in outputs.
        request_id: RequestId,
        /// Change to append.
        change: MemberChange,
    },
    /// Transfer the leadership to another voter.
    Transfer,
    /// A snapshot of the applied state is durable; the entries that it covers may be compacted.
    SnapshotSaved(SnapshotImage),
}

/// Reason why a request was refused; a refused request appends no entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreRefusal {
    /// This replica is not the leader, or transfers the leadership.
    NotLeader,
    /// Limit of uncommitted entries or waiting reads reached.
    Overloaded,
    /// An earlier membership change, or the first entry of the leader's term, is not committed.
    ChangePending,
    /// After the change, fewer voters than a quorum would be reachable.
    QuorumAtRisk,
    /// The leader was asked to remove itself.
    LeaderItself,
    /// The group already has `members_max` members.
    TooManyMembers,
    /// No member has the given identity.
    UnknownMember,
}

/// Output of [`ConsensusCore::step`](super::ConsensusCore::step), to be executed in order.
#[derive(Clone, Debug)]
pub enum CoreOutput {
    /// Write the term and vote to storage.
    SaveHardState(HardState),
    /// Write entries to storage; they replace all stored entries from the first one's index on.
    AppendEntries(Vec<LogEntry>),
    /// Restore the state machine from a snapshot and write the snapshot to storage.
    InstallSnapshot {
        /// Snapshot received from the leader.
        image: SnapshotImage,
        /// Whether the log contains the snapshot's last entry, so that later entries are kept.
        keep_log: bool,
    },
    /// Send a message to another replica.
    Send {
        /// Message with its destination.
        message: OutgoingMessage,
        /// Whether all earlier writes must be durable before the message is sent.
        after_sync: bool,
    },
    /// Apply committed entries to the state machine.
    Apply(Vec<LogEntry>),
    /// An entry was appended for the request; it is lost if the leader changes before it commits.
    Accepted {
        /// Request that the entry belongs to.
        request_id: RequestId,
        /// Index of the entry.
        index: LogIndex,
        /// Term of the entry.
        term: Term,
    },
    /// The requested membership is already in effect; nothing was appended.
    Unchanged {
        /// Request that is answered.
        request_id: RequestId,
    },
    /// The request was refused and appended nothing.
    Refused {
        /// Request that was refused.
        request_id: RequestId,
        /// Reason of the refusal.
        refusal: CoreRefusal,
    },
    /// The read may run once the entries up to `index` are applied.
    ReadReady {
        /// Read request.
        request_id: RequestId,
        /// Read index: the read waits until this entry is applied.
        index: LogIndex,
    },
    /// This replica stepped down; its uncommitted entries may be replaced.
    LostLeadership,
}

/// State that storage held when the replica started.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// Current term, and the vote cast in it.
    pub hard_state: HardState,
    /// Members before the first entry of the log.
    pub initial_members: MemberSet,
    /// Latest snapshot, if one was taken or installed.
    pub snapshot: Option<SnapshotImage>,
    /// Log entries after the snapshot.
    pub entries: Vec<LogEntry>,
}
