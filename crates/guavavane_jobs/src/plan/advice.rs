//! Caches the tickets of the advice service and decides when to request more.
//!
//! Steps of some queues need a ticket from an external advice service for each worker that they
//! start on. The service takes some time per worker and answers one request after the other. A request
//! therefore names only the highest-scoring workers, and the next request follows only when no worker
//! with a valid ticket has free capacity. Tickets are dropped before their validity ends, because a
//! start with an expired ticket is refused.
//!
//! The service does not say when it gave a ticket. It gave it no earlier than its decision on that worker
//! was due, counted from the request, and no later than the reply. The validity counts from the earlier
//! of the two. If the reply comes much later than it was due, because the request waited for others or
//! the service is slower than configured, most of that time is taken to have passed before the ticket was
//! given: a sound service gives none that has expired. A request is sent only if its reply is expected
//! early enough to be used, or if no other request is open.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::identity::StepKey;
use crate::ledger::JobLedger;
use crate::ledger::WorkerIndex;
use crate::queue::AdviceTiming;
use guavavane_model::prelude::BootTime;

/// Most workers of one request: the reply comes only after the service has decided on all.
const REQUEST_WORKERS_MAX: usize = 30;
/// Most steps with a request without a reply: the service accepts 32 requests and serves them in turn.
const PENDING_REQUESTS_MAX: usize = 8;
/// Fraction of its validity for which a ticket is used: the start that needs it may take a while.
const VALIDITY_FRACTION: f64 = 0.7;
/// Fraction of the validity for which a ticket may wait for the reply, so that it can be used for as long
/// again.
const REPLY_FRACTION: f64 = VALIDITY_FRACTION / 2.0;
/// Largest factor by which the service is taken to be slower than configured.
const SLOWDOWN_MAX: f64 = 8.0;

/// Ticket that allows the tasks of a step to start on one worker.
#[derive(Clone, Debug)]
struct WorkerTicket {
    ticket: Arc<str>,
    valid_until: BootTime,
}

/// Tickets and requests of one step.
#[derive(Clone, Debug, Default)]
struct StepAdvice {
    /// Whether a request has no reply yet.
    pending: bool,
    /// Time of the latest request.
    asked_at: BootTime,
    /// Workers that the service has decided on.
    asked_workers: IndexSet<WorkerIndex>,
    tickets: IndexMap<WorkerIndex, WorkerTicket>,
}

/// Request that the service has not answered.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    asked_at: BootTime,
    timing: AdviceTiming,
    /// Time that the service takes for it by its configuration.
    service_time: Duration,
}

impl OpenRequest {
    /// Earliest time at which the service can have given a ticket for the worker at a position of the
    /// request, whose reply arrived at `now`.
    fn given_at(&self, now: BootTime, position: usize) -> BootTime {
        let due_ms = self.timing.reply_ms(position + 1);
        let due_at = self.asked_at + Duration::from_millis(due_ms);
        let waited_max = reply_time_max(&self.timing);
        let waited_max_ms = u64::try_from(waited_max.as_millis()).unwrap_or(u64::MAX);
        let earliest = BootTime::from_millis(now.as_millis().saturating_sub(waited_max_ms));
        due_at.max(earliest).min(now)
    }
}

/// Request to send to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketRequest {
    /// Workers to request tickets for, the best first.
    pub workers: Vec<WorkerIndex>,
    /// Expected time until the reply, with the requests that are answered before it.
    pub reply_time: Duration,
}

/// Tickets of all steps that need them; lost when the leader changes.
#[derive(Clone, Debug)]
pub struct AdviceCache {
    steps: IndexMap<StepKey, StepAdvice>,
    /// Open requests, also those of steps that have ended meanwhile.
    open_requests: IndexMap<StepKey, OpenRequest>,
    /// Time of the latest reply.
    replied_at: BootTime,
    /// Factor by which the service has been slower than configured; at least 1.
    slowdown: f64,
}

