//! Takes connections of callers and relays their bytes to an HTTP server on loopback.
//!
//! The HTTP server has a thread for each connection, no time-outs, and stops for good when the
//! system has no more descriptors. The relay bounds the connections that reach it and closes
//! those that are idle, send a request too slowly or do not read their answer. A connection
//! whose request is being served is never closed: the server marks it in a [`FlightTable`] by
//! the address that it sees.
//!
//! The server's pool counts a thread as idle until it has woken, so that one of two connections
//! in a burst can be left without a thread until another connection ends. While connections are
//! open, the relay therefore opens and closes empty ones, whose threads pick up such a one.

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

/// Bytes that a connection holds in each direction.
const CHUNK_BYTES: usize = 8 * 1024;

/// Time between two looks at the silence of a connection.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two empty connections to the server.
const PULSE_INTERVAL: Duration = Duration::from_millis(10);

/// Pause after the system refused a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds of the connections of callers.
#[derive(Clone, Copy, Debug)]
pub struct RelayLimits {
    /// Connections at once; further ones are closed.
    pub connections: usize,
    /// Longest silence of a connection without a request.
    pub idle: Duration,
    /// Longest time to send a request, and to take an answer.
    pub receive: Duration,
}

/// Connections whose request is being served.
#[derive(Clone, Debug, Default)]
pub struct FlightTable {
    requests: Arc<Mutex<IndexMap<SocketAddr, usize>>>,
}

/// Marks a connection as being served until dropped.
#[derive(Debug)]
pub struct FlightMark {
    table: FlightTable,
    connection: SocketAddr,
}

impl Drop for FlightMark {
    fn drop(&mut self) {
        let mut requests = self.table.lock();
        if let Some(count) = requests.get_mut(&self.connection) {
            *count -= 1;
            if *count == 0 {
                requests.swap_remove(&self.connection);
            }
        }
    }
}

impl FlightTable {
    /// Marks the connection that the server sees as coming from `connection`.
    pub fn mark(&self, connection: SocketAddr) -> FlightMark {
        *self.lock().entry(connection).or_default() += 1;
        FlightMark {
            table: self.clone(),
            connection,
        }
    }

    fn contains(&self, connection: SocketAddr) -> bool {
        self.lock().contains_key(&connection)
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<SocketAddr, usize>> {
        self.requests
            .lock()
            .expect("no holder of the flight table panics")
    }
}

/// A listening relay; it stops taking connections when dropped.
#[derive(Debug)]
pub struct CallerRelay {
    address: SocketAddr,
    _stop: oneshot::Sender<()>,
}

impl CallerRelay {
    /// Relays connections to `address` on to `upstream`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        upstream: SocketAddr,
        limits: RelayLimits,
        flights: FlightTable,
    ) -> Result<Self, ServerError> {
        let bind_error = |source| ServerError::Bind { address, source };
        let listener = std::net::TcpListener::bind(address).map_err(bind_error)?;
        listener.set_nonblocking(true).map_err(bind_error)?;
        let bound = listener.local_addr().map_err(bind_error)?;
        let _context = runtime().enter();
        let listener = TcpListener::from_std(listener).map_err(bind_error)?;
        let (stop, stopped) = oneshot::channel();
        runtime().spawn(async move {
            let room = Arc::new(Semaphore::new(limits.connections));
            tokio::select! {
                () = accept_callers(listener, upstream, limits, flights, &room) => {}
                () = pulse_server(upstream, limits.connections, &room) => {}
                _ = stopped => {}
            }
        });
        Ok(Self {
            address: bound,
            _stop: stop,
        })
    }

    /// Address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept_callers(
    listener: TcpListener,
    upstream: SocketAddr,
    limits: RelayLimits,
    flights: FlightTable,
    room: &Arc<Semaphore>,
) {
    loop {
        let (caller, remote) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        match Arc::clone(room).try_acquire_owned() {
            Ok(permit) => {
                let flights = flights.clone();
                tokio::spawn(async move {
                    relay_connection(caller, upstream, limits, flights).await;
                    drop(permit);
                });
            }
            // Dropping the socket closes it before a byte was taken.
            Err(_) => tracing::warn!(event = "connection_refused", %remote),
        }
    }
}

