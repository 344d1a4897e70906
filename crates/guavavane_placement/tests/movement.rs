//! Failures, quarantines, data centres that leave and return, workers that shrink.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use bolero::produce;

use crate::support::task_record;
use crate::support::worker_name;
use crate::support::worker_record;
use crate::support::StateFake;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::JobId;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_placement::prelude::*;
use guavavane_testing::for_each_value;

fn cores(count: u64) -> ResourceVector {
    ResourceVector::new(count * 1_000, count * 1_024, 0)
}

fn new_state(workers: usize) -> StateFake {
    let mut state = StateFake::new(PlacementSettings::default(), 5);
    for number in 0..workers {
        state.worker_up(worker_record(number, cores(16)));
    }
    state
}

fn caxias() -> DataCentreName {
    "caxias".try_into().unwrap()
}

/// Lets a leader call for a while; the closure ends attempts between the calls.
fn run<F: FnMut(&mut StateFake)>(state: &mut StateFake, calls: usize, mut between: F) {
    for _ in 0..calls {
        state.decide(64);
        state.deliver_all();
        between(state);
        state.deliver_all();
        state.advance(1_000);
    }
}

fn fail_where<F: Fn(&TaskAttempt, &str) -> bool>(state: &mut StateFake, fails: F) {
    let commitments = state.commitments.iter();
    let failing = commitments.filter(|(attempt, c)| fails(attempt, c.worker.as_str()));
    let failing: Vec<TaskAttempt> = failing.map(|(attempt, _)| *attempt).collect();
    for attempt in failing {
        state.release(attempt, ReleaseCause::FailedOnWorker);
    }
}

/// Workers that fail everything are quarantined up to the cap, the job that fails everywhere is
/// given up, and neither is taken for the other.
#[test]
fn failures_are_charged_to_who_is_at_fault() {
    for_each_value(200, produce::<(u8, u8)>(), |(bad_workers, seed)| {
        let settings = PlacementSettings::default();
        let mut state = StateFake::new(settings, u64::from(*seed));
        for number in 0..12 {
            state.worker_up(worker_record(number, cores(16)));
        }
        // One data centre has four workers, so that one of them may be quarantined.
        let bad_worker = usize::from(bad_workers % 12);
        let bad_name = worker_name(bad_worker);
        for id in 0..80 {
            let mut record = task_record(id, TaskClass::Batch, cores(2));
            record.job = JobId(id / 10);
            state.submit(record);
        }
        let bad_job = |task: TaskId| task.0 < 10;
        run(&mut state, 60, |state| {
            fail_where(state, |attempt, worker| {
                worker == bad_name.as_str() || bad_job(attempt.task)
            });
        });
        let quarantined: Vec<_> = state.quarantined.iter().cloned().collect();
        assert!(
            quarantined.iter().all(|name| *name == bad_name),
            "{quarantined:?}"
        );
        assert!(
            state.given_up.iter().all(|task| bad_job(*task)),
            "{:?}",
            state.given_up
        );
        assert!(!state.given_up.is_empty(), "the bad job is never given up");
        let good = (10..80).map(TaskId);
        let waiting = good.filter(|task| !state.is_committed(*task)).count();
        assert_eq!(waiting, 0, "good tasks wait");
    });
}

/// However many workers fail, no more than the cap are quarantined.
#[test]
fn quarantines_are_capped() {
    let mut state = new_state(60);
    for id in 0..400 {
        let record = task_record(id, TaskClass::Batch, cores(1));
        state.submit(record);
    }
    run(&mut state, 40, |state| fail_where(state, |_, _| true));
    // The state fake checks the cap at each quarantine: two of the 20 of each data centre.
    assert_eq!(state.quarantined.len(), 6);
}

