//! Leases of workers as the leader grants them.
//!
//! The leader counts a lease from the moment it handles a poll, the agent from the earlier
//! moment at which it sent that poll, so the agent's lease always ends first. A new leader
//! treats every worker as renewed at its election. A worker whose lease has run out is closed:
//! its polls are refused until the end of all its attempts is committed, since a renewal
//! between the decision and its commit would let an attempt run in two places.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::WorkerName;

#[derive(Clone, Copy, Debug)]
struct PollMark {
    until: BootTime,
    seen: BootTime,
    incarnation: IncarnationId,
    sequence: u64,
}

/// Whether a poll is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseGrant {
    /// The worker's lease is renewed.
    Granted,
    /// The worker's lease ran out and its attempts are being ended.
    Closed,
    /// A newer poll was served before.
    Outdated,
}

/// Identity of one poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollIdentity {
    /// Run of the agent.
    pub incarnation: IncarnationId,
    /// Count within that run.
    pub sequence: u64,
}

/// Leases of all workers under one leadership.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    led_since: BootTime,
    /// Length of a lease with the margin for clocks that drift.
    held_for: Duration,
    marks: IndexMap<WorkerName, PollMark>,
    closed: IndexSet<WorkerName>,
}

impl LeaseTable {
    /// Leases of a leadership that began at `led_since`.
    pub fn new(led_since: BootTime, lease: Duration, drift_margin: Duration) -> Self {
        Self {
            led_since,
            held_for: lease + drift_margin,
            marks: IndexMap::new(),
            closed: IndexSet::new(),
        }
    }

    /// When the leadership began.
    pub fn led_since(&self) -> BootTime {
        self.led_since
    }

    /// Renews the lease of a worker that polls.
    pub fn grant(
        &mut self,
        now: BootTime,
        worker: &WorkerName,
        identity: PollIdentity,
    ) -> LeaseGrant {
        if self.closed.contains(worker) {
            return LeaseGrant::Closed;
        }
        if let Some(mark) = self.marks.get(worker) {
            let same_run = mark.incarnation == identity.incarnation;
            if same_run && identity.sequence <= mark.sequence {
                return LeaseGrant::Outdated;
            }
        }
        let mark = PollMark {
            until: now + self.held_for,
            seen: now,
            incarnation: identity.incarnation,
            sequence: identity.sequence,
        };
        self.marks.insert(worker.clone(), mark);
        LeaseGrant::Granted
    }

    /// Closes a worker if its lease has run out; `true` if it is closed now.
    pub fn close_expired(&mut self, now: BootTime, worker: &WorkerName) -> bool {
        if self.closed.contains(worker) {
            return true;
        }
        let until = self
            .marks
            .get(worker)
            .map_or(self.led_since + self.held_for, |mark| mark.until);
        if now <= until {
            return false;
        }
        self.closed.insert(worker.clone());
        true
    }

    /// Serves a closed worker again: all its attempts have ended.
    pub fn reopen(&mut self, worker: &WorkerName) {
        self.closed.swap_remove(worker);
    }

    /// Workers that are closed.
    pub fn closed(&self) -> impl Iterator<Item = &WorkerName> {
        self.closed.iter()
    }

    /// Time since the worker's last poll, or since the election if it has not polled.
    pub fn silence(&self, now: BootTime, worker: &WorkerName) -> Duration {
        let seen = self
            .marks
            .get(worker)
            .map_or(self.led_since, |mark| mark.seen);
        now.saturating_since(seen)
    }

    /// Whether the worker has polled this leader.
    pub fn has_polled(&self, worker: &WorkerName) -> bool {
        self.marks.contains_key(worker)
    }

    /// Forgets a worker that is gone.
    pub fn forget(&mut self, worker: &WorkerName) {
        self.marks.swap_remove(worker);
        self.closed.swap_remove(worker);
    }
}
