//! Leases of the attempts on the agent's clock.
//!
//! A lease counts from the time at which the agent sent the poll that renewed it, which is before
//! the leader answered.

use indexmap::IndexMap;

use guavavane_model::prelude::BootTime;
use guavavane_protocol::prelude::TaskAttempt;

/// Expiry time of the lease of each attempt on a worker.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    expiries: IndexMap<TaskAttempt, BootTime>,
}

impl LeaseTable {
    /// Starts or extends a lease to `expires_at`; returns whether the lease is valid at `now`.
    ///
    /// An expired lease is not revived, and a lease is never shortened.
    pub fn renew(&mut self, now: BootTime, attempt: TaskAttempt, expires_at: BootTime) -> bool {
        if expires_at <= now {
            return self.is_valid(now, &attempt);
        }
        let expiry = self.expiries.entry(attempt).or_insert(expires_at);
        if *expiry <= now {
            return false;
        }
        *expiry = expires_at.max(*expiry);
        true
    }

    /// Whether the lease of an attempt is valid at `now`.
    pub fn is_valid(&self, now: BootTime, attempt: &TaskAttempt) -> bool {
        self.expiries
            .get(attempt)
            .is_some_and(|expiry| now < *expiry)
    }

    /// Removes the lease of an attempt that control has released.
    pub fn remove(&mut self, attempt: &TaskAttempt) {
        self.expiries.swap_remove(attempt);
    }
}
