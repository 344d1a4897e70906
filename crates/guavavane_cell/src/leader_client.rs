//! Client that keeps a session with the leader for an entry or an agent.
//!
//! The client tries the known control processes until one of them leads, and pings it. It
//! closes the session when the answers stop, since a broken connection may deliver nothing
//! without being closed. The owner receives all messages as [`SessionEvent`]s.

use std::net::SocketAddr;
use std::time::Duration;

use flume::Sender;
use indexmap::IndexSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::message::FromControl;
use crate::message::ToControl;
use crate::metric;
use crate::seeds::SeedAddresses;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;
use guavavane_transport::prelude::open_stream;
use guavavane_transport::prelude::StreamReceiver;
use guavavane_transport::prelude::StreamSender;

/// Longest wait for a connection: a VM that is down does not refuse it.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two pings.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a message after which a session is closed: three pings and their round trip.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Backoff after all known control processes have been tried.
const RETRY_BACKOFF: Duration = Duration::from_millis(150);

/// Gauge that is 1 while a session with the leader is open, and 0 otherwise.
const FOUND_GAUGE: &str = "control_found";

/// Events of the session with the leader.
pub enum SessionEvent {
    /// The first answer to a ping has arrived: the peer leads and the session is open.
    Opened(StreamSender<ToControl>),
    /// A ping was sent on the open session; emitted only by [`LeaderClient::with_ping_events`] clients.
    PingSent {
        /// Time at which the ping was sent, on this process's clock.
        sent_at: BootTime,
    },
    /// The leader answered a ping.
    Pong {
        /// Time at which the ping was sent, on this process's clock.
        sent_at: BootTime,
        /// Term of the leader.
        term: u64,
    },
    /// Any other message from the leader.
    Message(FromControl),
    /// The session is closed; messages sent on it may be lost.
    Closed,
}

/// Client that opens a new session whenever the current one closes.
pub struct LeaderClient {
    /// First message of each session; tells the leader who connects.
    pub hello: ToControl,
    /// Seeds, which are read again each time that all known addresses have been tried in vain.
    pub seeds: SeedAddresses,
    /// Known addresses of control processes: the seeds, the members that the latest leader has named, and
    /// those that other processes have named since.
    pub control_addresses: IndexSet<SocketAddr>,
    /// Leader that the last redirect named; it is tried first.
    pub redirect: Option<SocketAddr>,
    /// Channel to the owner; the client stops when its receiver is dropped.
    pub events: Sender<SessionEvent>,
    /// Whether [`SessionEvent::PingSent`] is emitted.
    pub reports_pings: bool,
}

impl LeaderClient {
    /// Creates a client that contacts these addresses first.
    pub fn new(hello: ToControl, seeds: SeedAddresses, events: Sender<SessionEvent>) -> Self {
        Self {
            hello,
            control_addresses: seeds.addresses().into_iter().collect(),
            seeds,
            redirect: None,
            events,
            reports_pings: false,
        }
    }

    /// Emits [`SessionEvent::PingSent`] for each ping on the open session. It is off for agents: they don't
    /// use the event, and each event wakes their loop.
    #[must_use]
    pub fn with_ping_events(mut self) -> Self {
        self.reports_pings = true;
        self
    }

    /// Runs until the owner drops its receiver.
    pub async fn run(mut self) {
        metric::set_gauge(FOUND_GAUGE, 0);
        let mut tried = IndexSet::new();
        while !self.events.is_disconnected() {
            let Some(peer) = self.choose_peer(&mut tried) else {
                tried.clear();
                self.control_addresses.extend(self.seeds.addresses());
                sleep(RETRY_BACKOFF).await;
                continue;
            };
            match open_stream(peer, OPEN_TIMEOUT).await {
                Ok((sender, receiver)) => {
                    let led = self.run_session(peer, sender, receiver).await;
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

    fn choose_peer(&mut self, tried: &mut IndexSet<SocketAddr>) -> Option<SocketAddr> {
        let redirect = self.redirect.take().filter(|peer| !tried.contains(peer));
        let offset = rand::random_range(0..self.control_addresses.len().max(1));
        let others = self
            .control_addresses
            .iter()
            .cycle()
            .skip(offset)
            .take(self.control_addresses.len());
        let peer = redirect.or_else(|| others.copied().find(|peer| !tried.contains(peer)))?;
        tried.insert(peer);
        Some(peer)
    }

    /// Runs one session and returns whether the peer was the leader.
    async fn run_session(
        &mut self,
        peer: SocketAddr,
        sender: StreamSender<ToControl>,
        mut receiver: StreamReceiver<FromControl>,
    ) -> bool {
        sender.send(self.hello.clone());
        let mut led = false;
        let mut last_heard_at = BootClock.now();
        let mut next_ping = last_heard_at;
        while !self.events.is_disconnected() {
            let now = BootClock.now();
            if now >= next_ping {
                sender.send(ToControl::Ping { sent_at: now });
                if led && self.reports_pings {
                    self.emit(SessionEvent::PingSent { sent_at: now });
                }
                next_ping = now + PING_INTERVAL;
            }
            if now.saturating_since(last_heard_at) > SILENCE_TIMEOUT {
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
            last_heard_at = BootClock.now();
            match message {
                FromControl::Redirect { leader, members } => {
                    self.add_members(&members);
                    self.redirect = leader;
                    log_redirect(peer, leader, led);
                    break;
                }
                FromControl::Pong {
                    sent_at,
                    term,
                    members,
                } => {
                    if !led {
                        led = true;
                        metric::set_gauge(FOUND_GAUGE, 1);
                        tracing::info!(event = "control_found", %peer, term);
                        self.emit(SessionEvent::Opened(sender.clone()));
                    }
                    self.replace_addresses(&members);
                    self.emit(SessionEvent::Pong { sent_at, term });
                }
                other => self.emit(SessionEvent::Message(other)),
            }
        }
        if led {
            metric::set_gauge(FOUND_GAUGE, 0);
            self.emit(SessionEvent::Closed);
        }
        led
    }

    fn emit(&self, event: SessionEvent) {
        // Sending fails only if the owner is gone, which ends the loop in `run`.
        let _ = self.events.send(event);
    }

    /// Replaces the known addresses by the seeds and the members that the leader names. Each search for
    /// the leader would wait for former members that are gone.
    fn replace_addresses(&mut self, members: &[SocketAddr]) {
        let seeds = self.seeds.addresses();
        self.control_addresses = members.iter().copied().chain(seeds).collect();
    }

    /// Adds the members that a replica names. It may lag behind its group, so none is removed.
    fn add_members(&mut self, members: &[SocketAddr]) {
        self.control_addresses.extend(members.iter().copied());
    }
}

/// Logs a redirect: after an answered ping, the peer has lost the leadership.
fn log_redirect(peer: SocketAddr, leader: Option<SocketAddr>, led: bool) {
    if led {
        tracing::warn!(event = "control_lost", %peer, ?leader, reason = "redirected");
    } else {
        tracing::debug!(event = "redirected", %peer, ?leader);
    }
}
