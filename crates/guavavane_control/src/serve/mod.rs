//! Serves the calls of agents, entries, operators and other replicas.
//!
//! One thread routes the calls. Messages between replicas go directly to the replicated log; all
//! other calls go to a bounded queue that a thread pool serves, so that a slow commit never delays
//! a heartbeat of the log.

mod claim;
mod entry;
mod operator;
mod worker;

use std::sync::Arc;
use std::thread;

use flume::Receiver;
use flume::Sender;

use crate::context::ControlContext;
use crate::context::QUORUM_TIMEOUT;
use guavavane_protocol::call::CallKind;
use guavavane_protocol::call::RemoteCall;
use guavavane_protocol::replica::EnvelopeAck;
use guavavane_protocol::replica::JoinReply;
use guavavane_protocol::replica::JoinRequest;
use guavavane_protocol::replica::ReplicaEnvelope;
use guavavane_quorum::prelude::ChangeError;
use guavavane_quorum::prelude::PeerMessage;
use guavavane_quorum::prelude::ReplicaId;
use guavavane_transport::codec::decode_message;
use guavavane_transport::prelude::IncomingCall;

/// Maximum number of calls that wait for a thread of the pool.
const QUEUED_CALLS_MAX: usize = 4_096;

/// Starts the routing thread and the thread pool.
///
/// # Errors
///
/// Returns an error if a thread cannot be spawned.
pub fn start_serving(
    context: &Arc<ControlContext>,
    calls: Receiver<IncomingCall>,
    inbox: Sender<PeerMessage>,
) -> std::io::Result<()> {
    let (sender, queue) = flume::bounded(QUEUED_CALLS_MAX);
    thread::Builder::new()
        .name("sorter".to_owned())
        .spawn(move || route_calls(&calls, &inbox, &sender))?;
    for index in 0..context.settings.threads {
        let context = Arc::clone(context);
        let queue = queue.clone();
        thread::Builder::new()
            .name(format!("call-{index}"))
            .spawn(move || queue.iter().for_each(|call| serve_call(&context, call)))?;
    }
    Ok(())
}

fn route_calls(
    calls: &Receiver<IncomingCall>,
    inbox: &Sender<PeerMessage>,
    queue: &Sender<IncomingCall>,
) {
    for call in calls.iter() {
        if call.kind == CallKind::Replica {
            deliver_message(call, inbox);
        } else {
            // If the queue is full the call is dropped; it fails at the sender, which retries it.
            let _ = queue.try_send(call);
        }
    }
}

fn deliver_message(call: IncomingCall, inbox: &Sender<PeerMessage>) {
    let message = call
        .decode::<ReplicaEnvelope>()
        .and_then(|envelope| decode_message::<PeerMessage>(&envelope.message));
    match message {
        // If the inbox is full the message is dropped; the log sends it again.
        Ok(message) => drop(inbox.try_send(message)),
        Err(error) => {
            tracing::warn!(event = "replica_message_refused", remote = %call.remote, %error);
        }
    }
    send_reply::<ReplicaEnvelope>(call, &EnvelopeAck);
}

fn serve_call(context: &ControlContext, call: IncomingCall) {
    match call.kind {
        CallKind::WorkerPoll => answer(call, |poll| worker::serve_poll(context, poll)),
        CallKind::EntryPoll => answer(call, |poll| entry::serve_poll(context, &poll)),
        CallKind::Claim => answer(call, |claim| claim::serve_claim(context, claim)),
        CallKind::Operate => answer(call, |command| operator::serve_command(context, command)),
        CallKind::Join => answer(call, |join| serve_join(context, join)),
        CallKind::Dispatch | CallKind::Revoke | CallKind::Announce | CallKind::Replica => {
            tracing::warn!(event = "call_refused", kind = ?call.kind, remote = %call.remote);
        }
    }
}

fn answer<C: RemoteCall>(call: IncomingCall, serve: impl FnOnce(C) -> C::Reply) {
    match call.decode::<C>() {
        Ok(message) => {
            let reply = serve(message);
            send_reply::<C>(call, &reply);
        }
        Err(error) => {
            tracing::warn!(event = "call_malformed", kind = ?call.kind, remote = %call.remote, %error);
        }
    }
}

fn send_reply<C: RemoteCall>(call: IncomingCall, reply: &C::Reply) {
    if let Err(error) = call.reply.send::<C>(reply) {
        tracing::error!(event = "reply_failed", kind = ?C::KIND, %error);
    }
}

fn serve_join(context: &ControlContext, join: JoinRequest) -> JoinReply {
    let id = ReplicaId(join.replica);
    let result = context.quorum.add_learner(id, join.address, QUORUM_TIMEOUT);
    tracing::info!(event = "replica_join", replica = %id, address = %join.address, accepted = result.is_ok());
    match result {
        Ok(()) => JoinReply::Accepted,
        Err(ChangeError::NotLeader { .. }) => JoinReply::Refused(context.not_leader()),
        Err(_) => JoinReply::Refused(guavavane_protocol::replica::ControlRefusal::Overloaded),
    }
}
