//! Tests the order of placement: preemption, impossible tasks, liveness, fair shares and caps.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use bolero::produce;
use bolero::TypeGenerator;

use crate::support::task_record;
use crate::support::worker_name;
use crate::support::worker_record;
use crate::support::StateFake;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_placement::prelude::*;
use guavavane_testing::for_each_value;

/// Maximum time until an urgent task is placed.
const URGENT_WAIT_MAX_MS: u64 = 2_500;

/// Time between two scheduling passes.
const PASS_PERIOD_MS: u64 = 100;

fn cores(count: u64) -> ResourceVector {
    ResourceVector::new(count * 1_000, count * 1_024, 0)
}

fn new_state(workers: usize, capacity: ResourceVector) -> StateFake {
    let mut state = StateFake::new(PlacementSettings::default(), 3);
    for number in 0..workers {
        state.worker_up(worker_record(number, capacity));
    }
    state
}

fn submit(state: &mut StateFake, id: u64, class: TaskClass, demand: ResourceVector) {
    state.submit(task_record(id, class, demand));
}

fn placed(decisions: &[PlacementDecision]) -> Vec<TaskId> {
    let places = decisions.iter().filter_map(|decision| match decision {
        PlacementDecision::Place(place) => Some(place.task),
        _ => None,
    });
    places.collect()
}

fn victims(
    state: &StateFake,
    decisions: &[PlacementDecision],
) -> Vec<(TaskAttempt, ResourceVector)> {
    let evictions = decisions.iter().filter_map(|decision| match decision {
        PlacementDecision::Evict(evict) => Some(TaskAttempt {
            task: evict.task,
            attempt: evict.attempt,
        }),
        _ => None,
    });
    evictions
        .map(|attempt| (attempt, state.commitments[&attempt].reserved))
        .collect()
}

/// Sizes of batch tasks that fill a cell, and of an urgent task.
#[derive(Clone, Debug, TypeGenerator)]
struct FilledCell {
    sizes: Vec<u8>,
    needed: u8,
}

/// An urgent task starts in time, and every eviction for it was needed. Guards against other
/// tasks that take the capacity of the first victims while the rest have yet to leave.
#[test]
fn urgent_work_evicts_no_more_than_it_needs() {
    for_each_value(2_000, produce::<FilledCell>(), |cell| {
        let mut state = new_state(4, cores(16));
        for (id, size) in cell.sizes.iter().enumerate() {
            let size = u64::from(size % 8) + 1;
            submit(&mut state, id as u64, TaskClass::Batch, cores(size));
            state.advance(PASS_PERIOD_MS);
            state.run_pass(8);
            state.deliver_all();
        }
        let needed = cores(u64::from(cell.needed % 16) + 1);
        let mut urgent = task_record(9_999, TaskClass::Batch, needed);
        urgent.priority = TaskPriority::Urgent;
        state.submit(urgent);
        let submitted = state.now;
        let decisions = state.run_pass(64);
        check_victims(&state, &decisions, &needed);
        while !state.is_committed(TaskId(9_999)) {
            // One victim leaves at a time, while other tasks wait for its capacity.
            state.confirm_one_eviction();
            state.deliver_all();
            state.advance(PASS_PERIOD_MS);
            let decisions = state.run_pass(64);
            assert!(
                victims(&state, &decisions).is_empty(),
                "evicted again: the hold was not kept"
            );
            let waited = state.now.saturating_since(submitted);
            assert!(
                waited.as_millis() < URGENT_WAIT_MAX_MS.into(),
                "urgent task waits too long"
            );
        }
    });
}

fn check_victims(state: &StateFake, decisions: &[PlacementDecision], needed: &ResourceVector) {
    let victims = victims(state, decisions);
    let Some((first, _)) = victims.first() else {
        return;
    };
    let worker = state.commitments[first].worker.clone();
    let capacity = state.workers[&worker].capacity;
    let mut staying = state.committed(&worker);
    for (attempt, reserved) in &victims {
        assert_eq!(
            state.commitments[attempt].worker, worker,
            "evicted from two workers"
        );
        staying = staying.checked_sub(reserved).unwrap();
    }
    assert!(
        staying.checked_add(needed).unwrap().fits_within(&capacity),
        "evicted less than needed"
    );
    for (_, reserved) in &victims {
        let spared = staying.checked_add(reserved).unwrap();
        let fits = spared.checked_add(needed).unwrap().fits_within(&capacity);
        assert!(!fits, "evicted more than needed");
    }
}

/// The first pass reports impossible tasks with the resource they lack, and places all others.
#[test]
fn impossible_tasks_are_reported_and_block_no_others() {
    for_each_value(2_000, produce::<Vec<u8>>(), |sizes| {
        let mut state = new_state(64, cores(16));
        for (id, size) in sizes.iter().take(32).enumerate() {
            let demand = cores(u64::from(size % 24) + 1);
            submit(&mut state, id as u64, TaskClass::Batch, demand);
        }
        let decisions = state.run_pass(64);
        let placed = placed(&decisions);
        for (id, size) in sizes.iter().take(32).enumerate() {
            let id = TaskId(id as u64);
            let needed = (u64::from(size % 24) + 1) * 1_024;
            let expected = ResourceShortage::Memory {
                needed,
                largest: 16 * 1_024,
            };
            let reported = decisions.iter().any(|decision| match decision {
                PlacementDecision::ReportImpossible(report) => {
                    report.task == id && report.lacks == expected
                }
                _ => false,
            });
            let impossible = needed > 16 * 1_024;
            assert_eq!(reported, impossible, "{id} needs {needed}");
            assert_eq!(placed.contains(&id), !impossible, "{id} needs {needed}");
        }
    });
}

