//! Drains data centres that are out of service and workers that are overcommitted.
//!
//! A service task that may run twice first gets a replacement elsewhere and is evicted once the
//! replacement is committed; every other task is evicted with a checkpoint and requeued. Each pass
//! visits a bounded number of workers and continues where the last pass ended. Attempts that
//! are confirmed late are therefore found too.

use super::preempt::CapacityRequest;
use super::PlacementCore;
use crate::decision::EvictionCause;
use crate::index::DataCentreIndex;
use crate::index::WorkerIndex;
use crate::record::TaskAttempt;
use crate::record::TaskClass;
use crate::shape::ShapeKey;
use crate::worker_table::Allocation;
use guavavane_model::prelude::BootTime;

/// Maximum number of workers of one data centre that a pass visits.
const DRAINED_WORKERS_MAX: usize = 256;

/// Allocation to move to another data centre.
#[derive(Clone, Copy, Debug)]
struct DrainCandidate {
    worker: WorkerIndex,
    attempt: TaskAttempt,
    is_replaceable: bool,
}

impl PlacementCore {
    pub(super) fn drain_data_centres(&mut self, now: BootTime, budget: usize) {
        for data_centre in self.data_centres.out_of_service() {
            self.drain_data_centre(now, data_centre, budget);
        }
    }

    fn drain_data_centre(&mut self, now: BootTime, data_centre: DataCentreIndex, budget: usize) {
        let count = self.data_centres.get(data_centre).workers.len();
        for _ in 0..count.min(DRAINED_WORKERS_MAX) {
            let entry = self.data_centres.get_mut(data_centre);
            if !entry.drain_bucket.has_token() || self.pending_decisions.len() >= budget {
                return;
            }
            let position = entry.next_drain_position % entry.workers.len().max(1);
            let Some(worker) = entry.workers.get_index(position).copied() else {
                return;
            };
            if self.drain_worker(now, worker, budget) {
                self.data_centres.get_mut(data_centre).next_drain_position = position + 1;
            }
        }
    }

    /// Moves a worker's tasks while tokens last; returns whether every task was visited.
    fn drain_worker(&mut self, now: BootTime, worker: WorkerIndex, budget: usize) -> bool {
        for candidate in self.drain_candidates(worker) {
            let data_centre = self.workers.get(worker).data_centre;
            let bucket = &self.data_centres.get(data_centre).drain_bucket;
            if !bucket.has_token() || self.pending_decisions.len() >= budget {
                return false;
            }
            let was_moved = match candidate.is_replaceable {
                true => self.start_replacement(now, &candidate),
                false => {
                    self.order_eviction(worker, candidate.attempt, EvictionCause::DataCentreOut);
                    true
                }
            };
            if was_moved {
                self.data_centres
                    .get_mut(data_centre)
                    .drain_bucket
                    .try_take();
            }
        }
        true
    }

    /// Allocations that can be moved now, replaceable services first.
    fn drain_candidates(&self, worker: WorkerIndex) -> Vec<DrainCandidate> {
        let allocations = self.workers.get(worker).allocations.iter();
        let movable = allocations.filter(|allocation| self.can_drain(allocation));
        let candidates = movable.map(|allocation| DrainCandidate {
            worker,
            attempt: TaskAttempt {
                task: allocation.task,
                attempt: allocation.attempt,
            },
            is_replaceable: self.is_replaceable(&self.shapes.get(allocation.shape).key, allocation),
        });
        let mut candidates: Vec<DrainCandidate> = candidates.collect();
        candidates.sort_by_key(|candidate| !candidate.is_replaceable);
        candidates
    }

    fn can_drain(&self, allocation: &Allocation) -> bool {
        let task = allocation.task;
        let current = self.tasks.get(task);
        let is_current =
            current.is_some_and(|entry| entry.attempt == allocation.attempt && !entry.cancelled);
        let is_moving = self.replacements.contains_key(&task) || self.holds.contains_key(&task);
        allocation.can_evict() && is_current && !is_moving
    }

    fn is_replaceable(&self, key: &ShapeKey, allocation: &Allocation) -> bool {
        self.settings.replace_before_evict
            && key.class == TaskClass::LatencyCritical
            && !key.exclusive
            && self.teams.admits(key.team, &allocation.reserved)
    }

    fn start_replacement(&mut self, now: BootTime, candidate: &DrainCandidate) -> bool {
        let slot = self.workers.get(candidate.worker);
        let Some(allocation) = slot.allocation(candidate.attempt) else {
            return false;
        };
        let request = CapacityRequest {
            task: candidate.attempt.task,
            shape: allocation.shape,
            needed: allocation.reserved,
            replaces: Some(candidate.worker),
        };
        let team = self.shapes.get(request.shape).key.team;
        if !self.teams.admits(team, &request.needed) {
            return false;
        }
        let reason = self.replacement_reason(candidate.worker);
        if let Some(choice) = self.choose_worker(now, &request, reason) {
            self.take_ramp_token(choice.worker);
            self.place(now, choice);
            return true;
        }
        self.preempt(now, &request)
    }

    /// Evicts tasks from overcommitted workers until the staying ones fit the capacity.
    pub(super) fn evict_overcommitted(&mut self, now: BootTime) {
        let workers: Vec<WorkerIndex> = self.overcommitted.iter().copied().collect();
        for worker in workers {
            while let Some(attempt) = self.next_overcommit_eviction(now, worker) {
                self.order_eviction(worker, attempt, EvictionCause::WorkerShrunk);
            }
            if !self.workers.get(worker).is_overcommitted() {
                self.overcommitted.swap_remove(&worker);
            }
        }
    }

    /// The attempt to evict next from an overcommitted worker: preemptable tasks first, then the
    /// one that loses the least work.
    fn next_overcommit_eviction(&self, now: BootTime, worker: WorkerIndex) -> Option<TaskAttempt> {
        let slot = self.workers.get(worker);
        if !slot.is_overcommitted() {
            return None;
        }
        let allocations = slot.allocations.iter();
        let cheapest = allocations
            .filter(|allocation| allocation.can_evict())
            .min_by_key(|allocation| OvercommitEvictionRank {
                is_protected: !allocation.preemptable,
                work_lost: allocation.work_lost(now),
            });
        cheapest.map(|allocation| TaskAttempt {
            task: allocation.task,
            attempt: allocation.attempt,
        })
    }
}

/// Order of evictions from an overcommitted worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OvercommitEvictionRank {
    /// Whether the task may not be preempted.
    is_protected: bool,
    work_lost: u64,
}
