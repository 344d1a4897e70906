//! Throttles best-effort tasks that slow down latency-critical tasks on the same worker.
//!
//! The agent runs the controller at each renewal report ([`ThrottleController::update`]), with the
//! model of [`super::interference`]. [`super::slowdown_budget`] computes how much slowdown each
//! latency-critical image tolerates. Best-effort tasks get CPU shares from that budget one by one:
//! first those that interfere strongly with no latency-critical task, then by rank. Tasks for which
//! nothing is left are paused, because equal shares would make all of them late. A paused task
//! keeps its run, with a CPU share of 0. A task that would run slowly leaves its part of the budget
//! to those after it that would not, because it would use it up for little work.
//!
//! If the target of a latency-critical task stays violated for the violation timeout, all
//! best-effort tasks are paused until the violation has ended ([`super::violation_tracker`]). The
//! leader stops stalled runs that fit on another worker, so that a later scheduling pass places
//! their tasks anew, and learns the interference coefficients from the utilisation reports of all
//! agents.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::interference::utilisation_limit;
use super::interference::utilisation_of_tail;
use super::interference::BestEffortLoad;
use super::interference::Estimate;
use super::interference::InterferenceModel;
use super::interference::PairEstimate;
use super::interference::UtilisationSample;
use super::load_forecast::LoadEstimate;
use super::share_tracker::ShareAnswer;
use super::share_tracker::ShareTracker;
use super::slowdown_budget::BudgetPlanner;
use super::violation_tracker::ViolationTracker;
use crate::identity::RunNumber;
use crate::identity::TaskKey;
use guavavane_model::prelude::BootTime;

/// Margin below the utilisation limit from which a target counts as violated, because reported tail
/// latencies are imprecise.
const VIOLATION_MARGIN: f64 = 0.02;
/// Interference coefficient from which a pair interferes strongly. Tasks of other pairs get their CPU
/// shares first, because throttling them costs much work for little utilisation.
const COEFFICIENT_STRONG_MIN: f64 = 0.6;
/// Interference coefficient below which a pair does not limit a CPU share; the task still counts
/// against the slowdown budgets and is paused with the others. Several tasks of weaker pairs together
/// can violate a target, and a harmless pair may be estimated at up to 0.2.
const COEFFICIENT_MIN: f64 = 0.25;
/// Standard deviations by which the coefficient of a pair that is not strong has to exceed 0 to limit
/// a CPU share.
const COEFFICIENT_DEVIATIONS_MIN: f64 = 2.0;
/// Smallest CPU share; a task with less is paused.
const CPU_SHARE_MIN_PERCENT: u32 = 5;
/// CPU share from which a task is not throttled at all.
const UNTHROTTLED_MIN_PERCENT: u32 = 95;
/// CPU share from which a task runs at a useful speed. A task that would get less leaves the budget to
/// those after it that would get more.
const USEFUL_MIN_PERCENT: u32 = 50;
/// CPU share to which a task at a useful speed may fall before others go ahead of it.
const USEFUL_KEPT_MIN_PERCENT: u32 = 35;
/// Smallest rise of a CPU share that is ordered; a fall is ordered at once.
const CPU_SHARE_STEP_PERCENT: u32 = 8;
/// CPU share of a task that is not throttled.
const CPU_SHARE_FULL_PERCENT: u32 = 100;
/// CPU share up to which a task counts as stalled: it is better placed on another worker.
const STALLED_MAX_PERCENT: u32 = 25;
/// Time constant with which tail latencies follow a load: they are taken over half a second, and
/// queues drain slowly.
const LOAD_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Fraction of the processor up to which an image is dropped from the load.
const CPU_FRACTION_MIN: f64 = 0.001;

/// Task in a renewal report.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedTask {
    /// Identity of the task.
    pub task: TaskKey,
    /// Current run of the task.
    pub run: RunNumber,
    /// Image that the task runs.
    pub image: Arc<str>,
    /// Effect of the task on throttling.
    pub role: TaskRole,
}

/// Whether a task is protected by throttling, subject to it, or neither.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskRole {
    /// Latency-critical task: protected.
    LatencyCritical {
        /// Tail latency over the last half second.
        tail_ms: u64,
        /// Latency target: upper limit of the tail latency.
        target_ms: u64,
    },
    /// Best-effort task: throttled.
    BestEffort {
        /// Fraction of the worker's processor used over the last half second.
        cpu_used: f64,
        /// Fraction of the worker's processor that the task could use.
        cpu_demand: f64,
        /// Rank of the step; the lowest gets its CPU share first.
        rank: u64,
    },
    /// Any other task, or one whose attributes the agent does not know; ignored.
    Other,
}

