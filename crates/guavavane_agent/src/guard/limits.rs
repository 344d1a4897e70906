//! Limits of the request guard: how much it stores, and for how long.

use std::time::Duration;

/// Limits of the request guard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GuardLimits {
    /// Maximum number of attempts in the record.
    pub recorded_attempts_max: usize,
    /// Maximum number of entry incarnations in the record; none is ever removed.
    pub entry_incarnations_max: usize,
    /// How long an ended attempt without a stored answer stays in the record; longer than any
    /// deadline.
    pub record_retention: Duration,
    /// Maximum number of stored answers, reservations included.
    pub answers_max: usize,
    /// Maximum total size of the stored answers in bytes, reservations included.
    pub answers_total_max_bytes: usize,
    /// How long an answer is stored for revocations and duplicates, and its attempt recorded.
    pub answer_retention: Duration,
    /// Maximum size of an answer in bytes, headers included.
    pub answer_max_bytes: usize,
    /// Maximum total size of running and queued requests in bytes.
    pub buffered_max_bytes: usize,
    /// Maximum number of running requests, over all endpoints.
    pub running_max: usize,
    /// Maximum time that a revocation waits for a running attempt to end.
    pub revoke_wait_max: Duration,
    /// How long announcements of readiness are ignored after an endpoint announced that it is
    /// leaving, since they may be older and delayed.
    pub leaving_hold: Duration,
}

impl Default for GuardLimits {
    fn default() -> Self {
        Self {
            recorded_attempts_max: 65_536,
            entry_incarnations_max: 4_096,
            record_retention: Duration::from_secs(120),
            answers_max: 1_024,
            answers_total_max_bytes: 12 * 1024 * 1024,
            answer_retention: Duration::from_secs(600),
            answer_max_bytes: 1024 * 1024,
            buffered_max_bytes: 8 * 1024 * 1024,
            running_max: 64,
            revoke_wait_max: Duration::from_secs(5),
            leaving_hold: Duration::from_secs(2),
        }
    }
}
