//! Proposals to the log, and what follows their commit.

use std::sync::Arc;

use super::caller::CallTicket;
use super::engine::ControlEngine;
use super::engine::EngineInput;
use super::operator::answer;
use super::operator::OperatorReceiver;
use super::session::SessionId;
use super::OperatorReply;
use crate::message::CallerReply;
use crate::message::FromControl;
use crate::message::StartTask;
use crate::message::WorkerReport;
use crate::metric;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::LedgerOutcome;
use guavavane_jobs::prelude::RunEnd;
use guavavane_jobs::prelude::RunEnding;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::StartChoice;
use guavavane_jobs::prelude::TaskKey;
use guavavane_model::prelude::BootClock;
use guavavane_quorum::prelude::ProposeError;

/// What a proposal was made for.
#[derive(Debug)]
pub(super) enum CommitPurpose {
    Submit {
        ticket: CallTicket,
        key: JobKey,
    },
    Cancel {
        ticket: CallTicket,
        key: JobKey,
    },
    Operator(OperatorReceiver),
    AddWorker {
        session: SessionId,
        report: Box<WorkerReport>,
    },
    NoteEnds {
        worker: WorkerIndex,
        ends: Vec<RunEnd>,
    },
    Start(Vec<StartChoice>),
    Lose(WorkerIndex),
    /// A change that only calls for a round of placement.
    Freed,
    /// A change that calls for nothing.
    Kept,
}

/// Result of a proposal.
pub(super) type CommitResult = Result<LedgerOutcome, ProposeError>;

impl ControlEngine {
    pub(super) fn propose(&mut self, command: LedgerCommand, purpose: CommitPurpose) {
        let term = self.memory.as_ref().map_or(0, |memory| memory.term);
        let proposed_at = BootClock.now();
        let outcome = self.quorum.propose_async(command);
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let result = outcome
                .recv_async()
                .await
                .unwrap_or(Err(ProposeError::Unknown));
            metric::time("commit", BootClock.now().saturating_since(proposed_at));
            let input = EngineInput::Committed {
                term,
                purpose,
                result,
            };
            // The engine has ended.
            let _ = inputs.send(input);
        });
    }

    /// Goes on after a proposal; one of an earlier term only gets its answer.
    pub(super) fn take_commit(&mut self, term: u64, purpose: CommitPurpose, result: CommitResult) {
        let current = self
            .memory
            .as_ref()
            .is_some_and(|memory| memory.term == term);
        match (purpose, result) {
            (CommitPurpose::Operator(receiver), Ok(_)) => {
                answer(receiver, OperatorReply::Done);
                self.place();
            }
            (CommitPurpose::Operator(receiver), Err(error)) => {
                tracing::info!(event = "order_not_committed", %error);
                answer(receiver, OperatorReply::Unavailable);
            }
            (CommitPurpose::Submit { ticket, key }, result) => {
                self.finish_submit(ticket, key, result);
            }
            (CommitPurpose::Cancel { ticket, key }, result) => {
                self.finish_cancel(ticket, key, result);
            }
            (purpose, Ok(outcome)) if current => self.follow_up(purpose, outcome),
            (purpose, result) => {
                tracing::info!(event = "proposal_lost", ?purpose, ?result, current);
                match (purpose, &mut self.memory) {
                    (CommitPurpose::Start(_), Some(memory)) => memory.placing = false,
                    (CommitPurpose::Lose(worker), Some(_)) if current => self.finish_loss(worker),
                    _ => {}
                }
            }
        }
    }

    fn finish_submit(&mut self, ticket: CallTicket, key: JobKey, result: CommitResult) {
        let reply = match result {
            Ok(LedgerOutcome::Accepted { .. }) => CallerReply::Accepted,
            Ok(LedgerOutcome::UnknownQueue) => CallerReply::NoQueue,
            Ok(_) | Err(ProposeError::Unknown) => CallerReply::Unknown,
            Err(ProposeError::TooLarge { bytes }) => {
                CallerReply::Invalid(format!("the job takes {bytes} bytes"))
            }
            Err(_) => CallerReply::Unavailable,
        };
        tracing::info!(event = "job_submitted", job = %key, ?reply);
        self.reply(ticket, reply);
        self.place();
    }

    fn finish_cancel(&mut self, ticket: CallTicket, key: JobKey, result: CommitResult) {
        let reply = match result {
            Ok(LedgerOutcome::UnknownJob) => CallerReply::NoJob,
            Ok(_) => CallerReply::Cancelled,
            Err(_) => CallerReply::Unknown,
        };
        tracing::info!(event = "job_cancelled", job = %key, ?reply);
        self.reply(ticket, reply);
        self.end_jobs(&[key]);
        self.place();
    }

    fn follow_up(&mut self, purpose: CommitPurpose, outcome: LedgerOutcome) {
        match (purpose, outcome) {
            (CommitPurpose::AddWorker { session, report }, LedgerOutcome::Worker(index)) => {
                self.adopt_worker(session, index, *report);
            }
            (CommitPurpose::NoteEnds { worker, ends }, LedgerOutcome::Ended(jobs)) => {
                self.finish_ends(worker, &ends, &jobs);
            }
            (CommitPurpose::Start(choices), LedgerOutcome::Started(started)) => {
                if let Some(memory) = &mut self.memory {
                    memory.placing = false;
                }
                let committed = choices.iter().zip(started).filter(|(_, started)| *started);
                let now = BootClock.now();
                for (choice, _) in committed {
                    if let Some(memory) = &mut self.memory {
                        memory.ordered_at.insert((choice.task, choice.run), now);
                    }
                    self.order_run(choice.worker, choice.task, choice.run);
                }
                let again = self
                    .memory
                    .as_ref()
                    .is_some_and(|memory| memory.place_again);
                if again {
                    self.place();
                }
            }
            (CommitPurpose::Lose(worker), _) => self.finish_loss(worker),
            (CommitPurpose::Freed, _) => self.place(),
            _ => {}
        }
    }

    fn finish_ends(&mut self, worker: WorkerIndex, ends: &[RunEnd], jobs: &[JobKey]) {
        if let Some(memory) = &mut self.memory {
            let quorum = &self.quorum;
            memory.learn_ends(worker, ends, |job| {
                quorum.local(|ledger| ledger.job(job).map(|job| Arc::clone(&job.queue)))
            });
        }
        for end in ends {
            metric::count("run_ended", end.ending.name());
            tracing::info!(event = "run_ended", task = %end.task, run = %end.run, ending = ?end.ending, worker = worker.0);
        }
        self.tell_noted(worker);
        // Other members of a gang that broke have to go.
        let broken = ends.iter().filter(|end| end.ending != RunEnding::Done);
        let broken: Vec<JobKey> = broken.map(|end| end.task.step.job).collect();
        self.stop_unwanted(&broken);
        self.end_jobs(jobs);
        self.place();
    }

    fn tell_noted(&self, worker: WorkerIndex) {
        let Some(session) = self.memory.as_ref().and_then(|m| m.worker_session(worker)) else {
            return;
        };
        let noted = self
            .quorum
            .local(|ledger| ledger.worker(worker).map(|w| (w.key.clone(), w.last_end)));
        if let Some((key, last_end)) = noted {
            session.sender.send(FromControl::Noted { key, last_end });
        }
    }

    /// Notes that jobs have ended and stops what is left of them.
    pub(super) fn end_jobs(&mut self, jobs: &[JobKey]) {
        let now = BootClock.now();
        if let Some(memory) = &mut self.memory {
            memory.ended_at.extend(jobs.iter().map(|job| (*job, now)));
        }
        self.stop_unwanted(jobs);
    }

    /// Stops runs of these jobs that the ledger does not want.
    pub(super) fn stop_unwanted(&self, jobs: &[JobKey]) {
        if jobs.is_empty() {
            return;
        }
        let unwanted = self.quorum.local(|ledger| unwanted_runs(ledger, jobs));
        for (worker, task, run) in unwanted {
            self.order_run(worker, task, run);
        }
    }

    /// Sends the order that the ledger asks for: a start if the run is wanted, else a stop.
    pub(super) fn order_run(&self, worker: WorkerIndex, task: TaskKey, run: RunNumber) {
        let Some(memory) = &self.memory else {
            return;
        };
        let Some(session) = memory.worker_session(worker) else {
            return;
        };
        let epoch = memory.workers.get(&worker).map_or(0, |known| known.epoch);
        let order = self.quorum.local(|ledger| {
            let urgency = memory.urgency(ledger, task);
            run_order(ledger, (urgency, epoch), worker, task, run)
        });
        let Some(order) = order else {
            return;
        };
        match &order {
            FromControl::Start { key, order } => {
                let serving = order.latency_target_ms.is_some();
                tracing::info!(event = "run_ordered", %task, %run, worker = %key, filling = order.filling, serving);
            }
            _ => tracing::info!(event = "stop_ordered", %task, %run, worker = worker.0),
        }
        session.sender.send(memory.with_ticket(order, worker));
    }
}

