//! Copies of runs in the ledger.
//!
//! Guards against a task that both runs complete, that runs again beside one of them, or that fails
//! because its copy failed; and against stored copies that an earlier process reads wrongly.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;

use crate::support::add_worker;
use crate::support::apply;
use crate::support::job_with_steps;
use crate::support::ledger_with_queue;
use crate::support::random_commands::start_of;
use crate::support::raw_step;
use crate::support::submit;
use guavavane_jobs::ledger::TaskPhase;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobPhase;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::LedgerOutcome;
use guavavane_jobs::prelude::RawStep;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::StepKey;
use guavavane_jobs::prelude::TaskKey;
use guavavane_quorum::prelude::StateMachine;

/// Snapshot that a process of commit b041a08 wrote: a job with a running task and a waiting one that
/// allow copies, and two workers.
const EARLIER_SNAPSHOT: &str = concat!(
    "01010d71756575652e6578616d706c65010574616c6c79072f74616c6c792ffa0004706f6f6c0300",
    "0000000000004000010574616c6c790574616c6c79072f74616c6c792ffa0004706f6f6c03000000",
    "0000000040000104706f6f6c0976657273696f6e20310001010574616c6c7904706f6f6c01077061",
    "796c6f61640102fbe803fbe80300fbe8030000000000000000010000000000000003fbe903010001",
    "0201000100000000000000000000010101000001020008776f726b65722d310104766d2d3104706f",
    "6f6c06636178696173fb803efb00fa00020161067261636b2d3000010100000001fbe803fbe80300",
    "fbe803000000000108776f726b65722d320104766d2d3204706f6f6c06636178696173fb803efb00",
    "fa00020161067261636b2d30000002",
);

/// Job whose first task has a run and a copy of it.
struct Copied {
    ledger: JobLedger,
    job: JobKey,
    task: TaskKey,
    first: WorkerIndex,
    second: WorkerIndex,
}

impl Copied {
    fn new(tasks: u64) -> Self {
        let mut copied = Self::running(RawStep {
            speculative: true,
            ..raw_step(tasks)
        });
        assert!(copied.start_copy(2, copied.second));
        assert!(copied.is_desired(1, copied.first) && copied.is_desired(2, copied.second));
        copied
    }

    /// Job without a copy.
    fn running(step: RawStep) -> Self {
        let mut ledger = ledger_with_queue();
        let (first, second) = (add_worker(&mut ledger, 1), add_worker(&mut ledger, 2));
        let job = submit(&mut ledger, 1, job_with_steps(vec![step]));
        let step = StepKey {
            job,
            occurrence: 0,
            step: 0,
        };
        let choices = vec![start_of(step.task(0), RunNumber(1), first)];
        apply(&mut ledger, LedgerCommand::Start { choices });
        Self {
            ledger,
            job,
            task: step.task(0),
            first,
            second,
        }
    }

    fn start_copy(&mut self, run: u32, worker: WorkerIndex) -> bool {
        let choices = vec![start_of(self.task, RunNumber(run), worker)];
        let outcome = apply(&mut self.ledger, LedgerCommand::StartCopies { choices });
        outcome == LedgerOutcome::Started(vec![true])
    }

    fn start(&mut self, run: u32, worker: WorkerIndex) -> bool {
        let choices = vec![start_of(self.task, RunNumber(run), worker)];
        let outcome = apply(&mut self.ledger, LedgerCommand::Start { choices });
        outcome == LedgerOutcome::Started(vec![true])
    }

    fn end(&mut self, worker: WorkerIndex, ends: &[(u32, RunOutcome)]) {
        let completions = ends
            .iter()
            .zip(1..)
            .map(|((run, outcome), number)| RunCompletion {
                number,
                task: self.task,
                run: RunNumber(*run),
                outcome: *outcome,
                checkpoint: Arc::from(format!("saved by {run}")),
            });
        let completions = completions.collect();
        let command = LedgerCommand::NoteEnds {
            worker,
            completions,
        };
        apply(&mut self.ledger, command);
    }

    fn is_desired(&self, run: u32, worker: WorkerIndex) -> bool {
        self.ledger.is_desired(self.task, RunNumber(run), worker)
    }

