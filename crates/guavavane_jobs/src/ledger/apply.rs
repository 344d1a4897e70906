//! Applies commands to the ledger. Each command is deterministic, so that all replicas agree.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::command::LedgerCommand;
use super::command::LedgerOutcome;
use super::command::RunCompletion;
use super::command::RunOutcome;
use super::command::StartChoice;
use super::copies::EndedRun;
use super::record::JobPhase;
use super::record::JobRecord;
use super::record::OccurrenceRecord;
use super::record::RunRecord;
use super::record::StepRecord;
use super::record::TaskPhase;
use super::record::TaskRecord;
use super::record::WorkerIndex;
use super::record::WorkerRecord;
use super::JobLedger;
use crate::identity::JobKey;
use crate::identity::RunNumber;
use crate::identity::StepKey;
use crate::identity::TaskKey;
use crate::identity::WorkerKey;
use crate::job::JobSpec;
use crate::job::StepKind;
use crate::worker::WorkerFacts;

impl JobLedger {
    pub(super) fn apply_command(&mut self, command: LedgerCommand) -> LedgerOutcome {
        match command {
            LedgerCommand::PutCatalog { catalog, text } => {
                if self.catalog_text.is_empty() || catalog.version > self.catalog.version {
                    self.catalog = catalog;
                    self.catalog_text = text;
                }
                LedgerOutcome::Done
            }
            LedgerCommand::SetExcluded {
                data_centre,
                excluded,
            } => {
                if excluded {
                    self.excluded_data_centres.insert(data_centre);
                } else {
                    self.excluded_data_centres.swap_remove(&data_centre);
                }
                self.index.change_all_workers();
                LedgerOutcome::Done
            }
            LedgerCommand::Submit {
                job,
                queue,
                spec,
                accepted_ms,
            } => self.submit_job(job, queue, spec, accepted_ms),
            LedgerCommand::Cancel { job } => self.cancel_job(job),
            LedgerCommand::Release { job, occurrence } => self.release_occurrence(job, occurrence),
            LedgerCommand::AddWorker { key, node, facts } => self.add_worker(key, node, facts),
            LedgerCommand::LoseWorker { worker, ended } => self.lose_worker(worker, ended),
            LedgerCommand::Start { choices } => {
                let complete: Vec<bool> = choices
                    .iter()
                    .map(|choice| self.is_complete_start(choice, &choices))
                    .collect();
                let started = choices.iter().zip(complete);
                let started =
                    started.map(|(choice, is_complete)| is_complete && self.start_run(choice));
                LedgerOutcome::Started(started.collect())
            }
            LedgerCommand::StartCopies { choices } => {
                let started = choices.iter().map(|choice| self.start_copy(choice));
                LedgerOutcome::Started(started.collect())
            }
            LedgerCommand::NoteEnds {
                worker,
                completions,
            } => self.record_completions(worker, &completions),
            LedgerCommand::Withdraw { worker, task, run } => self.withdraw_run(worker, task, run),
            LedgerCommand::Forget { jobs } => {
                for job in jobs {
                    if self
                        .jobs
                        .get(&job)
                        .is_some_and(|j| j.phase != JobPhase::Active)
                    {
                        self.remove_job(job);
                    }
                }
                LedgerOutcome::Done
            }
        }
    }

    fn submit_job(
        &mut self,
        key: JobKey,
        queue: Arc<str>,
        spec: Arc<JobSpec>,
        accepted_ms: u64,
    ) -> LedgerOutcome {
        if self.jobs.contains_key(&key) {
            return LedgerOutcome::Accepted { new: false };
        }
        let Some(queue_spec) = self.catalog.queue(&queue) else {
            return LedgerOutcome::UnknownQueue;
        };
        let attempts_max = queue_spec.attempts_max;
        let pool = Arc::clone(&queue_spec.pool);
        let scheduled = spec.schedule.is_some();
        let record = JobRecord {
            queue,
            pool,
            spec: Some(spec),
            phase: JobPhase::Active,
            started: false,
            attempts_max,
            accepted_ms,
            occurrences: IndexMap::new(),
            occurrences_done: 0,
            next_occurrence: 0,
        };
        self.index.add_job_bytes(record.memory_bytes());
        self.jobs.insert(key, record);
        if !scheduled {
            self.release_occurrence(key, 0);
        }
        LedgerOutcome::Accepted { new: true }
    }

