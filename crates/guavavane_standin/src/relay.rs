//! TCP relay that simulates network partitions and delays.
//!
//! While a direction is dropped, the relay does not read its bytes. As in a network partition, both
//! ends keep their connections, nothing arrives, and bytes in flight are delivered after the
//! partition has healed.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use anyhow::anyhow;
use anyhow::bail;
use anyhow::Context;
use anyhow::Result;
use rouille::Request;
use rouille::Response;

use crate::socket_owner::SocketInode;

/// Interval at which connections poll the mode of the relay.
const POLL_INTERVAL_MS: u64 = 5;
/// Delay of each chunk in [`RelayMode::Delay`].
const DELAY_MS: u64 = 250;
/// Largest chunk that is read and forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Timeout of the connection to the target.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Treatment of the bytes of all connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RelayMode {
    /// Forwards bytes in both directions.
    #[default]
    Pass,
    /// Forwards nothing in either direction.
    Drop,
    /// Forwards nothing to the target.
    DropForward,
    /// Forwards nothing from the target.
    DropBack,
    /// Closes all connections and new ones at once.
    Close,
    /// Forwards each chunk after a fixed delay.
    Delay,
}

impl FromStr for RelayMode {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self> {
        Ok(match text {
            "pass" => Self::Pass,
            "drop" => Self::Drop,
            "drop-forward" => Self::DropForward,
            "drop-back" => Self::DropBack,
            "close" => Self::Close,
            "delay" => Self::Delay,
            _ => bail!(
                "relay mode {text:?} is not one of pass, drop, drop-forward, drop-back, \
                 close, delay"
            ),
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayDirection {
    Forward,
    Back,
}

/// A running relay; clones share it, and its threads end with the process.
#[derive(Clone, Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    state: Arc<Mutex<RelayState>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RelayState {
    mode: RelayMode,
    /// Id of the process whose connections are dropped in both directions.
    cut_process: Option<u32>,
}

/// Ends of a client's connection, and its socket, by which its process is found.
///
/// The socket is looked up at the first cut of a process: the kernel's table of sockets takes long
/// to read while there are many.
#[derive(Debug)]
struct ClientSocket {
    /// Address of the client, then that of the relay.
    addresses: Option<(SocketAddr, SocketAddr)>,
    inode: OnceLock<Option<SocketInode>>,
}

impl ClientSocket {
    fn new(stream: &TcpStream) -> Self {
        let addresses = stream.peer_addr().ok().zip(stream.local_addr().ok());
        Self {
            addresses,
            inode: OnceLock::new(),
        }
    }

    /// Whether the process with this id has opened the connection.
    fn is_open_in(&self, process: u32) -> bool {
        let find_inode = || {
            let (client, relay) = self.addresses?;
            SocketInode::find(client, relay)
        };
        let inode = self.inode.get_or_init(find_inode);
        inode.is_some_and(|inode| inode.is_open_in(process))
    }
}

/// A relayed connection and the socket of the client.
#[derive(Clone, Debug)]
struct RelayedConnection {
    relay: TcpRelay,
    client_socket: Arc<ClientSocket>,
}

impl TcpRelay {
    /// Starts a relay that forwards connections from `listen` to `target`.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(listen)
            .with_context(|| format!("relay cannot listen on {listen}"))?;
        let relay = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let acceptor = relay.clone();
        thread::spawn(move || acceptor.accept_connections(&listener, target));
        Ok(relay)
    }

    /// Returns the address at which the relay accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the mode in force.
    pub fn mode(&self) -> RelayMode {
        self.state().mode
    }

    /// Sets the mode of all connections, open and new.
    pub fn set_mode(&self, mode: RelayMode) {
        self.update_state(|state| state.mode = mode);
    }

    /// Drops both directions of all connections that were opened by the process with this id;
    /// `None` ends that.
    pub fn cut_process(&self, process: Option<u32>) {
        self.update_state(|state| state.cut_process = process);
    }

    fn state(&self) -> RelayState {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update_state(&self, action: impl FnOnce(&mut RelayState)) {
        action(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Serves `POST /mode` at `listen`, which sets the mode; for a relay in a process of its own.
    pub fn serve_control(&self, listen: SocketAddr) -> Result<SocketAddr> {
        let relay = self.clone();
        let server =
            rouille::Server::new(listen, move |request| relay.handle_mode_request(request))
                .map_err(|error| anyhow!("relay control cannot listen on {listen}: {error}"))?;
        let address = server.server_addr();
        thread::spawn(move || server.run());
        Ok(address)
    }

    fn handle_mode_request(&self, request: &Request) -> Response {
        if request.method() != "POST" || request.url() != "/mode" {
            return Response::empty_404();
        }
        let text = rouille::input::plain_text_body(request).unwrap_or_default();
        match text.trim().parse() {
            Ok(mode) => {
                self.set_mode(mode);
                Response::empty_204()
            }
            Err(error) => Response::text(error.to_string()).with_status_code(400),
        }
    }

    fn accept_connections(&self, listener: &TcpListener, target: SocketAddr) {
        for accepted in listener.incoming() {
            let Ok(stream) = accepted else {
                continue;
            };
            if self.mode() == RelayMode::Close {
                continue;
            }
            let relay = self.clone();
            thread::spawn(move || RelayedConnection::run(relay, stream, target));
        }
    }
}

impl RelayedConnection {
    fn run(relay: TcpRelay, client_stream: TcpStream, target: SocketAddr) {
        let connection = Self {
            relay,
            client_socket: Arc::new(ClientSocket::new(&client_stream)),
        };

        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let Ok(server_stream) = TcpStream::connect_timeout(&target, timeout) else {
            return;
        };
        let (Ok(client_reader), Ok(server_reader)) =
            (client_stream.try_clone(), server_stream.try_clone())
        else {
            return;
        };
        let _ = client_stream.set_nodelay(true);
        let _ = server_stream.set_nodelay(true);
        let to_server = connection.clone();
        thread::spawn(move || {
            to_server.forward_direction(client_reader, server_stream, RelayDirection::Forward)
        });
        connection.forward_direction(server_reader, client_stream, RelayDirection::Back);
    }

    fn forward_direction(&self, mut from: TcpStream, mut to: TcpStream, direction: RelayDirection) {
        let interval = Duration::from_millis(POLL_INTERVAL_MS);
        if from.set_read_timeout(Some(interval)).is_err() {
            return;
        }
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            if self.relay.mode() == RelayMode::Close {
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
            if self.is_dropped(direction) {
                thread::sleep(interval);
                continue;
            }
            match from.read(&mut chunk) {
                Ok(0) => break,
                Ok(count) if self.forward_chunk(&mut to, &chunk[..count], direction) => {}
                Err(error) if is_read_timeout(&error) => {}
                _ => break,
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }

    /// Forwards a chunk once its direction is not dropped, since the mode may have changed while
    /// the chunk was read. Returns whether the write succeeded.
    fn forward_chunk(&self, to: &mut TcpStream, chunk: &[u8], direction: RelayDirection) -> bool {
        while self.is_dropped(direction) {
            thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
        if self.relay.mode() == RelayMode::Delay {
            thread::sleep(Duration::from_millis(DELAY_MS));
        }
        to.write_all(chunk).is_ok()
    }

    fn is_dropped(&self, direction: RelayDirection) -> bool {
        let state = self.relay.state();
        let is_cut = || {
            let process = state.cut_process?;
            Some(self.client_socket.is_open_in(process))
        };
        is_dropped(state.mode, direction) || is_cut().unwrap_or(false)
    }
}

fn is_dropped(mode: RelayMode, direction: RelayDirection) -> bool {
    match mode {
        RelayMode::Pass | RelayMode::Close | RelayMode::Delay => false,
        RelayMode::Drop => true,
        RelayMode::DropForward => direction == RelayDirection::Forward,
        RelayMode::DropBack => direction == RelayDirection::Back,
    }
}

fn is_read_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}
