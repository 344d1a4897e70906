//! Checks the invariants of the ledger over random sequences of commands.
//!
//! Guards against a task with two runs of one number, more than one copy or a copy that its step does
//! not allow, a copy beside its run on one VM, a step that starts before its predecessors or is
//! never started, a task that fails beyond its limit, and completions that count twice. The
//! commands include invalid ones, which the ledger has to refuse.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use crate::support::add_worker;
use crate::support::apply;
use crate::support::job_with_steps;
use crate::support::ledger_with_queue;
use crate::support::random_commands::all_runs;
use crate::support::random_commands::random_command;
use crate::support::random_commands::start_of;
use crate::support::raw_step;
use crate::support::submit;
use crate::support::ATTEMPTS_MAX;
use guavavane_jobs::ledger::TaskPhase;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobPhase;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::StepKey;
use guavavane_jobs::prelude::TaskKey;
use guavavane_quorum::prelude::StateMachine;
use guavavane_testing::for_each_seed;

/// Number of random sequences, one for each seed.
const SEQUENCES: u64 = 300;
/// Number of commands in each sequence.
const COMMANDS_PER_SEQUENCE: usize = 120;

/// Checks the invariants of one state.
fn check_invariants(ledger: &JobLedger) {
    for (worker, task, run) in all_runs(ledger) {
        let assigned: Vec<WorkerIndex> = ledger
            .workers()
            .map(|(index, _)| index)
            .filter(|index| ledger.is_desired(task, run, *index))
            .collect();
        assert!(
            assigned.len() <= 1,
            "{task} is assigned to several workers: {assigned:?}"
        );
        if ledger.is_desired(task, run, worker) {
            let phase = ledger.task(task).unwrap().phase;
            let copy = ledger.copy_of(task).and_then(|copy| copy.worker);
            assert!(phase == TaskPhase::Assigned(worker) || copy == Some(worker));
        }
    }
    for (task, run, worker) in ledger.active_copies() {
        check_copy(ledger, task, run, worker);
    }
    for (key, job) in ledger.jobs() {
        for (occurrence, record) in &job.occurrences {
            assert_eq!(
                job.phase,
                JobPhase::Active,
                "ended job {key} has occurrences"
            );
            for (number, step) in record.steps.iter().enumerate() {
                let step_key = StepKey {
                    job: key,
                    occurrence: *occurrence,
                    step: number as u16,
                };
                check_step_invariants(ledger, step_key, step);
            }
        }
    }
}

/// Checks an active copy against the other run of its task.
fn check_copy(ledger: &JobLedger, task: TaskKey, run: RunNumber, worker: WorkerIndex) {
    let spec = ledger.step_spec(task.step).unwrap();
    let is_finite = spec.kind == guavavane_jobs::prelude::StepKind::Finite;
    assert!(
        spec.speculative && !spec.gang && is_finite,
        "{task} must not have a copy"
    );
    let record = ledger.task(task).unwrap();
    assert!(run > record.run, "the copy of {task} has an earlier number");
    let TaskPhase::Assigned(first) = record.phase else {
        panic!("{task} has a copy and no first run");
    };
    assert!(ledger.is_desired(task, record.run, first));
    assert!(ledger.is_desired(task, run, worker));
    let (first, other) = (ledger.worker(first), ledger.worker(worker));
    assert_ne!(first.unwrap().node, other.unwrap().node);
    let held = other.unwrap().runs.get(&task).map(|record| record.run);
    assert_eq!(held, Some(run), "the copy of {task} holds no capacity");
}

fn check_step_invariants(
    ledger: &JobLedger,
    key: StepKey,
    step: &guavavane_jobs::ledger::StepRecord,
) {
    let done = step
        .tasks
        .iter()
        .filter(|task| task.phase == TaskPhase::Done);
    assert_eq!(done.count() as u32, step.done);
    let spec = ledger.step_spec(key).unwrap();
    for (index, task) in step.tasks.iter().enumerate() {
        let task_key = key.task(index as u32);
        if spec.kind == guavavane_jobs::prelude::StepKind::Finite {
            assert!(
                u64::from(task.failures) < ATTEMPTS_MAX,
                "{task_key} exceeds its failure limit"
            );
        }
        if let TaskPhase::Assigned(worker) = task.phase {
            let runs = &ledger.worker(worker).unwrap().runs;
            let run = runs.get(&task_key).map(|record| record.run);
            assert_eq!(
                run,
                Some(task.run),
                "{task_key} holds no capacity of its worker"
            );
        }
    }
    let waiting = step
        .tasks
        .iter()
        .filter(|task| task.phase == TaskPhase::Waiting);
    let waiting = waiting.count() as u32;
    let ready = ledger.ready_steps().find(|(ready, _)| *ready == key);
    if let Some((_, count)) = ready {
        assert_eq!(count, waiting, "{key} has a wrong count of waiting tasks");
    }
    let started = step.tasks.iter().any(|task| task.run.0 > 0);
    if started {
        for after in &spec.after {
            let earlier = StepKey {
                step: *after,
                ..key
            };
            assert!(
                ledger.step(earlier).unwrap().is_done(),
                "{key} began before a predecessor was done"
            );
        }
        if waiting > 0 {
            assert!(ready.is_some(), "{key} has waiting tasks and is not ready");
        }
    }
}

