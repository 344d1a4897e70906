//! Sends calls to other processes over one shared HTTP/2 connection per peer.
//!
//! The first call to a peer opens its connection. Every connection is pinged periodically and
//! closed when a ping is not answered in time. When a network partition drops packets silently,
//! the ping timeout thus fails all open calls of the connection at once, and later calls do not
//! each wait on that connection until their own timeout. A lock per peer prevents concurrent
//! connection attempts to the same peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flume::Receiver;
use h2::client::SendRequest;
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
use crate::ping::ping_until_failure;
use crate::runtime::runtime;
use crate::server::read_body;
use crate::server::WINDOW_BYTES;
use guavavane_protocol::call::CallKind;
use guavavane_protocol::call::RemoteCall;

/// Time from the answer to a ping to the next ping.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time for each of the TCP connect and the HTTP/2 handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Error of a call that has no reply.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The call was not sent: the callee has not received it and never will.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The callee refused the frame, with this HTTP status, before any handler received it.
    #[error("refused with HTTP status {0}")]
    Refused(u16),
    /// The call was sent and no valid reply arrived: a handler may have received it.
    #[error("no reply: {0}")]
    NoReply(String),
}

impl CallError {
    /// Whether no handler has received the call and none ever will.
    pub fn is_unprocessed(&self) -> bool {
        !matches!(self, Self::NoReply(_))
    }
}

/// Connection to one peer, if open; its lock is held while a connection is opened.
type PeerConnection = Arc<Mutex<Option<SendRequest<Bytes>>>>;

/// Sends calls to any number of peers; clones share their connections.
#[derive(Clone, Debug)]
pub struct CallClient {
    identity: FrameIdentity,
    peers: Arc<std::sync::Mutex<IndexMap<SocketAddr, PeerConnection>>>,
}

impl CallClient {
    /// Creates a client whose frames carry `identity`.
    pub fn new(identity: FrameIdentity) -> Self {
        Self {
            identity,
            peers: Arc::default(),
        }
    }

    /// Calls the peer and blocks until its reply arrives, at most for `call_timeout`.
    pub fn call<C: RemoteCall>(
        &self,
        peer: SocketAddr,
        call: &C,
        call_timeout: Duration,
    ) -> Result<C::Reply, CallError> {
        let receiver = self.call_async(peer, call, call_timeout);
        match receiver.recv() {
            Ok(result) => result.and_then(|message| decode_reply::<C>(&message)),
            Err(_) => Err(CallError::NoReply("transport stopped".to_owned())),
        }
    }

    /// Calls the peer without blocking.
    ///
    /// The encoded reply or an error arrives on the returned channel within `call_timeout`;
    /// [`decode_reply`] decodes the reply.
    pub fn call_async<C: RemoteCall>(
        &self,
        peer: SocketAddr,
        call: &C,
        call_timeout: Duration,
    ) -> Receiver<Result<Vec<u8>, CallError>> {
        let (sender, receiver) = flume::bounded(1);
        match codec::encode_message(call) {
            Ok(message) => {
                let client = self.clone();
                runtime().spawn(async move {
                    let result = client
                        .exchange_within(peer, C::KIND, message, call_timeout)
                        .await;
                    // Fails if the receiver was dropped: the result is no longer wanted.
                    let _ = sender.send(result);
                });
            }
            Err(error) => {
                // The channel has capacity for the only result, and its receiver is alive.
                let _ = sender.send(Err(CallError::NotSent(error.to_string())));
            }
        }
        receiver
    }

    /// Calls the peer and passes the result to `on_result`, within `call_timeout`.
    ///
    /// `on_result` must not block: it runs on the thread of the transport, or on the thread of
    /// the caller if the call cannot be encoded.
    pub fn call_with_callback<C: RemoteCall>(
        &self,
        peer: SocketAddr,
        call: &C,
        call_timeout: Duration,
        on_result: impl FnOnce(Result<C::Reply, CallError>) + Send + 'static,
    ) {
        let message = match codec::encode_message(call) {
            Ok(message) => message,
            Err(error) => {
                on_result(Err(CallError::NotSent(error.to_string())));
                return;
            }
        };
        let client = self.clone();
        runtime().spawn(async move {
            let result = client
                .exchange_within(peer, C::KIND, message, call_timeout)
                .await;
            on_result(result.and_then(|message| decode_reply::<C>(&message)));
        });
    }

