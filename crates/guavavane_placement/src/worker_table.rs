//! Records the allocations of each worker, and indexes workers by free capacity.
//!
//! The committed capacity of a worker is the sum of the reservations of its allocations. A
//! worker that is absent, quarantined or committed beyond its capacity (after it shrank) is in
//! no index, so that no search finds it.

use indexmap::IndexMap;

use crate::capacity_grid::CapacityGrid;
use crate::decision::DecisionNumber;
use crate::decision::ThrottleLevel;
use crate::index::DataCentreIndex;
use crate::index::DenseIndex;
use crate::index::RackIndex;
use crate::index::ShapeIndex;
use crate::index::WorkerIndex;
use crate::record::TaskAttempt;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;

/// Capacity of a worker that is reserved for one attempt of a task.
#[derive(Clone, Debug)]
pub(crate) struct Allocation {
    pub(crate) task: TaskId,
    pub(crate) attempt: AttemptNumber,
    pub(crate) shape: ShapeIndex,
    pub(crate) reserved: ResourceVector,
    pub(crate) since: BootTime,
    /// Number of the placement, until the replicated state has committed it.
    pub(crate) unconfirmed: Option<DecisionNumber>,
    /// Whether the eviction of the attempt was ordered.
    pub(crate) evicting: bool,
    /// Whether urgent and latency-critical tasks may preempt the task.
    pub(crate) preemptable: bool,
    pub(crate) throttle: ThrottleLevel,
    /// Recent excess slowdown of a service, as a fraction: a moving average of samples, corrected
    /// by the predicted effect of tasks that have started or left since.
    pub(crate) excess: f32,
    /// Time of the last change of `throttle`.
    pub(crate) throttled_at: BootTime,
}

impl Allocation {
    pub(crate) fn is_attempt(&self, attempt: TaskAttempt) -> bool {
        self.task == attempt.task && self.attempt == attempt.attempt
    }

    /// Whether an eviction may be ordered: the attempt is committed and not yet being evicted.
    pub(crate) fn can_evict(&self) -> bool {
        self.unconfirmed.is_none() && !self.evicting
    }

    /// Processor time reserved since the start, in millicore-milliseconds.
    pub(crate) fn work_lost(&self, now: BootTime) -> u64 {
        let elapsed_ms = now.as_millis().saturating_sub(self.since.as_millis());
        elapsed_ms.saturating_mul(self.reserved.cpu_millis.max(1))
    }
}

/// A worker and its allocations.
#[derive(Debug)]
pub(crate) struct WorkerSlot {
    pub(crate) name: WorkerName,
    pub(crate) data_centre: DataCentreIndex,
    pub(crate) rack: RackIndex,
    pub(crate) capacity: ResourceVector,
    pub(crate) present: bool,
    pub(crate) quarantined: bool,
    pub(crate) allocations: Vec<Allocation>,
    committed: ResourceVector,
    /// Capacity held for preempting tasks until their victims have left.
    held: ResourceVector,
    /// Committed capacity of tasks that may be preempted and are not being evicted.
    preemptable: ResourceVector,
    /// Committed capacity of tasks that are being evicted.
    leaving: ResourceVector,
}

impl WorkerSlot {
    pub(crate) fn committed(&self) -> &ResourceVector {
        &self.committed
    }

    /// Free capacity for a new task: neither committed nor held.
    pub(crate) fn free(&self) -> ResourceVector {
        self.capacity
            .saturating_sub(&self.committed)
            .saturating_sub(&self.held)
    }

    /// Free capacity for a task that has a hold on this worker.
    pub(crate) fn uncommitted(&self) -> ResourceVector {
        self.capacity.saturating_sub(&self.committed)
    }

    /// Free capacity once all tasks that are being evicted have left.
    pub(crate) fn free_after_evictions(&self) -> ResourceVector {
        let staying = self.committed.saturating_sub(&self.leaving);
        self.capacity
            .saturating_sub(&staying)
            .saturating_sub(&self.held)
    }

