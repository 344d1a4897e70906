//! Questions to the service that allows workers for the steps of some queues.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::engine::ControlEngine;
use super::engine::EngineInput;
use crate::port::AdviceCall;
use crate::port::AdvisedWorker;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::round::AdvisedStep;
use guavavane_jobs::prelude::StepKey;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;

/// What came of a question.
#[derive(Debug)]
pub(super) struct AdviceAnswer {
    step: StepKey,
    /// Workers that it was about, with their names.
    about: Vec<(WorkerIndex, Arc<str>)>,
    asked_at: BootTime,
    validity: Duration,
    /// Those that may run the step; none if there was no answer.
    allowed: Option<Vec<AdvisedWorker>>,
}

impl ControlEngine {
    /// Asks about workers for the steps that need it.
    pub(super) fn ask_advice(&mut self, steps: Vec<AdvisedStep>) {
        for step in steps {
            self.ask_step(&step);
        }
    }

    fn ask_step(&mut self, step: &AdvisedStep) {
        let (Some(memory), Some(calls)) = (&mut self.memory, &self.settings.advice) else {
            return;
        };
        let asked_at = BootClock.now();
        let question = memory.advice.question(asked_at, step.key, &step.candidates);
        let Some(workers) = question else {
            return;
        };
        let about: Vec<(WorkerIndex, Arc<str>)> = self.quorum.local(|ledger| {
            let named = workers.iter().filter_map(|index| {
                let worker = ledger.worker(*index)?;
                Some((*index, Arc::clone(&worker.key.name)))
            });
            named.collect()
        });
        let (reply, answer) = oneshot::channel();
        let call = AdviceCall {
            step: step.key,
            workers: about.iter().map(|(_, name)| Arc::clone(name)).collect(),
            timing: step.timing,
            reply,
        };
        tracing::info!(event = "advice_asked", step = %step.key, workers = about.len());
        if calls.try_send(call).is_err() {
            tracing::warn!(event = "advice_unasked", step = %step.key, reason = "too many questions");
        }
        let (inputs, term) = (self.inputs.clone(), memory.term);
        let (step, validity) = (step.key, Duration::from_millis(step.timing.validity_ms));
        tokio::spawn(async move {
            let answer = AdviceAnswer {
                step,
                about,
                asked_at,
                validity,
                allowed: answer.await.ok(),
            };
            // The engine has ended.
            let _ = inputs.send(EngineInput::Advised { term, answer });
        });
    }

    /// Takes the answer to a question.
    pub(super) fn take_advice(&mut self, term: u64, answer: AdviceAnswer) {
        let memory = self.memory.as_mut().filter(|memory| memory.term == term);
        let Some(memory) = memory else {
            return;
        };
        let Some(allowed) = answer.allowed else {
            tracing::warn!(event = "advice_unanswered", step = %answer.step);
            return memory.advice.forget_question(answer.step);
        };
        let index_of = |name: &Arc<str>| answer.about.iter().find(|(_, known)| known == name);
        let allowed = allowed.into_iter().filter_map(|worker| {
            let (index, _) = index_of(&worker.name)?;
            Some((*index, worker.ticket))
        });
        let allowed: Vec<(WorkerIndex, Arc<str>)> = allowed.collect();
        let workers = answer.about.len();
        tracing::info!(event = "advice_taken", step = %answer.step, workers, allowed = allowed.len());
        let about = answer.about.iter().map(|(index, _)| *index).collect();
        let (asked_at, validity) = (answer.asked_at, answer.validity);
        memory
            .advice
            .take_answer(asked_at, answer.step, about, allowed, validity);
        self.place();
    }
}
