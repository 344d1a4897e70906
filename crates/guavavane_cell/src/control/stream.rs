//! Accepts streams of replicas, entries and agents.
//!
//! All of them ping at short intervals. A stream on which nothing arrives is closed: its peer may
//! be gone, or its connection broken, without a reset.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use flume::Sender;
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::input::EngineInput;
use super::peer_format::OWN_FORMAT;
use super::session::SessionId;
use crate::message::FromControl;
use crate::message::ToControl;
use guavavane_quorum::prelude::PeerMessage;
use guavavane_transport::prelude::accept_streams;
use guavavane_transport::prelude::MessageStream;
use guavavane_transport::prelude::StreamReceiver;

/// Time without a message after which a stream is closed. By then its peer, which gets no answers to
/// its pings, has given up the stream as well.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Accepts streams until the process ends.
pub(super) async fn accept_sessions(
    listener: TcpListener,
    inbox: Sender<PeerMessage>,
    inputs: Sender<EngineInput>,
) {
    let last_id = Arc::new(AtomicU64::new(0));
    let serve = move |_, stream: MessageStream<FromControl, ToControl>| {
        let id = SessionId(last_id.fetch_add(1, Ordering::Relaxed));
        tokio::spawn(serve_stream(id, stream, inbox.clone(), inputs.clone()));
    };
    accept_streams(listener, serve).await;
}

/// Forwards messages of replicas to the replica's thread and all others to the engine.
async fn serve_stream(
    id: SessionId,
    stream: MessageStream<FromControl, ToControl>,
    inbox: Sender<PeerMessage>,
    inputs: Sender<EngineInput>,
) {
    let (sender, mut receiver) = stream;
    let mut in_session = false;
    // The queue of a peer that sends requests and reads no replies fills up, which ends its stream.
    while !sender.is_closed() {
        let Some(message) = receive_within(id, &mut receiver).await else {
            break;
        };
        match message {
            // A full inbox means a busy replica: Raft retransmits dropped messages.
            ToControl::Peer(message) => drop(inbox.try_send(*message)),
            ToControl::Ping { sent_at } if !in_session => {
                let pong = FromControl::Pong {
                    sent_at,
                    term: OWN_FORMAT,
                    members: Vec::new(),
                };
                sender.send(pong);
            }
            message => {
                in_session = true;
                let input = EngineInput::SessionMessage {
                    id,
                    sender: sender.clone(),
                    message,
                };
                if inputs.send(input).is_err() {
                    return;
                }
            }
        }
    }
    // Sending fails only after the engine has stopped.
    let _ = inputs.send(EngineInput::SessionClosed(id));
}

/// Waits for the next message; none if the stream has ended or its peer is silent.
async fn receive_within(
    id: SessionId,
    receiver: &mut StreamReceiver<ToControl>,
) -> Option<ToControl> {
    match timeout(SILENCE_TIMEOUT, receiver.receive()).await {
        Ok(message) => message,
        Err(_) => {
            tracing::warn!(event = "stream_closed", stream = id.0, reason = "silent");
            None
        }
    }
}
