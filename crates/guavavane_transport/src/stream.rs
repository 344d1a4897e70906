//! Duplex message streams: one h2 stream that stays open, with bincode messages both ways.
//!
//! Calls suit questions; what happens on one side and must reach the other at once goes over
//! a stream. Each connection carries one stream. Messages that wait together leave in one
//! frame. Dropping the receiving half closes the connection. The surface is async, for
//! programs that run on one thread; silence is detected by their own heartbeats.

use std::future::poll_fn;
use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use flume::Receiver;
use flume::Sender;
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
use crate::server::WINDOW_BYTES;
use guavavane_protocol::call::FRAME_MAX_BYTES;

/// Length of the prefix that gives a message's length, in bytes.
const PREFIX_BYTES: usize = 4;
/// Size from which waiting messages leave without gathering more, in bytes.
const GATHER_BYTES: usize = 32 << 10;
/// Messages that may wait for the connection; a peer that reads nothing fills it.
const QUEUE_MESSAGES: usize = 8_192;
/// Longest wait for the peer's first frames on an accepted connection.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause after a failed accept, which is mostly a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Sending half of a stream.
#[derive(Debug)]
pub struct StreamSender<M> {
    queue: Sender<M>,
}

impl<M> Clone for StreamSender<M> {
    fn clone(&self) -> Self {
        Self {
            queue: self.queue.clone(),
        }
    }
}

impl<M> StreamSender<M> {
    /// Queues a message; false means that the stream is closed or the peer reads nothing.
    pub fn send(&self, message: M) -> bool {
        self.queue.try_send(message).is_ok()
    }

    /// Whether the stream is closed.
    pub fn is_closed(&self) -> bool {
        self.queue.is_disconnected()
    }
}

/// Receiving half of a stream; dropping it closes the connection.
#[derive(Debug)]
pub struct StreamReceiver<M> {
    stream: RecvStream,
    buffer: BytesMut,
    driver: JoinHandle<()>,
    message: PhantomData<fn() -> M>,
}

impl<M> Drop for StreamReceiver<M> {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl<M: DeserializeOwned> StreamReceiver<M> {
    /// The next message; `None` when the stream is closed or broken.
    pub async fn receive(&mut self) -> Option<M> {
        loop {
            if let Some(message) = self.take_message()? {
                return Some(message);
            }
            let chunk = self.stream.data().await?.ok()?;
            self.buffer.extend_from_slice(&chunk);
            // Fails only on a stream that is closed, which the next read reports.
            let _ = self.stream.flow_control().release_capacity(chunk.len());
        }
    }

    /// A whole message from the buffer; the outer `None` is a broken stream.
    fn take_message(&mut self) -> Option<Option<M>> {
        if self.buffer.len() < PREFIX_BYTES {
            return Some(None);
        }
        let length = self.buffer[..PREFIX_BYTES]
            .try_into()
            .map(u32::from_le_bytes);
        let length = length.map_or(usize::MAX, |length| length as usize);
        if length > FRAME_MAX_BYTES {
            tracing::warn!(event = "stream_broken", reason = "oversized", length);
            return None;
        }
        if self.buffer.len() < PREFIX_BYTES + length {
            return Some(None);
        }
        self.buffer.advance(PREFIX_BYTES);
        let bytes = self.buffer.split_to(length);
        match codec::decode_message(&bytes) {
            Ok(message) => Some(Some(message)),
            Err(error) => {
                tracing::warn!(event = "stream_broken", reason = "malformed", %error);
                None
            }
        }
    }
}

/// Both halves of a stream that sends `S` and receives `R`.
pub type MessageStream<S, R> = (StreamSender<S>, StreamReceiver<R>);

fn broken(error: h2::Error) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, error)
}

/// Opens a stream to a peer, within `limit`.
///
/// # Errors
///
/// Fails if the peer cannot be reached or does not answer the handshake in time.
pub async fn open_stream<S, R>(peer: SocketAddr, limit: Duration) -> io::Result<MessageStream<S, R>>
where
    S: Serialize + Send + 'static,
    R: DeserializeOwned,
{
    timeout(limit, open_unbounded(peer))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn open_unbounded<S, R>(peer: SocketAddr) -> io::Result<MessageStream<S, R>>
where
    S: Serialize + Send + 'static,
    R: DeserializeOwned,
{
    let socket = TcpStream::connect(peer).await?;
    // Small messages must not wait for more data.
    socket.set_nodelay(true)?;
    let (client, connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(socket)
        .await
        .map_err(broken)?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(event = "stream_ended", %peer, %error);
        }
    });
    let opened = open_on(client, peer).await;
    let (sender, stream) = match opened {
        Ok(halves) => halves,
        Err(error) => {
            driver.abort();
            return Err(error);
        }
    };
    Ok(join_halves(sender, stream, driver))
}