    fn release_occurrence(&mut self, key: JobKey, occurrence: u32) -> LedgerOutcome {
        let Some(job) = self.jobs.get_mut(&key) else {
            return LedgerOutcome::UnknownJob;
        };
        let Some(spec) = job.spec.clone() else {
            return LedgerOutcome::Done;
        };
        if job.next_occurrence != occurrence || occurrence >= spec.occurrences() {
            return LedgerOutcome::Done;
        }
        job.next_occurrence += 1;
        let steps = spec.steps.iter().map(StepRecord::new).collect();
        let record = OccurrenceRecord { steps };
        self.index.add_job_bytes(record.memory_bytes());
        job.occurrences.insert(occurrence, record);
        self.mark_ready_steps(key, occurrence, &spec);
        LedgerOutcome::Done
    }

    /// Marks those steps as ready whose predecessors are done and which have not begun.
    fn mark_ready_steps(&mut self, job: JobKey, occurrence: u32, spec: &JobSpec) {
        let Some(record) = self.jobs.get(&job) else {
            return;
        };
        let Some(occurrence_record) = record.occurrences.get(&occurrence) else {
            return;
        };
        for (number, step) in spec.steps.iter().enumerate() {
            let is_done = |after: &u16| occurrence_record.steps[usize::from(*after)].is_done();
            let not_begun = occurrence_record.steps[number]
                .tasks
                .iter()
                .all(|task| task.phase == TaskPhase::Waiting && task.run.0 == 0);
            if not_begun && step.after.iter().all(is_done) {
                let key = StepKey {
                    job,
                    occurrence,
                    step: u16::try_from(number).expect("the number of steps is bounded"),
                };
                self.ready_steps.insert(key, step.tasks);
            }
        }
    }

    fn cancel_job(&mut self, key: JobKey) -> LedgerOutcome {
        match self.jobs.get(&key) {
            None => LedgerOutcome::UnknownJob,
            Some(job) if job.phase != JobPhase::Active => LedgerOutcome::Done,
            Some(_) => {
                self.end_job(key, JobPhase::Cancelled);
                LedgerOutcome::Ended(vec![key])
            }
        }
    }

    fn remove_job(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.swap_remove(&key) {
            self.index.remove_job_bytes(job.memory_bytes());
        }
    }

