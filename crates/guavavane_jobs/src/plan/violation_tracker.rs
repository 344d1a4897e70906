//! Tracks how long the targets of latency-critical runs are violated.
//!
//! A violation ends once the tail latency has stayed below the target for as long as it is averaged.
//! A shorter recovery neither ends it nor starts its time anew.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::identity::RunNumber;
use crate::identity::TaskKey;
use guavavane_model::prelude::BootTime;

/// Time for which a tail latency has to stay below its target to end a violation. A tail latency
/// covers the last half second, and a single one may be too low.
const VIOLATION_RECOVERY: Duration = Duration::from_millis(500);

/// Time for which a target is violated; it may be interrupted by less than
/// [`VIOLATION_RECOVERY`].
#[derive(Clone, Copy, Debug)]
struct TargetViolation {
    /// First report of the violation.
    since: BootTime,
    /// Latest report that shows the target violated.
    last_seen: BootTime,
}

impl TargetViolation {
    fn duration(&self) -> Duration {
        self.last_seen.saturating_since(self.since)
    }
}

/// Violations of the targets on one worker.
#[derive(Clone, Debug, Default)]
pub struct ViolationTracker {
    /// How long a target may be violated before all best-effort tasks are paused.
    timeout: Duration,
    /// Runs that this process has started or has seen in a report.
    known_runs: IndexSet<(TaskKey, RunNumber)>,
    /// Current violation of each latency-critical run.
    violations: IndexMap<(TaskKey, RunNumber), TargetViolation>,
}

impl ViolationTracker {
    /// Creates a tracker for violations that may last for this time.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            ..Self::default()
        }
    }

    /// Records that this process starts a run.
    pub fn record_start(&mut self, run_key: (TaskKey, RunNumber)) {
        self.known_runs.insert(run_key);
    }

    /// Forgets all runs for which `keep` returns false.
    pub fn retain_runs(&mut self, mut keep: impl FnMut(TaskKey, RunNumber) -> bool) {
        self.known_runs.retain(|(task, run)| keep(*task, *run));
    }

    /// Records whether the target of each latency-critical run is violated; returns whether a
    /// violation that has not ended has lasted for the timeout.
    pub fn update(
        &mut self,
        now: BootTime,
        runs: impl Iterator<Item = ((TaskKey, RunNumber), bool)>,
    ) -> bool {
        let mut current = IndexMap::new();
        for (run_key, is_violated) in runs {
            let previous = self.violations.get(&run_key).copied();
            let is_found = self.known_runs.insert(run_key);
            // A run that another process has started may have been over its target for long.
            let earliest = if is_found {
                time_before(now, self.timeout)
            } else {
                now
            };
            let since = previous.map_or(earliest, |violation| violation.since);
            if is_violated {
                let last_seen = now;
                current.insert(run_key, TargetViolation { since, last_seen });
            } else if let Some(violation) = previous {
                if now.saturating_since(violation.last_seen) < VIOLATION_RECOVERY {
                    current.insert(run_key, violation);
                }
            }
        }
        self.violations = current;
        let longest = self.violations.values().map(TargetViolation::duration);
        longest.max().is_some_and(|longest| longest >= self.timeout)
    }
}

/// Time that lies `duration` before this one, or the time of the boot.
fn time_before(time: BootTime, duration: Duration) -> BootTime {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    BootTime::from_micros(time.as_micros().saturating_sub(micros))
}
