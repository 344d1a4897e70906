//! Timers of the router, ordered by due time.

use std::collections::BTreeSet;

use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::RequestId;

/// Event of a timer. The derived order breaks ties between timers that are due at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerEvent {
    /// The deadline of the request passes.
    Deadline(RequestId),
    /// The request may send a hedge.
    Hedge(RequestId),
    /// The request asks again for a claim that another attempt held.
    ClaimBackoff(RequestId),
    /// The claim update with this number is sent again.
    ClaimUpdate(u64),
}

/// Pending timers, earliest first.
#[derive(Clone, Debug, Default)]
pub struct TimerQueue {
    events: BTreeSet<(BootTime, TimerEvent)>,
}

impl TimerQueue {
    /// Adds a timer that is due at `at`.
    pub fn add(&mut self, at: BootTime, event: TimerEvent) {
        self.events.insert((at, event));
    }

    /// Removes the timer that was added for `event` at `at`.
    pub fn remove(&mut self, at: BootTime, event: TimerEvent) {
        self.events.remove(&(at, event));
    }

    /// Removes and returns the earliest event that is due at `now`.
    pub fn pop_due(&mut self, now: BootTime) -> Option<TimerEvent> {
        let (at, _) = self.events.first()?;
        if *at > now {
            return None;
        }
        self.events.pop_first().map(|(_, event)| event)
    }

    /// Returns the due time of the earliest timer.
    pub fn next_due_at(&self) -> Option<BootTime> {
        self.events.first().map(|(at, _)| *at)
    }
}
