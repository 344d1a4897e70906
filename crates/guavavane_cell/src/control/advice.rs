//! Requests to the advice service.
//!
//! Some queues require that this external service allows each worker before a step of theirs
//! starts on it. Its reply holds a ticket per allowed worker, which the start must carry.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::engine::ControlEngine;
use super::engine::EngineInput;
use crate::worker_api::AdviceRequest;
use crate::worker_api::AdvisedWorker;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::pass::AdviceStep;
use guavavane_jobs::prelude::StepKey;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;

/// Reply of the advice service to one request, or its absence.
#[derive(Debug)]
pub(super) struct AdviceReply {
    step: StepKey,
    /// Workers named in the request.
    asked_workers: Vec<(WorkerIndex, Arc<str>)>,
    asked_at: BootTime,
    validity: Duration,
    /// Workers that may run the step; none if no reply arrived.
    allowed: Option<Vec<AdvisedWorker>>,
}

impl ControlEngine {
    /// Requests advice for each of the steps.
    pub(super) fn request_advice(&mut self, steps: Vec<AdviceStep>) {
        for step in steps {
            self.request_step_advice(&step);
        }
    }

    fn request_step_advice(&mut self, step: &AdviceStep) {
        let (Some(state), Some(service)) = (&mut self.leader_state, &self.settings.advice) else {
            return;
        };
        let asked_at = BootClock.now();
        let candidates = state
            .advice
            .next_request(asked_at, step.key, &step.candidates);
        let Some(workers) = candidates else {
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
            timing: step.timing,
            reply,
        };
        tracing::info!(event = "advice_asked", step = %step.key, workers = asked_workers.len());
        if service.try_send(call).is_err() {
            tracing::warn!(event = "advice_unasked", step = %step.key, reason = "too many questions");
        }
        let (inputs, term) = (self.inputs.clone(), state.term);
        let (step, validity) = (step.key, Duration::from_millis(step.timing.validity_ms));
        tokio::spawn(async move {
            let reply = AdviceReply {
                step,
                asked_workers,
                asked_at,
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
            return state.advice.cancel_request(reply.step);
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
        let (asked_at, validity) = (reply.asked_at, reply.validity);
        state
            .advice
            .record_reply(asked_at, reply.step, asked_workers, allowed, validity);
        self.request_pass();
    }
}
