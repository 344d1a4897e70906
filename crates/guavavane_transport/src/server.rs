//! Accepts connections of other processes and queues their calls for handlers.
//!
//! A frame that is malformed, or that comes from another cell or protocol version, is refused
//! with status 400, and a call that finds the queue full with status 503. Both mean that no
//! handler received the call. A call whose handler drops it without a reply fails with status
//! 500. A connection whose peer no longer answers is closed: a VM that is gone sends no reset.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use flume::Receiver;
use flume::Sender;
use h2::server::Connection;
use h2::server::SendResponse;
use h2::RecvStream;
use http::Request;
use http::Response;
use http::StatusCode;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::codec;
use crate::codec::CheckedFrame;
use crate::codec::CodecError;
use crate::codec::FrameIdentity;
use crate::ping::ping_until_failure;
use crate::runtime::runtime;
use guavavane_model::prelude::IncarnationId;
use guavavane_protocol::call::CallKind;
use guavavane_protocol::call::RemoteCall;
use guavavane_protocol::call::FRAME_MAX_BYTES;

/// Maximum number of concurrent calls of a connection; further calls wait at the client.
const CONCURRENT_STREAMS_MAX: u32 = 1_024;

/// Flow-control window of a stream and of a connection, in bytes.
pub(crate) const WINDOW_BYTES: u32 = 1024 * 1024;

/// Maximum time for the HTTP/2 handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time from the answer to a ping to the next ping. Clients ping more often; these pings only free
/// the descriptors of connections whose clients are gone.
const PING_INTERVAL: Duration = Duration::from_millis(10_000);

/// Error in starting a listener.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Sends the reply to one call; dropping it without a reply fails the call at the caller.
#[derive(Debug)]
pub struct ReplySender {
    encoded_reply: oneshot::Sender<Vec<u8>>,
}

impl ReplySender {
    /// Sends `reply` to the caller.
    ///
    /// Succeeds also if the caller has disconnected or stopped waiting.
    ///
    /// # Errors
    ///
    /// Fails if `reply` cannot be encoded.
    pub fn send<C: RemoteCall>(self, reply: &C::Reply) -> Result<(), CodecError> {
        let message = codec::encode_message(reply)?;
        // Fails if the receiver was dropped: the caller has disconnected.
        let _ = self.encoded_reply.send(message);
        Ok(())
    }
}

/// A received call that waits for a handler.
#[derive(Debug)]
pub struct IncomingCall {
    /// Incarnation of the calling process.
    pub sender: IncarnationId,
    /// Remote address of the connection.
    pub remote: SocketAddr,
    /// Kind of the call, which selects the type for [`IncomingCall::decode`].
    pub kind: CallKind,
    /// Encoded message.
    pub message: Vec<u8>,
    /// Takes the reply; dropping it fails the call at the caller.
    pub reply: ReplySender,
}

impl IncomingCall {
    /// Decodes the message as a call of type `C`.
    pub fn decode<C: RemoteCall>(&self) -> Result<C, CodecError> {
        codec::decode_message(&self.message)
    }
}

/// A listening server of calls; dropping it closes the listener.
#[derive(Debug)]
pub struct CallServer {
    address: SocketAddr,
    calls: Receiver<IncomingCall>,
    _stop: oneshot::Sender<()>,
}

impl CallServer {
    /// Listens on `address`; at most `queue_capacity` calls wait for a handler.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        identity: FrameIdentity,
        queue_capacity: usize,
    ) -> Result<Self, ServerError> {
        let bind_error = |source| ServerError::Bind { address, source };
        let listener = std::net::TcpListener::bind(address).map_err(bind_error)?;
        listener.set_nonblocking(true).map_err(bind_error)?;
        let local_address = listener.local_addr().map_err(bind_error)?;
        let _context = runtime().enter();
        let listener = TcpListener::from_std(listener).map_err(bind_error)?;
        let (call_sender, calls) = flume::bounded(queue_capacity);
        let (stop, stopped) = oneshot::channel();
        runtime().spawn(async move {
            tokio::select! {
                () = accept_connections(listener, identity, call_sender) => {}
                _ = stopped => {}
            }
        });
        Ok(Self {
            address: local_address,
            calls,
            _stop: stop,
        })
    }

    /// Address that the server listens on, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queue of received calls, in order of arrival.
    pub fn calls(&self) -> &Receiver<IncomingCall> {
        &self.calls
    }
}

