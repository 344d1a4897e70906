//! What is left on each worker.

use std::sync::Arc;

use indexmap::IndexMap;

use super::press::strain_limit;
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

/// Part of the strain limit up to which filling tasks are placed beside serving ones: the
/// serving tasks' own load may rise while they run.
const BORNE_PART: f64 = 0.8;
/// Strain that one task adds which no load makes matter.
const WEIGHT_LIGHT: f64 = 0.03;
/// Strain over which the chance to miss the target rises to certainty.
const STRAIN_SPREAD: f64 = 0.3;
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
    /// Filling tasks by image.
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
            *self.load.entry(Arc::clone(&run.image)).or_insert(0.0) += 1.0;
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

    /// How many of its serving tasks are expected to miss their target beside another filling
    /// task of an image.
    pub fn harm(&self, table: &PressTable, image: &Arc<str>) -> f64 {
        let mut load = self.load.clone();
        *load.entry(Arc::clone(image)).or_insert(0.0) += 1.0;
        let harmed = self.serving_images.iter().map(|(served, count)| {
            let own = self.outlook.own_strain(table, served);
            // A tail that is over its target may be due to a pair that is thought light.
            if own < strain_limit() && table.weight(served, image) < WEIGHT_LIGHT {
                return 0.0;
            }
            let over = own + table.added(served, &load) - strain_limit() * BORNE_PART;
            let chance = (over / STRAIN_SPREAD).clamp(0.0, 1.0);
            chance * f64::from(*count)
        });
        harmed.sum()
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
