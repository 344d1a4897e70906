//! What goes into the core and what comes out of it.

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

/// Ties an outcome to the request that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestTicket(pub u64);

/// A change of the members, made one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a learner, or moves a member to another address.
    AddLearner {
        /// Identity of the replica.
        id: ReplicaId,
        /// Its address.
        address: SocketAddr,
    },
    /// Makes a learner a voter.
    Promote(ReplicaId),
    /// Removes a member.
    Remove(ReplicaId),
}

/// Input of one step.
#[derive(Clone, Debug)]
pub enum CoreInput {
    /// Time has passed.
    Tick,
    /// The batch of inputs ends here: replicate what it appended.
    Flush,
    /// All that earlier steps gave to storage is durable.
    Persisted,
    /// A message arrived.
    Message(PeerMessage),
    /// Append a command.
    Propose {
        /// Names the request in the outcome.
        ticket: RequestTicket,
        /// Encoded command.
        command: Arc<[u8]>,
    },
    /// Find the index that a linearizable read must wait for.
    Read {
        /// Names the request in the outcome.
        ticket: RequestTicket,
    },
    /// Change the members.
    Change {
        /// Names the request in the outcome.
        ticket: RequestTicket,
        /// The change.
        change: MemberChange,
    },
    /// Hand the leadership to another voter.
    Transfer,
    /// A snapshot of the applied state is durable: the log before it may go.
    SnapshotSaved(SnapshotImage),
}

/// Why a request was refused; none of these appended anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreRefusal {
    /// This replica does not lead, or is handing over.
    NotLeader,
    /// A bound on outstanding work is reached.
    Overloaded,
    /// An earlier change of members, or the leader's first entry, is not committed.
    ChangePending,
    /// The change would leave fewer reachable voters than a quorum.
    QuorumAtRisk,
    /// The leader does not remove itself.
    LeaderItself,
    /// The group has its most members.
    TooManyMembers,
    /// No such learner.
    UnknownMember,
}

/// Outcome of a step, to be carried out in order.
#[derive(Clone, Debug)]
pub enum CoreOutcome {
    /// Store the term and vote.
    SaveHardState(HardState),
    /// Store entries; they replace what the log has from the first one's index on.
    AppendEntries(Vec<LogEntry>),
    /// Load a snapshot into the machine and store it.
    InstallSnapshot {
        /// The snapshot.
        image: SnapshotImage,
        /// Whether the log agrees with it, so that later entries stay.
        keep_log: bool,
    },
    /// Send a message.
    Send {
        /// The message.
        message: OutgoingMessage,
        /// Whether all earlier writes must be durable first.
        after_sync: bool,
    },
    /// Apply committed entries.
    Apply(Vec<LogEntry>),
    /// The request was appended; its entry may still be lost with the leadership.
    Accepted {
        /// The request.
        ticket: RequestTicket,
        /// Index of its entry.
        index: LogIndex,
        /// Term of its entry.
        term: Term,
    },
    /// The request asks for what already holds.
    Unchanged {
        /// The request.
        ticket: RequestTicket,
    },
    /// The request was refused.
    Refused {
        /// The request.
        ticket: RequestTicket,
        /// Why.
        refusal: CoreRefusal,
    },
    /// The read may run once entries up to `index` are applied.
    ReadReady {
        /// The request.
        ticket: RequestTicket,
        /// Index to wait for.
        index: LogIndex,
    },
    /// This replica was the leader and no longer is.
    LostLeadership,
}

/// What storage held when the replica started.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Members before the first entry of the log.
    pub first_members: MemberSet,
    /// Latest snapshot.
    pub snapshot: Option<SnapshotImage>,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
}
