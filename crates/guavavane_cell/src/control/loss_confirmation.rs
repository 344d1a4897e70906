//! Confirms to an agent that ends that the losses which it has reported are committed.
//!
//! A loss that was only written to a session is lost with the leader. The agent's process may be the last
//! one on its VM, so that nobody would report the loss to the next leader.

use super::engine::ControlEngine;
use super::session::SessionId;
use crate::message::FromControl;

impl ControlEngine {
    /// Answers an agent's question once the losses that it has reported before are committed.
    pub(super) fn confirm_losses(&mut self, session: SessionId, number: u64) {
        if let Some(state) = &mut self.leader_state {
            state.loss_questions.insert(session, number);
        }
        self.answer_loss_questions();
    }

    /// Answers the questions of the agents on whose VMs no loss is pending.
    pub(super) fn answer_loss_questions(&mut self) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let questions = std::mem::take(&mut state.loss_questions);
        for (id, number) in questions {
            // The agent of a closed session asks again on its next one.
            let Some(session) = state.sessions.get(&id) else {
                continue;
            };
            let node = state.session_node(id);
            let is_pending = self.quorum.read_local(|ledger| {
                let mut workers = node.into_iter().flat_map(|node| ledger.workers_on(node));
                workers.any(|worker| state.pending_losses.contains_key(&worker))
            });
            if is_pending {
                state.loss_questions.insert(id, number);
            } else {
                session.sender.send(FromControl::LossesCommitted { number });
            }
        }
    }
}
