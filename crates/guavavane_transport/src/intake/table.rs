//! Connections of a process with their phases and charged bytes, and the choice of what to close.
//!
//! Bytes are charged as they arrive, never as announced. When a bound is reached, the half-received
//! request that has gone longest without progress is closed, then the connection whose response has
//! been unread for longest; requests that are served are never closed. A connection makes progress
//! with each `PROGRESS_BYTES`, so that a sender of single bytes can still be chosen.
//!
//! A part of the bytes is for small requests, which ordinary callers send: requests that are served may
//! take the rest for as long as they wait. A call that waits for an answer of another process is charged
//! by itself, since it stays in memory after its caller has closed the connection.
//!
//! A connection is closed for another one in this order: half-received or unused ones that have
//! stalled; then the oldest of the larger group, half-received and unused ones or idle ones, so that
//! many new connections do not evict all idle connections of ordinary callers.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use super::limits::IntakeLimits;

/// Bytes after which a half-received request has made progress.
const PROGRESS_BYTES: usize = 512;
/// Time without progress after which a connection has stalled: longer than a round trip and a delay
/// of the process.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Largest request in bytes that may use the part of the memory for small ones.
const SMALL_REQUEST_BYTES: usize = 32 << 10;

/// Number of a connection; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What a connection is used for at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No request has been received yet.
    Unused,
    /// A part of a request has been received.
    Partial,
    /// A complete request is served, or the connection is a stream in use; it is not closed.
    Busy,
    /// A request has been served, and no next one has begun; the response may not be written yet.
    Idle,
}

/// Bound that a connection is closed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeBound {
    /// Bytes of requests.
    BufferedBytes,
    /// Connections.
    Connections,
    /// Half-received requests.
    PartialRequests,
    /// Descriptors of the process.
    Descriptors,
}

impl IntakeBound {
    /// Name for log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::BufferedBytes => "buffered_bytes",
            Self::Connections => "connections",
            Self::PartialRequests => "partial_requests",
            Self::Descriptors => "descriptors",
        }
    }
}

/// Connection that is to be closed. It no longer counts, and its bytes are no longer charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedConnection {
    /// Number of the connection.
    pub id: ConnectionId,
    /// Bound that it is closed for.
    pub bound: IntakeBound,
    /// Phase that it was in.
    pub phase: ConnectionPhase,
    /// Time since its last progress.
    pub stalled: Duration,
    /// Bytes that were charged for it.
    pub bytes: usize,
}

/// A bound is reached, and no connection may be closed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundReached(pub IntakeBound);

#[derive(Debug)]
struct ConnectionEntry {
    phase: ConnectionPhase,
    /// Last progress, or the start of the phase.
    since: Instant,
    /// Bytes received since the last progress.
    pending_bytes: usize,
    /// Bytes that are charged.
    bytes: usize,
}

/// Connections in the order of their last progress.
type AgeOrder = BTreeSet<(Instant, ConnectionId)>;

/// Connections of a process, within its bounds.
#[derive(Debug)]
pub struct IntakeTable {
    limits: IntakeLimits,
    connections: IndexMap<ConnectionId, ConnectionEntry>,
    unused: AgeOrder,
    partial: AgeOrder,
    idle: AgeOrder,
    /// Bytes of the connections and of the waiting calls.
    buffered_bytes: usize,
    last_id: u64,
}