    /// Drops the connection to a peer, which closes after its open calls.
    ///
    /// The next call to the peer opens a new connection.
    pub fn disconnect_peer(&self, peer: SocketAddr) {
        self.lock_peers().swap_remove(&peer);
    }

    fn lock_peers(&self) -> std::sync::MutexGuard<'_, IndexMap<SocketAddr, PeerConnection>> {
        self.peers
            .lock()
            .expect("no thread panics while it holds the lock of the peers")
    }

    fn peer_connection(&self, peer: SocketAddr) -> PeerConnection {
        Arc::clone(self.lock_peers().entry(peer).or_default())
    }

    async fn exchange_within(
        &self,
        peer: SocketAddr,
        kind: CallKind,
        message: Vec<u8>,
        call_timeout: Duration,
    ) -> Result<Vec<u8>, CallError> {
        let mut sent = false;
        let reply = self.exchange(peer, kind, message, &mut sent);
        match timeout(call_timeout, reply).await {
            Ok(result) => result,
            Err(_) if sent => Err(CallError::NoReply("timed out".to_owned())),
            Err(_) => Err(CallError::NotSent("timed out".to_owned())),
        }
    }

    /// Sends a call and returns the encoded reply.
    ///
    /// Sets `sent` before the frame can reach the peer. The flag outlives the future, so that its
    /// value is known also after a timeout.
    async fn exchange(
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
            .send_request(call_request(peer), false)
            .map_err(not_sent)?;
        // From here on the peer may receive the call even if this side gets an error.
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
        let bytes = read_body(&mut body).await.map_err(invalid_reply)?;
        let frame = codec::check_frame(self.identity, &bytes).map_err(invalid_reply)?;
        if frame.kind != kind {
            return Err(CallError::NoReply(
                "reply to another kind of call".to_owned(),
            ));
        }
        Ok(frame.message)
    }

    /// Returns a connection that can take a new stream, and opens one if needed.
    async fn ready_connection(&self, peer: SocketAddr) -> Result<SendRequest<Bytes>, CallError> {
        let shared = self.peer_connection(peer);
        let mut current = shared.lock().await;
        if let Some(connection) = current.clone() {
            if let Ok(ready) = connection.ready().await {
                return Ok(ready);
            }
            *current = None;
        }
        let connection = open_connection(peer).await?;
        *current = Some(connection.clone());
        connection.ready().await.map_err(not_sent)
    }
}

/// Decodes the reply to a call of type `C`.
pub fn decode_reply<C: RemoteCall>(message: &[u8]) -> Result<C::Reply, CallError> {
    codec::decode_message(message).map_err(invalid_reply)
}

/// Converts an error status of the callee.
///
/// The server sends 400 and 503 only before a handler receives the call, which proves that the
/// call did not run. Any other status proves nothing.
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

fn invalid_reply(error: CodecError) -> CallError {
    CallError::NoReply(error.to_string())
}

fn call_request(peer: SocketAddr) -> Request<()> {
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{peer}/"))
        .body(())
        .expect("a socket address forms a valid URI")
}

async fn open_connection(peer: SocketAddr) -> Result<SendRequest<Bytes>, CallError> {
    let socket = match timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) => return Err(CallError::NotSent(error.to_string())),
        Err(_) => return Err(CallError::NotSent("connect timed out".to_owned())),
    };
    // Nagle's algorithm would delay small frames; a failure only adds latency.
    let _ = socket.set_nodelay(true);
    let handshake = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(socket);
    let (sender, mut connection) = match timeout(CONNECT_TIMEOUT, handshake).await {
        Ok(result) => result.map_err(not_sent)?,
        Err(_) => return Err(CallError::NotSent("handshake timed out".to_owned())),
    };
    let ping_pong = connection
        .ping_pong()
        .expect("the ping handle of a connection is taken only here");
    tokio::spawn(async move {
        // When either future ends, the connection is dropped and its open calls fail.
        tokio::select! {
            _ = connection => {}
            () = ping_until_failure(ping_pong, PING_INTERVAL) => {}
        }
    });
    Ok(sender)
}
