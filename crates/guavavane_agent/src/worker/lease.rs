//! Leases as the agent counts them, from the moment it sent the poll that renewed them.

use indexmap::IndexMap;

use guavavane_model::prelude::BootTime;
use guavavane_protocol::prelude::TaskAttempt;

/// Ends of the leases of the attempts on a worker.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    ends: IndexMap<TaskAttempt, BootTime>,
}

impl LeaseTable {
    /// Starts or extends a lease; returns whether it runs.
    ///
    /// A lease that has run out is not revived, and none is shortened.
    pub fn renew(&mut self, now: BootTime, attempt: TaskAttempt, until: BootTime) -> bool {
        if until <= now {
            return self.is_live(now, &attempt);
        }
        let end = self.ends.entry(attempt).or_insert(until);
        if *end <= now {
            return false;
        }
        *end = until.max(*end);
        true
    }

    /// Whether the lease of an attempt runs.
    pub fn is_live(&self, now: BootTime, attempt: &TaskAttempt) -> bool {
        self.ends.get(attempt).is_some_and(|end| now < *end)
    }

    /// Removes the lease of an attempt that is released.
    pub fn remove(&mut self, attempt: &TaskAttempt) {
        self.ends.swap_remove(attempt);
    }
}
