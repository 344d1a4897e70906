//! Filling tasks that slow down serving ones on the same worker.
//!
//! At each report the own load of a serving task is its strain less what the filling tasks
//! are known to add. What is left up to the target is given to the filling tasks one by one,
//! those that press on nobody first and then the most urgent; the others wait, since sharing
//! it would make all of them late. If a serving task stays over its target all the same, all
//! filling tasks stand still until it is not. The leader moves tasks that nearly stand still,
//! and learns from all workers what presses on what.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::press::strain;
use super::press::strain_limit;
use super::press::strain_stretch;
use super::press::FillingLoad;
use super::press::KnownPair;
use super::press::PressTable;
use super::press::StrainSample;
use crate::identity::RunNumber;
use crate::identity::TaskKey;
use guavavane_model::prelude::BootTime;

/// Strain below the limit that is kept free: own loads rise by as much between two reports.
const STRAIN_MARGIN: f64 = 0.07;
/// Strain below the limit from which a task counts as over its target: figures are rough.
const OVER_MARGIN: f64 = 0.02;
/// Part of the room that filling tasks get while a serving task is over its target.
const OVER_PART: f64 = 0.5;
/// Stretch for a whole processor below which a pair does not matter.
const WEIGHT_LEAST: f64 = 0.6;
/// Pace below which a task stands still, in percent.
const PACE_LEAST: u32 = 5;
/// Pace from which a task is let go fully, in percent.
const PACE_MOST: u32 = 95;
/// Rise of a pace that is worth an order, in percent; falls are ordered at once.
const PACE_RISE: u32 = 8;
/// Pace of a task that nobody slows down, in percent.
const PACE_FULL: u32 = 100;
/// Pace up to which a task is better off on another worker, in percent.
const PACE_STALLED: u32 = 25;
/// Time in which tail latencies follow a load: figures cover half a second, and queues empty
/// slowly.
const FOLLOW_TIME: Duration = Duration::from_millis(500);
/// Share of the processor that is too small to matter.
const SHARE_LEAST: f64 = 0.001;

/// A task on the worker, as the worker reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct PacedTask {
    /// The task.
    pub task: TaskKey,
    /// Its run.
    pub run: RunNumber,
    /// What it runs.
    pub image: Arc<str>,
    /// What it is to the others.
    pub role: PaceRole,
}

/// What a task is to the others on its worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PaceRole {
    /// Serves, with its tail latency and its target.
    Serving {
        /// Tail latency over the last half second.
        tail_ms: u64,
        /// What it must stay below.
        target_ms: u64,
    },
    /// Uses what others leave.
    Filling {
        /// Share of the worker's processor that it used over the last half second.
        used: f64,
        /// Share that it could use.
        wanted: f64,
        /// Those with less go first.
        urgency: u64,
    },
    /// Neither.
    Other,
}

/// An order to let a run work at a share, in percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceOrder {
    /// The task.
    pub task: TaskKey,
    /// Its run.
    pub run: RunNumber,
    /// The share.
    pub percent: u32,
}

/// What a report says of serving tasks and of the load beside which they serve.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StrainReport {
    /// Serving tasks.
    pub samples: Vec<StrainSample>,
    /// Shares of the processor that filling tasks used.
    pub load: FillingLoad,
}

type PaceMap = IndexMap<(TaskKey, RunNumber), u32>;

/// Pace of the filling tasks on one worker.
#[derive(Clone, Debug, Default)]
pub struct PaceControl {
    table: PressTable,
    /// Pace of each run that is slowed down, in percent.
    paces: PaceMap,
    /// Pace that was carried out for each run.
    ordered: PaceMap,
    report: StrainReport,
    /// Stretch that serving images still bear; below 0 where all filling tasks stand still.
    left: IndexMap<Arc<str>, f64>,
    observed_at: BootTime,
    /// How long a serving task may be over its target before all filling tasks stand still.
    patience: Duration,
    /// Since when serving tasks are over their targets.
    over_since: IndexMap<(TaskKey, RunNumber), BootTime>,
}

impl PaceControl {
    /// A control that lets a serving task be over its target for this time.
    pub fn new(patience: Duration) -> Self {
        Self {
            patience,
            ..Self::default()
        }
    }

