//! Jobs of which nothing runs while most of the workers' room is free.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use crate::support::add_worker;
use crate::support::job_with_steps;
use crate::support::ledger_with_queue;
use crate::support::raw_step;
use crate::support::replay::Replay;
use crate::support::submit;
use guavavane_jobs::plan::order::waiting_steps;
use guavavane_jobs::prelude::JobSpec;
use guavavane_jobs::prelude::RawStep;
use guavavane_model::prelude::ResourceVector;

/// Processor of each task; four of them keep a worker busy.
const TASK_CPU_MILLIS: u64 = 4_000;
/// Longest time for which a job that could run may have nothing running, in milliseconds.
const IDLE_MAX_MS: u64 = 3_000;
/// Run time of a task that doesn't end within the test, in milliseconds.
const ENDLESS_MS: f64 = 1e9;

fn best_effort_job(tasks: u64, memory_mib: u64) -> JobSpec {
    job_with_steps(vec![RawStep {
        best_effort: true,
        image: "render".to_owned(),
        demand: ResourceVector::new(TASK_CPU_MILLIS, memory_mib, 0),
        ..raw_step(tasks)
    }])
}

fn run_pass(cell: &mut Replay) {
    cell.run_pass(
        |ledger, view| waiting_steps(ledger, &view.run_times, view.now_ms),
        |_| ENDLESS_MS,
    );
}

/// Number of runs after a second job has waited beside a first one that keeps all processors busy.
fn runs_after_wait(memory_mib: u64) -> usize {
    let mut ledger = ledger_with_queue();
    add_worker(&mut ledger, 1);
    submit(&mut ledger, 1, best_effort_job(100, memory_mib));
    let mut cell = Replay::new(ledger);
    run_pass(&mut cell);
    let running = cell.runs.len();
    submit(&mut cell.ledger, 2, best_effort_job(5, memory_mib));
    run_pass(&mut cell);
    assert_eq!(cell.runs.len(), running);
    cell.view.now_ms += IDLE_MAX_MS;
    run_pass(&mut cell);
    cell.runs.len() - running
}

// Guards against a job that never starts because best-effort tasks, which reserve no processor, use all of
// it.
#[test]
fn a_best_effort_job_starts_one_task_beside_others_that_keep_the_processors_busy() {
    assert_eq!(runs_after_wait(1_000), 1);
}

// Guards against ever more tasks that share the processors of a cell whose room is in use.
#[test]
fn a_best_effort_job_waits_while_most_of_the_room_is_in_use() {
    assert_eq!(runs_after_wait(9_000), 0);
}
