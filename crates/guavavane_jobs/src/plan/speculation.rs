//! Chooses the runs that get a copy because they take much longer than others of their step.
//!
//! The load: 3 in 100 runs take seven times as long as the others, declared run times are wrong by
//! half to nine tenths, and workers are slow or hang. A job is late with its slowest task. So the
//! thresholds follow from observed run times, by queue and step, and not from declared ones.
//!
//! - [`StepRunTimes`] keeps a histogram of the run times of each step of a queue. A run gets a copy
//!   once it has taken longer than `DELAY_FACTOR` times the quantile `DELAY_QUANTILE`, if runs that
//!   take so long have on average at least `GAIN_FACTOR` times the mean run time still ahead of them.
//! - [`SpeculationWatch`] orders the runs by the time at which they pass that threshold, so that the
//!   cost follows the runs that start and not those that are in progress.
//! - [`choose_copies`] places the copies like ordinary tasks, on another VM and rack than the first
//!   run, within a budget: none while steps wait for the same pool, a part of the pool's running
//!   tasks, and a part of its idle processor. So copies use only capacity that nothing else asks for.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::candidate_queue::CandidateQueue;
use super::capacity_table::CapacityTable;
use super::capacity_table::WorkerSlot;
use super::pass::step_context;
use super::pass::AdviceStep;
use super::pass::PassInput;
use super::placement::worker_rack;
use super::placement::PlacementContext;
use super::placement::CPU_SHARE_WANTED;
use crate::identity::RunNumber;
use crate::identity::StepKey;
use crate::identity::TaskKey;
use crate::ledger::allows_copies;
use crate::ledger::JobLedger;
use crate::ledger::RunRecord;
use crate::ledger::StartChoice;
use crate::ledger::TaskPhase;
use crate::ledger::WorkerIndex;
use guavavane_model::prelude::BootTime;

/// Quantile of the run times that a run has to pass; leaves a tail of one run in ten.
const DELAY_QUANTILE: f64 = 0.9;
/// Threshold of a copy as a multiple of the quantile, so that the spread of ordinary run times starts
/// no copies.
const DELAY_FACTOR: f64 = 1.25;
/// Remaining run time that is expected without a copy, as a multiple of the mean run time.
const GAIN_FACTOR: f64 = 1.5;
/// Number of observed run times from which quantiles are used.
const RUNS_MIN: f64 = 30.0;
/// Weight of the observed run times at which all are halved, so that later ones count more.
const WEIGHT_MAX: f64 = 1_024.0;
/// Weight of runs beyond the threshold below which nothing is known of them. A run that passes the
/// threshold then counts as a straggler.
const TAIL_WEIGHT_MIN: f64 = 0.5;
/// Buckets for each doubling of the run time; each is 12 percent wide.
const BUCKETS_PER_DOUBLING: f64 = 6.0;
/// Number of buckets; the last holds all run times from 62 minutes on.
const BUCKETS: usize = 132;
/// Steps of a queue whose run times are kept, by number; bounds the memory that a caller can claim.
const STEPS_MAX: u16 = 64;
/// Time after which a run is checked again while its threshold is unknown or its task has two runs.
const UNKNOWN_DELAY: Duration = Duration::from_secs(1);
/// Time after which a due run that got no copy is considered again; shorter than the validity of the
/// tickets that were requested for the copy.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Most runs whose threshold is checked at a time.
const CHECKS_MAX: usize = 2_048;
/// Most due runs that are considered at a time.
const DUE_MAX: usize = 16;
/// Most judgements of a worker at a time, unless one step needs more: each step is judged on all
/// workers. 34,000 judgements take 3 ms.
const JUDGED_MAX: usize = 40_000;
/// Part of the running tasks of a pool that may be copies, in percent.
const RUNNING_PERCENT: usize = 10;
/// Part of the idle processor of a pool that copies may take, in percent.
const IDLE_PERCENT: u64 = 50;
/// Time after which a waiting step no longer keeps copies from its pool: it waits for something else
/// than the capacity that is idle, such as a gang that is wider than the pool.
const BLOCKING_WAIT_MAX: Duration = Duration::from_secs(20);
/// Most waiting steps of a pool that are judged; more of them keep copies from it in any case.
const WAITING_MAX: usize = 16;

/// Histogram of run times with buckets of a constant relative width.
#[derive(Clone, Debug)]
struct RunTimeHistogram {
    /// Runs that succeeded.
    succeeded: Vec<f64>,
    /// Runs that were stopped because their copies succeeded: they would have taken longer.
    stopped: Vec<f64>,
    total: f64,
}

