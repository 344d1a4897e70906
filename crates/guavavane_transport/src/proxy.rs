//! Relay (TCP proxy) between the connections of callers and an HTTP server on loopback.
//!
//! The HTTP server uses one thread per connection, has no timeouts, and stops accepting
//! connections for good once the process runs out of file descriptors. The relay therefore
//! limits the number of connections and closes a connection that is idle, sends a request too
//! slowly or does not read its response. It sets no limit on the time that the server takes to
//! handle a request: the server registers each connection whose request it handles in a
//! [`InFlightRequests`], under the peer address that the server sees.
//!
//! The thread pool of the server counts a thread as idle until the thread has woken up. Of two
//! connections that arrive in a burst, one can therefore stay queued without a thread until some
//! other connection ends. While callers have connections open, the relay periodically opens and
//! closes a connection without data: the thread that serves it takes the queued one next.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::runtime::runtime;
use crate::server::ServerError;

/// Size of the copy buffer of a connection in each direction, in bytes.
const COPY_BUFFER_BYTES: usize = 8 * 1024;

/// Interval at which the timeouts of a connection are checked.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which empty connections to the HTTP server are opened.
const EMPTY_CONNECTION_INTERVAL: Duration = Duration::from_millis(10);

/// Backoff after a failed accept, which is mostly a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Limits on the connections of callers.
#[derive(Clone, Copy, Debug)]
pub struct ProxyLimits {
    /// Maximum number of concurrent connections; further connections are closed at once.
    pub connections_max: usize,
    /// Maximum time without traffic on a connection that has no request being handled.
    pub idle_timeout: Duration,
    /// Maximum time to receive a request, and to write one buffer of its response.
    pub transfer_timeout: Duration,
}

/// Number of requests that the HTTP server is handling, by connection.
#[derive(Clone, Debug, Default)]
pub struct InFlightRequests {
    counts: Arc<Mutex<IndexMap<SocketAddr, usize>>>,
}

/// Guard of one request being handled; dropping it removes the request from the table.
#[derive(Debug)]
pub struct InFlightGuard {
    table: InFlightRequests,
    connection: SocketAddr,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self.table.lock();
        if let Some(count) = counts.get_mut(&self.connection) {
            *count -= 1;
            if *count == 0 {
                counts.swap_remove(&self.connection);
            }
        }
    }
}

impl InFlightRequests {
    /// Registers a request on the connection whose peer address at the server is `connection`.
    pub fn begin(&self, connection: SocketAddr) -> InFlightGuard {
        *self.lock().entry(connection).or_default() += 1;
        InFlightGuard {
            table: self.clone(),
            connection,
        }
    }

    fn contains(&self, connection: SocketAddr) -> bool {
        self.lock().contains_key(&connection)
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<SocketAddr, usize>> {
        self.counts
            .lock()
            .expect("no thread panics while it holds the lock of the request counts")
    }
}

/// A listening relay; dropping it closes the listener.
#[derive(Debug)]
pub struct CallerProxy {
    address: SocketAddr,
    _stop: oneshot::Sender<()>,
}

impl CallerProxy {
    /// Listens on `address` and relays each connection to the HTTP server at `upstream`.
    ///
    /// The server registers the requests that it handles in `in_flight`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        upstream: SocketAddr,
        limits: ProxyLimits,
        in_flight: InFlightRequests,
    ) -> Result<Self, ServerError> {
        let bind_error = |source| ServerError::Bind { address, source };
        let listener = std::net::TcpListener::bind(address).map_err(bind_error)?;
        listener.set_nonblocking(true).map_err(bind_error)?;
        let local_address = listener.local_addr().map_err(bind_error)?;
        let _context = runtime().enter();
        let listener = TcpListener::from_std(listener).map_err(bind_error)?;
        let (stop, stopped) = oneshot::channel();
        runtime().spawn(async move {
            let permits = Arc::new(Semaphore::new(limits.connections_max));
            tokio::select! {
                () = accept_callers(listener, upstream, limits, in_flight, &permits) => {}
                () = open_empty_connections(upstream, limits.connections_max, &permits) => {}
                _ = stopped => {}
            }
        });
        Ok(Self {
            address: local_address,
            _stop: stop,
        })
    }

    /// Address that the relay listens on, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept_callers(
    listener: TcpListener,
    upstream: SocketAddr,
    limits: ProxyLimits,
    in_flight: InFlightRequests,
    permits: &Arc<Semaphore>,
) {
    loop {
        let (caller, remote) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        match Arc::clone(permits).try_acquire_owned() {
            Ok(permit) => {
                let in_flight = in_flight.clone();
                tokio::spawn(async move {
                    relay_connection(caller, upstream, limits, in_flight).await;
                    drop(permit);
                });
            }
            // The socket is dropped, which closes it before any byte was read.
            Err(_) => tracing::warn!(event = "connection_refused", %remote),
        }
    }
}

