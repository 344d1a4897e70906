//! Serves changes of the claims of idempotency keys.

use crate::context::ControlContext;
use crate::state::command::ClaimCommand;
use crate::state::command::ControlCommand;
use crate::state::command::ControlOutcome;
use guavavane_protocol::claim::ClaimReply;
use guavavane_protocol::claim::ClaimRequest;
use guavavane_protocol::replica::ControlRefusal;

pub(super) fn serve_claim(context: &ControlContext, request: ClaimRequest) -> ClaimReply {
    let command = ClaimCommand {
        request,
        limits: context.settings.claim_limits,
    };
    match context.propose(ControlCommand::ChangeClaim(command)) {
        Ok(ControlOutcome::Claim(outcome)) => ClaimReply::Outcome(outcome),
        Ok(_) => ClaimReply::Refused(ControlRefusal::Unavailable),
        Err(refusal) => ClaimReply::Refused(refusal),
    }
}
