//! Runs a scheduling pass: chooses which waiting tasks start on which workers.
//!
//! A pass takes the waiting steps in a given order and places their tasks one by one on a copy of
//! the workers' capacities. The tasks of a gang are placed all together or not at all.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::capacity::WorkerCapacity;
use super::interference::InterferenceModel;
use super::order::WaitingStep;
use super::placement::pick_worker;
use super::placement::rack_label;
use super::placement::rank_workers;
use super::placement::PlacementContext;
use super::placement::CPU_SHARE_ACCEPTED;
use super::placement::CPU_SHARE_WANTED;
use super::slack::RunTimes;
use crate::identity::RunNumber;
use crate::identity::StepKey;
use crate::identity::TaskKey;
use crate::ledger::JobLedger;
use crate::ledger::JobRecord;
use crate::ledger::RunRecord;
use crate::ledger::StartChoice;
use crate::ledger::StepRecord;
use crate::ledger::TaskPhase;
use crate::ledger::TaskRecord;
use crate::ledger::WorkerIndex;
use crate::queue::AdviceTiming;

/// Most starts of one pass; bounds the size of one command in the log.
const PASS_STARTS_MAX: usize = 256;

/// Time after which a job without runs starts one best-effort task even if it gets no CPU share.
const IDLE_JOB_WAIT_MAX: Duration = Duration::from_millis(1_500);

/// Inputs of a scheduling pass besides the ledger.
pub trait PassInput {
    /// Latest checkpoint that a worker reported for a task; if there is none, the ledger's
    /// checkpoint is used.
    fn checkpoint(&self, task: TaskKey) -> Option<Arc<str>>;

    /// Run times learned by queue.
    fn run_times(&self) -> &RunTimes;

    /// Interference model.
    fn interference(&self) -> &InterferenceModel;

    /// The leader's time of day in milliseconds since 1970.
    fn time_of_day_ms(&self) -> u64;

    /// Workers for which a step holds a valid ticket of the advice service.
    fn allowed_workers(&self, step: StepKey) -> IndexSet<WorkerIndex>;

    /// Time for which a step has had waiting tasks.
    fn waiting_time(&self, step: StepKey) -> Duration;
}

/// Inputs that all steps of a pass share.
struct PassScope<'pass, I> {
    ledger: &'pass JobLedger,
    input: &'pass I,
    best_effort_images: IndexSet<&'pass Arc<str>>,
}

impl<'pass, I: PassInput> PassScope<'pass, I> {
    fn new(ledger: &'pass JobLedger, input: &'pass I) -> Self {
        Self {
            ledger,
            input,
            best_effort_images: input.interference().best_effort_images(),
        }
    }

    /// Placement constraints of a step; none if its job has ended.
    fn context(&self, key: StepKey, cpu_share_min: f64) -> Option<PlacementContext<'_>> {
        let job = self.ledger.job(key.job)?;
        let queue = self.ledger.catalog().queue(&job.queue);
        let advice = queue.filter(|queue| queue.advice.is_some());
        Some(PlacementContext {
            ledger: self.ledger,
            key,
            spec: self.ledger.step_spec(key)?,
            pool: queue.map_or(&job.pool, |queue| &queue.pool),
            rack: None,
            interference: self.input.interference(),
            best_effort_images: &self.best_effort_images,
            allowed_workers: advice.map(|_| self.input.allowed_workers(key)),
            cpu_share_min,
        })
    }
}

/// Chooses the starts of one pass, which serves the steps in the given order.
pub fn choose_starts<I: PassInput>(
    ledger: &JobLedger,
    mut capacities: IndexMap<WorkerIndex, WorkerCapacity>,
    input: &I,
    steps: &[WaitingStep],
) -> Vec<StartChoice> {
    let scope = PassScope::new(ledger, input);
    let mut choices = Vec::new();
    for step in steps {
        if choices.len() >= PASS_STARTS_MAX {
            break;
        }
        place_step(&scope, step, &mut capacities, &mut choices);
    }
    choices
}

