//! The life cycle of a task: placed, evicted, replaced and ended.

use crate::state::change::StateChange;
use crate::state::command::AttemptEnd;
use crate::state::command::ControlOutcome;
use crate::state::command::EndCause;
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
        let Some(record) = self.jobs.current(placement.attempt) else {
            return ControlOutcome::Stale;
        };
        if !record.is_pending() {
            return ControlOutcome::Stale;
        }
        let job = self.jobs.job(record.job).expect("a task has its job");
        if let Some(reason) = self.placement_bar(job, &placement) {
            return ControlOutcome::Rejected(reason);
        }
        let spec = job.spec.clone();
        let demand = spec.demand.max_each(&placement.demand);
        let revision = job.revision;
        if !self.workers.commit(&placement.worker, task, &demand) {
            return ControlOutcome::Rejected(RejectReason::Overcommitted);
        }
        let boot = self
            .workers
            .get(&placement.worker)
            .expect("the worker took the task")
            .boot;
        self.last_fence = self.last_fence.next();
        let commitment = TaskCommitment {
            worker: placement.worker,
            boot,
            fence: self.last_fence,
            demand,
            revision,
            program: spec.program,
            evicting: None,
            successor: None,
        };
        let record = self.jobs.task_mut(task).expect("the task was found");
        record.impossible = None;
        record.phase = TaskPhase::Committed(commitment);
        self.feed.push(StateChange::TaskCommitted(task));
        ControlOutcome::Changed
    }

    fn placement_bar(&self, job: &JobRecord, placement: &TaskPlacement) -> Option<RejectReason> {
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
        if self.jobs.current(eviction.attempt).is_none() {
            return ControlOutcome::Stale;
        }
        let record = self.jobs.task_mut(eviction.attempt.task);
        let Some(TaskPhase::Committed(held)) = record.map(|record| &mut record.phase) else {
            return ControlOutcome::Stale;
        };
        if held.evicting.is_some() {
            return ControlOutcome::Stale;
        }
        held.evicting = Some(eviction.cause);
        ControlOutcome::Changed
    }

    /// Adds the successor of a service's task; the old task is evicted once that one runs.
    pub(super) fn replace_task(&mut self, attempt: TaskAttempt) -> ControlOutcome {
        let Some(record) = self.jobs.current(attempt) else {
            return ControlOutcome::Stale;
        };
        let job_id = record.job;
        let job = self.jobs.job(job_id).expect("a task has its job");
        let replaceable = record
            .commitment()
            .is_some_and(|held| held.evicting.is_none() && held.successor.is_none());
        if !replaceable || job.cancelled || !job.origin.is_service() {
            return ControlOutcome::Stale;
        }
        let successor = self.jobs.add_task(job_id, &mut self.feed);
        let record = self
            .jobs
            .task_mut(attempt.task)
            .expect("the task was found");
        if let TaskPhase::Committed(held) = &mut record.phase {
            held.successor = Some(successor);
        }
        ControlOutcome::Changed
    }

    pub(super) fn end_attempt(&mut self, end: AttemptEnd) -> ControlOutcome {
        let Some(record) = self.jobs.current(end.attempt) else {
            return ControlOutcome::Stale;
        };
        let Some(held) = record.commitment().cloned() else {
            return ControlOutcome::Stale;
        };
        let task = end.attempt.task;
        self.workers.free(&held.worker, task, &held.demand);
        let next = self.next_phase(end, &held);
        self.feed.push(StateChange::AttemptEnded {
            attempt: end.attempt,
            worker: held.worker.clone(),
            cause: end.cause,
            evicting: held.evicting.is_some(),
            requeued: next == TaskPhase::Pending,
        });
        self.enter_phase(task, end, &held, next);
        ControlOutcome::Changed
    }

    /// Ends the attempt of a worker's earlier boot.
    pub(super) fn end_rebooted(&mut self, task: TaskId) {
        let record = self.jobs.task(task).expect("a committed task is kept");
        let end = AttemptEnd {
            attempt: task_attempt(task, record),
            cause: EndCause::LeaseExpired,
            progress_ms: record.progress_ms,
        };
        self.end_attempt(end);
    }

    fn next_phase(&self, end: AttemptEnd, held: &TaskCommitment) -> TaskPhase {
        let record = self
            .jobs
            .task(end.attempt.task)
            .expect("the task was found");
        let job = self.jobs.job(record.job).expect("a task has its job");
        let is_service = job.origin.is_service();
        if end.cause == EndCause::Finished && !is_service {
            return TaskPhase::Finished;
        }
        let unwanted = job.cancelled
            || held.evicting == Some(EvictionCause::Cancelled)
            || held
                .successor
                .is_some_and(|task| self.jobs.task(task).is_some());
        if unwanted {
            return TaskPhase::Cancelled;
        }
        let failures = record.failures + u32::from(end.cause == EndCause::Failed);
        if job.spec.max_failures.is_some_and(|most| failures >= most) {
            return TaskPhase::GivenUp;
        }
        TaskPhase::Pending
    }

    fn enter_phase(
        &mut self,
        task: TaskId,
        end: AttemptEnd,
        held: &TaskCommitment,
        next: TaskPhase,
    ) {
        let record = self.jobs.task_mut(task).expect("the task was found");
        record.failures += u32::from(end.cause == EndCause::Failed);
        record.progress_ms = record.progress_ms.max(end.progress_ms);
        let job = record.job;
        if next != TaskPhase::Pending {
            self.jobs.close_task(task, next);
            return;
        }
        requeue(record);
        if held.evicting.is_some() {
            self.jobs
                .job_mut(job)
                .expect("a task has its job")
                .evictions += 1;
        }
        self.feed.push(StateChange::TaskPending(task));
    }

    /// Gives up a task that waits; services are never given up.
    pub(super) fn give_up_task(&mut self, task: TaskId) -> ControlOutcome {
        let Some(record) = self.jobs.task(task).filter(|task| task.is_pending()) else {
            return ControlOutcome::Stale;
        };
        let job = self.jobs.job(record.job).expect("a task has its job");
        if job.origin.is_service() {
            return ControlOutcome::Stale;
        }
        self.feed.push(StateChange::TaskDropped(task));
        self.jobs.close_task(task, TaskPhase::GivenUp);
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
