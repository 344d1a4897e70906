//! Requests in flight and the phases of a shutdown.

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
    /// It waits for the first view from control.
    Starting,
    /// It takes requests.
    Ready,
    /// It takes requests but asks the balancer for no more.
    Draining,
    /// It takes no new requests.
    Closed,
}

#[derive(Debug)]
struct GateState {
    phase: EntryPhase,
    in_flight: usize,
}

#[derive(Debug)]
struct GateCell {
    state: Mutex<GateState>,
    idle: Condvar,
    in_flight_max: usize,
}

/// Counts requests in flight and holds the phase.
#[derive(Clone, Debug)]
pub struct DrainGate {
    cell: Arc<GateCell>,
}

/// Why a request was not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateRefusal {
    /// The entry takes no new requests.
    Closed,
    /// Too many requests are in flight.
    Full,
}

/// A request in flight; it ends when dropped.
#[derive(Debug)]
pub struct FlightGuard {
    cell: Arc<GateCell>,
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        let mut state = lock(&self.cell);
        state.in_flight -= 1;
        if state.in_flight == 0 {
            self.cell.idle.notify_all();
        }
    }
}

fn lock(cell: &GateCell) -> MutexGuard<'_, GateState> {
    cell.state.lock().expect("no holder of the gate panics")
}

impl DrainGate {
    /// A gate that lets in `in_flight_max` requests at once.
    pub fn new(in_flight_max: usize) -> Self {
        Self {
            cell: Arc::new(GateCell {
                state: Mutex::new(GateState {
                    phase: EntryPhase::Starting,
                    in_flight: 0,
                }),
                idle: Condvar::new(),
                in_flight_max,
            }),
        }
    }

    /// Lets a request in.
    pub fn enter(&self) -> Result<FlightGuard, GateRefusal> {
        let mut state = lock(&self.cell);
        if state.phase == EntryPhase::Closed {
            return Err(GateRefusal::Closed);
        }
        if state.in_flight >= self.cell.in_flight_max {
            return Err(GateRefusal::Full);
        }
        state.in_flight += 1;
        Ok(FlightGuard {
            cell: Arc::clone(&self.cell),
        })
    }

    /// The phase.
    pub fn phase(&self) -> EntryPhase {
        lock(&self.cell).phase
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        lock(&self.cell).in_flight
    }

    /// Turns a starting entry to ready.
    pub fn set_ready(&self) {
        let mut state = lock(&self.cell);
        if state.phase == EntryPhase::Starting {
            state.phase = EntryPhase::Ready;
        }
    }

    /// Asks for no more requests, but takes them.
    pub fn start_draining(&self) {
        lock(&self.cell).phase = EntryPhase::Draining;
    }

    /// Takes no new requests and waits until none is in flight, at most `limit`.
    pub fn close(&self, limit: Duration) -> bool {
        let mut state = lock(&self.cell);
        state.phase = EntryPhase::Closed;
        let busy = |state: &mut GateState| state.in_flight > 0;
        let waited = self.cell.idle.wait_timeout_while(state, limit, busy);
        let (state, _) = waited.expect("no holder of the gate panics");
        state.in_flight == 0
    }
}
