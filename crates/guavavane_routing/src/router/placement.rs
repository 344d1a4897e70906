//! Admission of requests, choice of their endpoints and dispatch of their attempts.

use std::sync::Arc;
use std::time::Duration;

use crate::choice::ChoiceOutcome;
use crate::choice::RoutingDecision;
use crate::lifecycle::PlacedRequest;
use crate::lifecycle::RequestLifecycle;
use crate::lifecycle::Waiting;
use crate::request::CallerRequest;
use crate::request::NotRunReason;
use crate::request::RequestResult;
use crate::router::InFlightRequest;
use crate::router::OpenAttempt;
use crate::router::RequestRouter;
use crate::router::RouterAction;
use crate::service::ServiceKey;
use crate::timer::TimerEvent;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::RequestId;
use guavavane_protocol::prelude::ClaimHolder;
use guavavane_protocol::prelude::DispatchRequest;

/// Age of an open attempt at which its endpoint counts as stalled, as a multiple of the tail
/// latency of the service.
const STALL_TIMEOUT_TAIL_MULTIPLE: u32 = 8;

impl RequestRouter {
    /// Admits a new request or refuses it immediately.
    pub(super) fn admit(&mut self, now: BootTime, request: Arc<CallerRequest>) {
        if let Some(reason) = self.find_refusal(now, &request) {
            self.actions.push(RouterAction::Finish {
                request: request.id,
                result: RequestResult::NotRun(reason),
            });
            return;
        }
        if request.claim.is_some() {
            self.keyed_requests += 1;
        }
        self.retry_budget.deposit();
        self.hedge_budget.deposit();
        let id = request.id;
        self.timers.add(request.deadline, TimerEvent::Deadline(id));
        let has_waiting = self
            .queue_length(&request.service)
            .is_some_and(|length| length > 0);
        let lifecycle = RequestLifecycle::new(request);
        if has_waiting {
            self.enqueue(now, lifecycle, false);
        } else {
            self.place(now, lifecycle, false);
        }
    }

    fn find_refusal(&self, now: BootTime, request: &CallerRequest) -> Option<NotRunReason> {
        if now >= request.deadline {
            return Some(NotRunReason::DeadlinePassed);
        }
        // An attempt can outlive its request, so both are limited.
        let is_full = self.requests.len() >= self.settings.requests_max
            || self.attempts.len() >= self.settings.requests_max;
        if is_full {
            return Some(NotRunReason::Overloaded);
        }
        let claims_in_use =
            self.keyed_requests + self.claim_updates.len() + self.abandoned_claims.len();
        if request.claim.is_some() && claims_in_use >= self.settings.claims_max {
            return Some(NotRunReason::ClaimsFull);
        }
        None
    }

    fn queue_length(&self, service: &ServiceKey) -> Option<usize> {
        self.queues.get(service).map(|queue| queue.len())
    }

    /// Starts an attempt at an endpoint, or queues the request if no endpoint has free capacity.
    pub(super) fn place(
        &mut self,
        now: BootTime,
        lifecycle: RequestLifecycle<Waiting>,
        is_resend: bool,
    ) {
        match self.choose_endpoint(now, &lifecycle) {
            ChoiceOutcome::Chosen(decision) => self.start_attempt(now, lifecycle, decision),
            ChoiceOutcome::NoRoom => self.enqueue(now, lifecycle, is_resend),
            ChoiceOutcome::NoEndpoint => {
                let reason = if is_resend {
                    NotRunReason::Refused
                } else {
                    NotRunReason::NoEndpoint
                };
                self.finish_waiting(now, lifecycle, reason);
            }
        }
    }

    fn choose_endpoint(
        &mut self,
        now: BootTime,
        lifecycle: &RequestLifecycle<Waiting>,
    ) -> ChoiceOutcome {
        let service = &lifecycle.context.request.service;
        let stall_timeout = self.stall_timeout(service);
        let excluded = &lifecycle.context.excluded;
        self.chooser.choose(
            now,
            &self.settings,
            &self.table,
            service,
            excluded,
            stall_timeout,
        )
    }

    pub(super) fn stall_timeout(&self, service: &ServiceKey) -> Duration {
        let tail = self
            .queues
            .get(service)
            .map_or(Duration::ZERO, |queue| queue.latency.tail());
        self.settings
            .stall_timeout_min
            .max(tail * STALL_TIMEOUT_TAIL_MULTIPLE)
    }

