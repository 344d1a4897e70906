//! Sessions of entries and agents with the leader.

use std::sync::Arc;

use crate::message::FromControl;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_transport::prelude::StreamSender;

/// Identifier of a stream, unique until the process restarts. An agent reports on one session after
/// another, with rising identifiers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct SessionId(pub(super) u64);

/// Kind of process at the other end of a session.
#[derive(Clone, Debug)]
pub(super) enum SessionRole {
    Entry,
    Agent {
        /// Name of the agent's VM.
        node: Arc<str>,
        /// Worker that the agent has reported on this session.
        worker: Option<WorkerIndex>,
    },
}

/// Open session of an entry or an agent.
#[derive(Clone, Debug)]
pub(super) struct LeaderSession {
    pub(super) role: SessionRole,
    pub(super) sender: StreamSender<FromControl>,
}
