//! One round of placement: which waiting tasks start where.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::order::WaitingStep;
use super::place::pick_worker;
use super::place::rack_label;
use super::place::rank_workers;
use super::place::PlaceContext;
use super::place::PACE_BORNE;
use super::place::PACE_WANTED;
use super::press::PressTable;
use super::room::WorkerRoom;
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

/// Most starts of one round: bounds the size of one command in the log.
const ROUND_STARTS_MAX: usize = 256;

/// Time after which a job of which nothing runs starts one filling task, however slowly.
const IDLE_WAIT: Duration = Duration::from_millis(1_500);

/// What a round needs besides the ledger.
pub trait RoundInput {
    /// Latest progress that a worker reported for a task; the ledger's if there is none.
    fn saved(&self, task: TaskKey) -> Option<Arc<str>>;

    /// Run times that were seen.
    fn run_times(&self) -> &RunTimes;

    /// What is known of images that slow each other down.
    fn press(&self) -> &PressTable;

    /// The leader's time of day in milliseconds since 1970.
    fn time_of_day_ms(&self) -> u64;

    /// Workers that another service allows for a step.
    fn advised(&self, step: StepKey) -> IndexSet<WorkerIndex>;

    /// How long a step has had waiting tasks.
    fn waited(&self, step: StepKey) -> Duration;
}

/// What all steps of a round share.
struct RoundScope<'round, I> {
    ledger: &'round JobLedger,
    input: &'round I,
    filling_images: IndexSet<&'round Arc<str>>,
}

impl<'round, I: RoundInput> RoundScope<'round, I> {
    fn new(ledger: &'round JobLedger, input: &'round I) -> Self {
        Self {
            ledger,
            input,
            filling_images: input.press().filling_images(),
        }
    }

    /// Where the tasks of a step may run; none if its job has ended.
    fn context(&self, key: StepKey, least_pace: f64) -> Option<PlaceContext<'_>> {
        let job = self.ledger.job(key.job)?;
        let queue = self.ledger.catalog().queue(&job.queue);
        let advised = queue.filter(|queue| queue.advice.is_some());
        Some(PlaceContext {
            ledger: self.ledger,
            key,
            spec: self.ledger.step_spec(key)?,
            pool: queue.map_or(&job.pool, |queue| &queue.pool),
            rack: None,
            press: self.input.press(),
            filling_images: &self.filling_images,
            advised: advised.map(|_| self.input.advised(key)),
            least_pace,
        })
    }
}

/// Chooses the starts of one round, the steps in the given order.
pub fn choose_in_order<I: RoundInput>(
    ledger: &JobLedger,
    mut rooms: IndexMap<WorkerIndex, WorkerRoom>,
    input: &I,
    steps: &[WaitingStep],
) -> Vec<StartChoice> {
    let scope = RoundScope::new(ledger, input);
    let mut choices = Vec::new();
    for waiting in steps {
        if choices.len() >= ROUND_STARTS_MAX {
            break;
        }
        place_step(&scope, waiting, &mut rooms, &mut choices);
    }
    choices
}

/// Which of these tasks another worker has room for, in their order.
pub fn choose_moves<I: RoundInput>(
    ledger: &JobLedger,
    mut rooms: IndexMap<WorkerIndex, WorkerRoom>,
    input: &I,
    from: WorkerIndex,
    tasks: &[TaskKey],
) -> Vec<TaskKey> {
    rooms.shift_remove(&from);
    let scope = RoundScope::new(ledger, input);
    let mut movable = Vec::new();
    for task in tasks {
        let Some(context) = scope.context(task.step, PACE_WANTED) else {
            continue;
        };
        let Some(worker) = pick_worker(&context, &rooms) else {
            continue;
        };
        if let Some(room) = rooms.get_mut(&worker) {
            room.take(*task, &RunRecord::new(RunNumber(0), context.spec));
        }
        movable.push(*task);
    }
    movable
}

/// A step whose workers another service has to allow, and those with room for its tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdvisedStep {
    /// The step.
    pub key: StepKey,
    /// How its queue is advised.
    pub timing: AdviceTiming,
    /// Workers with room, the best first.
    pub candidates: Vec<WorkerIndex>,
}

