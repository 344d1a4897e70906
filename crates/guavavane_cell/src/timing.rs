//! Lease durations: how long an agent runs without the leader, and a worker without its agent.
//!
//! The leader grants each agent a lease, and within it the agent renews its worker's lease in
//! short steps. The lease of a silent worker therefore expires soon, and its agent on the same
//! VM reports that to the leader at once. Runs survive an outage of the control processes that
//! is shorter than the agent's lease. The leader frees the tasks of an unreachable agent only
//! when the agent's lease has certainly expired. Leases in this sense: Gray and Cheriton, "Leases:
//! An efficient fault-tolerant mechanism for distributed file cache consistency", SOSP 1989.

use std::time::Duration;

/// Bound on how much slower a worker's clock runs than another, in percent, with a margin.
const CLOCK_DRIFT_MAX_PERCENT: u32 = 3;

/// Durations of the leases of agents and workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Lease that the leader grants to an agent.
    pub agent_lease: Duration,
    /// Lease that one renewal grants to a worker.
    pub worker_lease: Duration,
    /// Longest lease that a worker accepts from any call.
    pub worker_lease_max: Duration,
    /// Time that a suspended worker may run past the expiry of its lease after it resumes.
    pub thaw_slack: Duration,
}

impl LeaseTiming {
    /// Upper bound of the time until `lease`, measured on a worker's clock, has expired.
    ///
    /// With a lease L, a clock drift of at most d and a `thaw_slack` of s, this is L * (1 + d) + s.
    pub fn expiry_bound(&self, lease: Duration) -> Duration {
        lease + lease * CLOCK_DRIFT_MAX_PERCENT / 100 + self.thaw_slack
    }
}
