//! Capacities and indexes that are kept up to date, compared with those built anew.
//!
//! Guards against a change of the ledger or of a worker's condition that a scheduling pass does not
//! see, and against reservations of one pass that last into the next.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::cell::Cell;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::support::add_worker;
use crate::support::apply;
use crate::support::job_with_steps;
use crate::support::ledger_with_queue;
use crate::support::random_commands::all_runs;
use crate::support::random_commands::random_command;
use crate::support::raw_step;
use crate::support::replay::ReplayView;
use crate::support::submit;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::capacity::WorkerCondition;
use guavavane_jobs::plan::capacity_table::CapacityTable;
use guavavane_jobs::plan::interference::Estimate;
use guavavane_jobs::plan::interference::PairEstimate;
use guavavane_jobs::plan::order::waiting_steps;
use guavavane_jobs::plan::pass::choose_starts;
use guavavane_jobs::plan::probation::WorkerProbation;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerFacts;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::ResourceVector;
use guavavane_quorum::prelude::StateMachine;
use guavavane_testing::for_each_seed;

/// Number of random sequences, one for each seed.
const SEQUENCES: u64 = 150;
/// Number of commands in each sequence.
const COMMANDS_PER_SEQUENCE: usize = 100;
/// Number of images of each kind.
const IMAGES: u32 = 3;

fn image(kind: &str, number: u32) -> Arc<str> {
    Arc::from(format!("{kind}-{number}"))
}

/// Submits tasks with a latency target, or best-effort tasks.
fn submit_shared(ledger: &mut JobLedger, random: &mut ChaCha8Rng, key: u64) {
    let mut step = raw_step(random.random_range(1..5));
    let number = random.random_range(0..IMAGES);
    if random.random_bool(0.5) {
        step.long_running = true;
        step.latency_target_ms = 100;
        step.image = image("web", number).to_string();
    } else {
        step.best_effort = true;
        step.demand.cpu_millis = random.random_range(500..3_000);
        step.image = image("batch", number).to_string();
    }
    submit(ledger, key, job_with_steps(vec![step]));
}

fn random_condition(random: &mut ChaCha8Rng) -> WorkerCondition {
    let utilisations = (0..IMAGES).map(|number| (image("web", number), random.random()));
    let utilisations: IndexMap<Arc<str>, f64> = utilisations.collect();
    WorkerCondition {
        schedulable: random.random_bool(0.9),
        probation: WorkerProbation::after_failures(random.random_range(0..5)),
        utilisations,
        ..WorkerCondition::default()
    }
}

fn random_estimates(random: &mut ChaCha8Rng) -> Vec<PairEstimate> {
    let pairs = (0..IMAGES).flat_map(|web| (0..IMAGES).map(move |batch| (web, batch)));
    let estimates = pairs.map(|(web, batch)| PairEstimate {
        latency_critical: image("web", web),
        best_effort: image("batch", batch),
        coefficient: Estimate {
            mean: random.random_range(0.0..4.0),
            variance: 0.1,
        },
    });
    estimates.collect()
}

/// One change of the ledger or of a worker's condition.
fn change_cell(
    ledger: &mut JobLedger,
    view: &mut ReplayView,
    table: &mut CapacityTable,
    random: &mut ChaCha8Rng,
    last_key: &mut u64,
) {
    match random.random_range(0..10) {
        0 => {
            *last_key += 1;
            submit_shared(ledger, random, *last_key);
        }
        1 => {
            let excluded = random.random_bool(0.3);
            let data_centre = Arc::from("caxias");
            let command = LedgerCommand::SetExcluded {
                data_centre,
                excluded,
            };
            apply(ledger, command);
        }
        2 => {
            let snapshot = ledger.snapshot();
            ledger.restore(&snapshot).unwrap();
        }
        3 => {
            let workers: Vec<WorkerIndex> = ledger.workers().map(|(index, _)| index).collect();
            if let Some(worker) = workers.get(random.random_range(0..workers.len().max(1))) {
                view.conditions.insert(*worker, random_condition(random));
                table.mark_changed(*worker);
            }
        }
        _ => {
            if let Some(command) = random_command(ledger, random, last_key) {
                apply(ledger, command);
            }
        }
    }
}

