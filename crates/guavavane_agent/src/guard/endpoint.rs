//! Slots and request queue of one endpoint, with an estimate of the queueing delay.
//!
//! With `c` slots that all hold a request, `n` queued requests and a mean service time `s`, a new
//! request is expected to wait `(n + 1) * s / c` and to end `s` later. It is accepted if that is
//! no later than its deadline. `s` is an exponentially weighted moving average, or the age of the
//! youngest running request if that is longer. With a free slot, a request is accepted without an
//! estimate.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::CallTicket;
use super::ServiceKey;
use guavavane_contract::prelude::EndpointNotice;
use guavavane_contract::prelude::EndpointReadiness;
use guavavane_model::prelude::BootTime;
use guavavane_protocol::prelude::DispatchRequest;
use guavavane_protocol::prelude::RequestAttempt;

/// Weight of a new sample in the moving average of the service time, as a divisor: 1/8.
const SERVICE_TIME_WEIGHT_DIVISOR: u32 = 8;

/// A request that waits for a free slot of its endpoint.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) ticket: CallTicket,
    pub(crate) request: DispatchRequest,
    pub(crate) deadline: BootTime,
}

/// A request that holds a slot.
#[derive(Debug)]
pub(crate) struct RunningRequest {
    /// Call that still waits for the reply; `None` once the deadline has passed.
    pub(crate) ticket: Option<CallTicket>,
    pub(crate) keep_answer: bool,
    /// Size of the request in bytes.
    pub(crate) buffered_bytes: usize,
    pub(crate) started: BootTime,
    pub(crate) deadline: BootTime,
}

/// An endpoint that has registered with the agent.
#[derive(Debug)]
pub(crate) struct EndpointSlots {
    pub(crate) service: ServiceKey,
    pub(crate) address: SocketAddr,
    /// Maximum number of requests that the endpoint runs at the same time.
    pub(crate) slots: usize,
    /// Maximum number of running and queued requests.
    pub(crate) connections: usize,
    pub(crate) state: EndpointReadiness,
    pub(crate) expires_at: BootTime,
    pub(crate) running: IndexMap<RequestAttempt, RunningRequest>,
    pub(crate) queue: VecDeque<QueuedRequest>,
    /// When the endpoint last announced that it is leaving; `None` once it is ready again.
    leaving_since: Option<BootTime>,
    mean_service_time: Duration,
}

impl EndpointSlots {
    pub(crate) fn new(now: BootTime, notice: &EndpointNotice) -> Self {
        let mut endpoint = Self {
            service: registered_service(notice),
            address: notice.address,
            slots: 0,
            connections: 0,
            state: notice.state,
            expires_at: now,
            running: IndexMap::new(),
            queue: VecDeque::new(),
            leaving_since: None,
            mean_service_time: Duration::ZERO,
        };
        endpoint.update(now, notice, Duration::ZERO);
        endpoint
    }

    /// Applies an announcement of the endpoint.
    ///
    /// For `hold` after the endpoint announced that it is leaving, announcements of readiness are
    /// ignored: they may have been delayed and be older.
    pub(crate) fn update(&mut self, now: BootTime, notice: &EndpointNotice, hold: Duration) {
        let ignores_readiness = self
            .leaving_since
            .is_some_and(|left_at| now < left_at + hold);
        if notice.state == EndpointReadiness::Ready && ignores_readiness {
            return;
        }
        self.leaving_since = (notice.state == EndpointReadiness::Leaving).then_some(now);
        self.state = notice.state;
        self.service = registered_service(notice);
        self.address = notice.address;
        self.slots = usize::from(notice.slots);
        self.connections = usize::from(notice.connections);
        self.expires_at = now + Duration::from_millis(u64::from(notice.expiry_ms));
    }

    pub(crate) fn outstanding(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    pub(crate) fn has_slot(&self) -> bool {
        self.running.len() < self.slots.min(self.connections)
    }

    /// Whether a new request fits and is expected to end before its deadline.
    pub(crate) fn can_meet_deadline(&self, now: BootTime, deadline: BootTime) -> bool {
        if self.slots == 0 || self.outstanding() >= self.connections {
            return false;
        }
        if self.has_slot() {
            return true;
        }
        let service_time = self.expected_service_time(now);
        let requests_ahead = u32::try_from(self.queue.len() + 1).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.slots).unwrap_or(u32::MAX);
        let wait = service_time.saturating_mul(requests_ahead) / slots;
        now + wait + service_time <= deadline
    }

    /// Mean service time, but at least the age of the youngest running request, so that no queue
    /// builds up at an endpoint that has stopped answering.
    fn expected_service_time(&self, now: BootTime) -> Duration {
        let youngest = self
            .running
            .values()
            .map(|running| now.saturating_since(running.started))
            .min();
        self.mean_service_time.max(youngest.unwrap_or_default())
    }

    /// Adds a sample to the mean service time.
    pub(crate) fn record_service_time(&mut self, sample: Duration) {
        if self.mean_service_time.is_zero() {
            self.mean_service_time = sample;
            return;
        }
        self.mean_service_time = (self.mean_service_time * (SERVICE_TIME_WEIGHT_DIVISOR - 1)
            + sample)
            / SERVICE_TIME_WEIGHT_DIVISOR;
    }
}

fn registered_service(notice: &EndpointNotice) -> ServiceKey {
    ServiceKey {
        environment: notice.environment.clone(),
        service: notice.service.clone(),
    }
}
