//! Sends calls to other processes over one connection for each peer.
//!
//! A connection is opened when needed, checked by a ping when it is silent and dropped when a
//! ping is not answered, so that a peer behind a silent cut costs one time-out, not one for
//! each call. Connections to the same peer are opened one at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flume::Receiver;
use h2::client::SendRequest;
use h2::Ping;
use h2::PingPong;
use http::Method;
use http::Request;
use http::StatusCode;
use indexmap::IndexMap;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::codec;
use crate::codec::CodecError;
use crate::codec::FrameIdentity;
use crate::runtime::runtime;
use crate::server::read_body;
use crate::server::WINDOW_BYTES;
use guavavane_protocol::call::CallKind;
use guavavane_protocol::call::RemoteCall;

/// Time between two pings of a connection.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an unanswered ping closes the connection.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why a call has no reply.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The callee has not seen the call and never will.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The callee took the frame and refused it before any handler saw it.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The callee may have seen the call.
    #[error("no reply: {0}")]
    NoReply(String),
}

impl CallError {
    /// Whether no handler has seen the call and none ever will.
    pub fn is_unseen(&self) -> bool {
        !matches!(self, Self::NoReply(_))
    }
}

type PeerSlot = Arc<Mutex<Option<SendRequest<Bytes>>>>;

/// Client of all peers of a process.
#[derive(Clone, Debug)]
pub struct CallClient {
    identity: FrameIdentity,
    peers: Arc<std::sync::Mutex<IndexMap<SocketAddr, PeerSlot>>>,
}

impl CallClient {
    /// A client that sends frames with this identity.
    pub fn new(identity: FrameIdentity) -> Self {
        Self {
            identity,
            peers: Arc::default(),
        }
    }

    /// Calls the peer and waits for its reply, at most `limit`.
    pub fn call<C: RemoteCall>(
        &self,
        peer: SocketAddr,
        call: &C,
        limit: Duration,
    ) -> Result<C::Reply, CallError> {
        let receiver = self.start_call(peer, call, limit);
        match receiver.recv() {
            Ok(result) => result.and_then(|message| decode_reply::<C>(&message)),
            Err(_) => Err(CallError::NoReply("transport stopped".to_owned())),
        }
    }

    /// Calls the peer; the encoded reply arrives on the channel within `limit`.
    ///
    /// Decode it with [`decode_reply`].
    pub fn start_call<C: RemoteCall>(
        &self,
        peer: SocketAddr,
        call: &C,
        limit: Duration,
    ) -> Receiver<Result<Vec<u8>, CallError>> {
        let (sender, receiver) = flume::bounded(1);
        match codec::encode_message(call) {
            Ok(message) => {
                let client = self.clone();
                runtime().spawn(async move {
                    let result = client.exchange(peer, C::KIND, message, limit).await;
                    // The receiver is gone when the caller has stopped waiting.
                    let _ = sender.send(result);
                });
            }
            Err(error) => {
                // The channel has room for the one result.
                let _ = sender.send(Err(CallError::NotSent(error.to_string())));
            }
        }
        receiver
    }

    /// Calls the peer and hands the result to `finished`, which must not block.
    pub fn call_then<C: RemoteCall>(
        &self,
        peer: SocketAddr,
        call: &C,
        limit: Duration,
        finished: impl FnOnce(Result<C::Reply, CallError>) + Send + 'static,
    ) {
        let message = match codec::encode_message(call) {
            Ok(message) => message,
            Err(error) => {
                finished(Err(CallError::NotSent(error.to_string())));
                return;
            }
        };
        let client = self.clone();
        runtime().spawn(async move {
            let result = client.exchange(peer, C::KIND, message, limit).await;
            finished(result.and_then(|message| decode_reply::<C>(&message)));
        });
    }

    /// Closes the connection to a peer; the next call opens another.
    pub fn forget_peer(&self, peer: SocketAddr) {
        self.lock_peers().swap_remove(&peer);
    }

