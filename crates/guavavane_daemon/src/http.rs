//! Runs HTTP servers for operators, health checks and callers, with a pool of threads.

use std::io::Read;
use std::net::SocketAddr;
use std::thread::JoinHandle;

use rouille::Request;
use rouille::Response;
use serde::Serialize;
use thiserror::Error;

/// Error in starting an HTTP server.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The address cannot be bound.
    #[error("cannot listen on {address}: {reason}")]
    Bind {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error of the operating system, as text.
        reason: String,
    },
}

/// A running HTTP server; dropping it stops the server.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: std::sync::mpsc::Sender<()>,
    _thread: JoinHandle<()>,
}

impl HttpServer {
    /// Listens on `address` and answers requests with `handler`.
    ///
    /// `handler` runs on at most `threads` threads at once.
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

    /// Address that the server listens on, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        // Fails if the thread of the server has already ended.
        let _ = self.stop.send(());
    }
}

/// Outcome of reading the body of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyOutcome {
    /// The complete body.
    Whole(Vec<u8>),
    /// The body is longer than the limit.
    Oversized,
    /// The connection failed, or the body was already read.
    Broken,
}

/// Reads the body of a request, up to `limit_bytes`.
pub fn read_body(request: &Request, limit_bytes: usize) -> BodyOutcome {
    let Some(body) = request.data() else {
        return BodyOutcome::Broken;
    };
    let mut bytes = Vec::new();
    // One byte more than the limit shows that the body exceeds it.
    let read_limit_bytes = limit_bytes as u64 + 1;
    match body.take(read_limit_bytes).read_to_end(&mut bytes) {
        Ok(_) if bytes.len() > limit_bytes => BodyOutcome::Oversized,
        Ok(_) => BodyOutcome::Whole(bytes),
        Err(_) => BodyOutcome::Broken,
    }
}

/// Returns a response with `value` as JSON, or status 500 if it cannot be serialised.
pub fn json_response<T: Serialize>(value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(bytes) => Response::from_data("application/json", bytes),
        Err(error) => Response::text(error.to_string()).with_status_code(500),
    }
}
