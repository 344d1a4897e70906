//! Applies an [`IntakeTable`] to the connection tasks of a process.
//!
//! Each accepted connection holds a [`ConnectionTicket`]. A connection that the table chooses is closed
//! by aborting its task. The memory and the descriptors of a process are common to all of its
//! listeners, so they share one gate.

use std::future::Future;
use std::io;
use std::os::fd::AsFd;
use std::sync::LazyLock;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use indexmap::IndexMap;
use rustix::io::Errno;
use tokio::task::yield_now;
use tokio::task::AbortHandle;

use super::limits::IntakeLimits;
use super::log_limiter::LogLimiter;
use super::table::BoundReached;
use super::table::ClosedConnection;
use super::table::ConnectionId;
use super::table::ConnectionPhase;
use super::table::IntakeBound;
use super::table::IntakeTable;

/// Maximum number of log lines a second about connections that are closed or refused.
const LOG_LINES_MAX: u32 = 10;
/// Memory of an open connection in bytes, besides the charged bytes: its task and read buffer.
const CONNECTION_BYTES: usize = 16 << 10;
/// Decrease of the memory in use, in bytes, that is reported as the end of a load: a body of the
/// largest legal size.
const LOAD_BYTES: usize = 4 << 20;

/// Gate of all listeners of the process.
static PROCESS_GATE: LazyLock<IntakeGate> =
    LazyLock::new(|| IntakeGate::new(IntakeLimits::default()));

/// Event that an observer counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeEvent {
    /// A connection was closed for a bound.
    Closed(IntakeBound),
    /// A connection or a request was refused for a bound.
    Refused(IntakeBound),
    /// Much less memory is in use than before.
    LoadEnded,
}

/// Function that is called with each event.
pub type IntakeObserver = fn(IntakeEvent);

/// Amounts that are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeUsage {
    /// Number of accepted connections.
    pub connections: usize,
    /// Number of connections with a half-received request.
    pub partial_requests: usize,
    /// Bytes of requests that are received or served.
    pub buffered_bytes: usize,
}

#[derive(Debug)]
struct GateState {
    table: IntakeTable,
    tasks: IndexMap<ConnectionId, AbortHandle>,
    limiter: LogLimiter,
    observer: Option<IntakeObserver>,
    /// Largest memory in use since the last end of a load, in bytes.
    peak_bytes: usize,
}

impl GateState {
    fn used_bytes(&self) -> usize {
        self.table.buffered_bytes() + self.table.connections() * CONNECTION_BYTES
    }

    fn notify(&self, event: IntakeEvent) {
        if let Some(observer) = self.observer {
            observer(event);
        }
    }

    /// Aborts the task of a connection that the table has closed.
    fn close(&mut self, closed: ClosedConnection) {
        if let Some(task) = self.tasks.swap_remove(&closed.id) {
            task.abort();
        }
        self.notify(IntakeEvent::Closed(closed.bound));
        if let Some(suppressed) = self.limiter.admit_line(Instant::now()) {
            tracing::info!(
                event = "connection_closed",
                connection = closed.id.0,
                bound = closed.bound.name(),
                phase = ?closed.phase,
                stalled_ms = closed.stalled.as_millis(),
                bytes = closed.bytes,
                buffered_bytes = self.table.buffered_bytes(),
                partial_requests = self.table.partial_requests(),
                connections = self.table.connections(),
                suppressed
            );
        }
    }

    fn refuse(&mut self, bound: IntakeBound) {
        self.notify(IntakeEvent::Refused(bound));
        if let Some(suppressed) = self.limiter.admit_line(Instant::now()) {
            tracing::info!(
                event = "intake_refused",
                bound = bound.name(),
                buffered_bytes = self.table.buffered_bytes(),
                partial_requests = self.table.partial_requests(),
                connections = self.table.connections(),
                suppressed
            );
        }
    }

    /// Charges the table, and closes the connections that it chooses.
    fn charge_with(
        &mut self,
        charge: impl FnOnce(&mut IntakeTable, &mut Vec<ClosedConnection>) -> Result<(), BoundReached>,
    ) -> Result<(), BoundReached> {
        let mut closed = Vec::new();
        let charged = charge(&mut self.table, &mut closed);
        for closed in closed {
            self.close(closed);
        }
        if let Err(BoundReached(bound)) = charged {
            self.refuse(bound);
        }
        self.note_peak();
        charged
    }

    fn note_peak(&mut self) {
        self.peak_bytes = self.peak_bytes.max(self.used_bytes());
    }

    fn note_decrease(&mut self) {
        let used = self.used_bytes();
        if self.peak_bytes >= used + LOAD_BYTES {
            self.peak_bytes = used;
            self.notify(IntakeEvent::LoadEnded);
        }
    }
}

/// Bounds of a process with the connections that they apply to.
#[derive(Debug)]
pub struct IntakeGate {
    state: Mutex<GateState>,
}

