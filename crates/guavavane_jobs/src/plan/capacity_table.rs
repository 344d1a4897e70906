//! Keeps the capacities of all workers up to date between scheduling passes.
//!
//! A refresh rebuilds the workers whose runs or condition have changed and leaves all others as they
//! are, so that its cost follows the changes and not the number of workers and runs. A pass reserves
//! capacity for the starts that it chooses. These reservations last until the next refresh, which
//! takes the runs of these workers from the ledger again.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::capacity::is_half_free;
use super::capacity::WorkerCapacity;
use super::capacity::WorkerCondition;
use super::interference::InterferenceModel;
use crate::identity::TaskKey;
use crate::ledger::JobLedger;
use crate::ledger::RunRecord;
use crate::ledger::WorkerIndex;
use crate::ledger::WorkerRecord;
use crate::worker::WorkerFacts;
use guavavane_model::prelude::ResourceVector;

/// Number of latency-critical images from which the table is built anew, to forget those of ended
/// jobs.
const CRITICAL_IMAGES_MAX: usize = 4_096;

/// What the latency-critical tasks of a worker leave to best-effort tasks, by the interference model
/// at the time when the worker last changed or reported.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct CriticalHeadroom {
    /// Slowdown budget of each latency-critical image, which its position in the table names.
    budgets: Vec<(usize, f64)>,
    /// Fraction of the best-effort images that interfere with none of these tasks.
    pub(super) harmless_fraction: f64,
}

/// Worker with its capacity.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct WorkerSlot {
    pub(super) facts: WorkerFacts,
    pub(super) capacity: WorkerCapacity,
    pub(super) headroom: CriticalHeadroom,
}

impl WorkerSlot {
    /// CPU share, from 0 to 1, that the latency-critical tasks leave to one more best-effort task.
    pub(super) fn available_cpu_share(
        &self,
        coefficients: &ImageCoefficients,
        cpu_millis: u64,
    ) -> f64 {
        let budgets = self.headroom.budgets.iter();
        let limits = budgets.map(|(image, budget)| (coefficients.0[*image], *budget));
        self.capacity.cpu_share_within(limits, cpu_millis)
    }
}

/// Interference coefficients of one best-effort image, by the positions of the latency-critical
/// images in a table.
#[derive(Clone, Debug, Default)]
pub(super) struct ImageCoefficients(Vec<f64>);

/// Capacities of all workers of a ledger.
#[derive(Clone, Debug, Default)]
pub struct CapacityTable {
    slots: IndexMap<WorkerIndex, WorkerSlot>,
    critical_images: IndexSet<Arc<str>>,
    /// Workers that differ from the ledger or whose condition has changed.
    stale: IndexSet<WorkerIndex>,
    /// Revision of the ledger at the latest refresh; none before the first.
    revision: Option<u64>,
}

impl CapacityTable {
    /// Builds the capacities of all workers of a ledger.
    pub fn new(
        ledger: &JobLedger,
        interference: &InterferenceModel,
        condition: impl Fn(WorkerIndex) -> WorkerCondition,
    ) -> Self {
        let mut table = Self::default();
        table.refresh(ledger, interference, condition);
        table
    }

    /// Capacity of a worker.
    pub fn capacity(&self, worker: WorkerIndex) -> Option<&WorkerCapacity> {
        self.slots.get(&worker).map(|slot| &slot.capacity)
    }

    pub(super) fn slot(&self, worker: WorkerIndex) -> Option<&WorkerSlot> {
        self.slots.get(&worker)
    }

    pub(super) fn slots(&self) -> impl Iterator<Item = (WorkerIndex, &WorkerSlot)> {
        self.slots.iter().map(|(index, slot)| (*index, slot))
    }

    /// Whether any worker is on probation.
    pub(super) fn has_probation(&self) -> bool {
        let mut slots = self.slots.values();
        slots.any(|slot| slot.capacity.condition.probation.is_active())
    }

    /// Whether the reservations on the workers of a pool that accept tasks take at most half of them.
    pub(super) fn is_pool_half_free(&self, pool: &str) -> bool {
        let workers = self.slots.values().filter(|slot| {
            let is_schedulable = slot.capacity.condition.schedulable;
            is_schedulable && &*slot.facts.pool == pool
        });
        let mut capacities = workers.map(|slot| &slot.capacity);
        let none = (ResourceVector::default(), ResourceVector::default());
        let sums = capacities.try_fold(none, |(reserved, total), capacity| {
            let reserved = reserved.checked_add(&capacity.reserved)?;
            Some((reserved, total.checked_add(&capacity.total)?))
        });
        sums.is_some_and(|(reserved, total)| is_half_free(&reserved, &total))
    }

