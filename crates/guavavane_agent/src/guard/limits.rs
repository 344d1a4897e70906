//! Bounds of the request guard.

use std::time::Duration;

/// How much the guard holds, and for how long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GuardLimits {
    /// Attempts that are remembered at once.
    pub record_max: usize,
    /// Entry incarnations that are remembered.
    pub entries_max: usize,
    /// How long an ended attempt is remembered; longer than any deadline.
    pub record_keep: Duration,
    /// Answers that are kept for a revocation.
    pub answers_max: usize,
    /// Bytes of kept answers, with room reserved for those that are running.
    pub answers_max_bytes: usize,
    /// How long an answer is kept.
    pub answer_keep: Duration,
    /// Longest answer of an endpoint, headers included, in bytes.
    pub answer_max_bytes: usize,
    /// Bytes of requests that run or wait.
    pub held_max_bytes: usize,
    /// Requests that run at once, over all endpoints.
    pub running_max: usize,
    /// Longest wait of a revocation for an attempt that runs.
    pub revoke_wait_max: Duration,
    /// How long an announced leave outweighs later announcements of readiness.
    pub leaving_hold: Duration,
}

impl Default for GuardLimits {
    fn default() -> Self {
        Self {
            record_max: 65_536,
            entries_max: 4_096,
            record_keep: Duration::from_secs(120),
            answers_max: 1_024,
            answers_max_bytes: 12 * 1024 * 1024,
            answer_keep: Duration::from_secs(600),
            answer_max_bytes: 1024 * 1024,
            held_max_bytes: 8 * 1024 * 1024,
            running_max: 64,
            revoke_wait_max: Duration::from_secs(5),
            leaving_hold: Duration::from_secs(2),
        }
    }
}
