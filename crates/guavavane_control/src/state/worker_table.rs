//! Workers and the ledger of what is committed on each.
//!
//! The ledger counts in integers and never commits a worker beyond what it has. Room is freed
//! only when an attempt has ended. A worker that shrinks may be committed beyond its new size;
//! it then gets nothing new until enough has ended.

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

/// Earlier boots of a worker that are remembered, so that a delayed poll cannot bring one back.
const EARLIER_BOOTS: usize = 16;

/// Most workers of a cell.
const WORKERS_MAX: usize = 65_536;

/// One worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its rack.
    pub rack: RackName,
    /// Its boot.
    pub boot: BootId,
    /// What it has.
    pub capacity: ResourceVector,
    /// What is committed.
    pub committed: ResourceVector,
    /// Tasks that are committed.
    pub tasks: IndexSet<TaskId>,
    earlier_boots: VecDeque<BootId>,
}

impl WorkerEntry {
    /// Whether `demand` fits beside what is committed.
    pub fn has_free_capacity(&self, demand: &ResourceVector) -> bool {
        self.committed
            .checked_add(demand)
            .is_some_and(|total| total.fits_within(&self.capacity))
    }

    /// Whether the worker has had this boot before its current one.
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

/// What an observation changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObservationChange {
    /// Nothing.
    Same,
    /// The worker is new, or something of it changed.
    Changed,
    /// The worker has booted again: these tasks no longer run.
    Rebooted(Vec<TaskId>),
    /// The observation is of an earlier boot.
    Outdated,
    /// Too many workers are kept.
    Full,
}

/// All workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTable {
    workers: IndexMap<WorkerName, WorkerEntry>,
}

impl WorkerTable {
    /// One worker.
    pub fn get(&self, worker: &WorkerName) -> Option<&WorkerEntry> {
        self.workers.get(worker)
    }

    /// All workers.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkerName, &WorkerEntry)> {
        self.workers.iter()
    }

    /// Whether a poll says something that the table does not have yet.
    pub fn is_news(&self, observation: &WorkerObservation) -> bool {
        self.get(&observation.worker)
            .is_none_or(|entry| !entry.matches(observation))
    }

    /// Takes over what a poll says of a worker.
    pub fn observe(&mut self, observation: &WorkerObservation) -> ObservationChange {
        let Some(entry) = self.workers.get_mut(&observation.worker) else {
            return self.add(observation);
        };
        if entry.matches(observation) {
            return ObservationChange::Same;
        }
        if entry.is_earlier_boot(observation.boot) {
            return ObservationChange::Outdated;
        }
        entry.data_centre = observation.data_centre.clone();
        entry.rack = observation.rack.clone();
        entry.capacity = observation.capacity;
        if entry.boot == observation.boot {
            return ObservationChange::Changed;
        }
        entry.earlier_boots.push_back(entry.boot);
        if entry.earlier_boots.len() > EARLIER_BOOTS {
            entry.earlier_boots.pop_front();
        }
        entry.boot = observation.boot;
        ObservationChange::Rebooted(entry.tasks.iter().copied().collect())
    }

    fn add(&mut self, observation: &WorkerObservation) -> ObservationChange {
        if self.workers.len() >= WORKERS_MAX {
            return ObservationChange::Full;
        }
        let entry = WorkerEntry {
            data_centre: observation.data_centre.clone(),
            rack: observation.rack.clone(),
            boot: observation.boot,
            capacity: observation.capacity,
            committed: ResourceVector::ZERO,
            tasks: IndexSet::new(),
            earlier_boots: VecDeque::new(),
        };
        self.workers.insert(observation.worker.clone(), entry);
        ObservationChange::Changed
    }

    /// Forgets a worker that has no tasks.
    pub fn forget(&mut self, worker: &WorkerName) -> bool {
        let idle = self.get(worker).is_some_and(|entry| entry.tasks.is_empty());
        if idle {
            self.workers.swap_remove(worker);
        }
        idle
    }

    /// Commits a task; `false` if the worker is unknown or has no room, and nothing changed.
    pub fn commit(&mut self, worker: &WorkerName, task: TaskId, demand: &ResourceVector) -> bool {
        let Some(entry) = self.workers.get_mut(worker) else {
            return false;
        };
        if !entry.has_free_capacity(demand) || !entry.tasks.insert(task) {
            return false;
        }
        entry.committed = entry
            .committed
            .checked_add(demand)
            .expect("a demand that fits does not overflow");
        true
    }

    /// Frees what a task was committed.
    pub fn free(&mut self, worker: &WorkerName, task: TaskId, demand: &ResourceVector) {
        let entry = self
            .workers
            .get_mut(worker)
            .expect("a worker with a committed task is not forgotten");
        let removed = entry.tasks.swap_remove(&task);
        assert!(removed, "a task is freed once");
        entry.committed = entry
            .committed
            .checked_sub(demand)
            .expect("a task frees what it was committed");
    }
}
