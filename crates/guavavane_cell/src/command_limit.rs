//! Bound on the size of one command of the replicated log, and the admission of configurations to it.
//!
//! The load: an operator puts a configuration of thousands of queues in force, or several of them at the
//! same time. A replica holds each of them many times: as the body of the call, decoded, as a command in
//! its log, in the messages to its peers, in the ledger and in up to three snapshots. The bound is
//! therefore a part of the memory of the process. No command exceeds a message between two processes,
//! since a follower could not receive it.
//!
//! A configuration over the bound is refused for good, before it is proposed. Those that are proposed
//! and not committed share the bound: the next one is refused until they have a result.

use guavavane_transport::codec::FRAME_MAX_BYTES;

/// Divisor of the memory of the process that gives the largest command.
const COMMAND_DIVISOR: usize = 64;
/// Smallest bound on a command in bytes: the largest legal job has half of it in texts.
const COMMAND_BYTES_MIN: usize = 2 << 20;
/// Part of a message between two replicas that is left for everything but the command, in bytes.
const ENVELOPE_BYTES: usize = 64 << 10;

/// Largest command of the replicated log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandLimit {
    bytes_max: usize,
}

impl CommandLimit {
    /// Derives the limit from the memory that the process may use, in bytes, if it is bounded.
    pub fn derive(memory_bytes: Option<usize>) -> Self {
        let message_bytes = FRAME_MAX_BYTES - ENVELOPE_BYTES;
        let memory_part = memory_bytes.map_or(message_bytes, |bytes| bytes / COMMAND_DIVISOR);
        Self {
            bytes_max: memory_part.clamp(COMMAND_BYTES_MIN, message_bytes),
        }
    }

    /// Maximum size of an encoded command in bytes.
    pub fn bytes_max(&self) -> usize {
        self.bytes_max
    }
}

/// Reason why a configuration is not proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatalogRefusal {
    /// No replica accepts a command of this size, now or later.
    TooLarge {
        /// Maximum size in bytes.
        bytes_max: usize,
    },
    /// Earlier ones are not committed yet; the configuration may be sent again.
    Busy {
        /// Size of the earlier ones in bytes.
        proposed_bytes: usize,
    },
}

impl CatalogRefusal {
    /// Name in metrics and logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::TooLarge { .. } => "too_large",
            Self::Busy { .. } => "busy",
        }
    }
}

/// Admission of configurations, with those that are proposed and have no result.
#[derive(Clone, Debug)]
pub struct CatalogAdmission {
    limit: CommandLimit,
    proposed_bytes: usize,
}

impl CatalogAdmission {
    /// Admits configurations within a limit.
    pub fn new(limit: CommandLimit) -> Self {
        Self {
            limit,
            proposed_bytes: 0,
        }
    }

    /// Limit on each configuration, and on all that have no result.
    pub fn limit(&self) -> CommandLimit {
        self.limit
    }

    /// Admits a configuration whose command has `bytes`; it counts until [`Self::settle`].
    ///
    /// # Errors
    ///
    /// Fails if it does not fit, at all or beside those that are proposed.
    pub fn admit(&mut self, bytes: usize) -> Result<(), CatalogRefusal> {
        let bytes_max = self.limit.bytes_max();
        if bytes > bytes_max {
            return Err(CatalogRefusal::TooLarge { bytes_max });
        }
        if self.proposed_bytes + bytes > bytes_max {
            let proposed_bytes = self.proposed_bytes;
            return Err(CatalogRefusal::Busy { proposed_bytes });
        }
        self.proposed_bytes += bytes;
        Ok(())
    }

    /// Records that the proposal of an admitted configuration has a result.
    pub fn settle(&mut self, bytes: usize) {
        self.proposed_bytes = self.proposed_bytes.saturating_sub(bytes);
    }
}
