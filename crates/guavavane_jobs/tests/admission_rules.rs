//! Rules of admission control: what is refused, what never is, and who goes first.
//!
//! Guards against a refusal of a job that could be served usefully, or that must not be refused for
//! load, and against a table of refused IDs that grows without bound.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;

use indexmap::IndexSet;

use crate::support::add_worker_with;
use crate::support::apply;
use crate::support::job_with_steps;
use crate::support::ledger_with_queue;
use crate::support::raw_step;
use crate::support::submit;
use guavavane_jobs::plan::admission::decide_admission;
use guavavane_jobs::plan::admission::AdmissionDecision;
use guavavane_jobs::plan::admission::AdmissionLoad;
use guavavane_jobs::plan::admission::Submission;
use guavavane_jobs::plan::admission_backlog::BacklogSummary;
use guavavane_jobs::plan::admission_backlog::QueueOutcomes;
use guavavane_jobs::plan::admission_backlog::WaitingWork;
use guavavane_jobs::plan::admission_backlog::WorkClass;
use guavavane_jobs::plan::admission_ids::RecentIds;
use guavavane_jobs::plan::capacity::WorkerCondition;
use guavavane_jobs::plan::capacity_table::CapacityTable;
use guavavane_jobs::plan::interference::InterferenceModel;
use guavavane_jobs::plan::slack::RunTimes;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobPhase;
use guavavane_jobs::prelude::JobSpec;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::QueueSpec;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RawStep;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::StartChoice;
use guavavane_jobs::prelude::StepKey;
use guavavane_model::prelude::ResourceVector;

/// Time of day of the submissions.
const NOW_MS: u64 = 1_000_000;

/// Cell with one worker of 8 cores, of which a job occupies some.
fn cell(occupied_cores: u64) -> (JobLedger, CapacityTable) {
    let mut ledger = ledger_with_queue();
    let worker = add_worker_with(&mut ledger, 0, ResourceVector::new(8_000, 64_000, 0));
    if occupied_cores > 0 {
        let job = submit(
            &mut ledger,
            1,
            job_with_steps(vec![raw_step(occupied_cores)]),
        );
        let (occurrence, step) = (0, 0);
        let step = StepKey {
            job,
            occurrence,
            step,
        };
        let choices = (0..occupied_cores as u32).map(|index| StartChoice {
            task: step.task(index),
            run: RunNumber(1),
            worker,
            checkpoint: Arc::from(""),
        });
        let choices = choices.collect();
        apply(&mut ledger, LedgerCommand::Start { choices });
    }
    let table = CapacityTable::new(&ledger, &InterferenceModel::default(), |_| {
        WorkerCondition {
            schedulable: true,
            ..WorkerCondition::default()
        }
    });
    (ledger, table)
}

/// Waiting tasks of one core and one second, useful for a time.
fn work(tasks: f64, useful_ms: u64) -> WaitingWork {
    WaitingWork {
        class: WorkClass {
            pool: Arc::from("pool"),
            label: None,
            best_effort: false,
        },
        priority: 0,
        demand: ResourceVector::new(1_000, 1_000, 0),
        useful_until_ms: NOW_MS + useful_ms,
        tasks,
        task_ms: 1_000.0,
    }
}

/// Decision about a job that was first submitted some time ago.
fn decide(
    cell: &(JobLedger, CapacityTable),
    backlog: &[WaitingWork],
    spec: &JobSpec,
    change: impl Fn(&mut QueueSpec),
    waited_ms: u64,
) -> AdmissionDecision {
    let (ledger, table) = cell;
    let mut summary = BacklogSummary::new(NOW_MS);
    backlog.iter().for_each(|work| summary.add(work));
    let mut queue = ledger.catalog().queue("tally").unwrap().clone();
    change(&mut queue);
    let submission = Submission {
        key: JobKey(7),
        queue: &queue,
        spec,
        first_submitted_ms: NOW_MS - waited_ms,
        now_ms: NOW_MS,
    };
    let load = AdmissionLoad {
        backlog: &summary,
        capacity: table.service(),
        run_times: &RunTimes::default(),
    };
    decide_admission(&submission, &load)
}

fn is_refused(decision: AdmissionDecision) -> bool {
    matches!(decision, AdmissionDecision::Reject { .. })
}

/// The objective of a job of 1 s is 3.05 s, so its result is useful for 9.15 s.
#[test]
fn a_job_is_refused_only_if_the_work_before_it_takes_longer_than_its_useful_time() {
    let (cell, job) = (cell(8), job_with_steps(vec![raw_step(1)]));
    let decide = |work| decide(&cell, &[work], &job, |_| {}, 0);
    assert!(matches!(
        decide(work(8.0, 100)),
        AdmissionDecision::OnTime(_)
    ));
    assert!(matches!(
        decide(work(40.0, 100)),
        AdmissionDecision::Late(_)
    ));
    assert!(is_refused(decide(work(80.0, 100))));
    // Neither later work nor larger tasks go before it, nor work of a lower priority or another label.
    assert!(!is_refused(decide(work(80.0, 60_000))));
    let mut other = work(80.0, 100);
    other.demand.memory_mib = 32_000;
    assert!(!is_refused(decide(other)));
    let mut other = work(80.0, 100);
    other.priority = 1;
    assert!(!is_refused(decide(other)));
    let mut other = work(80.0, 100);
    other.class.label = Some(Arc::from("a"));
    assert!(!is_refused(decide(other)));
    let mut other = work(80.0, 100);
    other.class.best_effort = true;
    assert!(!is_refused(decide(other)));
}

