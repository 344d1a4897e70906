//! Jobs, catalogs and workers with numbers up to the largest that their types hold.
//!
//! Guards against sums that overflow in a scheduling pass: a build with overflow checks panics, so
//! that the leader's loop ends, and one without goes on with a number that is far too small.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::support::add_worker;
use crate::support::add_worker_with;
use crate::support::apply;
use crate::support::job_with_steps;
use crate::support::ledger_with_queue;
use crate::support::put_catalog;
use crate::support::raw_catalog;
use crate::support::raw_step;
use crate::support::replay::Replay;
use crate::support::submit;
use crate::support::submit_at;
use guavavane_jobs::plan::capacity_table::CapacityTable;
use guavavane_jobs::plan::order::step_rank;
use guavavane_jobs::plan::order::waiting_steps;
use guavavane_jobs::plan::pass::steps_needing_advice;
use guavavane_jobs::plan::probation::WorkerProbation;
use guavavane_jobs::plan::slack::RunTimes;
use guavavane_jobs::prelude::AdviceTiming;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobSpec;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::RawCatalog;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RawStep;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::StartChoice;
use guavavane_jobs::prelude::StepKey;
use guavavane_model::prelude::ResourceVector;
use guavavane_testing::for_each_seed;

/// Number of random cells, one for each seed.
const CELLS: u64 = 300;
/// Number of scheduling passes of each cell.
const PASSES: u64 = 6;
/// Time between two scheduling passes.
const PASS_INTERVAL_MS: u64 = 2_000;
/// Time of day at which each cell starts.
const START_MS: u64 = 1_000_000;

fn random_number(random: &mut ChaCha8Rng) -> u64 {
    match random.random_range(0..8) {
        0 => 0,
        1 => u64::MAX,
        2 => u64::MAX / 2 + 1,
        3 => u64::MAX / 100,
        4 => i64::MAX as u64 / 4,
        5 => u64::from(u32::MAX) + 1,
        6 => random.random(),
        _ => random.random_range(1..20_000),
    }
}

fn random_demand(random: &mut ChaCha8Rng) -> ResourceVector {
    ResourceVector::new(random_number(random), random_number(random), 0)
}

fn random_step(number: u64, random: &mut ChaCha8Rng) -> RawStep {
    let long_running = random.random_bool(0.3);
    RawStep {
        tasks: random.random_range(1..4),
        demand: random_demand(random),
        estimate_ms: random_number(random),
        after: (0..number).filter(|_| random.random_bool(0.3)).collect(),
        gang: random.random_bool(0.2),
        single_rack: random.random_bool(0.2),
        per_worker_max: random_number(random),
        long_running,
        image: format!("image-{}", random.random_range(0..3)),
        latency_target_ms: random_number(random),
        best_effort: !long_running && random.random_bool(0.5),
        unavailable_max: Some(random_number(random)),
        ..RawStep::default()
    }
}

fn random_job(random: &mut ChaCha8Rng) -> JobSpec {
    let steps = random.random_range(1..4);
    let raw = RawJob {
        payload: "payload".to_owned(),
        steps: (0..steps).map(|step| random_step(step, random)).collect(),
        ..RawJob::default()
    };
    JobSpec::try_from(raw).unwrap()
}

fn random_catalog(random: &mut ChaCha8Rng) -> RawCatalog {
    let mut catalog = raw_catalog(1);
    let queue = &mut catalog.queues[0];
    queue.latency_target_ms = random_number(random);
    queue.priority = random_number(random);
    queue.attempts_max = random_number(random);
    queue.objective_factor = [0.0, -1.0, 1.5, 1e19, f64::MAX][random.random_range(0..5)];
    queue.advice = random.random_bool(0.2).then(|| AdviceTiming {
        decision_ms: random_number(random),
        interval_ms: random_number(random),
        validity_ms: random_number(random),
    });
    catalog
}

