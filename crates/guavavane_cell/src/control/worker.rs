//! Workers and their agents, as the leader deals with them.

use std::sync::Arc;

use indexmap::IndexSet;

use super::commit::CommitPurpose;
use super::engine::ControlEngine;
use super::memory::DeferredReport;
use super::memory::WorkerMemory;
use super::session::SessionId;
use super::session::SessionRole;
use crate::message::FromControl;
use crate::message::WorkerReport;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::ledger::WorkerRecord;
use guavavane_jobs::plan::press::KnownPair;
use guavavane_jobs::plan::press::PressTable;
use guavavane_jobs::plan::room::rooms;
use guavavane_jobs::plan::round::choose_moves;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::RunEnd;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootClock;

impl ControlEngine {
    /// An agent speaks for a worker.
    pub(super) fn take_report(&mut self, session: SessionId, report: WorkerReport) {
        let known = self.quorum.local(|ledger| ledger.worker_index(&report.key));
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
        match &self.memory.as_ref()?.sessions.get(&session)?.role {
            SessionRole::Agent { node, .. } => Some(node.clone()),
            SessionRole::Entry => None,
        }
    }

    /// Takes over a worker that the ledger knows, and brings both in line.
    pub(super) fn adopt_worker(
        &mut self,
        session: SessionId,
        index: WorkerIndex,
        mut report: WorkerReport,
    ) {
        let now = BootClock.now();
        let lease = self.settings.timing.agent_lease;
        let lapses_at = now + self.settings.timing.surely_over(lease);
        let Some(memory) = &mut self.memory else {
            return;
        };
        if let Some(deferred) = memory.losing.get_mut(&index) {
            // What the ledger has of it is about to be freed: nothing of that may be ordered.
            let report = Box::new(report);
            *deferred = Some(DeferredReport { session, report });
            return;
        }
        let Some(open) = memory.sessions.get_mut(&session) else {
            return;
        };
        if let SessionRole::Agent { worker, .. } = &mut open.role {
            *worker = Some(index);
        }
        memory.press.adopt_better(std::mem::take(&mut report.pairs));
        let entry = memory.workers.entry(index);
        let entry = entry.or_insert_with(|| WorkerMemory::new(lapses_at));
        entry.session = Some(session);
        entry.draining = report.draining;
        entry.epoch = report.epoch;
        entry.lapses_at = entry.lapses_at.max(lapses_at);
        tracing::info!(event = "worker_adopted", worker = %report.key, index = index.0, draining = report.draining, running = report.running.len());
        self.drop_predecessors(index);
        self.match_runs(index, &report);
        self.take_ends(&report.key, report.ends);
        self.place();
    }

    /// Earlier incarnations on the same VM are gone.
    fn drop_predecessors(&mut self, index: WorkerIndex) {
        let earlier: Vec<WorkerIndex> = self.quorum.local(|ledger| {
            let Some(node) = ledger.worker(index).map(|worker| worker.node.clone()) else {
                return Vec::new();
            };
            let same = ledger
                .workers()
                .filter(|(other, worker)| *other != index && worker.node == node);
            same.map(|(other, _)| other).collect()
        });
        for worker in earlier {
            self.lose_worker(worker, true, "replaced");
        }
    }

    /// Orders what the ledger has and the worker lacks, and stops what it should not have.
    fn match_runs(&self, index: WorkerIndex, report: &WorkerReport) {
        let recorded: Vec<(TaskKey, RunNumber)> = self.quorum.local(|ledger| {
            let runs = ledger.worker(index).map(|worker| &worker.runs);
            let runs = runs.into_iter().flatten();
            runs.map(|(task, record)| (*task, record.run)).collect()
        });
        let ended =
            |id: &(TaskKey, RunNumber)| report.ends.iter().any(|end| (end.task, end.run) == *id);
        for id in recorded.iter().filter(|id| !ended(id)) {
            let (task, run) = *id;
            let there = report.running.contains(id);
            let wanted = self
                .quorum
                .local(|ledger| ledger.is_wanted(task, run, index));
            if !there && wanted && !self.takes_starts(index) {
                self.order_stop(index, task, run);
            } else if there != wanted || !wanted {
                self.order_run(index, task, run);
            }
        }
        for (task, run) in report.running.iter().filter(|id| !recorded.contains(id)) {
            self.order_stop(index, *task, *run);
        }
    }

    /// Tells an agent what is known of the images on its worker.
    pub(super) fn tell_pairs(&self, index: WorkerIndex) {
        let Some(memory) = &self.memory else {
            return;
        };
        let Some(session) = memory.worker_session(index) else {
            return;
        };
        let known = self.quorum.local(|ledger| {
            let worker = ledger.worker(index)?;
            Some((worker.key.clone(), neighbour_pairs(&memory.press, worker)))
        });
        if let Some((key, pairs)) = known.filter(|(_, pairs)| !pairs.is_empty()) {
            session.sender.send(FromControl::Pairs { key, pairs });
        }
    }

    /// Whether a start that was committed earlier may still be ordered.
    fn takes_starts(&self, index: WorkerIndex) -> bool {
        let memory = self.memory.as_ref().and_then(|m| m.workers.get(&index));
        let draining = memory.is_none_or(|worker| worker.draining);
        let excluded = self.quorum.local(|ledger| {
            let worker = ledger.worker(index);
            worker.is_none_or(|worker| ledger.is_excluded(&worker.facts.data_centre))
        });
        !draining && !excluded
    }

