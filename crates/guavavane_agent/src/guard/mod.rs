//! Request guard: admission control and at-most-once execution for the agent's endpoints.
//!
//! [`RequestGuard`] is a state machine without I/O: [`RequestGuard::step`] takes one input and
//! returns the actions that [`crate::daemon`] performs. An attempt runs at most once: it is
//! recorded before it is handed to the endpoint, and a duplicate is answered from the record.
//! Refusals are recorded too, so that a refused or revoked attempt never runs. If the deadline of a
//! running attempt passes, the reply is sent at once and says that the outcome is unknown, but the
//! attempt holds its slot until the exchange with the endpoint has ended.

mod answer;
mod dispatch;
mod drain;
mod endpoint;
mod finish;
mod limits;
mod record;
mod revoke;

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

pub use self::answer::answer_bytes;
use self::answer::AnswerStore;
use self::endpoint::EndpointSlots;
pub use self::limits::GuardLimits;
use self::record::AttemptRecord;
use self::revoke::RevokeWaiter;
use guavavane_contract::prelude::EndpointNotice;
use guavavane_contract::prelude::EndpointReadiness;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::EndpointName;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::ServiceName;
use guavavane_protocol::prelude::DispatchReply;
use guavavane_protocol::prelude::DispatchRequest;
use guavavane_protocol::prelude::EndpointStatus;
use guavavane_protocol::prelude::HttpResponse;
use guavavane_protocol::prelude::RequestAttempt;
use guavavane_protocol::prelude::RevokeReply;
use guavavane_protocol::prelude::RevokeRequest;

/// Identifies a call that waits for its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallTicket(pub u64);

/// Identifies a service by its environment and name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceKey {
    /// Environment of the service.
    pub environment: EnvironmentName,
    /// Name of the service within the environment.
    pub service: ServiceName,
}

/// Result of an exchange with an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeResult {
    /// The endpoint gave a complete answer that repeats the request's id.
    Answered(HttpResponse),
    /// Nothing was sent: the connection could not be opened or failed at once, the request was
    /// invalid, or its deadline had passed.
    NotSent,
    /// The connection ended without an answer after some of the request was sent.
    Lost,
    /// The answer was incomplete, too long, malformed or for another request.
    Malformed,
    /// The endpoint did not answer in time, and the agent closed the connection.
    TimedOut,
}

/// Events that the request guard reacts to.
#[derive(Debug)]
pub enum GuardInput {
    /// An entry sent a request.
    Dispatch {
        /// Call to reply to.
        ticket: CallTicket,
        /// Request of the entry.
        request: DispatchRequest,
    },
    /// An entry revokes an attempt.
    Revoke {
        /// Call to reply to.
        ticket: CallTicket,
        /// Revocation of the entry.
        request: RevokeRequest,
    },
    /// An endpoint announced itself.
    Notice(EndpointNotice),
    /// An exchange with an endpoint ended.
    Finished {
        /// The attempt that ran.
        attempt: RequestAttempt,
        /// Result of the exchange.
        result: ExchangeResult,
    },
    /// Drain the endpoints of a service: they finish their requests and accept no new ones.
    DrainService(ServiceKey),
    /// Let the endpoints of a service accept requests again.
    ResumeService(ServiceKey),
    /// The agent shuts down: running and queued requests finish, and no new ones are accepted.
    Drain,
    /// Nothing happened; timeouts may have passed.
    Tick,
}

/// Request to send to an endpoint, which has a free slot for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOrder {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// When the caller stops waiting.
    pub deadline: BootTime,
    /// Request to send.
    pub request: DispatchRequest,
}

/// Actions that [`crate::daemon`] performs for the request guard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GuardAction {
    /// Hand a request to its endpoint.
    Run(RunOrder),
    /// Reply to a dispatch.
    Reply {
        /// Call to reply to.
        ticket: CallTicket,
        /// Outcome of the request.
        reply: DispatchReply,
    },
    /// Reply to a revocation.
    RevokeReply {
        /// Call to reply to.
        ticket: CallTicket,
        /// Outcome of the revoked attempt.
        reply: RevokeReply,
    },
    /// The endpoints or their states changed: announce at once.
    Announce,
    /// The endpoints of a draining service have finished their requests.
    ServiceDrained(ServiceKey),
}

/// State of the request guard; performs no I/O.
#[derive(Debug)]
pub struct RequestGuard {
    incarnation: IncarnationId,
    limits: GuardLimits,
    record: AttemptRecord,
    answers: AnswerStore,
    endpoints: IndexMap<EndpointName, EndpointSlots>,
    waiters: Vec<RevokeWaiter>,
    /// Total size of running and queued requests in bytes.
    buffered_bytes: usize,
    running: usize,
    draining: bool,
    /// Draining services, and whether the end of the drain was reported.
    draining_services: IndexMap<ServiceKey, bool>,
    actions: Vec<GuardAction>,
}

impl RequestGuard {
    /// Creates a guard without endpoints for an incarnation of the agent.
    pub fn new(incarnation: IncarnationId, limits: GuardLimits) -> Self {
        let answers = AnswerStore::new(
            limits.answers_max,
            limits.answers_total_max_bytes,
            limits.answer_max_bytes,
        );
        Self {
            incarnation,
            record: AttemptRecord::new(limits.recorded_attempts_max, limits.entry_incarnations_max),
            answers,
            limits,
            endpoints: IndexMap::new(),
            waiters: Vec::new(),
            buffered_bytes: 0,
            running: 0,
            draining: false,
            draining_services: IndexMap::new(),
            actions: Vec::new(),
        }
    }

