//! Filling tasks that slow down serving ones on the same worker.
//!
//! At each report the strain of the serving tasks' own load is what is seen less what the
//! filling tasks are known to add. The room up to the limit goes to the filling images, those
//! that press least first. Where a tail passes its target all the same, what presses is
//! halved at once. The leader moves tasks that nearly stand still.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::press::strain;
use super::press::strain_limit;
use super::press::FillingLoad;
use super::press::PressTable;
use super::press::StrainChange;
use crate::identity::RunNumber;
use crate::identity::TaskKey;
use guavavane_model::prelude::BootTime;

/// Part of the limit that is given to filling tasks.
const AIMED_PART: f64 = 0.9;
/// Weight below which a pair does not matter.
const WEIGHT_LEAST: f64 = 0.02;
/// Pace below which a task stands still, in percent.
const PACE_LEAST: u32 = 10;
/// Pace from which a task is let go fully, in percent.
const PACE_MOST: u32 = 90;
/// Change of a pace that is worth an order, in percent.
const PACE_CHANGE: u32 = 15;
/// Pace of a task that nobody slows down, in percent.
const PACE_FULL: u32 = 100;
/// Pace up to which a task is better off on another worker, in percent.
const PACE_STALLED: u32 = 30;
/// Time that the worker's figures cover, with the time until a pace is in force.
const SETTLE_TIME: Duration = Duration::from_millis(650);
/// Longest time between two settled reports that are compared.
const COMPARE_TIME: Duration = Duration::from_millis(2_500);

/// A task on the worker, as the worker reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceRole {
    /// Serves, with its tail latency and its target.
    Serving {
        /// Tail latency over the last half second.
        tail_ms: u64,
        /// What it must stay below.
        target_ms: u64,
    },
    /// Uses what others leave.
    Filling,
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

/// Strain of the serving tasks of one image: the mean and the highest.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ImageStrain {
    sum: f64,
    count: u32,
    worst: f64,
}

impl ImageStrain {
    fn mean(&self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }
}

type StrainMap = IndexMap<Arc<str>, ImageStrain>;

/// Pace of the filling tasks on one worker.
#[derive(Clone, Debug, Default)]
pub struct PaceControl {
    table: PressTable,
    /// Pace of each image that is slowed down, in percent.
    paces: IndexMap<Arc<str>, u32>,
    /// Pace that was carried out for each run.
    ordered: IndexMap<(TaskKey, RunNumber), u32>,
    load: FillingLoad,
    changed_at: BootTime,
    /// Load over the time that the latest figures cover.
    felt_load: FillingLoad,
    observed_at: BootTime,
    /// Latest settled report.
    settled: Option<(BootTime, FillingLoad, StrainMap)>,
    strains: StrainMap,
    /// How long a serving task may be over its target before filling tasks are slowed down.
    patience: Duration,
    /// Since when serving tasks are over their targets.
    over_since: IndexMap<(TaskKey, RunNumber), BootTime>,
    /// Since when filling tasks are slowed down.
    guarding_since: Option<BootTime>,
}

impl PaceControl {
    /// A control that lets a serving task be over its target for this time.
    pub fn new(patience: Duration) -> Self {
        Self {
            patience,
            ..Self::default()
        }
    }

    /// Paces of the images that are slowed down, in percent.
    pub fn paces(&self) -> &IndexMap<Arc<str>, u32> {
        &self.paces
    }

    /// Highest strain of each serving image, with the filling tasks that it was felt beside.
    pub fn worst_strains(&self) -> (Vec<(Arc<str>, f64)>, FillingLoad) {
        let strains = self.strains.iter();
        let strains = strains.map(|(image, strain)| (Arc::clone(image), strain.worst));
        (strains.collect(), self.felt_load.clone())
    }

