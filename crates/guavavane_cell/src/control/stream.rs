//! Accepts streams of replicas, entries and agents.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use flume::Sender;
use tokio::net::TcpListener;

use super::engine::EngineInput;
use super::session::SessionId;
use crate::message::FromControl;
use crate::message::ToControl;
use guavavane_quorum::prelude::PeerMessage;
use guavavane_transport::prelude::accept_streams;
use guavavane_transport::prelude::MessageStream;

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
    while let Some(message) = receiver.receive().await {
        match message {
            // A full inbox means a busy replica: Raft retransmits dropped messages.
            ToControl::Peer(message) => drop(inbox.try_send(*message)),
            ToControl::Ping { sent_at } if !in_session => {
                let pong = FromControl::Pong {
                    sent_at,
                    term: 0,
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
