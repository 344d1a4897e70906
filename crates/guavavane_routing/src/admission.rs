//! Queues of requests that wait for an endpoint, bounded by what can still finish in time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::latency::LatencyProfile;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::RequestId;

/// Requests of one service that wait, first come first served.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    waiting: VecDeque<RequestId>,
    /// Latency of the service.
    pub profile: LatencyProfile,
}

impl AdmissionQueue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a request that comes now can still end by its deadline.
    ///
    /// With `slots` requests served at once, a request waits for one mean latency for each
    /// `slots` requests before it, and then takes one itself.
    pub fn can_finish(&self, now: BootTime, deadline: BootTime, slots: usize) -> bool {
        let mean = self.profile.mean();
        let ahead = self.waiting.len() as f64 / slots.max(1) as f64;
        let expected = mean.mul_f64(ahead + 1.0);
        expected <= deadline.saturating_since(now)
    }

    /// Adds a request at the end, or at the front if it was refused elsewhere.
    pub fn push(&mut self, request: RequestId, resent: bool) {
        if resent {
            self.waiting.push_front(request);
        } else {
            self.waiting.push_back(request);
        }
    }

    /// The request that is next.
    pub fn front(&self) -> Option<RequestId> {
        self.waiting.front().copied()
    }

    /// Takes the request that is next.
    pub fn pop(&mut self) -> Option<RequestId> {
        self.waiting.pop_front()
    }

    /// Removes a request wherever it waits.
    pub fn remove(&mut self, request: RequestId) {
        self.waiting.retain(|waiting| *waiting != request);
    }

    /// Least time that a request needs once it has an endpoint.
    pub fn least_time(&self) -> Duration {
        self.profile.mean() / 2
    }
}