async fn accept_connections(
    listener: TcpListener,
    identity: FrameIdentity,
    calls: Sender<IncomingCall>,
) {
    loop {
        match listener.accept().await {
            Ok((socket, remote)) => {
                tokio::spawn(serve_connection(socket, remote, identity, calls.clone()));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection(
    socket: TcpStream,
    remote: SocketAddr,
    identity: FrameIdentity,
    calls: Sender<IncomingCall>,
) {
    // Nagle's algorithm would delay small frames; a failure only adds latency.
    let _ = socket.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(CONCURRENT_STREAMS_MAX)
        .handshake::<_, Bytes>(socket);
    let mut connection = match timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            tracing::debug!(event = "handshake_failed", %remote, %error);
            return;
        }
        Err(_) => {
            tracing::debug!(event = "handshake_failed", %remote, error = "timed out");
            return;
        }
    };
    let ping_pong = connection
        .ping_pong()
        .expect("the ping handle of a connection is taken only here");
    tokio::select! {
        () = accept_calls(connection, remote, identity, calls) => {}
        () = ping_until_failure(ping_pong, PING_INTERVAL) => {
            tracing::info!(event = "connection_closed", %remote, reason = "silent");
        }
    }
}

async fn accept_calls(
    mut connection: Connection<TcpStream, Bytes>,
    remote: SocketAddr,
    identity: FrameIdentity,
    calls: Sender<IncomingCall>,
) {
    while let Some(Ok((request, response))) = connection.accept().await {
        tokio::spawn(serve_stream(
            request,
            response,
            remote,
            identity,
            calls.clone(),
        ));
    }
}

async fn serve_stream(
    request: Request<RecvStream>,
    mut response: SendResponse<Bytes>,
    remote: SocketAddr,
    identity: FrameIdentity,
    calls: Sender<IncomingCall>,
) {
    let frame = match read_frame(request.into_body(), identity).await {
        Ok(frame) => frame,
        Err(error) => {
            tracing::warn!(event = "frame_refused", %remote, %error);
            send_status(&mut response, StatusCode::BAD_REQUEST);
            return;
        }
    };
    let kind = frame.kind;
    let (reply_sender, reply) = oneshot::channel();
    let call = IncomingCall {
        sender: frame.sender,
        remote,
        kind,
        message: frame.message,
        reply: ReplySender {
            encoded_reply: reply_sender,
        },
    };
    // A call that finds the queue full is refused at once: its caller knows that it did not run.
    if calls.try_send(call).is_err() {
        send_status(&mut response, StatusCode::SERVICE_UNAVAILABLE);
        return;
    }
    match reply.await {
        Ok(message) => send_reply(response, identity, kind, &message),
        Err(_) => send_status(&mut response, StatusCode::INTERNAL_SERVER_ERROR),
    }
}

async fn read_frame(
    mut body: RecvStream,
    identity: FrameIdentity,
) -> Result<CheckedFrame, CodecError> {
    let bytes = read_body(&mut body).await?;
    codec::check_frame(identity, &bytes)
}

/// Reads a body of at most one frame and releases flow-control capacity chunk by chunk.
pub(crate) async fn read_body(body: &mut RecvStream) -> Result<Vec<u8>, CodecError> {
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|error| CodecError::Malformed(error.to_string()))?;
        if bytes.len() + chunk.len() > FRAME_MAX_BYTES + codec::HEADER_BYTES {
            return Err(CodecError::Oversized(bytes.len() + chunk.len()));
        }
        bytes.extend_from_slice(&chunk);
        // Fails only if the stream is closed, which the next read reports.
        let _ = body.flow_control().release_capacity(chunk.len());
    }
    Ok(bytes)
}

fn send_reply(
    mut response: SendResponse<Bytes>,
    identity: FrameIdentity,
    kind: CallKind,
    message: &[u8],
) {
    let frame = match codec::frame_message(identity, kind, message) {
        Ok(frame) => frame,
        Err(error) => {
            tracing::error!(event = "reply_refused", ?kind, %error);
            send_status(&mut response, StatusCode::INTERNAL_SERVER_ERROR);
            return;
        }
    };
    // Sending fails only if the caller has disconnected.
    if let Ok(mut stream) = response.send_response(Response::new(()), false) {
        let _ = stream.send_data(Bytes::from(frame), true);
    }
}

fn send_status(response: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut head = Response::new(());
    *head.status_mut() = status;
    // Sending fails only if the caller has disconnected.
    let _ = response.send_response(head, true);
}
