//! Replays bursts of submissions with and without admission control.
//!
//! Guards against a cell that spends its capacity on jobs that end too late, and against refusals of
//! jobs that could be served.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use crate::support::overload::replay_overload;
use crate::support::overload::BurstLoad;
use crate::support::overload::OverloadPart;
use crate::support::overload::ServedParts;

/// Number of replayed loads, one for each seed.
const SEEDS: u64 = 5;
/// Part of the work servable in time with perfect knowledge that is served in time.
const IN_TIME_MIN: f64 = 0.8;

/// Burst of 2.2 times the capacity for 6 s, of large jobs.
const LARGE_JOBS: BurstLoad = BurstLoad {
    factor: 2.2,
    burst_ms: (4_000, 10_000),
    run_time_ms: (600.0, 2_400.0),
    tasks: (4, 24),
    cut_off: (2, 5_000, 9_000),
    estimate_error: 0.9,
    oversized: 0.0,
    leaving: 0.0,
    failing: 0.0,
};

/// Burst of 1.7 times the capacity, of small jobs.
const SMALL_JOBS: BurstLoad = BurstLoad {
    factor: 1.7,
    run_time_ms: (60.0, 240.0),
    tasks: (1, 4),
    ..LARGE_JOBS
};

/// Part of [`LARGE_JOBS`] fits no worker.
const LARGE_AND_OVERSIZED_JOBS: BurstLoad = BurstLoad {
    oversized: 0.3,
    ..LARGE_JOBS
};

/// Load without workers that are cut off.
fn connected(load: BurstLoad) -> BurstLoad {
    BurstLoad {
        cut_off: (0, 0, 0),
        ..load
    }
}

fn mean(load: &BurstLoad, part: OverloadPart) -> ServedParts {
    let mut sum = ServedParts::default();
    for seed in 0..SEEDS {
        let served = replay_overload(load, seed, part);
        sum.in_time += served.in_time / SEEDS as f64;
        sum.useful += served.useful / SEEDS as f64;
        sum.in_vain += served.in_vain / SEEDS as f64;
        sum.open_jobs_max = sum.open_jobs_max.max(served.open_jobs_max);
        sum.refusals += served.refusals;
        sum.oversized_refusals += served.oversized_refusals;
    }
    sum
}

/// Replays a load and checks that more of it is served in time than without the part.
fn compare(name: &str, load: &BurstLoad) -> (ServedParts, ServedParts) {
    let whole = mean(load, OverloadPart::Whole);
    let order_only = mean(load, OverloadPart::OrderOnly);
    let none = mean(load, OverloadPart::None);
    println!("{name}: {whole:.3?}");
    println!("  all admitted: {order_only:.3?}");
    println!("  all admitted, by deadline: {none:.3?}");
    assert_eq!(whole.oversized_refusals, 0);
    assert!(whole.in_time > none.in_time);
    (whole, order_only)
}

/// Checks also that the target is reached.
fn check(name: &str, load: &BurstLoad) -> (ServedParts, ServedParts) {
    let (whole, order_only) = compare(name, load);
    assert!(whole.in_time >= IN_TIME_MIN);
    (whole, order_only)
}

#[test]
fn a_burst_of_large_jobs_beside_workers_that_are_cut_off() {
    check("large jobs", &LARGE_JOBS);
}

#[test]
fn a_burst_of_large_jobs() {
    check("large jobs, no worker cut off", &connected(LARGE_JOBS));
}

#[test]
fn a_burst_of_small_jobs_beside_workers_that_are_cut_off() {
    let (whole, order_only) = check("small jobs", &SMALL_JOBS);
    // Without refusals all callers wait, most of them in vain.
    assert!(whole.open_jobs_max < order_only.open_jobs_max);
    assert!(whole.refusals > 0);
}

#[test]
fn large_jobs_beside_some_that_can_never_run() {
    check("large and oversized jobs", &LARGE_AND_OVERSIZED_JOBS);
}

/// The target is checked by the tests of each load, two of which are known to be red.
#[test]
fn more_large_jobs_are_served_in_time_than_without_the_part() {
    compare("large jobs", &LARGE_JOBS);
    compare("large and oversized jobs", &LARGE_AND_OVERSIZED_JOBS);
}

#[test]
fn small_jobs_beside_some_that_can_never_run() {
    let load = BurstLoad {
        oversized: 0.3,
        ..SMALL_JOBS
    };
    check("oversized jobs beside small ones", &load);
}

#[test]
fn callers_that_leave() {
    let load = BurstLoad {
        leaving: 0.3,
        ..SMALL_JOBS
    };
    check("leaving callers", &load);
}

#[test]
fn a_queue_whose_jobs_always_fail() {
    let load = BurstLoad {
        failing: 0.3,
        ..SMALL_JOBS
    };
    check("failing jobs", &load);
}
