//! Decides whether a stalled best-effort run is worth moving to another worker.
//!
//! The load of latency-critical tasks swings within seconds, so a run that is paused now would mostly go
//! on soon where it is. A move loses what the run has done since its latest checkpoint, and the time of
//! a stop and a new start. A task without checkpoints loses all.

use std::time::Duration;

/// Time from the stop order of a run to the moment at which its next run works.
const MOVE_DURATION: Duration = Duration::from_millis(300);
/// Longest work that a move of a task with checkpoints loses.
const CHECKPOINT_LOSS_MAX: Duration = Duration::from_millis(500);
/// Time for which a stalled run would stay so.
const STALL_DURATION: Duration = Duration::from_millis(1_500);

/// Whether a move gains more time than it loses, for a run that was ordered `run_time` ago.
pub fn is_worth_moving(checkpointed: bool, run_time: Duration) -> bool {
    let lost = if checkpointed {
        run_time.min(CHECKPOINT_LOSS_MAX)
    } else {
        run_time
    };
    lost.saturating_add(MOVE_DURATION) < STALL_DURATION
}
