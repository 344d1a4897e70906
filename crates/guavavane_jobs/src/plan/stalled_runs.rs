//! Decides when moving a stalled best-effort run saves more than it costs.
//!
//! Load: latency-critical jobs swing in waves of 11 to 15 s. A best-effort run beside them stalls for
//! some seconds and gets its CPU share back afterwards. A move loses the work since the latest
//! checkpoint and the time of a restart. A caller needs the task to end early, wherever it runs.
//!
//! How much longer a stall lasts is unknown. A stall by a wave ends within `WAVE_STALL`; for a longer
//! one, the best guess is as long as it has lasted. A move pays if this is at least twice what it
//! loses, because the next worker may stall the run as well. A new run is thus moved soon, one that
//! has worked for longer only after a stall that no wave explains, and one that is nearly done without
//! a checkpoint after more than its whole run time. Each move of a task doubles the cost of its next
//! one: a task that is moved at each stall may never be done.

use std::time::Duration;

use indexmap::IndexMap;

use crate::identity::RunNumber;
use crate::identity::TaskKey;
use guavavane_model::prelude::BootTime;

/// Time from the stop of a run until the next run of its task works.
const RESTART_COST: Duration = Duration::from_millis(500);
/// Shortest stall after which a run is moved: a shorter one may be due to an imprecise report.
const STALL_MIN: Duration = Duration::from_millis(500);
/// Time within which a stall that a wave of the load has caused ends: somewhat more than a third of a wave.
const WAVE_STALL: Duration = Duration::from_millis(5_000);
/// Multiple of its cost that a move has to save.
const SAVING_FACTOR: u32 = 2;
/// Work that is assumed to be lost with a run that an earlier leader has started.
const UNKNOWN_WORK: Duration = Duration::from_millis(2_000);
/// Longest time between two reports of one stall. Agents report stalled runs every half second, at
/// the next lease renewal.
const REPORT_GAP_MAX: Duration = Duration::from_millis(1_200);
/// Most earlier moves of a task that count.
const MOVES_MAX: u32 = 4;
/// Time after its latest stall for which the moves of a task are remembered.
const MOVE_MEMORY: Duration = Duration::from_secs(30);
/// Time between two searches for tasks to forget.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);

/// Run that an agent reports as stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalledRun {
    /// Identity of the task.
    pub task: TaskKey,
    /// Stalled run.
    pub run: RunNumber,
    /// Time from which on its work would be lost: that of its order or of its latest checkpoint; none
    /// if an earlier leader has ordered it.
    pub unsaved_since: Option<BootTime>,
}

/// Latest stall of a task.
#[derive(Clone, Copy, Debug)]
struct TaskStall {
    run: RunNumber,
    since: BootTime,
    last_seen: BootTime,
    /// Number of runs of the task that were moved.
    moves: u32,
    /// Whether this run is counted in `moves`.
    is_moved: bool,
}

impl TaskStall {
    fn new(run: RunNumber, now: BootTime) -> Self {
        Self {
            run,
            since: now,
            last_seen: now,
            moves: 0,
            is_moved: false,
        }
    }

    /// Records that a run is stalled; the stall is a new one if it was interrupted.
    fn record(&mut self, run: RunNumber, now: BootTime) {
        if self.run != run {
            self.run = run;
            self.since = now;
            self.is_moved = false;
        } else if now.saturating_since(self.last_seen) > REPORT_GAP_MAX {
            self.since = now;
        }
        self.last_seen = now;
    }

    /// Whether the rest of the stall is expected to cost more than a move.
    fn outweighs_move(&self, unsaved_since: Option<BootTime>) -> bool {
        let unsaved_work = unsaved_since.map_or(UNKNOWN_WORK, |unsaved_since| {
            self.since.saturating_since(unsaved_since)
        });
        let move_cost = unsaved_work.saturating_add(RESTART_COST);
        let factor = SAVING_FACTOR << self.moves.min(MOVES_MAX);
        let duration = self.last_seen.saturating_since(self.since);
        let remaining = if duration < WAVE_STALL {
            WAVE_STALL - duration
        } else {
            duration
        };
        duration >= STALL_MIN && remaining >= move_cost.saturating_mul(factor)
    }
}

/// Stalled runs of all workers.
#[derive(Clone, Debug, Default)]
pub struct StallTracker {
    stalls: IndexMap<TaskKey, TaskStall>,
    pruned_at: BootTime,
}

impl StallTracker {
    /// Records that a run is stalled; returns whether a move pays.
    pub fn record(&mut self, now: BootTime, stalled: StalledRun) -> bool {
        self.prune(now);
        let stall = self
            .stalls
            .entry(stalled.task)
            .or_insert_with(|| TaskStall::new(stalled.run, now));
        stall.record(stalled.run, now);
        // A stop may be lost, so it is sent again as long as the run is reported.
        stall.is_moved || stall.outweighs_move(stalled.unsaved_since)
    }

    /// Records that the latest stalled run of a task is stopped to be moved; returns whether it was
    /// not recorded before, and how long it had stalled.
    pub fn record_move(&mut self, task: TaskKey) -> Option<Duration> {
        let stall = self.stalls.get_mut(&task)?;
        if std::mem::replace(&mut stall.is_moved, true) {
            return None;
        }
        stall.moves += 1;
        Some(stall.last_seen.saturating_since(stall.since))
    }

    /// Forgets the tasks that have not stalled for long.
    fn prune(&mut self, now: BootTime) {
        if now.saturating_since(self.pruned_at) < PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        self.stalls
            .retain(|_, stall| now.saturating_since(stall.last_seen) < MOVE_MEMORY);
    }
}
