//! Placement beside latency-critical jobs whose load swings by half.
//!
//! Guards against best-effort tasks that are placed while the load rises and throttled soon, and
//! against free capacity that is not used while it falls. Workers report every 500 to 800 ms, averaged
//! over half a second and imprecisely, and differ in speed.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::f64::consts::TAU;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support::add_worker;
use crate::support::ledger_with_queue;
use guavavane_jobs::plan::capacity::WorkerCapacity;
use guavavane_jobs::plan::capacity::WorkerCondition;
use guavavane_jobs::plan::interference::slowdown_for_utilisation;
use guavavane_jobs::plan::interference::utilisation_limit;
use guavavane_jobs::plan::interference::Estimate;
use guavavane_jobs::plan::interference::InterferenceModel;
use guavavane_jobs::plan::interference::PairEstimate;
use guavavane_jobs::plan::job_loads::JobLoads;
use guavavane_jobs::prelude::JobKey;
use guavavane_model::prelude::BootTime;

/// Slowdown by the best-effort task at its full CPU share.
const SLOWDOWN: f64 = 0.35;
/// Time over which the share that a placed task gets is averaged.
const RUN_MS: u64 = 2_000;
/// Time from a placement until its run works.
const START_MS: u64 = 500;

/// Decisions of a replay by whether a task would have got a CPU share of 0.9.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Tasks placed that got less than half of their demand.
    bad_placements: u32,
    /// Tasks not placed that would have got at least 0.9 of their demand.
    missed_placements: u32,
    good_placements: u32,
}

/// Replays the reports of six workers and judges each for one more best-effort task.
fn replay(seed: u64, uses_forecast: bool) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let period_ms = random.random_range(11_000.0..15_000.0);
    let phase = random.random_range(0.0..TAU);
    let speeds: [f64; 6] = std::array::from_fn(|_| random.random_range(0.9..1.1));
    let load_at = |worker: usize, time_ms: u64| {
        speeds[worker] * 0.45 * (1.0 + 0.5 * (time_ms as f64 / period_ms * TAU + phase).sin())
    };
    let (web, batch): (Arc<str>, Arc<str>) = (Arc::from("web"), Arc::from("batch"));
    let mut ledger = ledger_with_queue();
    let index = add_worker(&mut ledger, 1);
    let record = ledger.worker(index).unwrap();
    let mut capacity = WorkerCapacity::new(record, WorkerCondition::default());
    capacity.latency_critical_images.insert(Arc::clone(&web), 1);
    let cpu_millis = capacity.total.cpu_millis / 10;
    let mut model = InterferenceModel::default();
    model.set_coefficients(vec![PairEstimate {
        latency_critical: Arc::clone(&web),
        best_effort: Arc::clone(&batch),
        coefficient: Estimate {
            mean: SLOWDOWN * 10.0,
            variance: 0.01,
        },
    }]);
    let mut job_loads = JobLoads::default();
    let mut outcome = Outcome::default();
    let mut next_report_ms: [u64; 6] = std::array::from_fn(|worker| 100 * worker as u64);
    for now_ms in (10_000..70_000).step_by(50) {
        let now = BootTime::from_millis(now_ms);
        for (worker, report_ms) in next_report_ms.iter_mut().enumerate() {
            if now_ms < *report_ms {
                continue;
            }
            *report_ms = now_ms + random.random_range(500..800);
            let error = random.random_range(-0.05..0.05);
            let utilisation = load_at(worker, now_ms - 250) + error;
            job_loads.record(now, JobKey(1), &web, utilisation);
            capacity
                .condition
                .utilisations
                .insert(Arc::clone(&web), utilisation);
            capacity.condition.expected_loads.clear();
            let expected = job_loads.expected(now, JobKey(1), &web);
            if let Some(load) = expected.filter(|_| uses_forecast) {
                capacity
                    .condition
                    .expected_loads
                    .insert(Arc::clone(&web), load);
            }
            let is_placed = capacity.available_cpu_share(&model, &batch, cpu_millis) >= 0.9;
            let times = (now_ms + START_MS..now_ms + START_MS + RUN_MS).step_by(100);
            let shares = times.map(|time_ms| {
                let headroom = utilisation_limit() - load_at(worker, time_ms);
                (slowdown_for_utilisation(headroom) / SLOWDOWN).min(1.0)
            });
            let share = shares.sum::<f64>() / (RUN_MS / 100) as f64;
            match is_placed {
                true if share < 0.5 => outcome.bad_placements += 1,
                true if share >= 0.9 => outcome.good_placements += 1,
                false if share >= 0.9 => outcome.missed_placements += 1,
                _ => {}
            }
        }
    }
    outcome
}

#[test]
fn a_forecast_avoids_bad_placements_and_finds_more_good_ones() {
    let sum = |uses_forecast| {
        let outcomes = (0..12).map(|seed| replay(seed, uses_forecast));
        outcomes.fold(Outcome::default(), |sum, outcome| Outcome {
            bad_placements: sum.bad_placements + outcome.bad_placements,
            missed_placements: sum.missed_placements + outcome.missed_placements,
            good_placements: sum.good_placements + outcome.good_placements,
        })
    };
    let (forecast, latest) = (sum(true), sum(false));
    println!("forecast {forecast:?}, latest report {latest:?}");
    assert!(forecast.bad_placements <= latest.bad_placements);
    assert!(forecast.missed_placements * 10 <= latest.missed_placements * 8);
    assert!(forecast.good_placements * 10 >= latest.good_placements * 11);
}
