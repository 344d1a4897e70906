//! Replays an overload: half again as many jobs as there is room for, of unlike lengths.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use rand::seq::SliceRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support::add_worker_with;
use crate::support::job_of;
use crate::support::ledger_with_queue;
use crate::support::raw_step;
use crate::support::replay::Replay;
use crate::support::replay::ReplayView;
use crate::support::submit_at;
use guavavane_jobs::plan::order::waiting_steps;
use guavavane_jobs::plan::order::WaitingStep;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::TaskKey;
use guavavane_model::prelude::ResourceVector;

/// Length of the overload.
const LENGTH_MS: u64 = 30_000;
/// Time between two rounds.
const TICK_MS: u64 = 20;
/// Days that are replayed.
const SEEDS: u64 = 5;
/// Time of day at which the replay begins.
const EPOCH_MS: u64 = 1_000_000;

type StepOrder = fn(&JobLedger, &ReplayView) -> Vec<WaitingStep>;

fn by_deadline(ledger: &JobLedger, view: &ReplayView) -> Vec<WaitingStep> {
    waiting_steps(ledger, &view.run_times, view.now_ms)
}

/// First come, first served.
fn by_arrival(ledger: &JobLedger, view: &ReplayView) -> Vec<WaitingStep> {
    let mut steps = by_deadline(ledger, view);
    steps.sort_by_key(|step| (ledger.job(step.key.job).unwrap().accepted_ms, step.key));
    steps
}

fn by_lot(ledger: &JobLedger, view: &ReplayView) -> Vec<WaitingStep> {
    let mut steps = by_deadline(ledger, view);
    steps.shuffle(&mut ChaCha8Rng::seed_from_u64(view.now_ms));
    steps
}

/// Jobs that are completed within their objective.
fn served_in_time(seed: u64, order: StepOrder) -> usize {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut ledger = ledger_with_queue();
    for number in 0..3 {
        add_worker_with(&mut ledger, number, ResourceVector::new(8_000, 64_000, 0));
    }
    let mut replay = Replay::new(ledger);
    let mut objectives = Vec::new();
    let mut next = 0_u64;
    for tick in 0..LENGTH_MS / TICK_MS {
        replay.view.now_ms = EPOCH_MS + tick * TICK_MS;
        if random.random_bool(0.07) {
            next += 1;
            // Jobs of 0.4 to 3.2 s, declared within half of the truth.
            let work_ms = 400.0 * 2_f64.powi(random.random_range(0..4));
            let mut step = raw_step(random.random_range(4..12));
            step.estimate_ms = (work_ms * random.random_range(0.5..1.5)) as u64;
            let now_ms = replay.view.now_ms;
            let job = submit_at(&mut replay.ledger, next, job_of(vec![step]), now_ms);
            objectives.push((
                job,
                replay.view.now_ms + (2.0 * work_ms) as u64 + 250,
                work_ms,
            ));
        }
        let work = |task: TaskKey| {
            let known = objectives.iter().find(|(job, _, _)| *job == task.step.job);
            known.unwrap().2
        };
        for run in &mut replay.runs {
            run.left_ms -= TICK_MS as f64;
        }
        replay.finish();
        replay.place(order, work);
    }
    let in_time = objectives.iter().filter(|(job, objective, _)| {
        replay
            .completed
            .get(job)
            .is_some_and(|done| done <= objective)
    });
    in_time.count()
}

#[test]
fn more_jobs_make_their_objective_than_by_arrival_or_by_lot() {
    let total = |order: StepOrder| (0..SEEDS).map(|seed| served_in_time(seed, order)).sum();
    let by_deadline: usize = total(by_deadline);
    let by_arrival: usize = total(by_arrival);
    let by_lot: usize = total(by_lot);
    println!("in time: {by_deadline} by deadline, {by_arrival} by arrival, {by_lot} by lot");
    assert!(
        by_deadline > by_arrival,
        "{by_deadline} against {by_arrival}"
    );
    assert!(by_deadline > by_lot, "{by_deadline} against {by_lot}");
}