impl RunTimeHistogram {
    fn new() -> Self {
        Self {
            succeeded: vec![0.0; BUCKETS],
            stopped: vec![0.0; BUCKETS],
            total: 0.0,
        }
    }

    fn bucket(run_time_ms: f64) -> usize {
        let bucket = run_time_ms.max(1.0).log2() * BUCKETS_PER_DOUBLING;
        (bucket as usize).min(BUCKETS - 1)
    }

    /// Run time at the upper end of a bucket.
    fn upper_ms(bucket: usize) -> f64 {
        ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2()
    }

    /// Run time at the lower end of a bucket.
    fn lower_ms(bucket: usize) -> f64 {
        (bucket as f64 / BUCKETS_PER_DOUBLING).exp2()
    }

    fn learn(&mut self, run_time_ms: f64, has_succeeded: bool) {
        let weights = if has_succeeded {
            &mut self.succeeded
        } else {
            &mut self.stopped
        };
        weights[Self::bucket(run_time_ms)] += 1.0;
        self.total += 1.0;
        if self.total >= WEIGHT_MAX {
            let weights = self.succeeded.iter_mut().chain(&mut self.stopped);
            weights.for_each(|weight| *weight /= 2.0);
            self.total /= 2.0;
        }
    }

    fn weights(&self) -> impl DoubleEndedIterator<Item = f64> + ExactSizeIterator + '_ {
        let weights = self.succeeded.iter().zip(&self.stopped);
        weights.map(|(succeeded, stopped)| succeeded + stopped)
    }

    /// Upper bound of the run times of this fraction of the runs.
    fn quantile_ms(&self, fraction: f64) -> f64 {
        let mut remaining = self.total * fraction;
        let position = self.weights().position(|weight| {
            remaining -= weight;
            remaining <= 0.0
        });
        Self::upper_ms(position.unwrap_or(BUCKETS - 1))
    }

    fn mean_ms(&self) -> f64 {
        let weights = self.weights().enumerate();
        let sum: f64 = weights
            .map(|(bucket, weight)| weight * Self::lower_ms(bucket))
            .sum();
        sum / self.total
    }

    /// Mean time that runs which have taken this long still take; none if there were too few. It
    /// follows from the fraction of the runs still in progress that ended in each bucket
    /// (Kaplan-Meier), since those that were stopped don't tell their run time. Where all were
    /// stopped, they are taken to last as long again.
    fn mean_remaining_ms(&self, elapsed_ms: f64) -> Option<f64> {
        let first = Self::bucket(elapsed_ms) + 1;
        let mut in_progress: f64 = self.weights().skip(first).sum();
        if in_progress < TAIL_WEIGHT_MIN {
            return None;
        }
        let (mut surviving, mut remaining_ms) = (1.0, 0.0);
        for bucket in first..BUCKETS {
            if in_progress < TAIL_WEIGHT_MIN {
                return Some(remaining_ms + surviving * Self::lower_ms(bucket));
            }
            remaining_ms += surviving * (Self::upper_ms(bucket) - Self::lower_ms(bucket));
            surviving *= 1.0 - self.succeeded[bucket] / in_progress;
            in_progress -= self.succeeded[bucket] + self.stopped[bucket];
        }
        Some(remaining_ms)
    }

    /// Time after which a run gets a copy; none if too little is known or copies don't pay.
    fn copy_delay(&self) -> Option<Duration> {
        if self.total < RUNS_MIN {
            return None;
        }
        let delay_ms = self.quantile_ms(DELAY_QUANTILE) * DELAY_FACTOR;
        let gain_min_ms = self.mean_ms() * GAIN_FACTOR;
        let remaining_ms = self.mean_remaining_ms(delay_ms);
        let pays = remaining_ms.is_none_or(|remaining_ms| remaining_ms >= gain_min_ms);
        pays.then(|| Duration::from_secs_f64(delay_ms / 1_000.0))
    }
}

/// Run times that were observed in this term, by queue and number of the step.
#[derive(Clone, Debug, Default)]
pub struct StepRunTimes {
    queues: IndexMap<Arc<str>, IndexMap<u16, RunTimeHistogram>>,
}

