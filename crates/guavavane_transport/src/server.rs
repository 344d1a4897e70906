//! Accepts connections and hands their calls to handlers.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use flume::Receiver;
use flume::Sender;
use h2::server::SendResponse;
use h2::RecvStream;
use http::Request;
use http::Response;
use http::StatusCode;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::codec;
use crate::codec::CheckedFrame;
use crate::codec::CodecError;
use crate::codec::FrameIdentity;
use crate::runtime::runtime;
use guavavane_model::prelude::IncarnationId;
use guavavane_protocol::call::CallKind;
use guavavane_protocol::call::RemoteCall;
use guavavane_protocol::call::FRAME_MAX_BYTES;

/// Calls of one connection that run at once; further streams wait at the caller.
const STREAMS_MAX: u32 = 1_024;

/// Flow-control window, in bytes.
pub(crate) const WINDOW_BYTES: u32 = 1024 * 1024;

/// Why a server did not start.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

/// Sends the reply of one call.
#[derive(Debug)]
pub struct ReplySender {
    frame: oneshot::Sender<Vec<u8>>,
}

impl ReplySender {
    /// Sends `reply`; an error means that it could not be encoded.
    ///
    /// A caller that went away is not an error: it has stopped waiting.
    pub fn send<C: RemoteCall>(self, reply: &C::Reply) -> Result<(), CodecError> {
        let message = codec::encode_message(reply)?;
        // The receiver is gone when the caller has gone away.
        let _ = self.frame.send(message);
        Ok(())
    }
}

/// A call that arrived.
#[derive(Debug)]
pub struct IncomingCall {
    /// Run of the calling process.
    pub sender: IncarnationId,
    /// Address that the call came from.
    pub remote: SocketAddr,
    /// What it asks for.
    pub kind: CallKind,
    /// The encoded message.
    pub message: Vec<u8>,
    /// Where its reply goes; dropping it fails the call at the caller.
    pub reply: ReplySender,
}

impl IncomingCall {
    /// Decodes the message as a call of type `C`.
    pub fn decode<C: RemoteCall>(&self) -> Result<C, CodecError> {
        codec::decode_message(&self.message)
    }
}

/// A listening server; it stops when dropped.
#[derive(Debug)]
pub struct CallServer {
    address: SocketAddr,
    calls: Receiver<IncomingCall>,
    _stop: oneshot::Sender<()>,
}

impl CallServer {
    /// Listens on `address`; at most `backlog` calls wait for a handler.
    pub fn start(
        address: SocketAddr,
        identity: FrameIdentity,
        backlog: usize,
    ) -> Result<Self, ServerError> {
        let bind_error = |source| ServerError::Bind { address, source };
        let listener = std::net::TcpListener::bind(address).map_err(bind_error)?;
        listener.set_nonblocking(true).map_err(bind_error)?;
        let bound = listener.local_addr().map_err(bind_error)?;
        let _context = runtime().enter();
        let listener = TcpListener::from_std(listener).map_err(bind_error)?;
        let (call_sender, calls) = flume::bounded(backlog);
        let (stop, stopped) = oneshot::channel();
        runtime().spawn(async move {
            tokio::select! {
                () = accept_connections(listener, identity, call_sender) => {}
                _ = stopped => {}
            }
        });
        Ok(Self {
            address: bound,
            calls,
            _stop: stop,
        })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls in the order of their arrival.
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
    // Small frames must not wait for more data; a failure only costs latency.
    let _ = socket.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(STREAMS_MAX)
        .handshake::<_, Bytes>(socket)
        .await;
    let mut connection = match handshake {
        Ok(connection) => connection,
        Err(error) => {
            tracing::debug!(event = "handshake_failed", %remote, %error);
            return;
        }
    };
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
    let (sender, reply) = oneshot::channel();
    let call = IncomingCall {
        sender: frame.sender,
        remote,
        kind,
        message: frame.message,
        reply: ReplySender { frame: sender },
    };
    // A full backlog is refused at once: the caller knows that nothing was taken.
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

/// Reads a body up to the limit of a frame, giving back window as it goes.
pub(crate) async fn read_body(body: &mut RecvStream) -> Result<Vec<u8>, CodecError> {
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|error| CodecError::Malformed(error.to_string()))?;
        if bytes.len() + chunk.len() > FRAME_MAX_BYTES + codec::HEADER_BYTES {
            return Err(CodecError::Oversized(bytes.len() + chunk.len()));
        }
        bytes.extend_from_slice(&chunk);
        // Fails only on a stream that is closed, which the next read reports.
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
    // Errors mean that the caller has gone away.
    if let Ok(mut stream) = response.send_response(Response::new(()), false) {
        let _ = stream.send_data(Bytes::from(frame), true);
    }
}

fn send_status(response: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut head = Response::new(());
    *head.status_mut() = status;
    // An error means that the caller has gone away.
    let _ = response.send_response(head, true);
}
