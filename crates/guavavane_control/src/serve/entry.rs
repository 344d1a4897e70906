//! Serves the polls of entries.

use crate::context::ControlContext;
use crate::state::ControlState;
use guavavane_protocol::poll::EntryPoll;
use guavavane_protocol::poll::EntryPollReply;
use guavavane_protocol::poll::RoutingUpdate;
use guavavane_protocol::replica::ControlRefusal;

/// Time that an entry waits until its next poll, in milliseconds.
const POLL_INTERVAL_MS: u32 = 500;

pub(super) fn serve_poll(context: &ControlContext, poll: &EntryPoll) -> EntryPollReply {
    let now = context.now();
    let recorded = context.with_leader_state(|leader| leader.entries.record_poll(now, poll));
    match recorded {
        None => return EntryPollReply::Refused(context.not_leader()),
        Some(false) => return EntryPollReply::Refused(ControlRefusal::Overloaded),
        Some(true) => {}
    }
    let replicas = context
        .quorum
        .leadership()
        .members
        .iter()
        .map(|member| member.address)
        .collect();
    let view = context.read(|state| entry_view(state, poll, replicas));
    match view {
        Ok(view) => EntryPollReply::View(view),
        Err(refusal) => EntryPollReply::Refused(refusal),
    }
}

fn entry_view(
    state: &ControlState,
    poll: &EntryPoll,
    replicas: Vec<std::net::SocketAddr>,
) -> RoutingUpdate {
    RoutingUpdate {
        documents: state.documents().newer_than(&poll.documents),
        data_centres: state.data_centres().statuses(),
        replicas,
        next_poll_ms: POLL_INTERVAL_MS,
    }
}
