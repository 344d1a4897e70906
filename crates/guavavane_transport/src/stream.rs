//! Long-lived bidirectional message streams over HTTP/2, for events pushed by either side.
//!
//! A call ([`crate::client`]) suits a request with one reply; a stream suits events that must
//! reach the peer at once. Each connection carries one HTTP/2 stream, and each message is a
//! little-endian `u32` length followed by the bincode message. Messages that are queued at the
//! same time are batched into one write. Dropping the receiving half closes the connection. A message
//! that finds the queue full ends the stream: its users rely on getting all messages or none after.
//!
//! The interface is async, for programs that run on one thread. A stream does not detect a
//! silent peer: its users send heartbeats of their own.
//!
//! Accepted streams share the bounds of the process ([`crate::intake`]): the bytes of a half-received
//! message are charged as they arrive, and a stream may be closed for a bound until its first message
//! has arrived or while a message is half received.

use std::future::poll_fn;
use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use flume::Receiver;
use flume::Sender;
use flume::TrySendError;
use h2::RecvStream;
use h2::SendStream;
use http::Method;
use http::Request;
use http::Response;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::codec;
use crate::intake::gate::ConnectionTicket;
use crate::intake::gate::IntakeGate;
use crate::intake::table::ConnectionPhase;
use crate::server::WINDOW_BYTES;
use guavavane_protocol::call::FRAME_MAX_BYTES;

/// Size of the length prefix of a message, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Size from which a batch is written without adding more queued messages, in bytes.
const WRITE_BATCH_BYTES: usize = 32 << 10;
/// Maximum number of messages queued for sending; the queue fills up if the peer stops reading.
const QUEUE_CAPACITY: usize = 8_192;
/// Maximum time for the HTTP/2 handshake and the first request on an accepted connection.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum size of the head of the request that opens a stream, in bytes.
const HEADER_LIST_BYTES_MAX: u32 = 16 << 10;
/// Size up to which an empty receive buffer is kept for the next message, in bytes.
const KEPT_BUFFER_BYTES: usize = 64 << 10;
/// Backoff after a failed accept, which is mostly a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Sending half of a stream; the stream ends when all clones are dropped.
#[derive(Debug)]
pub struct StreamSender<M> {
    queue: Sender<M>,
    /// Whether a message found the queue full.
    overflowed: Arc<AtomicBool>,
}

impl<M> Clone for StreamSender<M> {
    fn clone(&self) -> Self {
        Self {
            queue: self.queue.clone(),
            overflowed: Arc::clone(&self.overflowed),
        }
    }
}

impl<M> StreamSender<M> {
    /// Queues a message without blocking; returns false if the stream is closed or the queue full. A
    /// full queue ends the stream.
    pub fn send(&self, message: M) -> bool {
        if self.overflowed.load(Ordering::Relaxed) {
            return false;
        }
        match self.queue.try_send(message) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => {
                self.overflowed.store(true, Ordering::Relaxed);
                tracing::warn!(event = "stream_broken", reason = "queue full");
                false
            }
            Err(TrySendError::Disconnected(_)) => false,
        }
    }

    /// Whether the stream is closed, so that no further message can be sent.
    pub fn is_closed(&self) -> bool {
        self.queue.is_disconnected() || self.overflowed.load(Ordering::Relaxed)
    }
}

/// Receiving half of a stream; dropping it closes the connection.
#[derive(Debug)]
pub struct StreamReceiver<M> {
    stream: RecvStream,
    buffer: BytesMut,
    /// Task that polls the connection; the connection closes when it is aborted.
    driver: JoinHandle<()>,
    /// Ticket of an accepted stream; `None` for a stream that this process has opened.
    ticket: Option<ConnectionTicket>,
    /// Phase that was last set on the ticket.
    phase: ConnectionPhase,
    message: PhantomData<fn() -> M>,
}

impl<M> Drop for StreamReceiver<M> {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl<M: DeserializeOwned> StreamReceiver<M> {
    /// Waits for the next message; `None` if the stream ended, failed or sent an invalid message.
    pub async fn receive(&mut self) -> Option<M> {
        loop {
            if let Some(message) = self.decode_buffered_message()? {
                self.note_message();
                return Some(message);
            }
            self.note_partial();
            let chunk = self.stream.data().await?.ok()?;
            self.charge(chunk.len())?;
            self.buffer.extend_from_slice(&chunk);
            // Fails only if the stream is closed, which the next read reports.
            let _ = self.stream.flow_control().release_capacity(chunk.len());
        }
    }

    /// Charges bytes that have arrived; `None` if there is no memory for them.
    fn charge(&mut self, bytes: usize) -> Option<()> {
        let Some(ticket) = &self.ticket else {
            return Some(());
        };
        ticket.charge(bytes).ok()?;
        ticket.note_received(bytes);
        Some(())
    }

