//! Leader's handling of workers and their agents: reports, completions, losses and moves.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;

use super::command_size::drop_long_checkpoints;
use super::command_size::is_checkpoint_kept;
use super::command_size::split_completions;
use super::commit::CommitPurpose;
use super::engine::ControlEngine;
use super::incarnation::request_refusals;
use super::leader_state::DeferredReport;
use super::leader_state::PendingLoss;
use super::leader_state::WorkerState;
use super::session::SessionId;
use super::session::SessionRole;
use crate::message::FromControl;
use crate::message::WorkerReport;
use guavavane_jobs::ledger::TaskPhase;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::ledger::WorkerRecord;
use guavavane_jobs::plan::interference::InterferenceModel;
use guavavane_jobs::plan::interference::PairEstimate;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootClock;

impl ControlEngine {
    /// Handles an agent's report of its worker; a worker that is not in the ledger is added first.
    pub(super) fn handle_worker_report(&mut self, session: SessionId, report: WorkerReport) {
        if let Some(state) = &mut self.leader_state {
            state.refused_reports.swap_remove(&session);
            state.ended_early.swap_remove(&report.key);
        }
        let known = self
            .quorum
            .read_local(|ledger| ledger.worker_index(&report.key));
        if let Some(index) = known {
            return self.adopt_worker(session, index, report);
        }
        let Some(node) = self.session_node(session) else {
            return;
        };
        let command = LedgerCommand::AddWorker {
            key: report.key.clone(),
            node,
            facts: report.facts.clone(),
        };
        let report = Box::new(report);
        self.propose(command, CommitPurpose::AddWorker { session, report });
    }

    fn session_node(&self, session: SessionId) -> Option<Arc<str>> {
        self.leader_state.as_ref()?.session_node(session).cloned()
    }

    /// Attaches a worker in the ledger to the agent's session and reconciles its runs. The
    /// interference estimates that the agent returns carry the model over from earlier leaders.
    pub(super) fn adopt_worker(
        &mut self,
        session: SessionId,
        index: WorkerIndex,
        mut report: WorkerReport,
    ) {
        let now = BootClock.now();
        let lease = self.settings.timing.agent_lease;
        let lease_expires_at = now + self.settings.timing.expiry_bound(lease);
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let Some(leader_session) = state.sessions.get_mut(&session) else {
            return;
        };
        if let Some(loss) = state.pending_losses.get_mut(&index) {
            // The ledger is about to free the runs of this worker, so none of them may be ordered.
            let report = Box::new(report);
            loss.deferred = Some(DeferredReport { session, report });
            return;
        }
        if request_refusals(&self.quorum, leader_session, index, &report) {
            return;
        }
        if let SessionRole::Agent { worker, .. } = &mut leader_session.role {
            *worker = Some(index);
        }
        state
            .interference
            .keep_narrower_estimates(std::mem::take(&mut report.estimates));
        state.capacities.mark_changed(index);
        let worker_state = state.workers.entry(index);
        let worker_state = worker_state.or_insert_with(|| WorkerState::new(lease_expires_at));
        let is_repeated = worker_state.session == Some(session);
        worker_state.session = Some(session);
        worker_state.draining = report.draining;
        worker_state.epoch = report.epoch;
        worker_state.lease_expires_at = worker_state.lease_expires_at.max(lease_expires_at);
        tracing::info!(event = "worker_adopted", worker = %report.key, index = index.0, draining = report.draining, running = report.running.len());
        self.lose_other_incarnations(index, &report.completions);
        self.send_estimates(index);
        self.reconcile_runs(index, &report, is_repeated);
        self.handle_completions(&report.key, report.completions);
        self.request_pass();
    }

