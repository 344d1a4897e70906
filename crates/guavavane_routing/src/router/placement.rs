//! Admission, choice of an endpoint and dispatch.

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
use crate::router::LiveRequest;
use crate::router::OpenAttempt;
use crate::router::RequestRouter;
use crate::router::RouterOutcome;
use crate::service::ServiceKey;
use crate::timer::TimerEvent;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::RequestId;
use guavavane_protocol::prelude::ClaimHolder;
use guavavane_protocol::prelude::DispatchRequest;

/// Silence of an endpoint that counts as a stall, in multiples of the service's tail latency.
const STALL_TAILS: u32 = 8;

impl RequestRouter {
    /// Takes a new request, or refuses it at once.
    pub(super) fn admit(&mut self, now: BootTime, request: Arc<CallerRequest>) {
        if let Some(reason) = self.check_bounds(now, &request) {
            self.outcomes.push(RouterOutcome::Finish {
                request: request.id,
                result: RequestResult::NotRun(reason),
            });
            return;
        }
        if request.claim.is_some() {
            self.keyed += 1;
        }
        self.retries.deposit();
        self.hedges.deposit();
        let id = request.id;
        self.timers.add(request.deadline, TimerEvent::Deadline(id));
        let busy = self.queue(&request.service).is_some_and(|n| n > 0);
        let lifecycle = RequestLifecycle::new(request);
        if busy {
            self.enqueue(now, lifecycle, false);
        } else {
            self.place(now, lifecycle, false);
        }
    }

    fn check_bounds(&self, now: BootTime, request: &CallerRequest) -> Option<NotRunReason> {
        if now >= request.deadline {
            return Some(NotRunReason::DeadlinePassed);
        }
        // An attempt can outlive its request, so both are bounded.
        let full = self.requests.len() >= self.settings.requests_max
            || self.attempts.len() >= self.settings.requests_max;
        if full {
            return Some(NotRunReason::Overloaded);
        }
        let claims = self.keyed + self.jobs.len() + self.abandoned.len();
        if request.claim.is_some() && claims >= self.settings.claims_max {
            return Some(NotRunReason::ClaimsFull);
        }
        None
    }

    fn queue(&self, service: &ServiceKey) -> Option<usize> {
        self.queues.get(service).map(|queue| queue.len())
    }

    /// Gives the request an endpoint, or lets it wait for one.
    pub(super) fn place(
        &mut self,
        now: BootTime,
        lifecycle: RequestLifecycle<Waiting>,
        resent: bool,
    ) {
        match self.choose(now, &lifecycle) {
            ChoiceOutcome::Chosen(decision) => self.start(now, lifecycle, decision),
            ChoiceOutcome::NoRoom => self.enqueue(now, lifecycle, resent),
            ChoiceOutcome::NoEndpoint => {
                let reason = if resent {
                    NotRunReason::Refused
                } else {
                    NotRunReason::NoEndpoint
                };
                self.finish_waiting(now, lifecycle, reason);
            }
        }
    }

    fn choose(&mut self, now: BootTime, lifecycle: &RequestLifecycle<Waiting>) -> ChoiceOutcome {
        let service = &lifecycle.context.request.service;
        let stall_limit = self.stall_limit(service);
        let avoid = &lifecycle.context.excluded;
        self.chooser.choose(
            now,
            &self.settings,
            &self.table,
            service,
            avoid,
            stall_limit,
        )
    }

    pub(super) fn stall_limit(&self, service: &ServiceKey) -> Duration {
        let tail = self
            .queues
            .get(service)
            .map_or(Duration::ZERO, |queue| queue.latency.tail());
        self.settings.stall_timeout_min.max(tail * STALL_TAILS)
    }

    /// Starts an attempt at the chosen endpoint, with a claim first if the request has a key.
    fn start(
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
        self.outcomes.push(RouterOutcome::Decision {
            attempt: holder.attempt,
            service,
            decision,
        });
        match placed {
            PlacedRequest::Running(lifecycle) => {
                let request = Arc::clone(&lifecycle.context.request);
                let first = lifecycle.context.attempts == 1;
                self.requests
                    .insert(request.id, LiveRequest::Running(lifecycle));
                self.dispatch(now, &request, holder);
                if first {
                    self.schedule_hedge(now, &request);
                }
            }
            PlacedRequest::Claiming(lifecycle) => {
                self.open_attempt(now, &lifecycle.context.request, holder);
                self.send_claim(now, lifecycle);
            }
        }
    }

    /// Whether the time left is not enough to pass a deadline on.
    pub(super) fn is_too_late(&self, now: BootTime, request: &CallerRequest) -> bool {
        request.deadline.saturating_since(now) <= self.settings.deadline_margin
    }

    /// Takes room at the endpoint of an attempt.
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

