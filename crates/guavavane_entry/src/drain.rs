//! Admission of requests and the phases of an entry, from its start to its graceful shutdown.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use serde::Serialize;

/// Phase of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryPhase {
    /// The entry waits for the first view from control.
    Starting,
    /// The entry admits requests.
    Ready,
    /// The entry admits requests, but its health check tells the load balancer to send no more.
    Draining,
    /// The entry admits no new requests.
    Closed,
}

#[derive(Debug)]
struct GateState {
    phase: EntryPhase,
    in_flight: usize,
}

#[derive(Debug)]
struct SharedGate {
    state: Mutex<GateState>,
    idle: Condvar,
    in_flight_max: usize,
}

/// Admits requests, counts those in flight and holds the phase of the entry.
#[derive(Clone, Debug)]
pub struct RequestGate {
    shared: Arc<SharedGate>,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateRefusal {
    /// The entry admits no new requests.
    Closed,
    /// The maximum number of requests is in flight.
    Full,
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    shared: Arc<SharedGate>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = lock(&self.shared);
        state.in_flight -= 1;
        if state.in_flight == 0 {
            self.shared.idle.notify_all();
        }
    }
}

fn lock(shared: &SharedGate) -> MutexGuard<'_, GateState> {
    shared.state.lock().expect("no holder of the gate panics")
}

impl RequestGate {
    /// Creates a gate that admits at most `in_flight_max` requests at once.
    pub fn new(in_flight_max: usize) -> Self {
        Self {
            shared: Arc::new(SharedGate {
                state: Mutex::new(GateState {
                    phase: EntryPhase::Starting,
                    in_flight: 0,
                }),
                idle: Condvar::new(),
                in_flight_max,
            }),
        }
    }

    /// Admits a request.
    pub fn admit(&self) -> Result<InFlightGuard, GateRefusal> {
        let mut state = lock(&self.shared);
        if state.phase == EntryPhase::Closed {
            return Err(GateRefusal::Closed);
        }
        if state.in_flight >= self.shared.in_flight_max {
            return Err(GateRefusal::Full);
        }
        state.in_flight += 1;
        Ok(InFlightGuard {
            shared: Arc::clone(&self.shared),
        })
    }

    /// Returns the phase of the entry.
    pub fn phase(&self) -> EntryPhase {
        lock(&self.shared).phase
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        lock(&self.shared).in_flight
    }

    /// Changes the phase from starting to ready; other phases stay.
    pub fn set_ready(&self) {
        let mut state = lock(&self.shared);
        if state.phase == EntryPhase::Starting {
            state.phase = EntryPhase::Ready;
        }
    }

    /// Starts draining: requests are still admitted, but the health check fails.
    pub fn start_draining(&self) {
        lock(&self.shared).phase = EntryPhase::Draining;
    }

    /// Closes the gate and waits until no request is in flight, at most `timeout`. Returns
    /// whether none is.
    pub fn close(&self, timeout: Duration) -> bool {
        let mut state = lock(&self.shared);
        state.phase = EntryPhase::Closed;
        let has_requests = |state: &mut GateState| state.in_flight > 0;
        let result = self
            .shared
            .idle
            .wait_timeout_while(state, timeout, has_requests);
        let (state, _) = result.expect("no holder of the gate panics");
        state.in_flight == 0
    }
}
