//! Best-effort jobs of which nothing runs, after they have waited for processor time.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;

use indexmap::IndexMap;

use crate::support::add_labelled_worker;
use crate::support::add_worker;
use crate::support::apply;
use crate::support::job_with_steps;
use crate::support::ledger_with_queue;
use crate::support::put_catalog;
use crate::support::raw_catalog;
use crate::support::raw_step;
use crate::support::replay::Replay;
use crate::support::replay::ReplayView;
use crate::support::submit;
use guavavane_jobs::plan::capacity::WorkerCondition;
use guavavane_jobs::plan::capacity_table::CapacityTable;
use guavavane_jobs::plan::interference::Estimate;
use guavavane_jobs::plan::interference::PairEstimate;
use guavavane_jobs::plan::order::waiting_steps;
use guavavane_jobs::plan::pass::choose_starts;
use guavavane_jobs::plan::pass::steps_needing_advice;
use guavavane_jobs::prelude::AdviceTiming;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::RawStep;
use guavavane_model::prelude::ResourceVector;

/// Capacity of a worker.
const CAPACITY: ResourceVector = ResourceVector::new(16_000, 64_000, 0);
/// Time after which a job of which nothing runs must have been started, in milliseconds.
const WAIT_MS: u64 = 3_000;
/// Time after which it must have been started in a pool that is more than half full, in milliseconds.
const BUSY_WAIT_MS: u64 = 31_000;
/// Processor of a best-effort task; two of them use all of a worker.
const CPU_MILLIS: u64 = 8_000;

fn best_effort_step(tasks: u64) -> RawStep {
    let mut step = raw_step(tasks);
    step.best_effort = true;
    step.demand.cpu_millis = CPU_MILLIS;
    step.image = "batch".to_owned();
    step
}

fn latency_critical_step(tasks: u64) -> RawStep {
    let mut step = raw_step(tasks);
    step.long_running = true;
    step.latency_target_ms = 100;
    step.image = "web".to_owned();
    step
}

fn pass(cell: &mut Replay) {
    cell.run_pass(
        |ledger, view| waiting_steps(ledger, &view.run_times, view.now_ms),
        |_| 60_000.0,
    );
}

fn runs_of(cell: &Replay, job: JobKey) -> usize {
    cell.ledger.run_holders(job).count()
}

// Guards against a job of which nothing runs for as long as others use the processors, though there
// is room for it.
#[test]
fn a_best_effort_job_starts_after_its_wait_beside_busy_processors() {
    let mut ledger = ledger_with_queue();
    for number in 0..2 {
        add_worker(&mut ledger, number);
    }
    let busy = submit(&mut ledger, 1, job_with_steps(vec![best_effort_step(4)]));
    let mut cell = Replay::new(ledger);
    for _ in 0..2 {
        pass(&mut cell);
        cell.view.now_ms += WAIT_MS;
    }
    assert_eq!(runs_of(&cell, busy), 4);
    let waiting = submit(
        &mut cell.ledger,
        2,
        job_with_steps(vec![best_effort_step(3)]),
    );
    pass(&mut cell);
    cell.view.now_ms += WAIT_MS;
    pass(&mut cell);
    assert_eq!(runs_of(&cell, waiting), 1);
}