    /// Records that the condition of a worker has changed.
    pub fn mark_changed(&mut self, worker: WorkerIndex) {
        self.stale.insert(worker);
    }

    /// Brings the table up to date with the ledger and the conditions of the workers. A worker in an
    /// excluded data centre takes no new tasks.
    pub fn refresh(
        &mut self,
        ledger: &JobLedger,
        interference: &InterferenceModel,
        condition: impl Fn(WorkerIndex) -> WorkerCondition,
    ) {
        let revision = self.revision.replace(ledger.worker_revision());
        let known = revision.filter(|_| self.critical_images.len() < CRITICAL_IMAGES_MAX);
        match known.and_then(|revision| ledger.workers_changed_since(revision)) {
            Some(changed) => self.stale.extend(changed),
            None => {
                self.slots.clear();
                self.critical_images.clear();
                self.stale = ledger.workers().map(|(index, _)| index).collect();
            }
        }
        if self.stale.is_empty() {
            return;
        }
        let best_effort_images = interference.best_effort_images();
        for index in std::mem::take(&mut self.stale) {
            let Some(record) = ledger.worker(index) else {
                self.slots.swap_remove(&index);
                continue;
            };
            let mut condition = condition(index);
            condition.schedulable &= !ledger.is_excluded(&record.facts.data_centre);
            let slot = self.build_slot(index, record, condition, interference, &best_effort_images);
            self.slots.insert(index, slot);
        }
    }

    /// Builds a worker. The fraction of harmless images is taken from the table if neither the
    /// latency-critical images nor their utilisations have changed.
    fn build_slot(
        &mut self,
        index: WorkerIndex,
        record: &WorkerRecord,
        condition: WorkerCondition,
        interference: &InterferenceModel,
        best_effort_images: &IndexSet<&Arc<str>>,
    ) -> WorkerSlot {
        let capacity = WorkerCapacity::new(record, condition);
        let images = &capacity.latency_critical_images;
        let unchanged = self.slots.get(&index).filter(|previous| {
            let known_images = &previous.capacity.latency_critical_images;
            previous.capacity.condition.utilisations == capacity.condition.utilisations
                && known_images.len() == images.len()
                && known_images.keys().all(|image| images.contains_key(image))
        });
        let harmless_fraction = match unchanged {
            Some(previous) => previous.headroom.harmless_fraction,
            None => capacity.harmless_fraction(interference, best_effort_images),
        };
        let mut slot = WorkerSlot {
            facts: record.facts.clone(),
            capacity,
            headroom: CriticalHeadroom {
                budgets: Vec::new(),
                harmless_fraction,
            },
        };
        update_budgets(&mut slot, &mut self.critical_images, interference);
        slot
    }

    /// Reserves the capacity of a run until the next refresh.
    pub(super) fn reserve(
        &mut self,
        worker: WorkerIndex,
        task: TaskKey,
        run: &RunRecord,
        interference: &InterferenceModel,
    ) {
        self.stale.insert(worker);
        if let Some(slot) = self.slots.get_mut(&worker) {
            slot.capacity.reserve(task, run);
            if slot.capacity.condition.probation.is_active() {
                *slot.capacity.trials.entry(task.step).or_insert(0) += 1;
            }
            update_budgets(slot, &mut self.critical_images, interference);
        }
    }

    /// Takes back the reservations on these workers since they were as given.
    pub(super) fn restore(&mut self, slots: IndexMap<WorkerIndex, WorkerSlot>) {
        self.slots.extend(slots);
    }

    /// Interference coefficients of a best-effort image.
    pub(super) fn coefficients_of(
        &self,
        interference: &InterferenceModel,
        best_effort: &Arc<str>,
    ) -> ImageCoefficients {
        let images = self.critical_images.iter();
        let coefficients = images.map(|image| interference.mean_coefficient(image, best_effort));
        ImageCoefficients(coefficients.collect())
    }
}

/// Computes the slowdown budgets of the latency-critical images on a worker.
fn update_budgets(
    slot: &mut WorkerSlot,
    critical_images: &mut IndexSet<Arc<str>>,
    interference: &InterferenceModel,
) {
    let capacity = &slot.capacity;
    let images = capacity.latency_critical_images.keys();
    let budgets = images.map(|image| {
        let (position, _) = critical_images.insert_full(Arc::clone(image));
        (position, capacity.slowdown_budget(interference, image))
    });
    slot.headroom.budgets = budgets.collect();
}
