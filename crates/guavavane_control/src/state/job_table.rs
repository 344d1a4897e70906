//! Keeps jobs and tasks and reconciles them with the documents.
//!
//! A document declares one job for each service and one for each run of a batch. A task is pending,
//! committed to one worker, or ended. Each time a task becomes pending again its attempt number
//! rises, so that late reports about an earlier attempt are recognised as stale.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use crate::state::change_feed::ChangeFeed;
use crate::state::change_feed::StateChange;
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

/// Maximum number of ended jobs that are kept. They deduplicate resubmitted run keys and are listed
/// by the `jobs` command.
const ENDED_JOBS_MAX: usize = 10_000;

/// Jobs and tasks of all environments.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobTable {
    jobs: IndexMap<JobId, JobRecord>,
    tasks: IndexMap<TaskId, TaskRecord>,
    by_origin: IndexMap<JobOrigin, JobId>,
    ended_jobs: IndexSet<JobId>,
    last_job: JobId,
    last_task: TaskId,
}

impl JobTable {
    /// Returns a job, if it is kept.
    pub fn job(&self, job: JobId) -> Option<&JobRecord> {
        self.jobs.get(&job)
    }

    /// Iterates over all kept jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &JobRecord)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// Returns a task, if it is kept.
    pub fn task(&self, task: TaskId) -> Option<&TaskRecord> {
        self.tasks.get(&task)
    }

    /// Iterates over all kept tasks.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskId, &TaskRecord)> {
        self.tasks.iter().map(|(id, task)| (*id, task))
    }

    /// Returns the latest job of a service or batch run, if it is kept.
    pub fn find_job(&self, origin: &JobOrigin) -> Option<JobId> {
        self.by_origin.get(origin).copied()
    }

    /// Returns the task of `attempt`, if that is the current attempt.
    pub fn task_of_attempt(&self, attempt: TaskAttempt) -> Option<&TaskRecord> {
        self.task(attempt.task)
            .filter(|task| task.attempt == attempt.attempt)
    }

    pub(super) fn task_mut(&mut self, task: TaskId) -> Option<&mut TaskRecord> {
        self.tasks.get_mut(&task)
    }

    pub(super) fn job_mut(&mut self, job: JobId) -> Option<&mut JobRecord> {
        self.jobs.get_mut(&job)
    }

    /// Creates, changes and cancels the jobs of an environment as its document declares them.
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
            self.reconcile_service(origin, spec, service.instances, feed);
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
            .filter(|(_, job)| job.active_tasks > 0 && !is_declared(&job.origin, document))
            .map(|(id, _)| *id)
            .collect();
        for job in undeclared {
            self.cancel(job, feed);
        }
    }

    fn reconcile_service(
        &mut self,
        origin: JobOrigin,
        spec: JobSpec,
        instances: u32,
        feed: &mut ChangeFeed,
    ) {
        let existing = self.find_job(&origin).filter(|id| !self.jobs[id].cancelled);
        let Some(id) = existing else {
            self.add_job(origin, spec, instances, feed);
            return;
        };
        let job = &mut self.jobs[&id];
        if job.spec != spec {
            job.spec = spec;
            job.revision += 1;
            feed.push(StateChange::ServiceRevised(id));
        }
        self.scale_service(id, instances, feed);
    }

    /// Adds or cancels tasks until a service has `instances` tasks.
    fn scale_service(&mut self, id: JobId, instances: u32, feed: &mut ChangeFeed) {
        let kept: Vec<TaskId> = self.jobs[&id]
            .tasks
            .iter()
            .copied()
            .filter(|task| self.counts_as_instance(*task))
            .collect();
        let desired = instances as usize;
        for _ in kept.len()..desired {
            self.add_task(id, feed);
        }
        for task in kept.iter().skip(desired) {
            self.cancel_task(*task, feed);
        }
    }

    /// Whether a task counts as an instance of its service: not if it is being cancelled, and not
    /// if its successor counts instead.
    fn counts_as_instance(&self, task: TaskId) -> bool {
        let record = &self.tasks[&task];
        match record.commitment() {
            Some(commitment) => {
                commitment.eviction != Some(EvictionCause::Cancelled)
                    && commitment.successor.is_none()
            }
            None => record.is_pending(),
        }
    }

    /// Creates the job of a batch run; returns the existing job if the run key is known.
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
        match self.find_job(&origin) {
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
            active_tasks: 0,
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
        record.active_tasks += 1;
        feed.push(StateChange::TaskPending(id));
        id
    }

    /// Cancels a job; returns `false` if it is unknown.
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

    /// Cancels a waiting task, or orders the eviction of a committed one.
    fn cancel_task(&mut self, task: TaskId, feed: &mut ChangeFeed) {
        let Some(record) = self.tasks.get_mut(&task) else {
            return;
        };
        match &mut record.phase {
            TaskPhase::Pending => {
                feed.push(StateChange::TaskDropped(task));
                self.end_task(task, TaskPhase::Cancelled);
            }
            TaskPhase::Committed(commitment) => {
                commitment.eviction = Some(EvictionCause::Cancelled)
            }
            TaskPhase::Finished | TaskPhase::Cancelled | TaskPhase::GivenUp => {}
        }
    }

    /// Moves a task to a final phase.
    pub(super) fn end_task(&mut self, task: TaskId, phase: TaskPhase) {
        let record = &mut self.tasks[&task];
        record.phase = phase;
        let job_id = record.job;
        let job = &mut self.jobs[&job_id];
        job.active_tasks -= 1;
        if job.origin.is_service() {
            // A service has no end, so its ended tasks would accumulate with each replacement.
            job.tasks.retain(|other| *other != task);
            self.tasks.swap_remove(&task);
        }
        if self.jobs[&job_id].active_tasks == 0 {
            self.ended_jobs.insert(job_id);
            self.remove_oldest_ended_jobs();
        }
    }

    fn remove_oldest_ended_jobs(&mut self) {
        while self.ended_jobs.len() > ENDED_JOBS_MAX {
            let Some(oldest) = self.ended_jobs.shift_remove_index(0) else {
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
