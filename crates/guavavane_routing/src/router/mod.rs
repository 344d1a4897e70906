//! The core of an entry: takes inputs one at a time and says what is to be done.

mod claims;
mod health;
mod placement;
mod replies;

use std::mem;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::admission::AdmissionQueue;
use crate::budget::RetryBudget;
use crate::choice::EndpointChooser;
use crate::choice::RoutingDecision;
use crate::claim::ClaimTag;
use crate::claim::ClaimUpdate;
use crate::lifecycle::Blocked;
use crate::lifecycle::Claiming;
use crate::lifecycle::RequestLifecycle;
use crate::lifecycle::Resolving;
use crate::lifecycle::Running;
use crate::lifecycle::Waiting;
use crate::request::AttemptResult;
use crate::request::CallerRequest;
use crate::request::NotRunReason;
use crate::request::RequestResult;
use crate::service::ServiceKey;
use crate::settings::RoutingSettings;
use crate::table::EndpointTable;
use crate::timer::TimerEvent;
use crate::timer::TimerQueue;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::RequestId;
use guavavane_protocol::prelude::ClaimHolder;
use guavavane_protocol::prelude::ClaimReply;
use guavavane_protocol::prelude::ClaimRequest;
use guavavane_protocol::prelude::DataCentreStatus;
use guavavane_protocol::prelude::DispatchRequest;
use guavavane_protocol::prelude::DispatchTarget;
use guavavane_protocol::prelude::EndpointAnnouncement;
use guavavane_protocol::prelude::RequestAttempt;
use guavavane_protocol::prelude::RevokeReply;
use guavavane_protocol::prelude::RevokeRequest;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum RouterInput {
    /// A caller sent a request.
    Request(Box<CallerRequest>),
    /// An attempt ended.
    Reply(RequestAttempt, AttemptResult),
    /// A call to control ended; `None` if no leader was found in time.
    Claim(ClaimTag, Option<ClaimReply>),
    /// A revocation ended; `None` if the agent did not answer.
    Revoke(RequestId, Option<RevokeReply>),
    /// An agent announced its endpoints.
    Announcement(Box<EndpointAnnouncement>),
    /// Control sent the state of the data centres.
    DataCentres(Vec<DataCentreStatus>),
    /// Time passed.
    Tick,
}

/// Something to be done.
#[derive(Clone, Debug)]
pub enum RouterOutcome {
    /// Send an attempt; report its end within the limit.
    Dispatch {
        /// The call.
        call: Box<DispatchRequest>,
        /// Longest wait for the reply.
        limit: Duration,
    },
    /// Send a claim to the control leader; report its end within the limit.
    Claim {
        /// What the reply belongs to.
        tag: ClaimTag,
        /// The call.
        call: Box<ClaimRequest>,
        /// Longest wait for the reply.
        limit: Duration,
    },
    /// Ask an agent about an attempt; report the end within the limit.
    Revoke {
        /// The request that waits for it.
        request: RequestId,
        /// The agent that took the attempt.
        target: DispatchTarget,
        /// The call.
        call: RevokeRequest,
        /// Longest wait for the reply.
        limit: Duration,
    },
    /// Give the caller its result.
    Finish {
        /// The request.
        request: RequestId,
        /// Its result.
        result: RequestResult,
    },
    /// An endpoint was chosen for an attempt; for the log.
    Decision {
        /// The attempt.
        attempt: RequestAttempt,
        /// Service that the request is for.
        service: ServiceKey,
        /// The choice.
        decision: RoutingDecision,
    },
}

#[derive(Clone, Debug)]
enum LiveRequest {
    Waiting(RequestLifecycle<Waiting>),
    Claiming(RequestLifecycle<Claiming>),
    Blocked(RequestLifecycle<Blocked>),
    Running(RequestLifecycle<Running>),
    Resolving(RequestLifecycle<Resolving>),
}

/// An attempt that takes room at an endpoint.
#[derive(Clone, Debug)]
struct OpenAttempt {
    holder: ClaimHolder,
    request: Arc<CallerRequest>,
    started_at: BootTime,
}

/// Counts of a router, for metrics and status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterCounts {
    /// Requests in flight.
    pub requests: usize,
    /// Requests that wait for an endpoint.
    pub queued: usize,
    /// Attempts without a reply.
    pub attempts: usize,
    /// Claims that are being settled or released.
    pub claim_jobs: usize,
}

/// Routes the requests of one entry.
#[derive(Clone, Debug)]
pub struct RequestRouter {
    settings: RoutingSettings,
    table: EndpointTable,
    chooser: EndpointChooser,
    queues: IndexMap<ServiceKey, AdmissionQueue>,
    requests: IndexMap<RequestId, LiveRequest>,
    attempts: IndexMap<RequestAttempt, OpenAttempt>,
    abandoned: IndexMap<RequestId, ClaimRequest>,
    jobs: IndexMap<u64, ClaimUpdate>,
    next_job: u64,
    keyed: usize,
    retries: RetryBudget,
    hedges: RetryBudget,
    timers: TimerQueue,
    outcomes: Vec<RouterOutcome>,
}

