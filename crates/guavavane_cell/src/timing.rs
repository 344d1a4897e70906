//! Leases: how long an agent may go on without the leader, and a worker without its agent.
//!
//! The leader grants an agent a lease; within it the agent extends the lease of its worker in
//! short steps. So a worker that falls silent lapses soon, and the agent, which is on the same
//! VM, tells the leader at once; work survives an outage of control that is shorter than the
//! agent's lease; and the leader frees the tasks of an agent that is cut off only when its
//! lease has surely run out.

use std::time::Duration;

/// How much slower a worker's clock may run, in percent, with some to spare.
const DRIFT_PERCENT: u32 = 3;

/// Lengths of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Lease that the leader grants to an agent.
    pub agent_lease: Duration,
    /// Step by which an agent extends its worker's lease.
    pub worker_lease: Duration,
    /// How long a worker may run on after its lease when it was suspended.
    pub thaw_slack: Duration,
}

impl LeaseTiming {
    /// Longest time that `lease` may last on another clock.
    pub fn surely_over(&self, lease: Duration) -> Duration {
        lease + lease * DRIFT_PERCENT / 100 + self.thaw_slack
    }
}
