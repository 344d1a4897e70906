//! Memory of the jobs that a ledger holds, and the bound on it.
//!
//! Guards against an account that drifts from the records, so that jobs are refused in an empty cell or
//! accepted in a full one, and against a bound that shuts out small jobs.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support::add_worker_with;
use crate::support::apply;
use crate::support::job_with_steps;
use crate::support::ledger_with_queue;
use crate::support::random_commands::random_command;
use crate::support::random_commands::random_job;
use crate::support::raw_step;
use crate::support::submit_at;
use guavavane_jobs::budget::JobAdmission;
use guavavane_jobs::budget::JobBudget;
use guavavane_jobs::job::JobSchedule;
use guavavane_jobs::job::STEPS_MAX;
use guavavane_jobs::job::TASKS_MAX;
use guavavane_jobs::job::TEXTS_MAX_BYTES;
use guavavane_jobs::prelude::BudgetExceeded;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobSpec;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_model::prelude::ResourceVector;
use guavavane_quorum::prelude::StateMachine;

/// Number of random sequences, and of the commands in each.
const SEQUENCES: u64 = 60;
const COMMANDS: usize = 300;
/// Memory of a control process in bytes.
const MEMORY_BYTES: usize = 256 << 20;

/// Account of a ledger that is built anew from the records.
fn rebuilt_bytes(ledger: &JobLedger) -> usize {
    let mut rebuilt = JobLedger::default();
    rebuilt.restore(&ledger.snapshot()).unwrap();
    rebuilt.job_bytes()
}

fn scheduled(mut spec: JobSpec, occurrences: u32) -> JobSpec {
    spec.schedule = Some(JobSchedule {
        occurrences,
        first_due_ms: 0,
        period_ms: 1,
    });
    spec
}

/// Releases the next occurrence of a random job, or forgets a random ended one.
fn random_upkeep(ledger: &mut JobLedger, random: &mut ChaCha8Rng) {
    let jobs: Vec<(JobKey, u32)> = ledger
        .jobs()
        .map(|(key, job)| (key, job.next_occurrence))
        .collect();
    if jobs.is_empty() {
        return;
    }
    let (job, occurrence) = jobs[random.random_range(0..jobs.len())];
    let command = if random.random_bool(0.5) {
        LedgerCommand::Release { job, occurrence }
    } else {
        LedgerCommand::Forget { jobs: vec![job] }
    };
    apply(ledger, command);
}

#[test]
fn the_account_follows_the_records() {
    for seed in 0..SEQUENCES {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut ledger = ledger_with_queue();
        for number in 0..3 {
            add_worker_with(&mut ledger, number, ResourceVector::new(8_000, 64_000, 0));
        }
        // The random commands number their jobs upwards from here.
        let mut last_key = 1_000;
        for number in 0..COMMANDS as u64 {
            match random.random_range(0..10) {
                0 => {
                    let spec = scheduled(random_job(&mut random), 3);
                    submit_at(&mut ledger, number + 1_000_000, spec, 0);
                }
                1 => random_upkeep(&mut ledger, &mut random),
                _ => {
                    if let Some(command) = random_command(&mut ledger, &mut random, &mut last_key) {
                        apply(&mut ledger, command);
                    }
                }
            }
            assert_eq!(ledger.job_bytes(), rebuilt_bytes(&ledger), "seed {seed}");
        }
    }
}

#[test]
fn a_submission_adds_what_it_announces() {
    let spec = job_with_steps(vec![raw_step(7), raw_step(3)]);
    for spec in [spec.clone(), scheduled(spec, 2)] {
        let mut ledger = ledger_with_queue();
        let job = submit_at(&mut ledger, 1, spec.clone(), 0);
        assert_eq!(ledger.job_bytes(), JobLedger::submission_bytes(&spec));
        let (before, bytes) = (ledger.job_bytes(), ledger.release_bytes(job).unwrap());
        let occurrence = ledger.job(job).unwrap().next_occurrence;
        apply(&mut ledger, LedgerCommand::Release { job, occurrence });
        let is_scheduled = spec.schedule.is_some();
        let expected = before + usize::from(is_scheduled) * bytes;
        assert_eq!(ledger.job_bytes(), expected);
    }
}

#[test]
fn the_largest_legal_job_fits_into_an_empty_cell_of_any_size() {
    let mut steps = vec![raw_step(1); STEPS_MAX];
    steps[0].tasks = TASKS_MAX - (STEPS_MAX as u64 - 1);
    steps[0].image = "x".repeat(TEXTS_MAX_BYTES);
    let bytes = JobLedger::submission_bytes(&job_with_steps(steps));
    for memory_bytes in [Some(1), Some(MEMORY_BYTES), None] {
        assert_eq!(JobBudget::derive(memory_bytes).check(0, bytes), Ok(()));
    }
}

#[test]
fn large_jobs_leave_room_for_small_ones() {
    let budget = JobBudget::derive(Some(MEMORY_BYTES));
    let bytes_max = budget.bytes_max().unwrap();
    let (large, small) = (256 << 10, 4 << 10);
    let mut used = 0;
    while budget.check(used, large).is_ok() {
        used += large;
    }
    let mut small_jobs = 0;
    while budget.check(used, small).is_ok() {
        used += small;
        small_jobs += 1;
    }
    assert!(small_jobs >= 1_000, "{small_jobs}");
    assert!(used <= bytes_max);
    assert_eq!(budget.check(used, large), Err(BudgetExceeded));
    assert_eq!(budget.check(usize::MAX, small), Err(BudgetExceeded));
}

// Guards against a job that is refused as never run while its first proposal may still be committed.
#[test]
fn a_job_that_is_sent_again_is_not_refused_while_it_is_proposed() {
    let budget = JobBudget::derive(Some(MEMORY_BYTES));
    let mut admission = JobAdmission::new(budget);
    let bytes = 256 << 10;
    let mut last = 0;
    while admission.admit(JobKey(last), 0, bytes).is_ok() {
        last += 1;
    }
    assert_eq!(last as usize, (budget.bytes_max().unwrap() * 7 / 8) / bytes);
    assert_eq!(admission.admit(JobKey(0), 0, bytes), Ok(()));
    assert_eq!(admission.admit(JobKey(last), 0, bytes), Err(BudgetExceeded));
    // The first one has failed, and its memory is free for another.
    admission.settle(JobKey(0));
    admission.settle(JobKey(0));
    assert_eq!(admission.admit(JobKey(last), 0, bytes), Ok(()));
    assert_eq!(admission.admit(JobKey(0), 0, bytes), Err(BudgetExceeded));
}