/// Order that sets the CPU share of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareOrder {
    /// Identity of the task.
    pub task: TaskKey,
    /// Run that the order applies to.
    pub run: RunNumber,
    /// CPU share, as a percentage of the processor time that the task could use; 0 pauses it.
    pub percent: u32,
}

/// Utilisations of the latency-critical tasks on a worker and the best-effort load beside them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UtilisationReport {
    /// One sample for each latency-critical task.
    pub samples: Vec<UtilisationSample>,
    /// Fraction of the processor used by best-effort tasks, by image.
    pub load: BestEffortLoad,
}

/// CPU share of each run, in percent.
type CpuShareMap = IndexMap<(TaskKey, RunNumber), u32>;

/// Sets the CPU shares of the best-effort tasks on one worker.
#[derive(Clone, Debug, Default)]
pub struct ThrottleController {
    interference: InterferenceModel,
    /// Allocated CPU shares of throttled runs; other runs have the full share.
    cpu_shares: CpuShareMap,
    /// CPU shares that are in force on the worker.
    share_tracker: ShareTracker,
    report: UtilisationReport,
    /// Slowdown that each latency-critical image still tolerates; negative infinity if all
    /// best-effort tasks are paused.
    budgets: IndexMap<Arc<str>, f64>,
    reported_at: BootTime,
    budget_planner: BudgetPlanner,
    violation_tracker: ViolationTracker,
}

impl ThrottleController {
    /// Creates a controller that tolerates a violated target for this time.
    pub fn new(violation_timeout: Duration) -> Self {
        Self {
            violation_tracker: ViolationTracker::new(violation_timeout),
            ..Self::default()
        }
    }

    /// Creates a controller with a fixed margin in place of the load forecasts, for comparison.
    pub fn with_fixed_margin(violation_timeout: Duration) -> Self {
        Self {
            budget_planner: BudgetPlanner::with_fixed_margin(),
            ..Self::new(violation_timeout)
        }
    }

    /// Number of throttled runs, and the sum of their CPU shares in percent.
    pub fn throttled(&self) -> (usize, u32) {
        (self.cpu_shares.len(), self.cpu_shares.values().sum())
    }

    /// Highest baseline utilisation that is expected until the next report; none without a forecast.
    pub fn highest_load(&self) -> Option<LoadEstimate> {
        self.budget_planner.highest_load()
    }

    /// Utilisations and smoothed best-effort load of the latest renewal report.
    pub fn utilisation_report(&self) -> &UtilisationReport {
        &self.report
    }

    /// Replaces interference coefficients by estimates that the leader learned from all workers.
    pub fn set_estimates(&mut self, estimates: Vec<PairEstimate>) {
        self.interference.set_coefficients(estimates);
    }

    /// Estimates that the leader has sent to this worker.
    pub fn estimates(&self) -> Vec<PairEstimate> {
        self.interference.all_estimates()
    }

    /// Computes all CPU shares from a new renewal report; returns the orders that are due.
    pub fn update(&mut self, now: BootTime, tasks: &[ObservedTask]) -> Vec<ShareOrder> {
        let load = std::mem::take(&mut self.report.load);
        self.report = summarise_tasks(tasks);
        self.report.load = smooth_load(load, &self.report.load, now, self.reported_at);
        self.reported_at = now;
        self.budgets = self.budget_planner.update(
            now,
            &self.report.samples,
            &self.report.load,
            &self.interference,
        );
        let latency_critical = tasks.iter().filter_map(observed_violation);
        if self.violation_tracker.update(now, latency_critical) {
            self.budgets
                .values_mut()
                .for_each(|budget| *budget = f64::NEG_INFINITY);
        }
        self.allocate_shares(tasks);
        self.due_orders(now, tasks)
    }

    /// Allocates the CPU share of a best-effort task that has just started, from what the latest
    /// report has left of the slowdown budgets; returns the order if the task is throttled.
    pub fn allocate_starting_share(
        &mut self,
        now: BootTime,
        task: &ObservedTask,
    ) -> Option<ShareOrder> {
        let TaskRole::BestEffort { cpu_demand, .. } = task.role else {
            return None;
        };
        let percent = self.allocate_share(task, cpu_demand);
        if percent == CPU_SHARE_FULL_PERCENT {
            return None;
        }
        let (task, run) = (task.task, task.run);
        let order = ShareOrder { task, run, percent };
        self.share_tracker.allocate(now, order)
    }

    /// Whether the confirmed CPU share of a run is so small that its task is better placed on
    /// another worker.
    pub fn is_stalled(&self, task: TaskKey, run: RunNumber) -> bool {
        let cpu_share = self.share_tracker.confirmed_share(task, run);
        cpu_share.is_some_and(|cpu_share| cpu_share <= STALLED_MAX_PERCENT)
    }