/// Returns those tasks of the worker `from` that would fit on other workers now, best-effort tasks
/// with the CPU share `CPU_SHARE_WANTED`, in their order.
pub fn choose_movable_tasks<I: PassInput>(
    ledger: &JobLedger,
    mut capacities: IndexMap<WorkerIndex, WorkerCapacity>,
    input: &I,
    from: WorkerIndex,
    tasks: &[TaskKey],
) -> Vec<TaskKey> {
    capacities.shift_remove(&from);
    let scope = PassScope::new(ledger, input);
    let mut movable_tasks = Vec::new();
    for task in tasks {
        let Some(context) = scope.context(task.step, CPU_SHARE_WANTED) else {
            continue;
        };
        let Some(worker) = pick_worker(&context, &capacities) else {
            continue;
        };
        if let Some(capacity) = capacities.get_mut(&worker) {
            capacity.reserve(*task, &RunRecord::new(RunNumber(0), context.spec));
        }
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
    capacities: &IndexMap<WorkerIndex, WorkerCapacity>,
    input: &I,
    steps: &[WaitingStep],
) -> Vec<AdviceStep> {
    let scope = PassScope::new(ledger, input);
    let advice_steps = steps.iter().filter_map(|step| {
        let key = step.key;
        let queue = ledger.catalog().queue(&ledger.job(key.job)?.queue)?;
        let timing = queue.advice?;
        let mut context = scope.context(key, CPU_SHARE_ACCEPTED)?;
        // Candidates are all feasible workers, with or without a ticket.
        context.allowed_workers = None;
        Some(AdviceStep {
            key,
            timing,
            candidates: rank_workers(&context, capacities),
        })
    });
    advice_steps.collect()
}

/// Places the waiting tasks of one step, as far as there are feasible workers.
fn place_step<I: PassInput>(
    scope: &PassScope<'_, I>,
    waiting: &WaitingStep,
    capacities: &mut IndexMap<WorkerIndex, WorkerCapacity>,
    choices: &mut Vec<StartChoice>,
) {
    let (key, input) = (waiting.key, scope.input);
    let (Some(record), Some(job)) = (scope.ledger.step(key), scope.ledger.job(key.job)) else {
        return;
    };
    let cpu_share_min = cpu_share_min(job, waiting, input.waiting_time(key));
    let Some(mut context) = scope.context(key, cpu_share_min) else {
        return;
    };
    if context.spec.gang {
        return place_gang(&mut context, record, capacities, input, choices);
    }
    for (index, task) in record.tasks.iter().enumerate() {
        if task.phase != TaskPhase::Waiting {
            continue;
        }
        if choices.len() >= PASS_STARTS_MAX {
            return;
        }
        let Some(worker) = pick_worker(&context, capacities) else {
            return;
        };
        let task_key = key.task(u32::try_from(index).expect("the number of tasks is bounded"));
        let choice = start_choice(task_key, task, worker, input);
        if let Some(capacity) = capacities.get_mut(&worker) {
            capacity.reserve(task_key, &RunRecord::new(choice.run, context.spec));
        }
        if context.spec.single_rack && context.rack.is_none() {
            context.rack = rack_label(scope.ledger, worker);
        }
        choices.push(choice);
        context.cpu_share_min = context.cpu_share_min.max(CPU_SHARE_ACCEPTED);
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
    context: &mut PlacementContext<'_>,
    record: &StepRecord,
    capacities: &mut IndexMap<WorkerIndex, WorkerCapacity>,
    input: &I,
    choices: &mut Vec<StartChoice>,
) {
    if record
        .tasks
        .iter()
        .any(|task| task.phase != TaskPhase::Waiting)
    {
        return;
    }
    let run = record
        .tasks
        .iter()
        .map(|task| task.run)
        .max()
        .unwrap_or_default()
        .next();
    let checkpoint = gang_checkpoint(context.key, record, input);
    let mut remaining = capacities.clone();
    let mut members = Vec::with_capacity(record.tasks.len());
    for index in 0..record.tasks.len() {
        let Some(worker) = pick_worker(context, &remaining) else {
            return;
        };
        let task = context
            .key
            .task(u32::try_from(index).expect("the number of tasks is bounded"));
        if let Some(capacity) = remaining.get_mut(&worker) {
            capacity.reserve(task, &RunRecord::new(run, context.spec));
        }
        if context.spec.single_rack && context.rack.is_none() {
            context.rack = rack_label(context.ledger, worker);
        }
        members.push(StartChoice {
            task,
            run,
            worker,
            checkpoint: Arc::clone(&checkpoint),
        });
    }
    *capacities = remaining;
    choices.extend(members);
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
