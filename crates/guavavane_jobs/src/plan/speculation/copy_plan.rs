//! Places the copies of overdue runs, within the budget of their pools.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::watch::OverdueRun;
use crate::identity::StepKey;
use crate::identity::TaskKey;
use crate::ledger::JobLedger;
use crate::ledger::RunRecord;
use crate::ledger::StartChoice;
use crate::ledger::TaskPhase;
use crate::ledger::WorkerIndex;
use crate::plan::candidate_queue::CandidateQueue;
use crate::plan::capacity_table::CapacityTable;
use crate::plan::capacity_table::WorkerSlot;
use crate::plan::pass::step_context;
use crate::plan::pass::AdviceStep;
use crate::plan::pass::PassInput;
use crate::plan::placement::worker_rack;
use crate::plan::placement::PlacementContext;
use crate::plan::placement::CPU_SHARE_WANTED;

/// Most judgements of a worker at a time, unless one step needs more: each step is judged on all
/// workers.
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
