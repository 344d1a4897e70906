//! Runs a scheduling pass: chooses which waiting tasks start on which workers.
//!
//! A pass takes the waiting steps in a given order, places their tasks one by one, and reserves the
//! capacity of each until the table is refreshed. The tasks of a gang are placed all together or not
//! at all.
//!
//! Workers on probation go first to the steps that have waited long, then to those whose runs tell whether
//! the worker is sound; the other steps get them in later rounds.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::candidate_queue::CandidateQueue;
use super::capacity_table::CapacityTable;
use super::capacity_table::WorkerSlot;
use super::interference::InterferenceModel;
use super::order::WaitingStep;
use super::placement::worker_rack;
use super::placement::PlacementContext;
use super::placement::CPU_SHARE_ACCEPTED;
use super::placement::CPU_SHARE_WANTED;
use super::probation::TrialOrder;
use super::refused_demand::RefusedDemands;
use super::slack::RunTimes;
use crate::identity::JobKey;
use crate::identity::RunNumber;
use crate::identity::StepKey;
use crate::identity::TaskKey;
use crate::job::StepKind;
use crate::ledger::JobLedger;
use crate::ledger::JobRecord;
use crate::ledger::RunRecord;
use crate::ledger::StartChoice;
use crate::ledger::StepRecord;
use crate::ledger::TaskPhase;
use crate::ledger::TaskRecord;
use crate::ledger::WorkerIndex;
use crate::queue::AdviceTiming;
use guavavane_model::prelude::BootTime;

/// Most starts of one pass; bounds the size of one command in the log.
const PASS_STARTS_MAX: usize = 256;

/// Time after which a job without runs starts one best-effort task even if it gets no CPU share, on a
/// worker of which half is free.
const IDLE_JOB_WAIT_MAX: Duration = Duration::from_millis(1_500);
/// Time after which it does so on any worker, if half of the pool is free.
const BUSY_WORKER_WAIT_MAX: Duration = Duration::from_millis(2_000);
/// Time after which it does so on any worker, however full the pool is: the tasks that it waits for may
/// never end.
const BUSY_POOL_WAIT_MAX: Duration = Duration::from_millis(30_000);

/// Inputs of a scheduling pass besides the ledger.
pub trait PassInput {
    /// Latest checkpoint that a worker reported for a task; if there is none, the ledger's
    /// checkpoint is used.
    fn checkpoint(&self, task: TaskKey) -> Option<Arc<str>>;

    /// Run times learned by queue.
    fn run_times(&self) -> &RunTimes;

    /// Interference model.
    fn interference(&self) -> &InterferenceModel;

    /// Time of the pass on the leader's clock.
    fn now(&self) -> BootTime;

    /// The leader's time of day in milliseconds since 1970.
    fn time_of_day_ms(&self) -> u64;

    /// Workers for which a step holds a valid ticket of the advice service.
    fn allowed_workers(&self, step: StepKey) -> IndexSet<WorkerIndex>;

    /// Whether the latest runs of a job have failed, so that it may fail everywhere.
    fn is_failing(&self, job: JobKey) -> bool;

    /// Time for which a step has had waiting tasks.
    fn waiting_time(&self, step: StepKey) -> Duration;
}

/// Inputs that all steps of a pass share, and the state of the pass.
struct PassScope<'pass, I> {
    ledger: &'pass JobLedger,
    input: &'pass I,
    table: &'pass mut CapacityTable,
    /// Demands that no worker could meet.
    refused: RefusedDemands,
    /// Demands that no worker could meet, with those on probation left out.
    refused_without_trials: RefusedDemands,
    choices: Vec<StartChoice>,
    /// Number of tasks placed by step.
    placed: IndexMap<StepKey, usize>,
}

impl<'pass, I: PassInput> PassScope<'pass, I> {
    fn new(ledger: &'pass JobLedger, table: &'pass mut CapacityTable, input: &'pass I) -> Self {
        Self {
            ledger,
            input,
            table,
            refused: RefusedDemands::default(),
            refused_without_trials: RefusedDemands::default(),
            choices: Vec::new(),
            placed: IndexMap::new(),
        }
    }

