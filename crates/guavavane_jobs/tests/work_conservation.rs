//! A scheduling pass leaves no task waiting that would still fit.
//!
//! The test judges the waiting tasks against the capacity that a pass has left, by the public state
//! only: resources, pool, label and bound per worker.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::support::apply;
use crate::support::job_with_steps;
use crate::support::put_catalog;
use crate::support::random_commands::all_runs;
use crate::support::random_commands::random_completion;
use crate::support::raw_catalog;
use crate::support::raw_queue;
use crate::support::raw_step;
use crate::support::replay::ReplayView;
use guavavane_jobs::ledger::RunRecord;
use guavavane_jobs::ledger::TaskPhase;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::capacity::WorkerCapacity;
use guavavane_jobs::plan::capacity::WorkerCondition;
use guavavane_jobs::plan::capacity_table::CapacityTable;
use guavavane_jobs::plan::order::waiting_steps;
use guavavane_jobs::plan::pass::choose_starts;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobSpec;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::LedgerOutcome;
use guavavane_jobs::prelude::RawPool;
use guavavane_jobs::prelude::RawStep;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::StepKey;
use guavavane_jobs::prelude::StepSpec;
use guavavane_jobs::prelude::WorkerFacts;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::ResourceVector;
use guavavane_testing::for_each_seed;

/// Number of random cells, one for each seed.
const CELLS: u64 = 200;
/// Number of passes over each cell.
const PASSES: usize = 25;
/// Most starts of one pass.
const PASS_STARTS_MAX: usize = 256;
/// Time between two passes, in milliseconds.
const PASS_INTERVAL_MS: u64 = 400;
/// Names of the queues; each has a pool of the same name.
const QUEUES: [&str; 2] = ["near", "far"];

fn ledger_with_queues() -> JobLedger {
    let mut raw = raw_catalog(1);
    for name in QUEUES {
        let mut queue = raw_queue(name);
        queue.pool = name.to_owned();
        raw.queues.push(queue);
        raw.pools.push(RawPool {
            name: name.to_owned(),
            guarded: true,
            standby: false,
        });
    }
    let mut ledger = JobLedger::default();
    put_catalog(&mut ledger, raw);
    ledger
}

fn add_random_worker(ledger: &mut JobLedger, random: &mut ChaCha8Rng, number: u32) {
    let cores = random.random_range(1..=16);
    let label = if random.random_bool(0.5) { "a" } else { "b" };
    let data_centre = if random.random_bool(0.8) {
        "caxias"
    } else {
        "bento"
    };
    let command = LedgerCommand::AddWorker {
        key: WorkerKey {
            name: Arc::from(format!("worker-{number}")),
            started_ms: 1,
        },
        node: Arc::from(format!("vm-{number}")),
        facts: WorkerFacts {
            pool: Arc::from(QUEUES[random.random_range(0..QUEUES.len())]),
            data_centre: Arc::from(data_centre),
            capacity: ResourceVector::new(cores * 1_000, random.random_range(1..=64) * 1_000, 0),
            labels: vec![Arc::from(label), Arc::from(format!("rack-{}", number % 3))],
        },
    };
    apply(ledger, command);
}

fn random_step(random: &mut ChaCha8Rng) -> RawStep {
    let tasks = match random.random_range(0..20) {
        0 => random.random_range(100..400),
        1..10 => 1,
        _ => random.random_range(2..12),
    };
    let mut step = raw_step(tasks);
    step.demand = ResourceVector::new(
        random.random_range(0..12) * 500,
        random.random_range(0..16) * 1_000,
        0,
    );
    step.gang = random.random_bool(0.25);
    step.single_rack = random.random_bool(0.3);
    if random.random_bool(0.3) {
        step.required_label = ["a", "b", "c"][random.random_range(0..3)].to_owned();
    }
    if random.random_bool(0.2) {
        step.data_rack = format!("rack-{}", random.random_range(0..4));
    }
    if random.random_bool(0.3) {
        step.per_worker_max = random.random_range(1..4);
    }
    step.image = format!("image-{}", random.random_range(0..3));
    match random.random_range(0..4) {
        0 => {
            step.long_running = true;
            step.latency_target_ms = random.random_range(0..2) * 100;
        }
        1 => step.best_effort = true,
        _ => {}
    }
    step
}

fn random_spec(random: &mut ChaCha8Rng) -> JobSpec {
    let mut steps = Vec::new();
    for number in 0..random.random_range(1..4) {
        let mut step = random_step(random);
        if number > 0 && random.random_bool(0.5) {
            step.after = vec![random.random_range(0..number)];
        }
        steps.push(step);
    }
    job_with_steps(steps)
}