impl StepRunTimes {
    /// Records the run time of a run that succeeded, or the time after which it was stopped because
    /// the other run of its task did.
    pub fn learn(&mut self, queue: &Arc<str>, step: u16, run_time: Duration, has_succeeded: bool) {
        if step >= STEPS_MAX {
            return;
        }
        let steps = self.queues.entry(Arc::clone(queue)).or_default();
        let histogram = steps.entry(step).or_insert_with(RunTimeHistogram::new);
        histogram.learn(run_time.as_secs_f64() * 1_000.0, has_succeeded);
    }

    /// Time after which a run of a step gets a copy; none if too little is known or copies don't pay.
    pub fn copy_delay(&self, queue: &str, step: u16) -> Option<Duration> {
        self.queues.get(queue)?.get(&step)?.copy_delay()
    }
}

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

/// Reason why an overdue run gets no copy now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CopyObstacle {
    /// Its task has ended, or has a copy.
    Ended,
    /// Steps wait for capacity of the same pool.
    StepsWait,
    /// The pool has as many copies as its running tasks allow.
    TooManyCopies,
    /// The copies of the pool would take too much of its idle processor.
    TooLittleIdle,
    /// No worker on another VM and rack is feasible.
    NoWorker,
    /// Enough workers were judged in this check.
    LaterCheck,
}

impl CopyObstacle {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::StepsWait => "steps_wait",
            Self::TooManyCopies => "too_many_copies",
            Self::TooLittleIdle => "too_little_idle",
            Self::NoWorker => "no_worker",
            Self::LaterCheck => "later_check",
        }
    }
}

/// Result of [`choose_copies`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CopyPlan {
    /// Starts of copies.
    pub choices: Vec<StartChoice>,
    /// Runs that get no copy now.
    pub refused: Vec<(OverdueRun, CopyObstacle)>,
    /// Steps of refused runs that need tickets of the advice service.
    pub advice_steps: Vec<AdviceStep>,
}

/// What runs on the workers of a pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolLoad {
    tasks: usize,
    copies: usize,
    idle_millis: u64,
    copied_millis: u64,
}

impl PoolLoad {
    fn add_slot(&mut self, slot: &WorkerSlot) {
        let capacity = &slot.capacity;
        let tasks = capacity.runs_by_step.values().map(|count| *count as usize);
        self.tasks += tasks.sum::<usize>();
        if capacity.condition.schedulable {
            let idle_millis = u64::try_from(capacity.idle_cpu_millis()).unwrap_or(0);
            self.idle_millis = self.idle_millis.saturating_add(idle_millis);
        }
    }

    fn add_copy(&mut self, cpu_millis: u64) {
        self.copies += 1;
        self.copied_millis = self.copied_millis.saturating_add(cpu_millis);
    }

    /// What keeps one more copy from the pool. The idle processor is that without the copies.
    fn find_obstacle(&self, cpu_millis: u64) -> Option<CopyObstacle> {
        let copies_max = (self.tasks.saturating_sub(self.copies) * RUNNING_PERCENT / 100).max(1);
        let copied_millis = self.copied_millis.saturating_add(cpu_millis);
        let idle_millis = self.idle_millis.saturating_add(self.copied_millis);
        if self.copies >= copies_max {
            Some(CopyObstacle::TooManyCopies)
        } else if copied_millis > idle_millis / 100 * IDLE_PERCENT {
            Some(CopyObstacle::TooLittleIdle)
        } else {
            None
        }
    }
}

/// Pools with what runs on their workers.
struct PoolLoads<'ledger>(IndexMap<&'ledger str, PoolLoad>);

impl<'ledger> PoolLoads<'ledger> {
    fn new(ledger: &'ledger JobLedger, table: &CapacityTable) -> Self {
        let mut loads: IndexMap<&'ledger str, PoolLoad> = IndexMap::new();
        for (index, slot) in table.slots() {
            if let Some(worker) = ledger.worker(index) {
                loads.entry(&worker.facts.pool).or_default().add_slot(slot);
            }
        }
        for (task, _, index) in ledger.active_copies() {
            let worker = ledger.worker(index);
            let run = worker.and_then(|worker| Some((worker, worker.runs.get(&task)?)));
            if let Some((worker, run)) = run {
                let load = loads.entry(&worker.facts.pool).or_default();
                load.add_copy(run.cpu_millis);
            }
        }
        Self(loads)
    }

    fn find_obstacle(&self, context: &PlacementContext<'_>) -> Option<CopyObstacle> {
        let load = self.0.get(context.pool).copied().unwrap_or_default();
        load.find_obstacle(context.spec.demand.cpu_millis)
    }

