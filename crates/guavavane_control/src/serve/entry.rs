//! Polls of entries.

use crate::context::ControlContext;
use crate::state::ControlState;
use guavavane_protocol::poll::EntryPoll;
use guavavane_protocol::poll::EntryPollReply;
use guavavane_protocol::poll::EntryView;
use guavavane_protocol::replica::ControlRefusal;

/// Time between two polls of an entry, in milliseconds.
const NEXT_POLL_MS: u32 = 500;

pub(super) fn serve_poll(context: &ControlContext, poll: &EntryPoll) -> EntryPollReply {
    let now = context.now();
    let kept = context.with_memory(|memory| memory.entries.observe(now, poll));
    match kept {
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
) -> EntryView {
    EntryView {
        documents: state.documents().newer_than(&poll.documents),
        data_centres: state.data_centres().statuses(),
        replicas,
        next_poll_ms: NEXT_POLL_MS,
    }
}
