//! Requests to the advice service.
//!
//! Some queues require that this external service allows each worker before a step of theirs
//! starts on it. Its answer holds a ticket per allowed worker, which the start must carry.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::engine::ControlEngine;
use super::engine::EngineInput;
use crate::worker_api::AdviceCall;
use crate::worker_api::AdvisedWorker;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::pass::AdviceStep;
use guavavane_jobs::prelude::StepKey;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;

/// Outcome of one request to the advice service.
#[derive(Debug)]
pub(super) struct AdviceAnswer {
    step: StepKey,
    /// Workers named in the request.
    asked_workers: Vec<(WorkerIndex, Arc<str>)>,
    asked_at: BootTime,
    validity: Duration,
    /// Workers that may run the step; none if the service did not answer.
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
        let (reply, answer) = oneshot::channel();
        let call = AdviceCall {
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
            let answer = AdviceAnswer {
                step,
                asked_workers,
                asked_at,
                validity,
                allowed: answer.await.ok(),
            };
            // Sending fails only after the engine has stopped.
            let _ = inputs.send(EngineInput::Advised { term, answer });
        });
    }

    /// Stores the answer to a request and runs a scheduling pass with it.
    pub(super) fn handle_advice(&mut self, term: u64, answer: AdviceAnswer) {
        let state = self
            .leader_state
            .as_mut()
            .filter(|state| state.term == term);
        let Some(state) = state else {
            return;
        };
        let Some(allowed) = answer.allowed else {
            tracing::warn!(event = "advice_unanswered", step = %answer.step);
            return state.advice.cancel_request(answer.step);
        };
        let find_worker =
            |name: &Arc<str>| answer.asked_workers.iter().find(|(_, known)| known == name);
        let allowed = allowed.into_iter().filter_map(|worker| {
            let (index, _) = find_worker(&worker.name)?;
            Some((*index, worker.ticket))
        });
        let allowed: Vec<(WorkerIndex, Arc<str>)> = allowed.collect();
        let workers = answer.asked_workers.len();
        tracing::info!(event = "advice_taken", step = %answer.step, workers, allowed = allowed.len());
        let asked_workers = answer
            .asked_workers
            .iter()
            .map(|(index, _)| *index)
            .collect();
        let (asked_at, validity) = (answer.asked_at, answer.validity);
        state
            .advice
            .record_reply(asked_at, answer.step, asked_workers, allowed, validity);
        self.run_pass();
    }
}
