//! What the declarations do not say: real run times, failures and noise.

use serde::Deserialize;
use serde::Serialize;

use guavavane_contract::prelude::AttemptKey;

/// Hidden truth about tasks, the same for each worker with the same seed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TaskProfile {
    /// Seed of the hidden values.
    pub seed: u64,
    /// Share of batch attempts that fail half-way, in thousandths.
    pub failing_millis: u64,
    /// Largest deviation of the real run time from the declared one, in thousandths.
    pub run_error_millis: u64,
    /// Real use against declared demand, in thousandths.
    pub usage_millis: u64,
    /// Slowdown of a batch task by each busy slot on its worker, in thousandths.
    pub slot_noise_millis: u64,
    /// Slowdown of requests by each batch task on the worker, in thousandths.
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
    /// Real run time of a task that declares `run_ms`.
    pub fn run_ms(&self, key: &AttemptKey, run_ms: u64) -> u64 {
        if self.run_error_millis == 0 {
            return run_ms;
        }
        let span = 2 * self.run_error_millis + 1;
        let drawn = self.draw(key.task.0, 1) % span;
        let factor = (1_000 + drawn).saturating_sub(self.run_error_millis);
        (run_ms * factor.max(1) / 1_000).max(1)
    }

    /// Whether the attempt fails before its end.
    pub fn fails(&self, key: &AttemptKey) -> bool {
        let salt = u64::from(key.attempt.0) + 2;
        self.draw(key.task.0, salt) % 1_000 < self.failing_millis
    }

    /// A number that depends on the seed, `value` and `salt` alone.
    pub fn draw(&self, value: u64, salt: u64) -> u64 {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&value.to_le_bytes());
        bytes[8..].copy_from_slice(&salt.to_le_bytes());
        xxhash_rust::xxh3::xxh3_64_with_seed(&bytes, self.seed)
    }
}
