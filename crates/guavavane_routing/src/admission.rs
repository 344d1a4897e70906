//! Admission queues: a request waits for an endpoint only if it can still finish in time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::latency::ServiceLatency;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::RequestId;

/// First-come, first-served queue of the requests of one service that wait for an endpoint.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    waiting: VecDeque<RequestId>,
    /// Latency of the attempts of this service.
    pub latency: ServiceLatency,
}

impl AdmissionQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether a request that arrives now can be expected to finish by `deadline`.
    ///
    /// Model: `slots` requests are served at once, each for the mean latency. With n requests
    /// ahead, the expected time is mean * (n / `slots` + 1): the wait and then the request's own
    /// service.
    pub fn can_finish(&self, now: BootTime, deadline: BootTime, slots: usize) -> bool {
        let mean = self.latency.mean();
        let waiting_per_slot = self.waiting.len() as f64 / slots.max(1) as f64;
        let expected_time = mean.mul_f64(waiting_per_slot + 1.0);
        expected_time <= deadline.saturating_since(now)
    }

    /// Adds a request at the back, or at the front if an attempt of it has already ended.
    pub fn push(&mut self, request: RequestId, is_resend: bool) {
        if is_resend {
            self.waiting.push_front(request);
        } else {
            self.waiting.push_back(request);
        }
    }

    /// Returns the next request.
    pub fn front(&self) -> Option<RequestId> {
        self.waiting.front().copied()
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<RequestId> {
        self.waiting.pop_front()
    }

    /// Removes a request from any position.
    pub fn remove(&mut self, request: RequestId) {
        self.waiting.retain(|waiting| *waiting != request);
    }

    /// Returns the minimum time that a request is assumed to need at an endpoint: half the mean
    /// latency.
    pub fn service_time_min(&self) -> Duration {
        self.latency.mean() / 2
    }
}
