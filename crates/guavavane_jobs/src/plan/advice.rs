//! Which workers another service allows for a step, and when to ask it.
//!
//! The service takes a while for each worker that it is asked about, so a step asks about its
//! best few workers at a time, and again only when none of those that it may use has room. What
//! it allows holds for a while and is forgotten before that is over: a start with an old ticket
//! is refused.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::identity::StepKey;
use crate::ledger::JobLedger;
use crate::ledger::WorkerIndex;
use guavavane_model::prelude::BootTime;

/// Most workers of one question: the answer comes when all of them are decided.
const WORKERS_ASKED_MAX: usize = 30;
/// Most questions without an answer: the service takes 32 and answers them in turn.
const QUESTIONS_MAX: usize = 8;
/// Part of its validity for which a ticket is used: its start may take a while.
const VALID_PART: f64 = 0.7;

/// A ticket for the tasks of a step on one worker.
#[derive(Clone, Debug)]
struct WorkerTicket {
    ticket: Arc<str>,
    until: BootTime,
}

/// What is known of one step.
#[derive(Clone, Debug, Default)]
struct StepAdvice {
    /// Whether a question has no answer yet.
    asking: bool,
    /// Workers that were asked about.
    asked: IndexSet<WorkerIndex>,
    tickets: IndexMap<WorkerIndex, WorkerTicket>,
}

/// Tickets of all steps that need them.
#[derive(Clone, Debug, Default)]
pub struct AdviceBook {
    steps: IndexMap<StepKey, StepAdvice>,
}

impl AdviceBook {
    /// The ticket of a step for a worker.
    pub fn ticket(&self, now: BootTime, step: StepKey, worker: WorkerIndex) -> Option<Arc<str>> {
        let known = self.steps.get(&step)?.tickets.get(&worker)?;
        (now < known.until).then(|| Arc::clone(&known.ticket))
    }

    /// Workers that may run a step now.
    pub fn allowed(&self, now: BootTime, step: StepKey) -> IndexSet<WorkerIndex> {
        let tickets = self.steps.get(&step).into_iter().flat_map(|s| &s.tickets);
        let valid = tickets.filter(|(_, known)| now < known.until);
        valid.map(|(worker, _)| *worker).collect()
    }

    /// Workers to ask about for a step, out of those with room, the best first.
    pub fn question(
        &mut self,
        now: BootTime,
        step: StepKey,
        candidates: &[WorkerIndex],
    ) -> Option<Vec<WorkerIndex>> {
        let asking = self.steps.values().filter(|known| known.asking).count();
        let known = self.steps.entry(step).or_default();
        if known.asking || asking >= QUESTIONS_MAX {
            return None;
        }
        let StepAdvice { asked, tickets, .. } = known;
        tickets.retain(|worker, ticket| {
            let valid = now < ticket.until;
            if !valid {
                asked.swap_remove(worker);
            }
            valid
        });
        if candidates.iter().any(|worker| tickets.contains_key(worker)) {
            return None;
        }
        let unasked = candidates.iter().filter(|worker| !asked.contains(*worker));
        let workers: Vec<WorkerIndex> = unasked.take(WORKERS_ASKED_MAX).copied().collect();
        if workers.is_empty() {
            return None;
        }
        known.asking = true;
        Some(workers)
    }

    /// Takes the answer to a question that was sent at `asked_at`.
    pub fn take_answer(
        &mut self,
        asked_at: BootTime,
        step: StepKey,
        about: Vec<WorkerIndex>,
        allowed: Vec<(WorkerIndex, Arc<str>)>,
        validity: Duration,
    ) {
        let Some(known) = self.steps.get_mut(&step) else {
            return;
        };
        known.asking = false;
        known.asked.extend(about);
        let until = asked_at + validity.mul_f64(VALID_PART);
        for (worker, ticket) in allowed {
            known.tickets.insert(worker, WorkerTicket { ticket, until });
        }
    }

    /// A question was not answered: it is asked again.
    pub fn forget_question(&mut self, step: StepKey) {
        if let Some(known) = self.steps.get_mut(&step) {
            known.asking = false;
        }
    }

    /// A start came to nothing: the worker is asked about again.
    pub fn forget_ticket(&mut self, step: StepKey, worker: WorkerIndex) {
        if let Some(known) = self.steps.get_mut(&step) {
            known.tickets.swap_remove(&worker);
            known.asked.swap_remove(&worker);
        }
    }

    /// Forgets steps that are over.
    pub fn trim(&mut self, ledger: &JobLedger) {
        self.steps.retain(|step, _| ledger.step(*step).is_some());
    }
}
