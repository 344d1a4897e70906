//! State of the worker that an agent represents.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::refusal::RunRefusals;
use super::target_watch::ShareSummary;
use super::target_watch::TargetWatch;
use crate::metric;
use crate::worker_api::RenewalReport;
use crate::worker_api::RunStatus;
use guavavane_jobs::plan::share_tracker::ShareAnswer;
use guavavane_jobs::plan::throttle::ObservedTask;
use guavavane_jobs::plan::throttle::ShareOrder;
use guavavane_jobs::plan::throttle::TaskRole;
use guavavane_jobs::plan::throttle::ThrottleController;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerFacts;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootTime;

/// Number of unlisted runs whose attributes are kept beside as many as there are listed runs.
const UNLISTED_ATTRIBUTES_MAX: usize = 16;

/// Attributes of a run that the leader's order carries and the worker's list lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RunAttributes {
    /// Tail latency target; only latency-critical tasks have one.
    pub(super) latency_target_ms: Option<u64>,
    pub(super) best_effort: bool,
    pub(super) image: Arc<str>,
    /// CPU demand in thousandths of a core.
    pub(super) cpu_millis: u64,
    /// Rank among best-effort tasks as of the start order: the lowest gets CPU time first, after
    /// the tasks that interfere with no latency-critical task.
    pub(super) rank: u64,
}

/// State of one incarnation of the worker.
#[derive(Debug)]
pub(super) struct LocalWorker {
    pub(super) key: WorkerKey,
    pub(super) facts: WorkerFacts,
    pub(super) draining: bool,
    /// Whether the worker left the latest renewal unanswered.
    pub(super) silent: bool,
    /// Number of the latest heartbeat.
    pub(super) sequence: u64,
    /// Highest completion that the leader has acknowledged.
    pub(super) acknowledged_completion: u64,
    /// Highest completion that the worker has forgotten, as its answers show.
    pub(super) forgotten_completion: u64,
    /// Highest completion that counts as reported to the leader on this session.
    pub(super) reported_completion: u64,
    /// Completions that the leader has not acknowledged.
    pub(super) completions: Vec<RunCompletion>,
    pub(super) running: Vec<RunStatus>,
    /// Whether the latest report may lack rows, so that a run that is in none of its lists may still
    /// be running or may have ended.
    pub(super) omits_rows: bool,
    /// Whether a list has arrived from the worker since it was found or its lease last expired.
    pub(super) has_list: bool,
    /// Attributes of the runs that this process of the agent was ordered to start, now or again after
    /// it reported them. Other runs count as [`TaskRole::Other`].
    pub(super) attributes: IndexMap<(TaskKey, RunNumber), RunAttributes>,
    /// Checkpoints in the latest list.
    pub(super) checkpoints: IndexMap<TaskKey, Arc<str>>,
    /// Whether it follows an earlier incarnation and has not answered yet.
    pub(super) follows_incarnation: bool,
    /// Runs of earlier incarnations that this one has to refuse.
    pub(super) refusals: RunRefusals,
    /// Runs of the latest report to the leader.
    pub(super) reported_runs: IndexSet<(TaskKey, RunNumber)>,
    pub(super) throttle: ThrottleController,
    target_watch: TargetWatch,
}

impl LocalWorker {
    pub(super) fn new(key: WorkerKey, facts: WorkerFacts, violation_timeout: Duration) -> Self {
        Self {
            key,
            facts,
            draining: false,
            silent: false,
            sequence: 0,
            acknowledged_completion: 0,
            forgotten_completion: 0,
            reported_completion: 0,
            completions: Vec::new(),
            running: Vec::new(),
            omits_rows: false,
            has_list: false,
            attributes: IndexMap::new(),
            checkpoints: IndexMap::new(),
            follows_incarnation: false,
            refusals: RunRefusals::default(),
            reported_runs: IndexSet::new(),
            throttle: ThrottleController::new(violation_timeout),
            target_watch: TargetWatch::default(),
        }
    }

    pub(super) fn is_running(&self, task: TaskKey, run: RunNumber) -> bool {
        self.running
            .iter()
            .any(|status| status.task == task && status.run == run)
    }