// Guards against a job that needs tickets and gets none, because no worker leaves it the CPU share that
// it no longer insists on.
#[test]
fn a_best_effort_job_that_has_waited_asks_about_workers_without_cpu_share() {
    let mut catalog = raw_catalog(2);
    catalog.queues[0].advice = Some(AdviceTiming {
        decision_ms: 10,
        interval_ms: 1,
        validity_ms: 1_000,
    });
    let mut ledger = ledger_with_queue();
    let worker = add_worker(&mut ledger, 1);
    submit(
        &mut ledger,
        1,
        job_with_steps(vec![latency_critical_step(2)]),
    );
    let mut view = ReplayView::default();
    view.interference.set_coefficients(vec![PairEstimate {
        latency_critical: Arc::from("web"),
        best_effort: Arc::from("batch"),
        coefficient: Estimate {
            mean: 4.0,
            variance: 0.1,
        },
    }]);
    let condition = |_| WorkerCondition {
        schedulable: true,
        utilisations: IndexMap::from([(Arc::from("web"), 0.8)]),
        ..WorkerCondition::default()
    };
    let mut table = CapacityTable::new(&ledger, &view.interference, condition);
    let steps = waiting_steps(&ledger, &view.run_times, view.now_ms);
    let choices = choose_starts(&ledger, &mut table, &view, &steps);
    apply(&mut ledger, LedgerCommand::Start { choices });
    put_catalog(&mut ledger, catalog);
    submit(&mut ledger, 2, job_with_steps(vec![best_effort_step(1)]));
    let key = ledger.ready_steps().next().unwrap().0;
    view.waiting_since.insert(key, view.now_ms);
    view.now_ms += WAIT_MS;
    table.refresh(&ledger, &view.interference, condition);
    let steps = waiting_steps(&ledger, &view.run_times, view.now_ms);
    let advice_steps = steps_needing_advice(&ledger, &table, &view, &steps);
    assert_eq!(advice_steps[0].candidates, [worker]);
}

/// Long-running step that serves nobody, so that no latency target limits what runs beside it.
fn lasting_step(tasks: u64, cpu_millis: u64) -> RawStep {
    let mut step = raw_step(tasks);
    step.long_running = true;
    step.demand.cpu_millis = cpu_millis;
    step
}

/// Lets a best-effort job come to workers of which `lasting_millis` of processor are reserved and on which
/// other best-effort tasks use the rest for good. `idle_workers` more lack the label that all of them
/// require. Returns the time until its first task starts, in milliseconds, if one does.
fn wait_beside_endless_tasks(lasting_millis: u64, idle_workers: u32) -> Option<u64> {
    let mut ledger = ledger_with_queue();
    let labelled = |mut step: RawStep| {
        step.required_label = "b".to_owned();
        vec![step]
    };
    for number in 0..2 {
        add_labelled_worker(&mut ledger, number, CAPACITY, "b");
    }
    for number in 0..idle_workers {
        add_labelled_worker(&mut ledger, 2 + number, CAPACITY, "a");
    }
    let lasting = job_with_steps(labelled(lasting_step(2, lasting_millis)));
    submit(&mut ledger, 1, lasting);
    let mut cell = Replay::new(ledger);
    pass(&mut cell);
    submit(
        &mut cell.ledger,
        2,
        job_with_steps(labelled(best_effort_step(6))),
    );
    for _ in 0..10 {
        pass(&mut cell);
        cell.view.now_ms += 500;
    }
    let waiting = job_with_steps(labelled(best_effort_step(4)));
    let waiting = submit(&mut cell.ledger, 3, waiting);
    let began_ms = cell.view.now_ms;
    while cell.view.now_ms - began_ms <= 60_000 {
        pass(&mut cell);
        if runs_of(&cell, waiting) > 0 {
            assert_eq!(runs_of(&cell, waiting), 1, "one task, and no more");
            return Some(cell.view.now_ms - began_ms);
        }
        cell.view.now_ms += 100;
    }
    None
}

// Guards against a job that waits for the end of tasks that may never end, on the few workers that it may
// use, while most of the pool is idle.
#[test]
fn a_best_effort_job_starts_on_busy_workers_while_half_of_its_pool_is_free() {
    for lasting_millis in [4_000, 9_600, 15_000] {
        for idle_workers in [3, 9] {
            let waited_ms = wait_beside_endless_tasks(lasting_millis, idle_workers);
            let in_time = waited_ms.is_some_and(|waited_ms| waited_ms <= WAIT_MS);
            assert!(in_time, "{lasting_millis}, {idle_workers}: {waited_ms:?}");
        }
    }
}

// Guards against a wait without a bound in a pool that is more than half full.
#[test]
fn a_best_effort_job_waits_for_a_bounded_time_in_a_busy_pool() {
    for lasting_millis in [9_600, 15_000] {
        let waited_ms = wait_beside_endless_tasks(lasting_millis, 0);
        let is_bounded =
            waited_ms.is_some_and(|waited_ms| (WAIT_MS..=BUSY_WAIT_MS).contains(&waited_ms));
        assert!(is_bounded, "{lasting_millis}: {waited_ms:?}");
    }
}