/// Periodically opens and closes a connection without data while callers have connections open.
///
/// See the head of the module for the queued connections that this unblocks.
async fn open_empty_connections(upstream: SocketAddr, connections_max: usize, permits: &Semaphore) {
    loop {
        tokio::time::sleep(EMPTY_CONNECTION_INTERVAL).await;
        if permits.available_permits() < connections_max {
            // After a failure, the next interval tries again.
            let _ = TcpStream::connect(upstream).await;
        }
    }
}

async fn relay_connection(
    caller: TcpStream,
    upstream: SocketAddr,
    limits: ProxyLimits,
    in_flight: InFlightRequests,
) {
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    let Ok(connection) = server.local_addr() else {
        return;
    };
    // Nagle's algorithm would delay small writes; a failure only adds latency.
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let activity = ConnectionActivity::new();
    let (caller_reader, caller_writer) = caller.into_split();
    let (server_reader, server_writer) = server.into_split();
    let requests = async {
        // The response may still follow after the caller has closed its sending direction.
        let _ = copy_requests(caller_reader, server_writer, &activity).await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = requests => {}
        _ = copy_responses(server_reader, caller_writer, &activity) => {}
        () = wait_for_timeout(&activity, connection, limits, &in_flight) => {
            tracing::info!(event = "connection_closed", %connection, reason = "silent");
        }
    }
}

/// Times that decide whether a connection has timed out.
#[derive(Clone, Copy, Debug)]
struct ActivityTimes {
    /// Last time at which bytes were copied or a request was being handled.
    last_active_at: Instant,
    /// Arrival of the first bytes of a request that the server does not handle yet.
    receiving_since: Option<Instant>,
    /// Start of a write to the caller that has not finished.
    writing_since: Option<Instant>,
}

/// [`ActivityTimes`] of one connection, shared by both copy directions and the timeout check.
#[derive(Debug)]
struct ConnectionActivity {
    times: Mutex<ActivityTimes>,
}

impl ConnectionActivity {
    fn new() -> Self {
        Self {
            times: Mutex::new(ActivityTimes {
                last_active_at: Instant::now(),
                receiving_since: None,
                writing_since: None,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ActivityTimes> {
        self.times
            .lock()
            .expect("no thread panics while it holds the lock of the times")
    }

    fn record_receive(&self) {
        let now = Instant::now();
        let mut times = self.lock();
        times.last_active_at = now;
        times.receiving_since.get_or_insert(now);
    }

    fn record_write_start(&self) {
        let mut times = self.lock();
        times.receiving_since = None;
        times.writing_since = Some(Instant::now());
    }

    fn record_write_end(&self) {
        let mut times = self.lock();
        times.writing_since = None;
        times.last_active_at = Instant::now();
    }

    /// Whether the connection has exceeded the idle or the transfer timeout.
    ///
    /// `is_handled` says whether the server is handling a request of the connection. While it is
    /// and no write to the caller is in progress, the connection does not time out.
    fn is_timed_out(&self, is_handled: bool, limits: ProxyLimits) -> bool {
        let now = Instant::now();
        let mut times = self.lock();
        if is_handled && times.writing_since.is_none() {
            times.receiving_since = None;
            times.last_active_at = now;
            return false;
        }
        let exceeds_transfer =
            |since: Option<Instant>| since.is_some_and(|at| now - at > limits.transfer_timeout);
        exceeds_transfer(times.receiving_since)
            || exceeds_transfer(times.writing_since)
            || now - times.last_active_at > limits.idle_timeout
    }
}

async fn copy_requests(
    mut caller: OwnedReadHalf,
    mut server: OwnedWriteHalf,
    activity: &ConnectionActivity,
) -> io::Result<()> {
    let mut buffer = vec![0; COPY_BUFFER_BYTES];
    loop {
        let length = caller.read(&mut buffer).await?;
        if length == 0 {
            return server.shutdown().await;
        }
        activity.record_receive();
        server.write_all(&buffer[..length]).await?;
    }
}

async fn copy_responses(
    mut server: OwnedReadHalf,
    mut caller: OwnedWriteHalf,
    activity: &ConnectionActivity,
) -> io::Result<()> {
    let mut buffer = vec![0; COPY_BUFFER_BYTES];
    loop {
        let length = server.read(&mut buffer).await?;
        if length == 0 {
            return caller.shutdown().await;
        }
        activity.record_write_start();
        caller.write_all(&buffer[..length]).await?;
        activity.record_write_end();
    }
}

/// Returns when the connection has exceeded the idle or the transfer timeout.
async fn wait_for_timeout(
    activity: &ConnectionActivity,
    connection: SocketAddr,
    limits: ProxyLimits,
    in_flight: &InFlightRequests,
) {
    loop {
        tokio::time::sleep(TIMEOUT_CHECK_INTERVAL).await;
        if activity.is_timed_out(in_flight.contains(connection), limits) {
            return;
        }
    }
}