    /// A listed run that the leader has neither ordered on this incarnation nor been told of.
    pub(super) fn unknown_run(&self) -> Option<(TaskKey, RunNumber)> {
        let mut runs = self.running.iter().map(|status| (status.task, status.run));
        runs.find(|run| {
            !self.attributes.contains_key(run)
                && !self.reported_runs.contains(run)
                && !self.refusals.is_pending(run)
        })
    }

    pub(super) fn has_ended(&self, task: TaskKey, run: RunNumber) -> bool {
        self.completions
            .iter()
            .any(|completion| completion.task == task && completion.run == run)
    }

    /// Highest completion for the worker to forget, 0 for none. The next incarnation numbers its
    /// completions anew, so a number is not repeated without need, and not sent while the worker may
    /// have ended: after an unanswered renewal, the next one only shows which incarnation answers.
    pub(super) fn completion_to_forget(&self) -> u64 {
        let is_forgotten = self.acknowledged_completion <= self.forgotten_completion;
        if is_forgotten || self.silent {
            0
        } else {
            self.acknowledged_completion
        }
    }

    /// Stores the lists of a renewal report and returns the completions that are new in it, which
    /// then count as reported. The next full report repeats those that are not acknowledged.
    pub(super) fn update_lists(&mut self, report: RenewalReport) -> Vec<RunCompletion> {
        self.omits_rows = report.omits_runs || report.omits_completions;
        let acknowledged = self.acknowledged_completion;
        self.completions = report
            .completions
            .into_iter()
            .filter(|completion| completion.number > acknowledged)
            .collect();
        let previous = std::mem::replace(&mut self.running, report.running);
        if report.omits_runs {
            self.keep_unlisted_runs(previous);
        }
        self.has_list = true;
        let reported = self.reported_completion;
        let new_completions: Vec<RunCompletion> = self
            .completions
            .iter()
            .filter(|completion| completion.number > reported)
            .cloned()
            .collect();
        self.reported_completion = new_completions
            .last()
            .map_or(reported, |completion| completion.number);
        new_completions
    }

    /// Forgets the runs that are neither listed nor pending, once there are many.
    pub(super) fn prune_runs(&mut self, is_pending: impl Fn(&(TaskKey, RunNumber)) -> bool) {
        let running = &self.running;
        if self.attributes.len() <= 2 * running.len() + UNLISTED_ATTRIBUTES_MAX {
            return;
        }
        let is_running = |key: &(TaskKey, RunNumber)| {
            running
                .iter()
                .any(|status| status.task == key.0 && status.run == key.1)
        };
        self.attributes
            .retain(|key, _| is_running(key) || is_pending(key));
        let attributes = &self.attributes;
        self.throttle
            .retain_runs(|task, run| attributes.contains_key(&(task, run)));
    }

    /// Keeps the runs of the previous list that are in neither of the new lists, since the
    /// unreadable rows may be theirs.
    fn keep_unlisted_runs(&mut self, previous: Vec<RunStatus>) {
        for status in previous {
            let (task, run) = (status.task, status.run);
            if !self.is_running(task, run) && !self.has_ended(task, run) {
                self.running.push(status);
            }
        }
    }

    /// Checkpoints that have changed since the last call.
    pub(super) fn new_checkpoints(&mut self) -> Vec<(TaskKey, Arc<str>)> {
        let mut changed = Vec::new();
        let mut current = IndexMap::new();
        for status in self
            .running
            .iter()
            .filter(|status| !status.checkpoint.is_empty())
        {
            if self.checkpoints.get(&status.task) != Some(&status.checkpoint) {
                changed.push((status.task, Arc::clone(&status.checkpoint)));
            }
            current.insert(status.task, Arc::clone(&status.checkpoint));
        }
        self.checkpoints = current;
        changed
    }