    /// Takes a fresh report; returns the runs whose pace has to change, and what the change
    /// of filling tasks before it has shown.
    pub fn observe(
        &mut self,
        now: BootTime,
        tasks: &[PacedTask],
    ) -> (Vec<PaceOrder>, Vec<StrainChange>) {
        let load = self.current_load(tasks);
        self.feel(now, &load);
        if load != self.load {
            self.load = load;
            self.changed_at = now;
        }
        self.strains = strains(tasks);
        let changes = self.settled_changes(now);
        changes.iter().for_each(|change| self.table.learn(change));
        self.watch(now, tasks);
        self.paces = match self.guarding_since {
            None => IndexMap::new(),
            // What is known of the pairs does not explain it.
            Some(since) if now.saturating_since(since) >= SETTLE_TIME => stopped(tasks),
            Some(_) => self.allocate(tasks),
        };
        (self.orders(tasks), changes)
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

    fn current_load(&self, tasks: &[PacedTask]) -> FillingLoad {
        let mut load = FillingLoad::new();
        for task in tasks.iter().filter(|task| task.role == PaceRole::Filling) {
            let known = self.ordered.get(&(task.task, task.run));
            let pace = known.copied().unwrap_or(PACE_FULL);
            let part = f64::from(pace) / f64::from(PACE_FULL);
            *load.entry(Arc::clone(&task.image)).or_insert(0.0) += part;
        }
        load
    }

    /// Follows the load as the worker's figures do, which cover a while.
    fn feel(&mut self, now: BootTime, load: &FillingLoad) {
        let passed = now.saturating_since(self.observed_at);
        self.observed_at = now;
        let part = (passed.as_secs_f64() / SETTLE_TIME.as_secs_f64()).min(1.0);
        for (image, felt) in &mut self.felt_load {
            let current = load.get(image).copied().unwrap_or(0.0);
            *felt += (current - *felt) * part;
        }
        for (image, current) in load {
            self.felt_load
                .entry(Arc::clone(image))
                .or_insert(current * part);
        }
        self.felt_load.retain(|_, felt| *felt > 0.01);
    }

    /// Compares this report with the latest settled one, if it is settled itself.
    fn settled_changes(&mut self, now: BootTime) -> Vec<StrainChange> {
        if now.saturating_since(self.changed_at) < SETTLE_TIME {
            return Vec::new();
        }
        let current = (now, self.load.clone(), self.strains.clone());
        let Some((at, load, strains)) = self.settled.replace(current) else {
            return Vec::new();
        };
        if load == self.load || now.saturating_since(at) > COMPARE_TIME {
            return Vec::new();
        }
        let changes = load_difference(&load, &self.load);
        let common = self.strains.iter().filter_map(|(image, after)| {
            let before = strains
                .get(image)
                .filter(|before| before.count == after.count)?;
            Some(StrainChange {
                serving: Arc::clone(image),
                before: before.mean(),
                after: after.mean(),
                changes: changes.clone(),
            })
        });
        common.collect()
    }

    /// Begins to guard the serving tasks when one has been over its target for too long, and
    /// ends when none is over any more.
    fn watch(&mut self, now: BootTime, tasks: &[PacedTask]) {
        let mut over_since = IndexMap::new();
        for task in tasks {
            let PaceRole::Serving { tail_ms, target_ms } = task.role else {
                continue;
            };
            if strain(tail_ms, target_ms) >= strain_limit() {
                let key = (task.task, task.run);
                let since = self.over_since.get(&key).copied().unwrap_or(now);
                over_since.insert(key, since);
            }
        }
        self.over_since = over_since;
        let longest = self.over_since.values().min().copied();
        let too_long = longest.is_some_and(|since| now.saturating_since(since) >= self.patience);
        if self.over_since.is_empty() {
            self.guarding_since = None;
        } else if too_long && self.guarding_since.is_none() {
            self.guarding_since = Some(now);
        }
    }

    /// Gives the room below the limit to the filling images, those that press least first.
    fn allocate(&self, tasks: &[PacedTask]) -> IndexMap<Arc<str>, u32> {
        let limit = strain_limit();
        let over = self.strains.values().any(|strain| strain.worst >= limit);
        let mut room: IndexMap<Arc<str>, f64> = IndexMap::new();
        for (image, strain) in &self.strains {
            let own = strain.worst - self.table.added(image, &self.felt_load);
            let left = limit * AIMED_PART - own.max(0.0);
            room.insert(Arc::clone(image), left.max(0.0));
        }
        let mut paces = IndexMap::new();
        for (image, heaviest, count) in self.filling_images(tasks) {
            let borne = room.iter().map(|(served, left)| {
                let weight = self.table.weight(served, &image);
                if weight < WEIGHT_LEAST {
                    1.0
                } else {
                    left / (weight * count)
                }
            });
            let share = borne.fold(1.0, f64::min);
            let pace = if over && heaviest >= WEIGHT_LEAST {
                0
            } else {
                (share * f64::from(PACE_FULL)) as u32
            };
            let pace = self.rounded(&image, pace);
            for (served, left) in &mut room {
                let part = f64::from(pace) / f64::from(PACE_FULL);
                *left = (*left - self.table.weight(served, &image) * count * part).max(0.0);
            }
            if pace < PACE_FULL {
                paces.insert(image, pace);
            }
        }
        paces
    }

    /// Filling images with their heaviest weight here and their number, lightest first.
    fn filling_images(&self, tasks: &[PacedTask]) -> Vec<(Arc<str>, f64, f64)> {
        let mut counts: IndexMap<Arc<str>, f64> = IndexMap::new();
        for task in tasks.iter().filter(|task| task.role == PaceRole::Filling) {
            *counts.entry(Arc::clone(&task.image)).or_insert(0.0) += 1.0;
        }
        let weighed = counts.into_iter().map(|(image, count)| {
            let weights = self
                .strains
                .keys()
                .map(|served| self.table.weight(served, &image));
            let heaviest = weights.fold(0.0, f64::max);
            (image, heaviest, count)
        });
        let mut images: Vec<(Arc<str>, f64, f64)> = weighed.collect();
        images.sort_by(|a, b| a.1.total_cmp(&b.1));
        images
    }

    /// Avoids orders that change little.
    fn rounded(&self, image: &Arc<str>, pace: u32) -> u32 {
        if pace < PACE_LEAST {
            return 0;
        }
        if pace >= PACE_MOST {
            return PACE_FULL;
        }
        let current = self.paces.get(image).copied().unwrap_or(PACE_FULL);
        if current > 0 && current.abs_diff(pace) < PACE_CHANGE {
            current
        } else {
            pace
        }
    }

    fn orders(&mut self, tasks: &[PacedTask]) -> Vec<PaceOrder> {
        let mut orders = Vec::new();
        let mut ordered = IndexMap::new();
        for task in tasks.iter().filter(|task| task.role == PaceRole::Filling) {
            let key = (task.task, task.run);
            let known = self.ordered.get(&key).copied().unwrap_or(PACE_FULL);
            let wanted = self.paces.get(&task.image).copied().unwrap_or(PACE_FULL);
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

fn strains(tasks: &[PacedTask]) -> StrainMap {
    let mut strains = StrainMap::new();
    for task in tasks {
        if let PaceRole::Serving { tail_ms, target_ms } = task.role {
            let seen = strain(tail_ms, target_ms);
            let image = strains.entry(Arc::clone(&task.image)).or_default();
            image.sum += seen;
            image.count += 1;
            image.worst = image.worst.max(seen);
        }
    }
    strains
}

/// All filling images, standing still.
fn stopped(tasks: &[PacedTask]) -> IndexMap<Arc<str>, u32> {
    let filling = tasks.iter().filter(|task| task.role == PaceRole::Filling);
    filling.map(|task| (Arc::clone(&task.image), 0)).collect()
}

fn load_difference(before: &FillingLoad, after: &FillingLoad) -> FillingLoad {
    let mut difference = after.clone();
    for (image, tasks) in before {
        *difference.entry(Arc::clone(image)).or_insert(0.0) -= tasks;
    }
    difference.retain(|_, tasks| tasks.abs() > 0.01);
    difference
}