impl Default for AdviceCache {
    fn default() -> Self {
        Self {
            steps: IndexMap::new(),
            open_requests: IndexMap::new(),
            replied_at: BootTime::default(),
            slowdown: 1.0,
        }
    }
}

/// Longest time from a request to its reply with which tickets of this timing are still useful.
pub fn reply_time_max(timing: &AdviceTiming) -> Duration {
    Duration::from_millis(timing.validity_ms).mul_f64(REPLY_FRACTION)
}

/// A duration times a factor; the longest one if the product is too large.
fn scaled(duration: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(duration.as_secs_f64() * factor).unwrap_or(Duration::MAX)
}

impl AdviceCache {
    /// Ticket of a step for a worker, if it is valid.
    pub fn ticket(&self, now: BootTime, step: StepKey, worker: WorkerIndex) -> Option<Arc<str>> {
        let held = self.steps.get(&step)?.tickets.get(&worker)?;
        (now < held.valid_until).then(|| Arc::clone(&held.ticket))
    }

    /// Workers for which a step holds a valid ticket.
    pub fn allowed_workers(&self, now: BootTime, step: StepKey) -> IndexSet<WorkerIndex> {
        let tickets = self.steps.get(&step).into_iter().flat_map(|s| &s.tickets);
        let valid = tickets.filter(|(_, held)| now < held.valid_until);
        valid.map(|(worker, _)| *worker).collect()
    }

    /// Time of the latest request of a step; the earliest time if there was none. Steps take their
    /// turns in this order, so that one that can't use its tickets holds up no other for ever.
    pub fn asked_at(&self, step: StepKey) -> BootTime {
        self.steps
            .get(&step)
            .map_or(BootTime::default(), |advice| advice.asked_at)
    }

    /// Returns the request to send for a step, out of `candidates` in the order of their scores, and
    /// marks it as pending; none if no request is due, or if the reply is not expected within
    /// `reply_time_max` and other requests are open.
    pub fn next_request(
        &mut self,
        now: BootTime,
        step: StepKey,
        timing: &AdviceTiming,
        reply_time_max: Duration,
        candidates: &[WorkerIndex],
    ) -> Option<TicketRequest> {
        let pending_count = self.steps.values().filter(|advice| advice.pending).count();
        let workers_max = self.request_workers_max(timing);
        let backlog = self.backlog();
        let slowdown = self.slowdown;
        let advice = self.steps.entry(step).or_default();
        if advice.pending || pending_count >= PENDING_REQUESTS_MAX {
            return None;
        }
        let workers = advice.wanted_workers(now, candidates, workers_max);
        if workers.is_empty() {
            return None;
        }
        let service_time = Duration::from_millis(timing.reply_ms(workers.len()));
        let reply_time = backlog.saturating_add(scaled(service_time, slowdown));
        if !self.open_requests.is_empty() && reply_time > reply_time_max {
            return None;
        }
        advice.pending = true;
        advice.asked_at = now;
        let request = OpenRequest {
            asked_at: now,
            timing: *timing,
            service_time,
        };
        self.open_requests.insert(step, request);
        Some(TicketRequest {
            workers,
            reply_time,
        })
    }

    /// Expected time until the service has answered all open requests.
    fn backlog(&self) -> Duration {
        let times = self.open_requests.values();
        let times = times.map(|request| request.service_time);
        let sum = times.fold(Duration::ZERO, Duration::saturating_add);
        scaled(sum, self.slowdown)
    }

    /// Number of workers that one request may name: the ticket of the first one waits for the decisions
    /// on all others.
    fn request_workers_max(&self, timing: &AdviceTiming) -> usize {
        let time_max = reply_time_max(timing).div_f64(self.slowdown);
        let wait_ms = |workers: usize| timing.interval_ms.saturating_mul(workers as u64 - 1);
        let fits = |workers: &usize| Duration::from_millis(wait_ms(*workers)) <= time_max;
        let largest = (1..=REQUEST_WORKERS_MAX).rev().find(fits);
        largest.unwrap_or(1)
    }

