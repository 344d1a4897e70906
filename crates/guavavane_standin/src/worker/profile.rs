//! Actual behaviour of tasks, which the scheduler cannot read from their declarations.
//!
//! Run times deviate from the declared ones, attempts fail, and colocated tasks interfere. All
//! values are drawn from a hash of the seed and the task, so that a run can be repeated.

use serde::Deserialize;
use serde::Serialize;

use guavavane_contract::prelude::AttemptKey;

/// Parameters of the actual behaviour of tasks; equal on all workers with the same seed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TaskProfile {
    /// Seed of the drawn values.
    pub seed: u64,
    /// Fraction of batch attempts that fail at half their run time, in thousandths.
    pub failing_millis: u64,
    /// Largest deviation of the actual from the declared run time, in thousandths of the latter.
    pub run_error_millis: u64,
    /// Actual usage of processor and memory, in thousandths of the declared demand.
    pub usage_millis: u64,
    /// Interference: slowdown that each busy slot of the worker adds to batch tasks, in
    /// thousandths.
    pub slot_noise_millis: u64,
    /// Interference: slowdown that each batch task on the worker adds to requests, in thousandths.
    pub batch_noise_millis: u64,
}

impl Default for TaskProfile {
    fn default() -> Self {
        Self {
            seed: 1,
            failing_millis: 0,
            run_error_millis: 0,
            usage_millis: 700,
            slot_noise_millis: 20,
            batch_noise_millis: 50,
        }
    }
}

impl TaskProfile {
    /// Returns the actual run time of a task that declares `run_ms`, in ms; at least 1.
    pub fn run_ms(&self, key: &AttemptKey, run_ms: u64) -> u64 {
        if self.run_error_millis == 0 {
            return run_ms;
        }
        let span = 2 * self.run_error_millis + 1;
        let drawn = self.draw(key.task.0, 1) % span;
        let factor = (1_000 + drawn).saturating_sub(self.run_error_millis);
        (run_ms * factor.max(1) / 1_000).max(1)
    }

    /// Whether the attempt fails at half its run time.
    pub fn fails(&self, key: &AttemptKey) -> bool {
        let salt = u64::from(key.attempt.0) + 2;
        self.draw(key.task.0, salt) % 1_000 < self.failing_millis
    }

    /// Returns a uniform 64-bit hash of the seed, `value` and `salt`.
    pub fn draw(&self, value: u64, salt: u64) -> u64 {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&value.to_le_bytes());
        bytes[8..].copy_from_slice(&salt.to_le_bytes());
        xxhash_rust::xxh3::xxh3_64_with_seed(&bytes, self.seed)
    }
}
