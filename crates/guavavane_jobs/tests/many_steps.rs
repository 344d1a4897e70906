//! Orders the waiting steps of jobs with as many steps as a job may have.
//!
//! Guards against an order whose cost grows faster than the number of waiting steps: some ten jobs of
//! 200 steps each, which any caller may submit, kept the leader from answering anybody.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support::job_with_steps;
use crate::support::ledger_with_queue;
use crate::support::raw_step;
use crate::support::submit_at;
use guavavane_jobs::job::STEPS_MAX;
use guavavane_jobs::plan::order::waiting_steps;
use guavavane_jobs::plan::slack::RunTimes;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobSpec;
use guavavane_jobs::prelude::RawStep;

/// Submission time of all jobs.
const SUBMITTED_MS: u64 = 1_000_000;
/// Number of measurements, of which the shortest counts.
const MEASUREMENTS: usize = 9;
/// Most that a step of a large job may cost, as a multiple of a job of a single step. A cost that grows
/// with the square of the number of steps is a multiple of some hundred.
const COST_FACTOR_MAX: u32 = 20;
/// Number of random jobs.
const RANDOM_JOBS: u64 = 200;

/// Shortest time in which the waiting steps are put in their order.
fn ordering_time(ledger: &JobLedger) -> Duration {
    let run_times = RunTimes::default();
    let measure = || {
        let begin = Instant::now();
        let steps = waiting_steps(ledger, &run_times, SUBMITTED_MS);
        assert_eq!(steps.len(), STEPS_MAX);
        begin.elapsed()
    };
    (0..MEASUREMENTS).map(|_| measure()).min().unwrap()
}

#[test]
fn ordering_a_job_of_many_steps_costs_about_as_much_as_as_many_jobs() {
    let mut large = ledger_with_queue();
    submit_at(
        &mut large,
        1,
        job_with_steps(vec![raw_step(1); STEPS_MAX]),
        SUBMITTED_MS,
    );
    let mut small = ledger_with_queue();
    for key in 1..=STEPS_MAX as u64 {
        submit_at(
            &mut small,
            key,
            job_with_steps(vec![raw_step(1)]),
            SUBMITTED_MS,
        );
    }
    let (large_time, small_time) = (ordering_time(&large), ordering_time(&small));
    println!("a large job {large_time:?}, small jobs {small_time:?}");
    assert!(
        large_time <= small_time * COST_FACTOR_MAX,
        "{large_time:?} {small_time:?}"
    );
}

/// Steps with random estimates, each of which follows some of the earlier ones.
fn random_steps(random: &mut ChaCha8Rng) -> Vec<RawStep> {
    let count = random.random_range(1..12);
    let mut steps = Vec::new();
    for number in 0..count {
        let mut step = raw_step(1);
        step.estimate_ms = random.random_range(1..5_000);
        step.after = (0..number).filter(|_| random.random_bool(0.3)).collect();
        steps.push(step);
    }
    steps
}

/// Longest path from a step on, by following each path.
fn path_ms(run_times: &RunTimes, spec: &JobSpec, first: usize) -> f64 {
    let successors = spec.steps.iter().enumerate();
    let successors = successors.filter(|(_, step)| step.after.contains(&(first as u16)));
    let rest_ms = successors.map(|(number, _)| path_ms(run_times, spec, number));
    let own_ms = run_times.longest_task_ms("tally", spec.steps[first].estimate_ms);
    own_ms + rest_ms.fold(0.0, f64::max)
}

#[test]
fn deadlines_follow_the_longest_paths() {
    let run_times = RunTimes::default();
    for seed in 0..RANDOM_JOBS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let spec = job_with_steps(random_steps(&mut random));
        let mut ledger = ledger_with_queue();
        submit_at(&mut ledger, 1, spec.clone(), SUBMITTED_MS);
        let sources = (0..spec.steps.len()).filter(|number| spec.steps[*number].after.is_empty());
        let paths_ms = sources.map(|number| path_ms(&run_times, &spec, number));
        let longest_ms = paths_ms.fold(0.0, f64::max);
        let queue = ledger.catalog().queue("tally").unwrap();
        let deadline_ms = SUBMITTED_MS + queue.objective_ms(longest_ms as u64);
        for step in waiting_steps(&ledger, &run_times, SUBMITTED_MS) {
            assert!(step.deadline_ms.abs_diff(deadline_ms) <= 2, "seed {seed}");
            let own_ms = path_ms(&run_times, &spec, usize::from(step.key.step));
            let is_late = SUBMITTED_MS as f64 + own_ms > deadline_ms as f64;
            assert_eq!(step.infeasible, is_late, "seed {seed}");
        }
    }
}
