//! Decides whether a submitted job is admitted or refused for load.
//!
//! The load: bursts of about twice the capacity for some seconds, of large jobs or of small ones,
//! beside workers that are cut off, jobs that can never run, callers that leave and queues whose jobs
//! always fail. Under such load a job that cannot end in time takes capacity from others, and its
//! caller waits for a result that is useless.
//!
//! A wrong refusal costs a caller everything and a wrong admission only some waiting. A job is therefore
//! refused only if it would be useless by an estimate that is optimistic in each part: the work that
//! goes before it is only what certainly delays it ([`super::admission_backlog`]), all capacity in
//! service works on that, the job itself takes the shortest and its objective the longest run time
//! known. The objective counts from the first submission of the ID. Work that was admitted counts as
//! served: the job could be useful only at the cost of another one that was promised to be.

use super::admission_backlog::BacklogSummary;
use super::admission_backlog::WaitingWork;
use super::admission_backlog::WorkClass;
use super::admission_backlog::WorkSum;
use super::admission_capacity::ClassCapacity;
use super::admission_capacity::ServiceCapacity;
use super::order::USEFUL_OBJECTIVES;
use super::slack::RunTimes;
use crate::identity::JobKey;
use crate::job::JobSpec;
use crate::job::StepKind;
use crate::job::StepSpec;
use crate::queue::QueueSpec;

/// Shortest retry delay; the unit of `Retry-After`.
const RETRY_MIN_MS: f64 = 1_000.0;
/// Longest retry delay before it is spread.
const RETRY_MAX_MS: f64 = 60_000.0;
/// Shortest time over which retries are spread, in whole units of `Retry-After`.
const RETRY_SPREAD_MIN_MS: f64 = 3_000.0;
/// Part of the retry delay over which retries are spread.
const RETRY_SPREAD_FRACTION: f64 = 0.5;
/// Odd factor that spreads the IDs of jobs over the whole range (the golden ratio times 2^64).
const KEY_SPREAD_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

/// Submission that is to be judged.
#[derive(Clone, Copy, Debug)]
pub struct Submission<'job> {
    /// ID of the job; spreads the retry delay.
    pub key: JobKey,
    /// Queue of the job.
    pub queue: &'job QueueSpec,
    /// Specification of the job.
    pub spec: &'job JobSpec,
    /// First submission of the ID, in milliseconds since 1970 on the leader's clock.
    pub first_submitted_ms: u64,
    /// Time of day, in milliseconds since 1970 on the leader's clock.
    pub now_ms: u64,
}

/// Load that the decisions depend on.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLoad<'load> {
    /// Waiting work.
    pub backlog: &'load BacklogSummary,
    /// Processors in service.
    pub capacity: &'load ServiceCapacity,
    /// Learned run times.
    pub run_times: &'load RunTimes,
}

/// Inputs of a decision, for its log line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadEstimate {
    /// Least time until the work before the job has been served.
    pub wait_ms: f64,
    /// Time until all work of the same and higher priorities has been served.
    pub drain_ms: f64,
    /// Longest objective of the job.
    pub objective_ms: u64,
    /// Time since the first submission of the ID.
    pub waited_ms: u64,
}

/// Decision about a submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The job is never refused for load.
    Exempt,
    /// The job can meet its objective.
    OnTime(LoadEstimate),
    /// The job is expected to be late but useful, or little work waits.
    Late(LoadEstimate),
    /// The job cannot be served usefully.
    Reject {
        /// Time after which the caller should submit the job again.
        retry_after_ms: u64,
        /// Inputs of the decision.
        estimate: LoadEstimate,
    },
}

/// Whether a job is never refused for load: it has a schedule, a long-running step or no objective, or
/// it has a step that fits no worker in service.
fn is_exempt(submission: &Submission<'_>, capacity: &ServiceCapacity) -> bool {
    let (queue, spec) = (submission.queue, submission.spec);
    let has_objective = queue.objective_factor > 0.0 || queue.latency_target_ms > 0;
    let fits = |step: &StepSpec| {
        let class = WorkClass::new(&queue.pool, step);
        step.kind == StepKind::Finite && capacity.has_room(&class, &step.reserved())
    };
    spec.schedule.is_some() || !has_objective || !spec.steps.iter().all(fits)
}

/// Least time until this work has been served, less what starts at once on free processors.
fn serving_time_ms(work: WorkSum, capacity: ClassCapacity) -> f64 {
    if work.cpu_millis <= 0.0 || capacity.cpu_millis == 0 {
        return 0.0;
    }
    let waiting_fraction = 1.0 - capacity.free_cpu_millis as f64 / work.cpu_millis;
    work.cpu_time * waiting_fraction.max(0.0) / capacity.cpu_millis as f64
}

