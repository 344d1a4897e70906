//! Jobs and tasks.
//!
//! A document declares jobs: one for each service and one for each run of a batch. A task is
//! pending, committed to one worker or ended. Each return to pending raises the attempt, so
//! that whatever is said of an earlier attempt is recognised as stale.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use crate::state::change::ChangeFeed;
use crate::state::change::StateChange;
use crate::state::command::EvictionCause;
use crate::state::job_record::JobOrigin;
use crate::state::job_record::JobRecord;
use crate::state::job_record::JobSpec;
use crate::state::job_record::TaskPhase;
use crate::state::job_record::TaskRecord;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BatchSpec;
use guavavane_model::prelude::EnvironmentDocument;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::JobId;
use guavavane_model::prelude::TaskId;
use guavavane_protocol::poll::TaskAttempt;

/// Ended jobs that are kept for their keys and for `jobs`.
const ENDED_JOBS_MAX: usize = 10_000;

/// All jobs and tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobTable {
    jobs: IndexMap<JobId, JobRecord>,
    tasks: IndexMap<TaskId, TaskRecord>,
    by_origin: IndexMap<JobOrigin, JobId>,
    ended: IndexSet<JobId>,
    last_job: JobId,
    last_task: TaskId,
}

impl JobTable {
    /// One job.
    pub fn job(&self, job: JobId) -> Option<&JobRecord> {
        self.jobs.get(&job)
    }

    /// All kept jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &JobRecord)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// One task.
    pub fn task(&self, task: TaskId) -> Option<&TaskRecord> {
        self.tasks.get(&task)
    }