    /// Ends a job; its runs hold their capacity until they end.
    fn end_job(&mut self, key: JobKey, phase: JobPhase) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let bytes = job.memory_bytes();
        job.phase = phase;
        job.spec = None;
        job.occurrences = IndexMap::new();
        self.index.remove_job_bytes(bytes - job.memory_bytes());
        self.ready_steps.retain(|step, _| step.job != key);
        self.remove_copies_of(key);
        self.index.disturb_job(key);
    }

    fn add_worker(&mut self, key: WorkerKey, node: Arc<str>, facts: WorkerFacts) -> LedgerOutcome {
        if let Some(index) = self.worker_index(&key) {
            return LedgerOutcome::Worker(index);
        }
        let index = WorkerIndex(self.next_worker);
        self.next_worker += 1;
        let record = WorkerRecord {
            key,
            node,
            facts,
            last_completion: 0,
            runs: IndexMap::new(),
        };
        self.index.add_worker(index, &record);
        self.workers.insert(index, record);
        LedgerOutcome::Worker(index)
    }

    fn lose_worker(&mut self, index: WorkerIndex, ended: bool) -> LedgerOutcome {
        let Some(worker) = self.workers.get_mut(&index) else {
            return LedgerOutcome::Done;
        };
        let runs = std::mem::take(&mut worker.runs);
        if ended {
            self.index.remove_worker(index, worker);
            self.workers.shift_remove(&index);
        }
        for (task, run) in runs {
            self.index.remove_run(index, task);
            let completion = RunCompletion {
                number: 0,
                task,
                run: run.run,
                outcome: RunOutcome::Lapsed,
                checkpoint: Arc::from(""),
            };
            self.apply_completion(index, &completion);
        }
        LedgerOutcome::Done
    }

    /// Whether a start needs no gang, or starts together with all other members of its gang.
    fn is_complete_start(&self, choice: &StartChoice, choices: &[StartChoice]) -> bool {
        let key = choice.task.step;
        let (Some(spec), Some(step)) = (self.step_spec(key), self.step(key)) else {
            return false;
        };
        if !spec.gang {
            return true;
        }
        let is_waiting =
            |task: &TaskRecord| task.phase == TaskPhase::Waiting && task.run < choice.run;
        let members = choices
            .iter()
            .filter(|other| other.task.step == key && other.run == choice.run)
            .filter(|other| self.workers.contains_key(&other.worker));
        let members: IndexSet<u32> = members.map(|other| other.task.index).collect();
        step.tasks.iter().all(is_waiting) && members.len() == step.tasks.len()
    }

    fn start_run(&mut self, choice: &StartChoice) -> bool {
        let key = choice.task.step;
        let Some(spec) = self.step_spec(key) else {
            return false;
        };
        let run_record = RunRecord::new(choice.run, spec);
        if !self.ready_steps.contains_key(&key) || !self.workers.contains_key(&choice.worker) {
            return false;
        }
        let index = choice.task.index as usize;
        let task = self
            .step_mut(key)
            .and_then(|step| step.tasks.get_mut(index));
        let Some(task) = task else {
            return false;
        };
        if task.phase != TaskPhase::Waiting || choice.run <= task.run {
            return false;
        }
        task.phase = TaskPhase::Assigned(choice.worker);
        task.run = choice.run;
        if !choice.checkpoint.is_empty() {
            task.checkpoint = Arc::clone(&choice.checkpoint);
        }
        self.decrement_ready_count(key);
        if let Some(worker) = self.workers.get_mut(&choice.worker) {
            worker.runs.insert(choice.task, run_record);
            self.index.add_run(choice.worker, choice.task);
        }
        true
    }

    fn decrement_ready_count(&mut self, key: StepKey) {
        let remaining = self.ready_steps.get_mut(&key).map(|remaining| {
            *remaining -= 1;
            *remaining
        });
        if remaining == Some(0) {
            self.ready_steps.swap_remove(&key);
        }
    }

    pub(super) fn step_mut(&mut self, key: StepKey) -> Option<&mut StepRecord> {
        let occurrence = self
            .jobs
            .get_mut(&key.job)?
            .occurrences
            .get_mut(&key.occurrence)?;
        occurrence.steps.get_mut(usize::from(key.step))
    }

    fn record_completions(
        &mut self,
        index: WorkerIndex,
        completions: &[RunCompletion],
    ) -> LedgerOutcome {
        let mut ended_jobs = Vec::new();
        for completion in completions {
            let Some(worker) = self.workers.get_mut(&index) else {
                break;
            };
            // A lower number may arrive later; the run tells whether the completion is new.
            worker.last_completion = worker.last_completion.max(completion.number);
            if let Some(job) = self.jobs.get_mut(&completion.task.step.job) {
                job.started = true;
            }
            if worker
                .runs
                .get(&completion.task)
                .is_some_and(|run| run.run == completion.run)
            {
                worker.runs.swap_remove(&completion.task);
                self.index.remove_run(index, completion.task);
            }
            if self.apply_completion(index, completion) {
                ended_jobs.push(completion.task.step.job);
            }
        }
        LedgerOutcome::Ended(ended_jobs)
    }

    fn withdraw_run(&mut self, index: WorkerIndex, task: TaskKey, run: RunNumber) -> LedgerOutcome {
        let Some(worker) = self.workers.get_mut(&index) else {
            return LedgerOutcome::Done;
        };
        if worker
            .runs
            .get(&task)
            .is_some_and(|record| record.run == run)
        {
            worker.runs.swap_remove(&task);
            self.index.remove_run(index, task);
            let completion = RunCompletion {
                number: 0,
                task,
                run,
                outcome: RunOutcome::Stopped,
                checkpoint: Arc::from(""),
            };
            self.apply_completion(index, &completion);
        }
        LedgerOutcome::Done
    }

    /// Which current run of a task has ended; none if the completion is of another run.
    fn ended_run(&self, worker: WorkerIndex, completion: &RunCompletion) -> Option<EndedRun> {
        let task = self.task(completion.task)?;
        let is_first = task.phase == TaskPhase::Assigned(worker) && task.run == completion.run;
        if is_first {
            return Some(EndedRun::First);
        }
        let is_copy = self.is_active_copy(completion.task, completion.run, worker);
        is_copy.then_some(EndedRun::Copy)
    }

    /// Applies the completion of a run to its task; returns whether the job ended with it.
    fn apply_completion(&mut self, worker: WorkerIndex, completion: &RunCompletion) -> bool {
        let key = completion.task.step;
        let Some(spec) = self.jobs.get(&key.job).and_then(|job| job.spec.clone()) else {
            return false;
        };
        let Some(step_spec) = spec.steps.get(usize::from(key.step)) else {
            return false;
        };
        let index = completion.task.index as usize;
        let ended = self.ended_run(worker, completion);
        let Some(step) = self.step_mut(key) else {
            return false;
        };
        let Some(task) = step.tasks.get_mut(index) else {
            return false;
        };
        let Some(ended) = ended else {
            return false;
        };
        if !completion.checkpoint.is_empty() {
            task.checkpoint = Arc::clone(&completion.checkpoint);
        }
        let is_long_running = step_spec.kind == StepKind::LongRunning;
        if completion.outcome == RunOutcome::Done && !is_long_running {
            if !step_spec.gang {
                task.phase = TaskPhase::Done;
                step.done += 1;
                self.remove_copy(completion.task);
                return self.complete_step(key, &spec);
            }
            if step.tasks.iter().all(|member| member.run == completion.run) {
                complete_gang(step);
                self.index.disturb_job(key.job);
                return self.complete_step(key, &spec);
            }
        }
        // A run of a gang counts as one failure, however many of its members fail and whichever of
        // their ends arrives first.
        let counts_as_failure = completion.outcome == RunOutcome::Failed
            && !is_long_running
            && (!step_spec.gang || step.last_failed_run < completion.run);
        if counts_as_failure {
            if step_spec.gang {
                step.last_failed_run = completion.run;
                step.tasks.iter_mut().for_each(|task| task.failures += 1);
            } else {
                step.tasks[index].failures += 1;
            }
        }
        let failures = step.tasks[index].failures;
        if step_spec.gang {
            step.last_broken_run = step.last_broken_run.max(completion.run);
            self.index.disturb_job(key.job);
        }
        if self.end_unsuccessful_run(completion.task, ended) {
            *self.ready_steps.entry(key).or_insert(0) += 1;
        }
        let attempts_max = self.jobs.get(&key.job).map_or(0, |job| job.attempts_max);
        if !is_long_running && failures >= attempts_max {
            self.end_job(key.job, JobPhase::Failed);
            return true;
        }
        false
    }

    /// Marks the successors of a step as ready if the step is done, and completes the occurrence and
    /// the job with their last step; returns whether the job ended.
    fn complete_step(&mut self, key: StepKey, spec: &JobSpec) -> bool {
        if !self.step(key).is_some_and(StepRecord::is_done) {
            return false;
        }
        self.ready_steps.swap_remove(&key);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return false;
        };
        let occurrence = job.occurrences.get(&key.occurrence);
        if !occurrence.is_some_and(|o| o.steps.iter().all(StepRecord::is_done)) {
            self.mark_ready_steps(key.job, key.occurrence, spec);
            return false;
        }
        if let Some(record) = job.occurrences.swap_remove(&key.occurrence) {
            self.index.remove_job_bytes(record.memory_bytes());
        }
        job.occurrences_done += 1;
        if job.occurrences_done < spec.occurrences() {
            return false;
        }
        self.end_job(key.job, JobPhase::Completed);
        true
    }
}

/// Marks all members of a gang as done: the success of one member holds for its whole run.
fn complete_gang(step: &mut StepRecord) {
    for task in &mut step.tasks {
        task.phase = TaskPhase::Done;
    }
    step.done = u32::try_from(step.tasks.len()).unwrap_or(u32::MAX);
}