/// Checks that a command neither revives ended jobs nor repeats done tasks.
fn check_transition(before: &JobLedger, after: &JobLedger) {
    for (key, job) in before.jobs() {
        let Some(later) = after.job(key) else {
            panic!("active or ended job {key} is missing");
        };
        if job.phase != JobPhase::Active {
            assert_eq!(later.phase, job.phase, "ended job {key} changes its phase");
        }
        for (occurrence, record) in &job.occurrences {
            let Some(later_record) = later.occurrences.get(occurrence) else {
                continue;
            };
            let steps = record.steps.iter().zip(&later_record.steps);
            for (number, (old_step, new_step)) in (0..).zip(steps) {
                let step = StepKey {
                    job: key,
                    occurrence: *occurrence,
                    step: number,
                };
                let tasks = old_step.tasks.iter().zip(&new_step.tasks);
                for (index, (old, new)) in (0..).zip(tasks) {
                    let task = step.task(index);
                    if new.phase != TaskPhase::Done {
                        let (old_run, new_run) = (before.latest_run(task), after.latest_run(task));
                        assert!(new_run >= old_run, "{task} may use {old_run} again");
                    }
                    assert!(new.run >= old.run);
                    assert!(new.failures >= old.failures);
                    if old.phase == TaskPhase::Done {
                        assert_eq!(new.phase, TaskPhase::Done);
                        assert_eq!(new.run, old.run, "a done task starts again");
                    }
                }
            }
        }
    }
}

#[test]
fn random_commands_keep_the_invariants_of_the_ledger() {
    let copies = AtomicU64::new(0);
    for_each_seed(SEQUENCES, |_, random| {
        let mut ledger = ledger_with_queue();
        let mut last_key = 0;
        add_worker(&mut ledger, 1_000);
        add_worker(&mut ledger, 1_001);
        for _ in 0..COMMANDS_PER_SEQUENCE {
            let before = ledger.clone();
            if let Some(command) = random_command(&mut ledger, random, &mut last_key) {
                apply(&mut ledger, command.clone());
                if let LedgerCommand::NoteEnds { .. } = &command {
                    let applied_once = ledger.clone();
                    apply(&mut ledger, command);
                    assert_eq!(
                        ledger, applied_once,
                        "a repeated completion changes the ledger"
                    );
                }
            }
            check_invariants(&ledger);
            check_transition(&before, &ledger);
            if ledger.active_copies().count() > before.active_copies().count() {
                copies.fetch_add(1, Ordering::Relaxed);
            }
        }
        let mut restored = JobLedger::default();
        restored.restore(&ledger.snapshot()).unwrap();
        assert_eq!(restored, ledger);
    });
    let copies = copies.load(Ordering::Relaxed);
    assert!(copies > SEQUENCES, "too few copies: {copies}");
}

#[test]
fn a_job_is_completed_only_when_all_its_tasks_are_done() {
    let mut ledger = ledger_with_queue();
    let worker = add_worker(&mut ledger, 1);
    let mut second = raw_step(2);
    second.after = vec![0];
    let job = submit(&mut ledger, 1, job_with_steps(vec![raw_step(1), second]));
    let order = [(0, 0), (1, 0), (1, 1)];
    for (number, (step, index)) in (1..).zip(order) {
        assert_eq!(ledger.job(job).unwrap().phase, JobPhase::Active);
        let key = StepKey {
            job,
            occurrence: 0,
            step,
        };
        let task = key.task(index);
        let choices = vec![start_of(task, RunNumber(1), worker)];
        apply(&mut ledger, LedgerCommand::Start { choices });
        let completion = RunCompletion {
            number,
            task,
            run: RunNumber(1),
            outcome: RunOutcome::Done,
            checkpoint: Arc::from(""),
        };
        let completions = vec![completion];
        apply(
            &mut ledger,
            LedgerCommand::NoteEnds {
                worker,
                completions,
            },
        );
    }
    assert_eq!(ledger.job(job).unwrap().phase, JobPhase::Completed);
}

#[test]
fn a_cancelled_job_holds_capacity_until_its_runs_end() {
    let mut ledger = ledger_with_queue();
    let worker = add_worker(&mut ledger, 1);
    let job = submit(&mut ledger, 1, job_with_steps(vec![raw_step(1)]));
    let step = StepKey {
        job,
        occurrence: 0,
        step: 0,
    };
    let task = step.task(0);
    let choices = vec![start_of(task, RunNumber(1), worker)];
    apply(&mut ledger, LedgerCommand::Start { choices });
    apply(&mut ledger, LedgerCommand::Cancel { job });
    assert_eq!(ledger.worker(worker).unwrap().runs.len(), 1);
    assert!(!ledger.is_desired(task, RunNumber(1), worker));
    let run = RunNumber(1);
    apply(&mut ledger, LedgerCommand::Withdraw { worker, task, run });
    assert!(ledger.worker(worker).unwrap().runs.is_empty());
}

#[test]
fn a_catalog_of_an_older_or_equal_version_changes_nothing() {
    let mut ledger = ledger_with_queue();
    let mut newer = support::raw_catalog(7);
    newer.queues.push(support::raw_queue("runs"));
    support::put_catalog(&mut ledger, newer);
    let expected = ledger.clone();
    support::put_catalog(&mut ledger, support::raw_catalog(7));
    support::put_catalog(&mut ledger, support::raw_catalog(3));
    assert_eq!(ledger, expected);
    assert!(ledger.catalog().find("queue.example", "/runs/0").is_some());
}
