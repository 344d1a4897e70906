//! Commits workers to attempts and frees them, with all that is counted beside.

use super::PlacementCore;
use super::SpreadKey;
use super::SpreadPlace;
use super::UnconfirmedPlace;
use crate::decision::DecisionNumber;
use crate::decision::ThrottleLevel;
use crate::index::KindIndex;
use crate::index::ShapeIndex;
use crate::index::WorkerIndex;
use crate::record::TaskAttempt;
use crate::record::TaskClass;
use crate::residence::ResidenceSpan;
use crate::worker_table::Resident;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;

/// Shapes that are tried again when a worker frees room.
const WOKEN_SHAPES: usize = 4;

/// An attempt that a worker is to be committed to.
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
        let resident = Resident {
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
        self.count_excess(reservation.worker, &key, reservation.since, 1.0);
        if let Some(number) = reservation.unconfirmed {
            let attempt = TaskAttempt {
                task: reservation.task,
                attempt: reservation.attempt,
            };
            let worker = reservation.worker;
            self.unconfirmed
                .insert(number, UnconfirmedPlace { worker, attempt });
        }
        self.workers.add_resident(reservation.worker, resident);
        if key.class == TaskClass::LatencyCritical {
            self.count_spread(reservation.worker, key.kind, true);
        }
    }

    /// Frees what a worker was committed to for an attempt.
    pub(super) fn free(
        &mut self,
        now: BootTime,
        worker: WorkerIndex,
        attempt: TaskAttempt,
    ) -> Option<Resident> {
        let resident = self.workers.remove_resident(worker, attempt)?;
        if let Some(number) = resident.unconfirmed {
            self.unconfirmed.swap_remove(&number);
        }
        let key = self.shapes.get(resident.shape).key;
        self.teams.refund(key.team, &resident.reserved);
        if key.class == TaskClass::LatencyCritical {
            self.count_spread(worker, key.kind, false);
        }
        self.shapes.release(resident.shape);
        self.end_strain(now, worker, attempt.task);
        // What an evicted task caused counts until samples show the relief, or it would return.
        if !resident.evicting {
            self.count_excess(worker, &key, now, -1.0);
        }
        let span = ResidenceSpan {
            kind: key.kind,
            from: resident.since,
            until: now,
        };
        let limit = self.settings.history_spans_max;
        self.history.record(worker, span, limit);
        if self.workers.get(worker).has_holds() {
            self.holds_changed = true;
        }
        self.wake_blocked(worker);
        self.forget_worker_if_empty(worker);
        Some(resident)
    }

    /// Tries the shapes again that have waited longest and fit what a worker has free.
    fn wake_blocked(&mut self, worker: WorkerIndex) {
        let free = self.workers.get(worker).free();
        for shape in self.shapes.first_blocked(WOKEN_SHAPES) {
            if self.shapes.get(shape).key.demand.fits_within(&free) {
                self.wake_shape(shape);
            }
        }
    }

    fn count_spread(&mut self, worker: WorkerIndex, kind: KindIndex, added: bool) {
        let slot = self.workers.get(worker);
        let places = [
            SpreadPlace::Rack(slot.rack),
            SpreadPlace::Centre(slot.centre),
            SpreadPlace::Cell,
        ];
        for place in places {
            let count = self.spread.entry(SpreadKey { kind, place }).or_default();
            if added {
                *count += 1;
                continue;
            }
            *count -= 1;
            if *count == 0 {
                self.spread.swap_remove(&SpreadKey { kind, place });
            }
        }
    }

    /// Counts or uncounts all services of a worker.
    pub(super) fn count_spread_of(&mut self, worker: WorkerIndex, added: bool) {
        let residents = self.workers.get(worker).residents.iter();
        let shapes: Vec<ShapeIndex> = residents.map(|resident| resident.shape).collect();
        for shape in shapes {
            let key = self.shapes.get(shape).key;
            if key.class == TaskClass::LatencyCritical {
                self.count_spread(worker, key.kind, added);
            }
        }
    }
}
