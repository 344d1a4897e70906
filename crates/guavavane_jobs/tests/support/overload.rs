//! Replays a burst of submissions with admission control, and bounds what could be served in time.

use std::sync::Arc;

use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::add_worker_with;
use super::apply;
use super::job_with_steps;
use super::put_catalog;
use super::raw_catalog;
use super::raw_queue;
use super::raw_step;
use super::replay::Replay;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::admission::admitted_work;
use guavavane_jobs::plan::admission::decide_admission;
use guavavane_jobs::plan::admission::AdmissionDecision;
use guavavane_jobs::plan::admission::AdmissionLoad;
use guavavane_jobs::plan::admission::Submission;
use guavavane_jobs::plan::admission_backlog::waiting_work;
use guavavane_jobs::plan::admission_backlog::BacklogSummary;
use guavavane_jobs::plan::admission_backlog::QueueOutcomes;
use guavavane_jobs::plan::admission_ids::RecentIds;
use guavavane_jobs::plan::order::waiting_steps;
use guavavane_jobs::plan::order::yield_steps;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobPhase;
use guavavane_jobs::prelude::JobSpec;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_model::prelude::ResourceVector;

/// Time between two scheduling passes.
const STEP_MS: u64 = 20;
/// Time of day at which each replay starts.
const START_MS: u64 = 1_000_000;
/// Time until which jobs are submitted, in milliseconds since the start.
const SUBMISSION_END_MS: u64 = 16_000;
/// Duration of a replay.
const REPLAY_MS: u64 = 40_000;
/// Cores of a worker.
const WORKER_CORES: u64 = 8;
/// Number of workers.
const WORKERS: u32 = 6;
/// Time after which a caller that leaves cancels its job.
const LEAVING_MS: u64 = 1_000;
/// Time for which the runs of a worker that is cut off hold their tasks.
const LEASE_MS: u64 = 2_500;

/// Load of a replay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BurstLoad {
    /// Work submitted during the burst, as a multiple of the capacity.
    pub(crate) factor: f64,
    /// Begin and end of the burst.
    pub(crate) burst_ms: (u64, u64),
    /// Shortest and longest run time of a task.
    pub(crate) run_time_ms: (f64, f64),
    /// Fewest and most tasks of a job.
    pub(crate) tasks: (u64, u64),
    /// Number of workers that are cut off, and when that begins and ends.
    pub(crate) cut_off: (u32, u64, u64),
    /// Largest deviation of an estimate, as a part of the run time.
    pub(crate) estimate_error: f64,
    /// Part of the jobs that fit no worker.
    pub(crate) oversized: f64,
    /// Part of the callers that leave: they cancel 1 s after submission and retry no refusal.
    pub(crate) leaving: f64,
    /// Part of the jobs that go to a queue whose tasks all fail.
    pub(crate) failing: f64,
}

/// What of the handling of overload is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OverloadPart {
    /// Admission control and the order of service.
    Whole,
    /// The order of service; all jobs are admitted.
    OrderOnly,
    /// Neither: all jobs are admitted, infeasible ones go last, the others by deadline.
    None,
}

/// Job of a replay as its caller knows it.
struct ReplayJob {
    key: JobKey,
    queue: &'static str,
    spec: JobSpec,
    submitted_ms: u64,
    run_time_ms: f64,
    tasks: u64,
    leaves: bool,
    counts: bool,
}

impl ReplayJob {
    fn work(&self) -> f64 {
        self.run_time_ms * self.tasks as f64
    }

    /// The objective of the test queues: 2.0 times the critical path and 250 ms.
    /// The result is of no use to a caller that has left.
    fn deadline_ms(&self, objectives: f64) -> u64 {
        let until_ms = (objectives * (2.0 * self.run_time_ms + 250.0)) as u64;
        let until_ms = if self.leaves {
            until_ms.min(LEAVING_MS)
        } else {
            until_ms
        };
        self.submitted_ms + until_ms
    }
}

