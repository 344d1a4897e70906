//! Sessions of entries and agents with the leader.

use std::sync::Arc;

use super::leader_state::LeaderState;
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

impl LeaderState {
    /// Closes a session and returns whether it was open. Its worker gets no orders until it is reported
    /// again.
    pub(super) fn close_session(&mut self, id: SessionId) -> bool {
        if self.sessions.swap_remove(&id).is_none() {
            return false;
        }
        let workers = self.workers.iter();
        let represented = workers.filter(|(_, worker)| worker.session == Some(id));
        let represented: Vec<WorkerIndex> = represented.map(|(index, _)| *index).collect();
        for index in represented {
            if let Some(worker) = self.worker_mut(index) {
                worker.session = None;
            }
        }
        true
    }

    /// Closes the earlier sessions of the VM whose agent reports on this one: messages that still arrive
    /// on them are outdated.
    pub(super) fn close_earlier_sessions(&mut self, id: SessionId) {
        let Some(node) = self.session_node(id) else {
            return;
        };
        let sessions = self.sessions.keys().copied();
        let earlier =
            sessions.filter(|other| *other < id && self.session_node(*other) == Some(node));
        let earlier: Vec<SessionId> = earlier.collect();
        for session in earlier {
            tracing::info!(
                event = "session_outdated",
                session = session.0,
                later = id.0
            );
            self.close_session(session);
        }
    }

    /// Name of the VM of an agent's session.
    pub(super) fn session_node(&self, id: SessionId) -> Option<&Arc<str>> {
        match &self.sessions.get(&id)?.role {
            SessionRole::Agent { node, .. } => Some(node),
            SessionRole::Entry => None,
        }
    }
}
