//! Requests to the advice service.
//!
//! Some queues require that this external service allows each worker before a step of theirs
//! starts on it. Its reply holds a ticket per allowed worker, which the start must carry.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::engine::ControlEngine;
use super::input::AdviceReply;
use super::input::EngineInput;
use crate::metric;
use crate::worker_api::AdviceRequest;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::advice::reply_time_max;
use guavavane_jobs::plan::advice::TicketRequest;
use guavavane_jobs::plan::pass::AdviceStep;
use guavavane_model::prelude::BootClock;

impl ControlEngine {
    /// Requests advice for the steps, first for those that have waited longest for their turn. A reply
    /// is awaited no longer than the tickets of all of them allow.
    pub(super) fn request_advice(&mut self, mut steps: Vec<AdviceStep>) {
        let Some(state) = &self.leader_state else {
            return;
        };
        steps.sort_by_key(|step| state.advice.asked_at(step.key));
        let bounds = steps.iter().map(|step| reply_time_max(&step.timing));
        let Some(reply_time_max) = bounds.min() else {
            return;
        };
        for step in steps {
            self.request_step_advice(&step, reply_time_max);
        }
    }

    fn request_step_advice(&mut self, step: &AdviceStep, reply_time_max: Duration) {
        let (Some(state), Some(service)) = (&mut self.leader_state, &self.settings.advice) else {
            return;
        };
        let request = state.advice.next_request(
            BootClock.now(),
            step.key,
            &step.timing,
            reply_time_max,
            &step.candidates,
        );
        let Some(TicketRequest {
            workers,
            reply_time,
        }) = request
        else {
            return;
        };
        let asked_workers: Vec<(WorkerIndex, Arc<str>)> = self.quorum.read_local(|ledger| {
            let names = workers.iter().filter_map(|index| {
                let worker = ledger.worker(*index)?;
                Some((*index, Arc::clone(&worker.key.name)))
            });
            names.collect()
        });
        let (reply, receiver) = oneshot::channel();
        let call = AdviceRequest {
            step: step.key,
            workers: asked_workers
                .iter()
                .map(|(_, name)| Arc::clone(name))
                .collect(),
            reply_time,
            reply,
        };
        let reply_ms = reply_time.as_millis();
        tracing::info!(event = "advice_asked", step = %step.key, workers = asked_workers.len(), reply_ms);
        if service.try_send(call).is_err() {
            tracing::warn!(event = "advice_unasked", step = %step.key, reason = "too many questions");
        }
        let (inputs, term) = (self.inputs.clone(), state.term);
        let (step, validity) = (step.key, Duration::from_millis(step.timing.validity_ms));
        tokio::spawn(async move {
            let reply = AdviceReply {
                step,
                asked_workers,
                validity,
                allowed: receiver.await.ok(),
            };
            // Sending fails only after the engine has stopped.
            let _ = inputs.send(EngineInput::AdviceReply { term, reply });
        });
    }

    /// Records the reply to a request and runs a scheduling pass with it.
    pub(super) fn handle_advice_reply(&mut self, term: u64, reply: AdviceReply) {
        let state = self
            .leader_state
            .as_mut()
            .filter(|state| state.term == term);
        let Some(state) = state else {
            return;
        };
        let Some(allowed) = reply.allowed else {
            tracing::warn!(event = "advice_unanswered", step = %reply.step);
            return state.advice.record_loss(BootClock.now(), reply.step);
        };
        let find_worker =
            |name: &Arc<str>| reply.asked_workers.iter().find(|(_, known)| known == name);
        let allowed = allowed.into_iter().filter_map(|worker| {
            let (index, _) = find_worker(&worker.name)?;
            Some((*index, worker.ticket))
        });
        let allowed: Vec<(WorkerIndex, Arc<str>)> = allowed.collect();
        let workers = reply.asked_workers.len();
        tracing::info!(event = "advice_taken", step = %reply.step, workers, allowed = allowed.len());
        let asked_workers = reply
            .asked_workers
            .iter()
            .map(|(index, _)| *index)
            .collect();
        let (now, validity) = (BootClock.now(), reply.validity);
        let is_late = state
            .advice
            .record_reply(now, reply.step, asked_workers, allowed, validity);
        if is_late {
            metric::count_event("advice", "late");
            tracing::warn!(event = "advice_late", step = %reply.step);
        }
        self.request_pass();
    }
}
