//! Applies the commands of a task's life cycle: placement, eviction, replacement and end.

use crate::state::change_feed::StateChange;
use crate::state::command::AttemptCompletion;
use crate::state::command::AttemptOutcome;
use crate::state::command::ControlOutcome;
use crate::state::command::EvictionCause;
use crate::state::command::RejectReason;
use crate::state::command::TaskEviction;
use crate::state::command::TaskPlacement;
use crate::state::job_record::task_attempt;
use crate::state::job_record::JobRecord;
use crate::state::job_record::TaskCommitment;
use crate::state::job_record::TaskPhase;
use crate::state::job_record::TaskRecord;
use crate::state::ControlState;
use guavavane_model::prelude::TaskId;
use guavavane_protocol::poll::TaskAttempt;

impl ControlState {
    pub(super) fn place_task(&mut self, placement: TaskPlacement) -> ControlOutcome {
        let task = placement.attempt.task;
        let Some(record) = self.jobs.task_of_attempt(placement.attempt) else {
            return ControlOutcome::Stale;
        };
        if !record.is_pending() {
            return ControlOutcome::Stale;
        }
        let job = self.jobs.job(record.job).expect("a task has its job");
        if let Some(reason) = self.rejection_reason(job, &placement) {
            return ControlOutcome::Rejected(reason);
        }
        let spec = job.spec.clone();
        let demand = spec.demand.component_max(&placement.demand);
        let revision = job.revision;
        if !self.workers.commit(&placement.worker, task, &demand) {
            return ControlOutcome::Rejected(RejectReason::Overcommitted);
        }
        let boot = self
            .workers
            .get(&placement.worker)
            .expect("the task was committed to this worker")
            .boot;
        self.last_fence = self.last_fence.next();
        let commitment = TaskCommitment {
            worker: placement.worker,
            boot,
            fence: self.last_fence,
            demand,
            revision,
            program: spec.program,
            eviction: None,
            successor: None,
        };
        let record = self.jobs.task_mut(task).expect("the task was found");
        record.impossible = None;
        record.phase = TaskPhase::Committed(commitment);
        self.feed.push(StateChange::TaskCommitted(task));
        ControlOutcome::Changed
    }

    fn rejection_reason(&self, job: &JobRecord, placement: &TaskPlacement) -> Option<RejectReason> {
        let Some(worker) = self.workers.get(&placement.worker) else {
            return Some(RejectReason::UnknownWorker);
        };
        if self.data_centres.is_out(&worker.data_centre) {
            return Some(RejectReason::DataCentreOut);
        }
        if !job.spec.data_centres.contains(&worker.data_centre) {
            return Some(RejectReason::DataCentreNotAllowed);
        }
        None
    }

    pub(super) fn evict_task(&mut self, eviction: TaskEviction) -> ControlOutcome {
        if self.jobs.task_of_attempt(eviction.attempt).is_none() {
            return ControlOutcome::Stale;
        }
        let record = self.jobs.task_mut(eviction.attempt.task);
        let Some(TaskPhase::Committed(commitment)) = record.map(|record| &mut record.phase) else {
            return ControlOutcome::Stale;
        };
        if commitment.eviction.is_some() {
            return ControlOutcome::Stale;
        }
        commitment.eviction = Some(eviction.cause);
        ControlOutcome::Changed
    }

    /// Adds a successor to a service task; the scheduler evicts the task once the successor runs.
    pub(super) fn replace_task(&mut self, attempt: TaskAttempt) -> ControlOutcome {
        let Some(record) = self.jobs.task_of_attempt(attempt) else {
            return ControlOutcome::Stale;
        };
        let job_id = record.job;
        let job = self.jobs.job(job_id).expect("a task has its job");
        let is_replaceable = record.commitment().is_some_and(|commitment| {
            commitment.eviction.is_none() && commitment.successor.is_none()
        });
        if !is_replaceable || job.cancelled || !job.origin.is_service() {
            return ControlOutcome::Stale;
        }
        let successor = self.jobs.add_task(job_id, &mut self.feed);
        let record = self
            .jobs
            .task_mut(attempt.task)
            .expect("the task was found");
        if let TaskPhase::Committed(commitment) = &mut record.phase {
            commitment.successor = Some(successor);
        }
        ControlOutcome::Changed
    }