    /// Free capacity once all preemptable tasks have left as well.
    pub(crate) fn free_after_preemption(&self) -> ResourceVector {
        let staying = self.committed.saturating_sub(&self.leaving);
        let staying = staying.saturating_sub(&self.preemptable);
        self.capacity
            .saturating_sub(&staying)
            .saturating_sub(&self.held)
    }

    /// Whether the capacity holds all staying tasks and all held capacity.
    pub(crate) fn holds_fit(&self) -> bool {
        let staying = self.committed.saturating_sub(&self.leaving);
        let needed = staying.checked_add(&self.held);
        needed.is_some_and(|needed| needed.fits_within(&self.capacity))
    }

    /// Whether the reservations of the staying tasks exceed the capacity.
    pub(crate) fn is_overcommitted(&self) -> bool {
        let staying = self.committed.saturating_sub(&self.leaving);
        !staying.fits_within(&self.capacity)
    }

    pub(crate) fn has_holds(&self) -> bool {
        self.held != ResourceVector::ZERO
    }

    pub(crate) fn allocation(&self, attempt: TaskAttempt) -> Option<&Allocation> {
        self.allocations
            .iter()
            .find(|allocation| allocation.is_attempt(attempt))
    }

    fn accepts_placements(&self) -> bool {
        self.present && !self.quarantined && self.committed.fits_within(&self.capacity)
    }

    fn recompute_totals(&mut self) {
        let zero = ResourceVector::ZERO;
        let add = |total: ResourceVector, allocation: &Allocation| {
            let sum = total.checked_add(&allocation.reserved);
            sum.expect("reservations of one worker overflow 64 bits")
        };
        let allocations = &self.allocations;
        self.committed = allocations.iter().fold(zero, add);
        let preemptable = allocations
            .iter()
            .filter(|allocation| allocation.preemptable && allocation.can_evict());
        self.preemptable = preemptable.fold(zero, add);
        let leaving = allocations.iter().filter(|allocation| allocation.evicting);
        self.leaving = leaving.fold(zero, add);
    }
}

/// All known workers, with their capacity indexes.
#[derive(Debug, Default)]
pub(crate) struct WorkerTable {
    by_name: IndexMap<WorkerName, WorkerIndex>,
    slots: Vec<Option<WorkerSlot>>,
    vacant: Vec<WorkerIndex>,
    /// Workers by [`WorkerSlot::free`].
    pub(crate) free_grid: CapacityGrid,
    /// Workers by [`WorkerSlot::free_after_preemption`].
    pub(crate) preemption_grid: CapacityGrid,
}

impl WorkerTable {
    pub(crate) fn find(&self, name: &WorkerName) -> Option<WorkerIndex> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn get(&self, worker: WorkerIndex) -> &WorkerSlot {
        let slot = self.slots[worker.position()].as_ref();
        slot.expect("a worker index outlived its worker")
    }

    /// The worker of an index, or `None` if the worker was forgotten.
    pub(crate) fn find_slot(&self, worker: WorkerIndex) -> Option<&WorkerSlot> {
        self.slots.get(worker.position())?.as_ref()
    }

    fn get_mut(&mut self, worker: WorkerIndex) -> &mut WorkerSlot {
        let slot = self.slots[worker.position()].as_mut();
        slot.expect("a worker index outlived its worker")
    }

    /// Number of known workers, present or not.
    pub(crate) fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Number of present workers.
    pub(crate) fn present_count(&self) -> usize {
        let slots = self.slots.iter().flatten();
        slots.filter(|slot| slot.present).count()
    }