impl RequestRouter {
    /// A router that knows no endpoint yet.
    pub fn new(settings: RoutingSettings) -> Self {
        let tokens_max = settings.budget_tokens_max;
        Self {
            table: EndpointTable::new(settings.data_centre.clone(), settings.endpoints_max),
            chooser: EndpointChooser::new(settings.seed),
            queues: IndexMap::new(),
            requests: IndexMap::new(),
            attempts: IndexMap::new(),
            abandoned: IndexMap::new(),
            jobs: IndexMap::new(),
            next_job: 0,
            keyed: 0,
            retries: RetryBudget::new(settings.retry_percent, tokens_max),
            hedges: RetryBudget::new(settings.hedge_percent, tokens_max),
            timers: TimerQueue::default(),
            outcomes: Vec::new(),
            settings,
        }
    }

    /// Takes one input and returns what is to be done, in order.
    pub fn step(&mut self, now: BootTime, input: RouterInput) -> Vec<RouterOutcome> {
        self.run_timers(now);
        match input {
            RouterInput::Request(request) => self.admit(now, Arc::from(request)),
            RouterInput::Reply(attempt, result) => self.end_attempt(now, attempt, result),
            RouterInput::Claim(ClaimTag::Request(id), reply) => self.end_claim(now, id, reply),
            RouterInput::Claim(ClaimTag::Update(job), reply) => self.end_job(now, job, reply),
            RouterInput::Revoke(id, reply) => self.end_revoke(now, id, reply),
            RouterInput::Announcement(announcement) => self.announce(now, *announcement),
            RouterInput::DataCentres(statuses) => {
                self.table.set_data_centres(&statuses);
                self.restore_floor(now);
            }
            RouterInput::Tick => self.tick(now),
        }
        self.run_timers(now);
        mem::take(&mut self.outcomes)
    }

    /// Moment of the next timer.
    pub fn next_timer(&self) -> Option<BootTime> {
        self.timers.next_due_at()
    }

    /// The endpoints.
    pub fn table(&self) -> &EndpointTable {
        &self.table
    }

    /// Counts for metrics and status.
    pub fn counts(&self) -> RouterCounts {
        RouterCounts {
            requests: self.requests.len(),
            queued: self.queues.values().map(AdmissionQueue::len).sum(),
            attempts: self.attempts.len(),
            claim_jobs: self.jobs.len() + self.abandoned.len(),
        }
    }

    fn announce(&mut self, now: BootTime, announcement: EndpointAnnouncement) {
        self.table.apply_announcement(now, announcement);
        self.restore_floor(now);
        self.pump_all(now);
    }

    fn tick(&mut self, now: BootTime) {
        self.table.remove_expired(now);
        self.restore_floor(now);
        self.pump_all(now);
    }

    fn run_timers(&mut self, now: BootTime) {
        while let Some(event) = self.timers.pop_due(now) {
            match event {
                TimerEvent::Deadline(id) => self.expire(now, id),
                TimerEvent::Hedge(id) => self.hedge(now, id),
                TimerEvent::ClaimBackoff(id) => self.recheck_claim(now, id),
                TimerEvent::ClaimUpdate(job) => self.send_job(now, job),
            }
        }
    }

    /// Ends a request whose deadline has passed.
    fn expire(&mut self, now: BootTime, id: RequestId) {
        let Some(live) = self.requests.swap_remove(&id) else {
            return;
        };
        match live {
            LiveRequest::Waiting(lifecycle) => {
                self.leave_queue(&lifecycle);
                self.finish_waiting(now, lifecycle, NotRunReason::DeadlinePassed);
            }
            LiveRequest::Claiming(lifecycle) => {
                self.abandon_claim(&lifecycle);
                let request = Arc::clone(&lifecycle.context.request);
                let result = lifecycle.finish(NotRunReason::ControlUnavailable);
                self.finish(&request, result);
            }
            LiveRequest::Blocked(lifecycle) => {
                let request = Arc::clone(&lifecycle.context.request);
                self.finish(&request, lifecycle.finish());
            }
            LiveRequest::Running(lifecycle) => {
                let request = Arc::clone(&lifecycle.context.request);
                self.finish(&request, lifecycle.finish());
            }
            LiveRequest::Resolving(lifecycle) => {
                let request = Arc::clone(&lifecycle.context.request);
                self.finish(&request, lifecycle.finish());
            }
        }
    }

    /// Gives the caller its result; the request is no longer live.
    fn finish(&mut self, request: &CallerRequest, result: RequestResult) {
        if request.claim.is_some() {
            self.keyed -= 1;
        }
        let deadline = TimerEvent::Deadline(request.id);
        self.timers.remove(request.deadline, deadline);
        self.outcomes.push(RouterOutcome::Finish {
            request: request.id,
            result,
        });
    }
}
