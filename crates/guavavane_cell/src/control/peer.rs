//! Sends the replica's messages to its peers.
//!
//! Each peer has its own task and stream. A stream that stops answering pings is replaced,
//! since a broken connection may deliver nothing without being closed. Messages are dropped while
//! no stream is open, because Raft retransmits whatever was lost.

use std::net::SocketAddr;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use indexmap::IndexMap;
use tokio::time::timeout;

use super::peer_format::PeerFormats;
use crate::message::FromControl;
use crate::message::ToControl;
use guavavane_model::prelude::BootClock;
use guavavane_quorum::prelude::OutgoingMessage;
use guavavane_quorum::prelude::PeerMessage;
use guavavane_transport::prelude::open_stream;
use guavavane_transport::prelude::StreamReceiver;
use guavavane_transport::prelude::StreamSender;

/// Capacity of the queue of messages to one peer.
const PEER_QUEUE_MAX_MESSAGES: usize = 1_024;
/// Longest wait for a connection.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two pings.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a message after which a stream is replaced; shorter than an election can take.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Forwards each message to the task of its peer until the replica stops.
pub(super) async fn send_messages(outgoing: Receiver<OutgoingMessage>, formats: PeerFormats) {
    let mut peers: IndexMap<SocketAddr, Sender<PeerMessage>> = IndexMap::new();
    while let Ok(message) = outgoing.recv_async().await {
        let queue = peers.entry(message.address).or_insert_with(|| {
            let (sender, queue) = flume::bounded(PEER_QUEUE_MAX_MESSAGES);
            tokio::spawn(run_peer(message.address, queue, formats.clone()));
            sender
        });
        // A full queue is taken for an unreachable peer.
        let _ = queue.try_send(message.message);
    }
}

async fn run_peer(peer: SocketAddr, queue: Receiver<PeerMessage>, formats: PeerFormats) {
    while let Ok(first_message) = queue.recv_async().await {
        match open_stream(peer, OPEN_TIMEOUT).await {
            Ok((sender, receiver)) => {
                tracing::info!(event = "peer_connected", %peer);
                formats.forget(peer);
                sender.send(ToControl::Peer(Box::new(first_message)));
                serve_stream(peer, &queue, &sender, receiver, &formats).await;
            }
            Err(error) => {
                tracing::debug!(event = "peer_unreachable", %peer, %error);
                queue.drain();
            }
        }
    }
}

async fn serve_stream(
    peer: SocketAddr,
    queue: &Receiver<PeerMessage>,
    sender: &StreamSender<ToControl>,
    mut receiver: StreamReceiver<FromControl>,
    formats: &PeerFormats,
) {
    let mut last_heard_at = BootClock.now();
    let mut last_pinged_at = last_heard_at;
    loop {
        let now = BootClock.now();
        if now.saturating_since(last_pinged_at) >= PING_INTERVAL {
            sender.send(ToControl::Ping { sent_at: now });
            last_pinged_at = now;
        }
        if now.saturating_since(last_heard_at) > SILENCE_TIMEOUT {
            tracing::warn!(event = "peer_lost", %peer, reason = "silent");
            return;
        }
        tokio::select! {
            message = queue.recv_async() => match message {
                Ok(message) => {
                    if !sender.send(ToControl::Peer(Box::new(message))) {
                        tracing::warn!(event = "peer_lost", %peer, reason = "closed");
                        return;
                    }
                }
                Err(_) => return,
            },
            received = timeout(PING_INTERVAL, receiver.receive()) => match received {
                Ok(Some(message)) => {
                    last_heard_at = BootClock.now();
                    if let FromControl::Pong { term: format, .. } = message {
                        formats.record(peer, format);
                    }
                }
                Ok(None) => {
                    tracing::warn!(event = "peer_lost", %peer, reason = "closed");
                    return;
                }
                Err(_) => {}
            },
        }
    }
}
