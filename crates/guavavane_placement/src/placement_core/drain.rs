//! Moves tasks out of data centres that are out, and off workers that shrank.
//!
//! A service task that may run twice is replaced elsewhere first and evicted when the
//! replacement runs; all others are evicted by checkpoint and queued again. Each call looks at
//! a bounded number of workers, and goes on where the last one ended, so that attempts that are
//! confirmed late are found too.

use super::preempt::RoomRequest;
use super::PlacementCore;
use crate::decision::EvictionCause;
use crate::index::DataCentreIndex;
use crate::index::WorkerIndex;
use crate::record::TaskAttempt;
use crate::record::TaskClass;
use crate::shape::ShapeKey;
use crate::worker_table::Resident;
use guavavane_model::prelude::BootTime;

/// Workers of one data centre that a call looks at.
const DRAINED_WORKERS_MAX: usize = 256;

/// A resident that is to leave.
#[derive(Clone, Copy, Debug)]
struct DrainCandidate {
    worker: WorkerIndex,
    attempt: TaskAttempt,
    replaceable: bool,
}

impl PlacementCore {
    pub(super) fn drain_centres(&mut self, now: BootTime, budget: usize) {
        for centre in self.centres.out() {
            self.drain_centre(now, centre, budget);
        }
    }

    fn drain_centre(&mut self, now: BootTime, centre: DataCentreIndex, budget: usize) {
        let count = self.centres.get(centre).workers.len();
        for _ in 0..count.min(DRAINED_WORKERS_MAX) {
            let entry = self.centres.get_mut(centre);
            if !entry.drain_bucket.has_token() || self.outbox.len() >= budget {
                return;
            }
            let position = entry.drain_cursor % entry.workers.len().max(1);
            let Some(worker) = entry.workers.get_index(position).copied() else {
                return;
            };
            if self.drain_worker(now, worker, budget) {
                self.centres.get_mut(centre).drain_cursor = position + 1;
            }
        }
    }

    /// Moves a worker's tasks while tokens last; whether each was looked at.
    fn drain_worker(&mut self, now: BootTime, worker: WorkerIndex, budget: usize) -> bool {
        for candidate in self.drain_candidates(worker) {
            let centre = self.workers.get(worker).centre;
            let bucket = &self.centres.get(centre).drain_bucket;
            if !bucket.has_token() || self.outbox.len() >= budget {
                return false;
            }
            let moved = match candidate.replaceable {
                true => self.start_replacement(now, &candidate),
                false => {
                    self.push_eviction(worker, candidate.attempt, EvictionCause::DataCentreOut);
                    true
                }
            };
            if moved {
                self.centres.get_mut(centre).drain_bucket.take();
            }
        }
        true
    }

    /// Residents that can leave now, services first.
    fn drain_candidates(&self, worker: WorkerIndex) -> Vec<DrainCandidate> {
        let residents = self.workers.get(worker).residents.iter();
        let movable = residents.filter(|resident| self.can_drain(resident));
        let candidates = movable.map(|resident| DrainCandidate {
            worker,
            attempt: TaskAttempt {
                task: resident.task,
                attempt: resident.attempt,
            },
            replaceable: self.is_replaceable(&self.shapes.get(resident.shape).key, resident),
        });
        let mut candidates: Vec<DrainCandidate> = candidates.collect();
        candidates.sort_by_key(|candidate| !candidate.replaceable);
        candidates
    }

    fn can_drain(&self, resident: &Resident) -> bool {
        let task = resident.task;
        let current = self.tasks.get(task);
        let is_current =
            current.is_some_and(|entry| entry.attempt == resident.attempt && !entry.cancelled);
        let moving = self.replacements.contains_key(&task) || self.holds.contains_key(&task);
        resident.can_evict() && is_current && !moving
    }

    fn is_replaceable(&self, key: &ShapeKey, resident: &Resident) -> bool {
        self.settings.replace_before_evict
            && key.class == TaskClass::LatencyCritical
            && !key.exclusive
            && self.teams.admits(key.team, &resident.reserved)
    }

    fn start_replacement(&mut self, now: BootTime, candidate: &DrainCandidate) -> bool {
        let slot = self.workers.get(candidate.worker);
        let Some(resident) = slot.resident(candidate.attempt) else {
            return false;
        };
        let request = RoomRequest {
            task: candidate.attempt.task,
            shape: resident.shape,
            needed: resident.reserved,
            replaces: Some(candidate.worker),
        };
        let team = self.shapes.get(request.shape).key.team;
        if !self.teams.admits(team, &request.needed) {
            return false;
        }
        let reason = self.replacement_reason(candidate.worker);
        if let Some(choice) = self.choose(now, &request, reason) {
            self.count_placement(choice.worker);
            self.place(now, choice);
            return true;
        }
        self.preempt(now, &request)
    }

    /// Evicts what a worker that shrank can no longer carry.
    pub(super) fn evict_excess(&mut self, now: BootTime) {
        let workers: Vec<WorkerIndex> = self.shrunk.iter().copied().collect();
        for worker in workers {
            while let Some(attempt) = self.next_excess(now, worker) {
                self.push_eviction(worker, attempt, EvictionCause::WorkerShrunk);
            }
            if !self.workers.get(worker).has_excess() {
                self.shrunk.swap_remove(&worker);
            }
        }
    }

    /// The resident that costs least to evict, if the worker has too much.
    fn next_excess(&self, now: BootTime, worker: WorkerIndex) -> Option<TaskAttempt> {
        let slot = self.workers.get(worker);
        if !slot.has_excess() {
            return None;
        }
        let residents = slot.residents.iter();
        let batch_first = residents
            .filter(|resident| resident.can_evict())
            .min_by_key(|resident| ExcessRank {
                important: !resident.preemptable,
                work_lost: resident.work_lost(now),
            });
        batch_first.map(|resident| TaskAttempt {
            task: resident.task,
            attempt: resident.attempt,
        })
    }
}

/// Order in which tasks leave a worker that shrank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ExcessRank {
    important: bool,
    work_lost: u64,
}
