//! Late samples: attribution, throttling, eviction, forgetting, and corrected sizes.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use bolero::produce;

use crate::support::task_record;
use crate::support::worker_name;
use crate::support::worker_record;
use crate::support::StateFake;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_placement::prelude::*;
use guavavane_testing::for_each_value;

const NOISY: &str = "settlement";
const QUIET: &str = "index";

fn cores(count: u64) -> ResourceVector {
    ResourceVector::new(count * 1_000, count * 1_024, 0)
}

/// Two workers of one data centre, a replica on each; then batch tasks of two workloads.
fn new_state(batch: &[&str]) -> StateFake {
    let mut state = StateFake::new(PlacementSettings::default(), 13);
    for number in [0, 3] {
        state.worker_up(worker_record(number, cores(16)));
    }
    for id in 0..2 {
        state.submit(task_record(id, TaskClass::LatencyCritical, cores(4)));
    }
    settle(&mut state);
    for (id, kind) in batch.iter().enumerate() {
        submit_batch(&mut state, 10 + id as u64, kind);
    }
    settle(&mut state);
    state
}

fn submit_batch(state: &mut StateFake, id: u64, kind: &str) {
    let mut record = task_record(id, TaskClass::Batch, cores(2));
    record.kind = kind.try_into().unwrap();
    state.submit(record);
}

fn settle(state: &mut StateFake) {
    state.decide(64);
    state.deliver_all();
    state.advance(5_000);
}

/// Speeds of the noisy tasks beside a service, in thousandths.
fn noise_beside(state: &StateFake, service: u64) -> u32 {
    let worker = &commitment(state, service).1.worker;
    let batch = state.commitments.iter().filter(|(attempt, c)| {
        c.worker == *worker && state.tasks[&attempt.task].kind.as_str() == NOISY
    });
    let levels = batch.map(|(attempt, _)| state.levels.get(&attempt.task).copied());
    levels
        .map(|level| level.unwrap_or_default().speed_permille())
        .sum()
}

fn commitment(state: &StateFake, task: u64) -> (TaskAttempt, support::Commitment) {
    let mut commitments = state.commitments.iter();
    let found = commitments.find(|(attempt, _)| attempt.task == TaskId(task));
    let (attempt, commitment) = found.unwrap();
    (*attempt, commitment.clone())
}

/// Reports each replica's slowdown over the last five seconds; each noisy task adds `excess`.
fn report(state: &mut StateFake, excess: u32) -> Vec<PlacementDecision> {
    for service in 0..2 {
        let slowdown_permille = 1_000 + excess * noise_beside(state, service) / 1_000;
        let (attempt, commitment) = commitment(state, service);
        let from = BootTime::from_millis(state.now.as_millis() - 5_000);
        state.send(PlacementEvent::LatencySample(LatencySample {
            task: attempt.task,
            attempt: attempt.attempt,
            worker: commitment.worker,
            interval: MeasuredInterval {
                from,
                until: state.now,
            },
            slowdown_permille,
            load_permille: 600,
        }));
    }
    let decisions = state.decide(64);
    state.deliver_all();
    state.advance(5_000);
    decisions
}

fn throttled(decisions: &[PlacementDecision]) -> Vec<(TaskId, ThrottleLevel)> {
    let throttles = decisions.iter().filter_map(|decision| match decision {
        PlacementDecision::Throttle(throttle) => Some((throttle.task, throttle.level)),
        _ => None,
    });
    throttles.collect()
}

fn evicted(decisions: &[PlacementDecision]) -> Vec<TaskId> {
    let evictions = decisions.iter().filter_map(|decision| match decision {
        PlacementDecision::Evict(evict) => Some(evict.task),
        _ => None,
    });
    evictions.collect()
}

/// One slow sample changes nothing, more throttle the noisy task, and if that is not enough it
/// is evicted; quiet tasks are left alone.
#[test]
fn noisy_tasks_are_throttled_and_then_moved() {
    let mut state = new_state(&[QUIET, NOISY, QUIET, QUIET]);
    assert!(report(&mut state, 4_000).is_empty(), "acted on one sample");
    let mut alone = new_state(&[NOISY]);
    assert!(report(&mut alone, 4_000).is_empty(), "acted on one sample");
    let noisy = TaskId(11);
    let mut all = Vec::new();
    for _ in 0..40 {
        all.extend(report(&mut state, 4_000));
        state.finish_evictions();
        state.deliver_all();
    }
    assert_eq!(evicted(&all).first(), Some(&noisy), "{all:?}");
    assert!(
        throttled(&all).contains(&(noisy, ThrottleLevel::Quarter)),
        "{all:?}"
    );
    let quiet = state.levels.iter().filter(|(task, _)| **task != noisy);
    let held_back = quiet.filter(|(_, level)| **level != ThrottleLevel::None);
    assert_eq!(held_back.count(), 0, "quiet tasks stay throttled: {all:?}");
}

