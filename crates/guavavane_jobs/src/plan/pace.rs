//! Filling tasks that slow down serving ones on the same worker.
//!
//! How much a filling task disturbs a serving one depends on the pair and changes within
//! seconds, so it is not predicted: filling tasks are slowed down as soon as a serving task
//! comes near its latency target and let go in small steps once it is well below.

use indexmap::IndexMap;

use crate::identity::RunNumber;
use crate::identity::TaskKey;

/// Part of the target above which filling tasks are slowed down, in percent.
const NEAR_PERCENT: u64 = 85;
/// Part of the target below which they are let go again, in percent.
const CALM_PERCENT: u64 = 60;
/// Pace below which filling tasks stand still.
const PACE_LEAST: u32 = 15;
/// Step by which filling tasks are let go.
const PACE_STEP: u32 = 15;
/// Pace of a task that nobody slows down.
const PACE_FULL: u32 = 100;

/// A task on the worker, as the worker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacedTask {
    /// The task.
    pub task: TaskKey,
    /// Its run.
    pub run: RunNumber,
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

/// Pace of the filling tasks on one worker.
#[derive(Clone, Debug)]
pub struct PaceControl {
    pace: u32,
    /// Pace that was ordered for each run.
    ordered: IndexMap<(TaskKey, RunNumber), u32>,
}

impl Default for PaceControl {
    fn default() -> Self {
        Self {
            pace: PACE_FULL,
            ordered: IndexMap::new(),
        }
    }
}

impl PaceControl {
    /// Pace of filling tasks, in percent.
    pub fn pace(&self) -> u32 {
        self.pace
    }

    /// Takes a fresh report and returns the tasks whose pace has to change.
    pub fn observe(&mut self, tasks: &[PacedTask]) -> Vec<(TaskKey, RunNumber, u32)> {
        self.pace = next_pace(self.pace, worst_percent(tasks));
        let mut orders = Vec::new();
        let mut ordered = IndexMap::new();
        for task in tasks.iter().filter(|task| task.role == PaceRole::Filling) {
            let key = (task.task, task.run);
            let known = self.ordered.get(&key).copied().unwrap_or(PACE_FULL);
            if known != self.pace {
                orders.push((task.task, task.run, self.pace));
            }
            ordered.insert(key, known);
        }
        self.ordered = ordered;
        orders
    }

    /// Notes that a worker has carried out an order.
    pub fn note_ordered(&mut self, task: TaskKey, run: RunNumber, pace: u32) {
        self.ordered.insert((task, run), pace);
    }
}

/// Highest tail latency in percent of its target.
fn worst_percent(tasks: &[PacedTask]) -> Option<u64> {
    let percents = tasks.iter().filter_map(|task| match task.role {
        PaceRole::Serving { tail_ms, target_ms } => Some(tail_ms * 100 / target_ms.max(1)),
        _ => None,
    });
    percents.max()
}

fn next_pace(pace: u32, worst: Option<u64>) -> u32 {
    let Some(worst) = worst else {
        return PACE_FULL;
    };
    if worst >= 100 {
        return if pace / 3 < PACE_LEAST { 0 } else { pace / 3 };
    }
    if worst >= NEAR_PERCENT {
        return if pace / 2 < PACE_LEAST { 0 } else { pace / 2 };
    }
    if worst < CALM_PERCENT {
        return (pace + PACE_STEP).min(PACE_FULL);
    }
    pace
}
