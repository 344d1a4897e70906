//! Session of an entry or an agent with the leader.
//!
//! The link tries the control processes that it knows until one leads, pings it, and drops
//! the session when pongs stay away, since a connection may fall silent without an end. What
//! it hears goes to the owner as [`LinkEvent`]s.

use std::net::SocketAddr;
use std::time::Duration;

use flume::Sender;
use indexmap::IndexSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::message::FromControl;
use crate::message::ToControl;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;
use guavavane_transport::prelude::open_stream;
use guavavane_transport::prelude::StreamReceiver;
use guavavane_transport::prelude::StreamSender;

/// Longest wait for a connection: a VM that is gone does not answer.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two pings.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Silence after which a session is dropped: three pings and their way.
const SILENCE_MAX: Duration = Duration::from_millis(1_000);
/// Pause after all known control processes were tried.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// What happens on the link.
pub enum LinkEvent {
    /// A control process took the connection; it leads once its first pong has come.
    Opened(StreamSender<ToControl>),
    /// The leader answered a ping that was sent at this time, in this term.
    Pong {
        /// When the ping was sent.
        sent_at: BootTime,
        /// Term of the leader.
        term: u64,
    },
    /// Another message of the leader.
    Message(FromControl),
    /// The session has ended.
    Closed,
}

/// Keeps a session with the leader for ever.
pub struct LeaderLink {
    /// First message of each session.
    pub hello: ToControl,
    /// Addresses of control processes, updated by what they say.
    pub known: IndexSet<SocketAddr>,
    /// Address that is tried next.
    pub next: Option<SocketAddr>,
    /// Where events go.
    pub events: Sender<LinkEvent>,
}

impl LeaderLink {
    /// A link that starts from these addresses.
    pub fn new(hello: ToControl, seeds: Vec<SocketAddr>, events: Sender<LinkEvent>) -> Self {
        Self {
            hello,
            known: seeds.into_iter().collect(),
            next: None,
            events,
        }
    }

    /// Runs until the owner is gone.
    pub async fn run(mut self) {
        let mut tried = IndexSet::new();
        while !self.events.is_disconnected() {
            let Some(peer) = self.choose(&mut tried) else {
                tried.clear();
                sleep(RETRY_PAUSE).await;
                continue;
            };
            match open_stream(peer, OPEN_TIMEOUT).await {
                Ok((sender, receiver)) => {
                    let led = self.serve(peer, sender, receiver).await;
                    if led {
                        tried.clear();
                    }
                }
                Err(error) => {
                    tracing::debug!(event = "control_unreachable", %peer, %error);
                }
            }
        }
    }

    fn choose(&mut self, tried: &mut IndexSet<SocketAddr>) -> Option<SocketAddr> {
        let hinted = self.next.take().filter(|peer| !tried.contains(peer));
        let offset = rand::random_range(0..self.known.len().max(1));
        let others = self
            .known
            .iter()
            .cycle()
            .skip(offset)
            .take(self.known.len());
        let peer = hinted.or_else(|| others.copied().find(|peer| !tried.contains(peer)))?;
        tried.insert(peer);
        Some(peer)
    }

    /// Serves one session; returns whether the peer led.
    async fn serve(
        &mut self,
        peer: SocketAddr,
        sender: StreamSender<ToControl>,
        mut receiver: StreamReceiver<FromControl>,
    ) -> bool {
        sender.send(self.hello.clone());
        let mut led = false;
        let mut heard_at = BootClock.now();
        let mut next_ping = heard_at;
        loop {
            let now = BootClock.now();
            if now >= next_ping {
                sender.send(ToControl::Ping { sent_at: now });
                next_ping = now + PING_INTERVAL;
            }
            if now.saturating_since(heard_at) > SILENCE_MAX {
                tracing::warn!(event = "control_lost", %peer, reason = "silent");
                break;
            }
            let wait = next_ping.saturating_since(now);
            let message = match timeout(wait, receiver.receive()).await {
                Err(_) => continue,
                Ok(None) => {
                    tracing::info!(event = "control_lost", %peer, reason = "closed", led);
                    break;
                }
                Ok(Some(message)) => message,
            };
            heard_at = BootClock.now();
            match message {
                FromControl::Redirect { leader, members } => {
                    self.learn(&members);
                    self.next = leader;
                    tracing::debug!(event = "redirected", %peer, ?leader);
                    break;
                }
                FromControl::Pong {
                    sent_at,
                    term,
                    members,
                } => {
                    if !led {
                        led = true;
                        tracing::info!(event = "control_found", %peer, term);
                        self.tell(LinkEvent::Opened(sender.clone()));
                    }
                    self.learn(&members);
                    self.tell(LinkEvent::Pong { sent_at, term });
                }
                other => self.tell(LinkEvent::Message(other)),
            }
        }
        if led {
            self.tell(LinkEvent::Closed);
        }
        led
    }

    fn tell(&self, event: LinkEvent) {
        // The owner is gone: the loop in `run` ends.
        let _ = self.events.send(event);
    }

    /// Adds addresses; those of members that are gone are tried last and cost little.
    fn learn(&mut self, members: &[SocketAddr]) {
        self.known.extend(members.iter().copied());
    }
}