    /// Number of runs that are slowed down, and the sum of their paces in percent.
    pub fn slowed(&self) -> (usize, u32) {
        (self.paces.len(), self.paces.values().sum())
    }

    /// What the latest report says of serving tasks.
    pub fn strain_report(&self) -> &StrainReport {
        &self.report
    }

    /// Takes what the leader has learned from all workers.
    pub fn adopt(&mut self, pairs: Vec<KnownPair>) {
        self.table.adopt(pairs);
    }

    /// What the leader has learned and this worker was told.
    pub fn known_pairs(&self) -> Vec<KnownPair> {
        self.table.all_pairs()
    }

    /// Takes a fresh report; returns the runs whose pace has to change.
    pub fn observe(&mut self, now: BootTime, tasks: &[PacedTask]) -> Vec<PaceOrder> {
        let load = std::mem::take(&mut self.report.load);
        self.report = strain_report(tasks);
        self.report.load = followed(load, &self.report.load, now, self.observed_at);
        self.observed_at = now;
        self.left = self.room();
        if self.is_over_for_long(now, tasks) {
            self.left
                .values_mut()
                .for_each(|left| *left = f64::NEG_INFINITY);
        }
        self.allocate(tasks);
        self.orders(tasks)
    }

    /// Takes a filling task that has just started; returns its pace, if it is slowed down.
    pub fn begin(&mut self, task: &PacedTask) -> Option<PaceOrder> {
        let PaceRole::Filling { wanted, .. } = task.role else {
            return None;
        };
        let pace = self.take_room(task, wanted);
        let order = PaceOrder {
            task: task.task,
            run: task.run,
            percent: pace,
        };
        (pace < PACE_FULL).then_some(order)
    }

    /// Whether a run nearly stands still.
    pub fn is_stalled(&self, task: TaskKey, run: RunNumber) -> bool {
        let pace = self.ordered.get(&(task, run));
        pace.is_some_and(|pace| *pace <= PACE_STALLED)
    }

    /// Notes that a worker has carried out an order.
    pub fn note_ordered(&mut self, order: PaceOrder) {
        self.ordered.insert((order.task, order.run), order.percent);
    }

    /// Whether a serving task has been over its target for longer than it may.
    fn is_over_for_long(&mut self, now: BootTime, tasks: &[PacedTask]) -> bool {
        let mut over_since = IndexMap::new();
        for task in tasks {
            let PaceRole::Serving { tail_ms, target_ms } = task.role else {
                continue;
            };
            if strain(tail_ms, target_ms) >= strain_limit() - OVER_MARGIN {
                let key = (task.task, task.run);
                let since = self.over_since.get(&key).copied().unwrap_or(now);
                over_since.insert(key, since);
            }
        }
        self.over_since = over_since;
        let longest = self.over_since.values().min().copied();
        longest.is_some_and(|since| now.saturating_since(since) >= self.patience)
    }

    /// Stretch that each serving image still bears.
    fn room(&self) -> IndexMap<Arc<str>, f64> {
        let mut room: IndexMap<Arc<str>, f64> = IndexMap::new();
        for sample in &self.report.samples {
            let own = sample.strain - self.table.added(&sample.serving, &self.report.load);
            let mut left = strain_limit() - STRAIN_MARGIN - own.max(0.0);
            if sample.strain >= strain_limit() {
                left *= OVER_PART;
            }
            let left = strain_stretch(left);
            let least = room.entry(Arc::clone(&sample.serving)).or_insert(left);
            *least = least.min(left);
        }
        room
    }

    /// Gives the room to the filling tasks.
    fn allocate(&mut self, tasks: &[PacedTask]) {
        let before = std::mem::take(&mut self.paces);
        for (task, wanted) in self.in_order(tasks) {
            let pace = self.take_room(task, wanted);
            let key = (task.task, task.run);
            let current = before.get(&key).copied().unwrap_or(PACE_FULL);
            let small = pace > current && pace - current < PACE_RISE && pace < PACE_FULL;
            let pace = if small { current } else { pace };
            if pace < PACE_FULL {
                self.paces.insert(key, pace);
            }
        }
    }