    /// Places a task: reserves the capacity of its run, and prefers its rack for further tasks of a
    /// step that should stay on a single one.
    fn place(&mut self, context: &mut PlacementContext<'_>, choice: StartChoice) {
        let (worker, run) = (choice.worker, RunRecord::new(choice.run, context.spec));
        self.table
            .reserve(worker, choice.task, &run, context.interference);
        if context.spec.single_rack && context.rack.is_none() {
            let slot = self.table.slot(worker);
            context.rack = slot.and_then(worker_rack).cloned();
        }
        *self.placed.entry(context.key).or_insert(0) += 1;
        self.choices.push(choice);
    }

    /// Number of tasks of a step that this pass has placed.
    fn placed(&self, step: StepKey) -> usize {
        self.placed.get(&step).copied().unwrap_or(0)
    }

    /// Whether a step certainly finds no worker.
    fn is_refused(&self, context: &PlacementContext<'_>) -> bool {
        self.refused.cover(context)
            || !context.allows_trials && self.refused_without_trials.cover(context)
    }

    /// Records that no worker is left for a step.
    fn record_refusal(&mut self, context: &PlacementContext<'_>) {
        if context.allows_trials {
            self.refused.record(context);
        } else {
            self.refused_without_trials.record(context);
        }
    }

    /// Order in which a step gets trials; none if its job has ended.
    fn trial_order(&self, step: &WaitingStep) -> Option<TrialOrder> {
        let kind = self.ledger.step_spec(step.key)?.kind;
        let waiting_time = self.input.waiting_time(step.key);
        let failing = self.input.is_failing(step.key.job);
        Some(TrialOrder::new(kind, waiting_time, failing))
    }
}

/// Placement constraints of a step; none if its job has ended.
pub(super) fn step_context<'pass, I: PassInput>(
    ledger: &'pass JobLedger,
    input: &'pass I,
    key: StepKey,
    cpu_share_min: f64,
) -> Option<PlacementContext<'pass>> {
    let job = ledger.job(key.job)?;
    let queue = ledger.catalog().queue(&job.queue);
    let advice = queue.and_then(|queue| queue.advice);
    let spec = ledger.step_spec(key)?;
    let interference = input.interference();
    let best_effort_images = match spec.kind {
        StepKind::LongRunning => interference.best_effort_images(),
        StepKind::Finite => IndexSet::new(),
    };
    Some(PlacementContext {
        key,
        spec,
        pool: queue.map_or(&job.pool, |queue| &queue.pool),
        rack: None,
        interference,
        best_effort_images,
        allowed_workers: advice.map(|_| input.allowed_workers(key)),
        has_usable_advice: advice.is_none_or(|timing| timing.is_usable()),
        cpu_share_min,
        accepts_busy_workers: false,
        allows_trials: true,
        now: input.now(),
    })
}

/// Chooses the starts of one pass, which serves the steps in the given order.
pub fn choose_starts<I: PassInput>(
    ledger: &JobLedger,
    table: &mut CapacityTable,
    input: &I,
    steps: &[WaitingStep],
) -> Vec<StartChoice> {
    let mut scope = PassScope::new(ledger, table, input);
    let has_probation = scope.table.has_probation();
    for step in steps {
        let allows_trials = !has_probation || scope.trial_order(step) == Some(TrialOrder::Overdue);
        place_step(&mut scope, step, allows_trials);
    }
    if has_probation {
        place_later_trials(&mut scope, steps);
    }
    scope.choices
}

/// Places the steps that aren't overdue also on workers on probation.
fn place_later_trials<I: PassInput>(scope: &mut PassScope<'_, I>, steps: &[WaitingStep]) {
    let orders: Vec<Option<TrialOrder>> =
        steps.iter().map(|step| scope.trial_order(step)).collect();
    let later_orders = [
        TrialOrder::Finite,
        TrialOrder::LongRunning,
        TrialOrder::Failing,
    ];
    for order in later_orders {
        let due_steps = steps.iter().zip(&orders);
        for (step, _) in due_steps.filter(|(_, known)| **known == Some(order)) {
            place_step(scope, step, true);
        }
    }
}

