//! Moves of stalled best-effort runs.
//!
//! Guards against moves that lose more work than they save: runs were stopped as soon as they
//! stalled, for a stall that the wave of the load would have ended a little later.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

use std::f64::consts::TAU;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use guavavane_jobs::plan::stalled_runs::StallTracker;
use guavavane_jobs::plan::stalled_runs::StalledRun;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_model::prelude::BootTime;

/// Time between two reports of a stalled run.
const REPORT_MS: u64 = 500;
/// Step of the replay.
const STEP_MS: u64 = 100;
/// Time of a restart.
const RESTART_MS: u64 = 500;
/// Time after which a task is given up: a task that is moved at each stall may never be done.
const GIVE_UP_MS: u64 = 60_000;
/// Probability that the first worker of a task is crowded and stalls it for most of each wave.
const CROWDED_PROBABILITY: f64 = 0.25;
/// Number of workers of the replay.
const WORKERS: usize = 4;

fn task() -> TaskKey {
    "5c0e7a21d94b36f8.0.1.0".parse().unwrap()
}

fn stalled(run: u32, unsaved_since_ms: u64) -> StalledRun {
    StalledRun {
        task: task(),
        run: RunNumber(run),
        unsaved_since: Some(BootTime::from_millis(unsaved_since_ms)),
    }
}

/// Time from the start of a stall at `since_ms` until a move pays.
fn stall_before_move(tracker: &mut StallTracker, since_ms: u64, run: StalledRun) -> u64 {
    let mut duration_ms = 0;
    while !tracker.record(BootTime::from_millis(since_ms + duration_ms), run) {
        duration_ms += REPORT_MS;
    }
    duration_ms
}

#[test]
fn a_run_with_more_unsaved_work_stalls_for_longer_before_it_is_moved() {
    for (unsaved_ms, expected_ms) in [(0, 500), (3_000, 7_000), (9_500, 20_000)] {
        let run = stalled(1, 20_000 - unsaved_ms);
        let stall_ms = stall_before_move(&mut StallTracker::default(), 20_000, run);
        assert_eq!(stall_ms, expected_ms);
    }
}

#[test]
fn an_interrupted_stall_starts_anew() {
    let mut tracker = StallTracker::default();
    let run = stalled(1, 18_000);
    for now_ms in [20_000, 20_500, 21_000, 21_500, 24_500, 25_000] {
        assert!(!tracker.record(BootTime::from_millis(now_ms), run));
    }
    assert!(stall_before_move(&mut tracker, 25_500, run) >= 12_000);
}

#[test]
fn a_task_that_was_moved_before_stalls_for_longer_before_its_next_move() {
    let mut tracker = StallTracker::default();
    let mut now_ms = 20_000;
    for (run, expected_ms) in [(1, 500), (2, 500), (3, 500), (4, 8_000), (5, 16_000)] {
        let run = stalled(run, now_ms);
        assert_eq!(stall_before_move(&mut tracker, now_ms, run), expected_ms);
        assert!(tracker.record_move(task()).is_some());
        // The stop is sent again and counts once.
        now_ms += expected_ms + REPORT_MS;
        assert!(tracker.record(BootTime::from_millis(now_ms), run));
        assert!(tracker.record_move(task()).is_none());
        now_ms += REPORT_MS;
    }
}

/// Sums over the tasks of a replay.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Time until the tasks are done or given up.
    finished_ms: u64,
    /// Work of stopped runs.
    lost_ms: u64,
    moves: u64,
}

/// Replays one task at a time on workers that stall it for a part of each wave. Each worker has
/// another phase, and a task is only moved to a worker that does not stall it.
fn replay(seed: u64, pays: impl Fn(&mut StallTracker, BootTime, StalledRun) -> bool) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let mut now_ms = 100_000;
    for _ in 0..200 {
        let mut tracker = StallTracker::default();
        let phases: [f64; WORKERS] = std::array::from_fn(|_| random.random_range(0.0..TAU));
        let period_ms = random.random_range(11_000.0..15_000.0);
        let wave =
            |worker: usize, now_ms: u64| (now_ms as f64 / period_ms * TAU + phases[worker]).sin();
        let first = (0..WORKERS).find(|worker| wave(*worker, now_ms) <= 0.5);
        let (first, is_crowded) = (first.unwrap_or(0), random.random_bool(CROWDED_PROBABILITY));
        let stalls = |worker: usize, now_ms: u64| {
            let level = if is_crowded && worker == first {
                -0.8
            } else {
                0.5
            };
            wave(worker, now_ms) > level
        };
        let work_ms = random.random_range(1_000..6_000);
        let started_ms = now_ms;
        let (mut worker, mut run, mut run_started_ms, mut done_ms) = (first, 1, now_ms, 0);
        while done_ms < work_ms && now_ms - started_ms < GIVE_UP_MS {
            now_ms += STEP_MS;
            if !stalls(worker, now_ms) {
                done_ms += STEP_MS;
                continue;
            }
            let target = (0..WORKERS).find(|worker| !stalls(*worker, now_ms));
            let is_report = now_ms % REPORT_MS == 0;
            let run_record = stalled(run, run_started_ms);
            if !is_report || !pays(&mut tracker, BootTime::from_millis(now_ms), run_record) {
                continue;
            }
            let Some(target) = target else {
                continue;
            };
            tracker.record_move(task());
            outcome.moves += 1;
            outcome.lost_ms += done_ms;
            now_ms += RESTART_MS;
            (worker, run, run_started_ms, done_ms) = (target, run + 1, now_ms, 0);
        }
        outcome.finished_ms += now_ms - started_ms;
    }
    outcome
}

#[test]
fn moves_that_pay_lose_less_work_and_end_tasks_earlier() {
    let (mut paying, mut immediate) = (Outcome::default(), Outcome::default());
    let add = |sum: &mut Outcome, outcome: Outcome| {
        sum.finished_ms += outcome.finished_ms;
        sum.lost_ms += outcome.lost_ms;
        sum.moves += outcome.moves;
    };
    let mut never = Outcome::default();
    for seed in 0..12 {
        add(&mut paying, replay(seed, StallTracker::record));
        add(&mut immediate, replay(seed, |_, _, _| true));
        add(&mut never, replay(seed, |_, _, _| false));
    }
    println!("paying {paying:?}, immediate {immediate:?}, never {never:?}");
    assert!(paying.lost_ms < immediate.lost_ms / 5);
    assert!(paying.finished_ms * 10 <= immediate.finished_ms * 9);
    assert!(paying.finished_ms <= never.finished_ms);
}