    /// Starts runs that the worker lacks and stops runs that are not desired on it. A desired run
    /// that may not start now is stopped as well, so that its agent withdraws it; but not for want of a
    /// ticket if the report is repeated on its session, since the start may be under way. The start of a
    /// running run that throttling concerns is ordered again, since a new process of the agent lacks
    /// its attributes; an agent ignores the repetition but for these.
    fn reconcile_runs(&self, index: WorkerIndex, report: &WorkerReport, is_repeated: bool) {
        let recorded: Vec<(TaskKey, RunNumber)> = self.quorum.read_local(|ledger| {
            let runs = ledger.worker(index).map(|worker| &worker.runs);
            let runs = runs.into_iter().flatten();
            runs.map(|(task, record)| (*task, record.run)).collect()
        });
        let has_ended = |id: &(TaskKey, RunNumber)| {
            report
                .completions
                .iter()
                .any(|completion| (completion.task, completion.run) == *id)
        };
        for id in recorded.iter().filter(|id| !has_ended(id)) {
            let (task, run) = *id;
            let is_running = report.running.contains(id);
            let is_desired = self
                .quorum
                .read_local(|ledger| ledger.is_desired(task, run, index));
            let may_start = self.accepts_starts(index)
                && (is_repeated || self.has_required_ticket(index, task));
            if !is_running && is_desired && !may_start {
                self.send_stop(index, task, run);
            } else if !is_running || !is_desired || self.is_throttling_relevant(index, task) {
                self.send_run_order(index, task, run);
            }
        }
        for (task, run) in report.running.iter().filter(|id| !recorded.contains(id)) {
            self.send_stop(index, *task, *run);
        }
    }

    /// Whether a recorded run is throttled, or protected by throttling.
    fn is_throttling_relevant(&self, index: WorkerIndex, task: TaskKey) -> bool {
        self.quorum.read_local(|ledger| {
            let record = ledger
                .worker(index)
                .and_then(|worker| worker.runs.get(&task));
            record.is_some_and(|run| run.best_effort || run.latency_target_ms.is_some())
        })
    }

    /// Sends the learned interference estimates for the images on a worker to its agent.
    pub(super) fn send_estimates(&self, index: WorkerIndex) {
        let Some(state) = &self.leader_state else {
            return;
        };
        let Some(session) = state.worker_session(index) else {
            return;
        };
        let known = self.quorum.read_local(|ledger| {
            let worker = ledger.worker(index)?;
            Some((
                worker.key.clone(),
                learned_estimates(&state.interference, worker),
            ))
        });
        if let Some((key, estimates)) = known.filter(|(_, estimates)| !estimates.is_empty()) {
            session
                .sender
                .send(FromControl::InterferenceEstimates { key, estimates });
        }
    }

    /// Whether a start on the worker needs no ticket of the advice service, or a valid one is held.
    pub(super) fn has_required_ticket(&self, index: WorkerIndex, task: TaskKey) -> bool {
        let needs_ticket = self.quorum.read_local(|ledger| {
            let job = ledger.job(task.step.job);
            let queue = job.and_then(|job| ledger.catalog().queue(&job.queue));
            queue.is_some_and(|queue| queue.advice.is_some())
        });
        let ticket = self.leader_state.as_ref().and_then(|state| {
            let now = BootClock.now();
            state.advice.ticket(now, task.step, index)
        });
        !needs_ticket || ticket.is_some()
    }

    /// Whether a committed start may still be sent to the worker.
    fn accepts_starts(&self, index: WorkerIndex) -> bool {
        let state = self
            .leader_state
            .as_ref()
            .and_then(|state| state.workers.get(&index));
        let draining = state.is_none_or(|worker| worker.draining);
        let excluded = self.quorum.read_local(|ledger| {
            let worker = ledger.worker(index);
            worker.is_none_or(|worker| ledger.is_excluded(&worker.facts.data_centre))
        });
        !draining && !excluded
    }

    /// Commits completions that a worker reported. Those of an incarnation that is asked to refuse runs
    /// wait for its next report, because they may be of runs that an earlier one still has.
    pub(super) fn handle_completions(
        &mut self,
        key: &WorkerKey,
        mut completions: Vec<RunCompletion>,
    ) {
        if completions.is_empty() {
            return;
        }
        drop_long_checkpoints(&mut completions);
        let worker = self.quorum.read_local(|ledger| ledger.worker_index(key));
        let Some(worker) = worker.filter(|worker| !self.awaits_report(*worker)) else {
            tracing::info!(event = "completions_deferred", worker = %key, completions = completions.len());
            return;
        };
        self.propose_completions(worker, completions);
    }

