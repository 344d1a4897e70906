//! Keeps the workers and the ledger of the capacity that is committed on each.
//!
//! The ledger uses integers and never commits more than the capacity of a worker. Capacity is
//! released only when an attempt has ended. A worker whose capacity shrinks may be overcommitted;
//! nothing more is committed on it until enough attempts have ended.

use std::collections::VecDeque;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use crate::state::command::WorkerObservation;
use guavavane_model::prelude::BootId;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::RackName;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;

/// Maximum number of earlier boots that are kept of a worker; a delayed poll of one of them must
/// not make it the current boot again.
const EARLIER_BOOTS_MAX: usize = 16;

/// Maximum number of workers in a cell.
const WORKERS_MAX: usize = 65_536;

/// A worker with its capacity and its part of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Data centre of the worker.
    pub data_centre: DataCentreName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Current boot of the worker.
    pub boot: BootId,
    /// Total capacity of the worker.
    pub capacity: ResourceVector,
    /// Sum of the capacity that is committed to tasks.
    pub committed: ResourceVector,
    /// Tasks that are committed to the worker.
    pub tasks: IndexSet<TaskId>,
    earlier_boots: VecDeque<BootId>,
}

impl WorkerRecord {
    /// Whether `demand` fits into the free capacity.
    pub fn has_free_capacity(&self, demand: &ResourceVector) -> bool {
        self.committed
            .checked_add(demand)
            .is_some_and(|total| total.fits_within(&self.capacity))
    }

    /// Whether `boot` is one of the kept boots before the current one.
    pub fn is_earlier_boot(&self, boot: BootId) -> bool {
        self.earlier_boots.contains(&boot)
    }

    fn matches(&self, observation: &WorkerObservation) -> bool {
        self.data_centre == observation.data_centre
            && self.rack == observation.rack
            && self.boot == observation.boot
            && self.capacity == observation.capacity
    }
}

/// Effect of an observation on the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObservationChange {
    /// The record equals the observation.
    Unchanged,
    /// The worker was added or its record changed.
    Changed,
    /// The worker has booted again; these tasks, committed under the earlier boot, no longer run.
    Rebooted(Vec<TaskId>),
    /// The observation comes from an earlier boot and is ignored.
    Outdated,
    /// The maximum number of workers is reached.
    Full,
}

/// Workers by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTable {
    workers: IndexMap<WorkerName, WorkerRecord>,
}

impl WorkerTable {
    /// Returns a worker, if it is known.
    pub fn get(&self, worker: &WorkerName) -> Option<&WorkerRecord> {
        self.workers.get(worker)
    }

    /// Iterates over all workers.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkerName, &WorkerRecord)> {
        self.workers.iter()
    }

    /// Whether the observation differs from the worker's record or the worker is unknown.
    pub fn is_changed_by(&self, observation: &WorkerObservation) -> bool {
        self.get(&observation.worker)
            .is_none_or(|record| !record.matches(observation))
    }

    /// Updates the record of a worker from its poll.
    pub fn observe(&mut self, observation: &WorkerObservation) -> ObservationChange {
        let Some(record) = self.workers.get_mut(&observation.worker) else {
            return self.add(observation);
        };
        if record.matches(observation) {
            return ObservationChange::Unchanged;
        }
        if record.is_earlier_boot(observation.boot) {
            return ObservationChange::Outdated;
        }
        record.data_centre = observation.data_centre.clone();
        record.rack = observation.rack.clone();
        record.capacity = observation.capacity;
        if record.boot == observation.boot {
            return ObservationChange::Changed;
        }
        record.earlier_boots.push_back(record.boot);
        if record.earlier_boots.len() > EARLIER_BOOTS_MAX {
            record.earlier_boots.pop_front();
        }
        record.boot = observation.boot;
        ObservationChange::Rebooted(record.tasks.iter().copied().collect())
    }

    fn add(&mut self, observation: &WorkerObservation) -> ObservationChange {
        if self.workers.len() >= WORKERS_MAX {
            return ObservationChange::Full;
        }
        let record = WorkerRecord {
            data_centre: observation.data_centre.clone(),
            rack: observation.rack.clone(),
            boot: observation.boot,
            capacity: observation.capacity,
            committed: ResourceVector::ZERO,
            tasks: IndexSet::new(),
            earlier_boots: VecDeque::new(),
        };
        self.workers.insert(observation.worker.clone(), record);
        ObservationChange::Changed
    }

    /// Removes a worker; returns `false` if it is unknown or still has tasks.
    pub fn forget(&mut self, worker: &WorkerName) -> bool {
        let has_no_tasks = self
            .get(worker)
            .is_some_and(|record| record.tasks.is_empty());
        if has_no_tasks {
            self.workers.swap_remove(worker);
        }
        has_no_tasks
    }

    /// Commits capacity to a task. Returns `false` and changes nothing if the worker is unknown,
    /// has too little free capacity or has the task already.
    pub fn commit(&mut self, worker: &WorkerName, task: TaskId, demand: &ResourceVector) -> bool {
        let Some(record) = self.workers.get_mut(worker) else {
            return false;
        };
        if !record.has_free_capacity(demand) || !record.tasks.insert(task) {
            return false;
        }
        record.committed = record
            .committed
            .checked_add(demand)
            .expect("a demand that fits does not overflow");
        true
    }

    /// Releases the capacity that was committed to a task.
    pub fn release(&mut self, worker: &WorkerName, task: TaskId, demand: &ResourceVector) {
        let record = self
            .workers
            .get_mut(worker)
            .expect("a worker with a committed task is not forgotten");
        let removed = record.tasks.swap_remove(&task);
        assert!(removed, "a task is released once");
        record.committed = record
            .committed
            .checked_sub(demand)
            .expect("a task releases the capacity that was committed to it");
    }
}