/// A task that fails waits longer each time.
#[test]
fn restarts_back_off() {
    let mut state = new_state(1);
    state.submit(task_record(1, TaskClass::Batch, cores(1)));
    let mut starts_ms = Vec::new();
    for _ in 0..400 {
        let before = state.commitments.len();
        state.decide(4);
        state.deliver_all();
        if state.commitments.len() > before {
            starts_ms.push(state.now.as_millis());
            fail_where(&mut state, |_, _| true);
            state.deliver_all();
        }
        state.advance(100);
    }
    let gaps: Vec<u64> = starts_ms.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.len() >= 4, "{gaps:?}");
    assert!(
        gaps.windows(2).all(|pair| pair[1] >= pair[0] * 3 / 2),
        "{gaps:?}"
    );
}

/// Replacements of services run before the old attempts are evicted; batch and exclusive tasks
/// are evicted at a rate; nothing is placed in the data centre until it is back, and then
/// placements grow with time.
#[test]
fn a_data_centre_leaves_and_returns() {
    let mut state = new_state(12);
    for id in 0..12 {
        let class = match id % 2 {
            0 => TaskClass::LatencyCritical,
            _ => TaskClass::Batch,
        };
        let mut record = task_record(id, class, cores(4));
        record.exclusive |= id % 4 == 0;
        state.submit(record);
    }
    run(&mut state, 4, |_| {});
    assert!(in_caxias(&state) > 0);
    state.set_out(&caxias(), true);
    for _ in 0..120 {
        let decisions = state.decide(64);
        for decision in &decisions {
            check_service_eviction(&state, decision);
        }
        state.deliver_all();
        state.finish_evictions();
        state.deliver_all();
        state.advance(500);
    }
    assert_eq!(in_caxias(&state), 0, "not moved out");
    assert_eq!(state.commitments.len(), 12, "work was lost on the way");
    state.set_out(&caxias(), false);
    for id in 100..300 {
        state.submit(task_record(id, TaskClass::Batch, cores(1)));
    }
    let mut counts = Vec::new();
    for _ in 0..80 {
        state.decide(64);
        state.deliver_all();
        counts.push(in_caxias(&state));
        state.advance(1_000);
    }
    assert!(counts[0] <= 2 && counts[10] <= 12, "no ramp: {counts:?}");
    assert!(counts[79] > 30, "the data centre stays unused: {counts:?}");
}

fn in_caxias(state: &StateFake) -> usize {
    let workers = state
        .commitments
        .values()
        .map(|c| &state.workers[&c.worker]);
    workers
        .filter(|worker| worker.data_centre == caxias())
        .count()
}

fn check_service_eviction(state: &StateFake, decision: &PlacementDecision) {
    let PlacementDecision::Evict(evict) = decision else {
        return;
    };
    if state.tasks[&evict.task].exclusive {
        return;
    }
    let running = state.commitments.iter();
    let others = running.filter(|(attempt, c)| attempt.task == evict.task && !c.evicting);
    assert_eq!(others.count(), 1, "evicted before the replacement runs");
}

/// A worker that shrinks gets nothing new, and what no longer fits is evicted, batch first.
#[test]
fn a_worker_that_shrinks_is_relieved() {
    for_each_value(300, produce::<(u8, u8)>(), |(left, sizes)| {
        let mut state = new_state(1);
        for id in 0..8 {
            let class = match sizes >> id & 1 {
                0 => TaskClass::Batch,
                _ => TaskClass::LatencyCritical,
            };
            state.submit(task_record(id, class, cores(2)));
        }
        run(&mut state, 2, |_| {});
        assert_eq!(state.commitments.len(), 8);
        let capacity = cores(u64::from(left % 17));
        state.worker_up(worker_record(0, capacity));
        run(&mut state, 3, |state| state.finish_evictions());
        assert!(
            state.committed(&worker_name(0)).fits_within(&capacity),
            "still too much"
        );
        let places = usize::from(left % 17) / 2;
        let services = sizes.count_ones() as usize;
        let kept = state.commitments.keys();
        let kept = kept
            .filter(|attempt| sizes >> attempt.task.0 & 1 == 1)
            .count();
        assert_eq!(kept, services.min(places), "services evicted before batch");
    });
}
