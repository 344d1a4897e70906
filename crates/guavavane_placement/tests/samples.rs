//! Tests what the policy does with late samples: attribution, throttling, eviction, decay of
//! estimates and corrected sizes.

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

/// Batch workload that slows services.
const NOISY: &str = "settlement";
/// Batch workload that does not slow services.
const QUIET: &str = "index";

fn cores(count: u64) -> ResourceVector {
    ResourceVector::new(count * 1_000, count * 1_024, 0)
}

/// Two workers of one data centre with a service replica on each, then the given batch tasks.
fn new_state(batch: &[&str]) -> StateFake {
    let mut state = StateFake::new(PlacementSettings::default(), 13);
    for number in [0, 3] {
        state.worker_up(worker_record(number, cores(16)));
    }
    for id in 0..2 {
        state.submit(task_record(id, TaskClass::LatencyCritical, cores(4)));
    }
    run_pass(&mut state);
    for (id, kind) in batch.iter().enumerate() {
        submit_batch(&mut state, 10 + id as u64, kind);
    }
    run_pass(&mut state);
    state
}

fn submit_batch(state: &mut StateFake, id: u64, kind: &str) {
    let mut record = task_record(id, TaskClass::Batch, cores(2));
    record.kind = kind.try_into().unwrap();
    state.submit(record);
}

fn run_pass(state: &mut StateFake) {
    state.run_pass(64);
    state.deliver_all();
    state.advance(5_000);
}

/// Sum of the CPU shares of the noisy tasks on a service's worker, in thousandths.
fn noisy_cpu_share(state: &StateFake, service: u64) -> u32 {
    let worker = &commitment(state, service).1.worker;
    let batch = state.commitments.iter().filter(|(attempt, c)| {
        c.worker == *worker && state.tasks[&attempt.task].kind.as_str() == NOISY
    });
    let throttle_levels =
        batch.map(|(attempt, _)| state.throttle_levels.get(&attempt.task).copied());
    throttle_levels
        .map(|level| level.unwrap_or_default().cpu_share_permille())
        .sum()
}

fn commitment(state: &StateFake, task: u64) -> (TaskAttempt, support::Commitment) {
    let mut commitments = state.commitments.iter();
    let found = commitments.find(|(attempt, _)| attempt.task == TaskId(task));
    let (attempt, commitment) = found.unwrap();
    (*attempt, commitment.clone())
}

/// Sends each replica's slowdown over the last five seconds, and runs a pass. Each unthrottled
/// noisy task adds `excess` thousandths.
fn report_slowdowns(state: &mut StateFake, excess: u32) -> Vec<PlacementDecision> {
    for service in 0..2 {
        let slowdown_permille = 1_000 + excess * noisy_cpu_share(state, service) / 1_000;
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
    let decisions = state.run_pass(64);
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

/// Guards against acting on one sample and against throttling the wrong neighbour: the noisy
/// task is throttled and, if throttling is not enough, evicted. No quiet task stays throttled.
#[test]
fn noisy_tasks_are_throttled_and_then_evicted() {
    let mut state = new_state(&[QUIET, NOISY, QUIET, QUIET]);
    assert!(
        report_slowdowns(&mut state, 4_000).is_empty(),
        "acted on one sample"
    );
    let mut alone = new_state(&[NOISY]);
    assert!(
        report_slowdowns(&mut alone, 4_000).is_empty(),
        "acted on one sample"
    );
    let noisy = TaskId(11);
    let mut all = Vec::new();
    for _ in 0..40 {
        all.extend(report_slowdowns(&mut state, 4_000));
        state.confirm_evictions();
        state.deliver_all();
    }
    assert_eq!(evicted(&all).first(), Some(&noisy), "{all:?}");
    assert!(
        throttled(&all).contains(&(noisy, ThrottleLevel::Quarter)),
        "{all:?}"
    );
    let quiet = state
        .throttle_levels
        .iter()
        .filter(|(task, _)| **task != noisy);
    let still_throttled = quiet.filter(|(_, level)| **level != ThrottleLevel::None);
    assert_eq!(
        still_throttled.count(),
        0,
        "quiet tasks stay throttled: {all:?}"
    );
}

/// Estimates give a noisy task a higher placement penalty than a quiet one, and decay without
/// samples.
#[test]
fn estimates_affect_placement_and_decay() {
    let mut state = new_state(&[QUIET, NOISY, QUIET]);
    for id in 20..32 {
        submit_batch(&mut state, id, [QUIET, NOISY][id as usize % 2]);
        for _ in 0..3 {
            report_slowdowns(&mut state, 100);
        }
        let (attempt, _) = commitment(&state, id);
        state.release(attempt, ReleaseCause::Finished);
        state.deliver_all();
        report_slowdowns(&mut state, 100);
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
    let decisions = state.run_pass(64);
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
    let decisions = state.run_pass(64);
    let decayed = penalty(&decisions, 52);
    assert!(decayed < noisy / 2, "noisy {noisy} decayed {decayed}");
}

/// Guards against attributing a late sample to the tasks that run now: it counts for the tasks
/// that ran in its interval.
#[test]
fn late_samples_are_attributed_to_their_interval() {
    let mut state = new_state(&[NOISY]);
    let service = (0..2)
        .find(|service| noisy_cpu_share(&state, *service) > 0)
        .unwrap();
    let measured_until = state.now;
    let (noisy, noisy_commitment) = commitment(&state, 10);
    state.release(noisy, ReleaseCause::Finished);
    state.deliver_all();
    for id in 20..28 {
        submit_batch(&mut state, id, QUIET);
    }
    run_pass(&mut state);
    let (attempt, _) = commitment(&state, service);
    for step in 0..10 {
        let until = BootTime::from_millis(measured_until.as_millis() - step);
        state.send(PlacementEvent::LatencySample(LatencySample {
            task: attempt.task,
            attempt: attempt.attempt,
            worker: noisy_commitment.worker.clone(),
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
    let decisions = state.run_pass(64);
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

/// A task that was measured to use more than declared reserves more at its next attempt, but at
/// most twice the declared size and never more than a worker has.
#[test]
fn reservations_follow_measured_sizes() {
    for_each_value(500, produce::<(u16, u8)>(), |(permille, size)| {
        let mut state = StateFake::new(PlacementSettings::default(), 17);
        state.worker_up(worker_record(0, cores(16)));
        let demand = cores(u64::from(size % 16) + 1);
        state.submit(task_record(1, TaskClass::Batch, demand));
        run_pass(&mut state);
        state.report_usage(0, u64::from(*permille));
        let (attempt, _) = commitment(&state, 1);
        state.release(attempt, ReleaseCause::LeaseExpired);
        run_pass(&mut state);
        run_pass(&mut state);
        let reserved = state.committed(&worker_name(0));
        let raised = demand.cpu_millis * u64::from(*permille).clamp(1_000, 2_000) / 1_000;
        let expected = match raised <= 16_000 {
            true => raised,
            false => demand.cpu_millis,
        };
        assert_eq!(reserved.cpu_millis, expected);
    });
}
