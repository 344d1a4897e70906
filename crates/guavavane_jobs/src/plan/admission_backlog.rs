//! Sums up the waiting work that admission control counts as before a new job.
//!
//! The summary is rebuilt with each scheduling pass, which reads the waiting steps anyway, and
//! extended by each job that is accepted since. Reading it costs as much as there are priorities and
//! sizes of tasks, of which the number is bounded.
//!
//! Only work that certainly delays a new job is counted: finite tasks of the same class that need no
//! more of any resource, so that they fit wherever the new job fits. Gangs and steps with a bound per
//! worker or with tickets may wait while others pass, and a job that fails may end early, so they are
//! left out. The work of each queue counts by the fraction of its jobs that completed lately, because
//! jobs may fail or be cancelled while they wait.

use std::collections::BTreeMap;
use std::sync::Arc;

use indexmap::IndexMap;

use super::order::WaitingStep;
use super::slack::RunTimes;
use crate::job::StepKind;
use crate::job::StepSpec;
use crate::ledger::JobLedger;
use crate::ledger::JobPhase;
use guavavane_model::prelude::ResourceVector;

/// Buckets of each doubling of the distance in time.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// Most sizes of tasks that are told apart in one class and priority; the work of further ones is not
/// counted.
const SIZES_MAX: usize = 64;
/// Number of leading bits that the size of a task keeps.
const SIZE_BITS: u32 = 3;
/// Weight of one job in the moving averages of its queue.
const OUTCOME_RATE: f64 = 0.05;
/// Time after the latest end of a job for which a queue counts as failing. After that it is served like
/// others, so that it does not starve and its jobs may show that they succeed.
const FAILING_MEMORY_MS: u64 = 10_000;
/// Fraction of failed jobs above which a queue yields to others of its priority.
const FAILED_FRACTION_MAX: f64 = 0.5;

/// Work that competes for the same processors.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WorkClass {
    /// Pool whose workers run it.
    pub pool: Arc<str>,
    /// Label that the workers need.
    pub label: Option<Arc<str>>,
    /// Whether it uses only processor time that others leave.
    pub best_effort: bool,
}

impl WorkClass {
    /// Class of a step in a pool.
    pub fn new(pool: &Arc<str>, step: &StepSpec) -> Self {
        Self {
            pool: Arc::clone(pool),
            label: step.required_label.clone(),
            best_effort: step.best_effort,
        }
    }
}

/// Waiting tasks of one step.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingWork {
    /// Class of the tasks.
    pub class: WorkClass,
    /// Priority of the queue; 0 is the highest.
    pub priority: u64,
    /// Resources of one task, of a best-effort one with its processor.
    pub demand: ResourceVector,
    /// Time until which the result is useful, in milliseconds since 1970.
    pub useful_until_ms: u64,
    /// Number of tasks; not whole if only a part of them is expected to be served.
    pub tasks: f64,
    /// Expected run time of one task.
    pub task_ms: f64,
}

/// Sum of waiting tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkSum {
    /// Processor of all tasks, in thousandths of a core.
    pub cpu_millis: f64,
    /// Product of processor and run time of all tasks, in thousandths of a core times milliseconds.
    pub cpu_time: f64,
}

impl WorkSum {
    fn add(&mut self, other: Self) {
        self.cpu_millis += other.cpu_millis;
        self.cpu_time += other.cpu_time;
    }
}

/// Work by the distance of the time until which its result is useful.
type DistanceBuckets = BTreeMap<u16, WorkSum>;

/// Waiting work by class, priority and size of the tasks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BacklogSummary {
    summed_up_ms: u64,
    classes: IndexMap<WorkClass, BTreeMap<u64, IndexMap<ResourceVector, DistanceBuckets>>>,
}

/// Rounds an amount up to its leading bits, so that tasks of about the same size count as equal.
fn rounded(amount: u64) -> u64 {
    let dropped = (u64::BITS - amount.leading_zeros()).saturating_sub(SIZE_BITS);
    let unit = 1_u64 << dropped;
    amount.div_ceil(unit).saturating_mul(unit)
}

fn rounded_size(demand: &ResourceVector) -> ResourceVector {
    ResourceVector {
        cpu_millis: rounded(demand.cpu_millis),
        memory_mib: rounded(demand.memory_mib),
        accelerators: demand.accelerators,
    }
}

impl BacklogSummary {
    /// Creates an empty summary as of a time of day.
    pub fn new(now_ms: u64) -> Self {
        Self {
            summed_up_ms: now_ms,
            classes: IndexMap::new(),
        }
    }

    /// Time of day at which the waiting steps were read.
    pub fn summed_up_ms(&self) -> u64 {
        self.summed_up_ms
    }

