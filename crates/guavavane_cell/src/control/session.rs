//! Sessions of entries and agents with the leader.

use std::sync::Arc;

use crate::message::FromControl;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_transport::prelude::StreamSender;

/// Names a stream for as long as this process lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct SessionId(pub(super) u64);

/// Who is at the other end.
#[derive(Clone, Debug)]
pub(super) enum SessionRole {
    Entry,
    Agent {
        /// VM of the agent.
        node: Arc<str>,
        /// Worker that it speaks for.
        worker: Option<WorkerIndex>,
    },
}

/// A session.
#[derive(Clone, Debug)]
pub(super) struct LeaderSession {
    pub(super) role: SessionRole,
    pub(super) sender: StreamSender<FromControl>,
}
