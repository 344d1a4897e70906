//! Decides which requests reach an endpoint, and what their outcome proves.
//!
//! [`RequestGuard::step`] takes one input and returns what is to be done. An attempt runs at
//! most once: it is recorded before it is handed to the endpoint, and a duplicate is answered
//! from the record. A refusal is recorded too, so that what was refused or revoked never runs.
//! An attempt whose deadline passes while it runs becomes unknown to its caller at once, but
//! it holds its slot until the endpoint has ended it.

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
use guavavane_contract::prelude::NoticeState;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::EndpointName;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::ServiceName;
use guavavane_protocol::prelude::DispatchReply;
use guavavane_protocol::prelude::DispatchRequest;
use guavavane_protocol::prelude::EndpointStatus;
use guavavane_protocol::prelude::HttpAnswer;
use guavavane_protocol::prelude::RequestAttempt;
use guavavane_protocol::prelude::RevokeReply;
use guavavane_protocol::prelude::RevokeRequest;

/// Names a call that waits for its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallTicket(pub u64);

/// A service of an environment.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceKey {
    /// The environment.
    pub environment: EnvironmentName,
    /// The service.
    pub service: ServiceName,
}

/// How the exchange with an endpoint ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HopResult {
    /// A whole answer that repeats the request's id.
    Answered(HttpAnswer),
    /// The connection was refused: nothing was sent.
    NotSent,
    /// The connection broke after it was opened.
    Lost,
    /// The answer was short, too long, malformed or for another request.
    Malformed,
    /// The endpoint had not answered when the connection was given up.
    TimedOut,
}

/// What the guard reacts to.
#[derive(Debug)]
pub enum GuardInput {
    /// An entry sent a request.
    Dispatch {
        /// Where the reply goes.
        ticket: CallTicket,
        /// The request.
        request: DispatchRequest,
    },
    /// An entry revokes an attempt.
    Revoke {
        /// Where the reply goes.
        ticket: CallTicket,
        /// The revocation.
        request: RevokeRequest,
    },
    /// An endpoint announced itself.
    Notice(EndpointNotice),
    /// An exchange with an endpoint ended.
    Finished {
        /// The attempt that ran.
        attempt: RequestAttempt,
        /// How it ended.
        result: HopResult,
    },
    /// The endpoints of a service are to end their requests and take nothing new.
    DrainService(ServiceKey),
    /// The endpoints of a service may take requests again.
    ResumeService(ServiceKey),
    /// The agent shuts down: what is in flight ends, nothing new is taken.
    Drain,
    /// Time has passed.
    Tick,
}

/// A request to hand to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOrder {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// When the caller stops waiting.
    pub deadline: BootTime,
    /// The request.
    pub request: DispatchRequest,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GuardOutcome {
    /// Hand a request to its endpoint.
    Run(RunOrder),
    /// Reply to a dispatch.
    Reply {
        /// The call.
        ticket: CallTicket,
        /// The reply.
        reply: DispatchReply,
    },
    /// Reply to a revocation.
    RevokeReply {
        /// The call.
        ticket: CallTicket,
        /// The reply.
        reply: RevokeReply,
    },
    /// The endpoints or their states changed: announce at once.
    Announce,
    /// The endpoints of a service that was to drain have ended their requests.
    ServiceDrained(ServiceKey),
}

/// Decision core of the request guard.
#[derive(Debug)]
pub struct RequestGuard {
    incarnation: IncarnationId,
    limits: GuardLimits,
    record: AttemptRecord,
    answers: AnswerStore,
    endpoints: IndexMap<EndpointName, EndpointSlots>,
    waiters: Vec<RevokeWaiter>,
    held_bytes: usize,
    running: usize,
    draining: bool,
    /// Services that are to drain, and whether that was reported as done.
    leaving: IndexMap<ServiceKey, bool>,
    outcomes: Vec<GuardOutcome>,
}