/// Work served in one replay, as a part of what could be served in time with perfect knowledge.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServedParts {
    /// Within the objective.
    pub(crate) in_time: f64,
    /// Within three times the objective.
    pub(crate) useful: f64,
    /// Work of callers that were accepted and got no useful result.
    pub(crate) in_vain: f64,
    /// Most jobs that were accepted and had not ended.
    pub(crate) open_jobs_max: usize,
    /// Number of refusals.
    pub(crate) refusals: usize,
    /// Refusals of jobs that could never run.
    pub(crate) oversized_refusals: usize,
}

fn is_cut_off(load: &BurstLoad, worker: u32, elapsed_ms: u64) -> bool {
    let (workers, begin_ms, end_ms) = load.cut_off;
    worker < workers && (begin_ms..end_ms).contains(&elapsed_ms)
}

fn draw_jobs(load: &BurstLoad, seed: u64) -> Vec<ReplayJob> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    let capacity = f64::from(WORKERS) * WORKER_CORES as f64;
    let mean_work = (load.run_time_ms.0 + load.run_time_ms.1) / 2.0
        * (load.tasks.0 + load.tasks.1) as f64
        / 2.0;
    for elapsed_ms in (0..SUBMISSION_END_MS).step_by(STEP_MS as usize) {
        let in_burst = (load.burst_ms.0..load.burst_ms.1).contains(&elapsed_ms);
        let factor = if in_burst { load.factor } else { 0.5 };
        let mut expected = factor * capacity * STEP_MS as f64 / mean_work;
        while expected > 0.0 {
            if random.random_bool(expected.min(1.0)) {
                jobs.push(draw_job(
                    load,
                    &mut random,
                    START_MS + elapsed_ms,
                    jobs.len(),
                ));
            }
            expected -= 1.0;
        }
    }
    jobs
}

fn draw_job(
    load: &BurstLoad,
    random: &mut ChaCha8Rng,
    submitted_ms: u64,
    number: usize,
) -> ReplayJob {
    let run_time_ms = random.random_range(load.run_time_ms.0..load.run_time_ms.1);
    let tasks = random.random_range(load.tasks.0..=load.tasks.1);
    let mut step = raw_step(tasks);
    let error = load.estimate_error;
    step.estimate_ms = (run_time_ms * random.random_range(1.0 - error..=1.0 + error)) as u64;
    let oversized = random.random_bool(load.oversized);
    let failing = random.random_bool(load.failing);
    let leaves = random.random_bool(load.leaving);
    if oversized {
        step.demand = ResourceVector::new(100_000, 1_000, 0);
    }
    ReplayJob {
        key: JobKey(number as u64 + 1),
        queue: if failing { "failing" } else { "tally" },
        spec: job_with_steps(vec![step]),
        submitted_ms,
        run_time_ms,
        tasks,
        leaves,
        counts: !(oversized || failing),
    }
}

/// Upper bound on the work that could be served in time: divisible jobs, served by earliest deadline
/// on one machine with all capacity in service, each with no more cores than it has tasks.
fn servable_work(load: &BurstLoad, jobs: &[ReplayJob]) -> f64 {
    let mut open: Vec<(u64, f64, f64)> = Vec::new();
    let mut waiting = jobs.iter().filter(|job| job.counts).peekable();
    let mut served = 0.0;
    for elapsed_ms in (0..REPLAY_MS).step_by(STEP_MS as usize) {
        let now_ms = START_MS + elapsed_ms;
        while let Some(job) = waiting.next_if(|job| job.submitted_ms <= now_ms) {
            open.push((job.deadline_ms(1.0), job.work(), job.tasks as f64));
        }
        open.retain(|(deadline_ms, work, _)| *deadline_ms > now_ms && *work > 0.0);
        open.sort_by_key(|(deadline_ms, ..)| *deadline_ms);
        let workers = (0..WORKERS).filter(|worker| !is_cut_off(load, *worker, elapsed_ms));
        let mut room = workers.count() as f64 * (WORKER_CORES * STEP_MS) as f64;
        for (_, work, tasks) in &mut open {
            let part = room.min(*work).min(*tasks * STEP_MS as f64);
            *work -= part;
            room -= part;
            served += part;
        }
    }
    served
}

/// Replay of one load, with or without admission control.
struct OverloadReplay<'load> {
    load: &'load BurstLoad,
    replay: Replay,
    workers: Vec<WorkerIndex>,
    backlog: Option<BacklogSummary>,
    outcomes: QueueOutcomes,
    refused: RecentIds,
    refusals: IndexMap<JobKey, usize>,
}

