//! Orders the runs in progress by the time at which they pass the threshold of their step.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use super::run_times::StepRunTimes;
use crate::identity::RunNumber;
use crate::identity::StepKey;
use crate::identity::TaskKey;
use crate::ledger::allows_copies;
use crate::ledger::JobLedger;
use crate::ledger::TaskPhase;
use guavavane_model::prelude::BootTime;

/// Time after which a run is checked again while its threshold is unknown or its task has two runs.
const UNKNOWN_DELAY: Duration = Duration::from_secs(1);
/// Time after which a due run that got no copy is considered again; shorter than the validity of the
/// tickets that were requested for the copy.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Most runs whose threshold is checked at a time.
const CHECKS_MAX: usize = 2_048;
/// Most due runs that are considered at a time.
const DUE_MAX: usize = 16;

/// Run in the order of the times at which it is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WatchedRun {
    check_at: BootTime,
    task: TaskKey,
    run: RunNumber,
    started_at: BootTime,
}

/// Run that has passed the threshold of its step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverdueRun {
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Time at which the run was ordered, or at which this leader took it over.
    pub started_at: BootTime,
    /// Threshold that the run has passed.
    pub delay: Duration,
}

/// Runs that may need a copy, and the run times by which this is decided. A new leader takes over the
/// runs, which count as started then, and learns the run times anew.
#[derive(Clone, Debug, Default)]
pub struct SpeculationWatch {
    run_times: StepRunTimes,
    runs: BinaryHeap<Reverse<WatchedRun>>,
}

impl SpeculationWatch {
    /// Takes over the runs of a ledger.
    pub fn new(now: BootTime, ledger: &JobLedger) -> Self {
        let mut watch = Self::default();
        for (_, worker) in ledger.workers() {
            for (task, run) in &worker.runs {
                watch.record_start(now, ledger, *task, run.run);
            }
        }
        watch
    }

    /// Records a run time, see [`StepRunTimes::learn`].
    pub fn learn(&mut self, queue: &Arc<str>, step: u16, run_time: Duration, has_succeeded: bool) {
        self.run_times.learn(queue, step, run_time, has_succeeded);
    }

    /// Watches a run that was ordered, if its step allows copies.
    pub fn record_start(
        &mut self,
        now: BootTime,
        ledger: &JobLedger,
        task: TaskKey,
        run: RunNumber,
    ) {
        let spec = ledger.step_spec(task.step);
        if spec.is_some_and(allows_copies) {
            let delay = self.copy_delay(ledger, task.step);
            self.watch(now + delay.unwrap_or(UNKNOWN_DELAY), task, run, now);
        }
    }

    fn watch(&mut self, check_at: BootTime, task: TaskKey, run: RunNumber, started_at: BootTime) {
        self.runs.push(Reverse(WatchedRun {
            check_at,
            task,
            run,
            started_at,
        }));
    }

    fn copy_delay(&self, ledger: &JobLedger, step: StepKey) -> Option<Duration> {
        let queue = &ledger.job(step.job)?.queue;
        self.run_times.copy_delay(queue, step.step)
    }

    /// Whether any run has to be checked.
    pub fn is_due(&self, now: BootTime) -> bool {
        let first = self.runs.peek();
        first.is_some_and(|Reverse(run)| run.check_at <= now)
    }

    /// Takes runs that have passed the threshold and have no copy. Those that have ended are
    /// forgotten, those that have not passed it are checked later.
    pub fn take_overdue(&mut self, now: BootTime, ledger: &JobLedger) -> Vec<OverdueRun> {
        let mut overdue = Vec::new();
        for _ in 0..CHECKS_MAX {
            if overdue.len() == DUE_MAX || !self.is_due(now) {
                break;
            }
            let Some(Reverse(watched)) = self.runs.pop() else {
                break;
            };
            let WatchedRun {
                task,
                run,
                started_at,
                ..
            } = watched;
            match run_standing(ledger, task, run) {
                RunStanding::Over => continue,
                RunStanding::Copied => {
                    self.watch(now + UNKNOWN_DELAY, task, run, started_at);
                    continue;
                }
                RunStanding::Alone => {}
            }
            let elapsed = now.saturating_since(started_at);
            match self.copy_delay(ledger, task.step) {
                // Doubling the time bounds the number of checks of a run.
                None => self.watch(now + elapsed.max(UNKNOWN_DELAY), task, run, started_at),
                Some(delay) if elapsed < delay => {
                    self.watch(started_at + delay, task, run, started_at);
                }
                Some(delay) => overdue.push(OverdueRun {
                    task,
                    run,
                    started_at,
                    delay,
                }),
            }
        }
        overdue
    }

    /// Considers a run again later that got no copy.
    pub fn put_back(&mut self, now: BootTime, overdue: &OverdueRun) {
        let (task, run) = (overdue.task, overdue.run);
        self.watch(now + RETRY_DELAY, task, run, overdue.started_at);
    }
}

/// Whether a run may get a copy.
enum RunStanding {
    /// It is the only run of its task.
    Alone,
    /// Its task has two runs.
    Copied,
    /// It has ended, or its task has too few attempts left.
    Over,
}

fn run_standing(ledger: &JobLedger, task: TaskKey, run: RunNumber) -> RunStanding {
    let copy = ledger.copy_of(task).filter(|copy| copy.worker.is_some());
    let is_first = ledger
        .task(task)
        .is_some_and(|record| record.run == run && matches!(record.phase, TaskPhase::Assigned(_)));
    match copy {
        Some(copy) if is_first || copy.run == run => RunStanding::Copied,
        None if is_first && ledger.may_copy(task) => RunStanding::Alone,
        _ => RunStanding::Over,
    }
}