    fn holds(&self, worker: WorkerIndex) -> bool {
        let runs = &self.ledger.worker(worker).unwrap().runs;
        runs.contains_key(&self.task)
    }

    fn phase(&self) -> TaskPhase {
        self.ledger.task(self.task).unwrap().phase
    }

    fn failures(&self) -> u32 {
        self.ledger.task(self.task).unwrap().failures
    }

    /// Ledger of a replica that restores the snapshot.
    fn restored(&self) -> JobLedger {
        let mut restored = JobLedger::default();
        restored.restore(&self.ledger.snapshot()).unwrap();
        restored
    }
}

// Guards against a loser that counts as desired, or whose capacity is given to others while it runs.
#[test]
fn the_first_run_to_succeed_wins_and_the_other_one_has_to_stop() {
    for (winner, loser) in [(1, 2), (2, 1)] {
        let mut copied = Copied::new(2);
        let workers = [copied.first, copied.second];
        let (winning, losing) = (workers[winner - 1], workers[loser - 1]);
        copied.end(winning, &[(winner as u32, RunOutcome::Done)]);
        assert_eq!(copied.phase(), TaskPhase::Done);
        assert!(!copied.is_desired(loser as u32, losing));
        assert!(copied.holds(losing) && !copied.holds(winning));
        let undesired: Vec<_> = copied.ledger.undesired_runs(copied.job).collect();
        assert_eq!(undesired, [(losing, copied.task, RunNumber(loser as u32))]);
        assert!(copied.ledger.disturbed_jobs().any(|job| job == copied.job));
        copied.end(losing, &[(loser as u32, RunOutcome::Failed)]);
        assert!(!copied.holds(losing));
        assert_eq!((copied.phase(), copied.failures()), (TaskPhase::Done, 0));
    }
}

// Guards against a success that counts for the other run as well, or twice.
#[test]
fn late_and_repeated_completions_change_nothing() {
    let mut copied = Copied::new(2);
    copied.end(copied.second, &[(2, RunOutcome::Done)]);
    let step = copied.task.step;
    copied.end(copied.first, &[(1, RunOutcome::Done)]);
    let expected = copied.ledger.clone();
    copied.end(copied.first, &[(1, RunOutcome::Done)]);
    copied.end(copied.second, &[(2, RunOutcome::Done)]);
    assert_eq!(copied.ledger, expected);
    assert_eq!(copied.ledger.step(step).unwrap().done, 1);
    assert_eq!(
        copied.ledger.job(copied.job).unwrap().phase,
        JobPhase::Active
    );
}

// Guards against a report that names both runs: the worker has only one of them.
#[test]
fn of_both_completions_in_one_report_only_that_of_the_workers_own_run_counts() {
    let mut copied = Copied::new(2);
    let ends = [(1, RunOutcome::Failed), (2, RunOutcome::Stopped)];
    copied.end(copied.second, &ends);
    assert_eq!(copied.failures(), 0);
    assert!(copied.is_desired(1, copied.first) && !copied.is_desired(2, copied.second));
    copied.end(
        copied.first,
        &[(2, RunOutcome::Done), (1, RunOutcome::Done)],
    );
    assert_eq!(copied.phase(), TaskPhase::Done);
    assert_eq!(copied.ledger.step(copied.task.step).unwrap().done, 1);
}

// Guards against a task that waits, and so runs again, while one of its runs goes on.
#[test]
fn a_run_that_ends_without_success_leaves_the_other_as_the_only_one() {
    let outcomes = [RunOutcome::Failed, RunOutcome::Stopped, RunOutcome::Lapsed];
    for outcome in outcomes {
        let mut copied = Copied::new(1);
        copied.end(copied.first, &[(1, outcome)]);
        assert_eq!(copied.phase(), TaskPhase::Assigned(copied.second));
        assert!(copied.is_desired(2, copied.second));
        assert!(copied.ledger.active_copies().next().is_none());
        assert!(copied.ledger.ready_steps().all(|(_, waiting)| waiting == 0));
        copied.end(copied.second, &[(2, RunOutcome::Stopped)]);
        assert_eq!(copied.phase(), TaskPhase::Waiting);

        let mut copied = Copied::new(1);
        copied.end(copied.second, &[(2, outcome)]);
        assert_eq!(copied.phase(), TaskPhase::Assigned(copied.first));
        assert!(copied.is_desired(1, copied.first) && !copied.is_desired(2, copied.second));
        copied.end(copied.first, &[(1, RunOutcome::Done)]);
        assert_eq!(
            copied.ledger.job(copied.job).unwrap().phase,
            JobPhase::Completed
        );
    }
}

