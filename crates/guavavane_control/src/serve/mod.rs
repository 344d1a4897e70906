//! Serves the calls of other processes.
//!
//! One thread sorts the calls. Messages between replicas go straight to the log; all others go
//! to a bounded channel that a pool of threads empties, so that a slow commit never delays a
//! heartbeat.

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
use guavavane_protocol::replica::EnvelopeReceipt;
use guavavane_protocol::replica::JoinReply;
use guavavane_protocol::replica::JoinRequest;
use guavavane_protocol::replica::ReplicaEnvelope;
use guavavane_quorum::prelude::ChangeError;
use guavavane_quorum::prelude::PeerMessage;
use guavavane_quorum::prelude::ReplicaId;
use guavavane_transport::codec::decode_message;
use guavavane_transport::prelude::IncomingCall;

/// Calls that wait for a thread.
const CALLS_WAITING: usize = 4_096;

/// Starts the threads that serve calls.
///
/// # Errors
///
/// Fails if the system gives no thread.
pub fn start_serving(
    context: &Arc<ControlContext>,
    calls: Receiver<IncomingCall>,
    inbox: Sender<PeerMessage>,
) -> std::io::Result<()> {
    let (sender, waiting) = flume::bounded(CALLS_WAITING);
    thread::Builder::new()
        .name("sorter".to_owned())
        .spawn(move || sort_calls(&calls, &inbox, &sender))?;
    for index in 0..context.settings.threads {
        let context = Arc::clone(context);
        let waiting = waiting.clone();
        thread::Builder::new()
            .name(format!("call-{index}"))
            .spawn(move || waiting.iter().for_each(|call| serve_call(&context, call)))?;
    }
    Ok(())
}

fn sort_calls(
    calls: &Receiver<IncomingCall>,
    inbox: &Sender<PeerMessage>,
    waiting: &Sender<IncomingCall>,
) {
    for call in calls.iter() {
        if call.kind == CallKind::Replica {
            deliver_message(call, inbox);
        } else {
            // A dropped call fails at its sender, which tries again.
            let _ = waiting.try_send(call);
        }
    }
}

fn deliver_message(call: IncomingCall, inbox: &Sender<PeerMessage>) {
    let message = call
        .decode::<ReplicaEnvelope>()
        .and_then(|envelope| decode_message::<PeerMessage>(&envelope.message));
    match message {
        // The log repeats what does not fit.
        Ok(message) => drop(inbox.try_send(message)),
        Err(error) => {
            tracing::warn!(event = "replica_message_refused", remote = %call.remote, %error);
        }
    }
    send_reply::<ReplicaEnvelope>(call, &EnvelopeReceipt);
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