    /// Notes that the buffer ends with a part of a message, if it is not empty.
    fn note_partial(&mut self) {
        if !self.buffer.is_empty() {
            self.enter(ConnectionPhase::Partial);
        }
    }

    /// Notes that a message was taken from the buffer, and frees the buffer after a large one.
    fn note_message(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > KEPT_BUFFER_BYTES {
            self.buffer = BytesMut::new();
        }
        if let Some(ticket) = &self.ticket {
            ticket.release(self.buffer.len());
        }
        self.enter(ConnectionPhase::Busy);
    }

    fn enter(&mut self, phase: ConnectionPhase) {
        if let Some(ticket) = self.ticket.as_ref().filter(|_| self.phase != phase) {
            ticket.enter(phase);
            self.phase = phase;
        }
    }

    /// Logs why the stream ends, if a line may be written now.
    fn log_broken(&self, reason: &str, length: usize) {
        if let Some(suppressed) = IntakeGate::of_process().admit_log_line() {
            tracing::warn!(event = "stream_broken", reason, length, suppressed);
        }
    }

    /// Decodes the next message of the buffer.
    ///
    /// `Some(None)` means that the buffer holds only a part of it, and `None` that the data is
    /// invalid.
    fn decode_buffered_message(&mut self) -> Option<Option<M>> {
        if self.buffer.len() < LENGTH_PREFIX_BYTES {
            return Some(None);
        }
        let length = self.buffer[..LENGTH_PREFIX_BYTES]
            .try_into()
            .map(u32::from_le_bytes);
        let length = length.map_or(usize::MAX, |length| length as usize);
        if length > FRAME_MAX_BYTES {
            self.log_broken("oversized", length);
            return None;
        }
        if self.buffer.len() < LENGTH_PREFIX_BYTES + length {
            return Some(None);
        }
        self.buffer.advance(LENGTH_PREFIX_BYTES);
        let bytes = self.buffer.split_to(length);
        match codec::decode_message(&bytes) {
            Ok(message) => Some(Some(message)),
            Err(error) => {
                self.log_broken(&format!("malformed: {error}"), length);
                None
            }
        }
    }
}

/// Both halves of a stream that sends `S` and receives `R`.
pub type MessageStream<S, R> = (StreamSender<S>, StreamReceiver<R>);

fn connection_aborted(error: h2::Error) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, error)
}

/// Connects to a peer and opens a stream.
///
/// # Errors
///
/// Fails if the peer cannot be reached or does not accept the stream within `open_timeout`.
pub async fn open_stream<S, R>(
    peer: SocketAddr,
    open_timeout: Duration,
) -> io::Result<MessageStream<S, R>>
where
    S: Serialize + Send + 'static,
    R: DeserializeOwned,
{
    timeout(open_timeout, connect_stream(peer))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn connect_stream<S, R>(peer: SocketAddr) -> io::Result<MessageStream<S, R>>
where
    S: Serialize + Send + 'static,
    R: DeserializeOwned,
{
    let socket = TcpStream::connect(peer).await?;
    // Nagle's algorithm would delay small messages.
    socket.set_nodelay(true)?;
    let (client, connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(socket)
        .await
        .map_err(connection_aborted)?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(event = "stream_ended", %peer, %error);
        }
    });
    let opened = request_stream(client, peer).await;
    let (sender, stream) = match opened {
        Ok(halves) => halves,
        Err(error) => {
            driver.abort();
            return Err(error);
        }
    };
    Ok(start_stream(sender, stream, driver, None))
}

async fn request_stream(
    client: h2::client::SendRequest<Bytes>,
    peer: SocketAddr,
) -> io::Result<(SendStream<Bytes>, RecvStream)> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{peer}/"))
        .body(())
        .expect("a socket address forms a valid URI");
    let mut client = client.ready().await.map_err(connection_aborted)?;
    let (response, sender) = client
        .send_request(request, false)
        .map_err(connection_aborted)?;
    let response = response.await.map_err(connection_aborted)?;
    Ok((sender, response.into_body()))
}

/// Spawns the writer task of an open stream and returns both halves.
fn start_stream<S, R>(
    sender: SendStream<Bytes>,
    stream: RecvStream,
    driver: JoinHandle<()>,
    ticket: Option<ConnectionTicket>,
) -> MessageStream<S, R>
where
    S: Serialize + Send + 'static,
{
    let (queue, messages) = flume::bounded(QUEUE_CAPACITY);
    let overflowed = Arc::new(AtomicBool::new(false));
    tokio::spawn(write_messages(messages, sender, Arc::clone(&overflowed)));
    let receiver = StreamReceiver {
        stream,
        buffer: BytesMut::new(),
        driver,
        ticket,
        phase: ConnectionPhase::Unused,
        message: PhantomData,
    };
    (StreamSender { queue, overflowed }, receiver)
}