// Guards against a run number that two runs have, after a copy has ended before its first run.
#[test]
fn the_number_of_an_ended_copy_is_not_used_again() {
    let mut copied = Copied::new(1);
    copied.end(copied.second, &[(2, RunOutcome::Stopped)]);
    assert!(!copied.start_copy(2, copied.second));
    copied.end(copied.first, &[(1, RunOutcome::Stopped)]);
    assert!(!copied.start(2, copied.second));
    assert!(copied.start(3, copied.second));
}

// Guards against a worker that is lost or restarts and takes the other run with it.
#[test]
fn a_lost_worker_ends_only_its_own_run() {
    for ended in [false, true] {
        let mut copied = Copied::new(1);
        let worker = copied.first;
        apply(
            &mut copied.ledger,
            LedgerCommand::LoseWorker { worker, ended },
        );
        assert_eq!(copied.phase(), TaskPhase::Assigned(copied.second));
        copied.end(worker, &[(1, RunOutcome::Done)]);
        assert_eq!(copied.phase(), TaskPhase::Assigned(copied.second));
        let worker = copied.second;
        apply(
            &mut copied.ledger,
            LedgerCommand::LoseWorker { worker, ended },
        );
        assert_eq!((copied.phase(), copied.failures()), (TaskPhase::Waiting, 0));
    }
}

// Guards against a copy of a cancelled job: the cancellation may be committed between both starts.
#[test]
fn a_cancelled_job_gets_no_copy_and_its_copies_have_to_stop() {
    let mut copied = Copied::new(1);
    let job = copied.job;
    apply(&mut copied.ledger, LedgerCommand::Cancel { job });
    assert_eq!(copied.ledger.undesired_runs(job).count(), 2);
    let speculative = RawStep {
        speculative: true,
        ..raw_step(1)
    };
    let mut copied = Copied::running(speculative);
    let job = copied.job;
    apply(&mut copied.ledger, LedgerCommand::Cancel { job });
    assert!(!copied.start_copy(2, copied.second));
    assert!(!copied.holds(copied.second));
}

// Guards against copies of gangs and long-running steps, of steps that don't allow them, on the VM of
// the first run, and beside another copy.
#[test]
fn copies_that_are_not_allowed_are_refused() {
    let gang = RawStep {
        gang: true,
        speculative: true,
        ..raw_step(1)
    };
    let long_running = RawStep {
        long_running: true,
        speculative: true,
        ..raw_step(1)
    };
    for step in [gang, long_running, raw_step(1)] {
        let mut copied = Copied::running(step);
        assert!(copied.holds(copied.first));
        assert!(!copied.start_copy(2, copied.second));
    }
    let mut copied = Copied::new(1);
    let third = add_worker(&mut copied.ledger, 3);
    assert!(!copied.start_copy(3, third));
    copied.end(copied.second, &[(2, RunOutcome::Stopped)]);
    assert!(!copied.start_copy(3, copied.first));
    assert!(copied.start_copy(3, third));
}

// Guards against a job that fails because a straggler and its copy both fail: there are at most as many
// failed runs as the queue allows, and none is left going when the job fails.
#[test]
fn a_copy_needs_two_attempts() {
    let mut copied = Copied::new(1);
    copied.end(copied.second, &[(2, RunOutcome::Failed)]);
    assert_eq!(copied.failures(), 1);
    assert!(copied.start_copy(3, copied.second));
    copied.end(copied.first, &[(1, RunOutcome::Failed)]);
    assert_eq!(copied.failures(), 2);
    assert!(copied.is_desired(3, copied.second));
    assert!(!copied.start_copy(4, copied.first));
    copied.end(copied.second, &[(3, RunOutcome::Failed)]);
    assert_eq!(
        copied.ledger.job(copied.job).unwrap().phase,
        JobPhase::Failed
    );
}