impl IntakeGate {
    /// Creates a gate without connections.
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            state: Mutex::new(GateState {
                table: IntakeTable::new(limits),
                tasks: IndexMap::new(),
                limiter: LogLimiter::new(LOG_LINES_MAX),
                observer: None,
                peak_bytes: 0,
            }),
        }
    }

    /// Gate of all listeners of the process; its bounds are the defaults until they are set.
    pub fn of_process() -> &'static Self {
        &PROCESS_GATE
    }

    /// Sets the bounds, and the function that is called with each event. It must not call the gate.
    pub fn configure(&self, limits: IntakeLimits, observer: IntakeObserver) {
        let mut state = self.lock();
        state.table.replace_limits(limits);
        state.observer = Some(observer);
    }

    /// Bounds in force.
    pub fn limits(&self) -> IntakeLimits {
        self.lock().table.limits()
    }

    /// Amounts that are in use.
    pub fn usage(&self) -> IntakeUsage {
        let state = self.lock();
        IntakeUsage {
            connections: state.table.connections(),
            partial_requests: state.table.partial_requests(),
            buffered_bytes: state.table.buffered_bytes(),
        }
    }

    /// Bounds the receive buffers of the connections that a listener accepts from now on.
    pub fn limit_receive_buffers(&self, listener: impl AsFd) {
        let Some(bytes) = self.limits().receive_buffer_bytes else {
            return;
        };
        if let Err(error) = rustix::net::sockopt::set_socket_recv_buffer_size(listener, bytes) {
            tracing::warn!(event = "receive_buffer_unlimited", %error);
        }
    }

    /// Spawns the task of an accepted connection, or drops the connection if all others are busy and
    /// the bound on connections is reached.
    ///
    /// Yields once if another connection was closed for it, so that the descriptor of that one is free
    /// before the next accept.
    pub async fn spawn_connection<F, R>(&'static self, start: F)
    where
        F: FnOnce(ConnectionTicket) -> R,
        R: Future<Output = ()> + Send + 'static,
    {
        let (id, has_closed) = {
            let mut state = self.lock();
            match state.table.admit(Instant::now()) {
                Ok((id, closed)) => {
                    if let Some(closed) = closed {
                        state.close(closed);
                    }
                    state.note_peak();
                    (id, closed.is_some())
                }
                Err(BoundReached(bound)) => return state.refuse(bound),
            }
        };
        let ticket = ConnectionTicket { gate: self, id };
        let task = tokio::spawn(start(ticket));
        self.attach(id, task.abort_handle());
        if has_closed {
            yield_now().await;
        }
    }

    /// Charges the bytes of a call that waits for an answer of another process, and closes half-received
    /// requests if need be.
    ///
    /// # Errors
    ///
    /// Fails, without a charge, if the bytes do not fit even so.
    pub fn begin_call(&'static self, bytes: usize) -> Result<CallCharge, BoundReached> {
        self.lock()
            .charge_with(|table, closed| table.begin_call(bytes, Instant::now(), closed))?;
        Ok(CallCharge { gate: self, bytes })
    }

    /// Reports a failed accept, and closes a connection if it failed for lack of descriptors.
    pub fn note_accept_error(&self, error: &io::Error) {
        let mut state = self.lock();
        if let Some(suppressed) = state.limiter.admit_line(Instant::now()) {
            tracing::warn!(event = "accept_failed", %error, suppressed);
        }
        let errno = Errno::from_io_error(error);
        if matches!(errno, Some(Errno::MFILE | Errno::NFILE)) {
            if let Some(closed) = state.table.close_for_descriptor(Instant::now()) {
                state.close(closed);
            }
        }
    }

    /// Number of lines left out since the last one, if a line may be written now; all lines about
    /// refused requests and broken streams share the limit.
    pub fn admit_log_line(&self) -> Option<u64> {
        self.lock().limiter.admit_line(Instant::now())
    }

    fn attach(&self, id: ConnectionId, task: AbortHandle) {
        let mut state = self.lock();
        if state.table.contains(id) {
            state.tasks.insert(id, task);
        } else {
            task.abort();
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Charge of a call that waits for an answer; taken back when it is dropped.
#[derive(Debug)]
pub struct CallCharge {
    gate: &'static IntakeGate,
    bytes: usize,
}

impl Drop for CallCharge {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.table.end_call(self.bytes);
        state.note_decrease();
    }
}

/// Admission of an accepted connection, which counts until the ticket is dropped.
#[derive(Debug)]
pub struct ConnectionTicket {
    gate: &'static IntakeGate,
    id: ConnectionId,
}

impl Drop for ConnectionTicket {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.tasks.swap_remove(&self.id);
        state.table.remove(self.id);
        state.note_decrease();
    }
}

impl ConnectionTicket {
    /// Gate that the ticket belongs to.
    pub fn gate(&self) -> &'static IntakeGate {
        self.gate
    }

    /// Makes another task the one that is aborted to close the connection.
    pub fn replace_task(&self, task: AbortHandle) {
        self.gate.attach(self.id, task);
    }

    /// Changes the phase of the connection.
    pub fn enter(&self, phase: ConnectionPhase) {
        let mut state = self.gate.lock();
        if let Some(closed) = state.table.enter(self.id, phase, Instant::now()) {
            state.close(closed);
        }
    }

    /// Notes bytes that have arrived for a half-received request.
    pub fn note_received(&self, bytes: usize) {
        let mut state = self.gate.lock();
        state.table.note_received(self.id, bytes, Instant::now());
    }

    /// Charges bytes, and closes half-received requests of other connections if need be.
    ///
    /// # Errors
    ///
    /// Fails, without a charge, if the bytes do not fit even so.
    pub fn charge(&self, bytes: usize) -> Result<(), BoundReached> {
        self.gate
            .lock()
            .charge_with(|table, closed| table.charge(self.id, bytes, Instant::now(), closed))
    }

    /// Takes back the charge down to `kept` bytes.
    pub fn release(&self, kept: usize) {
        let mut state = self.gate.lock();
        state.table.release(self.id, kept);
        state.note_decrease();
    }
}