    fn add_copy(&mut self, context: &PlacementContext<'ledger>) {
        let load = self.0.entry(context.pool).or_default();
        let cpu_millis = context.spec.demand.cpu_millis;
        load.tasks += 1;
        load.add_copy(cpu_millis);
        load.idle_millis = load.idle_millis.saturating_sub(cpu_millis);
    }
}

/// Priority of a step's queue; 0 is the highest.
fn step_priority(ledger: &JobLedger, key: StepKey) -> u64 {
    let job = ledger.job(key.job);
    let queue = job.and_then(|job| ledger.catalog().queue(&job.queue));
    queue.map_or(u64::MAX, |queue| queue.priority)
}

/// Whether steps that go before a copy of this priority, or have the same one, wait for capacity of
/// a pool that one of its workers could give them, after these starts. Steps of a lower priority
/// would wait for a first run of the copy's step as well.
fn has_waiting_steps<I: PassInput>(
    ledger: &JobLedger,
    table: &CapacityTable,
    input: &I,
    starts: &IndexMap<StepKey, u32>,
    (pool, priority): (&str, u64),
) -> bool {
    let starting = |key: &StepKey| starts.get(key).copied().unwrap_or(0);
    let waiting = ledger.ready_steps();
    let waiting = waiting.filter(|(key, count)| *count > starting(key));
    let waiting = waiting.filter_map(|(key, _)| {
        let job = ledger.job(key.job)?;
        let queue = ledger.catalog().queue(&job.queue);
        let step_pool = queue.map_or(&job.pool, |queue| &queue.pool);
        let blocks = &**step_pool == pool
            && step_priority(ledger, key) <= priority
            && input.waiting_time(key) < BLOCKING_WAIT_MAX;
        ledger.step_spec(key).filter(|_| blocks)
    });
    for (number, spec) in waiting.enumerate() {
        let mut slots = table.slots();
        let reserved = spec.reserved();
        let fits = slots.any(|(_, slot)| {
            let label = spec.required_label.as_ref();
            &*slot.facts.pool == pool
                && label.is_none_or(|label| slot.facts.has_label(label))
                && reserved.fits_within(&slot.capacity.total)
        });
        if fits || number >= WAITING_MAX {
            return true;
        }
    }
    false
}

/// Chooses workers for copies of overdue runs, in their order. `starts` are those of the same pass,
/// whose capacity is reserved in the table.
pub fn choose_copies<I: PassInput>(
    ledger: &JobLedger,
    table: &mut CapacityTable,
    input: &I,
    starts: &[StartChoice],
    overdue: Vec<OverdueRun>,
) -> CopyPlan {
    let mut plan = CopyPlan::default();
    if overdue.is_empty() {
        return plan;
    }
    let mut starting: IndexMap<StepKey, u32> = IndexMap::new();
    for start in starts {
        *starting.entry(start.task.step).or_insert(0) += 1;
    }
    let mut loads = PoolLoads::new(ledger, table);
    let mut waits: IndexMap<(&str, u64), bool> = IndexMap::new();
    let steps_max = (JUDGED_MAX / table.slots().count().max(1)).max(1);
    let mut steps: IndexMap<StepKey, Vec<OverdueRun>> = IndexMap::new();
    for run in overdue {
        steps.entry(run.task.step).or_default().push(run);
    }
    let mut judged_steps = 0;
    for (key, runs) in steps {
        let refuse_all = |obstacle| runs.iter().map(move |run| (*run, obstacle));
        let Some(mut context) = step_context(ledger, input, key, CPU_SHARE_WANTED) else {
            plan.refused.extend(refuse_all(CopyObstacle::Ended));
            continue;
        };
        // Runs keep failing on a worker on probation, so a copy there would not end sooner.
        context.allows_trials = false;
        let competitors = (context.pool, step_priority(ledger, key));
        let pool_waits = waits
            .entry(competitors)
            .or_insert_with(|| has_waiting_steps(ledger, table, input, &starting, competitors));
        let obstacle = if *pool_waits {
            Some(CopyObstacle::StepsWait)
        } else if judged_steps >= steps_max {
            Some(CopyObstacle::LaterCheck)
        } else {
            loads.find_obstacle(&context)
        };
        if let Some(obstacle) = obstacle {
            plan.refused.extend(refuse_all(obstacle));
            continue;
        }
        judged_steps += 1;
        let refused_before = plan.refused.len();
        let mut candidates = CandidateQueue::new(&context, table);
        for run in runs {
            let obstacle = loads.find_obstacle(&context);
            let choice = match obstacle {
                None => choose_copy(ledger, table, input, &context, &mut candidates, run.task),
                Some(obstacle) => Err(obstacle),
            };
            match choice {
                Ok(choice) => {
                    let record = RunRecord::new(choice.run, context.spec);
                    table.reserve(choice.worker, choice.task, &record, context.interference);
                    candidates.push(&context, table, choice.worker);
                    loads.add_copy(&context);
                    plan.choices.push(choice);
                }
                Err(obstacle) => plan.refused.push((run, obstacle)),
            }
        }
        let mut refused = plan.refused[refused_before..].iter();
        let without_worker = refused.find(|(_, obstacle)| *obstacle == CopyObstacle::NoWorker);
        if let Some((run, _)) = without_worker {
            let advice_step = advice_step(ledger, table, context, run.task);
            plan.advice_steps.extend(advice_step);
        }
    }
    plan
}

