//! State machine of an entry: takes one input at a time and returns the actions to carry out.

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

/// Event that the router reacts to.
#[derive(Clone, Debug)]
pub enum RouterInput {
    /// A caller sent a request.
    Request(Box<CallerRequest>),
    /// An attempt ended.
    Reply(RequestAttempt, AttemptResult),
    /// A claim call ended; `None` if no leader was found before the timeout.
    Claim(ClaimTag, Option<ClaimReply>),
    /// A revocation ended; `None` if the agent did not answer.
    Revoke(RequestId, Option<RevokeReply>),
    /// An agent announced its endpoints.
    Announcement(Box<EndpointAnnouncement>),
    /// Control sent the state of the data centres.
    DataCentres(Vec<DataCentreStatus>),
    /// Time passed without another input.
    Tick,
}

/// Action that the owner of the router carries out.
#[derive(Clone, Debug)]
pub enum RouterAction {
    /// Send an attempt, and report its result within `timeout`.
    Dispatch {
        /// Attempt with the content of the request.
        call: Box<DispatchRequest>,
        /// Timeout of the reply.
        timeout: Duration,
    },
    /// Send a claim call to the control leader, and report its reply within `timeout`.
    Claim {
        /// What waits for the reply.
        tag: ClaimTag,
        /// Change of the claim.
        call: Box<ClaimRequest>,
        /// Timeout of the reply.
        timeout: Duration,
    },
    /// Ask an agent to revoke an attempt, and report its reply within `timeout`.
    Revoke {
        /// Request that waits for the reply.
        request: RequestId,
        /// Agent that the attempt was sent to.
        target: DispatchTarget,
        /// Attempt to revoke.
        call: RevokeRequest,
        /// Timeout of the reply.
        timeout: Duration,
    },
    /// Give the caller its result.
    Finish {
        /// The request that ended.
        request: RequestId,
        /// Final result of the request.
        result: RequestResult,
    },
    /// Log that an endpoint was chosen for an attempt.
    Decision {
        /// The attempt that gets the endpoint.
        attempt: RequestAttempt,
        /// Service that the request is for.
        service: ServiceKey,
        /// The chosen endpoint with its alternatives.
        decision: RoutingDecision,
    },
}

#[derive(Clone, Debug)]
enum InFlightRequest {
    Waiting(RequestLifecycle<Waiting>),
    Claiming(RequestLifecycle<Claiming>),
    Blocked(RequestLifecycle<Blocked>),
    Running(RequestLifecycle<Running>),
    Resolving(RequestLifecycle<Resolving>),
}

/// An attempt that counts towards the load of its endpoint.
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
    pub claim_updates: usize,
}

/// Routes the requests of one entry.
#[derive(Clone, Debug)]
pub struct RequestRouter {
    settings: RoutingSettings,
    table: EndpointTable,
    chooser: EndpointChooser,
    queues: IndexMap<ServiceKey, AdmissionQueue>,
    requests: IndexMap<RequestId, InFlightRequest>,
    attempts: IndexMap<RequestAttempt, OpenAttempt>,
    abandoned_claims: IndexMap<RequestId, ClaimRequest>,
    claim_updates: IndexMap<u64, ClaimUpdate>,
    next_update_id: u64,
    keyed_requests: usize,
    retry_budget: RetryBudget,
    hedge_budget: RetryBudget,
    timers: TimerQueue,
    actions: Vec<RouterAction>,
}

