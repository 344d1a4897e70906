//! Logs when latency-critical runs miss and meet their targets, when runs lack attributes, and which
//! CPU share orders fail.
//!
//! Only changes are logged: a worker sends several renewal reports a second.

use indexmap::IndexMap;
use indexmap::IndexSet;

use guavavane_jobs::plan::share_tracker::ShareAnswer;
use guavavane_jobs::plan::throttle::ObservedTask;
use guavavane_jobs::plan::throttle::ShareOrder;
use guavavane_jobs::plan::throttle::TaskRole;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootTime;

/// CPU shares of the best-effort runs beside a latency-critical one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ShareSummary {
    /// Number of best-effort runs.
    pub(super) best_effort: usize,
    /// Number of runs that are throttled.
    pub(super) throttled: usize,
    /// Sum of the CPU shares of the throttled runs, in percent.
    pub(super) percent: u32,
}

/// Observations of the latest renewal report of a worker.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetWatch {
    /// Start of the time over its target of each latency-critical run.
    missed_since: IndexMap<(TaskKey, RunNumber), BootTime>,
    /// Number of runs whose attributes the agent lacks.
    unknown_runs: usize,
    /// Runs whose latest CPU share order was refused or not answered.
    failed_shares: IndexSet<(TaskKey, RunNumber)>,
}

impl TargetWatch {
    /// Compares a renewal report with the one before it and logs the changes.
    pub(super) fn observe(
        &mut self,
        now: BootTime,
        worker: &WorkerKey,
        tasks: &[ObservedTask],
        shares: ShareSummary,
    ) {
        let missed_since = std::mem::take(&mut self.missed_since);
        for task in tasks {
            let TaskRole::LatencyCritical { tail_ms, target_ms } = task.role else {
                continue;
            };
            let run_key = (task.task, task.run);
            let since = missed_since.get(&run_key).copied();
            let (task, run) = run_key;
            if tail_ms > target_ms {
                self.missed_since.insert(run_key, since.unwrap_or(now));
            }
            match (since, tail_ms > target_ms) {
                (None, true) => {
                    tracing::info!(event = "target_missed", %worker, %task, %run, tail_ms, target_ms, best_effort = shares.best_effort, throttled = shares.throttled, percent = shares.percent);
                }
                (Some(since), false) => {
                    let lasted_ms = now.saturating_since(since).as_millis() as u64;
                    tracing::info!(event = "target_met", %worker, %task, %run, tail_ms, lasted_ms, throttled = shares.throttled, percent = shares.percent);
                }
                _ => {}
            }
        }
        let is_listed =
            |key: &(TaskKey, RunNumber)| tasks.iter().any(|task| (task.task, task.run) == *key);
        self.failed_shares.retain(is_listed);
    }

    /// Logs an order that failed, once until one for the same run succeeds.
    pub(super) fn observe_share_answer(&mut self, order: ShareOrder, answer: ShareAnswer) {
        let ShareOrder { task, run, percent } = order;
        let applied = answer == ShareAnswer::Applied;
        let has_changed = if applied {
            self.failed_shares.swap_remove(&(task, run))
        } else {
            self.failed_shares.insert((task, run))
        };
        if has_changed {
            tracing::info!(event = "share_order_changed", %task, %run, percent, ?answer);
        }
    }

    /// Records how many listed runs have no attributes and logs a change.
    pub(super) fn observe_unknown_runs(&mut self, worker: &WorkerKey, unknown_runs: usize) {
        if self.unknown_runs != unknown_runs {
            self.unknown_runs = unknown_runs;
            tracing::info!(event = "attributes_missing", %worker, runs = unknown_runs);
        }
    }
}
