//! Copies of runs that take long: the leader's side of [`guavavane_jobs::plan::speculation`].
//!
//! Overdue runs are considered in the scheduling passes, after the starts of waiting tasks, so that
//! both reserve capacity in the same table. A copy is ordered like any start, after its commit. Once
//! one run of a task has succeeded, the other is stopped. A copy that can't be placed or committed is
//! left out, and its run considered again later.

use std::time::Duration;

use super::engine::ControlEngine;
use super::input::CommitPurpose;
use super::leader_state::LeaderState;
use super::peer_format::COPIES_FORMAT;
use crate::metric;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::speculation::CopyObstacle;
use guavavane_jobs::plan::speculation::CopyPlan;
use guavavane_jobs::plan::speculation::OverdueRun;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::StartChoice;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;

/// Time between two checks for overdue runs; each judges all workers for a few of them.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two log lines about runs that get no copy.
const REPORT_INTERVAL: Duration = Duration::from_secs(3);

impl LeaderState {
    /// Runs that may get a copy in this pass; none unless a check was requested.
    pub(super) fn take_overdue_runs(&mut self, ledger: &JobLedger) -> Vec<OverdueRun> {
        if !std::mem::take(&mut self.copied_runs.is_checking) {
            return Vec::new();
        }
        let now = BootClock.now();
        let overdue = self.speculation.take_overdue(now, ledger);
        for run in &overdue {
            // The copy may be refused, not be committed, or end before its first run.
            self.speculation.put_back(now, run);
        }
        overdue
    }
}

impl ControlEngine {
    /// Requests a pass that considers overdue runs, if there are any and all replicas read copies.
    pub(super) fn request_copies(&mut self, now: BootTime) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        if now < state.copied_runs.next_check || !state.speculation.is_due(now) {
            return;
        }
        state.copied_runs.next_check = now + CHECK_INTERVAL;
        let view = self.quorum.leadership();
        if self.peer_formats.are_all_known(&view, COPIES_FORMAT) {
            state.copied_runs.is_checking = true;
            state.pass_requested = true;
            return;
        }
        // Removes the runs that have ended; otherwise the watch would grow with each start for as long
        // as copies are withheld.
        let is_any_overdue = self.quorum.read_local(|ledger| {
            let overdue = state.speculation.take_overdue(now, ledger);
            for run in &overdue {
                state.speculation.put_back(now, run);
            }
            !overdue.is_empty()
        });
        if is_any_overdue && now >= state.copied_runs.next_report {
            state.copied_runs.next_report = now + REPORT_INTERVAL;
            metric::count_event("copy", "earlier_replica");
            tracing::info!(event = "copies_withheld", reason = "earlier_replica");
        }
    }

    /// Proposes the chosen copies and reports why other runs get none.
    pub(super) fn propose_copies(&mut self, plan: CopyPlan) {
        self.report_refused_copies(&plan.refused);
        if plan.choices.is_empty() {
            return;
        }
        let choices = plan.choices;
        let command = LedgerCommand::StartCopies {
            choices: choices.clone(),
        };
        self.propose(command, CommitPurpose::StartCopies(choices));
    }

    fn report_refused_copies(&mut self, refused: &[(OverdueRun, CopyObstacle)]) {
        for (_, obstacle) in refused {
            metric::count_event("copy", obstacle.name());
        }
        let (Some(state), Some((run, obstacle))) = (&mut self.leader_state, refused.first()) else {
            return;
        };
        let now = BootClock.now();
        if now < state.copied_runs.next_report {
            return;
        }
        state.copied_runs.next_report = now + REPORT_INTERVAL;
        let elapsed_ms = now.saturating_since(run.started_at).as_millis();
        let delay_ms = run.delay.as_millis();
        tracing::info!(event = "copies_refused", runs = refused.len(), task = %run.task, run = %run.run, elapsed_ms, delay_ms, reason = obstacle.name());
    }

    /// Records the copies that were committed, and returns them.
    pub(super) fn record_copies<'choices>(
        &mut self,
        choices: &'choices [StartChoice],
        started: &[bool],
    ) -> Vec<&'choices StartChoice> {
        let Some(state) = &mut self.leader_state else {
            return Vec::new();
        };
        let mut committed = Vec::new();
        for (choice, started) in choices.iter().zip(started) {
            let (task, run, worker) = (choice.task, choice.run, choice.worker);
            if !started {
                metric::count_event("copy", "not_started");
                tracing::info!(event = "copy_not_started", %task, %run, worker = worker.0);
                continue;
            }
            let copied = &mut state.copied_runs;
            self.quorum
                .read_local(|ledger| copied.record(ledger, task, (worker, run)));
            let first = copied.runs.get(&task).map(|runs| runs[0]);
            let started_at = first.and_then(|(_, first)| state.ordered_at.get(&(task, first)));
            let elapsed_ms =
                started_at.map(|at| BootClock.now().saturating_since(*at).as_millis() as u64);
            metric::count_event("copy", "started");
            let first_worker = first.map(|(worker, _)| worker.0);
            let first_run = first.map(|(_, run)| run.0);
            tracing::info!(event = "copy_started", %task, %run, worker = worker.0, first_worker, first_run, elapsed_ms);
            committed.push(choice);
        }
        committed
    }

    /// Stops the other run of each task of which one run has succeeded.
    pub(super) fn stop_losing_runs(&mut self, worker: WorkerIndex, completions: &[RunCompletion]) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let mut losing = Vec::new();
        for completion in completions {
            let task = completion.task;
            let ended = (worker, completion.run);
            // A run that lapsed may still report its success, which ends nothing.
            let runs = state.copied_runs.runs.get(&task).copied();
            let runs =
                runs.filter(|runs| completion.outcome == RunOutcome::Done && runs.contains(&ended));
            let Some([first, copy]) = runs else {
                continue;
            };
            state.copied_runs.runs.swap_remove(&task);
            let is_copy = copy == ended;
            metric::count_event("copy", if is_copy { "won" } else { "lost" });
            let other = if is_copy { first } else { copy };
            losing.push((other.0, task, other.1));
        }
        self.quorum.read_local(|ledger| {
            // It may have ended, or another run may be in its place.
            losing.retain(|(worker, task, run)| {
                let record = ledger.worker(*worker);
                let held = record.and_then(|record| record.runs.get(task));
                held.is_some_and(|held| held.run == *run)
            });
            let copied = &mut state.copied_runs.runs;
            for completion in completions {
                let has_copy = ledger.copy_of(completion.task);
                if has_copy.is_none_or(|copy| copy.worker.is_none()) {
                    copied.swap_remove(&completion.task);
                }
            }
        });
        self.send_run_orders(losing);
    }
}
