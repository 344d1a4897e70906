//! Failures of gangs, in whatever order the ends of their members arrive.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;

use crate::support::add_worker;
use crate::support::apply;
use crate::support::job_with_steps;
use crate::support::ledger_with_queue;
use crate::support::raw_step;
use crate::support::submit;
use crate::support::ATTEMPTS_MAX;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobPhase;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::StartChoice;
use guavavane_jobs::prelude::StepKey;

/// A gang of two tasks on two workers.
struct GangCell {
    ledger: JobLedger,
    workers: [WorkerIndex; 2],
    job: JobKey,
    run: RunNumber,
    completions: u64,
}

impl GangCell {
    fn new() -> Self {
        let mut ledger = ledger_with_queue();
        let workers = [add_worker(&mut ledger, 0), add_worker(&mut ledger, 1)];
        let mut step = raw_step(2);
        step.gang = true;
        let job = submit(&mut ledger, 1, job_with_steps(vec![step]));
        Self {
            ledger,
            workers,
            job,
            run: RunNumber(0),
            completions: 0,
        }
    }

    fn step(&self) -> StepKey {
        StepKey {
            job: self.job,
            occurrence: 0,
            step: 0,
        }
    }

    /// Starts the next run of all members.
    fn start(&mut self) {
        self.run = self.run.next();
        let choices = (0..2).map(|index| StartChoice {
            task: self.step().task(index),
            run: self.run,
            worker: self.workers[index as usize],
            checkpoint: Arc::from(""),
        });
        let choices = choices.collect();
        apply(&mut self.ledger, LedgerCommand::Start { choices });
        assert!(self.ledger.job(self.job).unwrap().has_runs());
    }

    /// Ends the present run of a member.
    fn end(&mut self, index: u32, outcome: RunOutcome) {
        self.completions += 1;
        let completion = RunCompletion {
            number: self.completions,
            task: self.step().task(index),
            run: self.run,
            outcome,
            checkpoint: Arc::from(""),
        };
        let command = LedgerCommand::NoteEnds {
            worker: self.workers[index as usize],
            completions: vec![completion],
        };
        apply(&mut self.ledger, command);
    }

    fn phase(&self) -> JobPhase {
        self.ledger.job(self.job).unwrap().phase
    }
}

// Guards against a gang that is started again after its last attempt, because the end of another member
// arrived before the failure.
#[test]
fn a_failure_counts_after_the_end_of_another_member() {
    for first_outcome in [RunOutcome::Broken, RunOutcome::Lapsed] {
        let mut cell = GangCell::new();
        for _ in 0..ATTEMPTS_MAX {
            assert_eq!(cell.phase(), JobPhase::Active);
            cell.start();
            cell.end(1, first_outcome);
            cell.end(0, RunOutcome::Failed);
        }
        assert_eq!(cell.phase(), JobPhase::Failed);
    }
}

// Guards against a gang that has failed although it had attempts left: a run counts once.
#[test]
fn failures_of_two_members_count_once_for_their_run() {
    let mut cell = GangCell::new();
    for _ in 1..ATTEMPTS_MAX {
        cell.start();
        cell.end(0, RunOutcome::Failed);
        cell.end(1, RunOutcome::Failed);
        assert_eq!(cell.phase(), JobPhase::Active);
    }
    cell.start();
    cell.end(0, RunOutcome::Broken);
    cell.end(1, RunOutcome::Lapsed);
    assert_eq!(cell.phase(), JobPhase::Active);
    cell.start();
    cell.end(1, RunOutcome::Failed);
    assert_eq!(cell.phase(), JobPhase::Failed);
}
