//! Proposals to the replicated log and the actions that follow their commit.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::engine::ControlEngine;
use super::input::CallOrigin;
use super::input::CommitPurpose;
use super::input::CommitResult;
use super::input::EngineInput;
use crate::message::CallerReply;
use crate::message::FromControl;
use crate::message::StartTask;
use crate::metric;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::LedgerOutcome;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::StartChoice;
use guavavane_jobs::prelude::StepKey;
use guavavane_jobs::prelude::TaskKey;
use guavavane_model::prelude::BootClock;
use guavavane_quorum::prelude::ProposeError;

impl ControlEngine {
    /// Proposes a command; the engine receives the result together with its purpose.
    pub(super) fn propose(&mut self, command: LedgerCommand, purpose: CommitPurpose) {
        let tenure = self.leader_state.as_ref().map_or(0, |state| state.tenure);
        if purpose.reserves_capacity() {
            self.starts_in_flight += 1;
        }
        let proposed_at = BootClock.now();
        let outcome = self.quorum.propose_async(command);
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let result = outcome
                .recv_async()
                .await
                .unwrap_or(Err(ProposeError::Unknown));
            metric::observe_duration("commit", BootClock.now().saturating_since(proposed_at));
            let input = EngineInput::Committed {
                tenure,
                purpose,
                result,
            };
            // Sending fails only after the engine has stopped.
            let _ = inputs.send(input);
        });
    }

    /// Acts on the result of a proposal. Results from earlier tenures only produce replies, allow
    /// the next proposal of starts and may lead to a scheduling pass.
    pub(super) fn handle_commit(
        &mut self,
        tenure: u64,
        purpose: CommitPurpose,
        result: CommitResult,
    ) {
        let current = self
            .leader_state
            .as_ref()
            .is_some_and(|state| state.tenure == tenure);
        if purpose.reserves_capacity() {
            self.starts_in_flight -= 1;
        }
        match (purpose, result) {
            (CommitPurpose::Operator(reply_sender), result) => {
                self.finish_order(reply_sender, result);
            }
            (
                CommitPurpose::PutCatalog {
                    reply_sender,
                    bytes,
                },
                result,
            ) => {
                self.catalog_admission.settle(bytes);
                self.finish_order(reply_sender, result);
            }
            (CommitPurpose::AddWorker { report, .. }, Err(ProposeError::TooLarge { bytes })) => {
                // It would be refused each time; the agent's next report may be shorter.
                metric::count_event("worker_refused", "too_large");
                tracing::warn!(event = "worker_refused", worker = %report.key.name, bytes);
            }
            (CommitPurpose::Submit { origin, key }, result) => {
                self.job_admission.settle(key);
                self.finish_submit(origin, key, result);
            }
            (CommitPurpose::Cancel { origin, key }, result) => {
                self.finish_cancel(origin, key, result);
            }
            (purpose, Ok(outcome)) if current => self.apply_commit(purpose, outcome),
            (purpose, result) => {
                tracing::info!(event = "proposal_lost", ?purpose, ?result, current);
                if current {
                    self.keep_refused(purpose);
                }
            }
        }
    }

    fn finish_submit(&mut self, origin: CallOrigin, key: JobKey, result: CommitResult) {
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
        self.reply(origin, reply);
        self.request_pass();
    }

    fn finish_cancel(&mut self, origin: CallOrigin, key: JobKey, result: CommitResult) {
        let reply = match result {
            Ok(LedgerOutcome::UnknownJob) => CallerReply::NoJob,
            Ok(_) => CallerReply::Cancelled,
            Err(_) => CallerReply::Unknown,
        };
        tracing::info!(event = "job_cancelled", job = %key, ?reply);
        self.reply(origin, reply);
        self.record_ended_jobs(&[key]);
        self.request_pass();
    }

    fn apply_commit(&mut self, purpose: CommitPurpose, outcome: LedgerOutcome) {
        match (purpose, outcome) {
            (CommitPurpose::AddWorker { session, report }, LedgerOutcome::Worker(index)) => {
                let state = self.leader_state.as_mut();
                let has_ended =
                    state.is_some_and(|state| state.ended_early.swap_remove(&report.key));
                if has_ended {
                    self.declare_worker_lost(index, true, "ended_early");
                } else {
                    self.adopt_worker(session, index, *report);
                }
            }
            (
                CommitPurpose::NoteEnds {
                    worker,
                    completions,
                },
                LedgerOutcome::Ended(jobs),
            ) => {
                self.finish_completions(worker, &completions, &jobs);
            }
            (CommitPurpose::Start(choices), LedgerOutcome::Started(started)) => {
                let committed = choices.iter().zip(started).filter(|(_, started)| *started);
                let committed: Vec<&StartChoice> = committed.map(|(choice, _)| choice).collect();
                self.order_committed_starts(&committed);
            }
            (CommitPurpose::StartCopies(choices), LedgerOutcome::Started(started)) => {
                let committed = self.record_copies(&choices, &started);
                self.order_committed_starts(&committed);
            }
            (CommitPurpose::Lose { worker, ended }, _) => self.end_pending_loss(worker, ended),
            (CommitPurpose::Withdraw { .. } | CommitPurpose::Release, _) => self.request_pass(),
            _ => {}
        }
    }

    /// Orders committed starts. A ticket may have expired before the commit: the worker would refuse
    /// the start, so its agent is told to stop the run instead, which withdraws it.
    fn order_committed_starts(&mut self, committed: &[&StartChoice]) {
        if let Some(state) = &mut self.leader_state {
            let now = BootClock.now();
            state.record_starts(now, committed);
            self.quorum.read_local(|ledger| {
                for choice in committed {
                    let (task, run) = (choice.task, choice.run);
                    state.speculation.record_start(now, ledger, task, run);
                }
            });
        }
        // An agent throttles a task of an image that it knows nothing of as one that interferes
        // strongly, so the estimates go first.
        let workers: IndexSet<WorkerIndex> = committed.iter().map(|choice| choice.worker).collect();
        for worker in workers {
            self.send_estimates(worker);
        }
        let (startable, expired): (Vec<&StartChoice>, Vec<&StartChoice>) = committed
            .iter()
            .partition(|choice| self.has_required_ticket(choice.worker, choice.task));
        for choice in expired {
            tracing::info!(event = "ticket_expired", task = %choice.task, run = %choice.run);
            self.send_stop(choice.worker, choice.task, choice.run);
        }
        let runs = startable
            .iter()
            .map(|choice| (choice.worker, choice.task, choice.run));
        self.send_run_orders(runs);
    }

    fn finish_completions(
        &mut self,
        worker: WorkerIndex,
        completions: &[RunCompletion],
        jobs: &[JobKey],
    ) {
        if let Some(state) = &mut self.leader_state {
            if let Some(open) = state.open_completions.get_mut(&worker) {
                open.remove(completions);
            }
            let quorum = &self.quorum;
            quorum.read_local(|ledger| state.record_completions(worker, completions, ledger));
        }
        for completion in completions {
            metric::count_event("run_ended", completion.outcome.name());
            tracing::info!(event = "run_ended", task = %completion.task, run = %completion.run, ending = ?completion.outcome, worker = worker.0);
        }
        self.acknowledge_completions(worker);
        self.stop_losing_runs(worker, completions);
        // If a member of a gang ended without success, its other members must stop.
        let broken = completions
            .iter()
            .filter(|completion| completion.outcome != RunOutcome::Done);
        let broken: Vec<JobKey> = broken.map(|completion| completion.task.step.job).collect();
        self.stop_undesired_runs(&broken);
        self.record_ended_jobs(jobs);
        self.request_pass();
    }

    /// Tells the worker's agent which completions are committed, together with all lower ones.
    fn acknowledge_completions(&self, worker: WorkerIndex) {
        let Some(state) = &self.leader_state else {
            return;
        };
        let Some(session) = state.worker_session(worker) else {
            return;
        };
        let committed = self.quorum.read_local(|ledger| {
            ledger
                .worker(worker)
                .map(|w| (w.key.clone(), w.last_completion))
        });
        if let Some((key, last_completion)) = committed {
            let open = state.open_completions.get(&worker);
            let last_completion = open.map_or(last_completion, |open| {
                open.acknowledgeable(last_completion)
            });
            session.sender.send(FromControl::CompletionsCommitted {
                key,
                last_completion,
            });
        }
    }

    /// Records the time at which jobs ended and stops their remaining runs.
    pub(super) fn record_ended_jobs(&mut self, jobs: &[JobKey]) {
        let now = BootClock.now();
        if let Some(state) = &mut self.leader_state {
            state.ended_at.extend(jobs.iter().map(|job| (*job, now)));
        }
        self.stop_undesired_runs(jobs);
    }

    /// Stops the runs of these jobs that are no longer desired.
    pub(super) fn stop_undesired_runs(&self, jobs: &[JobKey]) {
        let undesired: Vec<(WorkerIndex, TaskKey, RunNumber)> = self.quorum.read_local(|ledger| {
            let undesired = jobs.iter().flat_map(|job| ledger.undesired_runs(*job));
            undesired.collect()
        });
        self.send_run_orders(undesired);
    }

    /// Orders the state that the ledger asks for, see [`Self::send_run_order`].
    pub(super) fn send_run_orders(
        &self,
        runs: impl IntoIterator<Item = (WorkerIndex, TaskKey, RunNumber)>,
    ) {
        let mut ranks = IndexMap::new();
        for (worker, task, run) in runs {
            self.send_ranked_order(worker, task, run, &mut ranks);
        }
    }

    /// Orders the state that the ledger asks for: starts the run if it is desired, else stops it.
    /// Without a session of the agent nothing is sent; the agent's next report reconciles the runs.
    pub(super) fn send_run_order(&self, worker: WorkerIndex, task: TaskKey, run: RunNumber) {
        self.send_ranked_order(worker, task, run, &mut IndexMap::new());
    }

    /// Sends the order of a run; `ranks` keeps the ranks of the steps that were needed so far.
    fn send_ranked_order(
        &self,
        worker: WorkerIndex,
        task: TaskKey,
        run: RunNumber,
        ranks: &mut IndexMap<StepKey, u64>,
    ) {
        let Some(state) = &self.leader_state else {
            return;
        };
        let Some(session) = state.worker_session(worker) else {
            return;
        };
        let epoch = state.workers.get(&worker).map_or(0, |worker| worker.epoch);
        let order = self.quorum.read_local(|ledger| {
            let rank = ranks.entry(task.step);
            let rank = *rank.or_insert_with(|| state.rank(ledger, task));
            build_run_order(ledger, (rank, epoch), worker, task, run)
        });
        let Some(order) = order else {
            return;
        };
        match &order {
            FromControl::Start { key, order } => {
                let serving = order.latency_target_ms.is_some();
                tracing::info!(event = "run_ordered", %task, %run, worker = %key, filling = order.best_effort, serving);
            }
            _ => tracing::info!(event = "stop_ordered", %task, %run, worker = worker.0),
        }
        session.sender.send(state.with_ticket(order, worker));
    }
}

/// Start or stop order for a run; none if the ledger lacks the worker, job or task.
fn build_run_order(
    ledger: &JobLedger,
    (rank, epoch): (u64, u64),
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
    if !ledger.is_desired(task, run, worker) {
        return Some(stop);
    }
    let payload = ledger.job(task.step.job)?.spec.as_ref()?.payload.clone();
    let checkpoint = Arc::clone(&ledger.task(task)?.checkpoint);
    let run_record = record.runs.get(&task)?;
    let order = StartTask {
        task,
        run,
        payload,
        checkpoint,
        latency_target_ms: run_record
            .latency_target_ms
            .filter(|_| run_record.long_running),
        best_effort: run_record.best_effort,
        image: Arc::clone(&run_record.image),
        cpu_millis: run_record.cpu_millis,
        rank,
        epoch,
        ticket: Arc::from(""),
    };
    Some(FromControl::Start {
        key,
        order: Box::new(order),
    })
}
