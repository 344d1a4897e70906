//! HTTP listeners for operators, health checks and callers.

use std::io::Read;
use std::net::SocketAddr;
use std::thread::JoinHandle;

use rouille::Request;
use rouille::Response;
use serde::Serialize;
use thiserror::Error;

/// Why a listener did not start.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The address cannot be bound.
    #[error("cannot listen on {address}: {reason}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        reason: String,
    },
}

/// A listening server; it stops when dropped.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: std::sync::mpsc::Sender<()>,
    _thread: JoinHandle<()>,
}

impl HttpServer {
    /// Listens on `address` and answers with `handler` on at most `threads` threads.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start<F>(address: SocketAddr, threads: usize, handler: F) -> Result<Self, HttpError>
    where
        F: Fn(&Request) -> Response + Send + Sync + 'static,
    {
        let server = rouille::Server::new(address, handler).map_err(|error| HttpError::Bind {
            address,
            reason: error.to_string(),
        })?;
        let server = server.pool_size(threads);
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        Ok(Self {
            address,
            stop,
            _thread: thread,
        })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        // The server thread may have ended by itself.
        let _ = self.stop.send(());
    }
}

/// Outcome of reading a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyOutcome {
    /// The body, whole.
    Whole(Vec<u8>),
    /// It is longer than the limit.
    Oversized,
    /// The connection broke or the body was read before.
    Broken,
}

/// Reads the body of a request up to `limit` bytes.
pub fn read_body(request: &Request, limit: usize) -> BodyOutcome {
    let Some(body) = request.data() else {
        return BodyOutcome::Broken;
    };
    let mut bytes = Vec::new();
    let bound = limit as u64 + 1;
    match body.take(bound).read_to_end(&mut bytes) {
        Ok(_) if bytes.len() > limit => BodyOutcome::Oversized,
        Ok(_) => BodyOutcome::Whole(bytes),
        Err(_) => BodyOutcome::Broken,
    }
}

/// Answers with a value as JSON.
pub fn json_response<T: Serialize>(value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(bytes) => Response::from_data("application/json", bytes),
        Err(error) => Response::text(error.to_string()).with_status_code(500),
    }
}
