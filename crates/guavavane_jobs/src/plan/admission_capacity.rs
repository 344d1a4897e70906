//! Keeps the processors in service for each class of finite work up to date.
//!
//! Each worker adds to its pool and to each of its labels. Only the workers that have changed are
//! counted anew, so that the cost follows the changes and not the number of workers.

use std::sync::Arc;

use indexmap::IndexMap;

use super::admission_backlog::WorkClass;
use super::capacity::WorkerCapacity;
use crate::ledger::WorkerIndex;
use crate::worker::WorkerFacts;
use guavavane_model::prelude::ResourceVector;

/// Part of its reserved processor that a long-running task uses at least, in percent: half of the mean
/// of 50, because its load varies by half.
const LONG_RUNNING_CPU_LOW_PERCENT: u64 = 25;
/// Processor that best-effort tasks may demand, in percent of what is left to them: placement requires
/// 40 percent of a demand to be idle.
const BEST_EFFORT_OVERLOAD_PERCENT: u64 = 250;
/// Most different worker sizes that are looked at for a job; one that fits none of them counts as not
/// fitting any worker.
const SIZES_MAX: usize = 64;

/// Processor for the finite work of one class, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCapacity {
    /// Processor that serves the work.
    pub cpu_millis: u64,
    /// Processor of further tasks that could start at once.
    pub free_cpu_millis: u64,
}

/// Sums of all workers in service of one pool or label.
#[derive(Clone, Debug, Default, PartialEq)]
struct ServiceTotals {
    ordinary: ClassCapacity,
    best_effort: ClassCapacity,
    /// Number of workers with each size left by long-running tasks.
    sizes: IndexMap<ResourceVector, u32>,
}

/// What one worker adds to the sums.
#[derive(Clone, Debug, PartialEq)]
struct WorkerShare {
    pool: Arc<str>,
    labels: Vec<Arc<str>>,
    ordinary: ClassCapacity,
    best_effort: ClassCapacity,
    size: ResourceVector,
}

impl WorkerShare {
    fn new(facts: &WorkerFacts, capacity: &WorkerCapacity) -> Self {
        let total = capacity.total;
        let held = capacity.long_running_reserved;
        let size = total.saturating_sub(&held);
        let used = capacity.reserved.saturating_sub(&held);
        let long_running_cpu = held.cpu_millis / 100 * LONG_RUNNING_CPU_LOW_PERCENT;
        let left_cpu = total.cpu_millis.saturating_sub(long_running_cpu);
        let overload = left_cpu.saturating_mul(BEST_EFFORT_OVERLOAD_PERCENT) / 100;
        Self {
            pool: Arc::clone(&facts.pool),
            labels: facts.labels.clone(),
            ordinary: ClassCapacity {
                cpu_millis: size.cpu_millis,
                free_cpu_millis: size.cpu_millis.saturating_sub(used.cpu_millis),
            },
            best_effort: ClassCapacity {
                cpu_millis: left_cpu,
                free_cpu_millis: overload.saturating_sub(capacity.best_effort_cpu_millis),
            },
            size,
        }
    }

    /// Pool, alone and with each of the labels.
    fn groups(&self) -> impl Iterator<Item = (Arc<str>, Option<Arc<str>>)> + '_ {
        let labels = self.labels.iter().map(|label| Some(Arc::clone(label)));
        std::iter::once(None)
            .chain(labels)
            .map(|label| (Arc::clone(&self.pool), label))
    }
}

/// Processors in service, by pool and label.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceCapacity {
    shares: IndexMap<WorkerIndex, WorkerShare>,
    totals: IndexMap<(Arc<str>, Option<Arc<str>>), ServiceTotals>,
}

impl ServiceCapacity {
    /// Processor for the work of a class.
    pub fn of_class(&self, class: &WorkClass) -> ClassCapacity {
        let key = (Arc::clone(&class.pool), class.label.clone());
        let totals = self.totals.get(&key);
        let capacity = totals.map(|totals| {
            if class.best_effort {
                totals.best_effort
            } else {
                totals.ordinary
            }
        });
        capacity.unwrap_or_default()
    }

    /// Whether some worker has room for a reservation once all finite tasks have ended.
    pub fn has_room(&self, class: &WorkClass, reserved: &ResourceVector) -> bool {
        let key = (Arc::clone(&class.pool), class.label.clone());
        let totals = self.totals.get(&key);
        let sizes = totals.into_iter().flat_map(|totals| totals.sizes.keys());
        sizes.take(SIZES_MAX).any(|size| reserved.fits_within(size))
    }

    /// Counts a worker anew; one that takes no tasks is not in service.
    pub(super) fn update(
        &mut self,
        index: WorkerIndex,
        facts: &WorkerFacts,
        capacity: &WorkerCapacity,
    ) {
        self.remove(index);
        if !capacity.condition.schedulable {
            return;
        }
        let share = WorkerShare::new(facts, capacity);
        for group in share.groups() {
            let totals = self.totals.entry(group).or_default();
            totals.ordinary = totals.ordinary.plus(share.ordinary);
            totals.best_effort = totals.best_effort.plus(share.best_effort);
            *totals.sizes.entry(share.size).or_insert(0) += 1;
        }
        self.shares.insert(index, share);
    }

    pub(super) fn remove(&mut self, index: WorkerIndex) {
        let Some(share) = self.shares.swap_remove(&index) else {
            return;
        };
        for group in share.groups() {
            let Some(totals) = self.totals.get_mut(&group) else {
                continue;
            };
            totals.ordinary = totals.ordinary.minus(share.ordinary);
            totals.best_effort = totals.best_effort.minus(share.best_effort);
            if let Some(count) = totals.sizes.get_mut(&share.size) {
                *count -= 1;
                if *count == 0 {
                    totals.sizes.swap_remove(&share.size);
                }
            }
            if totals.sizes.is_empty() {
                self.totals.swap_remove(&group);
            }
        }
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}

impl ClassCapacity {
    fn plus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            free_cpu_millis: self.free_cpu_millis.saturating_add(other.free_cpu_millis),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            free_cpu_millis: self.free_cpu_millis.saturating_sub(other.free_cpu_millis),
        }
    }
}