    /// Records that a run is about to start with the full CPU share.
    pub fn record_start(&mut self, task: TaskKey, run: RunNumber) {
        self.violation_tracker.record_start((task, run));
        self.share_tracker.record_start(task, run);
    }

    /// Records the worker's answer to an order; returns the next order for the run if one is due.
    pub fn record_answer(
        &mut self,
        now: BootTime,
        order: ShareOrder,
        answer: ShareAnswer,
    ) -> Option<ShareOrder> {
        let run_key = (order.task, order.run);
        self.share_tracker.record_answer(now, run_key, answer)
    }

    /// Forgets the CPU shares of all runs for which `keep` returns false.
    pub fn retain_runs(&mut self, mut keep: impl FnMut(TaskKey, RunNumber) -> bool) {
        self.violation_tracker.retain_runs(&mut keep);
        self.share_tracker.retain(keep);
    }

    /// Allocates the slowdown budgets to the best-effort tasks: first to those that run at a useful
    /// speed, then what is left to the others.
    fn allocate_shares(&mut self, tasks: &[ObservedTask]) {
        let previous_shares = std::mem::take(&mut self.cpu_shares);
        let previous_share = |task: &ObservedTask| {
            let previous = previous_shares.get(&(task.task, task.run)).copied();
            previous.unwrap_or(CPU_SHARE_FULL_PERCENT)
        };
        let mut slow_tasks = Vec::new();
        for (task, cpu_demand) in self.allocation_order(tasks) {
            let useful_min = if previous_share(task) >= USEFUL_MIN_PERCENT {
                USEFUL_KEPT_MIN_PERCENT
            } else {
                USEFUL_MIN_PERCENT
            };
            if self.affordable_share(task, cpu_demand) < useful_min {
                slow_tasks.push((task, cpu_demand));
            } else {
                self.set_share(task, cpu_demand, previous_share(task));
            }
        }
        for (task, cpu_demand) in slow_tasks {
            self.set_share(task, cpu_demand, previous_share(task));
        }
    }

    /// Allocates and stores the CPU share of one best-effort task.
    fn set_share(&mut self, task: &ObservedTask, cpu_demand: f64, current_share: u32) {
        let cpu_share = self.allocate_share(task, cpu_demand);
        let is_small_rise = cpu_share > current_share
            && cpu_share - current_share < CPU_SHARE_STEP_PERCENT
            && cpu_share < CPU_SHARE_FULL_PERCENT;
        let cpu_share = if is_small_rise {
            current_share
        } else {
            cpu_share
        };
        if cpu_share < CPU_SHARE_FULL_PERCENT {
            self.cpu_shares.insert((task.task, task.run), cpu_share);
        }
    }

    /// CPU share in percent that the slowdown budgets leave to one best-effort task.
    fn affordable_share(&self, task: &ObservedTask, cpu_demand: f64) -> u32 {
        let cpu_demand = cpu_demand.max(f64::MIN_POSITIVE);
        let mut cpu_share: f64 = 1.0;
        for (latency_critical, budget) in &self.budgets {
            let coefficient = self.interference.coefficient(latency_critical, &task.image);
            if limits_share(coefficient) {
                cpu_share = cpu_share.min(budget / (coefficient.mean * cpu_demand));
            } else if *budget == f64::NEG_INFINITY {
                cpu_share = 0.0;
            }
        }
        to_percent(cpu_share)
    }

    /// Charges one best-effort task to the slowdown budgets; returns its CPU share in percent.
    fn allocate_share(&mut self, task: &ObservedTask, cpu_demand: f64) -> u32 {
        let percent = self.affordable_share(task, cpu_demand);
        let cpu_used = cpu_demand.max(f64::MIN_POSITIVE) * f64::from(percent)
            / f64::from(CPU_SHARE_FULL_PERCENT);
        for (latency_critical, budget) in &mut self.budgets {
            *budget -= self
                .interference
                .mean_coefficient(latency_critical, &task.image)
                * cpu_used;
        }
        percent
    }

