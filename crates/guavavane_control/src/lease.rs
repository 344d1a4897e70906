//! Keeps the leases of workers on the leader.
//!
//! An attempt may run only while its worker holds a lease. Each poll renews the lease. The leader
//! counts it from the time at which it handles the poll, the agent from the earlier time at which
//! it sent the poll, so the lease always expires on the agent first. A new leader treats every
//! worker as renewed at its election.
//!
//! Once the leader has marked a worker as expired, it refuses renewals until the end of all
//! attempts of the worker is committed: a renewal between the decision and its commit would let an
//! attempt run in two places.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::WorkerName;

#[derive(Clone, Copy, Debug)]
struct WorkerLease {
    expires_at: BootTime,
    last_poll: BootTime,
    incarnation: IncarnationId,
    sequence: u64,
}

/// Result of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalResult {
    /// The lease is renewed.
    Renewed,
    /// The lease has expired and the worker's attempts are being ended.
    Expired,
    /// A newer poll of the same incarnation has renewed the lease before.
    Outdated,
}

/// Identity of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollIdentity {
    /// Incarnation of the agent.
    pub incarnation: IncarnationId,
    /// Sequence number of the poll within the incarnation.
    pub sequence: u64,
}

/// Leases of all workers during one term of leadership.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    led_since: BootTime,
    /// Lease duration plus the margin for clock drift.
    duration: Duration,
    leases: IndexMap<WorkerName, WorkerLease>,
    expired: IndexSet<WorkerName>,
}

impl LeaseTable {
    /// Creates the leases of a leadership that began at `led_since`.
    pub fn new(led_since: BootTime, lease_duration: Duration, drift_margin: Duration) -> Self {
        Self {
            led_since,
            duration: lease_duration + drift_margin,
            leases: IndexMap::new(),
            expired: IndexSet::new(),
        }
    }

    /// When the leadership began.
    pub fn led_since(&self) -> BootTime {
        self.led_since
    }

    /// Renews the lease of a worker that has polled.
    pub fn renew(
        &mut self,
        now: BootTime,
        worker: &WorkerName,
        identity: PollIdentity,
    ) -> RenewalResult {
        if self.expired.contains(worker) {
            return RenewalResult::Expired;
        }
        if let Some(lease) = self.leases.get(worker) {
            let same_incarnation = lease.incarnation == identity.incarnation;
            if same_incarnation && identity.sequence <= lease.sequence {
                return RenewalResult::Outdated;
            }
        }
        let lease = WorkerLease {
            expires_at: now + self.duration,
            last_poll: now,
            incarnation: identity.incarnation,
            sequence: identity.sequence,
        };
        self.leases.insert(worker.clone(), lease);
        RenewalResult::Renewed
    }

    /// Marks a worker as expired if its lease has expired; returns whether it is marked.
    pub fn mark_if_expired(&mut self, now: BootTime, worker: &WorkerName) -> bool {
        if self.expired.contains(worker) {
            return true;
        }
        let expires_at = self
            .leases
            .get(worker)
            .map_or(self.led_since + self.duration, |lease| lease.expires_at);
        if now <= expires_at {
            return false;
        }
        self.expired.insert(worker.clone());
        true
    }

    /// Allows renewals of an expired worker again, after all its attempts have ended.
    pub fn readmit(&mut self, worker: &WorkerName) {
        self.expired.swap_remove(worker);
    }

    /// Iterates over the workers that are marked as expired.
    pub fn expired_workers(&self) -> impl Iterator<Item = &WorkerName> {
        self.expired.iter()
    }

    /// Returns the time since the worker's last poll, or since the election if it has not polled
    /// since.
    pub fn time_since_poll(&self, now: BootTime, worker: &WorkerName) -> Duration {
        let last_poll = self
            .leases
            .get(worker)
            .map_or(self.led_since, |lease| lease.last_poll);
        now.saturating_since(last_poll)
    }

    /// Whether the worker has polled since the election.
    pub fn has_polled(&self, worker: &WorkerName) -> bool {
        self.leases.contains_key(worker)
    }

    /// Removes the lease of a worker that was removed from the state.
    pub fn forget(&mut self, worker: &WorkerName) {
        self.leases.swap_remove(worker);
        self.expired.swap_remove(worker);
    }
}