#[test]
fn no_job_is_refused_while_processors_are_free_for_the_work_before_it() {
    let job = job_with_steps(vec![raw_step(1)]);
    let mut long = work(8.0, 100);
    long.task_ms = 100_000.0;
    assert!(is_refused(decide(
        &cell(8),
        &[long.clone()],
        &job,
        |_| {},
        0
    )));
    assert!(!is_refused(decide(&cell(0), &[long], &job, |_| {}, 0)));
}

#[test]
fn some_jobs_are_never_refused_for_load() {
    let cell = cell(8);
    let backlog = [work(800.0, 100)];
    let refused = |spec: &JobSpec, change: fn(&mut QueueSpec)| {
        is_refused(decide(&cell, &backlog, spec, change, 0))
    };
    let plain = job_with_steps(vec![raw_step(1)]);
    assert!(refused(&plain, |_| {}));
    let no_objective = |queue: &mut QueueSpec| {
        queue.objective_factor = 0.0;
        queue.latency_target_ms = 0;
    };
    assert!(!refused(&plain, no_objective));
    let long_running = RawStep {
        long_running: true,
        ..raw_step(1)
    };
    assert!(!refused(
        &job_with_steps(vec![raw_step(1), long_running]),
        |_| {}
    ));
    let oversized = RawStep {
        demand: ResourceVector::new(9_000, 1, 0),
        ..raw_step(1)
    };
    assert!(!refused(&job_with_steps(vec![oversized]), |_| {}));
    let unknown_label = RawStep {
        required_label: "absent".to_owned(),
        ..raw_step(1)
    };
    assert!(!refused(&job_with_steps(vec![unknown_label]), |_| {}));
    let scheduled = RawJob {
        steps: vec![raw_step(1)],
        repeats: 1,
        ..RawJob::default()
    };
    assert!(!refused(&JobSpec::try_from(scheduled).unwrap(), |_| {}));
}

/// The work that is useful for 12 s was admitted after the first submission of the retried job, and
/// before the newer one.
#[test]
fn a_retried_job_goes_before_newer_ones() {
    let (cell, job) = (cell(8), job_with_steps(vec![raw_step(1)]));
    let newer = [work(30.0, 5_000), work(50.0, 7_500)];
    assert!(is_refused(decide(&cell, &newer, &job, |_| {}, 0)));
    assert!(!is_refused(decide(&cell, &newer, &job, |_| {}, 3_000)));
    // Its objective counts from the first submission: later on its result would be useless.
    assert!(is_refused(decide(&cell, &newer, &job, |_| {}, 12_000)));
    // Once little work waits, it is admitted all the same.
    let little = [work(8.0, 5_000)];
    assert!(!is_refused(decide(&cell, &little, &job, |_| {}, 12_000)));
}

#[test]
fn retries_are_spread() {
    let (ledger, table) = cell(8);
    let mut backlog = BacklogSummary::new(NOW_MS);
    backlog.add(&work(80.0, 100));
    let job = job_with_steps(vec![raw_step(1)]);
    let delays = (0..100).map(|key| {
        let submission = Submission {
            key: JobKey(key),
            queue: ledger.catalog().queue("tally").unwrap(),
            spec: &job,
            first_submitted_ms: NOW_MS,
            now_ms: NOW_MS,
        };
        let load = AdmissionLoad {
            backlog: &backlog,
            capacity: table.service(),
            run_times: &RunTimes::default(),
        };
        match decide_admission(&submission, &load) {
            AdmissionDecision::Reject { retry_after_ms, .. } => retry_after_ms,
            other => panic!("{other:?}"),
        }
    });
    let delays: Vec<u64> = delays.collect();
    // The backlog takes 10 s.
    assert!(delays
        .iter()
        .all(|delay_ms| (10_000..=15_000).contains(delay_ms)));
    let seconds: IndexSet<u64> = delays
        .iter()
        .map(|delay_ms| delay_ms.div_ceil(1_000))
        .collect();
    assert!(seconds.len() >= 5, "{seconds:?}");
}

#[test]
fn the_table_of_refused_ids_is_bounded_and_keeps_recent_ones() {
    let mut ids = RecentIds::default();
    for key in 0..100_000 {
        ids.record(JobKey(key), NOW_MS);
    }
    assert_eq!(ids.first_time_ms(JobKey(0)), None);
    assert_eq!(ids.first_time_ms(JobKey(99_000)), Some(NOW_MS));
    assert_eq!(ids.record(JobKey(99_000), NOW_MS + 5), NOW_MS);
    let known = (0..100_000).filter(|key| ids.first_time_ms(JobKey(*key)).is_some());
    assert!(known.count() <= 32_768);
}

#[test]
fn a_failing_queue_yields_for_a_bounded_time() {
    let queue = Arc::from("tally");
    let mut outcomes = QueueOutcomes::default();
    (0..100).for_each(|_| outcomes.record_end(&queue, JobPhase::Cancelled, NOW_MS));
    assert!(!outcomes.mostly_fails(&queue, NOW_MS));
    assert!(outcomes.completed_fraction(&queue) < 0.1);
    (0..100).for_each(|_| outcomes.record_end(&queue, JobPhase::Failed, NOW_MS));
    assert!(outcomes.mostly_fails(&queue, NOW_MS + 1_000));
    assert!(!outcomes.mostly_fails(&queue, NOW_MS + 60_000));
    (0..100).for_each(|_| outcomes.record_end(&queue, JobPhase::Completed, NOW_MS + 60_000));
    assert!(!outcomes.mostly_fails(&queue, NOW_MS + 60_000));
}