impl<'load> OverloadReplay<'load> {
    fn new(load: &'load BurstLoad) -> Self {
        let mut ledger = JobLedger::default();
        let mut catalog = raw_catalog(1);
        catalog.queues.push(raw_queue("failing"));
        put_catalog(&mut ledger, catalog);
        let size = ResourceVector::new(WORKER_CORES * 1_000, 64_000, 0);
        let workers = (0..WORKERS).map(|number| add_worker_with(&mut ledger, number, size));
        let workers = workers.collect();
        Self {
            load,
            replay: Replay::new(ledger),
            workers,
            backlog: None,
            outcomes: QueueOutcomes::default(),
            refused: RecentIds::default(),
            refusals: IndexMap::new(),
        }
    }

    /// Submits a job; returns the retry delay if it is refused.
    fn submit(&mut self, job: &ReplayJob, admits_all: bool) -> Option<u64> {
        let now_ms = self.replay.view.now_ms;
        let first_ms = self.refused.first_time_ms(job.key).unwrap_or(now_ms);
        let queue = self.replay.ledger.catalog().queue(job.queue).unwrap();
        let submission = Submission {
            key: job.key,
            queue,
            spec: &job.spec,
            first_submitted_ms: first_ms,
            now_ms,
        };
        if let Some(backlog) = self.backlog.as_mut().filter(|_| !admits_all) {
            let load = AdmissionLoad {
                backlog,
                capacity: self.replay.table.service(),
                run_times: &self.replay.view.run_times,
            };
            let decision = decide_admission(&submission, &load);
            if let AdmissionDecision::Reject { retry_after_ms, .. } = decision {
                self.refused.record(job.key, now_ms);
                *self.refusals.entry(job.key).or_insert(0) += 1;
                return Some(retry_after_ms);
            }
            for work in admitted_work(&submission, &self.replay.view.run_times) {
                backlog.add(&work);
            }
        }
        let command = LedgerCommand::Submit {
            job: job.key,
            queue: Arc::from(job.queue),
            spec: Arc::new(job.spec.clone()),
            accepted_ms: first_ms,
        };
        apply(&mut self.replay.ledger, command);
        None
    }

    /// Cuts workers off and reconnects them. Their runs stand still and end with the lease.
    fn update_workers(&mut self, elapsed_ms: u64) {
        let (cut_off, begin_ms, _) = self.load.cut_off;
        for number in 0..WORKERS {
            let worker = self.workers[number as usize];
            let condition = self.replay.view.conditions.get_mut(&worker).unwrap();
            condition.schedulable = !is_cut_off(self.load, number, elapsed_ms);
            if number < cut_off && elapsed_ms == begin_ms + LEASE_MS {
                let lose = LedgerCommand::LoseWorker {
                    worker,
                    ended: false,
                };
                apply(&mut self.replay.ledger, lose);
                self.replay.runs.retain(|run| run.worker != worker);
            }
        }
    }

    /// Advances the runs; those of the failing queue fail halfway.
    fn advance_runs(&mut self) {
        let conditions = &self.replay.view.conditions;
        for run in &mut self.replay.runs {
            if conditions[&run.worker].schedulable {
                run.remaining_ms -= STEP_MS as f64;
            }
        }
        let ledger = &self.replay.ledger;
        let fails = |job: JobKey| ledger.job(job).is_some_and(|job| &*job.queue == "failing");
        let (failed, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.replay.runs)
            .into_iter()
            .partition(|run| run.remaining_ms <= 0.0 && fails(run.task.step.job));
        self.replay.runs = others;
        for run in failed {
            self.replay.end_run(&run, RunOutcome::Failed);
            self.replay.view.failing.insert(run.task.step.job);
        }
        self.replay.complete_finished_runs();
    }

    fn sum_up_backlog(&mut self) {
        let (ledger, view) = (&self.replay.ledger, &self.replay.view);
        let mut backlog = BacklogSummary::new(view.now_ms);
        for step in waiting_steps(ledger, &view.run_times, view.now_ms) {
            let failing = view.failing.contains(&step.key.job);
            let work = waiting_work(ledger, &view.run_times, &self.outcomes, &step);
            work.filter(|_| !failing)
                .iter()
                .for_each(|work| backlog.add(work));
        }
        self.backlog = Some(backlog);
    }
}

