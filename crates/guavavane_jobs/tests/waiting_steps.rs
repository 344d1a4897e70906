//! Obstacles that are counted for a step that waits.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use crate::support::add_worker;
use crate::support::add_worker_with;
use crate::support::job_with_steps;
use crate::support::ledger_with_queue;
use crate::support::raw_step;
use crate::support::replay::Replay;
use crate::support::submit;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::capacity_table::CapacityTable;
use guavavane_jobs::plan::obstacle::count_obstacles;
use guavavane_jobs::plan::obstacle::WorkerObstacle;
use guavavane_jobs::plan::probation::WorkerProbation;
use guavavane_jobs::plan::probation::PROBATION_FAILURES_MIN;
use guavavane_jobs::prelude::StepKey;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::ResourceVector;

/// Number of workers.
const WORKERS: u32 = 5;

fn fail_repeatedly(cell: &mut Replay, worker: WorkerIndex) {
    let condition = cell.view.conditions.get_mut(&worker).unwrap();
    let mut probation = WorkerProbation::after_failures(PROBATION_FAILURES_MIN - 1);
    probation.record_failure(BootTime::default());
    condition.probation = probation;
}

// Guards against a log that can't tell a full cell from workers that are kept out of use.
#[test]
fn the_workers_of_a_waiting_step_are_counted_by_their_first_obstacle() {
    let mut ledger = ledger_with_queue();
    for number in 1..WORKERS {
        add_worker(&mut ledger, number);
    }
    add_worker_with(&mut ledger, WORKERS, ResourceVector::new(500, 500, 0));
    let job = submit(&mut ledger, 1, job_with_steps(vec![raw_step(1)]));
    let mut cell = Replay::new(ledger);
    let workers: Vec<WorkerIndex> = cell.ledger.workers().map(|(index, _)| index).collect();
    cell.view
        .conditions
        .get_mut(&workers[0])
        .unwrap()
        .schedulable = false;
    fail_repeatedly(&mut cell, workers[1]);

    let table = CapacityTable::new(&cell.ledger, &cell.view.interference, |worker| {
        cell.view.conditions[&worker].clone()
    });
    let step = StepKey {
        job,
        occurrence: 0,
        step: 0,
    };
    let counts = count_obstacles(&cell.ledger, &table, &cell.view, step);
    assert_eq!(counts.get(Some(WorkerObstacle::Unschedulable)), 1);
    assert_eq!(counts.get(Some(WorkerObstacle::OnProbation)), 1);
    assert_eq!(counts.get(Some(WorkerObstacle::NoCapacity)), 1);
    assert_eq!(counts.get(None), 2);
    let text = counts.to_string();
    assert_eq!(
        text,
        "Unschedulable:1,OnProbation:1,Feasible:2,NoCapacity:1"
    );
}