    /// Takes room for one filling task; returns its pace.
    fn take_room(&mut self, task: &PacedTask, wanted: f64) -> u32 {
        let wanted = wanted.max(f64::MIN_POSITIVE);
        let mut share: f64 = 1.0;
        for (served, left) in &self.left {
            let weight = self.table.weight(served, &task.image);
            if weight >= WEIGHT_LEAST {
                share = share.min(left / (weight * wanted));
            } else if *left == f64::NEG_INFINITY {
                share = 0.0;
            }
        }
        let pace = whole_pace(share);
        let used = wanted * f64::from(pace) / f64::from(PACE_FULL);
        for (served, left) in &mut self.left {
            *left -= self.table.weight(served, &task.image) * used;
        }
        pace
    }

    /// Filling tasks with the shares that they want: first those that press on nobody, then the
    /// most urgent.
    fn in_order<'tasks>(&self, tasks: &'tasks [PacedTask]) -> Vec<(&'tasks PacedTask, f64)> {
        let presses = |image: &Arc<str>| {
            let served = self.left.keys();
            let weights = served.map(|served| self.table.weight(served, image));
            weights.fold(0.0, f64::max) >= WEIGHT_LEAST
        };
        let filling = filling_tasks(tasks).map(|task| {
            let (wanted, urgency) = match task.role {
                PaceRole::Filling {
                    wanted, urgency, ..
                } => (wanted, urgency),
                _ => (0.0, u64::MAX),
            };
            let rank = (presses(&task.image), urgency, task.task);
            (rank, task, wanted)
        });
        let mut ranked: Vec<_> = filling.collect();
        ranked.sort_by_key(|(rank, _, _)| *rank);
        let ranked = ranked.into_iter().map(|(_, task, wanted)| (task, wanted));
        ranked.collect()
    }

    fn orders(&mut self, tasks: &[PacedTask]) -> Vec<PaceOrder> {
        let mut orders = Vec::new();
        let mut ordered = PaceMap::new();
        for task in filling_tasks(tasks) {
            let key = (task.task, task.run);
            let known = self.ordered.get(&key).copied().unwrap_or(PACE_FULL);
            let wanted = self.paces.get(&key).copied().unwrap_or(PACE_FULL);
            if known != wanted {
                orders.push(PaceOrder {
                    task: task.task,
                    run: task.run,
                    percent: wanted,
                });
            }
            ordered.insert(key, known);
        }
        self.ordered = ordered;
        orders
    }
}

/// Pace in percent for a share of the work that a task could do.
fn whole_pace(share: f64) -> u32 {
    let pace = (share.clamp(0.0, 1.0) * f64::from(PACE_FULL)) as u32;
    match pace {
        0..PACE_LEAST => 0,
        PACE_MOST.. => PACE_FULL,
        pace => pace,
    }
}

fn filling_tasks(tasks: &[PacedTask]) -> impl Iterator<Item = &PacedTask> {
    let filling = |task: &&PacedTask| matches!(task.role, PaceRole::Filling { .. });
    tasks.iter().filter(filling)
}

/// Lets a load follow what is seen as tail latencies do, which go on for a while.
fn followed(load: FillingLoad, seen: &FillingLoad, now: BootTime, since: BootTime) -> FillingLoad {
    let passed = now.saturating_since(since);
    let kept = (-passed.as_secs_f64() / FOLLOW_TIME.as_secs_f64()).exp();
    let mut followed: FillingLoad = load
        .into_iter()
        .map(|(image, share)| (image, share * kept))
        .collect();
    for (image, share) in seen {
        *followed.entry(Arc::clone(image)).or_insert(0.0) += share * (1.0 - kept);
    }
    followed.retain(|_, share| *share > SHARE_LEAST);
    followed
}

fn strain_report(tasks: &[PacedTask]) -> StrainReport {
    let mut report = StrainReport::default();
    for task in tasks {
        match task.role {
            PaceRole::Serving { tail_ms, target_ms } => report.samples.push(StrainSample {
                job: task.task.step.job,
                serving: Arc::clone(&task.image),
                strain: strain(tail_ms, target_ms),
            }),
            PaceRole::Filling { used, .. } => {
                let image = Arc::clone(&task.image);
                *report.load.entry(image).or_insert(0.0) += used;
            }
            PaceRole::Other => {}
        }
    }
    report
}
