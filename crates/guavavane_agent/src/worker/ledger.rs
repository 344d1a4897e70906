//! Accounting of a worker's resources: capacity, and what each attempt has reserved.
//!
//! Amounts are integers, so that sums are exact and a released reservation leaves no remainder.

use indexmap::IndexMap;
use thiserror::Error;

use guavavane_model::prelude::ResourceVector;
use guavavane_protocol::prelude::TaskAttempt;

/// A reservation that exceeds the worker's free capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{demand} does not fit: {committed} of {capacity} is committed")]
pub struct LedgerError {
    /// Resources that the attempt requests.
    pub demand: ResourceVector,
    /// Resources reserved for other attempts.
    pub committed: ResourceVector,
    /// Total resources of the worker.
    pub capacity: ResourceVector,
}

/// Capacity of one worker and the reservations on it.
#[derive(Clone, Debug, Default)]
pub struct WorkerLedger {
    capacity: ResourceVector,
    committed: ResourceVector,
    reservations: IndexMap<TaskAttempt, ResourceVector>,
}

impl WorkerLedger {
    /// Total resources of the worker.
    pub fn capacity(&self) -> ResourceVector {
        self.capacity
    }

    /// Sum of all reservations.
    pub fn committed(&self) -> ResourceVector {
        self.committed
    }

    /// Whether the reservations fit the capacity; false if the worker shrank below them.
    pub fn is_within_capacity(&self) -> bool {
        self.committed.fits_within(&self.capacity)
    }

    /// Sets the capacity; existing reservations stay even if they no longer fit.
    pub fn set_capacity(&mut self, capacity: ResourceVector) {
        self.capacity = capacity;
    }

    /// Reserves resources before a start; a second reservation of the attempt has no effect.
    ///
    /// # Errors
    ///
    /// Fails if the demand exceeds the free capacity.
    pub fn reserve(
        &mut self,
        attempt: TaskAttempt,
        demand: ResourceVector,
    ) -> Result<(), LedgerError> {
        if self.reservations.contains_key(&attempt) {
            return Ok(());
        }
        let committed = self
            .committed
            .checked_add(&demand)
            .filter(|sum| sum.fits_within(&self.capacity))
            .ok_or(LedgerError {
                demand,
                committed: self.committed,
                capacity: self.capacity,
            })?;
        self.committed = committed;
        self.reservations.insert(attempt, demand);
        Ok(())
    }

    /// Records the demand of an attempt that already runs, even if it exceeds the capacity.
    pub fn adopt(&mut self, attempt: TaskAttempt, demand: ResourceVector) {
        if self.reservations.insert(attempt, demand).is_some() {
            self.recompute_committed();
            return;
        }
        match self.committed.checked_add(&demand) {
            Some(committed) => self.committed = committed,
            None => self.recompute_committed(),
        }
    }

    /// Releases the reservation of an attempt, if it has one.
    pub fn release(&mut self, attempt: &TaskAttempt) {
        if self.reservations.swap_remove(attempt).is_some() {
            self.recompute_committed();
        }
    }

    /// Sums the reservations; a sum that overflows counts as more than any capacity.
    fn recompute_committed(&mut self) {
        let saturated = ResourceVector::new(u64::MAX, u64::MAX, u64::MAX);
        self.committed = self
            .reservations
            .values()
            .try_fold(ResourceVector::ZERO, |sum, reserved| {
                sum.checked_add(reserved)
            })
            .unwrap_or(saturated);
    }
}
