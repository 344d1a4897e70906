//! Sessions that the leader holds: their workers, their order and their end.

use std::sync::Arc;

use super::leader_state::LeaderState;
use super::session::SessionId;
use super::session::SessionRole;
use guavavane_jobs::ledger::WorkerIndex;

impl LeaderState {
    /// Closes a session and returns whether it was open. Its worker gets no orders until it is reported
    /// again.
    pub(super) fn close_session(&mut self, id: SessionId) -> bool {
        self.detach_worker(id);
        self.sessions.swap_remove(&id).is_some()
    }

    /// Detaches the worker that was reported on a session: it gets no orders until it is reported again.
    /// Returns the worker if no later session has reported it.
    pub(super) fn detach_worker(&mut self, id: SessionId) -> Option<WorkerIndex> {
        let SessionRole::Agent { worker, .. } = &mut self.sessions.get_mut(&id)?.role else {
            return None;
        };
        let worker = worker.take()?;
        let state = self.worker_mut(worker)?;
        if state.session != Some(id) {
            return None;
        }
        state.session = None;
        Some(worker)
    }

    /// Makes this the session on which an agent reports and closes the one on which it reported before:
    /// messages that still arrive there are outdated.
    pub(super) fn replace_reporting_session(&mut self, id: SessionId) {
        let Some(node) = self.session_node(id).cloned() else {
            return;
        };
        let Some(earlier) = self.reporting_sessions.insert(node, id) else {
            return;
        };
        if earlier != id && self.close_session(earlier) {
            tracing::info!(
                event = "session_outdated",
                session = earlier.0,
                later = id.0
            );
        }
    }

    /// Whether a session is open and its agent has reported on no later one.
    pub(super) fn is_current_session(&self, id: SessionId) -> bool {
        let Some(session) = self.sessions.get(&id) else {
            return false;
        };
        match &session.role {
            SessionRole::Agent { node, .. } => {
                let reporting = self.reporting_sessions.get(node);
                reporting.is_none_or(|reporting| *reporting <= id)
            }
            SessionRole::Entry => true,
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