impl RequestGuard {
    /// A guard of this incarnation of the agent, without endpoints.
    pub fn new(incarnation: IncarnationId, limits: GuardLimits) -> Self {
        let answers = AnswerStore::new(
            limits.answers_max,
            limits.answers_max_bytes,
            limits.answer_max_bytes,
        );
        Self {
            incarnation,
            record: AttemptRecord::new(limits.record_max, limits.entries_max),
            answers,
            limits,
            endpoints: IndexMap::new(),
            waiters: Vec::new(),
            held_bytes: 0,
            running: 0,
            draining: false,
            leaving: IndexMap::new(),
            outcomes: Vec::new(),
        }
    }

    /// Takes one input and returns what is to be done.
    pub fn step(&mut self, now: BootTime, input: GuardInput) -> Vec<GuardOutcome> {
        self.pass_time(now);
        match input {
            GuardInput::Dispatch { ticket, request } => self.dispatch(now, ticket, request),
            GuardInput::Revoke { ticket, request } => self.revoke(now, ticket, &request),
            GuardInput::Notice(notice) => self.take_notice(now, &notice),
            GuardInput::Finished { attempt, result } => self.finish(now, attempt, result),
            GuardInput::DrainService(service) => self.drain_service(now, service),
            GuardInput::ResumeService(service) => self.resume_service(&service),
            GuardInput::Drain => self.drain(),
            GuardInput::Tick => {}
        }
        self.fill_slots(now);
        self.report_drained();
        std::mem::take(&mut self.outcomes)
    }

    /// The endpoints as entries should see them.
    pub fn statuses(&self, now: BootTime) -> Vec<EndpointStatus> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.expires > now)
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

    /// Requests that run or wait.
    pub fn outstanding(&self) -> usize {
        self.endpoints
            .values()
            .map(EndpointSlots::outstanding)
            .sum()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Attempts that are remembered.
    pub fn recorded(&self) -> usize {
        self.record.len()
    }

    /// Answers that are kept.
    pub fn kept(&self) -> usize {
        self.answers.len()
    }

    /// Bytes of the answers that are kept.
    pub fn kept_bytes(&self) -> usize {
        self.answers.held_bytes()
    }

    /// When to call [`RequestGuard::step`] next if nothing happens before.
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
        let waiters = self.waiters.iter().map(|waiter| waiter.until);
        let idle = |endpoint: &&EndpointSlots| endpoint.outstanding() == 0;
        let expiries = self.endpoints.values().filter(idle);
        let expiries = expiries.map(|endpoint| endpoint.expires);
        queued.chain(running).chain(waiters).chain(expiries).min()
    }

    /// Ends what has run out by `now`.
    fn pass_time(&mut self, now: BootTime) {
        for attempt in self.record.expire(now) {
            self.answers.forget(&attempt);
        }
        self.drop_overdue_queued(now);
        self.reply_overdue_running(now);
        self.reply_overdue_waiters(now);
        self.drop_silent_endpoints(now);
    }

    fn take_notice(&mut self, now: BootTime, notice: &EndpointNotice) {
        let hold = self.limits.leaving_hold;
        let before = self
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
        if before != Some((endpoint.state, endpoint.address, endpoint.slots)) {
            self.outcomes.push(GuardOutcome::Announce);
        }
        if endpoint.state == NoticeState::Leaving {
            self.refuse_queue_of_leaving(now, &notice.endpoint);
        }
    }

    /// Removes endpoints that stopped announcing; slots in use are kept until they are free.
    fn drop_silent_endpoints(&mut self, now: BootTime) {
        let silent: Vec<EndpointName> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.expires <= now && endpoint.outstanding() == 0)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            self.endpoints.shift_remove(&name);
            self.outcomes.push(GuardOutcome::Announce);
        }
    }

    fn record_expiry(&self, now: BootTime) -> BootTime {
        now + self.limits.record_keep
    }
}

/// The time left of a deadline that counts from `now`.
fn deadline_after(now: BootTime, millis: u32) -> BootTime {
    now + Duration::from_millis(u64::from(millis))
}