// Guards against a checkpoint that is lost because the copy saved it.
#[test]
fn a_task_resumes_from_the_checkpoint_of_either_run() {
    let mut copied = Copied::new(1);
    copied.end(copied.second, &[(2, RunOutcome::Stopped)]);
    let checkpoint = &copied.ledger.task(copied.task).unwrap().checkpoint;
    assert_eq!(&**checkpoint, "saved by 2");
}

// Guards against a new leader that forgets a copy, or the number of one that has ended.
#[test]
fn a_snapshot_keeps_copies() {
    let mut copied = Copied::new(1);
    assert_eq!(copied.restored(), copied.ledger);
    let active: Vec<_> = copied.restored().active_copies().collect();
    assert_eq!(active, [(copied.task, RunNumber(2), copied.second)]);
    copied.end(copied.second, &[(2, RunOutcome::Stopped)]);
    assert_eq!(copied.restored(), copied.ledger);
    let job = copied.job;
    apply(&mut copied.ledger, LedgerCommand::Cancel { job });
    assert_eq!(copied.restored(), copied.ledger);
}

// Guards against replicas of commit b041a08 beside this version: they encode the records and nothing
// else, and ignore bytes that follow. A snapshot without copies has their format; one with copies is
// refused by them rather than read without the copies.
#[test]
fn an_earlier_process_reads_a_snapshot_without_copies_and_refuses_one_with_copies() {
    let config = bincode::config::standard();
    let decode_as_earlier =
        |bytes: &[u8]| bincode::serde::decode_from_slice::<JobLedger, _>(bytes, config);
    let mut copied = Copied::new(1);
    assert!(decode_as_earlier(&copied.ledger.snapshot()).is_err());
    copied.end(copied.second, &[(2, RunOutcome::Done)]);
    let snapshot = copied.ledger.snapshot();
    let earlier_snapshot = bincode::serde::encode_to_vec(&copied.ledger, config).unwrap();
    assert_eq!(snapshot, earlier_snapshot);
    let mut restored = JobLedger::default();
    restored.restore(&earlier_snapshot).unwrap();
    assert_eq!(restored, copied.ledger);
    assert!(decode_as_earlier(&snapshot).is_ok());
}

// Guards against a count of 0 that tells an operator that an earlier process could read the snapshot.
#[test]
fn an_ended_copy_counts_as_recorded_until_the_first_run_ends() {
    let mut copied = Copied::new(1);
    copied.end(copied.second, &[(2, RunOutcome::Stopped)]);
    assert_eq!(copied.ledger.active_copies().count(), 0);
    assert_eq!(copied.ledger.recorded_copies(), 1);
    assert_eq!(copied.ledger.snapshot()[0], 0xff);
    copied.end(copied.first, &[(1, RunOutcome::Stopped)]);
    assert_eq!(copied.ledger.recorded_copies(), 0);
    assert_ne!(copied.ledger.snapshot()[0], 0xff);
}

// Guards against stored data of commit b041a08 that this version can't read or writes differently.
#[test]
fn a_snapshot_of_an_earlier_process_is_read_and_written_unchanged() {
    let digits = EARLIER_SNAPSHOT.as_bytes().chunks(2);
    let bytes = digits.map(|pair| std::str::from_utf8(pair).unwrap());
    let bytes: Vec<u8> = bytes
        .map(|pair| u8::from_str_radix(pair, 16).unwrap())
        .collect();
    let mut copied = Copied::running(RawStep {
        speculative: true,
        ..raw_step(2)
    });
    let mut restored = JobLedger::default();
    restored.restore(&bytes).unwrap();
    assert_eq!(restored, copied.ledger);
    assert_eq!(restored.snapshot(), bytes);
    copied.ledger = restored;
    assert!(copied.start_copy(2, copied.second));
}

// Guards against a damaged or later snapshot that is read as one without copies.
#[test]
fn a_snapshot_with_an_unknown_format_of_copies_is_refused() {
    let copied = Copied::new(1);
    let mut snapshot = copied.ledger.snapshot();
    snapshot[1] += 1;
    let mut restored = ledger_with_queue();
    let before = restored.clone();
    assert!(restored.restore(&snapshot).is_err());
    assert_eq!(restored, before);
}