    pub(super) fn end_attempt(&mut self, completion: AttemptCompletion) -> ControlOutcome {
        let Some(record) = self.jobs.task_of_attempt(completion.attempt) else {
            return ControlOutcome::Stale;
        };
        let Some(commitment) = record.commitment().cloned() else {
            return ControlOutcome::Stale;
        };
        let task = completion.attempt.task;
        self.workers
            .release(&commitment.worker, task, &commitment.demand);
        let next = self.next_phase(completion, &commitment);
        self.feed.push(StateChange::AttemptEnded {
            attempt: completion.attempt,
            worker: commitment.worker.clone(),
            outcome: completion.outcome,
            eviction_ordered: commitment.eviction.is_some(),
            is_requeued: next == TaskPhase::Pending,
        });
        self.set_next_phase(task, completion, &commitment, next);
        ControlOutcome::Changed
    }

    /// Ends the current attempt of a task whose worker has booted again.
    pub(super) fn end_rebooted_attempt(&mut self, task: TaskId) {
        let record = self.jobs.task(task).expect("a committed task is kept");
        let completion = AttemptCompletion {
            attempt: task_attempt(task, record),
            outcome: AttemptOutcome::LeaseExpired,
            progress_ms: record.progress_ms,
        };
        self.end_attempt(completion);
    }

    /// Returns the phase of a task after its attempt ended. A task with a successor ends as
    /// cancelled, since the successor takes its place.
    fn next_phase(&self, completion: AttemptCompletion, commitment: &TaskCommitment) -> TaskPhase {
        let record = self
            .jobs
            .task(completion.attempt.task)
            .expect("the task was found");
        let job = self.jobs.job(record.job).expect("a task has its job");
        let is_service = job.origin.is_service();
        if completion.outcome == AttemptOutcome::Finished && !is_service {
            return TaskPhase::Finished;
        }
        let is_cancelled_or_replaced = job.cancelled
            || commitment.eviction == Some(EvictionCause::Cancelled)
            || commitment
                .successor
                .is_some_and(|task| self.jobs.task(task).is_some());
        if is_cancelled_or_replaced {
            return TaskPhase::Cancelled;
        }
        let failures = record.failures + u32::from(completion.outcome == AttemptOutcome::Failed);
        if job.spec.max_failures.is_some_and(|max| failures >= max) {
            return TaskPhase::GivenUp;
        }
        TaskPhase::Pending
    }

    fn set_next_phase(
        &mut self,
        task: TaskId,
        completion: AttemptCompletion,
        commitment: &TaskCommitment,
        next: TaskPhase,
    ) {
        let record = self.jobs.task_mut(task).expect("the task was found");
        record.failures += u32::from(completion.outcome == AttemptOutcome::Failed);
        record.progress_ms = record.progress_ms.max(completion.progress_ms);
        let job = record.job;
        if next != TaskPhase::Pending {
            self.jobs.end_task(task, next);
            return;
        }
        requeue(record);
        if commitment.eviction.is_some() {
            self.jobs
                .job_mut(job)
                .expect("a task has its job")
                .evictions += 1;
        }
        self.feed.push(StateChange::TaskPending(task));
    }

    /// Gives up a waiting batch task; services are never given up.
    pub(super) fn give_up_task(&mut self, task: TaskId) -> ControlOutcome {
        let Some(record) = self.jobs.task(task).filter(|task| task.is_pending()) else {
            return ControlOutcome::Stale;
        };
        let job = self.jobs.job(record.job).expect("a task has its job");
        if job.origin.is_service() {
            return ControlOutcome::Stale;
        }
        self.feed.push(StateChange::TaskDropped(task));
        self.jobs.end_task(task, TaskPhase::GivenUp);
        ControlOutcome::Changed
    }

    pub(super) fn set_impossible(&mut self, task: TaskId, lacks: Option<String>) -> ControlOutcome {
        match self.jobs.task_mut(task) {
            Some(record) if record.is_pending() && record.impossible != lacks => {
                record.impossible = lacks;
                ControlOutcome::Changed
            }
            _ => ControlOutcome::Stale,
        }
    }
}

fn requeue(record: &mut TaskRecord) {
    record.attempt = record.attempt.next();
    record.phase = TaskPhase::Pending;
}