fn random_cell(random: &mut ChaCha8Rng) -> Replay {
    let mut ledger = JobLedger::default();
    put_catalog(&mut ledger, random_catalog(random));
    for number in 0..random.random_range(1..4) {
        add_worker_with(&mut ledger, number, random_demand(random));
    }
    for key in 0..random.random_range(1..6) {
        submit_at(&mut ledger, key, random_job(random), random_number(random));
    }
    let mut cell = Replay::new(ledger);
    cell.view.now_ms = START_MS;
    for condition in cell.view.conditions.values_mut() {
        condition.probation = WorkerProbation::after_failures(random_number(random) as u32);
        condition
            .utilisations
            .insert(Arc::from("image-0"), random.random());
    }
    cell
}

#[test]
fn scheduling_passes_bear_the_largest_numbers() {
    for_each_seed(CELLS, |_, random| {
        let mut cell = random_cell(random);
        for _ in 0..PASSES {
            cell.run_pass(
                |ledger, view| waiting_steps(ledger, &view.run_times, view.now_ms),
                |_| 0.0,
            );
            for run in std::mem::take(&mut cell.runs) {
                if random.random_bool(0.3) {
                    cell.runs.push(run);
                } else if random.random_bool(0.5) {
                    cell.end_run(&run, RunOutcome::Failed);
                } else {
                    cell.end_run(&run, RunOutcome::Done);
                }
            }
            let view = &cell.view;
            let table = CapacityTable::new(&cell.ledger, &view.interference, |index| {
                view.conditions[&index].clone()
            });
            let steps = waiting_steps(&cell.ledger, &view.run_times, view.now_ms);
            let advice_steps = steps_needing_advice(&cell.ledger, &table, view, &steps);
            for step in &advice_steps {
                let _ = Duration::from_millis(step.timing.reply_ms(step.candidates.len()));
            }
            for step in &steps {
                step_rank(&cell.ledger, &view.run_times, step.key, view.now_ms).unwrap();
            }
            cell.view.now_ms += PASS_INTERVAL_MS;
        }
    });
}

/// An objective that overflows must not make the deadline the earliest.
#[test]
fn a_job_with_the_largest_estimate_does_not_go_first() {
    let mut ledger = ledger_with_queue();
    add_worker(&mut ledger, 0);
    let mut largest = raw_step(1);
    largest.estimate_ms = u64::MAX;
    let largest = submit(&mut ledger, 1, job_with_steps(vec![largest]));
    let usual = submit(&mut ledger, 2, job_with_steps(vec![raw_step(1)]));
    let steps = waiting_steps(&ledger, &RunTimes::default(), START_MS);
    let order: Vec<_> = steps.iter().map(|step| step.key.job).collect();
    assert_eq!(order, [usual, largest]);
}

/// Best-effort tasks reserve no processor, so nothing bounds the sum of what they could use.
#[test]
fn best_effort_tasks_with_the_largest_demand_do_not_make_a_worker_look_idle() {
    let mut ledger = ledger_with_queue();
    let index = add_worker(&mut ledger, 0);
    let mut largest = raw_step(2);
    largest.best_effort = true;
    largest.demand.cpu_millis = u64::MAX / 2 + 1;
    submit(&mut ledger, 1, job_with_steps(vec![largest]));
    let mut cell = Replay::new(ledger);
    cell.view.now_ms = START_MS;
    let step = StepKey {
        job: JobKey(1),
        occurrence: 0,
        step: 0,
    };
    let choice = |task| StartChoice {
        task: step.task(task),
        run: RunNumber(1),
        worker: index,
        checkpoint: Arc::from(""),
    };
    let choices = vec![choice(0), choice(1)];
    let command = LedgerCommand::Start { choices };
    apply(&mut cell.ledger, command);
    let view = &cell.view;
    let table = CapacityTable::new(&cell.ledger, &view.interference, |index| {
        view.conditions[&index].clone()
    });
    assert!(table.capacity(index).unwrap().idle_cpu_millis() < 0);
}