async fn open_on(
    client: h2::client::SendRequest<Bytes>,
    peer: SocketAddr,
) -> io::Result<(SendStream<Bytes>, RecvStream)> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{peer}/"))
        .body(())
        .expect("an address makes a valid URI");
    let mut client = client.ready().await.map_err(broken)?;
    let (response, sender) = client.send_request(request, false).map_err(broken)?;
    let response = response.await.map_err(broken)?;
    Ok((sender, response.into_body()))
}

fn join_halves<S, R>(
    sender: SendStream<Bytes>,
    stream: RecvStream,
    driver: JoinHandle<()>,
) -> MessageStream<S, R>
where
    S: Serialize + Send + 'static,
{
    let (queue, messages) = flume::bounded(QUEUE_MESSAGES);
    tokio::spawn(write_messages(messages, sender));
    let receiver = StreamReceiver {
        stream,
        buffer: BytesMut::new(),
        driver,
        message: PhantomData,
    };
    (StreamSender { queue }, receiver)
}

async fn write_messages<S: Serialize>(messages: Receiver<S>, mut stream: SendStream<Bytes>) {
    while let Ok(first) = messages.recv_async().await {
        let mut buffer = BytesMut::new();
        append_message(&mut buffer, &first);
        while buffer.len() < GATHER_BYTES {
            match messages.try_recv() {
                Ok(next) => append_message(&mut buffer, &next),
                Err(_) => break,
            }
        }
        if let Err(error) = send_bytes(&mut stream, buffer.freeze()).await {
            tracing::debug!(event = "stream_write_failed", %error);
            return;
        }
    }
    // All senders are gone: the peer sees the end of the stream.
    let _ = stream.send_data(Bytes::new(), true);
}

fn append_message<S: Serialize>(buffer: &mut BytesMut, message: &S) {
    match codec::encode_message(message) {
        Ok(bytes) => {
            let length = u32::try_from(bytes.len()).expect("the limit of a frame fits 32 bits");
            buffer.extend_from_slice(&length.to_le_bytes());
            buffer.extend_from_slice(&bytes);
        }
        Err(error) => tracing::error!(event = "message_not_encoded", %error),
    }
}

async fn send_bytes(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), h2::Error> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        match poll_fn(|context| stream.poll_capacity(context)).await {
            Some(Ok(0)) => {}
            Some(Ok(room)) => {
                let part = bytes.split_to(room.min(bytes.len()));
                stream.send_data(part, false)?;
            }
            Some(Err(error)) => return Err(error),
            None => return Err(h2::Reason::STREAM_CLOSED.into()),
        }
    }
    Ok(())
}

/// Accepts streams on `listener` and hands each to `serve`, until the task is dropped.
pub async fn accept_streams<S, R, F>(listener: TcpListener, serve: F)
where
    S: Serialize + Send + 'static,
    R: DeserializeOwned + 'static,
    F: Fn(SocketAddr, MessageStream<S, R>) + Clone + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((socket, remote)) => {
                tokio::spawn(accept_stream(socket, remote, serve.clone()));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn accept_stream<S, R, F>(socket: TcpStream, remote: SocketAddr, serve: F)
where
    S: Serialize + Send + 'static,
    R: DeserializeOwned,
    F: Fn(SocketAddr, MessageStream<S, R>),
{
    match timeout(ACCEPT_TIMEOUT, accept_unbounded(socket)).await {
        Ok(Ok(halves)) => serve(remote, halves),
        Ok(Err(error)) => tracing::debug!(event = "stream_refused", %remote, %error),
        Err(_) => tracing::debug!(event = "stream_refused", %remote, error = "timed out"),
    }
}

async fn accept_unbounded<S, R>(socket: TcpStream) -> io::Result<MessageStream<S, R>>
where
    S: Serialize + Send + 'static,
    R: DeserializeOwned,
{
    // Small messages must not wait for more data.
    socket.set_nodelay(true)?;
    let mut connection = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(1)
        .handshake::<_, Bytes>(socket)
        .await
        .map_err(broken)?;
    let first = connection.accept().await;
    let (request, mut response) = first.ok_or(io::ErrorKind::UnexpectedEof)?.map_err(broken)?;
    let sender = response
        .send_response(Response::new(()), false)
        .map_err(broken)?;
    let driver = tokio::spawn(async move {
        // Later requests are not accepted; polling for them drives the connection.
        while let Some(Ok(_)) = connection.accept().await {}
    });
    Ok(join_halves(sender, request.into_body(), driver))
}
