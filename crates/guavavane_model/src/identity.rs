//! Numeric identities of tasks, requests, processes and versions.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

macro_rules! define_numbers {
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
            /// The number that follows this one.
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

define_numbers! {
    /// A cell: a set of data centres scheduled by one control group.
    CellId(u16);
    /// A job, a set of tasks submitted together.
    JobId(u64);
    /// A task, unique in its cell for ever.
    TaskId(u64);
    /// Attempt at a task, raised each time the task is requeued.
    AttemptNumber(u32);
    /// Fencing number, raised with each placement in a cell.
    FenceNumber(u64);
    /// One run of a process: drawn at random when the process starts.
    IncarnationId(u64);
    /// One boot of a worker, as the platform reports it.
    BootId(u64);
    /// Version of an environment's document; the first accepted one has version 1.
    DocumentVersion(u64);
}

/// Identity of a request, unique across entries and their restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Incarnation of the entry that took the request.
    pub entry: IncarnationId,
    /// Count within that incarnation.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}-{}", self.entry.0, self.sequence)
    }
}