    /// Best-effort tasks with the processor fraction that they could use: first those that
    /// interfere strongly with no latency-critical task, then by rank.
    fn allocation_order<'tasks>(
        &self,
        tasks: &'tasks [ObservedTask],
    ) -> Vec<(&'tasks ObservedTask, f64)> {
        let is_strong = |image: &Arc<str>| {
            let latency_critical = self.budgets.keys();
            let coefficients = latency_critical.map(|latency_critical| {
                self.interference.mean_coefficient(latency_critical, image)
            });
            coefficients.fold(0.0, f64::max) >= COEFFICIENT_STRONG_MIN
        };
        let ranked_tasks = best_effort_tasks(tasks).map(|task| {
            let (cpu_demand, rank) = match task.role {
                TaskRole::BestEffort {
                    cpu_demand, rank, ..
                } => (cpu_demand, rank),
                _ => (0.0, u64::MAX),
            };
            let order_key = (is_strong(&task.image), rank, task.task);
            (order_key, task, cpu_demand)
        });
        let mut ordered_tasks: Vec<_> = ranked_tasks.collect();
        ordered_tasks.sort_by_key(|(order_key, _, _)| *order_key);
        let ordered_tasks = ordered_tasks
            .into_iter()
            .map(|(_, task, cpu_demand)| (task, cpu_demand));
        ordered_tasks.collect()
    }

    /// Orders that are due for the allocated CPU shares.
    fn due_orders(&mut self, now: BootTime, tasks: &[ObservedTask]) -> Vec<ShareOrder> {
        let mut orders = Vec::new();
        for task in best_effort_tasks(tasks) {
            let (task, run) = (task.task, task.run);
            let allocated = self.cpu_shares.get(&(task, run)).copied();
            let percent = allocated.unwrap_or(CPU_SHARE_FULL_PERCENT);
            let order = ShareOrder { task, run, percent };
            orders.extend(self.share_tracker.allocate(now, order));
        }
        orders
    }
}

/// Latency-critical run with whether its target is violated.
fn observed_violation(task: &ObservedTask) -> Option<((TaskKey, RunNumber), bool)> {
    let TaskRole::LatencyCritical { tail_ms, target_ms } = task.role else {
        return None;
    };
    let utilisation = utilisation_of_tail(tail_ms, target_ms);
    let is_violated = utilisation >= utilisation_limit() - VIOLATION_MARGIN;
    Some(((task.task, task.run), is_violated))
}

/// Whether a pair with this coefficient limits the CPU share of its best-effort task.
fn limits_share(coefficient: Estimate) -> bool {
    let deviations = COEFFICIENT_DEVIATIONS_MIN * coefficient.variance.max(0.0).sqrt();
    coefficient.mean >= COEFFICIENT_STRONG_MIN
        || coefficient.mean >= COEFFICIENT_MIN && coefficient.mean >= deviations
}

/// CPU share in percent; shares close to none or all become 0 or 100 %.
fn to_percent(cpu_share: f64) -> u32 {
    let percent = (cpu_share.clamp(0.0, 1.0) * f64::from(CPU_SHARE_FULL_PERCENT)) as u32;
    match percent {
        0..CPU_SHARE_MIN_PERCENT => 0,
        UNTHROTTLED_MIN_PERCENT.. => CPU_SHARE_FULL_PERCENT,
        percent => percent,
    }
}

fn best_effort_tasks(tasks: &[ObservedTask]) -> impl Iterator<Item = &ObservedTask> {
    let is_best_effort = |task: &&ObservedTask| matches!(task.role, TaskRole::BestEffort { .. });
    tasks.iter().filter(is_best_effort)
}

/// Smooths a reported load exponentially, because tail latencies follow the load with a delay.
fn smooth_load(
    load: BestEffortLoad,
    reported: &BestEffortLoad,
    now: BootTime,
    since: BootTime,
) -> BestEffortLoad {
    let elapsed = now.saturating_since(since);
    let decay = (-elapsed.as_secs_f64() / LOAD_TIME_CONSTANT.as_secs_f64()).exp();
    let mut smoothed: BestEffortLoad = load
        .into_iter()
        .map(|(image, fraction)| (image, fraction * decay))
        .collect();
    for (image, fraction) in reported {
        *smoothed.entry(Arc::clone(image)).or_insert(0.0) += fraction * (1.0 - decay);
    }
    smoothed.retain(|_, fraction| *fraction > CPU_FRACTION_MIN);
    smoothed
}

fn summarise_tasks(tasks: &[ObservedTask]) -> UtilisationReport {
    let mut report = UtilisationReport::default();
    for task in tasks {
        match task.role {
            TaskRole::LatencyCritical { tail_ms, target_ms } => {
                report.samples.push(UtilisationSample {
                    job: task.task.step.job,
                    image: Arc::clone(&task.image),
                    utilisation: utilisation_of_tail(tail_ms, target_ms),
                })
            }
            TaskRole::BestEffort { cpu_used, .. } => {
                let image = Arc::clone(&task.image);
                // A load far above the whole processor would take many seconds to decay.
                *report.load.entry(image).or_insert(0.0) += cpu_used.clamp(0.0, 1.0);
            }
            TaskRole::Other => {}
        }
    }
    report
}