/// What was learnt keeps new noisy tasks away from the service that suffers, and is forgotten.
#[test]
fn estimates_steer_placement_and_fade() {
    let mut state = new_state(&[QUIET, NOISY, QUIET]);
    for id in 20..32 {
        submit_batch(&mut state, id, [QUIET, NOISY][id as usize % 2]);
        for _ in 0..3 {
            report(&mut state, 100);
        }
        let (attempt, _) = commitment(&state, id);
        state.release(attempt, ReleaseCause::Finished);
        state.deliver_all();
        report(&mut state, 100);
    }
    submit_batch(&mut state, 50, NOISY);
    submit_batch(&mut state, 51, QUIET);
    let penalty = |decisions: &[PlacementDecision], id: u64| {
        let mut scores = decisions.iter().filter_map(|decision| match decision {
            PlacementDecision::Place(place) if place.task == TaskId(id) => Some(place.score),
            _ => None,
        });
        -scores.next().unwrap().interference
    };
    let decisions = state.decide(64);
    state.deliver_all();
    let (noisy, quiet) = (penalty(&decisions, 50), penalty(&decisions, 51));
    assert!(noisy > 2 * quiet, "noisy {noisy} quiet {quiet}");
    for id in [50, 51] {
        let (attempt, _) = commitment(&state, id);
        state.release(attempt, ReleaseCause::Finished);
    }
    state.deliver_all();
    state.advance(20 * state.settings.estimate_half_life_ms);
    submit_batch(&mut state, 52, NOISY);
    let decisions = state.decide(64);
    let faded = penalty(&decisions, 52);
    assert!(faded < noisy / 2, "noisy {noisy} faded {faded}");
}

/// A sample counts for the tasks that were there in its interval, not for those there now.
#[test]
fn late_samples_are_attributed_to_their_interval() {
    let mut state = new_state(&[NOISY]);
    let service = (0..2)
        .find(|service| noise_beside(&state, *service) > 0)
        .unwrap();
    let measured_until = state.now;
    let (noisy, place) = commitment(&state, 10);
    state.release(noisy, ReleaseCause::Finished);
    state.deliver_all();
    for id in 20..28 {
        submit_batch(&mut state, id, QUIET);
    }
    settle(&mut state);
    let (attempt, _) = commitment(&state, service);
    for step in 0..10 {
        let until = BootTime::from_millis(measured_until.as_millis() - step);
        state.send(PlacementEvent::LatencySample(LatencySample {
            task: attempt.task,
            attempt: attempt.attempt,
            worker: place.worker.clone(),
            interval: MeasuredInterval {
                from: BootTime::from_millis(until.as_millis() - 4_000),
                until,
            },
            slowdown_permille: 3_000,
            load_permille: 600,
        }));
    }
    submit_batch(&mut state, 60, QUIET);
    submit_batch(&mut state, 61, NOISY);
    let decisions = state.decide(64);
    let score = |id: u64| {
        let mut scores = decisions.iter().filter_map(|decision| match decision {
            PlacementDecision::Place(place) if place.task == TaskId(id) => Some(place.score),
            _ => None,
        });
        -scores.next().unwrap().interference
    };
    assert!(
        score(61) > 3 * score(60),
        "noisy {} quiet {}",
        score(61),
        score(60)
    );
}

/// Tasks measured to use more reserve more the next time, never less than declared and never
/// beyond a worker.
#[test]
fn reservations_follow_measured_sizes() {
    for_each_value(500, produce::<(u16, u8)>(), |(permille, size)| {
        let mut state = StateFake::new(PlacementSettings::default(), 17);
        state.worker_up(worker_record(0, cores(16)));
        let demand = cores(u64::from(size % 16) + 1);
        state.submit(task_record(1, TaskClass::Batch, demand));
        settle(&mut state);
        state.sample_usage(0, u64::from(*permille));
        let (attempt, _) = commitment(&state, 1);
        state.release(attempt, ReleaseCause::LeaseExpired);
        settle(&mut state);
        settle(&mut state);
        let reserved = state.committed(&worker_name(0));
        let raised = demand.cpu_millis * u64::from(*permille).clamp(1_000, 2_000) / 1_000;
        let expected = match raised <= 16_000 {
            true => raised,
            false => demand.cpu_millis,
        };
        assert_eq!(reserved.cpu_millis, expected);
    });
}
