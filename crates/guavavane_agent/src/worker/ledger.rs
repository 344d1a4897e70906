//! What of the worker is committed, in integers.

use indexmap::IndexMap;
use thiserror::Error;

use guavavane_model::prelude::ResourceVector;
use guavavane_protocol::prelude::TaskAttempt;

/// Why an attempt got no resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{demand} does not fit: {committed} of {capacity} is committed")]
pub struct LedgerError {
    /// What the attempt needs.
    pub demand: ResourceVector,
    /// What others hold.
    pub committed: ResourceVector,
    /// What the worker has.
    pub capacity: ResourceVector,
}

/// Resources of one worker and who holds them.
#[derive(Clone, Debug, Default)]
pub struct WorkerLedger {
    capacity: ResourceVector,
    committed: ResourceVector,
    holds: IndexMap<TaskAttempt, ResourceVector>,
}

impl WorkerLedger {
    /// What the worker has.
    pub fn capacity(&self) -> ResourceVector {
        self.capacity
    }

    /// What is held.
    pub fn committed(&self) -> ResourceVector {
        self.committed
    }

    /// Whether what is held fits; false after a worker has shrunk.
    pub fn is_within(&self) -> bool {
        self.committed.fits_within(&self.capacity)
    }

    /// Sets what the worker has; what is held stays held even if it no longer fits.
    pub fn set_capacity(&mut self, capacity: ResourceVector) {
        self.capacity = capacity;
    }

    /// Reserves before a start; a second reservation of the same attempt changes nothing.
    ///
    /// # Errors
    ///
    /// Fails if the demand does not fit beside what is held.
    pub fn reserve(
        &mut self,
        attempt: TaskAttempt,
        demand: ResourceVector,
    ) -> Result<(), LedgerError> {
        if self.holds.contains_key(&attempt) {
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
        self.holds.insert(attempt, demand);
        Ok(())
    }

    /// Records what an attempt holds that was found running.
    pub fn adopt(&mut self, attempt: TaskAttempt, demand: ResourceVector) {
        if self.holds.insert(attempt, demand).is_some() {
            self.recount();
            return;
        }
        match self.committed.checked_add(&demand) {
            Some(committed) => self.committed = committed,
            None => self.recount(),
        }
    }

    /// Frees what an attempt holds, if it holds anything.
    pub fn free(&mut self, attempt: &TaskAttempt) {
        if self.holds.swap_remove(attempt).is_some() {
            self.recount();
        }
    }

    /// Sums the holds; a sum that overflows counts as more than any capacity.
    fn recount(&mut self) {
        let full = ResourceVector::new(u64::MAX, u64::MAX, u64::MAX);
        self.committed = self
            .holds
            .values()
            .try_fold(ResourceVector::ZERO, |sum, hold| sum.checked_add(hold))
            .unwrap_or(full);
    }
}