/// Those of the waiting steps whose workers another service has to allow, in their order.
pub fn advised_steps<I: RoundInput>(
    ledger: &JobLedger,
    rooms: &IndexMap<WorkerIndex, WorkerRoom>,
    input: &I,
    steps: &[WaitingStep],
) -> Vec<AdvisedStep> {
    let scope = RoundScope::new(ledger, input);
    let advised = steps.iter().filter_map(|waiting| {
        let key = waiting.key;
        let queue = ledger.catalog().queue(&ledger.job(key.job)?.queue)?;
        let timing = queue.advice?;
        let mut context = scope.context(key, PACE_BORNE)?;
        // All that could run it, allowed or not.
        context.advised = None;
        Some(AdvisedStep {
            key,
            timing,
            candidates: rank_workers(&context, rooms),
        })
    });
    advised.collect()
}

fn place_step<I: RoundInput>(
    scope: &RoundScope<'_, I>,
    waiting: &WaitingStep,
    rooms: &mut IndexMap<WorkerIndex, WorkerRoom>,
    choices: &mut Vec<StartChoice>,
) {
    let (key, input) = (waiting.key, scope.input);
    let (Some(step), Some(job)) = (scope.ledger.step(key), scope.ledger.job(key.job)) else {
        return;
    };
    let least_pace = least_pace(job, waiting, input.waited(key));
    let Some(mut context) = scope.context(key, least_pace) else {
        return;
    };
    if context.spec.gang {
        return place_gang(&mut context, step, rooms, input, choices);
    }
    for (index, task) in step.tasks.iter().enumerate() {
        if task.phase != TaskPhase::Waiting {
            continue;
        }
        if choices.len() >= ROUND_STARTS_MAX {
            return;
        }
        let Some(worker) = pick_worker(&context, rooms) else {
            return;
        };
        let task_key = key.task(u32::try_from(index).expect("the number of tasks is bounded"));
        let choice = start_choice(task_key, task, worker, input);
        if let Some(room) = rooms.get_mut(&worker) {
            room.take(task_key, &RunRecord::new(choice.run, context.spec));
        }
        if context.spec.single_rack && context.rack.is_none() {
            context.rack = rack_label(scope.ledger, worker);
        }
        choices.push(choice);
        context.least_pace = context.least_pace.max(PACE_BORNE);
    }
}

/// Pace that serving tasks have to leave to a filling task of a step.
fn least_pace(job: &JobRecord, waiting: &WaitingStep, waited: Duration) -> f64 {
    if waited >= IDLE_WAIT && !job.has_runs() {
        0.0
    } else if waited >= waiting.patience {
        PACE_BORNE
    } else {
        PACE_WANTED
    }
}

fn start_choice<I: RoundInput>(
    key: TaskKey,
    task: &TaskRecord,
    worker: WorkerIndex,
    input: &I,
) -> StartChoice {
    StartChoice {
        task: key,
        run: task.run.next(),
        worker,
        saved: input.saved(key).unwrap_or_else(|| Arc::clone(&task.saved)),
    }
}

/// Starts all members of a gang in one round, or none.
fn place_gang<I: RoundInput>(
    context: &mut PlaceContext<'_>,
    step: &StepRecord,
    rooms: &mut IndexMap<WorkerIndex, WorkerRoom>,
    input: &I,
    choices: &mut Vec<StartChoice>,
) {
    if step
        .tasks
        .iter()
        .any(|task| task.phase != TaskPhase::Waiting)
    {
        return;
    }
    let run = step
        .tasks
        .iter()
        .map(|task| task.run)
        .max()
        .unwrap_or_default()
        .next();
    let saved = gang_progress(context.key, step, input);
    let mut trial = rooms.clone();
    let mut members = Vec::with_capacity(step.tasks.len());
    for index in 0..step.tasks.len() {
        let Some(worker) = pick_worker(context, &trial) else {
            return;
        };
        let task = context
            .key
            .task(u32::try_from(index).expect("the number of tasks is bounded"));
        if let Some(room) = trial.get_mut(&worker) {
            room.take(task, &RunRecord::new(run, context.spec));
        }
        if context.spec.single_rack && context.rack.is_none() {
            context.rack = rack_label(context.ledger, worker);
        }
        members.push(StartChoice {
            task,
            run,
            worker,
            saved: Arc::clone(&saved),
        });
    }
    *rooms = trial;
    choices.extend(members);
}

/// Progress that all members resume from: that of any member holds for all.
fn gang_progress<I: RoundInput>(key: StepKey, step: &StepRecord, input: &I) -> Arc<str> {
    let members = step.tasks.iter().enumerate();
    let progress = members.map(|(index, task)| {
        let task_key = key.task(u32::try_from(index).expect("the number of tasks is bounded"));
        input
            .saved(task_key)
            .unwrap_or_else(|| Arc::clone(&task.saved))
    });
    progress.max().unwrap_or_else(|| Arc::from(""))
}
