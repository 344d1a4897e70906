//! Tests failures, quarantines, drains of data centres and workers that shrink.

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

fn drained_data_centre() -> DataCentreName {
    "caxias".try_into().unwrap()
}

/// Runs scheduling passes a second apart; `after_pass` may end attempts after each.
fn run_passes<F: FnMut(&mut StateFake)>(state: &mut StateFake, passes: usize, mut after_pass: F) {
    for _ in 0..passes {
        state.run_pass(64);
        state.deliver_all();
        after_pass(state);
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

/// Guards against attributing the failures of a faulty worker to jobs, or those of a faulty job
/// to workers: only a worker on which every task fails is quarantined, up to the cap, and only a
/// job that fails on every worker is given up.
#[test]
fn failures_are_attributed_to_faulty_workers_and_jobs() {
    for_each_value(200, produce::<(u8, u8)>(), |(worker_choice, seed)| {
        let settings = PlacementSettings::default();
        let mut state = StateFake::new(settings, u64::from(*seed));
        for number in 0..12 {
            state.worker_up(worker_record(number, cores(16)));
        }
        // Each data centre has four workers, so that one of them may be quarantined.
        let faulty_worker = usize::from(worker_choice % 12);
        let faulty_worker_name = worker_name(faulty_worker);
        for id in 0..80 {
            let mut record = task_record(id, TaskClass::Batch, cores(2));
            record.job = JobId(id / 10);
            state.submit(record);
        }
        let in_faulty_job = |task: TaskId| task.0 < 10;
        run_passes(&mut state, 60, |state| {
            fail_where(state, |attempt, worker| {
                worker == faulty_worker_name.as_str() || in_faulty_job(attempt.task)
            });
        });
        let quarantined: Vec<_> = state.quarantined.iter().cloned().collect();
        assert!(
            quarantined.iter().all(|name| *name == faulty_worker_name),
            "{quarantined:?}"
        );
        assert!(
            state.given_up.iter().all(|task| in_faulty_job(*task)),
            "{:?}",
            state.given_up
        );
        assert!(
            !state.given_up.is_empty(),
            "the faulty job is never given up"
        );
        let good_tasks = (10..80).map(TaskId);
        let waiting = good_tasks.filter(|task| !state.is_committed(*task)).count();
        assert_eq!(waiting, 0, "tasks of good jobs wait");
    });
}

/// However many workers fail, the quarantined ones stay within the cap.
#[test]
fn quarantines_are_capped() {
    let mut state = new_state(60);
    for id in 0..400 {
        let record = task_record(id, TaskClass::Batch, cores(1));
        state.submit(record);
    }
    run_passes(&mut state, 40, |state| fail_where(state, |_, _| true));
    // The state fake checks the cap at each quarantine: two of the 20 workers of a data centre.
    assert_eq!(state.quarantined.len(), 6);
}

/// The backoff of a task grows with each failure.
#[test]
fn restarts_back_off() {
    let mut state = new_state(1);
    state.submit(task_record(1, TaskClass::Batch, cores(1)));
    let mut starts_ms = Vec::new();
    for _ in 0..400 {
        let before = state.commitments.len();
        state.run_pass(4);
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

/// A data centre that is taken out is drained without loss: replacements of services are committed
/// before the old attempts are evicted; batch and exclusive tasks are evicted at a limited rate.
/// Nothing is placed in the data centre until it is back; then its placement rate ramps up.
#[test]
fn data_centre_is_drained_and_ramped_up() {
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
    run_passes(&mut state, 4, |_| {});
    assert!(count_tasks_in_drained(&state) > 0);
    state.set_out(&drained_data_centre(), true);
    for _ in 0..120 {
        let decisions = state.run_pass(64);
        for decision in &decisions {
            check_service_eviction(&state, decision);
        }
        state.deliver_all();
        state.confirm_evictions();
        state.deliver_all();
        state.advance(500);
    }
    assert_eq!(
        count_tasks_in_drained(&state),
        0,
        "tasks stay in the drained data centre"
    );
    assert_eq!(
        state.commitments.len(),
        12,
        "tasks were lost during the drain"
    );
    state.set_out(&drained_data_centre(), false);
    for id in 100..300 {
        state.submit(task_record(id, TaskClass::Batch, cores(1)));
    }
    let mut counts = Vec::new();
    for _ in 0..80 {
        state.run_pass(64);
        state.deliver_all();
        counts.push(count_tasks_in_drained(&state));
        state.advance(1_000);
    }
    assert!(
        counts[0] <= 2 && counts[10] <= 12,
        "placements are not ramped: {counts:?}"
    );
    assert!(counts[79] > 30, "the data centre stays unused: {counts:?}");
}

fn count_tasks_in_drained(state: &StateFake) -> usize {
    let workers = state
        .commitments
        .values()
        .map(|c| &state.workers[&c.worker]);
    workers
        .filter(|worker| worker.data_centre == drained_data_centre())
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
    assert_eq!(
        others.count(),
        1,
        "evicted before the replacement is committed"
    );
}

/// A worker that shrinks gets no new task and evicts those that no longer fit, batch before
/// services.
#[test]
fn shrunken_worker_evicts_batch_before_services() {
    for_each_value(300, produce::<(u8, u8)>(), |(left, sizes)| {
        let mut state = new_state(1);
        for id in 0..8 {
            let class = match sizes >> id & 1 {
                0 => TaskClass::Batch,
                _ => TaskClass::LatencyCritical,
            };
            state.submit(task_record(id, class, cores(2)));
        }
        run_passes(&mut state, 2, |_| {});
        assert_eq!(state.commitments.len(), 8);
        let capacity = cores(u64::from(left % 17));
        state.worker_up(worker_record(0, capacity));
        run_passes(&mut state, 3, |state| state.confirm_evictions());
        assert!(
            state.committed(&worker_name(0)).fits_within(&capacity),
            "worker is still overcommitted"
        );
        let fitting_tasks = usize::from(left % 17) / 2;
        let services = sizes.count_ones() as usize;
        let kept = state.commitments.keys();
        let kept = kept
            .filter(|attempt| sizes >> attempt.task.0 & 1 == 1)
            .count();
        assert_eq!(
            kept,
            services.min(fitting_tasks),
            "services evicted before batch"
        );
    });
}
