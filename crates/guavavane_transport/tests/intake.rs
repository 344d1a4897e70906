//! Replays of crowds of untrusted callers against the bounds of a process.
//!
//! Guards against a process that holds more than its bounds, and against bounds that shut out
//! ordinary callers.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

use std::time::Duration;
use std::time::Instant;

use guavavane_transport::intake::limits::IntakeLimits;
use guavavane_transport::intake::log_limiter::LogLimiter;
use guavavane_transport::intake::table::ConnectionId;
use guavavane_transport::intake::table::ConnectionPhase;
use guavavane_transport::intake::table::IntakeTable;

/// Memory of an entry in bytes.
const MEMORY_BYTES: usize = 160 << 20;
/// Descriptors of an entry.
const DESCRIPTORS: usize = 4_100;
/// Largest legal body in bytes.
const BODY_BYTES: usize = 4 << 20;
/// Size of a piece of a body in bytes.
const PIECE_BYTES: usize = 64 << 10;
/// Size of a small request in bytes.
const SMALL_BYTES: usize = 4 << 10;
/// Number of connections of a crowd that sends bodies.
const SENDERS: usize = 200;
const MILLISECOND: Duration = Duration::from_millis(1);

/// Table with a clock that advances by a millisecond with each step.
struct Replay {
    table: IntakeTable,
    now: Instant,
}

impl Replay {
    fn new(limits: IntakeLimits) -> Self {
        Self {
            table: IntakeTable::new(limits),
            now: Instant::now(),
        }
    }

    fn entry() -> Self {
        let limits = IntakeLimits::derive(Some(MEMORY_BYTES), Some(DESCRIPTORS));
        Self::new(limits)
    }

    fn tick(&mut self) -> Instant {
        self.now += MILLISECOND;
        self.now
    }

    fn admit(&mut self) -> ConnectionId {
        let now = self.tick();
        self.table.admit(now).unwrap().0
    }

    fn enter(&mut self, id: ConnectionId, phase: ConnectionPhase) {
        let now = self.tick();
        self.table.enter(id, phase, now);
        let limits = self.table.limits();
        assert!(self.table.partial_requests() <= limits.partial_requests);
    }

    /// Receives a piece of a request; returns whether it is held and checks the bounds.
    fn receive(&mut self, id: ConnectionId, bytes: usize) -> bool {
        let now = self.tick();
        self.table.note_received(id, bytes, now);
        let mut closed = Vec::new();
        let charged = self.table.charge(id, bytes, now, &mut closed).is_ok();
        let limits = self.table.limits();
        assert!(self.table.buffered_bytes() <= limits.buffered_bytes);
        assert!(self.table.connections() <= limits.connections);
        charged
    }

    fn begin(&mut self) -> ConnectionId {
        let id = self.admit();
        self.enter(id, ConnectionPhase::Partial);
        id
    }
}

#[test]
fn bodies_that_stop_short_are_bounded_and_leave_others_served() {
    let mut replay = Replay::entry();
    let senders: Vec<ConnectionId> = (0..SENDERS).map(|_| replay.begin()).collect();
    for _ in 0..BODY_BYTES / PIECE_BYTES {
        for id in &senders {
            if replay.table.contains(*id) {
                replay.receive(*id, PIECE_BYTES);
            }
        }
    }
    let kept = senders.iter().filter(|id| replay.table.contains(**id));
    assert!(kept.count() < SENDERS);
    for _ in 0..SENDERS {
        let caller = replay.begin();
        assert!(replay.receive(caller, PIECE_BYTES));
        replay.enter(caller, ConnectionPhase::Busy);
        assert!(replay.table.contains(caller));
        replay.table.release(caller, 0);
        replay.enter(caller, ConnectionPhase::Idle);
    }
}

#[test]
fn the_request_longest_without_progress_is_closed_first() {
    let mut replay = Replay::entry();
    let [stopped, trickling, slow, fast] = [(); 4].map(|()| replay.begin());
    replay.receive(stopped, PIECE_BYTES);
    let rounds = 2 * replay.table.limits().buffered_bytes / PIECE_BYTES;
    let mut order = Vec::new();
    for _ in 0..rounds {
        replay.receive(fast, PIECE_BYTES);
        // The single byte arrives last, so only its size makes this request older than the slow one.
        replay.receive(slow, PIECE_BYTES / 64);
        replay.receive(trickling, 1);
        for id in [stopped, trickling, slow] {
            if !replay.table.contains(id) && !order.contains(&id) {
                order.push(id);
            }
        }
    }
    assert_eq!(order, [stopped, trickling, slow]);
    assert!(replay.table.contains(fast));
}

// Guards against closing, for memory, a caller whose head is still arriving: that frees no memory.
#[test]
fn requests_without_charged_bytes_are_not_closed_for_memory() {
    let mut replay = Replay::entry();
    let [uncharged, stopped, fast] = [(); 3].map(|()| replay.begin());
    assert!(replay.receive(stopped, PIECE_BYTES));
    for _ in 0..replay.table.limits().shared_bytes() / PIECE_BYTES {
        assert!(replay.receive(fast, PIECE_BYTES));
    }
    assert!(!replay.table.contains(stopped));
    assert!(replay.table.contains(uncharged));
}

