//! Defines the numeric identities of tasks, requests, processes and versions.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

macro_rules! define_numeric_ids {
    ($($(#[$meta:meta])* $name:ident($inner:ty);)*) => {$(
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
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the next larger number.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    )*};
}

define_numeric_ids! {
    /// Identity of a cell, a set of data centres that one group of control replicas schedules.
    CellId(u16);
    /// Identity of a job, a set of tasks submitted together.
    JobId(u64);
    /// Identity of a task, never reused in its cell.
    TaskId(u64);
    /// Number of an attempt at a task; each requeue of the task increments it.
    AttemptNumber(u32);
    /// Fencing token of a placement; each placement in a cell increments it.
    ///
    /// A receiver rejects a message whose token is smaller than the largest that it has accepted
    /// for the task.
    FenceNumber(u64);
    /// Incarnation of a process, one run between restarts; drawn at random when it starts.
    IncarnationId(u64);
    /// Identity of one boot of a worker, as the platform reports it.
    BootId(u64);
    /// Version of an environment's document; the first accepted one has version 1.
    DocumentVersion(u64);
}

/// Identity of a request, unique across entries and their restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Incarnation of the entry that took the request.
    pub entry: IncarnationId,
    /// Sequence number of the request within the incarnation.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}-{}", self.entry.0, self.sequence)
    }
}