    /// Changes of CPU shares that the latest list requires.
    pub(super) fn cpu_share_orders(&mut self, now: BootTime) -> Vec<ShareOrder> {
        let tasks: Vec<ObservedTask> = self
            .running
            .iter()
            .map(|status| self.observed_task(status))
            .collect();
        let previous = self.throttle.throttled();
        let orders = self.throttle.update(now, &tasks);
        let throttled = self.throttle.throttled();
        self.watch_targets(now, &tasks);
        if previous != throttled {
            let tail_latencies = tasks.iter().filter_map(|task| match task.role {
                TaskRole::LatencyCritical { tail_ms, .. } => Some(tail_ms),
                _ => None,
            });
            let worst_ms = tail_latencies.max().unwrap_or(0);
            let (runs, percent) = throttled;
            let (load, load_error) = match self.throttle.highest_load() {
                Some(load) => (load.mean, load.standard_error),
                None => (f64::NAN, f64::NAN),
            };
            tracing::info!(
                event = "pace_changed", worker = %self.key, runs, percent, worst_ms,
                load = format_args!("{load:.2}"), load_error = format_args!("{load_error:.3}"),
            );
        }
        if !self.throttle.utilisation_report().samples.is_empty() {
            let is_forecast = self.throttle.highest_load().is_some();
            let basis = if is_forecast {
                "forecast"
            } else {
                "fixed_margin"
            };
            metric::count_event("slowdown_budget", basis);
        }
        orders
    }

    /// Logs missed and met targets and runs without attributes, when they change.
    fn watch_targets(&mut self, now: BootTime, tasks: &[ObservedTask]) {
        let best_effort = tasks
            .iter()
            .filter(|task| matches!(task.role, TaskRole::BestEffort { .. }));
        let (throttled, percent) = self.throttle.throttled();
        let shares = ShareSummary {
            best_effort: best_effort.count(),
            throttled,
            percent,
        };
        let unknown_runs = tasks
            .iter()
            .filter(|task| !self.attributes.contains_key(&(task.task, task.run)));
        self.target_watch
            .observe_unknown_runs(&self.key, unknown_runs.count());
        self.target_watch.observe(now, &self.key, tasks, shares);
    }

    /// Records the answer to a CPU share order; returns the next order for the run if one is due.
    pub(super) fn record_share_answer(
        &mut self,
        now: BootTime,
        order: ShareOrder,
        answer: ShareAnswer,
    ) -> Option<ShareOrder> {
        self.target_watch.observe_share_answer(order, answer);
        self.throttle.record_answer(now, order, answer)
    }

    /// CPU share order for a run that has just started, if it must be throttled.
    pub(super) fn starting_share(
        &mut self,
        now: BootTime,
        task: TaskKey,
        run: RunNumber,
    ) -> Option<ShareOrder> {
        let status = RunStatus {
            task,
            run,
            checkpoint: Arc::from(""),
            progress_percent: 0,
            measurement: 0,
        };
        let new_task = self.observed_task(&status);
        self.throttle.allocate_starting_share(now, &new_task)
    }

    /// Best-effort runs whose CPU share is so small that their tasks are better placed on another
    /// worker.
    pub(super) fn stalled_runs(&self) -> Vec<(TaskKey, RunNumber)> {
        let runs = self.running.iter().map(|status| (status.task, status.run));
        runs.filter(|(task, run)| self.throttle.is_stalled(*task, *run))
            .collect()
    }

    /// A listed run with the attributes that decide its throttling.
    fn observed_task(&self, status: &RunStatus) -> ObservedTask {
        let attributes = self.attributes.get(&(status.task, status.run));
        let role = match attributes {
            Some(RunAttributes {
                latency_target_ms: Some(target_ms),
                ..
            }) => TaskRole::LatencyCritical {
                tail_ms: status.measurement,
                target_ms: *target_ms,
            },
            Some(RunAttributes {
                best_effort: true,
                cpu_millis,
                rank,
                ..
            }) => TaskRole::BestEffort {
                cpu_used: self.cpu_fraction(status.measurement),
                cpu_demand: self.cpu_fraction(*cpu_millis),
                rank: *rank,
            },
            _ => TaskRole::Other,
        };
        ObservedTask {
            task: status.task,
            run: status.run,
            image: attributes
                .map_or_else(|| Arc::from(""), |attributes| Arc::clone(&attributes.image)),
            role,
        }
    }

    /// Fraction of the worker's processor that corresponds to `cpu_millis` thousandths of a core.
    fn cpu_fraction(&self, cpu_millis: u64) -> f64 {
        cpu_millis as f64 / self.facts.capacity.cpu_millis.max(1) as f64
    }
}