// Guards against large requests that are served for a long time and leave no memory for small ones.
#[test]
fn large_requests_that_are_served_leave_room_for_small_ones() {
    let mut replay = Replay::entry();
    let mut is_refused = false;
    while !is_refused {
        let large = replay.begin();
        is_refused = !replay.receive(large, BODY_BYTES / 16);
        replay.enter(large, ConnectionPhase::Busy);
    }
    for _ in 0..SENDERS {
        let small = replay.begin();
        assert!(replay.receive(small, SMALL_BYTES));
        replay.enter(small, ConnectionPhase::Busy);
    }
}

// Guards against calls that are no longer counted once their callers have closed their connections.
#[test]
fn calls_that_wait_are_charged_without_their_connections() {
    let mut replay = Replay::entry();
    let limits = replay.table.limits();
    let mut calls = 0;
    loop {
        let caller = replay.begin();
        replay.enter(caller, ConnectionPhase::Busy);
        let now = replay.tick();
        let charged = replay.table.begin_call(BODY_BYTES, now, &mut Vec::new());
        replay.table.remove(caller);
        if charged.is_err() {
            break;
        }
        calls += 1;
    }
    assert_eq!(calls, limits.shared_bytes() / BODY_BYTES);
    replay.table.end_call(BODY_BYTES);
    let now = replay.tick();
    let charged = replay.table.begin_call(BODY_BYTES, now, &mut Vec::new());
    assert!(charged.is_ok());
}

#[test]
fn connections_without_a_request_do_not_use_up_the_descriptors() {
    let mut replay = Replay::entry();
    let served = replay.begin();
    replay.enter(served, ConnectionPhase::Busy);
    let idle = replay.begin();
    replay.enter(idle, ConnectionPhase::Idle);
    for number in 0..2 * DESCRIPTORS {
        let id = replay.admit();
        if number % 3 != 0 {
            replay.enter(id, ConnectionPhase::Partial);
        }
    }
    let caller = replay.begin();
    assert!(replay.receive(caller, PIECE_BYTES));
    assert!(replay.table.contains(served), "a served request was closed");
    assert!(replay.table.contains(idle), "an idle caller was driven out");
}

#[test]
fn requests_that_are_served_are_never_closed_for_others() {
    let mut replay = Replay::entry();
    let mut served = Vec::new();
    loop {
        let id = replay.begin();
        if !replay.receive(id, BODY_BYTES) {
            break;
        }
        replay.enter(id, ConnectionPhase::Busy);
        served.push(id);
    }
    assert!(served.iter().all(|id| replay.table.contains(*id)));
    for id in &served {
        replay.table.remove(*id);
    }
    assert_eq!(replay.table.buffered_bytes(), 0);
}

#[test]
fn responses_that_nobody_reads_leave_memory_for_requests() {
    let mut replay = Replay::entry();
    for _ in 0..SENDERS {
        let id = replay.begin();
        replay.enter(id, ConnectionPhase::Busy);
        assert!(
            replay.receive(id, BODY_BYTES / 4),
            "no memory for a response"
        );
        replay.enter(id, ConnectionPhase::Idle);
    }
    let caller = replay.begin();
    assert!(replay.receive(caller, BODY_BYTES));
}

#[test]
fn a_full_process_refuses_connections_until_one_ends() {
    let mut replay = Replay::entry();
    let limit = replay.table.limits().connections;
    for _ in 0..limit {
        let id = replay.admit();
        replay.enter(id, ConnectionPhase::Busy);
    }
    let now = replay.tick();
    assert!(replay.table.admit(now).is_err());
    replay.table.remove(ConnectionId(1));
    assert!(replay.table.admit(now).is_ok());
}

#[test]
fn settings_without_limits_close_nothing() {
    let mut replay = Replay::new(IntakeLimits::derive(None, None));
    let senders: Vec<ConnectionId> = (0..SENDERS).map(|_| replay.begin()).collect();
    let is_held = senders.iter().all(|id| replay.receive(*id, BODY_BYTES));
    assert!(is_held && replay.table.partial_requests() == SENDERS);
}

#[test]
fn bounds_fit_into_the_memory_and_leave_room_for_one_large_message() {
    for megabytes in [0, 1, 16, 64, 128, 160, 256, 384] {
        let limits = IntakeLimits::derive(Some(megabytes << 20), Some(DESCRIPTORS));
        // A message and its decoded form.
        assert!(limits.shared_bytes() >= 2 * BODY_BYTES, "{limits:?}");
        assert!(limits.connections > 0 && limits.partial_requests > 0);
        let receive_buffers = limits.connections * limits.receive_buffer_bytes.unwrap();
        let used = limits.buffered_bytes + receive_buffers;
        assert!(megabytes < 64 || used <= (megabytes << 20) / 4 * 3);
    }
}

#[test]
fn log_lines_are_bounded_and_count_what_they_leave_out() {
    let mut limiter = LogLimiter::new(10);
    let start = Instant::now();
    let (mut lines, mut left_out) = (0, 0);
    for number in 0..10_000 {
        if let Some(suppressed) = limiter.admit_line(start + number * MILLISECOND) {
            lines += 1;
            left_out += suppressed;
        }
    }
    assert_eq!(lines, 100);
    assert_eq!(left_out, 9 * 990);
}
