//! Log entries, and the other persistent state of a replica: term, vote and snapshot.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::member::MemberSet;
use crate::member::ReplicaId;

macro_rules! define_ordinals {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next higher value.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }

            /// Returns the next lower value; zero stays zero.
            #[must_use]
            pub fn previous(self) -> Self {
                Self(self.0.saturating_sub(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    )*};
}

define_ordinals! {
    /// Position of an entry in the log; the first entry has index 1.
    LogIndex;
    /// Raft term: a period that starts with an election and has at most one leader.
    Term;
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// No-op entry that a leader appends at the start of its term.
    Blank,
    /// Command of the state machine, encoded with bincode.
    Command(Arc<[u8]>),
    /// Member set that is in effect from this entry on.
    Members(MemberSet),
}

/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content of the entry.
    pub payload: EntryPayload,
}

impl LogEntry {
    /// Approximate size in memory and on the wire, in bytes.
    pub fn size_bytes(&self) -> usize {
        let payload = match &self.payload {
            EntryPayload::Blank => 0,
            EntryPayload::Command(bytes) => bytes.len(),
            EntryPayload::Members(members) => members.len() * size_of::<u64>() * 4,
        };
        size_of::<Self>() + payload
    }
}

/// Persistent Raft state besides the log; a replica that lost it could vote twice in one term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that this replica voted for in `term`.
    pub vote: Option<ReplicaId>,
}

/// Snapshot of the state machine after the entry at `index`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotImage {
    /// Index of the last applied entry.
    pub index: LogIndex,
    /// Term of the entry at `index`.
    pub term: Term,
    /// Member set in effect at the entry at `index`.
    pub members: MemberSet,
    /// State as encoded by [`StateMachine::snapshot`](crate::machine::StateMachine::snapshot).
    pub bytes: Arc<[u8]>,
}