    /// Records the tickets of a reply that arrived at `now`. Returns whether none of them can be used any
    /// more.
    pub fn record_reply(
        &mut self,
        now: BootTime,
        step: StepKey,
        requested: Vec<WorkerIndex>,
        allowed: Vec<(WorkerIndex, Arc<str>)>,
        validity: Duration,
    ) -> bool {
        let request = self.open_requests.swap_remove(&step);
        if let Some(request) = request {
            self.learn_slowdown(now, request);
        }
        let Some(advice) = self.steps.get_mut(&step) else {
            return false;
        };
        advice.pending = false;
        let use_time = validity.mul_f64(VALIDITY_FRACTION);
        let mut is_late = !allowed.is_empty();
        for (worker, ticket) in allowed {
            let position = requested.iter().position(|named| *named == worker);
            let given_at = request.zip(position);
            let given_at =
                given_at.map_or(now, |(request, position)| request.given_at(now, position));
            let valid_until = given_at + use_time;
            is_late &= now >= valid_until;
            let ticket = WorkerTicket {
                ticket,
                valid_until,
            };
            advice.tickets.insert(worker, ticket);
        }
        advice.asked_workers.extend(requested);
        is_late
    }

    /// Ends a request that was not answered in time, and takes the service to be slower.
    pub fn record_loss(&mut self, now: BootTime, step: StepKey) {
        if let Some(request) = self.open_requests.get(&step).copied() {
            let expected = scaled(request.service_time, self.slowdown);
            if now.saturating_since(request.asked_at) > expected {
                self.learn_slowdown(now, request);
            }
        }
        self.cancel_request(step);
    }

    /// Compares the time that the service took for a request with its configuration. It answers in
    /// turn, so it began when it had answered the one before.
    fn learn_slowdown(&mut self, now: BootTime, request: OpenRequest) {
        let began_at = request.asked_at.max(self.replied_at);
        self.replied_at = now;
        let expected = request.service_time.as_secs_f64();
        if expected <= 0.0 {
            return;
        }
        let ratio = now.saturating_since(began_at).as_secs_f64() / expected;
        let mean = (self.slowdown + ratio) / 2.0;
        self.slowdown = mean.clamp(1.0, SLOWDOWN_MAX);
    }

    /// Ends a request without a reply, so that the step may send it again.
    pub fn cancel_request(&mut self, step: StepKey) {
        self.open_requests.swap_remove(&step);
        if let Some(advice) = self.steps.get_mut(&step) {
            advice.pending = false;
        }
    }

    /// Drops the ticket of a worker after a withdrawn start, so that the next request may name the
    /// worker again.
    pub fn discard_ticket(&mut self, step: StepKey, worker: WorkerIndex) {
        if let Some(advice) = self.steps.get_mut(&step) {
            advice.tickets.swap_remove(&worker);
            advice.asked_workers.swap_remove(&worker);
        }
    }

    /// Drops the steps that the ledger no longer has.
    pub fn remove_ended_steps(&mut self, ledger: &JobLedger) {
        self.steps.retain(|step, _| ledger.step(*step).is_some());
    }
}

impl StepAdvice {
    /// Drops the tickets that have expired and returns the workers to ask about; none if a candidate
    /// has a ticket, or the service has decided on all.
    fn wanted_workers(
        &mut self,
        now: BootTime,
        candidates: &[WorkerIndex],
        workers_max: usize,
    ) -> Vec<WorkerIndex> {
        let asked_workers = &mut self.asked_workers;
        self.tickets.retain(|worker, ticket| {
            let valid = now < ticket.valid_until;
            if !valid {
                asked_workers.swap_remove(worker);
            }
            valid
        });
        let tickets = &self.tickets;
        if candidates.iter().any(|worker| tickets.contains_key(worker)) {
            return Vec::new();
        }
        let unasked = candidates
            .iter()
            .filter(|worker| !asked_workers.contains(*worker));
        unasked.take(workers_max).copied().collect()
    }
}
