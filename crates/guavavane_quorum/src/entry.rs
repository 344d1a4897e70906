//! Entries of the replicated log, and what a replica keeps besides them.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::member::MemberSet;
use crate::member::ReplicaId;

macro_rules! define_counters {
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
            /// The value that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }

            /// The value before this one; zero stays zero.
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

define_counters! {
    /// Position in the log; the first entry has index 1.
    LogIndex;
    /// Election period, with at most one leader.
    Term;
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Opens a leader's term; carries nothing.
    Blank,
    /// An encoded command of the state machine.
    Command(Arc<[u8]>),
    /// The members of the group from this entry on.
    Members(MemberSet),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// What it carries.
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

/// What a replica must never forget besides its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that got this replica's vote in that term.
    pub vote: Option<ReplicaId>,
}

/// State of the machine after the entry at `index`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotImage {
    /// Last entry that the state includes.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Members as of that entry.
    pub members: MemberSet,
    /// Encoded state.
    pub bytes: Arc<[u8]>,
}
