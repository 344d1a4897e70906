//! Implements first fit and best fit as baselines; neither considers interference.

use indexmap::IndexMap;
use indexmap::IndexSet;

use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;
use guavavane_placement::prelude::*;

/// Policy under trial.
pub(crate) trait Placer {
    fn apply_event(&mut self, now: BootTime, event: PlacementEvent);
    fn run_pass(&mut self, now: BootTime) -> Vec<PlacementDecision>;
}

impl Placer for PlacementCore {
    fn apply_event(&mut self, now: BootTime, event: PlacementEvent) {
        PlacementCore::apply_event(self, now, event);
    }

    fn run_pass(&mut self, now: BootTime) -> Vec<PlacementDecision> {
        PlacementCore::run_pass(self, now, 256)
    }
}

struct PlacedTask {
    record: TaskRecord,
    worker: WorkerName,
    evicting: bool,
}

/// Places waiting tasks in order, on the first worker that fits or on the one with the least free
/// processors; puts replicas of a service on different workers.
pub(crate) struct FitPlacer {
    pub(crate) best_fit: bool,
    pub(crate) workers: IndexMap<WorkerName, WorkerRecord>,
    free: IndexMap<WorkerName, ResourceVector>,
    out: IndexSet<DataCentreName>,
    queue: Vec<TaskRecord>,
    placed: IndexMap<TaskId, PlacedTask>,
    next_number: u64,
}

impl FitPlacer {
    pub(crate) fn new(best_fit: bool) -> Self {
        Self {
            best_fit,
            workers: IndexMap::new(),
            free: IndexMap::new(),
            out: IndexSet::new(),
            queue: Vec::new(),
            placed: IndexMap::new(),
            next_number: 0,
        }
    }

    fn choose(&self, record: &TaskRecord) -> Option<WorkerName> {
        let fits = self.free.iter().filter(|(name, free)| {
            let data_centre = &self.workers[*name].data_centre;
            record.demand.fits_within(free) && !self.out.contains(data_centre)
        });
        let mut fits = fits.filter(|(name, _)| {
            let service = record.class == TaskClass::LatencyCritical;
            let mut placed = self.placed.values();
            !service || !placed.any(|p| p.worker == **name && p.record.kind == record.kind)
        });
        let chosen = match self.best_fit {
            true => fits.min_by_key(|(_, free)| free.cpu_millis),
            false => fits.next(),
        };
        chosen.map(|(name, _)| name.clone())
    }

    fn release(&mut self, release: &TaskRelease) {
        let Some(placed) = self.placed.swap_remove(&release.task) else {
            return;
        };
        let free = self.free[&placed.worker].checked_add(&placed.record.demand);
        self.free[&placed.worker] = free.expect("the trial's workers are small");
        if release.cause == ReleaseCause::Evicted {
            let mut record = placed.record;
            record.attempt = record.attempt.next();
            self.queue.insert(0, record);
        }
    }
}

impl Placer for FitPlacer {
    fn apply_event(&mut self, _now: BootTime, event: PlacementEvent) {
        match event {
            PlacementEvent::WorkerUp(record) => {
                self.free.insert(record.name.clone(), record.capacity);
                self.workers.insert(record.name.clone(), record);
            }
            PlacementEvent::TaskSubmitted(record) => self.queue.push(record),
            PlacementEvent::TaskReleased(release) => self.release(&release),
            PlacementEvent::DataCentreOut(name) => {
                self.out.insert(name);
            }
            PlacementEvent::DataCentreBack(name) => {
                self.out.swap_remove(&name);
            }
            _ => {}
        }
    }

    fn run_pass(&mut self, _now: BootTime) -> Vec<PlacementDecision> {
        let mut decisions = Vec::new();
        for placed in self.placed.values_mut() {
            let data_centre = &self.workers[&placed.worker].data_centre;
            if self.out.contains(data_centre) && !placed.evicting {
                placed.evicting = true;
                decisions.push(PlacementDecision::Evict(EvictDecision {
                    task: placed.record.id,
                    attempt: placed.record.attempt,
                    worker: placed.worker.clone(),
                    cause: EvictionCause::DataCentreOut,
                    checkpoint_limit_ms: 30_000,
                }));
            }
        }
        for record in std::mem::take(&mut self.queue) {
            let Some(worker) = self.choose(&record) else {
                self.queue.push(record);
                continue;
            };
            let free = self.free[&worker].saturating_sub(&record.demand);
            self.free[&worker] = free;
            self.next_number += 1;
            decisions.push(PlacementDecision::Place(PlaceDecision {
                number: DecisionNumber(self.next_number),
                task: record.id,
                attempt: record.attempt,
                worker: worker.clone(),
                reserved: record.demand,
                reason: PlaceReason::FairShare,
                score: ScoreBreakdown::default(),
                alternatives: Vec::new(),
            }));
            let placed = PlacedTask {
                record,
                worker,
                evicting: false,
            };
            self.placed.insert(placed.record.id, placed);
        }
        decisions
    }
}