/// Submits, cancels or ends work, adds or loses a worker, or changes what the leader knows of one.
fn change_cell(
    ledger: &mut JobLedger,
    view: &mut ReplayView,
    table: &mut CapacityTable,
    random: &mut ChaCha8Rng,
    last_key: &mut u64,
) {
    *last_key += 1;
    let workers: Vec<WorkerIndex> = ledger.workers().map(|(index, _)| index).collect();
    let worker = workers.get(random.random_range(0..workers.len().max(1)));
    match random.random_range(0..24) {
        0..6 => {
            let command = LedgerCommand::Submit {
                job: JobKey(*last_key),
                queue: Arc::from(QUEUES[random.random_range(0..QUEUES.len())]),
                spec: Arc::new(random_spec(random)),
                accepted_ms: view.now_ms,
            };
            apply(ledger, command);
        }
        6 => add_random_worker(ledger, random, *last_key as u32),
        7 => {
            let job = JobKey(random.random_range(1..=*last_key));
            apply(ledger, LedgerCommand::Cancel { job });
        }
        8 => {
            let excluded = random.random_bool(0.5);
            let data_centre = Arc::from("bento");
            let command = LedgerCommand::SetExcluded {
                data_centre,
                excluded,
            };
            apply(ledger, command);
        }
        9 => {
            if let Some(worker) = worker.copied() {
                let ended = random.random_bool(0.5);
                apply(ledger, LedgerCommand::LoseWorker { worker, ended });
            }
        }
        10 | 11 => {
            if let Some(worker) = worker.copied() {
                let condition = view.conditions.entry(worker).or_default();
                condition.schedulable = !condition.schedulable;
                table.mark_changed(worker);
            }
        }
        12 => {
            let runs = all_runs(ledger);
            if let Some((worker, task, run)) = runs.get(random.random_range(0..runs.len().max(1))) {
                let (worker, task, run) = (*worker, *task, *run);
                apply(ledger, LedgerCommand::Withdraw { worker, task, run });
            }
        }
        _ => {
            if let Some(command) = random_completion(ledger, random) {
                apply(ledger, command);
            }
        }
    }
    for (index, _) in ledger.workers() {
        view.conditions.entry(index).or_insert_with(|| {
            table.mark_changed(index);
            schedulable()
        });
    }
}

fn schedulable() -> WorkerCondition {
    WorkerCondition {
        schedulable: true,
        ..WorkerCondition::default()
    }
}

/// Stops the runs that are no longer desired, as their agents do.
fn stop_undesired_runs(ledger: &mut JobLedger) {
    for (worker, task, run) in all_runs(ledger) {
        if !ledger.is_desired(task, run, worker) {
            apply(ledger, LedgerCommand::Withdraw { worker, task, run });
        }
    }
}

/// Whether a worker with this capacity certainly fits one more task of a step. A best-effort task
/// certainly fits only beside none that shares the processor with it.
fn fits(
    ledger: &JobLedger,
    key: StepKey,
    spec: &StepSpec,
    worker: WorkerIndex,
    capacity: &WorkerCapacity,
) -> bool {
    let facts = &ledger.worker(worker).unwrap().facts;
    let queue = &ledger.job(key.job).unwrap().queue;
    let label = spec.required_label.as_ref();
    let is_shared = capacity.best_effort_tasks > 0 || capacity.long_running_tasks > 0;
    capacity.condition.schedulable
        && !ledger.is_excluded(&facts.data_centre)
        && facts.pool == ledger.catalog().queue(queue).unwrap().pool
        && label.is_none_or(|label| facts.has_label(label))
        && spec
            .per_worker_max
            .is_none_or(|maximum| capacity.run_count(key) < maximum)
        && capacity.fits(&spec.reserved())
        && !(spec.best_effort && is_shared)
}

/// Number of further tasks of a step that certainly fit, at most `tasks`.
fn fitting_tasks(ledger: &JobLedger, view: &ReplayView, key: StepKey, tasks: usize) -> usize {
    let spec = ledger.step_spec(key).unwrap();
    let run = RunRecord::new(RunNumber(1), spec);
    let mut fitting = 0;
    for (worker, record) in ledger.workers() {
        // Built from the runs of the ledger, so that no reservation of the pass is left in it.
        let mut capacity = WorkerCapacity::new(record, view.conditions[&worker].clone());
        while fitting < tasks && fits(ledger, key, spec, worker, &capacity) {
            capacity.reserve(key.task(0), &run);
            fitting += 1;
        }
    }
    fitting
}

/// Checks that no step is left with tasks that the pass could have started.
fn check_pass(ledger: &JobLedger, view: &ReplayView) {
    for (key, _) in ledger.ready_steps() {
        let step = ledger.step(key).unwrap();
        let waiting = step.tasks.iter();
        let waiting = waiting.filter(|task| task.phase == TaskPhase::Waiting);
        let waiting = waiting.count();
        let is_gang = ledger.step_spec(key).unwrap().gang;
        let needed = if is_gang { step.tasks.len() } else { 1 };
        if waiting < needed {
            continue;
        }
        let fitting = fitting_tasks(ledger, view, key, needed);
        assert!(
            fitting < needed,
            "{waiting} tasks of {key} wait, and {fitting} fit (gang: {is_gang})"
        );
    }
}

// Guards against a cell that has free room for waiting tasks and starts none of them.
#[test]
fn no_task_waits_for_which_a_pass_has_left_room() {
    for_each_seed(CELLS, |_, random| {
        let mut ledger = ledger_with_queues();
        let mut view = ReplayView::default();
        let mut table = CapacityTable::default();
        let mut last_key = 0;
        for number in 1_000_000..1_000_000 + random.random_range(1..20) {
            add_random_worker(&mut ledger, random, number);
        }
        for _ in 0..PASSES {
            for _ in 0..random.random_range(1..6) {
                change_cell(&mut ledger, &mut view, &mut table, random, &mut last_key);
            }
            stop_undesired_runs(&mut ledger);
            view.now_ms += PASS_INTERVAL_MS;
            let conditions = view.conditions.clone();
            table.refresh(&ledger, &view.interference, |index| {
                conditions.get(&index).cloned().unwrap_or_default()
            });
            let steps = waiting_steps(&ledger, &view.run_times, view.now_ms);
            let choices = choose_starts(&ledger, &mut table, &view, &steps);
            let is_limited = choices.len() >= PASS_STARTS_MAX;
            let LedgerOutcome::Started(started) =
                apply(&mut ledger, LedgerCommand::Start { choices })
            else {
                panic!("the reply to a start lists the accepted starts");
            };
            assert!(started.iter().all(|started| *started), "{started:?}");
            if !is_limited {
                check_pass(&ledger, &view);
            }
        }
    });
}