    /// All kept tasks.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskId, &TaskRecord)> {
        self.tasks.iter().map(|(id, task)| (*id, task))
    }

    /// The job of an origin, if it is kept.
    pub fn find(&self, origin: &JobOrigin) -> Option<JobId> {
        self.by_origin.get(origin).copied()
    }

    /// The task, if `attempt` is its current one.
    pub fn current(&self, attempt: TaskAttempt) -> Option<&TaskRecord> {
        self.task(attempt.task)
            .filter(|task| task.attempt == attempt.attempt)
    }

    pub(super) fn task_mut(&mut self, task: TaskId) -> Option<&mut TaskRecord> {
        self.tasks.get_mut(&task)
    }

    pub(super) fn job_mut(&mut self, job: JobId) -> Option<&mut JobRecord> {
        self.jobs.get_mut(&job)
    }

    /// Makes the jobs of an environment follow its document.
    pub fn reconcile(
        &mut self,
        environment: &EnvironmentName,
        document: &EnvironmentDocument,
        feed: &mut ChangeFeed,
    ) {
        self.cancel_undeclared(environment, document, feed);
        for service in document.services.values() {
            let origin = JobOrigin::Service {
                environment: environment.clone(),
                service: service.name.clone(),
            };
            let spec = JobSpec::of_service(environment, service);
            self.declare_service(origin, spec, service.instances, feed);
        }
        for batch in document.batches.values() {
            for key in &batch.runs {
                self.submit(environment, batch, key, feed);
            }
        }
    }

    /// Cancels the jobs that the document no longer declares.
    fn cancel_undeclared(
        &mut self,
        environment: &EnvironmentName,
        document: &EnvironmentDocument,
        feed: &mut ChangeFeed,
    ) {
        let undeclared: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.origin.environment() == environment)
            .filter(|(_, job)| job.open > 0 && !is_declared(&job.origin, document))
            .map(|(id, _)| *id)
            .collect();
        for job in undeclared {
            self.cancel(job, feed);
        }
    }

    fn declare_service(
        &mut self,
        origin: JobOrigin,
        spec: JobSpec,
        instances: u32,
        feed: &mut ChangeFeed,
    ) {
        let known = self.find(&origin).filter(|id| !self.jobs[id].cancelled);
        let Some(id) = known else {
            self.add_job(origin, spec, instances, feed);
            return;
        };
        let job = &mut self.jobs[&id];
        if job.spec != spec {
            job.spec = spec;
            job.revision += 1;
            feed.push(StateChange::ServiceRevised(id));
        }
        self.resize(id, instances, feed);
    }

    /// Gives a service as many tasks as its document declares.
    fn resize(&mut self, id: JobId, instances: u32, feed: &mut ChangeFeed) {
        let staying: Vec<TaskId> = self.jobs[&id]
            .tasks
            .iter()
            .copied()
            .filter(|task| self.is_staying(*task))
            .collect();
        let wanted = instances as usize;
        for _ in staying.len()..wanted {
            self.add_task(id, feed);
        }
        for task in staying.iter().skip(wanted) {
            self.cancel_task(*task, feed);
        }
    }

    /// Whether a task of a service counts as one of its instances.
    fn is_staying(&self, task: TaskId) -> bool {
        let record = &self.tasks[&task];
        match record.commitment() {
            Some(held) => {
                held.evicting != Some(EvictionCause::Cancelled) && held.successor.is_none()
            }
            None => record.is_pending(),
        }
    }

    /// Makes the job of one run of a batch, unless the run is known.
    pub fn submit(
        &mut self,
        environment: &EnvironmentName,
        batch: &BatchSpec,
        key: &Arc<str>,
        feed: &mut ChangeFeed,
    ) -> JobId {
        let origin = JobOrigin::Batch {
            environment: environment.clone(),
            batch: batch.name.clone(),
            key: Arc::clone(key),
        };
        match self.find(&origin) {
            Some(id) => id,
            None => self.add_job(origin, JobSpec::of_batch(batch), batch.tasks, feed),
        }
    }

    fn add_job(
        &mut self,
        origin: JobOrigin,
        spec: JobSpec,
        tasks: u32,
        feed: &mut ChangeFeed,
    ) -> JobId {
        self.last_job = self.last_job.next();
        let id = self.last_job;
        let record = JobRecord {
            origin: origin.clone(),
            spec,
            revision: 0,
            tasks: Vec::new(),
            cancelled: false,
            evictions: 0,
            open: 0,
        };
        self.jobs.insert(id, record);
        self.by_origin.insert(origin, id);
        for _ in 0..tasks {
            self.add_task(id, feed);
        }
        id
    }

    pub(super) fn add_task(&mut self, job: JobId, feed: &mut ChangeFeed) -> TaskId {
        self.last_task = self.last_task.next();
        let id = self.last_task;
        let record = TaskRecord {
            job,
            attempt: AttemptNumber(1),
            failures: 0,
            progress_ms: 0,
            impossible: None,
            phase: TaskPhase::Pending,
        };
        self.tasks.insert(id, record);
        let record = &mut self.jobs[&job];
        record.tasks.push(id);
        record.open += 1;
        feed.push(StateChange::TaskPending(id));
        id
    }

    /// Cancels a job; `false` if it is not known.
    pub fn cancel(&mut self, id: JobId, feed: &mut ChangeFeed) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        job.cancelled = true;
        for task in job.tasks.clone() {
            self.cancel_task(task, feed);
        }
        true
    }

    /// Cancels a task that waits, and orders the end of one that is committed.
    fn cancel_task(&mut self, task: TaskId, feed: &mut ChangeFeed) {
        let Some(record) = self.tasks.get_mut(&task) else {
            return;
        };
        match &mut record.phase {
            TaskPhase::Pending => {
                feed.push(StateChange::TaskDropped(task));
                self.close_task(task, TaskPhase::Cancelled);
            }
            TaskPhase::Committed(held) => held.evicting = Some(EvictionCause::Cancelled),
            TaskPhase::Finished | TaskPhase::Cancelled | TaskPhase::GivenUp => {}
        }
    }

    /// Puts a task into a phase that it never leaves.
    pub(super) fn close_task(&mut self, task: TaskId, phase: TaskPhase) {
        let record = &mut self.tasks[&task];
        record.phase = phase;
        let job_id = record.job;
        let job = &mut self.jobs[&job_id];
        job.open -= 1;
        if job.origin.is_service() {
            // A service lives on; its ended tasks would pile up with each move.
            job.tasks.retain(|other| *other != task);
            self.tasks.swap_remove(&task);
        }
        if self.jobs[&job_id].open == 0 {
            self.ended.insert(job_id);
            self.drop_oldest_ended();
        }
    }

    fn drop_oldest_ended(&mut self) {
        while self.ended.len() > ENDED_JOBS_MAX {
            let Some(oldest) = self.ended.shift_remove_index(0) else {
                return;
            };
            let Some(job) = self.jobs.swap_remove(&oldest) else {
                continue;
            };
            if self.by_origin.get(&job.origin) == Some(&oldest) {
                self.by_origin.swap_remove(&job.origin);
            }
            for task in job.tasks {
                self.tasks.swap_remove(&task);
            }
        }
    }
}

fn is_declared(origin: &JobOrigin, document: &EnvironmentDocument) -> bool {
    match origin {
        JobOrigin::Service { service, .. } => document.services.contains_key(service),
        JobOrigin::Batch { batch, .. } => document.batches.contains_key(batch),
    }
}
