//! A small TCP relay for silent cuts.
//!
//! While a direction is dropped its bytes stay unread, as after a cut in the network: both ends
//! keep their connections, nothing arrives, and what was sent is delivered if the cut heals.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::Mutex;
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

/// Time between two looks at the mode.
const LOOK_INTERVAL_MS: u64 = 5;
/// Delay of a chunk.
const DELAY_MS: u64 = 250;
/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Time-out of a connection to the target.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// What the relay does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RelayMode {
    /// Passes them on.
    #[default]
    Pass,
    /// Passes nothing in either direction.
    Drop,
    /// Passes nothing towards the target.
    DropForward,
    /// Passes nothing back from the target.
    DropBack,
    /// Closes all connections and takes none.
    Close,
    /// Passes each chunk on after a while.
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
            _ => bail!("{text:?} is not one of pass, drop, drop-forward, drop-back, close, delay"),
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayDirection {
    Forward,
    Back,
}

/// A running relay; its threads end with the process.
#[derive(Clone, Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    state: Arc<Mutex<RelayState>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RelayState {
    mode: RelayMode,
    cut_process: Option<u32>,
}

/// One relayed connection.
#[derive(Clone, Debug)]
struct RelayedConnection {
    relay: TcpRelay,
    caller: Option<SocketInode>,
}

impl TcpRelay {
    /// Relays connections that arrive at `listen` to `target`.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(listen)
            .with_context(|| format!("relay cannot listen on {listen}"))?;
        let relay = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let accepting = relay.clone();
        thread::spawn(move || accepting.accept(&listener, target));
        Ok(relay)
    }

    /// Address at which it takes connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it does with bytes now.
    pub fn mode(&self) -> RelayMode {
        self.state().mode
    }

    /// Changes what it does with bytes.
    pub fn set_mode(&self, mode: RelayMode) {
        self.change(|state| state.mode = mode);
    }

    /// Passes nothing in either direction on connections that this process opened.
    pub fn cut_process(&self, process: Option<u32>) {
        self.change(|state| state.cut_process = process);
    }

    fn state(&self) -> RelayState {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, action: impl FnOnce(&mut RelayState)) {
        action(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Takes modes as `POST /mode` at `listen`, for relays in a process of their own.
    pub fn serve_control(&self, listen: SocketAddr) -> Result<SocketAddr> {
        let relay = self.clone();
        let server = rouille::Server::new(listen, move |request| relay.control(request))
            .map_err(|error| anyhow!("relay control cannot listen on {listen}: {error}"))?;
        let address = server.server_addr();
        thread::spawn(move || server.run());
        Ok(address)
    }

    fn control(&self, request: &Request) -> Response {
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

    fn accept(&self, listener: &TcpListener, target: SocketAddr) {
        for arrival in listener.incoming() {
            let Ok(arrival) = arrival else {
                continue;
            };
            if self.mode() == RelayMode::Close {
                continue;
            }
            let relay = self.clone();
            thread::spawn(move || RelayedConnection::join(relay, arrival, target));
        }
    }
}

impl RelayedConnection {
    fn join(relay: TcpRelay, near: TcpStream, target: SocketAddr) {
        let caller = match (near.peer_addr(), near.local_addr()) {
            (Ok(peer), Ok(local)) => SocketInode::find(peer, local),
            _ => None,
        };
        let connection = Self { relay, caller };

        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let Ok(far) = TcpStream::connect_timeout(&target, timeout) else {
            return;
        };
        let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let forward = connection.clone();
        thread::spawn(move || forward.pump(near_reader, far, RelayDirection::Forward));
        connection.pump(far_reader, near, RelayDirection::Back);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, direction: RelayDirection) {
        let interval = Duration::from_millis(LOOK_INTERVAL_MS);
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
            if self.drops(direction) {
                thread::sleep(interval);
                continue;
            }
            match from.read(&mut chunk) {
                Ok(0) => break,
                Ok(count) if self.forward(&mut to, &chunk[..count], direction) => {}
                Err(error) if is_pause(&error) => {}
                _ => break,
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }

    /// Passes a chunk on, once the direction is open: a cut may have come while it was read.
    fn forward(&self, to: &mut TcpStream, chunk: &[u8], direction: RelayDirection) -> bool {
        while self.drops(direction) {
            thread::sleep(Duration::from_millis(LOOK_INTERVAL_MS));
        }
        if self.relay.mode() == RelayMode::Delay {
            thread::sleep(Duration::from_millis(DELAY_MS));
        }
        to.write_all(chunk).is_ok()
    }

    fn drops(&self, direction: RelayDirection) -> bool {
        let state = self.relay.state();
        let cut = || {
            let process = state.cut_process?;
            Some(self.caller?.is_open_in(process))
        };
        drops(state.mode, direction) || cut().unwrap_or(false)
    }
}

fn drops(mode: RelayMode, direction: RelayDirection) -> bool {
    match mode {
        RelayMode::Pass | RelayMode::Close | RelayMode::Delay => false,
        RelayMode::Drop => true,
        RelayMode::DropForward => direction == RelayDirection::Forward,
        RelayMode::DropBack => direction == RelayDirection::Back,
    }
}

fn is_pause(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}