    /// Ends that a worker listed.
    pub(super) fn take_ends(&mut self, key: &WorkerKey, ends: Vec<RunEnd>) {
        if ends.is_empty() {
            return;
        }
        if let Some(worker) = self.quorum.local(|ledger| ledger.worker_index(key)) {
            let command = LedgerCommand::NoteEnds {
                worker,
                ends: ends.clone(),
            };
            self.propose(command, CommitPurpose::NoteEnds { worker, ends });
        }
    }

    /// A run that was never started and can't be any more.
    pub(super) fn withdraw(&mut self, key: &WorkerKey, task: TaskKey, run: RunNumber) {
        tracing::info!(event = "run_withdrawn", %task, %run, worker = %key);
        if let Some(worker) = self.quorum.local(|ledger| ledger.worker_index(key)) {
            if let Some(memory) = &mut self.memory {
                memory.advice.forget_ticket(task.step, worker);
            }
            let command = LedgerCommand::Withdraw { worker, task, run };
            self.propose(command, CommitPurpose::Freed);
        }
    }

    /// An agent says that an incarnation surely runs nothing any more.
    pub(super) fn take_loss(&mut self, key: &WorkerKey, ended: bool) {
        if let Some(worker) = self.quorum.local(|ledger| ledger.worker_index(key)) {
            self.lose_worker(worker, ended, "agent");
        }
    }

    fn lose_worker(&mut self, worker: WorkerIndex, ended: bool, reason: &'static str) {
        tracing::warn!(event = "worker_lost", worker = worker.0, ended, reason);
        if let Some(memory) = &mut self.memory {
            if ended {
                memory.workers.swap_remove(&worker);
            } else if let Some(known) = memory.workers.get_mut(&worker) {
                known.session = None;
            }
        }
        if let Some(memory) = &mut self.memory {
            memory.losing.entry(worker).or_insert(None);
        }
        let command = LedgerCommand::LoseWorker { worker, ended };
        self.propose(command, CommitPurpose::Lose(worker));
    }

    /// Goes on after a worker's loss, with what its agent has reported meanwhile.
    pub(super) fn finish_loss(&mut self, worker: WorkerIndex) {
        let deferred = self
            .memory
            .as_mut()
            .and_then(|m| m.losing.swap_remove(&worker));
        self.place();
        if let Some(Some(DeferredReport { session, report })) = deferred {
            self.take_report(session, *report);
        }
    }

    /// Frees the workers whose agents have been silent for longer than their lease.
    pub(super) fn lose_silent_workers(&mut self) {
        let now = BootClock.now();
        let Some(memory) = &self.memory else {
            return;
        };
        let silent = memory.workers.iter().filter(|(index, worker)| {
            let served = memory.worker_session(**index).is_some();
            !served && now > worker.lapses_at
        });
        let silent: Vec<WorkerIndex> = silent.map(|(index, _)| *index).collect();
        for worker in silent {
            let idle = self
                .quorum
                .local(|ledger| ledger.worker(worker).is_none_or(|w| w.runs.is_empty()));
            if !idle {
                self.lose_worker(worker, false, "lease_over");
            }
        }
    }

    /// Moves filling tasks that stand still, as far as another worker has room for them.
    pub(super) fn move_stalled(&mut self, key: &WorkerKey, runs: &[(TaskKey, RunNumber)]) {
        let Some(memory) = &self.memory else {
            return;
        };
        let moved: Vec<(WorkerIndex, TaskKey, RunNumber)> = self.quorum.local(|ledger| {
            let Some(worker) = ledger.worker_index(key) else {
                return Vec::new();
            };
            let rooms = rooms(ledger, |index: WorkerIndex| memory.outlook(index));
            let wanted = runs
                .iter()
                .filter(|(task, run)| ledger.is_wanted(*task, *run, worker));
            let wanted: Vec<TaskKey> = wanted.map(|(task, _)| *task).collect();
            let movable = choose_moves(ledger, rooms, memory, worker, &wanted);
            let run_of = |task: &TaskKey| runs.iter().find(|(stalled, _)| stalled == task);
            let movable = movable.iter().filter_map(run_of);
            movable.map(|(task, run)| (worker, *task, *run)).collect()
        });
        for (worker, task, run) in moved {
            tracing::info!(event = "run_moved", %task, %run, worker = %key);
            self.order_stop(worker, task, run);
        }
    }

    fn order_stop(&self, worker: WorkerIndex, task: TaskKey, run: RunNumber) {
        let Some(session) = self.memory.as_ref().and_then(|m| m.worker_session(worker)) else {
            return;
        };
        let key = self
            .quorum
            .local(|ledger| ledger.worker(worker).map(|w| w.key.clone()));
        if let Some(key) = key {
            tracing::info!(event = "stop_ordered", %task, %run, worker = %key);
            session.sender.send(FromControl::Stop { key, task, run });
        }
    }
}

/// What is known of the serving images on a worker and the filling images beside them.
fn neighbour_pairs(press: &PressTable, worker: &WorkerRecord) -> Vec<KnownPair> {
    let runs = || worker.runs.values();
    let serving = runs().filter(|run| run.latency_target_ms.is_some());
    let serving: IndexSet<&Arc<str>> = serving.map(|run| &run.image).collect();
    let filling = runs().filter(|run| run.filling);
    let filling: IndexSet<&Arc<str>> = filling.map(|run| &run.image).collect();
    let pairs = serving.iter().flat_map(|served| {
        let filling = filling.iter();
        filling.map(move |image| (*served, *image))
    });
    press.known_pairs(pairs)
}