#[test]
fn a_table_that_follows_changes_decides_as_one_built_anew() {
    for_each_seed(SEQUENCES, |_, random| {
        let mut ledger = ledger_with_queue();
        let mut view = ReplayView::default();
        view.interference.set_coefficients(random_estimates(random));
        let mut table = CapacityTable::default();
        let mut last_key = 0;
        add_worker(&mut ledger, 1_000);
        for _ in 0..COMMANDS_PER_SEQUENCE {
            change_cell(&mut ledger, &mut view, &mut table, random, &mut last_key);
            view.now_ms += 20;
            let conditions = view.conditions.clone();
            let condition =
                |index: WorkerIndex| conditions.get(&index).cloned().unwrap_or_default();
            table.refresh(&ledger, &view.interference, condition);
            let mut fresh = CapacityTable::new(&ledger, &view.interference, condition);
            for (worker, _) in ledger.workers() {
                assert_eq!(table.capacity(worker), fresh.capacity(worker), "{worker:?}");
            }
            assert_eq!(table.service(), fresh.service());
            let steps = waiting_steps(&ledger, &view.run_times, view.now_ms);
            let expected = choose_starts(&ledger, &mut fresh, &view, &steps);
            // The choices are not committed: their reservations must be gone at the next refresh.
            let choices = choose_starts(&ledger, &mut table, &view, &steps);
            assert_eq!(choices, expected);
        }
    });
}

#[test]
fn indexes_agree_with_the_records_of_the_ledger() {
    for_each_seed(SEQUENCES, |_, random| {
        let mut ledger = ledger_with_queue();
        let mut last_key = 0;
        add_worker(&mut ledger, 1_000);
        for _ in 0..COMMANDS_PER_SEQUENCE {
            if random.random_bool(0.05) {
                let snapshot = ledger.snapshot();
                ledger.restore(&snapshot).unwrap();
            }
            let before = ledger.clone();
            if random.random_bool(0.1) {
                apply(&mut ledger, next_incarnation(random, last_key));
            }
            if let Some(command) = random_command(&mut ledger, random, &mut last_key) {
                apply(&mut ledger, command);
            }
            check_undesired_runs(&ledger);
            check_changes(&before, &ledger);
            check_workers_of_vms(&before, &ledger);
            for (index, worker) in ledger.workers() {
                assert_eq!(ledger.worker_index(&worker.key), Some(index));
            }
        }
    });
}

/// Checks that the disturbed jobs lead to all runs that are not desired.
fn check_undesired_runs(ledger: &JobLedger) {
    let all = all_runs(ledger).into_iter();
    let undesired: IndexSet<(WorkerIndex, TaskKey, RunNumber)> = all
        .filter(|(worker, task, run)| !ledger.is_desired(*task, *run, *worker))
        .collect();
    let indexed = ledger.disturbed_jobs();
    let indexed: IndexSet<_> = indexed.flat_map(|job| ledger.undesired_runs(job)).collect();
    assert_eq!(indexed, undesired);
}

/// A later incarnation, perhaps one that the ledger has already, on the VM of any earlier worker.
fn next_incarnation(random: &mut ChaCha8Rng, last_key: u64) -> LedgerCommand {
    let number = random.random_range(0..=last_key);
    LedgerCommand::AddWorker {
        key: WorkerKey {
            name: Arc::from(format!("worker-{number}")),
            started_ms: random.random_range(1..5),
        },
        node: Arc::from(format!("vm-{number}")),
        facts: WorkerFacts {
            pool: Arc::from("pool"),
            data_centre: Arc::from("caxias"),
            capacity: ResourceVector::new(16_000, 64_000, 0),
            labels: Vec::new(),
        },
    }
}