    /// Starts an attempt at the chosen endpoint; a keyed request claims its key first.
    fn start_attempt(
        &mut self,
        now: BootTime,
        lifecycle: RequestLifecycle<Waiting>,
        decision: RoutingDecision,
    ) {
        if self.is_too_late(now, &lifecycle.context.request) {
            self.requests.swap_remove(&lifecycle.context.request.id);
            self.finish_waiting(now, lifecycle, NotRunReason::DeadlinePassed);
            return;
        }
        let record = self
            .table
            .get(&decision.chosen.endpoint)
            .expect("a chosen endpoint is in the table");
        let service = lifecycle.context.request.service.clone();
        let (placed, holder) = lifecycle.place(record.target.clone());
        self.actions.push(RouterAction::Decision {
            attempt: holder.attempt,
            service,
            decision,
        });
        match placed {
            PlacedRequest::Running(lifecycle) => {
                let request = Arc::clone(&lifecycle.context.request);
                let is_first_attempt = lifecycle.context.attempts == 1;
                self.requests
                    .insert(request.id, InFlightRequest::Running(lifecycle));
                self.dispatch(now, &request, holder);
                if is_first_attempt {
                    self.schedule_hedge(now, &request);
                }
            }
            PlacedRequest::Claiming(lifecycle) => {
                self.open_attempt(now, &lifecycle.context.request, holder);
                self.send_claim(now, lifecycle);
            }
        }
    }

    /// Returns whether the remaining time is too short to dispatch an attempt with a deadline.
    pub(super) fn is_too_late(&self, now: BootTime, request: &CallerRequest) -> bool {
        request.deadline.saturating_since(now) <= self.settings.deadline_margin
    }

    /// Counts an attempt towards the load of its endpoint.
    pub(super) fn open_attempt(
        &mut self,
        now: BootTime,
        request: &Arc<CallerRequest>,
        holder: ClaimHolder,
    ) {
        if let Some(record) = self.table.find_mut(&holder.target) {
            record.open_attempt(now);
        }
        self.attempts.insert(
            holder.attempt,
            OpenAttempt {
                holder,
                request: Arc::clone(request),
                started_at: now,
            },
        );
    }

    /// Sends an attempt and counts it, unless it was counted when its claim was requested.
    pub(super) fn dispatch(
        &mut self,
        now: BootTime,
        request: &Arc<CallerRequest>,
        holder: ClaimHolder,
    ) {
        if !self.attempts.contains_key(&holder.attempt) {
            self.open_attempt(now, request, holder.clone());
        }
        let remaining = request.deadline.saturating_since(now);
        let attempt_timeout = remaining.saturating_sub(self.settings.deadline_margin);
        let call = DispatchRequest {
            attempt: holder.attempt,
            target: holder.target,
            service: request.service.service.clone(),
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            body: request.body.clone(),
            deadline_ms: u32::try_from(attempt_timeout.as_millis()).unwrap_or(u32::MAX),
            keep_answer: request.claim.is_some(),
        };
        self.actions.push(RouterAction::Dispatch {
            call: Box::new(call),
            timeout: remaining + self.settings.late_reply_timeout,
        });
    }

    fn schedule_hedge(&mut self, now: BootTime, request: &CallerRequest) {
        if !request.is_safe_to_repeat() || !request.may_hedge {
            return;
        }
        let tail = self
            .queues
            .get(&request.service)
            .map_or(Duration::ZERO, |queue| queue.latency.tail());
        if !tail.is_zero() {
            self.timers.add(now + tail, TimerEvent::Hedge(request.id));
        }
    }

    /// Sends a hedge beside a slow first attempt, if the budget allows one.
    pub(super) fn send_hedge(&mut self, now: BootTime, id: RequestId) {
        let Some(InFlightRequest::Running(lifecycle)) = self.requests.get(&id) else {
            return;
        };
        if lifecycle.open_attempts().len() != 1
            || lifecycle.context.attempts >= self.settings.attempts_max
        {
            return;
        }
        let request = Arc::clone(&lifecycle.context.request);
        if self.is_too_late(now, &request) {
            return;
        }
        let mut excluded = lifecycle.context.excluded.clone();
        excluded.push(lifecycle.open_attempts()[0].target.endpoint.clone());
        let stall_timeout = self.stall_timeout(&request.service);
        let choice = self.chooser.choose(
            now,
            &self.settings,
            &self.table,
            &request.service,
            &excluded,
            stall_timeout,
        );
        let ChoiceOutcome::Chosen(decision) = choice else {
            return;
        };
        if !self.hedge_budget.try_withdraw() {
            return;
        }
        let target = self
            .table
            .get(&decision.chosen.endpoint)
            .expect("a chosen endpoint is in the table")
            .target
            .clone();
        let Some(InFlightRequest::Running(lifecycle)) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(holder) = lifecycle.add_hedge(target) else {
            return;
        };
        let service = request.service.clone();
        self.actions.push(RouterAction::Decision {
            attempt: holder.attempt,
            service,
            decision,
        });
        self.dispatch(now, &request, holder);
    }

