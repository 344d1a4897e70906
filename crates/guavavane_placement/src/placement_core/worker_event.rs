//! Applies events about workers, data centres and quotas.

use super::EventOutcome;
use super::IgnoredReason;
use super::PlacementCore;
use super::RackKey;
use crate::data_centre::DataCentreStatus;
use crate::event::TeamQuota;
use crate::index::DataCentreIndex;
use crate::index::RackIndex;
use crate::index::WorkerIndex;
use crate::record::WorkerRecord;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::WorkerName;

impl PlacementCore {
    pub(super) fn worker_up(&mut self, record: WorkerRecord) -> EventOutcome {
        let Some(data_centre) = self.data_centres.intern(&record.data_centre) else {
            return EventOutcome::Ignored(IgnoredReason::TooManyDataCentres);
        };
        let rack = self.racks.intern(&RackKey {
            data_centre,
            name: record.rack,
        });
        let worker = match self.workers.find(&record.name) {
            Some(worker) => worker,
            None => self.add_worker(record.name, data_centre, rack),
        };
        let slot = self.workers.get(worker);
        let same_place = slot.data_centre == data_centre && slot.rack == rack;
        if slot.present && same_place && slot.capacity == record.capacity {
            return EventOutcome::Ignored(IgnoredReason::Duplicate);
        }
        if !same_place {
            self.move_worker(worker, data_centre, rack);
        }
        self.set_capacity(worker, true, record.capacity);
        self.mark_if_overcommitted(worker);
        self.holds_changed = true;
        self.retry_impossible();
        EventOutcome::Applied
    }

    fn add_worker(
        &mut self,
        name: WorkerName,
        data_centre: DataCentreIndex,
        rack: RackIndex,
    ) -> WorkerIndex {
        let worker = self.workers.add(name, data_centre, rack);
        self.data_centres
            .get_mut(data_centre)
            .workers
            .insert(worker);
        worker
    }

    /// Adds a worker that has a committed task but has not been reported; its rack is unknown.
    pub(super) fn add_unknown_worker(
        &mut self,
        name: &WorkerName,
        data_centre: DataCentreIndex,
    ) -> Option<WorkerIndex> {
        let unknown = "unknown".try_into();
        let rack = self.racks.intern(&RackKey {
            data_centre,
            name: unknown.ok()?,
        });
        Some(self.add_worker(name.clone(), data_centre, rack))
    }

    /// Moves a worker and its counts to another rack or data centre.
    fn move_worker(&mut self, worker: WorkerIndex, data_centre: DataCentreIndex, rack: RackIndex) {
        let slot = self.workers.get(worker);
        let old = slot.data_centre;
        let present = slot.present;
        let quarantined = u64::from(slot.quarantined);
        let capacity = slot.capacity;
        self.count_replicas_on(worker, false);
        if present {
            self.set_capacity(worker, false, capacity);
        }
        self.data_centres.get_mut(old).workers.swap_remove(&worker);
        self.data_centres.get_mut(old).quarantined -= quarantined;
        self.workers.update(worker, |slot| {
            slot.data_centre = data_centre;
            slot.rack = rack;
        });
        self.data_centres
            .get_mut(data_centre)
            .workers
            .insert(worker);
        self.data_centres.get_mut(data_centre).quarantined += quarantined;
        self.count_replicas_on(worker, true);
    }

    fn set_capacity(&mut self, worker: WorkerIndex, present: bool, capacity: ResourceVector) {
        let slot = self.workers.get(worker);
        let data_centre = slot.data_centre;
        let removed = match slot.present {
            true => slot.capacity,
            false => ResourceVector::ZERO,
        };
        if slot.present {
            self.data_centres
                .get_mut(data_centre)
                .remove_capacity(removed);
        }
        let added = match present {
            true => capacity,
            false => ResourceVector::ZERO,
        };
        if present {
            self.data_centres.get_mut(data_centre).add_capacity(added);
        }
        self.teams.change_totals(&removed, &added);
        self.workers.update(worker, |slot| {
            slot.present = present;
            slot.capacity = capacity;
        });
    }

    pub(super) fn mark_if_overcommitted(&mut self, worker: WorkerIndex) {
        let slot = self.workers.get(worker);
        if slot.present && slot.is_overcommitted() {
            self.overcommitted.insert(worker);
        }
    }

    pub(super) fn worker_gone(&mut self, name: &WorkerName) -> EventOutcome {
        let Some(worker) = self.workers.find(name) else {
            return EventOutcome::Ignored(IgnoredReason::UnknownWorker);
        };
        let slot = self.workers.get(worker);
        if !slot.present {
            return EventOutcome::Ignored(IgnoredReason::Duplicate);
        }
        let capacity = slot.capacity;
        self.set_capacity(worker, false, capacity);
        self.holds_changed = true;
        self.forget_worker_if_empty(worker);
        EventOutcome::Applied
    }

    pub(super) fn forget_worker_if_empty(&mut self, worker: WorkerIndex) {
        let slot = self.workers.get(worker);
        let data_centre = slot.data_centre;
        let quarantined = u64::from(slot.quarantined);
        if !self.workers.forget_if_empty(worker) {
            return;
        }
        let entry = self.data_centres.get_mut(data_centre);
        entry.workers.swap_remove(&worker);
        entry.quarantined -= quarantined;
        self.overcommitted.swap_remove(&worker);
        self.failures.forget_worker(worker);
        self.history.forget_worker(worker);
    }

    pub(super) fn data_centre_out(&mut self, name: &DataCentreName) -> EventOutcome {
        let Some(data_centre) = self.data_centres.intern(name) else {
            return EventOutcome::Ignored(IgnoredReason::TooManyDataCentres);
        };
        let entry = self.data_centres.get_mut(data_centre);
        if entry.status == DataCentreStatus::Out {
            return EventOutcome::Ignored(IgnoredReason::Duplicate);
        }
        entry.status = DataCentreStatus::Out;
        self.holds_changed = true;
        EventOutcome::Applied
    }

    pub(super) fn data_centre_back(
        &mut self,
        now: BootTime,
        name: &DataCentreName,
    ) -> EventOutcome {
        let Some(data_centre) = self.data_centres.intern(name) else {
            return EventOutcome::Ignored(IgnoredReason::TooManyDataCentres);
        };
        let entry = self.data_centres.get_mut(data_centre);
        if entry.status != DataCentreStatus::Out {
            return EventOutcome::Ignored(IgnoredReason::Duplicate);
        }
        entry.status = DataCentreStatus::Ramping { since: now };
        EventOutcome::Applied
    }

    pub(super) fn quota_set(&mut self, quota: &TeamQuota) -> EventOutcome {
        self.teams.set_quota(quota);
        self.holds_changed = true;
        self.retry_impossible();
        EventOutcome::Applied
    }
}