    /// Sends an attempt, taking room for it unless its claim has done so.
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
        let deadline = remaining.saturating_sub(self.settings.deadline_margin);
        let call = DispatchRequest {
            attempt: holder.attempt,
            target: holder.target,
            service: request.service.service.clone(),
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            body: request.body.clone(),
            deadline_ms: u32::try_from(deadline.as_millis()).unwrap_or(u32::MAX),
            keep_answer: request.claim.is_some(),
        };
        self.outcomes.push(RouterOutcome::Dispatch {
            call: Box::new(call),
            limit: remaining + self.settings.late_reply_timeout,
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

    /// Sends a second attempt beside a slow first one, if the budget has it.
    pub(super) fn hedge(&mut self, now: BootTime, id: RequestId) {
        let Some(LiveRequest::Running(lifecycle)) = self.requests.get(&id) else {
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
        let mut avoid = lifecycle.context.excluded.clone();
        avoid.push(lifecycle.open_attempts()[0].target.endpoint.clone());
        let stall_limit = self.stall_limit(&request.service);
        let outcome = self.chooser.choose(
            now,
            &self.settings,
            &self.table,
            &request.service,
            &avoid,
            stall_limit,
        );
        let ChoiceOutcome::Chosen(decision) = outcome else {
            return;
        };
        if !self.hedges.try_withdraw() {
            return;
        }
        let target = self
            .table
            .get(&decision.chosen.endpoint)
            .expect("a chosen endpoint is in the table")
            .target
            .clone();
        let Some(LiveRequest::Running(lifecycle)) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(holder) = lifecycle.add_hedge(target) else {
            return;
        };
        let service = request.service.clone();
        self.outcomes.push(RouterOutcome::Decision {
            attempt: holder.attempt,
            service,
            decision,
        });
        self.dispatch(now, &request, holder);
    }

    /// Lets a request wait, unless it could not end in time.
    fn enqueue(&mut self, now: BootTime, mut lifecycle: RequestLifecycle<Waiting>, resent: bool) {
        let request = Arc::clone(&lifecycle.context.request);
        let slots = self.usable_slots(now, &request.service);
        let queue = self.queues.entry(request.service.clone()).or_default();
        let full = queue.len() >= self.settings.queue_max;
        let hopeless = !resent && !queue.can_finish(now, request.deadline, slots);
        if full || hopeless {
            self.finish_waiting(now, lifecycle, NotRunReason::Overloaded);
            return;
        }
        queue.push(request.id, resent);
        lifecycle.context.excluded.clear();
        self.requests
            .insert(request.id, LiveRequest::Waiting(lifecycle));
    }

    fn usable_slots(&self, now: BootTime, service: &ServiceKey) -> usize {
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

    pub(super) fn leave_queue(&mut self, lifecycle: &RequestLifecycle<Waiting>) {
        let request = &lifecycle.context.request;
        if let Some(queue) = self.queues.get_mut(&request.service) {
            queue.remove(request.id);
        }
    }

    /// Gives endpoints with room to the requests that wait, in all queues.
    pub(super) fn pump_all(&mut self, now: BootTime) {
        for index in 0..self.queues.len() {
            let Some((service, queue)) = self.queues.get_index(index) else {
                return;
            };
            if !queue.is_empty() {
                let service = service.clone();
                self.pump(now, &service);
            }
        }
    }

    /// Gives endpoints with room to the requests that wait for a service.
    pub(super) fn pump(&mut self, now: BootTime, service: &ServiceKey) {
        while let Some(id) = self.queues.get(service).and_then(|queue| queue.front()) {
            let Some(LiveRequest::Waiting(lifecycle)) = self.requests.get(&id) else {
                self.pop_queue(service);
                continue;
            };
            let lifecycle = lifecycle.clone();
            let left = lifecycle.context.request.deadline.saturating_since(now);
            let least = self
                .queues
                .get(service)
                .map_or(Duration::ZERO, |queue| queue.service_time_min());
            if left <= least {
                self.pop_queue(service);
                self.requests.swap_remove(&id);
                self.finish_waiting(now, lifecycle, NotRunReason::DeadlinePassed);
                continue;
            }
            match self.choose(now, &lifecycle) {
                ChoiceOutcome::Chosen(decision) => {
                    self.pop_queue(service);
                    self.start(now, lifecycle, decision);
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

    /// Ends a request that waits; a claim that it holds is released.
    pub(super) fn finish_waiting(
        &mut self,
        now: BootTime,
        lifecycle: RequestLifecycle<Waiting>,
        reason: NotRunReason,
    ) {
        let request = Arc::clone(&lifecycle.context.request);
        let released = lifecycle.context.claim_to_release();
        self.finish(&request, lifecycle.finish(reason));
        if let Some(not_run) = released {
            self.release_claim(now, &request, not_run);
        }
    }
}
