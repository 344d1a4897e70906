//! Generates random sequences of commands, some of which the ledger has to refuse, and some of which
//! start copies of runs.

use std::sync::Arc;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::add_worker;
use super::job_with_steps;
use super::raw_step;
use super::submit;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobSpec;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::RunCompletion;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::StartChoice;
use guavavane_jobs::prelude::StepKey;
use guavavane_jobs::prelude::TaskKey;

/// Job of a few steps, some of them gangs or long-running.
pub(crate) fn random_job(random: &mut ChaCha8Rng) -> JobSpec {
    let count = random.random_range(1..4);
    let mut steps = Vec::new();
    for number in 0..count {
        let mut step = raw_step(random.random_range(1..4));
        step.gang = random.random_bool(0.2);
        step.long_running = count == 1 && random.random_bool(0.2);
        step.speculative = random.random_bool(0.6);
        if number > 0 && random.random_bool(0.8) {
            step.after = vec![random.random_range(0..number)];
        }
        steps.push(step);
    }
    job_with_steps(steps)
}

/// All runs that hold capacity of a worker.
pub(crate) fn all_runs(ledger: &JobLedger) -> Vec<(WorkerIndex, TaskKey, RunNumber)> {
    let workers = ledger.workers();
    let runs = workers.flat_map(|(index, worker)| {
        let runs = worker.runs.iter();
        runs.map(move |(task, record)| (index, *task, record.run))
    });
    runs.collect()
}

/// Start that the ledger may have to refuse.
pub(crate) fn random_start(ledger: &JobLedger, random: &mut ChaCha8Rng) -> Option<LedgerCommand> {
    let workers: Vec<WorkerIndex> = ledger.workers().map(|(index, _)| index).collect();
    let worker = *workers.get(random.random_range(0..workers.len().max(1)))?;
    let jobs: Vec<JobKey> = ledger.jobs().map(|(key, _)| key).collect();
    let job = *jobs.get(random.random_range(0..jobs.len().max(1)))?;
    let step = StepKey {
        job,
        occurrence: 0,
        step: random.random_range(0..3),
    };
    // The step need not be ready: the ledger has to refuse a start that is not allowed.
    let tasks = ledger.step(step)?.tasks.len() as u32;
    let task = step.task(random.random_range(0..tasks));
    let latest_run = ledger.task(task)?.run;
    let choices = if ledger.step_spec(step)?.gang {
        let run = ledger.step(step)?.tasks.iter().map(|t| t.run).max()?.next();
        let members = (0..tasks).map(|index| start_of(step.task(index), run, worker));
        members.collect()
    } else {
        vec![start_of(task, latest_run.next(), worker)]
    };
    Some(LedgerCommand::Start { choices })
}

/// Start of a copy that the ledger may have to refuse: the step need not allow copies, the task need
/// not be running, and the worker may hold its run.
pub(crate) fn random_copy(ledger: &JobLedger, random: &mut ChaCha8Rng) -> Option<LedgerCommand> {
    let runs = all_runs(ledger);
    let (_, task, _) = *runs.get(random.random_range(0..runs.len().max(1)))?;
    let workers: Vec<WorkerIndex> = ledger.workers().map(|(index, _)| index).collect();
    let worker = *workers.get(random.random_range(0..workers.len().max(1)))?;
    let run = match random.random_range(0..4) {
        0 => ledger.latest_run(task),
        _ => ledger.latest_run(task).next(),
    };
    let choices = vec![start_of(task, run, worker)];
    Some(LedgerCommand::StartCopies { choices })
}

/// Start of a task.
pub(crate) fn start_of(task: TaskKey, run: RunNumber, worker: WorkerIndex) -> StartChoice {
    StartChoice {
        task,
        run,
        worker,
        checkpoint: Arc::from(""),
    }
}

/// Completion of a random run.
pub(crate) fn random_completion(
    ledger: &JobLedger,
    random: &mut ChaCha8Rng,
) -> Option<LedgerCommand> {
    let runs = all_runs(ledger);
    let (worker, task, run) = *runs.get(random.random_range(0..runs.len().max(1)))?;
    let outcome = match random.random_range(0..6) {
        0 => RunOutcome::Failed,
        1 => RunOutcome::Stopped,
        2 => RunOutcome::Lapsed,
        _ => RunOutcome::Done,
    };
    let completion = RunCompletion {
        number: ledger.worker(worker)?.last_completion + 1,
        task,
        run,
        outcome,
        checkpoint: Arc::from("saved"),
    };
    Some(LedgerCommand::NoteEnds {
        worker,
        completions: vec![completion],
    })
}

/// Next command of a random sequence; none if it was a submission or a new worker, which is applied at
/// once, or if nothing suits.
pub(crate) fn random_command(
    ledger: &mut JobLedger,
    random: &mut ChaCha8Rng,
    last_key: &mut u64,
) -> Option<LedgerCommand> {
    match random.random_range(0..26) {
        0 | 1 => {
            *last_key += 1;
            submit(ledger, *last_key, random_job(random));
            None
        }
        2 => {
            *last_key += 1;
            add_worker(ledger, *last_key as u32);
            None
        }
        3 => {
            let job = JobKey(random.random_range(1..=*last_key + 1));
            Some(LedgerCommand::Cancel { job })
        }
        4 => {
            let workers: Vec<WorkerIndex> = ledger.workers().map(|(index, _)| index).collect();
            let worker = *workers.get(random.random_range(0..workers.len().max(1)))?;
            let ended = random.random_bool(0.5);
            Some(LedgerCommand::LoseWorker { worker, ended })
        }
        5 => {
            let runs = all_runs(ledger);
            let (worker, task, run) = *runs.get(random.random_range(0..runs.len().max(1)))?;
            Some(LedgerCommand::Withdraw { worker, task, run })
        }
        6..=12 => random_start(ledger, random),
        13..=19 => random_copy(ledger, random),
        _ => random_completion(ledger, random),
    }
}