/// A task that fits only one of many similar workers is placed in a bounded number of passes.
#[test]
fn feasible_tasks_are_placed_in_bounded_passes() {
    for_each_value(
        200,
        produce::<(u16, u8, bool)>(),
        |(free, extra, service)| {
            let workers = 600;
            let fitting_worker = usize::from(*free) % workers;
            let mut state = StateFake::new(
                PlacementSettings {
                    boundary_probes: 32,
                    ..PlacementSettings::default()
                },
                u64::from(*extra),
            );
            // All workers are in the same cell of the capacity index; only one fits.
            for number in 0..workers {
                let extra_millis = u64::from(number == fitting_worker);
                let capacity = ResourceVector::new(8_200 + extra_millis, 8_300, 0);
                state.worker_up(worker_record(number, capacity));
            }
            let class = match service {
                true => TaskClass::LatencyCritical,
                false => TaskClass::Batch,
            };
            submit(&mut state, 1, class, ResourceVector::new(8_201, 8_300, 0));
            let passes = 200 / 32 + 2;
            for _ in 0..passes {
                state.run_pass(4);
                state.advance(2_000);
            }
            assert!(state.is_committed(TaskId(1)), "a feasible task waits");
            assert_eq!(state.commitments[0].worker, worker_name(fitting_worker));
        },
    );
}

/// Two teams with equal demand share a full cell by weight.
#[test]
fn fair_shares_follow_weights() {
    for_each_value(300, produce::<(u8, u8)>(), |(first, second)| {
        let weights = [u32::from(first % 4) + 1, u32::from(second % 4) + 1];
        let mut state = new_state(20, cores(12));
        for (team, weight) in ["a", "b"].into_iter().zip(weights) {
            state.set_quota(TeamQuota {
                team: team.try_into().unwrap(),
                weight,
                cap: None,
            });
        }
        for id in 0..600 {
            let mut record = task_record(id, TaskClass::Batch, cores(1));
            record.team = ["a", "b"][(id % 2) as usize].try_into().unwrap();
            state.submit(record);
        }
        state.run_pass(1_000);
        let usage = ["a", "b"].map(|team| state.team_usage(&team.try_into().unwrap()));
        let total = (usage[0].cpu_millis + usage[1].cpu_millis) / 1_000;
        assert_eq!(total, 240, "capacity was left free");
        let expected = 240 * u64::from(weights[0]) / u64::from(weights[0] + weights[1]);
        assert!(
            usage[0].cpu_millis.abs_diff(expected * 1_000) <= 1_000,
            "{usage:?} {weights:?}"
        );
    });
}

/// A team at its cap blocks neither other teams nor its own smaller tasks behind.
#[test]
fn team_caps_hold_and_block_no_others() {
    let mut state = new_state(4, cores(16));
    state.set_quota(TeamQuota {
        team: "a".try_into().unwrap(),
        weight: 100,
        cap: Some(cores(6)),
    });
    for (id, size) in [4, 4, 2].into_iter().enumerate() {
        submit(&mut state, id as u64, TaskClass::Batch, cores(size));
    }
    let mut other = task_record(10, TaskClass::Batch, cores(4));
    other.team = "b".try_into().unwrap();
    state.submit(other);
    submit(&mut state, 11, TaskClass::Batch, cores(7));
    let decisions = state.run_pass(64);
    let mut placed = placed(&decisions);
    placed.sort();
    assert_eq!(placed, [TaskId(0), TaskId(2), TaskId(10)]);
    assert!(
        state.impossible.contains(&TaskId(11)),
        "the cap makes it impossible"
    );
}

/// Replicas of a service spread over data centres and racks; batch tasks pack tightly.
#[test]
fn services_spread_and_batch_packs() {
    let mut state = new_state(27, cores(16));
    for id in 0..9 {
        submit(&mut state, id, TaskClass::LatencyCritical, cores(4));
    }
    state.run_pass(64);
    let spread: std::collections::BTreeSet<_> = state
        .commitments
        .values()
        .map(|commitment| state.workers[&commitment.worker].clone())
        .map(|worker| (worker.data_centre, worker.rack))
        .collect();
    assert_eq!(spread.len(), 9, "replicas share racks: {spread:?}");
    for id in 100..112 {
        submit(&mut state, id, TaskClass::Batch, cores(4));
    }
    state.run_pass(64);
    let batch = state
        .commitments
        .iter()
        .filter(|(attempt, _)| attempt.task.0 >= 100);
    let packed: std::collections::BTreeSet<_> = batch.map(|(_, c)| c.worker.clone()).collect();
    assert!(
        packed.len() <= 6,
        "batch is spread over {} workers",
        packed.len()
    );
}