    /// Number of the bucket of a time; times that have passed share the first one.
    fn bucket(&self, until_ms: u64) -> u16 {
        let distance_ms = until_ms.saturating_sub(self.summed_up_ms);
        ((distance_ms as f64 + 1.0).log2() * BUCKETS_PER_DOUBLING) as u16
    }

    /// Adds waiting tasks.
    pub fn add(&mut self, work: &WaitingWork) {
        let bucket = self.bucket(work.useful_until_ms);
        let sum = WorkSum {
            cpu_millis: work.demand.cpu_millis as f64 * work.tasks,
            cpu_time: work.demand.cpu_millis as f64 * work.tasks * work.task_ms,
        };
        let priorities = self.classes.entry(work.class.clone()).or_default();
        let sizes = priorities.entry(work.priority).or_default();
        let size = rounded_size(&work.demand);
        if sizes.len() < SIZES_MAX || sizes.contains_key(&size) {
            let buckets = sizes.entry(size).or_default();
            buckets.entry(bucket).or_default().add(sum);
        }
    }

    /// Work that goes before a task of this size: all of higher priorities, and of the same priority
    /// what is useful for a shorter time, or all if no time is given.
    pub fn work_before(
        &self,
        class: &WorkClass,
        priority: u64,
        demand: &ResourceVector,
        useful_until_ms: Option<u64>,
    ) -> WorkSum {
        let mut before = WorkSum::default();
        let limit = useful_until_ms.map_or(u16::MAX, |until_ms| self.bucket(until_ms));
        let size = rounded_size(demand);
        let priorities = self.classes.get(class).into_iter();
        for (other, sizes) in priorities.flat_map(|priorities| priorities.range(..=priority)) {
            let end = if *other < priority { u16::MAX } else { limit };
            let smaller = sizes.iter().filter(|(other, _)| other.fits_within(&size));
            let sums = smaller.flat_map(|(_, buckets)| buckets.range(..end));
            sums.for_each(|(_, sum)| before.add(*sum));
        }
        before
    }
}

/// Fractions of the jobs of one queue that ended in one way lately.
#[derive(Clone, Copy, Debug)]
struct EndFractions {
    completed: f64,
    failed: f64,
    /// Time of day of the latest end.
    ended_ms: u64,
}

/// How the jobs of each queue ended lately.
#[derive(Clone, Debug, Default)]
pub struct QueueOutcomes {
    by_queue: IndexMap<Arc<str>, EndFractions>,
}

impl QueueOutcomes {
    /// Counts a job that has ended.
    pub fn record_end(&mut self, queue: &Arc<str>, phase: JobPhase, now_ms: u64) {
        let fractions = self.by_queue.entry(Arc::clone(queue));
        let fractions = fractions.or_insert(EndFractions {
            completed: 1.0,
            failed: 0.0,
            ended_ms: now_ms,
        });
        fractions.ended_ms = now_ms;
        let update = |fraction: &mut f64, ended_so: bool| {
            *fraction += (f64::from(u8::from(ended_so)) - *fraction) * OUTCOME_RATE;
        };
        update(&mut fractions.completed, phase == JobPhase::Completed);
        update(&mut fractions.failed, phase == JobPhase::Failed);
    }

    /// Fraction of the jobs of a queue that completed; 1 before any has ended.
    pub fn completed_fraction(&self, queue: &str) -> f64 {
        let fractions = self.by_queue.get(queue);
        fractions.map_or(1.0, |fractions| fractions.completed)
    }

    /// Whether most jobs of a queue failed lately; jobs that were cancelled don't count as failed.
    pub fn mostly_fails(&self, queue: &str, now_ms: u64) -> bool {
        let fractions = self.by_queue.get(queue);
        fractions.is_some_and(|fractions| {
            let age_ms = now_ms.saturating_sub(fractions.ended_ms);
            fractions.failed > FAILED_FRACTION_MAX && age_ms < FAILING_MEMORY_MS
        })
    }
}

/// Waiting tasks of a step as far as they certainly delay others; none for those that may not.
pub fn waiting_work(
    ledger: &JobLedger,
    run_times: &RunTimes,
    outcomes: &QueueOutcomes,
    waiting: &WaitingStep,
) -> Option<WaitingWork> {
    let job = ledger.job(waiting.key.job)?;
    let step = ledger.step_spec(waiting.key)?;
    let queue = ledger.catalog().queue(&job.queue)?;
    let may_be_passed = step.gang || step.per_worker_max.is_some() || queue.advice.is_some();
    if step.kind != StepKind::Finite || waiting.useless || may_be_passed {
        return None;
    }
    Some(WaitingWork {
        class: WorkClass::new(&queue.pool, step),
        priority: waiting.priority,
        demand: step.demand,
        useful_until_ms: waiting.useful_until_ms,
        tasks: f64::from(waiting.waiting_tasks) * outcomes.completed_fraction(&job.queue),
        task_ms: run_times.typical_task_ms(&job.queue, step.estimate_ms),
    })
}