/// Returns those tasks of the worker `from` that would fit on other workers now, best-effort tasks
/// with the CPU share `CPU_SHARE_WANTED`, in their order.
pub fn choose_movable_tasks<I: PassInput>(
    ledger: &JobLedger,
    table: &mut CapacityTable,
    input: &I,
    from: WorkerIndex,
    tasks: &[TaskKey],
) -> Vec<TaskKey> {
    let mut movable_tasks = Vec::new();
    for task in tasks {
        let Some(context) = step_context(ledger, input, task.step, CPU_SHARE_WANTED) else {
            continue;
        };
        let mut candidates = CandidateQueue::new(&context, table);
        let best = candidates.pop();
        let worker = match best.filter(|worker| *worker == from) {
            Some(_) => candidates.pop(),
            None => best,
        };
        let Some(worker) = worker else {
            continue;
        };
        let run = RunRecord::new(RunNumber(0), context.spec);
        table.reserve(worker, *task, &run, context.interference);
        movable_tasks.push(*task);
    }
    movable_tasks
}

/// Step whose workers the advice service has to allow, with the workers to ask about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceStep {
    /// Identity of the step.
    pub key: StepKey,
    /// Advice timing of the step's queue.
    pub timing: AdviceTiming,
    /// Feasible workers, the highest score first.
    pub candidates: Vec<WorkerIndex>,
}

/// Returns those of the waiting steps that need tickets, in their order.
pub fn steps_needing_advice<I: PassInput>(
    ledger: &JobLedger,
    table: &CapacityTable,
    input: &I,
    steps: &[WaitingStep],
) -> Vec<AdviceStep> {
    let advice_steps = steps.iter().filter_map(|step| {
        let key = step.key;
        let job = ledger.job(key.job)?;
        let timing = ledger.catalog().queue(&job.queue)?.usable_advice()?;
        let cpu_share_min = cpu_share_min(job, step, input.waiting_time(key));
        let accepted_share = cpu_share_min.min(CPU_SHARE_ACCEPTED);
        let mut context = step_context(ledger, input, key, accepted_share)?;
        // Candidates are all feasible workers, with or without a ticket.
        context.allowed_workers = None;
        context.accepts_busy_workers =
            accepts_busy_workers(table, &context, input.waiting_time(key));
        Some(AdviceStep {
            key,
            timing,
            candidates: CandidateQueue::new(&context, table).into_ranking(),
        })
    });
    advice_steps.collect()
}

/// Places the waiting tasks of one step that aren't placed yet, as far as there are feasible workers.
fn place_step<I: PassInput>(
    scope: &mut PassScope<'_, I>,
    waiting: &WaitingStep,
    allows_trials: bool,
) {
    let (key, input, ledger) = (waiting.key, scope.input, scope.ledger);
    if scope.choices.len() >= PASS_STARTS_MAX {
        return;
    }
    let (Some(record), Some(job)) = (ledger.step(key), ledger.job(key.job)) else {
        return;
    };
    let cpu_share_min = cpu_share_min(job, waiting, input.waiting_time(key));
    let Some(mut context) = step_context(ledger, input, key, cpu_share_min) else {
        return;
    };
    context.allows_trials = allows_trials;
    context.accepts_busy_workers =
        accepts_busy_workers(scope.table, &context, input.waiting_time(key));
    let placed = scope.placed(key);
    if placed > 0 {
        context.cpu_share_min = context.cpu_share_min.max(CPU_SHARE_ACCEPTED);
    }
    if scope.is_refused(&context) {
        return;
    }
    if context.spec.gang {
        return place_gang(scope, &mut context, record);
    }
    let mut candidates = CandidateQueue::new(&context, scope.table);
    let tasks = record.tasks.iter().enumerate();
    let waiting_tasks = tasks.filter(|(_, task)| task.phase == TaskPhase::Waiting);
    for (index, task) in waiting_tasks.skip(placed) {
        if scope.choices.len() >= PASS_STARTS_MAX {
            return;
        }
        let Some(worker) = candidates.pop() else {
            return scope.record_refusal(&context);
        };
        let task_key = key.task(u32::try_from(index).expect("the number of tasks is bounded"));
        let choice = start_choice(task_key, task, worker, input);
        let had_rack = context.rack.is_some();
        scope.place(&mut context, choice);
        let requires_less = context.cpu_share_min < CPU_SHARE_ACCEPTED;
        context.cpu_share_min = context.cpu_share_min.max(CPU_SHARE_ACCEPTED);
        if requires_less || had_rack != context.rack.is_some() {
            candidates = CandidateQueue::new(&context, scope.table);
        } else {
            candidates.push(&context, scope.table, worker);
        }
    }
}

