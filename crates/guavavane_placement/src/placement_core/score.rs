//! Scores candidate workers for a task.
//!
//! A score is a sum of parts in thousandths, see [`ScoreBreakdown`]. Batch tasks prefer full
//! workers (best fit), services prefer empty ones (worst fit) in failure domains with few
//! replicas of their workload.

use super::FailureDomain;
use super::PlacementCore;
use super::ReplicaCountKey;
use crate::decision::ScoreBreakdown;
use crate::decision::ScoredWorker;
use crate::index::ShapeIndex;
use crate::index::WorkerIndex;
use crate::record::TaskClass;
use crate::shape::ShapeKey;
use crate::worker_table::WorkerSlot;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::JobId;
use guavavane_model::prelude::ResourceVector;

/// Penalty for each replica of the same shape on the worker.
const SAME_WORKER_PENALTY: i64 = 1_000;

/// Penalty if all replicas of the service are in the worker's rack; in proportion for a part of
/// them.
const SAME_RACK_PENALTY: i64 = 2_000;

/// Penalty if all replicas of the service are in the worker's data centre; in proportion for a
/// part of them.
const SAME_DATA_CENTRE_PENALTY: i64 = 3_000;

/// Penalty for each job that failed on the worker within the failure window.
const FAILED_JOB_PENALTY: i64 = 200;

/// Penalty if the task's own job failed on the worker within the failure window.
const OWN_FAILURE_PENALTY: i64 = 2_000;

/// Maximum number of next best workers that a decision lists.
const ALTERNATIVES_MAX: usize = 2;

/// A worker with its score.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScoredIndex {
    pub(super) worker: WorkerIndex,
    pub(super) score: ScoreBreakdown,
}

/// Task for which workers are scored.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScoreRequest {
    pub(super) now: BootTime,
    pub(super) shape: ShapeIndex,
    pub(super) key: ShapeKey,
    pub(super) job: JobId,
    pub(super) needed: ResourceVector,
}

fn permille(part: u64, whole: u64) -> i64 {
    let permille = u128::from(part) * 1_000 / u128::from(whole.max(1));
    i64::try_from(permille).unwrap_or(i64::MAX)
}

impl PlacementCore {
    /// Scores workers and sorts them by descending total.
    pub(super) fn score_workers(
        &self,
        request: &ScoreRequest,
        workers: &[WorkerIndex],
    ) -> Vec<ScoredIndex> {
        let scored = workers.iter().map(|worker| ScoredIndex {
            worker: *worker,
            score: self.score(request, *worker),
        });
        let mut scored: Vec<ScoredIndex> = scored.collect();
        scored.sort_by_key(|scored| -scored.score.total());
        scored
    }

    fn score(&self, request: &ScoreRequest, worker: WorkerIndex) -> ScoreBreakdown {
        let slot = self.workers.get(worker);
        let committed_permille = committed_permille(slot, &request.needed);
        let is_service = request.key.class == TaskClass::LatencyCritical;
        ScoreBreakdown {
            fit: if is_service {
                -committed_permille
            } else {
                committed_permille
            },
            spread: if is_service {
                self.spread_score(request, slot)
            } else {
                0
            },
            interference: self.interference_score(
                request.now,
                request.key.kind,
                request.key.class,
                worker,
            ),
            failures: self.failure_score(request.job, worker),
        }
    }

    fn spread_score(&self, request: &ScoreRequest, slot: &WorkerSlot) -> i64 {
        let kind = request.key.kind;
        let count = |domain| {
            let count = self.replica_counts.get(&ReplicaCountKey { kind, domain });
            count.map_or(0, |count| i64::from(*count))
        };
        let total = count(FailureDomain::Cell).max(1);
        let in_rack = count(FailureDomain::Rack(slot.rack));
        let in_data_centre = count(FailureDomain::DataCentre(slot.data_centre));
        let allocations = slot.allocations.iter();
        let on_worker = allocations.filter(|allocation| allocation.shape == request.shape);
        let on_worker = on_worker.count() as i64;
        -(on_worker * SAME_WORKER_PENALTY
            + in_rack * SAME_RACK_PENALTY / total
            + in_data_centre * SAME_DATA_CENTRE_PENALTY / total)
    }

    fn failure_score(&self, job: JobId, worker: WorkerIndex) -> i64 {
        let own = i64::from(self.failures.job_failed_on(job, worker));
        -(self.failures.failed_job_count(worker) * FAILED_JOB_PENALTY + own * OWN_FAILURE_PENALTY)
    }

    pub(super) fn name_alternatives(&self, scored: &[ScoredIndex]) -> Vec<ScoredWorker> {
        let passed_over = scored.iter().skip(1).take(ALTERNATIVES_MAX);
        passed_over
            .map(|scored| ScoredWorker {
                worker: self.workers.get(scored.worker).name.clone(),
                total: scored.score.total(),
            })
            .collect()
    }
}

/// Mean committed fraction of processors and memory once the task is placed, in thousandths.
fn committed_permille(slot: &WorkerSlot, needed: &ResourceVector) -> i64 {
    let committed = slot.committed();
    let cpu = committed.cpu_millis.saturating_add(needed.cpu_millis);
    let memory = committed.memory_mib.saturating_add(needed.memory_mib);
    let cpu = permille(cpu, slot.capacity.cpu_millis);
    let memory = permille(memory, slot.capacity.memory_mib);
    (cpu + memory) / 2
}