impl RequestRouter {
    /// Creates a router that knows no endpoint yet.
    pub fn new(settings: RoutingSettings) -> Self {
        let tokens_max = settings.budget_tokens_max;
        Self {
            table: EndpointTable::new(settings.data_centre.clone(), settings.endpoints_max),
            chooser: EndpointChooser::new(settings.seed),
            queues: IndexMap::new(),
            requests: IndexMap::new(),
            attempts: IndexMap::new(),
            abandoned_claims: IndexMap::new(),
            claim_updates: IndexMap::new(),
            next_update_id: 0,
            keyed_requests: 0,
            retry_budget: RetryBudget::new(settings.retry_percent, tokens_max),
            hedge_budget: RetryBudget::new(settings.hedge_percent, tokens_max),
            timers: TimerQueue::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Applies one input and returns the actions to carry out, in order.
    pub fn step(&mut self, now: BootTime, input: RouterInput) -> Vec<RouterAction> {
        self.run_due_timers(now);
        match input {
            RouterInput::Request(request) => self.admit(now, Arc::from(request)),
            RouterInput::Reply(attempt, result) => self.handle_attempt_result(now, attempt, result),
            RouterInput::Claim(ClaimTag::Request(id), reply) => {
                self.handle_claim_reply(now, id, reply)
            }
            RouterInput::Claim(ClaimTag::Update(update_id), reply) => {
                self.handle_update_reply(now, update_id, reply)
            }
            RouterInput::Revoke(id, reply) => self.handle_revoke_reply(now, id, reply),
            RouterInput::Announcement(announcement) => self.handle_announcement(now, *announcement),
            RouterInput::DataCentres(statuses) => {
                self.table.set_data_centres(&statuses);
                self.enforce_ejection_limit(now);
            }
            RouterInput::Tick => self.handle_tick(now),
        }
        self.run_due_timers(now);
        mem::take(&mut self.actions)
    }

    /// Returns the due time of the earliest timer.
    pub fn next_timer(&self) -> Option<BootTime> {
        self.timers.next_due_at()
    }

    /// Returns the table of endpoints.
    pub fn table(&self) -> &EndpointTable {
        &self.table
    }

    /// Returns the counts for metrics and status.
    pub fn counts(&self) -> RouterCounts {
        RouterCounts {
            requests: self.requests.len(),
            queued: self.queues.values().map(AdmissionQueue::len).sum(),
            attempts: self.attempts.len(),
            claim_updates: self.claim_updates.len() + self.abandoned_claims.len(),
        }
    }

    fn handle_announcement(&mut self, now: BootTime, announcement: EndpointAnnouncement) {
        self.table.apply_announcement(now, announcement);
        self.enforce_ejection_limit(now);
        self.dispatch_all_queues(now);
    }

    fn handle_tick(&mut self, now: BootTime) {
        self.table.remove_expired(now);
        self.enforce_ejection_limit(now);
        self.dispatch_all_queues(now);
    }

    fn run_due_timers(&mut self, now: BootTime) {
        while let Some(event) = self.timers.pop_due(now) {
            match event {
                TimerEvent::Deadline(id) => self.expire_request(now, id),
                TimerEvent::Hedge(id) => self.send_hedge(now, id),
                TimerEvent::ClaimBackoff(id) => self.retry_claim(now, id),
                TimerEvent::ClaimUpdate(update_id) => self.send_update(now, update_id),
            }
        }
    }

    /// Ends a request whose deadline has passed.
    fn expire_request(&mut self, now: BootTime, id: RequestId) {
        let Some(request) = self.requests.swap_remove(&id) else {
            return;
        };
        match request {
            InFlightRequest::Waiting(lifecycle) => {
                self.remove_from_queue(&lifecycle);
                self.finish_waiting(now, lifecycle, NotRunReason::DeadlinePassed);
            }
            InFlightRequest::Claiming(lifecycle) => {
                self.abandon_claim(&lifecycle);
                let request = Arc::clone(&lifecycle.context.request);
                let result = lifecycle.finish(NotRunReason::ControlUnavailable);
                self.finish(&request, result);
            }
            InFlightRequest::Blocked(lifecycle) => {
                let request = Arc::clone(&lifecycle.context.request);
                self.finish(&request, lifecycle.finish());
            }
            InFlightRequest::Running(lifecycle) => {
                let request = Arc::clone(&lifecycle.context.request);
                self.finish(&request, lifecycle.finish());
            }
            InFlightRequest::Resolving(lifecycle) => {
                let request = Arc::clone(&lifecycle.context.request);
                self.finish(&request, lifecycle.finish());
            }
        }
    }

    /// Gives the caller its result and stops counting the request.
    fn finish(&mut self, request: &CallerRequest, result: RequestResult) {
        if request.claim.is_some() {
            self.keyed_requests -= 1;
        }
        let deadline = TimerEvent::Deadline(request.id);
        self.timers.remove(request.deadline, deadline);
        self.actions.push(RouterAction::Finish {
            request: request.id,
            result,
        });
    }
}