fn unwanted_runs(ledger: &JobLedger, jobs: &[JobKey]) -> Vec<(WorkerIndex, TaskKey, RunNumber)> {
    let mut unwanted = Vec::new();
    for (index, worker) in ledger.workers() {
        for (task, record) in &worker.runs {
            let concerned = jobs.contains(&task.step.job);
            if concerned && !ledger.is_wanted(*task, record.run, index) {
                unwanted.push((index, *task, record.run));
            }
        }
    }
    unwanted
}

fn run_order(
    ledger: &JobLedger,
    (urgency, epoch): (u64, u64),
    worker: WorkerIndex,
    task: TaskKey,
    run: RunNumber,
) -> Option<FromControl> {
    let record = ledger.worker(worker)?;
    let key = record.key.clone();
    let stop = FromControl::Stop {
        key: key.clone(),
        task,
        run,
    };
    if !ledger.is_wanted(task, run, worker) {
        return Some(stop);
    }
    let payload = ledger.job(task.step.job)?.spec.as_ref()?.payload.clone();
    let saved = Arc::clone(&ledger.task(task)?.saved);
    let run_record = record.runs.get(&task)?;
    let order = StartTask {
        task,
        run,
        payload,
        saved,
        latency_target_ms: run_record.latency_target_ms.filter(|_| run_record.serving),
        filling: run_record.filling,
        image: Arc::clone(&run_record.image),
        cpu_millis: run_record.cpu_millis,
        urgency,
        epoch,
        ticket: Arc::from(""),
    };
    Some(FromControl::Start {
        key,
        order: Box::new(order),
    })
}