    fn lock_peers(&self) -> std::sync::MutexGuard<'_, IndexMap<SocketAddr, PeerSlot>> {
        self.peers
            .lock()
            .expect("no holder of the peer table panics")
    }

    fn peer_slot(&self, peer: SocketAddr) -> PeerSlot {
        Arc::clone(self.lock_peers().entry(peer).or_default())
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        kind: CallKind,
        message: Vec<u8>,
        limit: Duration,
    ) -> Result<Vec<u8>, CallError> {
        let mut sent = false;
        let work = self.exchange_once(peer, kind, message, &mut sent);
        match timeout(limit, work).await {
            Ok(result) => result,
            Err(_) if sent => Err(CallError::NoReply("timed out".to_owned())),
            Err(_) => Err(CallError::NotSent("timed out".to_owned())),
        }
    }

    async fn exchange_once(
        &self,
        peer: SocketAddr,
        kind: CallKind,
        message: Vec<u8>,
        sent: &mut bool,
    ) -> Result<Vec<u8>, CallError> {
        let frame = codec::frame_message(self.identity, kind, &message)
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let connection = self.ready_connection(peer).await?;
        let mut connection = connection;
        let (response, mut stream) = connection
            .send_request(rpc_request(peer), false)
            .map_err(not_sent)?;
        // From here on the peer may see the call even if this side sees an error.
        *sent = true;
        stream
            .send_data(Bytes::from(frame), true)
            .map_err(no_reply)?;
        let response = response.await.map_err(no_reply)?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(status_error(status));
        }
        let mut body = response.into_body();
        let bytes = read_body(&mut body).await.map_err(bad_reply)?;
        let frame = codec::check_frame(self.identity, &bytes).map_err(bad_reply)?;
        if frame.kind != kind {
            return Err(CallError::NoReply("reply of another kind".to_owned()));
        }
        Ok(frame.message)
    }

    async fn ready_connection(&self, peer: SocketAddr) -> Result<SendRequest<Bytes>, CallError> {
        let slot = self.peer_slot(peer);
        let mut held = slot.lock().await;
        if let Some(connection) = held.clone() {
            if let Ok(ready) = connection.ready().await {
                return Ok(ready);
            }
            *held = None;
        }
        let connection = open_connection(peer).await?;
        *held = Some(connection.clone());
        connection.ready().await.map_err(not_sent)
    }
}

/// Decodes the reply to a call of type `C`.
pub fn decode_reply<C: RemoteCall>(message: &[u8]) -> Result<C::Reply, CallError> {
    codec::decode_message(message).map_err(bad_reply)
}

/// A refusal that is given before a handler sees the call is a proof; others are not.
fn status_error(status: StatusCode) -> CallError {
    match status {
        StatusCode::BAD_REQUEST | StatusCode::SERVICE_UNAVAILABLE => {
            CallError::Refused(status.as_u16())
        }
        other => CallError::NoReply(format!("status {other}")),
    }
}

fn not_sent(error: h2::Error) -> CallError {
    CallError::NotSent(error.to_string())
}

fn no_reply(error: h2::Error) -> CallError {
    CallError::NoReply(error.to_string())
}

fn bad_reply(error: CodecError) -> CallError {
    CallError::NoReply(error.to_string())
}

fn rpc_request(peer: SocketAddr) -> Request<()> {
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{peer}/"))
        .body(())
        .expect("an address makes a valid URI")
}

async fn open_connection(peer: SocketAddr) -> Result<SendRequest<Bytes>, CallError> {
    let socket = match timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) => return Err(CallError::NotSent(error.to_string())),
        Err(_) => return Err(CallError::NotSent("connect timed out".to_owned())),
    };
    // Small frames must not wait for more data; a failure only costs latency.
    let _ = socket.set_nodelay(true);
    let handshake = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(socket);
    let (sender, mut connection) = match timeout(CONNECT_TIMEOUT, handshake).await {
        Ok(result) => result.map_err(not_sent)?,
        Err(_) => return Err(CallError::NotSent("handshake timed out".to_owned())),
    };
    let pings = connection
        .ping_pong()
        .expect("the ping handle is taken once");
    tokio::spawn(async move {
        // Whichever ends first closes the connection and fails its open calls.
        tokio::select! {
            _ = connection => {}
            () = keep_alive(pings) => {}
        }
    });
    Ok(sender)
}

/// Returns when a ping is not answered in time.
async fn keep_alive(mut pings: PingPong) {
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        match timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            _ => return,
        }
    }
}