    /// Handles one input and returns the actions to perform, in order.
    pub fn step(&mut self, now: BootTime, input: GuardInput) -> Vec<GuardAction> {
        self.apply_timeouts(now);
        match input {
            GuardInput::Dispatch { ticket, request } => self.dispatch(now, ticket, request),
            GuardInput::Revoke { ticket, request } => self.revoke(now, ticket, &request),
            GuardInput::Notice(notice) => self.register_endpoint(now, &notice),
            GuardInput::Finished { attempt, result } => self.finish_request(now, attempt, result),
            GuardInput::DrainService(service) => self.drain_service(now, service),
            GuardInput::ResumeService(service) => self.resume_service(&service),
            GuardInput::Drain => self.start_drain(),
            GuardInput::Tick => {}
        }
        self.start_queued_requests(now);
        self.report_drained_services();
        std::mem::take(&mut self.actions)
    }

    /// Status of each endpoint whose announcement is valid at `now`, as announced to the entries.
    pub fn statuses(&self, now: BootTime) -> Vec<EndpointStatus> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.expires_at > now)
            .map(|(name, endpoint)| EndpointStatus {
                name: name.clone(),
                environment: endpoint.service.environment.clone(),
                service: endpoint.service.service.clone(),
                state: self.announced_state(endpoint),
                slots: u16::try_from(endpoint.slots).unwrap_or(u16::MAX),
                outstanding: u16::try_from(endpoint.outstanding()).unwrap_or(u16::MAX),
            })
            .collect()
    }

    /// Number of running and queued requests.
    pub fn outstanding(&self) -> usize {
        self.endpoints
            .values()
            .map(EndpointSlots::outstanding)
            .sum()
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of attempts in the record.
    pub fn recorded_attempts(&self) -> usize {
        self.record.len()
    }

    /// Number of stored answers.
    pub fn kept_answers(&self) -> usize {
        self.answers.len()
    }

    /// Total size of the stored answers in bytes.
    pub fn kept_answer_bytes(&self) -> usize {
        self.answers.stored_bytes()
    }

    /// When to call [`RequestGuard::step`] next if no other input arrives before.
    pub fn next_wake(&self) -> Option<BootTime> {
        let queued = self
            .endpoints
            .values()
            .flat_map(|endpoint| endpoint.queue.iter().map(|queued| queued.deadline));
        let running = self.endpoints.values().flat_map(|endpoint| {
            endpoint
                .running
                .values()
                .filter(|running| running.ticket.is_some())
                .map(|running| running.deadline)
        });
        let waiters = self.waiters.iter().map(|waiter| waiter.deadline);
        let idle = |endpoint: &&EndpointSlots| endpoint.outstanding() == 0;
        let expiries = self.endpoints.values().filter(idle);
        let expiries = expiries.map(|endpoint| endpoint.expires_at);
        queued.chain(running).chain(waiters).chain(expiries).min()
    }

    /// Applies all deadlines and expiries that have passed by `now`.
    fn apply_timeouts(&mut self, now: BootTime) {
        for attempt in self.record.expire(now) {
            self.answers.remove(&attempt);
        }
        self.refuse_overdue_queued(now);
        self.reply_to_overdue_running(now);
        self.reply_to_overdue_waiters(now);
        self.remove_expired_endpoints(now);
    }

    /// Adds or updates the endpoint that announced itself.
    fn register_endpoint(&mut self, now: BootTime, notice: &EndpointNotice) {
        let hold = self.limits.leaving_hold;
        let previous = self
            .endpoints
            .get(&notice.endpoint)
            .map(|endpoint| (endpoint.state, endpoint.address, endpoint.slots));
        match self.endpoints.get_mut(&notice.endpoint) {
            Some(endpoint) => endpoint.update(now, notice, hold),
            None => {
                let endpoint = EndpointSlots::new(now, notice);
                self.endpoints.insert(notice.endpoint.clone(), endpoint);
            }
        }
        let endpoint = &self.endpoints[&notice.endpoint];
        if previous != Some((endpoint.state, endpoint.address, endpoint.slots)) {
            self.actions.push(GuardAction::Announce);
        }
        if endpoint.state == EndpointReadiness::Leaving {
            self.refuse_queued(now, &notice.endpoint);
        }
    }

    /// Removes endpoints whose announcement has expired; an endpoint with requests stays until they
    /// have ended.
    fn remove_expired_endpoints(&mut self, now: BootTime) {
        let expired: Vec<EndpointName> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.expires_at <= now && endpoint.outstanding() == 0)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.endpoints.shift_remove(&name);
            self.actions.push(GuardAction::Announce);
        }
    }

    fn record_expiry(&self, now: BootTime) -> BootTime {
        now + self.limits.record_retention
    }
}

/// The deadline `millis` ms after `now`.
fn deadline_after(now: BootTime, millis: u32) -> BootTime {
    now + Duration::from_millis(u64::from(millis))
}
