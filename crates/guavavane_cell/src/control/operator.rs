//! Handles the calls of operators.

use std::net::SocketAddr;
use std::sync::Arc;

use super::engine::ControlEngine;
use super::input::CommitPurpose;
use super::input::OperatorCall;
use super::input::OperatorReply;
use super::input::OperatorReplySender;
use guavavane_jobs::prelude::LedgerCommand;

impl ControlEngine {
    /// Reply that redirects to the leader, or says that none is known.
    fn redirect_reply(&self) -> OperatorReply {
        let leader: Option<SocketAddr> = self.known_leader();
        leader.map_or(OperatorReply::Unavailable, OperatorReply::Redirect)
    }

    pub(super) fn serve_operator(&mut self, call: OperatorCall, reply_sender: OperatorReplySender) {
        if self.leader_state.is_none() {
            return send_reply(reply_sender, self.redirect_reply());
        }
        match call {
            OperatorCall::ReadCatalog => {
                let text = self
                    .quorum
                    .read_local(|ledger| Arc::clone(ledger.catalog_text()));
                let reply = if text.is_empty() {
                    OperatorReply::Unavailable
                } else {
                    OperatorReply::Catalog(text)
                };
                send_reply(reply_sender, reply);
            }
            OperatorCall::PutCatalog { catalog, text } => {
                let held = self.quorum.read_local(|ledger| {
                    (!ledger.catalog_text().is_empty()).then_some(ledger.catalog().version)
                });
                tracing::info!(event = "catalog_offered", version = catalog.version, ?held);
                if held.is_some_and(|held| catalog.version <= held) {
                    return send_reply(reply_sender, OperatorReply::Done);
                }
                let catalog = *catalog;
                let command = LedgerCommand::PutCatalog { catalog, text };
                self.propose(command, CommitPurpose::Operator(reply_sender));
            }
            OperatorCall::SetExcluded {
                data_centre,
                excluded,
            } => {
                tracing::info!(event = "data_centre_order", %data_centre, excluded);
                let is_excluded = self
                    .quorum
                    .read_local(|ledger| ledger.is_excluded(&data_centre));
                if is_excluded == excluded {
                    return send_reply(reply_sender, OperatorReply::Done);
                }
                let command = LedgerCommand::SetExcluded {
                    data_centre,
                    excluded,
                };
                self.propose(command, CommitPurpose::Operator(reply_sender));
            }
        }
    }
}

/// Sends a reply.
pub(super) fn send_reply(reply_sender: OperatorReplySender, reply: OperatorReply) {
    // Sending fails only if the operator has disconnected.
    let _ = reply_sender.send(reply);
}
