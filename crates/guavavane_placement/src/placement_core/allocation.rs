//! Adds and releases allocations, and updates quotas, replica counts and histories with them.

use super::FailureDomain;
use super::PlacementCore;
use super::ReplicaCountKey;
use super::UnconfirmedPlacement;
use crate::allocation_history::AllocationSpan;
use crate::decision::DecisionNumber;
use crate::decision::ThrottleLevel;
use crate::index::KindIndex;
use crate::index::ShapeIndex;
use crate::index::WorkerIndex;
use crate::record::TaskAttempt;
use crate::record::TaskClass;
use crate::worker_table::Allocation;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;

/// Maximum number of blocked shapes that are retried at once when an allocation is released.
const RETRIED_SHAPES_MAX: usize = 4;

/// Allocation to add for one attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reservation {
    pub(super) task: TaskId,
    pub(super) attempt: AttemptNumber,
    pub(super) shape: ShapeIndex,
    pub(super) worker: WorkerIndex,
    pub(super) reserved: ResourceVector,
    pub(super) unconfirmed: Option<DecisionNumber>,
    pub(super) evicting: bool,
    pub(super) since: BootTime,
}

impl PlacementCore {
    pub(super) fn reserve(&mut self, reservation: Reservation) {
        let key = self.shapes.get(reservation.shape).key;
        self.shapes.retain(reservation.shape);
        self.teams.charge(key.team, &reservation.reserved);
        let allocation = Allocation {
            task: reservation.task,
            attempt: reservation.attempt,
            shape: reservation.shape,
            reserved: reservation.reserved,
            since: reservation.since,
            unconfirmed: reservation.unconfirmed,
            evicting: reservation.evicting,
            preemptable: key.preemptable(),
            throttle: ThrottleLevel::None,
            throttled_at: reservation.since,
            excess: 0.0,
        };
        self.adjust_excess(reservation.worker, &key, reservation.since, 1.0);
        if let Some(number) = reservation.unconfirmed {
            let attempt = TaskAttempt {
                task: reservation.task,
                attempt: reservation.attempt,
            };
            let worker = reservation.worker;
            self.unconfirmed
                .insert(number, UnconfirmedPlacement { worker, attempt });
        }
        self.workers.add_allocation(reservation.worker, allocation);
        if key.class == TaskClass::LatencyCritical {
            self.count_replica(reservation.worker, key.kind, true);
        }
    }

    /// Releases the allocation of an attempt; returns `None` if the worker has none.
    pub(super) fn release_allocation(
        &mut self,
        now: BootTime,
        worker: WorkerIndex,
        attempt: TaskAttempt,
    ) -> Option<Allocation> {
        let allocation = self.workers.remove_allocation(worker, attempt)?;
        if let Some(number) = allocation.unconfirmed {
            self.unconfirmed.swap_remove(&number);
        }
        let key = self.shapes.get(allocation.shape).key;
        self.teams.refund(key.team, &allocation.reserved);
        if key.class == TaskClass::LatencyCritical {
            self.count_replica(worker, key.kind, false);
        }
        self.shapes.release(allocation.shape);
        self.unthrottle_for(now, worker, attempt.task);
        // The predicted effect of an evicted task stays until samples show that the service is
        // faster. Without it the worker would score well at once and get the task back.
        if !allocation.evicting {
            self.adjust_excess(worker, &key, now, -1.0);
        }
        let span = AllocationSpan {
            kind: key.kind,
            from: allocation.since,
            until: now,
        };
        let limit = self.settings.history_spans_max;
        self.history.record(worker, span, limit);
        if self.workers.get(worker).has_holds() {
            self.holds_changed = true;
        }
        self.retry_blocked_shapes(worker);
        self.forget_worker_if_empty(worker);
        Some(allocation)
    }

    /// Retries the blocked shapes whose delays end first and which fit the worker's free capacity.
    fn retry_blocked_shapes(&mut self, worker: WorkerIndex) {
        let free = self.workers.get(worker).free();
        for shape in self.shapes.first_blocked(RETRIED_SHAPES_MAX) {
            if self.shapes.get(shape).key.demand.fits_within(&free) {
                self.retry_shape(shape);
            }
        }
    }

    fn count_replica(&mut self, worker: WorkerIndex, kind: KindIndex, added: bool) {
        let slot = self.workers.get(worker);
        let domains = [
            FailureDomain::Rack(slot.rack),
            FailureDomain::DataCentre(slot.data_centre),
            FailureDomain::Cell,
        ];
        for domain in domains {
            let count = self
                .replica_counts
                .entry(ReplicaCountKey { kind, domain })
                .or_default();
            if added {
                *count += 1;
                continue;
            }
            *count -= 1;
            if *count == 0 {
                self.replica_counts
                    .swap_remove(&ReplicaCountKey { kind, domain });
            }
        }
    }

    /// Adds all service replicas of a worker to the counts, or subtracts them.
    pub(super) fn count_replicas_on(&mut self, worker: WorkerIndex, added: bool) {
        let allocations = self.workers.get(worker).allocations.iter();
        let shapes: Vec<ShapeIndex> = allocations.map(|allocation| allocation.shape).collect();
        for shape in shapes {
            let key = self.shapes.get(shape).key;
            if key.class == TaskClass::LatencyCritical {
                self.count_replica(worker, key.kind, added);
            }
        }
    }
}
