//! Handles the calls of operators.

use std::net::SocketAddr;
use std::sync::Arc;

use super::command_size::encoded_bytes;
use super::engine::ControlEngine;
use super::input::CommitPurpose;
use super::input::CommitResult;
use super::input::OperatorCall;
use super::input::OperatorReply;
use super::input::OperatorReplySender;
use crate::command_limit::CatalogRefusal;
use crate::metric;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_quorum::prelude::ProposeError;
use guavavane_transport::prelude::IntakeGate;

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
                self.propose_catalog(LedgerCommand::PutCatalog { catalog, text }, reply_sender);
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

    /// Proposes a configuration, or refuses it at once if the log can't take it.
    fn propose_catalog(&mut self, command: LedgerCommand, reply_sender: OperatorReplySender) {
        let bytes = encoded_bytes(&command);
        let refusal = match self.catalog_admission.admit(bytes) {
            Ok(()) => {
                let purpose = CommitPurpose::PutCatalog {
                    reply_sender,
                    bytes,
                };
                return self.propose(command, purpose);
            }
            Err(refusal) => refusal,
        };
        metric::count_event("order_refused", refusal.name());
        if let Some(suppressed) = IntakeGate::of_process().admit_log_line() {
            tracing::warn!(event = "order_refused", bytes, ?refusal, suppressed);
        }
        let reply = match refusal {
            CatalogRefusal::TooLarge { bytes_max } => OperatorReply::TooLarge { bytes, bytes_max },
            CatalogRefusal::Busy { .. } => OperatorReply::Busy,
        };
        send_reply(reply_sender, reply);
    }

    /// Answers an order whose proposal has a result.
    pub(super) fn finish_order(&mut self, reply_sender: OperatorReplySender, result: CommitResult) {
        let Err(error) = result else {
            send_reply(reply_sender, OperatorReply::Done);
            self.publish_changed_limits();
            return self.request_pass();
        };
        metric::count_event("order_refused", "not_committed");
        tracing::info!(event = "order_not_committed", %error);
        let bytes_max = self.catalog_admission.limit().bytes_max();
        let reply = match error {
            ProposeError::NotLeader { .. } => self.redirect_reply(),
            ProposeError::Overloaded => OperatorReply::Busy,
            ProposeError::TooLarge { bytes } => OperatorReply::TooLarge { bytes, bytes_max },
            ProposeError::Unknown | ProposeError::StorageFailed | ProposeError::Stopped => {
                OperatorReply::Unavailable
            }
        };
        send_reply(reply_sender, reply);
    }
}

/// Sends a reply.
pub(super) fn send_reply(reply_sender: OperatorReplySender, reply: OperatorReply) {
    // Sending fails only if the operator has disconnected.
    let _ = reply_sender.send(reply);
}
