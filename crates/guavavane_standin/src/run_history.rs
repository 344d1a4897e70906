//! History of the runs that simulated workers have executed, and its checks.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::TaskKey;

/// Run of a task, as recorded in the history that all workers share.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedRun {
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Index of the worker that executed the run.
    pub worker: usize,
    /// Time at which the run started.
    pub started_at: Instant,
    /// Time at which the run ended; none while the run is active.
    pub ended: Option<Instant>,
    /// Outcome of the run; none while the run is active.
    pub outcome: Option<RunOutcome>,
    /// Whether the lease of the worker expired before the completion was acknowledged: the
    /// completion is void, and the task may run again.
    pub void: bool,
}

/// Runs of all workers, in the order of their starts; clones share the history.
#[derive(Clone, Default)]
pub struct RunHistory(Arc<Mutex<Vec<RecordedRun>>>);

impl RunHistory {
    /// All recorded runs.
    pub fn all(&self) -> Vec<RecordedRun> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RecordedRun>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a run on a worker.
    pub(crate) fn record_start(&self, worker: usize, task: TaskKey, run: RunNumber) {
        self.lock().push(RecordedRun {
            task,
            run,
            worker,
            started_at: Instant::now(),
            ended: None,
            outcome: None,
            void: false,
        });
    }

    /// Records the end of an active run on a worker.
    pub(crate) fn record_end(
        &self,
        worker: usize,
        task: TaskKey,
        run: RunNumber,
        outcome: RunOutcome,
    ) {
        let mut runs = self.lock();
        let is_active = |recorded: &&mut RecordedRun| {
            let is_same = (recorded.worker, recorded.task, recorded.run) == (worker, task, run);
            is_same && recorded.ended.is_none()
        };
        if let Some(recorded) = runs.iter_mut().find(is_active) {
            recorded.ended = Some(Instant::now());
            recorded.outcome = Some(outcome);
        }
    }

    /// Marks the latest execution of a run as void.
    pub(crate) fn void(&self, task: TaskKey, run: RunNumber) {
        let mut runs = self.lock();
        let is_same = |recorded: &&mut RecordedRun| (recorded.task, recorded.run) == (task, run);
        if let Some(recorded) = runs.iter_mut().rev().find(is_same) {
            recorded.void = true;
        }
    }

    /// Panics if two runs of a task overlap, or if one starts after another has succeeded.
    pub fn assert_no_duplicate_runs(&self) {
        if let Some(fault) = self.find_duplicate_run() {
            panic!("{fault}");
        }
    }

    /// Describes two runs of a task that overlap, or one that starts after another has succeeded; a
    /// void success doesn't count.
    pub fn find_duplicate_run(&self) -> Option<String> {
        let runs = self.all();
        for (index, earlier) in runs.iter().enumerate() {
            for later in &runs[index + 1..] {
                if earlier.task != later.task {
                    continue;
                }
                let ended_before = earlier.ended.is_some_and(|ended| ended <= later.started_at);
                let has_succeeded = earlier.outcome == Some(RunOutcome::Done) && !earlier.void;
                if !ended_before || has_succeeded {
                    return Some(format!(
                        "{} runs twice: {earlier:?} {later:?}",
                        earlier.task
                    ));
                }
            }
        }
        None
    }
}
