//! Proposes again what the leader's replica has refused.
//!
//! A replica that is overloaded refuses proposals while it goes on to lead. Agents report a
//! completion, a withdrawal or a loss once in a session, so the leader keeps what was refused and
//! proposes it again in its maintenance.

use super::engine::ControlEngine;
use super::input::CommitPurpose;
use super::session::SessionId;
use crate::message::WorkerReport;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_model::prelude::BootClock;

impl ControlEngine {
    /// Keeps what a refused proposal of this tenure was to change.
    pub(super) fn keep_refused(&mut self, purpose: CommitPurpose) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        match purpose {
            CommitPurpose::NoteEnds {
                worker,
                completions,
            } => {
                if let Some(open) = state.open_completions.get_mut(&worker) {
                    open.mark_refused(&completions);
                }
            }
            CommitPurpose::Withdraw { worker, task, run } => {
                state.refused_withdrawals.insert((worker, task, run));
            }
            CommitPurpose::Lose { worker, .. } => {
                if let Some(loss) = state.pending_losses.get_mut(&worker) {
                    loss.in_flight = false;
                }
            }
            CommitPurpose::AddWorker { session, report } => self.keep_report(session, report),
            CommitPurpose::Forget(jobs) => {
                let now = BootClock.now();
                state
                    .ended_at
                    .extend(jobs.into_iter().map(|job| (job, now)));
            }
            // The maintenance runs a pass and releases the due occurrences anyway.
            CommitPurpose::Start(_) | CommitPurpose::Release => {}
            // The run goes on without a copy, and is considered again later.
            CommitPurpose::StartCopies(_) => {}
            // Their callers have got a reply.
            CommitPurpose::Submit { .. }
            | CommitPurpose::Cancel { .. }
            | CommitPurpose::Operator(_)
            | CommitPurpose::PutCatalog { .. } => {}
        }
    }

    /// Keeps a report unless a later one of its session has been handled or its worker has ended.
    fn keep_report(&mut self, session: SessionId, report: Box<WorkerReport>) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        if state.ended_early.swap_remove(&report.key) {
            return;
        }
        let adopted = state.session_worker(session);
        let is_adopted = self
            .quorum
            .read_local(|ledger| adopted.is_some() && ledger.worker_index(&report.key) == adopted);
        if !is_adopted {
            state.refused_reports.insert(session, report);
        }
    }

    /// Proposes again what was refused.
    pub(super) fn repeat_refused(&mut self) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let reports = std::mem::take(&mut state.refused_reports);
        let withdrawals = std::mem::take(&mut state.refused_withdrawals);
        let completions = state.open_completions.iter();
        let completions: Vec<(WorkerIndex, Vec<RunCompletion>)> = completions
            .map(|(worker, open)| (*worker, open.refused()))
            .filter(|(_, refused)| !refused.is_empty())
            .collect();
        let losses = state.pending_losses.iter();
        let losses: Vec<WorkerIndex> = losses
            .filter(|(_, loss)| !loss.in_flight)
            .map(|(worker, _)| *worker)
            .collect();
        for (session, report) in reports {
            self.handle_worker_report(session, *report);
        }
        for (worker, refused) in completions {
            self.propose_completions(worker, refused);
        }
        for (worker, task, run) in withdrawals {
            self.propose_withdrawal(worker, task, run);
        }
        for worker in losses {
            self.propose_loss(worker);
        }
    }
}
