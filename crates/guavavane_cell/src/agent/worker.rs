//! The worker that an agent speaks for.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::port::RunRow;
use guavavane_jobs::plan::pace::PaceControl;
use guavavane_jobs::plan::pace::PaceOrder;
use guavavane_jobs::plan::pace::PaceRole;
use guavavane_jobs::plan::pace::PacedTask;
use guavavane_jobs::prelude::RunEnd;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerFacts;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootTime;

/// What the agent knows of a run besides what the worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RunTraits {
    pub(super) latency_target_ms: Option<u64>,
    pub(super) filling: bool,
    pub(super) image: Arc<str>,
    pub(super) cpu_millis: u64,
    pub(super) urgency: u64,
}

/// One incarnation of the worker.
#[derive(Debug)]
pub(super) struct LocalWorker {
    pub(super) key: WorkerKey,
    pub(super) facts: WorkerFacts,
    pub(super) draining: bool,
    /// Whether it left the latest hold unanswered.
    pub(super) silent: bool,
    pub(super) sequence: u64,
    /// Highest end that the leader has noted.
    pub(super) noted_end: u64,
    /// Highest end that was passed to the leader in this session.
    pub(super) passed_end: u64,
    /// Ends that are not noted.
    pub(super) ends: Vec<RunEnd>,
    pub(super) running: Vec<RunRow>,
    /// Whether `running` and `ends` come from the worker.
    pub(super) listed: bool,
    pub(super) traits: IndexMap<(TaskKey, RunNumber), RunTraits>,
    pub(super) saved: IndexMap<TaskKey, Arc<str>>,
    pub(super) pace: PaceControl,
}

impl LocalWorker {
    pub(super) fn new(key: WorkerKey, facts: WorkerFacts, patience: Duration) -> Self {
        Self {
            key,
            facts,
            draining: false,
            silent: false,
            sequence: 0,
            noted_end: 0,
            passed_end: 0,
            ends: Vec::new(),
            running: Vec::new(),
            listed: false,
            traits: IndexMap::new(),
            saved: IndexMap::new(),
            pace: PaceControl::new(patience),
        }
    }

    pub(super) fn is_running(&self, task: TaskKey, run: RunNumber) -> bool {
        self.running
            .iter()
            .any(|row| row.task == task && row.run == run)
    }

    pub(super) fn has_ended(&self, task: TaskKey, run: RunNumber) -> bool {
        self.ends
            .iter()
            .any(|end| end.task == task && end.run == run)
    }

    /// Takes a fresh list and returns the ends that are new.
    pub(super) fn take_lists(&mut self, running: Vec<RunRow>, ends: Vec<RunEnd>) -> Vec<RunEnd> {
        self.running = running;
        let noted = self.noted_end;
        self.ends = ends.into_iter().filter(|end| end.number > noted).collect();
        self.listed = true;
        let passed = self.passed_end;
        let fresh: Vec<RunEnd> = self
            .ends
            .iter()
            .filter(|end| end.number > passed)
            .cloned()
            .collect();
        self.passed_end = fresh.last().map_or(passed, |end| end.number);
        let running = &self.running;
        let is_there = |key: &(TaskKey, RunNumber)| {
            running
                .iter()
                .any(|row| row.task == key.0 && row.run == key.1)
        };
        if self.traits.len() > 2 * running.len() + 16 {
            self.traits.retain(|key, _| is_there(key));
        }
        fresh
    }

    /// Progress that changed since the last call.
    pub(super) fn fresh_progress(&mut self) -> Vec<(TaskKey, Arc<str>)> {
        let mut fresh = Vec::new();
        let mut current = IndexMap::new();
        for row in self.running.iter().filter(|row| !row.saved.is_empty()) {
            if self.saved.get(&row.task) != Some(&row.saved) {
                fresh.push((row.task, Arc::clone(&row.saved)));
            }
            current.insert(row.task, Arc::clone(&row.saved));
        }
        self.saved = current;
        fresh
    }

    /// Pace orders that the latest list calls for.
    pub(super) fn pace_orders(&mut self, now: BootTime) -> Vec<PaceOrder> {
        let tasks: Vec<PacedTask> = self.running.iter().map(|row| self.paced(row)).collect();
        let before = self.pace.slowed();
        let orders = self.pace.observe(now, &tasks);
        let slowed = self.pace.slowed();
        if before != slowed {
            let tails = tasks.iter().filter_map(|task| match task.role {
                PaceRole::Serving { tail_ms, .. } => Some(tail_ms),
                _ => None,
            });
            let worst_ms = tails.max().unwrap_or(0);
            let (runs, percent) = slowed;
            tracing::info!(event = "pace_changed", worker = %self.key, runs, percent, worst_ms);
        }
        orders
    }

    /// Pace at which a run has to begin, if not at full speed.
    pub(super) fn begin_pace(&mut self, task: TaskKey, run: RunNumber) -> Option<PaceOrder> {
        let row = RunRow {
            task,
            run,
            saved: Arc::from(""),
            percent: 0,
            figure: 0,
        };
        let paced = self.paced(&row);
        self.pace.begin(&paced)
    }

    /// Filling tasks that nearly stand still.
    pub(super) fn stalled_runs(&self) -> Vec<(TaskKey, RunNumber)> {
        let runs = self.running.iter().map(|row| (row.task, row.run));
        runs.filter(|(task, run)| self.pace.is_stalled(*task, *run))
            .collect()
    }

    fn paced(&self, row: &RunRow) -> PacedTask {
        let traits = self.traits.get(&(row.task, row.run));
        let role = match traits {
            Some(RunTraits {
                latency_target_ms: Some(target_ms),
                ..
            }) => PaceRole::Serving {
                tail_ms: row.figure,
                target_ms: *target_ms,
            },
            Some(RunTraits {
                filling: true,
                cpu_millis,
                urgency,
                ..
            }) => PaceRole::Filling {
                used: self.share(row.figure),
                wanted: self.share(*cpu_millis),
                urgency: *urgency,
            },
            _ => PaceRole::Other,
        };
        PacedTask {
            task: row.task,
            run: row.run,
            image: traits.map_or_else(|| Arc::from(""), |traits| Arc::clone(&traits.image)),
            role,
        }
    }

    /// Share of the worker's processor.
    fn share(&self, cpu_millis: u64) -> f64 {
        cpu_millis as f64 / self.facts.capacity.cpu_millis.max(1) as f64
    }
}