/// Replays a load and returns what was served.
pub(crate) fn replay_overload(load: &BurstLoad, seed: u64, part: OverloadPart) -> ServedParts {
    let jobs = draw_jobs(load, seed);
    let servable = servable_work(load, &jobs);
    let by_key: IndexMap<JobKey, &ReplayJob> = jobs.iter().map(|job| (job.key, job)).collect();
    let mut cell = OverloadReplay::new(load);
    let mut due: Vec<(u64, JobKey)> = jobs.iter().map(|job| (job.submitted_ms, job.key)).collect();
    let mut active: Vec<JobKey> = Vec::new();
    let mut open_jobs_max = 0;
    for elapsed_ms in (0..REPLAY_MS).step_by(STEP_MS as usize) {
        let now_ms = START_MS + elapsed_ms;
        cell.replay.view.now_ms = now_ms;
        cell.update_workers(elapsed_ms);
        cell.advance_runs();
        let (due_now, later) = due.into_iter().partition(|(at_ms, _)| *at_ms <= now_ms);
        due = later;
        for (_, key) in due_now as Vec<(u64, JobKey)> {
            let job = by_key[&key];
            match cell.submit(job, part != OverloadPart::Whole) {
                Some(delay_ms) if !job.leaves => {
                    // `Retry-After` is in whole seconds.
                    due.push((now_ms + delay_ms.div_ceil(1_000) * 1_000, key));
                }
                Some(_) => {}
                None => active.push(key),
            }
        }
        active.retain(|key| {
            let job = by_key[key];
            if job.leaves && now_ms >= job.submitted_ms + LEAVING_MS {
                apply(&mut cell.replay.ledger, LedgerCommand::Cancel { job: *key });
            }
            let record = cell.replay.ledger.job(*key).unwrap();
            let (phase, queue) = (record.phase, Arc::clone(&record.queue));
            if phase != JobPhase::Active {
                cell.outcomes.record_end(&queue, phase, now_ms);
            }
            phase == JobPhase::Active
        });
        open_jobs_max = open_jobs_max.max(active.len());
        let outcomes = &cell.outcomes;
        cell.replay.run_pass(
            |ledger, view| {
                let mut steps = waiting_steps(ledger, &view.run_times, view.now_ms);
                if part == OverloadPart::None {
                    steps.sort_by_key(|step| (step.infeasible, step.deadline_ms, step.key));
                } else {
                    let queue = |key| &ledger.job(key).unwrap().queue;
                    yield_steps(&mut steps, |key| outcomes.mostly_fails(queue(key), now_ms));
                }
                steps
            },
            |task| by_key[&task.step.job].run_time_ms,
        );
        cell.sum_up_backlog();
    }
    let served = |objectives: f64| {
        let jobs = jobs.iter().filter(|job| job.counts);
        let served = jobs.filter(|job| {
            let completed = cell.replay.completed.get(&job.key);
            completed.is_some_and(|at_ms| *at_ms <= job.deadline_ms(objectives))
        });
        served.map(ReplayJob::work).sum::<f64>() / servable
    };
    let oversized = cell.refusals.iter().filter(|(key, _)| {
        let demand = by_key[*key].spec.steps[0].demand;
        demand.cpu_millis > WORKER_CORES * 1_000
    });
    let accepted = jobs.iter().filter(|job| job.counts && !job.leaves);
    let in_vain = accepted.filter(|job| {
        let completed = cell.replay.completed.get(&job.key);
        let useful = completed.is_some_and(|at_ms| *at_ms <= job.deadline_ms(3.0));
        cell.replay.ledger.job(job.key).is_some() && !useful
    });
    ServedParts {
        open_jobs_max,
        in_vain: in_vain.map(ReplayJob::work).sum::<f64>() / servable,
        in_time: served(1.0),
        useful: served(3.0),
        refusals: cell.refusals.values().sum(),
        oversized_refusals: oversized.map(|(_, count)| *count).sum(),
    }
}