    /// Adds an unknown worker, absent and without capacity.
    pub(crate) fn add(
        &mut self,
        name: WorkerName,
        data_centre: DataCentreIndex,
        rack: RackIndex,
    ) -> WorkerIndex {
        let slot = WorkerSlot {
            name: name.clone(),
            data_centre,
            rack,
            capacity: ResourceVector::ZERO,
            present: false,
            quarantined: false,
            allocations: Vec::new(),
            committed: ResourceVector::ZERO,
            held: ResourceVector::ZERO,
            preemptable: ResourceVector::ZERO,
            leaving: ResourceVector::ZERO,
        };
        let worker = self.vacant.pop().unwrap_or_else(|| {
            self.slots.push(None);
            WorkerIndex::from_position(self.slots.len() - 1)
        });
        self.slots[worker.position()] = Some(slot);
        self.by_name.insert(name, worker);
        worker
    }

    /// Forgets a worker that is absent and has neither allocations nor holds; returns whether it
    /// was forgotten.
    pub(crate) fn forget_if_empty(&mut self, worker: WorkerIndex) -> bool {
        let slot = self.get(worker);
        if slot.present || !slot.allocations.is_empty() || slot.has_holds() {
            return false;
        }
        let name = slot.name.clone();
        self.free_grid.remove(worker);
        self.preemption_grid.remove(worker);
        self.by_name.swap_remove(&name);
        self.slots[worker.position()] = None;
        self.vacant.push(worker);
        true
    }

    /// Changes a worker, then updates its totals and its entries in the indexes.
    pub(crate) fn update<F: FnOnce(&mut WorkerSlot)>(&mut self, worker: WorkerIndex, change: F) {
        let slot = self.get_mut(worker);
        change(slot);
        slot.recompute_totals();
        let data_centre = slot.data_centre;
        if !slot.accepts_placements() {
            self.free_grid.remove(worker);
            self.preemption_grid.remove(worker);
            return;
        }
        let free = slot.free();
        let after_preemption = slot.free_after_preemption();
        self.free_grid.insert(worker, data_centre, &free);
        self.preemption_grid
            .insert(worker, data_centre, &after_preemption);
    }

    /// Changes one allocation of a worker; returns whether the worker has it.
    pub(crate) fn update_allocation<F: FnOnce(&mut Allocation)>(
        &mut self,
        worker: WorkerIndex,
        attempt: TaskAttempt,
        change: F,
    ) -> bool {
        let mut found = false;
        self.update(worker, |slot| {
            let mut allocations = slot.allocations.iter_mut();
            if let Some(allocation) = allocations.find(|allocation| allocation.is_attempt(attempt))
            {
                change(allocation);
                found = true;
            }
        });
        found
    }

    /// Allocations of a worker, for changes that don't affect totals and indexes.
    pub(crate) fn allocations_mut(&mut self, worker: WorkerIndex) -> &mut [Allocation] {
        &mut self.get_mut(worker).allocations
    }

    pub(crate) fn add_allocation(&mut self, worker: WorkerIndex, allocation: Allocation) {
        self.update(worker, |slot| slot.allocations.push(allocation));
    }

    pub(crate) fn remove_allocation(
        &mut self,
        worker: WorkerIndex,
        attempt: TaskAttempt,
    ) -> Option<Allocation> {
        let mut removed = None;
        self.update(worker, |slot| {
            let mut allocations = slot.allocations.iter();
            let position = allocations.position(|allocation| allocation.is_attempt(attempt));
            removed = position.map(|position| slot.allocations.swap_remove(position));
        });
        removed
    }

    pub(crate) fn hold(&mut self, worker: WorkerIndex, amount: &ResourceVector) {
        self.update(worker, |slot| {
            let held = slot.held.checked_add(amount);
            slot.held = held.expect("held capacity of one worker overflows 64 bits");
        });
    }

    pub(crate) fn release_hold(&mut self, worker: WorkerIndex, amount: &ResourceVector) {
        self.update(worker, |slot| {
            let held = slot.held.checked_sub(amount);
            slot.held = held.expect("more capacity was released than was held");
        });
    }
}
