//! Leases of an agent: the one that the leader grants it, and the one it grants its worker.
//!
//! The worker receives deadlines on its own clock, none beyond the leader's grant. That clock may
//! drift, so the agent computes the latest time at which the worker's lease has expired.

use std::time::Duration;

use crate::timing::LeaseTiming;
use guavavane_model::prelude::BootTime;

/// Number of renewals that fit into one lease of the worker, so that two of them may fail.
const RENEWALS_PER_LEASE: u32 = 3;
/// Time after the first answer of a worker in which calls meant for an earlier one of its name may still
/// extend its lease.
const LATE_CALL_MARGIN: Duration = Duration::from_millis(1_000);
/// Shortest lease that is worth granting to the worker; below it a renewal carries no deadline.
const LEASE_MIN: Duration = Duration::from_millis(200);

/// State of the leader's grant, the worker's clock and the worker's lease.
#[derive(Clone, Debug)]
pub(super) struct LeaseState {
    timing: LeaseTiming,
    /// End of the leader's grant.
    granted_until: BootTime,
    /// Whether the grant was given back, so that later ones are void.
    released: bool,
    /// Latest reading of the worker's clock in milliseconds, with the time of its arrival.
    clock: Option<(BootTime, u64)>,
    /// Latest deadline sent to the worker, in milliseconds on the worker's clock.
    deadline_ms: Option<u64>,
    /// Whether the worker left the latest renewal unanswered.
    silent: bool,
    /// Whether the worker refused the latest renewal.
    refused: bool,
    /// Time at which all runs on the worker have certainly stopped; none while no worker holds a lease.
    expired_by: Option<BootTime>,
}

impl LeaseState {
    /// Creates the state of an agent that starts at `now`. An earlier process may have extended the
    /// lease of the worker until then.
    pub(super) fn new(timing: LeaseTiming, now: BootTime) -> Self {
        Self {
            timing,
            granted_until: BootTime::default(),
            released: false,
            clock: None,
            deadline_ms: None,
            silent: false,
            refused: false,
            expired_by: Some(now + timing.expiry_bound(timing.worker_lease)),
        }
    }

    /// Longest wait of a renewal, short enough that the lease is renewed well before it expires.
    pub(super) fn renewal_wait_max(&self) -> Duration {
        self.timing.worker_lease / RENEWALS_PER_LEASE
    }

    /// Extends the grant after the leader answered a ping that was sent at `sent_at`.
    pub(super) fn record_grant(&mut self, sent_at: BootTime) {
        if self.released {
            return;
        }
        let until = sent_at + self.timing.agent_lease;
        self.granted_until = self.granted_until.max(until);
    }

    /// Gives the grant back but for one lease of the worker, so that its runs last until the next process
    /// of the agent renews it. Returns the time after which all runs on the worker have certainly stopped
    /// unless that process follows.
    pub(super) fn release(&mut self, now: BootTime) -> Duration {
        self.released = true;
        self.granted_until = self.granted_until.min(now + self.timing.worker_lease);
        let clock_age = self.clock.map(|(read_at, _)| now.saturating_since(read_at));
        let lease = clock_age.unwrap_or_default() + self.timing.worker_lease;
        let extended_until = self.timing.expiry_bound(lease);
        let current = self.remaining(now).unwrap_or_default();
        extended_until.max(current)
    }

    /// Whether the grant was given back.
    pub(super) fn is_released(&self) -> bool {
        self.released
    }

    /// Resets the state for a new worker. The expiry stays, so that workers which never answer do not
    /// postpone it.
    pub(super) fn reset_for_worker(&mut self) {
        self.clock = None;
        self.deadline_ms = None;
        self.silent = false;
        self.refused = false;
    }

    /// Records that the next incarnation of a worker has answered at `now`. Calls that were meant for the
    /// ended incarnation carry deadlines on its clock, which lie far ahead on the clock of the next one:
    /// such a call extends the lease as far as a worker allows.
    pub(super) fn record_late_calls(&mut self, now: BootTime) {
        let lease_max = self.timing.expiry_bound(self.timing.worker_lease_max);
        let expired_by = now + LATE_CALL_MARGIN + lease_max;
        self.expired_by = self.expired_by.max(Some(expired_by));
    }

    /// Records a reading of the worker's clock that arrived at `now` with the answer to a renewal.
    pub(super) fn record_clock(&mut self, now: BootTime, clock_ms: u64) {
        self.clock = Some((now, clock_ms));
        self.silent = false;
        self.refused = false;
    }

    /// Records that a renewal was not answered. The deadline is not extended until the worker
    /// answers again, so that the lease of a silent worker expires.
    pub(super) fn record_silence(&mut self) {
        self.silent = true;
    }

    /// Records that a renewal was refused. Like that of a silent worker, the lease then expires unless the
    /// worker accepts a renewal.
    pub(super) fn record_refusal(&mut self) {
        self.refused = true;
    }

    /// Whether the worker refused the latest renewal.
    pub(super) fn is_refused(&self) -> bool {
        self.refused
    }

    /// Whether the worker left the latest renewal unanswered.
    pub(super) fn is_silent(&self) -> bool {
        self.silent
    }

    /// Extends the lease and returns its deadline, on the worker's clock and within the leader's
    /// grant. Returns the earlier deadline while the worker refuses renewals, and none if its clock is
    /// unknown, the grant is nearly over, or the worker is silent: it may have ended, and the deadline
    /// lies far ahead on the clock of the next incarnation. A deadline may be earlier than one before it;
    /// it never shortens the lease of the worker.
    pub(super) fn extend_deadline(&mut self, now: BootTime) -> Option<u64> {
        if self.silent {
            return None;
        }
        if self.refused {
            return self.deadline_ms;
        }
        let (read_at, clock_ms) = self.clock?;
        let remaining_grant = self.granted_until.saturating_since(now);
        let lease = self.timing.worker_lease.min(remaining_grant);
        if lease < LEASE_MIN {
            return None;
        }
        let clock_age = now.saturating_since(read_at);
        let ahead_ms = u64::try_from((clock_age + lease).as_millis()).ok()?;
        let expired_by = now + self.timing.expiry_bound(clock_age + lease);
        self.expired_by = self.expired_by.max(Some(expired_by));
        self.deadline_ms = Some(clock_ms.saturating_add(ahead_ms));
        self.deadline_ms
    }

    /// Whether all runs on the worker have certainly stopped at `now`.
    pub(super) fn is_expired(&self, now: BootTime) -> bool {
        self.expired_by.is_some_and(|at| now > at)
    }

    /// Clears the expiry: the worker holds no lease until the deadline is extended.
    pub(super) fn clear_expiry(&mut self) {
        self.expired_by = None;
    }

    /// Whether a worker on this VM may hold a lease.
    pub(super) fn may_be_held(&self) -> bool {
        self.expired_by.is_some()
    }

    /// Time until the lease has certainly expired; none if no worker holds one.
    pub(super) fn remaining(&self, now: BootTime) -> Option<Duration> {
        self.expired_by.map(|at| at.saturating_since(now))
    }
}
