//! Leases as an agent sees them: its own, and that of its worker.

use std::time::Duration;

use crate::timing::LeaseTiming;
use guavavane_model::prelude::BootTime;

/// Holds that fit into one lease of the worker, so that two may fail.
const HOLDS_IN_LEASE: u32 = 3;
/// Least part of a lease that is worth a call.
const LEASE_LEAST: Duration = Duration::from_millis(200);

/// The leader's lease, the worker's clock and the worker's lease.
#[derive(Clone, Debug)]
pub(super) struct LeaseState {
    timing: LeaseTiming,
    /// Until when the leader's grant holds.
    granted_until: BootTime,
    /// Latest reading of the worker's clock, with the moment of its arrival.
    clock: Option<(BootTime, u64)>,
    /// Latest deadline that was given, on the worker's clock.
    deadline_ms: Option<u64>,
    /// Whether the worker has left the latest hold unanswered.
    silent: bool,
    /// When everything on the worker has surely lapsed; none while it holds no lease.
    lapsed_at: Option<BootTime>,
}

impl LeaseState {
    pub(super) fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            granted_until: BootTime::default(),
            clock: None,
            deadline_ms: None,
            silent: false,
            lapsed_at: None,
        }
    }

    /// Longest wait of a hold: the worker's lease has to be extended well before it ends.
    pub(super) fn longest_hold(&self) -> Duration {
        self.timing.worker_lease / HOLDS_IN_LEASE
    }

    /// The leader answered a ping that was sent at `sent_at`.
    pub(super) fn grant(&mut self, sent_at: BootTime) {
        let until = sent_at + self.timing.agent_lease;
        self.granted_until = self.granted_until.max(until);
    }

    /// A worker is found: an earlier process of this agent may have extended its lease.
    pub(super) fn begin_worker(&mut self, now: BootTime) {
        self.clock = None;
        self.deadline_ms = None;
        self.silent = false;
        self.lapsed_at = Some(now + self.timing.surely_over(self.timing.worker_lease));
    }

    /// The worker's clock, as it arrived at `now`.
    pub(super) fn note_clock(&mut self, now: BootTime, clock_ms: u64) {
        self.clock = Some((now, clock_ms));
        self.silent = false;
    }

    /// A hold was not answered: the lease is not extended until one is, so that a silent
    /// worker surely lapses.
    pub(super) fn note_silence(&mut self) {
        self.silent = true;
    }

    /// Whether the worker has left the latest hold unanswered.
    pub(super) fn is_silent(&self) -> bool {
        self.silent
    }

    /// The deadline to give at `now`, on the worker's clock, within the leader's grant.
    pub(super) fn next_deadline(&mut self, now: BootTime) -> Option<u64> {
        if self.silent {
            return self.deadline_ms;
        }
        let (read_at, clock_ms) = self.clock?;
        let granted = self.granted_until.saturating_since(now);
        let lease = self.timing.worker_lease.min(granted);
        if lease < LEASE_LEAST {
            return None;
        }
        let passed = now.saturating_since(read_at);
        let ahead = u64::try_from((passed + lease).as_millis()).ok()?;
        let over = now + self.timing.surely_over(passed + lease);
        self.lapsed_at = self.lapsed_at.max(Some(over));
        self.deadline_ms = self.deadline_ms.max(Some(clock_ms + ahead));
        self.deadline_ms
    }

    /// Whether everything on the worker has surely lapsed at `now`.
    pub(super) fn is_lapsed(&self, now: BootTime) -> bool {
        self.lapsed_at.is_some_and(|at| now > at)
    }

    /// The lease has run out: the worker holds none until the next one is given.
    pub(super) fn note_lapse(&mut self) {
        self.lapsed_at = None;
    }
}
