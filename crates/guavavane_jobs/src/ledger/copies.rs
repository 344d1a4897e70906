//! Copies of runs: second runs of tasks whose first run takes long.
//!
//! The first run stays in the record of its task. Its copy is recorded beside it, also after the copy
//! has ended without success, so that its number isn't used again. If the first run ends without
//! success, the copy takes its place.

use std::sync::Arc;

use super::command::StartChoice;
use super::record::CopyRecord;
use super::record::RunRecord;
use super::record::TaskPhase;
use super::record::WorkerIndex;
use super::JobLedger;
use crate::identity::JobKey;
use crate::identity::RunNumber;
use crate::identity::TaskKey;
use crate::job::StepKind;
use crate::job::StepSpec;

/// Which run of a task has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndedRun {
    /// The run in the record of the task.
    First,
    /// The copy of that run.
    Copy,
}

/// Whether runs of a step may have copies.
pub(crate) fn allows_copies(spec: &StepSpec) -> bool {
    spec.speculative && !spec.gang && spec.kind == StepKind::Finite
}

impl JobLedger {
    /// Copies that have not ended, with their workers.
    pub fn active_copies(&self) -> impl Iterator<Item = (TaskKey, RunNumber, WorkerIndex)> + '_ {
        let copies = self.copies.iter();
        copies.filter_map(|(task, copy)| Some((*task, copy.run, copy.worker?)))
    }

    /// Number of tasks with a recorded copy, active or ended. While there are any, a snapshot has a format
    /// that replicas of commit b041a08 refuse.
    pub fn recorded_copies(&self) -> usize {
        self.copies.len()
    }

    /// Copy of the current run of a task, active or ended without success.
    pub fn copy_of(&self, task: TaskKey) -> Option<&CopyRecord> {
        self.copies.get(&task)
    }

    /// Whether the current run of a task or its copy is assigned to a worker.
    pub fn is_assigned_to(&self, task: TaskKey, worker: WorkerIndex) -> bool {
        let phase = self.task(task).map(|task| task.phase);
        let has_copy = |copy: &CopyRecord| copy.worker == Some(worker);
        phase == Some(TaskPhase::Assigned(worker)) || self.copy_of(task).is_some_and(has_copy)
    }

    /// Whether a task may get a copy of its current run now. Both runs may fail without exceeding the
    /// limit of the job, so that a failure of one never ends the other.
    pub fn may_copy(&self, task: TaskKey) -> bool {
        let (Some(spec), Some(record)) = (self.step_spec(task.step), self.task(task)) else {
            return false;
        };
        let attempts_max = self.jobs.get(&task.step.job).map(|job| job.attempts_max);
        let is_assigned = matches!(record.phase, TaskPhase::Assigned(_));
        let has_copy = self.copy_of(task).is_some_and(|copy| copy.worker.is_some());
        let leaves_attempts =
            attempts_max.is_some_and(|max| record.failures.saturating_add(2) <= max);
        allows_copies(spec) && is_assigned && !has_copy && leaves_attempts
    }

    pub(super) fn is_active_copy(
        &self,
        task: TaskKey,
        run: RunNumber,
        worker: WorkerIndex,
    ) -> bool {
        let copy = self.copies.get(&task);
        copy.is_some_and(|copy| copy.run == run && copy.worker == Some(worker))
    }

    pub(super) fn start_copy(&mut self, choice: &StartChoice) -> bool {
        let key = choice.task;
        if !self.may_copy(key) || choice.run <= self.latest_run(key) {
            return false;
        }
        let first = match self.task(key).map(|task| task.phase) {
            Some(TaskPhase::Assigned(worker)) => self.workers.get(&worker),
            _ => None,
        };
        let (Some(first), Some(worker)) = (first, self.workers.get(&choice.worker)) else {
            return false;
        };
        if first.node == worker.node || worker.runs.contains_key(&key) {
            return false;
        }
        let Some(spec) = self.step_spec(key.step) else {
            return false;
        };
        let run_record = RunRecord::new(choice.run, spec);
        let copy = CopyRecord {
            run: choice.run,
            worker: Some(choice.worker),
        };
        self.copies.insert(key, copy);
        if let Some(worker) = self.workers.get_mut(&choice.worker) {
            worker.runs.insert(key, run_record);
            self.index.add_run(choice.worker, key);
        }
        let task = self.step_mut(key.step);
        let task = task.and_then(|step| step.tasks.get_mut(key.index as usize));
        if let Some(task) = task.filter(|_| !choice.checkpoint.is_empty()) {
            task.checkpoint = Arc::clone(&choice.checkpoint);
        }
        true
    }

    /// Highest number of a task's runs so far.
    pub fn latest_run(&self, task: TaskKey) -> RunNumber {
        let first = self.task(task).map(|task| task.run).unwrap_or_default();
        let copy = self.copies.get(&task).map(|copy| copy.run);
        copy.map_or(first, |copy| copy.max(first))
    }

    /// Ends a run of a task without success; returns whether the task has no run left. Then its
    /// record has the highest number of its runs.
    pub(super) fn end_unsuccessful_run(&mut self, key: TaskKey, ended: EndedRun) -> bool {
        let copy = self.copies.get(&key).copied();
        let remaining = match ended {
            EndedRun::First => copy.and_then(|copy| copy.worker),
            EndedRun::Copy => {
                if let Some(copy) = self.copies.get_mut(&key) {
                    copy.worker = None;
                }
                return false;
            }
        };
        self.copies.swap_remove(&key);
        let step = self.step_mut(key.step);
        let Some(task) = step.and_then(|step| step.tasks.get_mut(key.index as usize)) else {
            return false;
        };
        task.phase = remaining.map_or(TaskPhase::Waiting, TaskPhase::Assigned);
        if let Some(copy) = copy {
            task.run = task.run.max(copy.run);
        }
        remaining.is_none()
    }

    /// Forgets the copy of a task that is done; its run is no longer desired.
    pub(super) fn remove_copy(&mut self, key: TaskKey) {
        if self.copies.swap_remove(&key).is_some() {
            self.index.disturb_job(key.step.job);
        }
    }

    pub(super) fn remove_copies_of(&mut self, job: JobKey) {
        self.copies.retain(|task, _| task.step.job != job);
    }
}
