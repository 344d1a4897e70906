//! Incarnations of one worker: which runs the present one has to refuse, and the loss of the others.
//!
//! A worker may start again under its name. Starts that were meant for an earlier incarnation may still
//! reach the present one, so the runs of the earlier one are freed only once this one refuses them.

use super::engine::ControlEngine;
use super::session::LeaderSession;
use crate::message::FromControl;
use crate::message::WorkerReport;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_quorum::prelude::QuorumHandle;

impl ControlEngine {
    /// Proposes the loss of all other incarnations on the same VM. The present one may have carried out
    /// a start that was meant for an earlier one; its completion counts for the run of that one.
    pub(super) fn lose_other_incarnations(
        &mut self,
        index: WorkerIndex,
        completions: &[RunCompletion],
    ) {
        let replaced = self
            .quorum
            .read_local(|ledger| other_incarnations(ledger, index));
        for worker in replaced {
            let inherited = self
                .quorum
                .read_local(|ledger| recorded_completions(ledger, worker, completions));
            self.propose_completions(worker, inherited);
            self.declare_worker_lost(worker, true, "replaced");
        }
    }

    /// Whether a worker has been added and not been adopted on a session, so that its agent reports it
    /// again.
    pub(super) fn awaits_report(&self, worker: WorkerIndex) -> bool {
        let Some(state) = &self.leader_state else {
            return true;
        };
        let is_adopted = state
            .workers
            .get(&worker)
            .is_some_and(|w| w.session.is_some());
        !is_adopted && !state.pending_losses.contains_key(&worker)
    }
}

/// Asks the agent of a reported worker to refuse the runs of its earlier incarnations; returns whether
/// some are not refused yet.
pub(super) fn request_refusals(
    quorum: &QuorumHandle<JobLedger>,
    session: &LeaderSession,
    index: WorkerIndex,
    report: &WorkerReport,
) -> bool {
    let runs = unrefused_runs(quorum, index, report);
    if runs.is_empty() {
        return false;
    }
    let key = report.key.clone();
    tracing::info!(event = "refusal_asked", worker = %key, runs = runs.len());
    session.sender.send(FromControl::RefuseRuns { key, runs });
    true
}

/// Those of the completions that are of a run that the ledger has on a worker.
fn recorded_completions(
    ledger: &JobLedger,
    worker: WorkerIndex,
    completions: &[RunCompletion],
) -> Vec<RunCompletion> {
    let record = ledger.worker(worker);
    let is_recorded = |completion: &&RunCompletion| {
        let run = record.and_then(|record| record.runs.get(&completion.task));
        run.is_some_and(|run| run.run == completion.run)
    };
    completions.iter().filter(is_recorded).cloned().collect()
}

/// Other incarnations on the VM of a worker.
fn other_incarnations(ledger: &JobLedger, index: WorkerIndex) -> Vec<WorkerIndex> {
    let node = ledger.worker(index).map(|worker| &worker.node);
    let workers = node.into_iter().flat_map(|node| ledger.workers_on(node));
    workers.filter(|other| *other != index).collect()
}

/// Runs of other incarnations with the name of the reported worker that it may still start, because it
/// has not confirmed to refuse them.
fn unrefused_runs(
    quorum: &QuorumHandle<JobLedger>,
    index: WorkerIndex,
    report: &WorkerReport,
) -> Vec<(TaskKey, RunNumber)> {
    quorum.read_local(|ledger| {
        let others = other_incarnations(ledger, index).into_iter();
        let others = others.filter_map(|other| ledger.worker(other));
        let namesakes = others.filter(|other| other.key.name == report.key.name);
        let runs = namesakes.flat_map(|other| &other.runs);
        let runs = runs.map(|(task, record)| (*task, record.run));
        runs.filter(|run| !report.refused_runs.contains(run))
            .collect()
    })
}