/// Start of a copy on the best worker, or the reason why there is none.
fn choose_copy<I: PassInput>(
    ledger: &JobLedger,
    table: &CapacityTable,
    input: &I,
    context: &PlacementContext<'_>,
    candidates: &mut CandidateQueue,
    task: TaskKey,
) -> Result<StartChoice, CopyObstacle> {
    let record = ledger.task(task).filter(|_| ledger.may_copy(task));
    let site = FirstSite::find(ledger, table, context, task);
    let (Some(record), Some(site)) = (record, site) else {
        return Err(CopyObstacle::Ended);
    };
    let mut unsuitable = Vec::new();
    let mut chosen = None;
    while let Some(worker) = candidates.pop() {
        if site.allows(ledger, table, worker, task) {
            chosen = Some(worker);
            break;
        }
        unsuitable.push(worker);
    }
    for worker in unsuitable {
        candidates.push(context, table, worker);
    }
    let worker = chosen.ok_or(CopyObstacle::NoWorker)?;
    Ok(StartChoice {
        task,
        run: ledger.latest_run(task).next(),
        worker,
        checkpoint: input
            .checkpoint(task)
            .unwrap_or_else(|| Arc::clone(&record.checkpoint)),
    })
}

/// Request for tickets, if the step needs some, for the workers on which a copy may run.
fn advice_step(
    ledger: &JobLedger,
    table: &CapacityTable,
    mut context: PlacementContext<'_>,
    task: TaskKey,
) -> Option<AdviceStep> {
    let job = ledger.job(context.key.job)?;
    let timing = ledger.catalog().queue(&job.queue)?.usable_advice()?;
    let site = FirstSite::find(ledger, table, &context, task)?;
    context.allowed_workers = None;
    let mut candidates = CandidateQueue::new(&context, table).into_ranking();
    candidates.retain(|worker| site.allows(ledger, table, *worker, task));
    (!candidates.is_empty()).then_some(AdviceStep {
        key: context.key,
        timing,
        candidates,
    })
}

/// Where the first run of a task is: its copy has to be on another VM, and on another rack if the
/// pool has one.
struct FirstSite<'ledger> {
    node: &'ledger str,
    rack: Option<&'ledger Arc<str>>,
    other_rack_exists: bool,
}

impl<'ledger> FirstSite<'ledger> {
    fn find(
        ledger: &'ledger JobLedger,
        table: &CapacityTable,
        context: &PlacementContext<'_>,
        task: TaskKey,
    ) -> Option<Self> {
        let TaskPhase::Assigned(first) = ledger.task(task)?.phase else {
            return None;
        };
        let first = ledger.worker(first)?;
        let rack = first.facts.labels.last();
        let other_rack_exists = table.slots().any(|(_, slot)| {
            let is_usable = slot.capacity.condition.schedulable;
            is_usable && &*slot.facts.pool == context.pool && worker_rack(slot) != rack
        });
        Some(Self {
            node: &first.node,
            rack,
            other_rack_exists,
        })
    }

    fn allows(
        &self,
        ledger: &JobLedger,
        table: &CapacityTable,
        worker: WorkerIndex,
        task: TaskKey,
    ) -> bool {
        let (Some(record), Some(slot)) = (ledger.worker(worker), table.slot(worker)) else {
            return false;
        };
        let is_other_rack = worker_rack(slot) != self.rack;
        *record.node != *self.node
            && !record.runs.contains_key(&task)
            && (is_other_rack || !self.other_rack_exists)
    }
}