/// Opens and closes empty connections while callers have connections open.
async fn pulse_server(upstream: SocketAddr, connections: usize, room: &Semaphore) {
    loop {
        tokio::time::sleep(PULSE_INTERVAL).await;
        if room.available_permits() < connections {
            // The next one makes up for a failure.
            let _ = TcpStream::connect(upstream).await;
        }
    }
}

async fn relay_connection(
    caller: TcpStream,
    upstream: SocketAddr,
    limits: RelayLimits,
    flights: FlightTable,
) {
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    let Ok(connection) = server.local_addr() else {
        return;
    };
    // Failures only cost latency.
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let activity = ConnectionActivity::new();
    let (caller_reader, caller_writer) = caller.into_split();
    let (server_reader, server_writer) = server.into_split();
    let upward = async {
        // The answer is still to come when the caller has ended its side.
        let _ = copy_requests(caller_reader, server_writer, &activity).await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = upward => {}
        _ = copy_answers(server_reader, caller_writer, &activity) => {}
        () = watch(&activity, connection, limits, &flights) => {
            tracing::info!(event = "connection_closed", %connection, reason = "silent");
        }
    }
}

/// When a connection was last heard of.
#[derive(Clone, Copy, Debug)]
struct ActivityTimes {
    last_at: Instant,
    /// Start of a request that has not been served yet.
    receiving_since: Option<Instant>,
    /// Start of a write that the caller has not taken yet.
    writing_since: Option<Instant>,
}

/// The times of one connection, shared by its two directions.
#[derive(Debug)]
struct ConnectionActivity {
    times: Mutex<ActivityTimes>,
}

impl ConnectionActivity {
    fn new() -> Self {
        Self {
            times: Mutex::new(ActivityTimes {
                last_at: Instant::now(),
                receiving_since: None,
                writing_since: None,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ActivityTimes> {
        self.times.lock().expect("no holder of the times panics")
    }

    fn receive(&self) {
        let now = Instant::now();
        let mut times = self.lock();
        times.last_at = now;
        times.receiving_since.get_or_insert(now);
    }

    fn start_writing(&self) {
        let mut times = self.lock();
        times.receiving_since = None;
        times.writing_since = Some(Instant::now());
    }

    fn end_writing(&self) {
        let mut times = self.lock();
        times.writing_since = None;
        times.last_at = Instant::now();
    }

    /// Whether the connection has been silent or slow for too long.
    fn is_over(&self, served: bool, limits: RelayLimits) -> bool {
        let now = Instant::now();
        let mut times = self.lock();
        if served && times.writing_since.is_none() {
            times.receiving_since = None;
            times.last_at = now;
            return false;
        }
        let late = |since: Option<Instant>| since.is_some_and(|at| now - at > limits.receive);
        late(times.receiving_since)
            || late(times.writing_since)
            || now - times.last_at > limits.idle
    }
}

async fn copy_requests(
    mut caller: OwnedReadHalf,
    mut server: OwnedWriteHalf,
    activity: &ConnectionActivity,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = caller.read(&mut chunk).await?;
        if length == 0 {
            return server.shutdown().await;
        }
        activity.receive();
        server.write_all(&chunk[..length]).await?;
    }
}

async fn copy_answers(
    mut server: OwnedReadHalf,
    mut caller: OwnedWriteHalf,
    activity: &ConnectionActivity,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = server.read(&mut chunk).await?;
        if length == 0 {
            return caller.shutdown().await;
        }
        activity.start_writing();
        caller.write_all(&chunk[..length]).await?;
        activity.end_writing();
    }
}

/// Returns when the connection has been silent or slow for too long.
async fn watch(
    activity: &ConnectionActivity,
    connection: SocketAddr,
    limits: RelayLimits,
    flights: &FlightTable,
) {
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        if activity.is_over(flights.contains(connection), limits) {
            return;
        }
    }
}
