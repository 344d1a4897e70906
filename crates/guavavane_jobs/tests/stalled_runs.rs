//! Moves of stalled best-effort runs beside latency-critical tasks whose load swings.
//!
//! Guards against moves that lose more work than the stall would have cost.

use std::time::Duration;

use rand::Rng;

use guavavane_jobs::plan::stalled_run::is_worth_moving;
use guavavane_testing::for_each_seed;

/// Number of replayed runs, one for each seed.
const RUNS: u64 = 2_000;
/// Time without work at a move: the stop, the commit of the end, a pass and a start.
const MOVE_MS: u64 = 300;
/// Work of a run between two checkpoints.
const CHECKPOINT_INTERVAL_MS: u64 = 500;

/// Time that a run loses by a stall, if it stays or if it moves.
fn lost_ms(checkpointed: bool, done_ms: u64, stall_ms: u64, moves: bool) -> u64 {
    if !moves {
        return stall_ms;
    }
    let unsaved_ms = if checkpointed {
        done_ms % CHECKPOINT_INTERVAL_MS
    } else {
        done_ms
    };
    MOVE_MS + unsaved_ms
}

#[test]
fn runs_lose_less_than_if_all_stayed_or_all_moved() {
    let mut totals = [0_u64; 3];
    let totals_cell = std::sync::Mutex::new(&mut totals);
    for_each_seed(RUNS, |_, random| {
        let checkpointed = random.random_bool(0.7);
        let done_ms = random.random_range(0..4_000);
        // Target latencies are violated for up to half the period of the load.
        let stall_ms = random.random_range(200..3_000);
        let decided = is_worth_moving(checkpointed, Duration::from_millis(done_ms));
        let lost = |moves| lost_ms(checkpointed, done_ms, stall_ms, moves);
        let mut totals = totals_cell.lock().unwrap();
        totals[0] += lost(decided);
        totals[1] += lost(false);
        totals[2] += lost(true);
    });
    let [decided_ms, stayed_ms, moved_ms] = totals;
    println!("lost: {decided_ms} ms, all stay {stayed_ms} ms, all move {moved_ms} ms");
    assert!(decided_ms < stayed_ms && decided_ms < moved_ms);
}

#[test]
fn a_run_that_would_lose_most_of_its_work_is_not_moved() {
    let long = Duration::from_secs(3);
    assert!(!is_worth_moving(false, long));
    assert!(is_worth_moving(true, long));
    assert!(is_worth_moving(false, Duration::from_millis(400)));
    assert!(is_worth_moving(true, Duration::MAX));
    assert!(!is_worth_moving(false, Duration::MAX));
}
