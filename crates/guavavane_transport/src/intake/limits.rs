//! Bounds derived from the memory and the descriptors of the VM.
//!
//! Of the memory, a quarter is for bytes of requests, half for bytes that have arrived and are not
//! read yet (the receive buffers of all connections), an eighth for the state of the connections, and
//! the rest for the process itself. Not all of this is in use at the same time. An eighth of the bytes of
//! requests is for small ones, so that large ones that wait for an answer leave room for them.

use guavavane_protocol::call::FRAME_MAX_BYTES;

/// Size of the receive buffer of a connection in bytes. Less slows down large requests: a peer sends
/// one buffer for each round trip.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Divisor of the memory that gives the bound on bytes of requests.
const BUFFERED_DIVISOR: usize = 4;
/// Divisor of the memory that gives the size of all receive buffers.
const RECEIVE_BUFFERS_DIVISOR: usize = 2;
/// Divisor of the bound on bytes of requests that gives the part for small ones.
const RESERVED_DIVISOR: usize = 8;
/// Smallest bound on bytes of requests: a message of the largest size and its decoded form, besides the
/// part for small requests.
const BUFFERED_BYTES_MIN: usize =
    (2 * FRAME_MAX_BYTES + (64 << 10)) / (RESERVED_DIVISOR - 1) * RESERVED_DIVISOR;
/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Descriptors for listeners, for the runtime and for connections that the process opens itself.
const OWN_DESCRIPTORS: usize = 32;
/// Smallest bound on connections, for settings that leave none.
const CONNECTIONS_MIN: usize = 16;
/// Divisor of the bound on connections that gives the bound on half-received requests, so that
/// complete requests always find a connection.
const PARTIAL_DIVISOR: usize = 2;
/// Bound on bytes of requests without a setting: more than the callers of one thread send.
const BUFFERED_BYTES_DEFAULT: usize = 16 << 30;
/// Bound on connections without a setting: more than a process may have descriptors.
const CONNECTIONS_DEFAULT: usize = 1 << 20;
/// HTTP/2 window of an accepted stream in bytes, where the memory is bounded.
const WINDOW_BYTES: u32 = 256 << 10;

/// Bounds of a process on what it holds for its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Maximum number of bytes of requests that are received or served.
    pub buffered_bytes: usize,
    /// Part of `buffered_bytes` that only small requests may use.
    pub reserved_bytes: usize,
    /// Maximum number of accepted connections.
    pub connections: usize,
    /// Maximum number of connections with a half-received request.
    pub partial_requests: usize,
    /// Size of the receive buffer of a connection in bytes; none leaves it to the system.
    pub receive_buffer_bytes: Option<usize>,
    /// HTTP/2 window of an accepted stream in bytes; none leaves it to the transport.
    pub window_bytes: Option<u32>,
}

impl Default for IntakeLimits {
    fn default() -> Self {
        Self {
            buffered_bytes: BUFFERED_BYTES_DEFAULT,
            reserved_bytes: BUFFERED_BYTES_DEFAULT / RESERVED_DIVISOR,
            connections: CONNECTIONS_DEFAULT,
            partial_requests: CONNECTIONS_DEFAULT,
            receive_buffer_bytes: None,
            window_bytes: None,
        }
    }
}

impl IntakeLimits {
    /// Part of `buffered_bytes` that requests of any size may use.
    pub fn shared_bytes(&self) -> usize {
        self.buffered_bytes - self.reserved_bytes
    }

    /// Derives the bounds from the memory in bytes and the number of descriptors, as far as they are
    /// known.
    pub fn derive(memory_bytes: Option<usize>, descriptors: Option<usize>) -> Self {
        let mut limits = Self::default();
        if let Some(bytes) = memory_bytes {
            limits.buffered_bytes = (bytes / BUFFERED_DIVISOR).max(BUFFERED_BYTES_MIN);
            limits.reserved_bytes = limits.buffered_bytes / RESERVED_DIVISOR;
            limits.connections = bytes / RECEIVE_BUFFERS_DIVISOR / RECEIVE_BUFFER_BYTES;
            limits.receive_buffer_bytes = Some(RECEIVE_BUFFER_BYTES);
            limits.window_bytes = Some(WINDOW_BYTES);
        }
        if let Some(count) = descriptors {
            let sockets = count.saturating_sub(FILE_DESCRIPTORS + OWN_DESCRIPTORS);
            limits.connections = limits.connections.min(sockets);
        }
        limits.connections = limits.connections.max(CONNECTIONS_MIN);
        limits.partial_requests = limits.connections / PARTIAL_DIVISOR;
        limits
    }
}
