//! Slots and queue of one endpoint.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::CallTicket;
use super::ServiceKey;
use guavavane_contract::prelude::EndpointNotice;
use guavavane_contract::prelude::NoticeState;
use guavavane_model::prelude::BootTime;
use guavavane_protocol::prelude::DispatchRequest;
use guavavane_protocol::prelude::RequestAttempt;

/// Weight of one sample in the mean service time, as a divisor.
const MEAN_WEIGHT: u32 = 8;

/// A request that waits for a slot.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) ticket: CallTicket,
    pub(crate) request: DispatchRequest,
    pub(crate) deadline: BootTime,
}

/// A request that holds a slot.
#[derive(Debug)]
pub(crate) struct RunningRequest {
    /// Call that still waits for the outcome.
    pub(crate) ticket: Option<CallTicket>,
    pub(crate) keep_answer: bool,
    pub(crate) held_bytes: usize,
    pub(crate) started: BootTime,
    pub(crate) deadline: BootTime,
}

/// One endpoint behind the agent.
#[derive(Debug)]
pub(crate) struct EndpointSlots {
    pub(crate) service: ServiceKey,
    pub(crate) address: SocketAddr,
    pub(crate) slots: usize,
    pub(crate) connections: usize,
    pub(crate) state: NoticeState,
    pub(crate) expires: BootTime,
    pub(crate) running: IndexMap<RequestAttempt, RunningRequest>,
    pub(crate) queue: VecDeque<QueuedRequest>,
    left: Option<BootTime>,
    mean_service: Duration,
}

impl EndpointSlots {
    pub(crate) fn new(now: BootTime, notice: &EndpointNotice) -> Self {
        let mut endpoint = Self {
            service: noticed_service(notice),
            address: notice.address,
            slots: 0,
            connections: 0,
            state: notice.state,
            expires: now,
            running: IndexMap::new(),
            queue: VecDeque::new(),
            left: None,
            mean_service: Duration::ZERO,
        };
        endpoint.update(now, notice, Duration::ZERO);
        endpoint
    }

    /// Takes an announcement; a delayed one does not undo an announced leave.
    pub(crate) fn update(&mut self, now: BootTime, notice: &EndpointNotice, hold: Duration) {
        let held = self.left.is_some_and(|left| now < left + hold);
        if notice.state == NoticeState::Ready && held {
            return;
        }
        self.left = (notice.state == NoticeState::Leaving).then_some(now);
        self.state = notice.state;
        self.service = noticed_service(notice);
        self.address = notice.address;
        self.slots = usize::from(notice.slots);
        self.connections = usize::from(notice.connections);
        self.expires = now + Duration::from_millis(u64::from(notice.expiry_ms));
    }

    pub(crate) fn outstanding(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    pub(crate) fn has_slot(&self) -> bool {
        self.running.len() < self.slots.min(self.connections)
    }

    /// Whether a request could get a slot and end before its deadline.
    pub(crate) fn can_finish(&self, now: BootTime, deadline: BootTime) -> bool {
        if self.slots == 0 || self.outstanding() >= self.connections {
            return false;
        }
        if self.has_slot() {
            return true;
        }
        let service = self.expected_service(now);
        let ahead = u32::try_from(self.queue.len() + 1).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.slots).unwrap_or(u32::MAX);
        let wait = service.saturating_mul(ahead) / slots;
        now + wait + service <= deadline
    }

    /// Mean service time; at least the age of the youngest running request, so that a frozen
    /// endpoint fills no queue.
    fn expected_service(&self, now: BootTime) -> Duration {
        let youngest = self
            .running
            .values()
            .map(|running| now.saturating_since(running.started))
            .min();
        self.mean_service.max(youngest.unwrap_or_default())
    }

    pub(crate) fn note_service(&mut self, taken: Duration) {
        if self.mean_service.is_zero() {
            self.mean_service = taken;
            return;
        }
        self.mean_service = (self.mean_service * (MEAN_WEIGHT - 1) + taken) / MEAN_WEIGHT;
    }
}

fn noticed_service(notice: &EndpointNotice) -> ServiceKey {
    ServiceKey {
        environment: notice.environment.clone(),
        service: notice.service.clone(),
    }
}
