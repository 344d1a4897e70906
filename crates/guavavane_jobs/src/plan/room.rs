//! What is left on each worker.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::press::strain_limit;
use super::press::strain_stretch;
use super::press::FillingLoad;
use super::press::PressTable;
use crate::identity::StepKey;
use crate::identity::TaskKey;
use crate::ledger::JobLedger;
use crate::ledger::RunRecord;
use crate::ledger::WorkerIndex;
use crate::ledger::WorkerRecord;
use guavavane_model::prelude::ResourceVector;

/// Share of its processor that a serving task uses on average, in percent.
///
/// Serving tasks are sized for their peak; what they leave is for filling tasks.
const SERVING_USE_PERCENT: u64 = 50;

/// Strain below the limit that is kept free: own loads rise while a filling task runs.
const STRAIN_MARGIN: f64 = 0.1;
/// Stretch for a whole processor below which a pair does not matter.
const WEIGHT_LIGHT: f64 = 0.6;
/// Strain of a serving task that no report tells of: its load is half of its peak.
const STRAIN_UNSEEN: f64 = 0.45;

/// What the leader knows of a worker besides the ledger.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerOutlook {
    /// Whether orders reach it and it takes new work.
    pub usable: bool,
    /// How many of its latest runs failed in a row without one that was done.
    pub failures_in_row: u32,
    /// Highest strain of each serving image, as its agent reported it.
    pub strains: IndexMap<Arc<str>, f64>,
    /// Filling tasks beside which these strains were seen.
    pub seen_load: FillingLoad,
}

impl WorkerOutlook {
    /// Strain of a serving image without filling tasks.
    fn own_strain(&self, table: &PressTable, serving: &Arc<str>) -> f64 {
        let seen = self.strains.get(serving);
        let own = seen.map(|seen| seen - table.added(serving, &self.seen_load));
        own.unwrap_or(STRAIN_UNSEEN).max(0.0)
    }
}

/// Room of one worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerRoom {
    /// What it has.
    pub capacity: ResourceVector,
    /// What its runs have reserved.
    pub reserved: ResourceVector,
    /// Processor that tasks other than filling ones are expected to use.
    pub busy_cpu: u64,
    /// Processor that filling tasks could use.
    pub filling_cpu: u64,
    /// Number of serving tasks.
    pub serving: u32,
    /// Number of filling tasks.
    pub filling: u32,
    /// Number of serving tasks of each image.
    pub serving_images: IndexMap<Arc<str>, u32>,
    /// Shares of the processor that filling tasks could use, by image.
    pub load: FillingLoad,
    /// Number of runs of each step.
    pub steps: IndexMap<StepKey, u32>,
    /// What the leader knows of it.
    pub outlook: WorkerOutlook,
}

impl WorkerRoom {
    /// The room of a worker in the ledger.
    pub fn new(record: &WorkerRecord, outlook: WorkerOutlook) -> Self {
        let mut room = Self {
            capacity: record.facts.capacity,
            outlook,
            ..Self::default()
        };
        for (task, run) in &record.runs {
            room.take(*task, run);
        }
        room
    }

    /// Takes the room of a run.
    pub fn take(&mut self, task: TaskKey, run: &RunRecord) {
        let sum = self.reserved.checked_add(&run.reserved);
        self.reserved = sum.unwrap_or(self.capacity);
        if run.filling {
            self.filling_cpu += run.cpu_millis;
            self.filling += 1;
            let share = self.share(run.cpu_millis);
            *self.load.entry(Arc::clone(&run.image)).or_insert(0.0) += share;
        } else if run.serving {
            self.busy_cpu += run.cpu_millis * SERVING_USE_PERCENT / 100;
            if run.latency_target_ms.is_some() {
                *self
                    .serving_images
                    .entry(Arc::clone(&run.image))
                    .or_insert(0) += 1;
            }
        } else {
            self.busy_cpu += run.cpu_millis;
        }
        self.serving += u32::from(run.serving);
        *self.steps.entry(task.step).or_insert(0) += 1;
    }

    /// Share of the worker's processor.
    fn share(&self, cpu_millis: u64) -> f64 {
        cpu_millis as f64 / self.capacity.cpu_millis.max(1) as f64
    }

    /// Whether a run with this reservation fits.
    pub fn fits(&self, reserved: &ResourceVector) -> bool {
        let sum = self.reserved.checked_add(reserved);
        sum.is_some_and(|sum| sum.fits_within(&self.capacity))
    }

    /// Processor that nobody is expected to use, in thousandths of a core.
    pub fn idle_cpu(&self) -> i64 {
        let used = self.busy_cpu + self.filling_cpu;
        i64::try_from(self.capacity.cpu_millis).unwrap_or(i64::MAX)
            - i64::try_from(used).unwrap_or(i64::MAX)
    }

    /// Pace that the serving tasks are expected to leave to one more filling task, from 0 to 1,
    /// without slowing down the filling tasks that are there.
    pub fn spare_pace(&self, table: &PressTable, image: &Arc<str>, cpu_millis: u64) -> f64 {
        let paces = self.serving_images.keys().map(|served| {
            let weight = table.weight(served, image);
            if weight < WEIGHT_LIGHT {
                return 1.0;
            }
            let own = self.outlook.own_strain(table, served);
            let borne = strain_stretch(strain_limit() - STRAIN_MARGIN - own);
            let left = borne - table.stretch(served, &self.load);
            left / (weight * self.share(cpu_millis).max(f64::MIN_POSITIVE))
        });
        paces.fold(1.0, f64::min).max(0.0)
    }

    /// How surely a filling image presses on none of the serving tasks, from 0 to 1.
    fn spared(&self, table: &PressTable, image: &Arc<str>) -> f64 {
        let served = self.serving_images.keys();
        let spared = served.map(|served| 1.0 - table.presses(served, image));
        spared.product()
    }

    /// Part of these filling images that press on none of the serving tasks.
    pub fn openness(&self, table: &PressTable, images: &IndexSet<&Arc<str>>) -> f64 {
        let free = images.iter().map(|image| self.spared(table, image));
        free.sum::<f64>() / images.len().max(1) as f64
    }

    /// Part of these filling images that press on none of the serving tasks, and would press on
    /// a new one of this image.
    pub fn closed_by(
        &self,
        table: &PressTable,
        images: &IndexSet<&Arc<str>>,
        serving: &Arc<str>,
    ) -> f64 {
        if self.serving_images.contains_key(serving) {
            return 0.0;
        }
        let closed = images
            .iter()
            .map(|image| self.spared(table, image) * table.presses(serving, image));
        closed.sum::<f64>() / images.len().max(1) as f64
    }

    /// Number of runs of a step.
    pub fn runs_of(&self, step: StepKey) -> u32 {
        self.steps.get(&step).copied().unwrap_or(0)
    }
}

/// Room of all workers of the ledger.
pub fn rooms(
    ledger: &JobLedger,
    outlook: impl Fn(WorkerIndex) -> WorkerOutlook,
) -> IndexMap<WorkerIndex, WorkerRoom> {
    let rooms = ledger.workers().map(|(index, record)| {
        let mut outlook = outlook(index);
        outlook.usable &= !ledger.is_excluded(&record.facts.data_centre);
        (index, WorkerRoom::new(record, outlook))
    });
    rooms.collect()
}