impl IntakeTable {
    /// Creates a table without connections.
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            connections: IndexMap::new(),
            unused: AgeOrder::new(),
            partial: AgeOrder::new(),
            idle: AgeOrder::new(),
            buffered_bytes: 0,
            last_id: 0,
        }
    }

    /// Bounds in force.
    pub fn limits(&self) -> IntakeLimits {
        self.limits
    }

    /// Replaces the bounds; they apply to what comes next.
    pub fn replace_limits(&mut self, limits: IntakeLimits) {
        self.limits = limits;
    }

    /// Whether a connection is neither closed nor removed.
    pub fn contains(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Bytes that are charged to a connection.
    fn charged_bytes(&self, id: ConnectionId) -> usize {
        self.connections.get(&id).map_or(0, |entry| entry.bytes)
    }

    /// Number of connections with a half-received request.
    pub fn partial_requests(&self) -> usize {
        self.partial.len()
    }

    /// Bytes that are charged.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Adds a connection, in place of another one if there are as many as allowed.
    ///
    /// # Errors
    ///
    /// Fails if all connections are busy.
    pub fn admit(
        &mut self,
        now: Instant,
    ) -> Result<(ConnectionId, Option<ClosedConnection>), BoundReached> {
        let mut closed = None;
        if self.connections.len() >= self.limits.connections {
            let bound = IntakeBound::Connections;
            closed = Some(self.close_one(bound, now).ok_or(BoundReached(bound))?);
        }
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let entry = ConnectionEntry {
            phase: ConnectionPhase::Unused,
            since: now,
            pending_bytes: 0,
            bytes: 0,
        };
        self.connections.insert(id, entry);
        self.unused.insert((now, id));
        Ok((id, closed))
    }

    /// Closes a connection to free its descriptor; `None` if all are busy.
    pub fn close_for_descriptor(&mut self, now: Instant) -> Option<ClosedConnection> {
        self.close_one(IntakeBound::Descriptors, now)
    }

    /// Changes the phase of a connection. One that becomes partial may close another one.
    pub fn enter(
        &mut self,
        id: ConnectionId,
        phase: ConnectionPhase,
        now: Instant,
    ) -> Option<ClosedConnection> {
        self.set_progress(id, phase, now);
        let is_over = self.partial.len() > self.limits.partial_requests;
        if phase != ConnectionPhase::Partial || !is_over {
            return None;
        }
        let oldest = self.oldest_partial_but(id)?;
        self.close(oldest, IntakeBound::PartialRequests, now)
    }

    /// Notes bytes that have arrived for a half-received request.
    pub fn note_received(&mut self, id: ConnectionId, bytes: usize, now: Instant) {
        let Some(entry) = self.connections.get_mut(&id) else {
            return;
        };
        entry.pending_bytes = entry.pending_bytes.saturating_add(bytes);
        if entry.pending_bytes >= PROGRESS_BYTES {
            let phase = entry.phase;
            self.set_progress(id, phase, now);
        }
    }

    /// Charges bytes to a connection and adds the connections to close for them to `closed`.
    ///
    /// # Errors
    ///
    /// Fails, without a charge, if the bytes do not fit even so.
    pub fn charge(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        now: Instant,
        closed: &mut Vec<ClosedConnection>,
    ) -> Result<(), BoundReached> {
        let bound = IntakeBound::BufferedBytes;
        if !self.contains(id) {
            // The connection was closed, and its task has not ended yet.
            return Err(BoundReached(bound));
        }
        let request_bytes = self.charged_bytes(id).saturating_add(bytes);
        self.make_room(bytes, request_bytes, Some(id), now, closed)?;
        let entry = self.connections.get_mut(&id).ok_or(BoundReached(bound))?;
        entry.bytes += bytes;
        self.buffered_bytes += bytes;
        Ok(())
    }

    /// Charges the bytes of a call that waits for an answer, whether its connection stays open or not, and
    /// adds the connections to close for them to `closed`. They are taken back by [`Self::end_call`].
    ///
    /// # Errors
    ///
    /// Fails, without a charge, if the bytes do not fit even so.
    pub fn begin_call(
        &mut self,
        bytes: usize,
        now: Instant,
        closed: &mut Vec<ClosedConnection>,
    ) -> Result<(), BoundReached> {
        self.make_room(bytes, bytes, None, now, closed)?;
        self.buffered_bytes += bytes;
        Ok(())
    }

    /// Takes back the charge of [`Self::begin_call`].
    pub fn end_call(&mut self, bytes: usize) {
        self.buffered_bytes -= bytes;
    }

    /// Closes connections with charged bytes, except the given one, until `bytes` of a request that has
    /// `request_bytes` in all fit within the bound.
    fn make_room(
        &mut self,
        bytes: usize,
        request_bytes: usize,
        except: Option<ConnectionId>,
        now: Instant,
        closed: &mut Vec<ClosedConnection>,
    ) -> Result<(), BoundReached> {
        let bound = IntakeBound::BufferedBytes;
        let bytes_max = if request_bytes > SMALL_REQUEST_BYTES {
            self.limits.shared_bytes()
        } else {
            self.limits.buffered_bytes
        };
        while self.buffered_bytes.saturating_add(bytes) > bytes_max {
            let oldest = self.oldest_charged(&self.partial, except);
            let oldest = oldest.or_else(|| self.oldest_charged(&self.idle, except));
            let oldest = oldest.ok_or(BoundReached(bound))?;
            closed.extend(self.close(oldest, bound, now));
        }
        Ok(())
    }

    /// Takes back the charge of a connection down to `kept` bytes.
    pub fn release(&mut self, id: ConnectionId, kept: usize) {
        if let Some(entry) = self.connections.get_mut(&id) {
            let released = entry.bytes.saturating_sub(kept);
            entry.bytes -= released;
            self.buffered_bytes -= released;
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        self.take(id);
    }

    fn take(&mut self, id: ConnectionId) -> Option<ConnectionEntry> {
        let entry = self.connections.swap_remove(&id)?;
        if let Some(order) = self.order(entry.phase) {
            order.remove(&(entry.since, id));
        }
        self.buffered_bytes -= entry.bytes;
        Some(entry)
    }

    fn order(&mut self, phase: ConnectionPhase) -> Option<&mut AgeOrder> {
        match phase {
            ConnectionPhase::Unused => Some(&mut self.unused),
            ConnectionPhase::Partial => Some(&mut self.partial),
            ConnectionPhase::Idle => Some(&mut self.idle),
            ConnectionPhase::Busy => None,
        }
    }

    fn set_progress(&mut self, id: ConnectionId, phase: ConnectionPhase, now: Instant) {
        let Some(entry) = self.connections.get_mut(&id) else {
            return;
        };
        let (old_phase, old_since) = (entry.phase, entry.since);
        entry.phase = phase;
        entry.since = now;
        entry.pending_bytes = 0;
        if let Some(order) = self.order(old_phase) {
            order.remove(&(old_since, id));
        }
        if let Some(order) = self.order(phase) {
            order.insert((now, id));
        }
    }

    fn oldest_partial_but(&self, id: ConnectionId) -> Option<ConnectionId> {
        let mut ids = self.partial.iter().map(|(_, other)| *other);
        ids.find(|other| *other != id)
    }

    /// Oldest connection of a phase with charged bytes: closing one without any frees no memory. An
    /// idle connection is charged for a response that its peer has not read.
    fn oldest_charged(
        &self,
        order: &AgeOrder,
        except: Option<ConnectionId>,
    ) -> Option<ConnectionId> {
        let mut ids = order.iter().map(|(_, other)| *other);
        ids.find(|other| Some(*other) != except && self.connections[other].bytes > 0)
    }

    fn close(
        &mut self,
        id: ConnectionId,
        bound: IntakeBound,
        now: Instant,
    ) -> Option<ClosedConnection> {
        let entry = self.take(id)?;
        Some(ClosedConnection {
            id,
            bound,
            phase: entry.phase,
            stalled: now.saturating_duration_since(entry.since),
            bytes: entry.bytes,
        })
    }

    fn close_one(&mut self, bound: IntakeBound, now: Instant) -> Option<ClosedConnection> {
        let (partial, unused) = (self.partial.first(), self.unused.first());
        let begun = partial.into_iter().chain(unused).min().copied();
        let idle = self.idle.first().copied();
        let has_stalled = |(since, _): &(Instant, ConnectionId)| {
            now.saturating_duration_since(*since) >= STALL_TIME
        };
        let begun_group = self.partial.len() + self.unused.len();
        let (_, id) = if begun.as_ref().is_some_and(has_stalled) || begun_group > self.idle.len() {
            begun.or(idle)?
        } else {
            idle.or(begun)?
        };
        self.close(id, bound, now)
    }
}