    /// Queues a request, or ends it if the queue is full or it cannot finish in time.
    ///
    /// A request that is sent again is queued regardless of the expected wait.
    fn enqueue(
        &mut self,
        now: BootTime,
        mut lifecycle: RequestLifecycle<Waiting>,
        is_resend: bool,
    ) {
        let request = Arc::clone(&lifecycle.context.request);
        let slots = self.count_live_slots(now, &request.service);
        let queue = self.queues.entry(request.service.clone()).or_default();
        let is_full = queue.len() >= self.settings.queue_max;
        let cannot_finish = !is_resend && !queue.can_finish(now, request.deadline, slots);
        if is_full || cannot_finish {
            self.finish_waiting(now, lifecycle, NotRunReason::Overloaded);
            return;
        }
        queue.push(request.id, is_resend);
        // After the wait, endpoints that refused the request before may be chosen again.
        lifecycle.context.excluded.clear();
        self.requests
            .insert(request.id, InFlightRequest::Waiting(lifecycle));
    }

    fn count_live_slots(&self, now: BootTime, service: &ServiceKey) -> usize {
        let Some(pool) = self.table.pool(service) else {
            return 0;
        };
        pool.local
            .iter()
            .chain(&pool.remote)
            .map(|index| self.table.endpoint_at(*index))
            .filter(|record| record.is_live(now))
            .map(|record| usize::from(record.slots))
            .sum()
    }

    pub(super) fn remove_from_queue(&mut self, lifecycle: &RequestLifecycle<Waiting>) {
        let request = &lifecycle.context.request;
        if let Some(queue) = self.queues.get_mut(&request.service) {
            queue.remove(request.id);
        }
    }

    /// Starts attempts for the waiting requests of all services while endpoints have free
    /// capacity.
    pub(super) fn dispatch_all_queues(&mut self, now: BootTime) {
        for index in 0..self.queues.len() {
            let Some((service, queue)) = self.queues.get_index(index) else {
                return;
            };
            if !queue.is_empty() {
                let service = service.clone();
                self.dispatch_queue(now, &service);
            }
        }
    }

    /// Starts attempts for the waiting requests of a service while endpoints have free capacity.
    pub(super) fn dispatch_queue(&mut self, now: BootTime, service: &ServiceKey) {
        while let Some(id) = self.queues.get(service).and_then(|queue| queue.front()) {
            let Some(InFlightRequest::Waiting(lifecycle)) = self.requests.get(&id) else {
                self.pop_queue(service);
                continue;
            };
            let lifecycle = lifecycle.clone();
            let remaining = lifecycle.context.request.deadline.saturating_since(now);
            let service_time_min = self
                .queues
                .get(service)
                .map_or(Duration::ZERO, |queue| queue.service_time_min());
            if remaining <= service_time_min {
                self.pop_queue(service);
                self.requests.swap_remove(&id);
                self.finish_waiting(now, lifecycle, NotRunReason::DeadlinePassed);
                continue;
            }
            match self.choose_endpoint(now, &lifecycle) {
                ChoiceOutcome::Chosen(decision) => {
                    self.pop_queue(service);
                    self.start_attempt(now, lifecycle, decision);
                }
                ChoiceOutcome::NoRoom => return,
                ChoiceOutcome::NoEndpoint => {
                    self.pop_queue(service);
                    self.requests.swap_remove(&id);
                    self.finish_waiting(now, lifecycle, NotRunReason::NoEndpoint);
                }
            }
        }
    }

    fn pop_queue(&mut self, service: &ServiceKey) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.pop();
        }
    }

    /// Ends a waiting request and releases a claim that it holds.
    pub(super) fn finish_waiting(
        &mut self,
        now: BootTime,
        lifecycle: RequestLifecycle<Waiting>,
        reason: NotRunReason,
    ) {
        let request = Arc::clone(&lifecycle.context.request);
        let holder_to_release = lifecycle.context.holder_to_release();
        self.finish(&request, lifecycle.finish(reason));
        if let Some(not_run) = holder_to_release {
            self.release_claim(now, &request, not_run);
        }
    }
}