async fn write_messages<S: Serialize>(
    messages: Receiver<S>,
    mut stream: SendStream<Bytes>,
    overflowed: Arc<AtomicBool>,
) {
    while let Ok(first) = messages.recv_async().await {
        let mut buffer = BytesMut::new();
        append_message(&mut buffer, &first);
        while buffer.len() < WRITE_BATCH_BYTES {
            match messages.try_recv() {
                Ok(next) => append_message(&mut buffer, &next),
                Err(_) => break,
            }
        }
        if let Err(error) = send_bytes(&mut stream, buffer.freeze()).await {
            tracing::debug!(event = "stream_write_failed", %error);
            return;
        }
        if overflowed.load(Ordering::Relaxed) {
            return stream.send_reset(h2::Reason::CANCEL);
        }
    }
    // All senders are dropped: end the stream, which the peer reads as its regular end.
    let _ = stream.send_data(Bytes::new(), true);
}

fn append_message<S: Serialize>(buffer: &mut BytesMut, message: &S) {
    match codec::encode_message(message) {
        Ok(bytes) => {
            let length = u32::try_from(bytes.len()).expect("FRAME_MAX_BYTES fits in 32 bits");
            buffer.extend_from_slice(&length.to_le_bytes());
            buffer.extend_from_slice(&bytes);
        }
        Err(error) => tracing::error!(event = "message_not_encoded", %error),
    }
}

/// Sends all of `bytes` as the flow control of the peer permits.
async fn send_bytes(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), h2::Error> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        match poll_fn(|context| stream.poll_capacity(context)).await {
            Some(Ok(0)) => {}
            Some(Ok(capacity)) => {
                let part = bytes.split_to(capacity.min(bytes.len()));
                stream.send_data(part, false)?;
            }
            Some(Err(error)) => return Err(error),
            None => return Err(h2::Reason::STREAM_CLOSED.into()),
        }
    }
    Ok(())
}

/// Accepts streams on `listener` and passes each with the peer's address to `serve`.
///
/// Runs until the future is dropped. `serve` must not block.
pub async fn accept_streams<S, R, F>(listener: TcpListener, serve: F)
where
    S: Serialize + Send + 'static,
    R: DeserializeOwned + 'static,
    F: Fn(SocketAddr, MessageStream<S, R>) + Clone + Send + 'static,
{
    let gate = IntakeGate::of_process();
    gate.limit_receive_buffers(&listener);
    loop {
        match listener.accept().await {
            Ok((socket, remote)) => {
                let serve = serve.clone();
                let accepting = |ticket| accept_stream(socket, remote, ticket, serve);
                gate.spawn_connection(accepting).await;
            }
            Err(error) => {
                gate.note_accept_error(&error);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn accept_stream<S, R, F>(
    socket: TcpStream,
    remote: SocketAddr,
    ticket: ConnectionTicket,
    serve: F,
) where
    S: Serialize + Send + 'static,
    R: DeserializeOwned,
    F: Fn(SocketAddr, MessageStream<S, R>),
{
    match timeout(ACCEPT_TIMEOUT, accept_handshake(socket, ticket)).await {
        Ok(Ok(halves)) => serve(remote, halves),
        Ok(Err(error)) => tracing::debug!(event = "stream_refused", %remote, %error),
        Err(_) => tracing::debug!(event = "stream_refused", %remote, error = "timed out"),
    }
}

async fn accept_handshake<S, R>(
    socket: TcpStream,
    ticket: ConnectionTicket,
) -> io::Result<MessageStream<S, R>>
where
    S: Serialize + Send + 'static,
    R: DeserializeOwned,
{
    // Nagle's algorithm would delay small messages.
    socket.set_nodelay(true)?;
    let window_bytes = ticket.gate().limits().window_bytes.unwrap_or(WINDOW_BYTES);
    let mut connection = h2::server::Builder::new()
        .initial_window_size(window_bytes)
        .initial_connection_window_size(window_bytes)
        .max_concurrent_streams(1)
        .max_header_list_size(HEADER_LIST_BYTES_MAX)
        .handshake::<_, Bytes>(socket)
        .await
        .map_err(connection_aborted)?;
    let first = connection.accept().await;
    let (request, mut response) = first
        .ok_or(io::ErrorKind::UnexpectedEof)?
        .map_err(connection_aborted)?;
    let sender = response
        .send_response(Response::new(()), false)
        .map_err(connection_aborted)?;
    let driver = tokio::spawn(async move {
        // Polling for further requests drives the connection; any such request is dropped.
        while let Some(Ok(_)) = connection.accept().await {}
    });
    ticket.replace_task(driver.abort_handle());
    let stream = request.into_body();
    Ok(start_stream(sender, stream, driver, Some(ticket)))
}
