//! Moments at which the router has something to do.

use std::collections::BTreeSet;

use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::RequestId;

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerEvent {
    /// The deadline of a request.
    Deadline(RequestId),
    /// The time to send a second attempt.
    Hedge(RequestId),
    /// The end of the wait for another holder of a claim.
    ClaimWait(RequestId),
    /// The next try of a claim job.
    ClaimJob(u64),
}

/// Timers, earliest first.
#[derive(Clone, Debug, Default)]
pub struct TimerQueue {
    events: BTreeSet<(BootTime, TimerEvent)>,
}

impl TimerQueue {
    /// Adds an event at a moment.
    pub fn add(&mut self, at: BootTime, event: TimerEvent) {
        self.events.insert((at, event));
    }

    /// Removes an event that was added at that moment.
    pub fn remove(&mut self, at: BootTime, event: TimerEvent) {
        self.events.remove(&(at, event));
    }

    /// Takes the next event that is due.
    pub fn pop_due(&mut self, now: BootTime) -> Option<TimerEvent> {
        let (at, _) = self.events.first()?;
        if *at > now {
            return None;
        }
        self.events.pop_first().map(|(_, event)| event)
    }

    /// Moment of the next event.
    pub fn next_at(&self) -> Option<BootTime> {
        self.events.first().map(|(at, _)| *at)
    }
}