    /// Proposes the completions that no proposal in flight holds.
    pub(super) fn propose_completions(
        &mut self,
        worker: WorkerIndex,
        completions: Vec<RunCompletion>,
    ) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let open = state.open_completions.entry(worker).or_default();
        let completions = open.add(completions);
        for completions in split_completions(completions) {
            let command = LedgerCommand::NoteEnds {
                worker,
                completions: completions.clone(),
            };
            let purpose = CommitPurpose::NoteEnds {
                worker,
                completions,
            };
            self.propose(command, purpose);
        }
    }

    /// Records the checkpoints of the tasks that are assigned to the session's worker.
    pub(super) fn record_checkpoints(
        &mut self,
        session: SessionId,
        mut checkpoints: Vec<(TaskKey, Arc<str>)>,
    ) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let Some(worker) = state.session_worker(session) else {
            return;
        };
        self.quorum.read_local(|ledger| {
            let is_assigned = |task: TaskKey| {
                let task = ledger.task(task);
                task.is_some_and(|task| task.phase == TaskPhase::Assigned(worker))
            };
            checkpoints
                .retain(|(task, checkpoint)| is_assigned(*task) && is_checkpoint_kept(checkpoint));
        });
        let now = BootClock.now();
        let arrivals = checkpoints.iter().map(|(task, _)| (*task, now));
        state.checkpointed_at.extend(arrivals);
        state.checkpoints.extend(checkpoints);
    }

    /// Counts a rejected start as a failure of the worker: it would get the same task again, since what
    /// starts nothing stays idle.
    pub(super) fn record_rejected_start(&mut self, key: &WorkerKey) {
        let worker = self.quorum.read_local(|ledger| ledger.worker_index(key));
        if let (Some(state), Some(worker)) = (&mut self.leader_state, worker) {
            tracing::info!(event = "start_rejected", worker = %key);
            state.update_probation(worker, |probation| {
                probation.record_failure(BootClock.now());
            });
        }
    }

    /// Frees a run that never started and no longer can.
    pub(super) fn withdraw_run(&mut self, key: &WorkerKey, task: TaskKey, run: RunNumber) {
        tracing::info!(event = "run_withdrawn", %task, %run, worker = %key);
        if let Some(worker) = self.quorum.read_local(|ledger| ledger.worker_index(key)) {
            if let Some(state) = &mut self.leader_state {
                state.advice.discard_ticket(task.step, worker);
            }
            self.propose_withdrawal(worker, task, run);
        }
    }

    pub(super) fn propose_withdrawal(
        &mut self,
        worker: WorkerIndex,
        task: TaskKey,
        run: RunNumber,
    ) {
        let command = LedgerCommand::Withdraw { worker, task, run };
        self.propose(command, CommitPurpose::Withdraw { worker, task, run });
    }

    /// Frees the runs of all workers on a VM after its agent has reported that none holds a lease.
    pub(super) fn handle_expired_lease(&mut self, session: SessionId) {
        let Some(node) = self.session_node(session) else {
            return;
        };
        for worker in self.workers_on(&node) {
            self.declare_worker_lost(worker, false, "lease_expired");
            let state = self.leader_state.as_mut();
            if let Some(loss) = state.and_then(|state| state.pending_losses.get_mut(&worker)) {
                // Its report is older than the expiry, and its orders would be void.
                loss.deferred = None;
            }
        }
    }

    /// Shortens the lease of an agent whose process ends. Its worker gets no orders until the next process
    /// reports it, and later pings on the session renew nothing.
    pub(super) fn shorten_lease(&mut self, session: SessionId, remaining: Duration) {
        let timing = self.settings.timing;
        let remaining = remaining.min(timing.agent_lease);
        let lease_expires_at = BootClock.now() + timing.expiry_bound(remaining);
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let Some(index) = state.detach_worker(session) else {
            return;
        };
        if let Some(worker) = state.worker_mut(index) {
            tracing::info!(event = "lease_shortened", worker = index.0);
            worker.lease_expires_at = worker.lease_expires_at.min(lease_expires_at);
        }
    }

    fn workers_on(&self, node: &str) -> Vec<WorkerIndex> {
        self.quorum
            .read_local(|ledger| ledger.workers_on(node).collect())
    }

    /// Handles an agent's report that an incarnation has ended for good.
    pub(super) fn handle_worker_ended(&mut self, key: &WorkerKey) {
        if let Some(worker) = self.quorum.read_local(|ledger| ledger.worker_index(key)) {
            self.declare_worker_lost(worker, true, "agent");
        } else if let Some(state) = &mut self.leader_state {
            // The proposal that adds the worker may be in flight.
            state.ended_early.insert(key.clone());
            state.refused_reports.retain(|_, report| report.key != *key);
        }
    }

    /// Proposes to free all runs of a worker. `ended` says that the incarnation never comes back.
    pub(super) fn declare_worker_lost(
        &mut self,
        worker: WorkerIndex,
        ended: bool,
        reason: &'static str,
    ) {
        tracing::warn!(event = "worker_lost", worker = worker.0, ended, reason);
        let Some(state) = &mut self.leader_state else {
            return;
        };
        if ended {
            state.capacities.mark_changed(worker);
            state.workers.swap_remove(&worker);
            state.open_completions.swap_remove(&worker);
        } else if let Some(worker_state) = state.worker_mut(worker) {
            worker_state.session = None;
        }
        let loss = state.pending_losses.entry(worker).or_insert(PendingLoss {
            ended,
            in_flight: false,
            deferred: None,
        });
        if ended {
            loss.ended = true;
            // Its report is older than its end.
            loss.deferred = None;
        }
        self.propose_loss(worker);
    }

    /// Proposes a pending loss unless a proposal of it is in flight.
    pub(super) fn propose_loss(&mut self, worker: WorkerIndex) {
        let state = self.leader_state.as_mut();
        let loss = state.and_then(|state| state.pending_losses.get_mut(&worker));
        let Some(loss) = loss.filter(|loss| !loss.in_flight) else {
            return;
        };
        loss.in_flight = true;
        let ended = loss.ended;
        let command = LedgerCommand::LoseWorker { worker, ended };
        self.propose(command, CommitPurpose::Lose { worker, ended });
    }

    /// Runs a scheduling pass after a loss was committed, then handles a report deferred until then.
    /// A loss that was found to be final meanwhile is proposed again.
    pub(super) fn end_pending_loss(&mut self, worker: WorkerIndex, ended: bool) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let Some(mut loss) = state.pending_losses.swap_remove(&worker) else {
            return;
        };
        if loss.ended && !ended {
            loss.in_flight = false;
            state.pending_losses.insert(worker, loss);
            return self.propose_loss(worker);
        }
        self.answer_loss_questions();
        self.request_pass();
        if let Some(DeferredReport { session, report }) = loss.deferred {
            self.handle_worker_report(session, *report);
        }
    }

    /// Frees the runs of workers whose agents have no session and whose leases have expired.
    pub(super) fn expire_agent_leases(&mut self) {
        let now = BootClock.now();
        let Some(state) = &self.leader_state else {
            return;
        };
        let expired = state.workers.iter().filter(|(index, worker)| {
            let has_session = state.worker_session(**index).is_some();
            !has_session && now > worker.lease_expires_at
        });
        let expired: Vec<WorkerIndex> = expired.map(|(index, _)| *index).collect();
        for worker in expired {
            let is_idle = self
                .quorum
                .read_local(|ledger| ledger.worker(worker).is_none_or(|w| w.runs.is_empty()));
            if !is_idle {
                self.declare_worker_lost(worker, false, "lease_over");
            }
        }
    }

    pub(super) fn send_stop(&self, worker: WorkerIndex, task: TaskKey, run: RunNumber) {
        let Some(session) = self
            .leader_state
            .as_ref()
            .and_then(|state| state.worker_session(worker))
        else {
            return;
        };
        let key = self
            .quorum
            .read_local(|ledger| ledger.worker(worker).map(|w| w.key.clone()));
        if let Some(key) = key {
            tracing::info!(event = "stop_ordered", %task, %run, worker = %key);
            session.sender.send(FromControl::Stop { key, task, run });
        }
    }
}

/// Learned estimates for the pairs of latency-critical and best-effort images on a worker.
fn learned_estimates(interference: &InterferenceModel, worker: &WorkerRecord) -> Vec<PairEstimate> {
    let runs = || worker.runs.values();
    let latency_critical = runs().filter(|run| run.latency_target_ms.is_some());
    let latency_critical: IndexSet<&Arc<str>> = latency_critical.map(|run| &run.image).collect();
    let best_effort = runs().filter(|run| run.best_effort);
    let best_effort: IndexSet<&Arc<str>> = best_effort.map(|run| &run.image).collect();
    let pairs = latency_critical.iter().flat_map(|critical_image| {
        let best_effort = best_effort.iter();
        best_effort.map(move |image| (*critical_image, *image))
    });
    interference.estimates_for(pairs)
}
