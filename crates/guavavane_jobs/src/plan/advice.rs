//! Caches the tickets of the advice service and decides when to request more.
//!
//! Steps of some queues need a ticket from an external advice service for each worker that they
//! start on. The service takes some time per worker. A request therefore names only the
//! highest-scoring workers, and the next request follows only when no worker with a valid ticket
//! has free capacity. Tickets are dropped before their validity ends, because a start with an
//! expired ticket is refused.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::identity::StepKey;
use crate::ledger::JobLedger;
use crate::ledger::WorkerIndex;
use guavavane_model::prelude::BootTime;

/// Most workers of one request: the reply comes only after the service has decided on all.
const REQUEST_WORKERS_MAX: usize = 30;
/// Most requests without a reply: the service accepts 32 and serves them in turn.
const PENDING_REQUESTS_MAX: usize = 8;
/// Fraction of its validity for which a ticket is used: the start that needs it may take a while.
const VALIDITY_FRACTION: f64 = 0.7;

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
    /// Workers that the service has decided on.
    asked_workers: IndexSet<WorkerIndex>,
    tickets: IndexMap<WorkerIndex, WorkerTicket>,
}

/// Tickets of all steps that need them; lost when the leader changes.
#[derive(Clone, Debug, Default)]
pub struct AdviceCache {
    steps: IndexMap<StepKey, StepAdvice>,
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

    /// Returns the workers to request tickets for, out of `candidates` in the order of their
    /// scores, and marks the request as pending; none if no request is due.
    pub fn next_request(
        &mut self,
        now: BootTime,
        step: StepKey,
        candidates: &[WorkerIndex],
    ) -> Option<Vec<WorkerIndex>> {
        let pending_count = self.steps.values().filter(|advice| advice.pending).count();
        let advice = self.steps.entry(step).or_default();
        if advice.pending || pending_count >= PENDING_REQUESTS_MAX {
            return None;
        }
        let StepAdvice {
            asked_workers,
            tickets,
            ..
        } = advice;
        tickets.retain(|worker, ticket| {
            let valid = now < ticket.valid_until;
            if !valid {
                asked_workers.swap_remove(worker);
            }
            valid
        });
        if candidates.iter().any(|worker| tickets.contains_key(worker)) {
            return None;
        }
        let unasked_workers = candidates
            .iter()
            .filter(|worker| !asked_workers.contains(*worker));
        let workers: Vec<WorkerIndex> =
            unasked_workers.take(REQUEST_WORKERS_MAX).copied().collect();
        if workers.is_empty() {
            return None;
        }
        advice.pending = true;
        Some(workers)
    }

    /// Records the tickets of a reply; their validity starts when the request was sent, at
    /// `asked_at`.
    pub fn record_reply(
        &mut self,
        asked_at: BootTime,
        step: StepKey,
        requested: Vec<WorkerIndex>,
        allowed: Vec<(WorkerIndex, Arc<str>)>,
        validity: Duration,
    ) {
        let Some(advice) = self.steps.get_mut(&step) else {
            return;
        };
        advice.pending = false;
        advice.asked_workers.extend(requested);
        let valid_until = asked_at + validity.mul_f64(VALIDITY_FRACTION);
        for (worker, ticket) in allowed {
            advice.tickets.insert(
                worker,
                WorkerTicket {
                    ticket,
                    valid_until,
                },
            );
        }
    }

    /// Ends a request without a reply, so that the step may send it again.
    pub fn cancel_request(&mut self, step: StepKey) {
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