/// Least waiting time of the source steps of a job; of all work of its priority and above if no time
/// is given until which the result is useful.
fn wait_ms(submission: &Submission<'_>, load: &AdmissionLoad<'_>, until_ms: Option<u64>) -> f64 {
    let queue = submission.queue;
    let steps = submission.spec.steps.iter();
    let waits = steps.filter(|step| step.after.is_empty()).map(|step| {
        let class = WorkClass::new(&queue.pool, step);
        let work = load
            .backlog
            .work_before(&class, queue.priority, &step.demand, until_ms);
        serving_time_ms(work, load.capacity.of_class(&class))
    });
    waits.fold(0.0, f64::max)
}

/// Delay after which the backlog will have drained, spread by the ID of the job.
fn retry_after_ms(key: JobKey, drain_ms: f64) -> u64 {
    let delay_ms = drain_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS);
    let spread_ms = (delay_ms * RETRY_SPREAD_FRACTION).max(RETRY_SPREAD_MIN_MS);
    let position = key.0.wrapping_mul(KEY_SPREAD_FACTOR) as f64 / u64::MAX as f64;
    (delay_ms + spread_ms * position) as u64
}

/// Decides about a submission.
pub fn decide_admission(
    submission: &Submission<'_>,
    load: &AdmissionLoad<'_>,
) -> AdmissionDecision {
    if is_exempt(submission, load.capacity) {
        return AdmissionDecision::Exempt;
    }
    let (queue, spec) = (submission.queue, submission.spec);
    let (now_ms, first_ms) = (submission.now_ms, submission.first_submitted_ms);
    let (shortest_ms, longest_ms) = load.run_times.job_path_range_ms(&queue.name, spec);
    let objective_ms = queue.objective_ms(longest_ms as u64);
    let useful_ms = objective_ms.saturating_mul(USEFUL_OBJECTIVES);
    let waited_ms = now_ms.saturating_sub(first_ms);
    let time_left_ms = useful_ms as f64 - waited_ms as f64 - shortest_ms;
    let drain_ms = wait_ms(submission, load, None);
    // A job whose result is useless already is served after all others of its priority.
    let wait_ms = if time_left_ms < 0.0 {
        drain_ms
    } else {
        let until_ms = useful_until_ms(submission, load.run_times);
        wait_ms(submission, load, Some(until_ms))
    };
    let estimate = LoadEstimate {
        wait_ms,
        drain_ms,
        objective_ms,
        waited_ms,
    };
    if waited_ms as f64 + wait_ms + shortest_ms <= objective_ms as f64 {
        return AdmissionDecision::OnTime(estimate);
    }
    // While little work waits, a job is admitted that is useless by its age only: it delays nobody.
    if wait_ms <= time_left_ms || wait_ms < objective_ms as f64 {
        return AdmissionDecision::Late(estimate);
    }
    AdmissionDecision::Reject {
        retry_after_ms: retry_after_ms(submission.key, drain_ms),
        estimate,
    }
}

/// Time until which the result is useful by the expected run times, which the order of service uses.
fn useful_until_ms(submission: &Submission<'_>, run_times: &RunTimes) -> u64 {
    let path_ms = run_times.job_path_ms(&submission.queue.name, submission.spec);
    let objective_ms = submission.queue.objective_ms(path_ms as u64);
    let useful_ms = objective_ms.saturating_mul(USEFUL_OBJECTIVES);
    submission.first_submitted_ms.saturating_add(useful_ms)
}

/// Work that an admitted job adds to the backlog: its source steps.
pub fn admitted_work<'job>(
    submission: &Submission<'job>,
    run_times: &'job RunTimes,
) -> impl Iterator<Item = WaitingWork> + 'job {
    let useful_until_ms = useful_until_ms(submission, run_times);
    let (queue, spec) = (submission.queue, submission.spec);
    let steps = spec.steps.iter().filter(|step| {
        let may_be_passed = step.gang || step.per_worker_max.is_some() || queue.advice.is_some();
        step.after.is_empty() && step.kind == StepKind::Finite && !may_be_passed
    });
    let steps = steps.filter(|_| spec.schedule.is_none());
    steps.map(move |step| WaitingWork {
        class: WorkClass::new(&queue.pool, step),
        priority: queue.priority,
        demand: step.demand,
        useful_until_ms,
        tasks: f64::from(step.tasks),
        task_ms: run_times.typical_task_ms(&queue.name, step.estimate_ms),
    })
}