/// Checks that the workers of each VM, of those that have lost their last one too, are those whose
/// records name it.
fn check_workers_of_vms(before: &JobLedger, after: &JobLedger) {
    let workers = before.workers().chain(after.workers());
    for (_, worker) in workers {
        let recorded = after
            .workers()
            .filter(|(_, other)| other.node == worker.node);
        let recorded: IndexSet<WorkerIndex> = recorded.map(|(index, _)| index).collect();
        let indexed: Vec<WorkerIndex> = after.workers_on(&worker.node).collect();
        assert_eq!(
            indexed.len(),
            recorded.len(),
            "{}: {indexed:?}",
            worker.node
        );
        assert_eq!(indexed.into_iter().collect::<IndexSet<_>>(), recorded);
    }
}

/// Checks that each worker whose record differs is named among the changes.
fn check_changes(before: &JobLedger, after: &JobLedger) {
    let changed = after.workers_changed_since(before.worker_revision());
    let changed: IndexSet<WorkerIndex> = changed.unwrap().collect();
    let workers = before.workers().chain(after.workers());
    for (worker, _) in workers {
        let runs = |ledger: &JobLedger| ledger.worker(worker).map(|record| record.runs.clone());
        if runs(before) != runs(after) {
            assert!(changed.contains(&worker), "{worker:?} changed unnoticed");
        }
    }
}

#[test]
fn a_reader_that_is_far_behind_reads_all_workers() {
    let mut ledger = ledger_with_queue();
    add_worker(&mut ledger, 1);
    let revision = ledger.worker_revision();
    for number in 2..10_000 {
        add_worker(&mut ledger, number);
    }
    assert!(ledger.workers_changed_since(revision).is_none());
    assert!(ledger.workers_changed_since(revision + 20_000).is_none());
    let mut table = CapacityTable::default();
    let condition = |_| WorkerCondition::default();
    table.refresh(&ledger, &ReplayView::default().interference, condition);
    assert!(table.capacity(WorkerIndex(9_000)).is_some());
}

#[test]
fn a_refresh_costs_what_has_changed() {
    let mut ledger = ledger_with_queue();
    let workers: Vec<WorkerIndex> = (0..1_000).map(|n| add_worker(&mut ledger, n)).collect();
    submit(&mut ledger, 1, job_with_steps(vec![raw_step(1)]));
    let view = ReplayView::default();
    let rebuilt = Cell::new(0);
    let condition = |_| {
        rebuilt.set(rebuilt.get() + 1);
        WorkerCondition {
            schedulable: true,
            ..WorkerCondition::default()
        }
    };
    let mut table = CapacityTable::new(&ledger, &view.interference, condition);
    assert_eq!(rebuilt.replace(0), workers.len());
    table.refresh(&ledger, &view.interference, condition);
    assert_eq!(rebuilt.replace(0), 0);
    let steps = waiting_steps(&ledger, &view.run_times, 0);
    let choices = choose_starts(&ledger, &mut table, &view, &steps);
    apply(&mut ledger, LedgerCommand::Start { choices });
    table.mark_changed(workers[500]);
    table.refresh(&ledger, &view.interference, condition);
    assert_eq!(rebuilt.replace(0), 2);
}

/// A pass under overload finds no worker for most steps; what was refused says so for larger demands
/// only.
#[test]
fn a_refused_demand_does_not_hold_up_a_smaller_one() {
    let mut ledger = ledger_with_queue();
    add_worker(&mut ledger, 1);
    let mut wide = raw_step(4);
    wide.demand.cpu_millis = 7_000;
    let wide = submit(&mut ledger, 1, job_with_steps(vec![wide]));
    let narrow = submit(&mut ledger, 2, job_with_steps(vec![raw_step(1)]));
    let view = ReplayView::default();
    let condition = |_| WorkerCondition {
        schedulable: true,
        ..WorkerCondition::default()
    };
    let mut table = CapacityTable::new(&ledger, &view.interference, condition);
    let steps = waiting_steps(&ledger, &view.run_times, 0);
    let choices = choose_starts(&ledger, &mut table, &view, &steps);
    let jobs: Vec<_> = choices.iter().map(|choice| choice.task.step.job).collect();
    assert_eq!(jobs.iter().filter(|job| **job == wide).count(), 2);
    assert_eq!(jobs.iter().filter(|job| **job == narrow).count(), 1);
}