/// CPU share, from 0 to 1, that a best-effort task of a step requires; it falls as the step
/// waits. A step that still finds no worker goes on waiting.
fn cpu_share_min(job: &JobRecord, step: &WaitingStep, waiting_time: Duration) -> f64 {
    if waiting_time >= IDLE_JOB_WAIT_MAX && !job.has_runs() {
        0.0
    } else if waiting_time >= step.wanted_share_wait {
        CPU_SHARE_ACCEPTED
    } else {
        CPU_SHARE_WANTED
    }
}

/// Whether a best-effort step that requires no CPU share any more may start on workers of which more than
/// half is reserved.
fn accepts_busy_workers(
    table: &CapacityTable,
    context: &PlacementContext<'_>,
    waiting_time: Duration,
) -> bool {
    context.spec.best_effort
        && context.cpu_share_min <= 0.0
        && waiting_time >= BUSY_WORKER_WAIT_MAX
        && (waiting_time >= BUSY_POOL_WAIT_MAX || table.is_pool_half_free(context.pool))
}

fn start_choice<I: PassInput>(
    key: TaskKey,
    task: &TaskRecord,
    worker: WorkerIndex,
    input: &I,
) -> StartChoice {
    StartChoice {
        task: key,
        run: task.run.next(),
        worker,
        checkpoint: input
            .checkpoint(key)
            .unwrap_or_else(|| Arc::clone(&task.checkpoint)),
    }
}

/// Places all members of a gang, or none.
fn place_gang<I: PassInput>(
    scope: &mut PassScope<'_, I>,
    context: &mut PlacementContext<'_>,
    record: &StepRecord,
) {
    let is_waiting = |task: &TaskRecord| task.phase == TaskPhase::Waiting;
    if scope.placed(context.key) > 0 || !record.tasks.iter().all(is_waiting) {
        return;
    }
    let runs = record.tasks.iter().map(|task| task.run);
    let run = runs.max().unwrap_or_default().next();
    let checkpoint = gang_checkpoint(context.key, record, scope.input);
    let placed_before = scope.choices.len();
    let mut slots_before: IndexMap<WorkerIndex, WorkerSlot> = IndexMap::new();
    let mut candidates = CandidateQueue::new(context, scope.table);
    for index in 0..record.tasks.len() {
        let Some(worker) = candidates.pop() else {
            scope.choices.truncate(placed_before);
            scope.placed.swap_remove(&context.key);
            return scope.table.restore(slots_before);
        };
        let slot_before = scope.table.slot(worker);
        if let (false, Some(slot)) = (slots_before.contains_key(&worker), slot_before) {
            slots_before.insert(worker, slot.clone());
        }
        let task = context
            .key
            .task(u32::try_from(index).expect("the number of tasks is bounded"));
        let choice = StartChoice {
            task,
            run,
            worker,
            checkpoint: Arc::clone(&checkpoint),
        };
        let had_rack = context.rack.is_some();
        scope.place(context, choice);
        if had_rack != context.rack.is_some() {
            candidates = CandidateQueue::new(context, scope.table);
        } else {
            candidates.push(context, scope.table, worker);
        }
    }
}

/// Checkpoint that all members resume from; the checkpoint of any member is valid for all.
fn gang_checkpoint<I: PassInput>(key: StepKey, record: &StepRecord, input: &I) -> Arc<str> {
    let members = record.tasks.iter().enumerate();
    let checkpoints = members.map(|(index, task)| {
        let task_key = key.task(u32::try_from(index).expect("the number of tasks is bounded"));
        input
            .checkpoint(task_key)
            .unwrap_or_else(|| Arc::clone(&task.checkpoint))
    });
    checkpoints.max().unwrap_or_else(|| Arc::from(""))
}
