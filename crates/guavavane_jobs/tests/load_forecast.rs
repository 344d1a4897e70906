//! Replays best-effort tasks beside latency-critical ones whose load swings by half.
//!
//! Guards against targets that are violated while the load rises, because the shares follow it with
//! a delay, and against best-effort tasks that are throttled on while it falls. Reports are averaged
//! over half a second and imprecise, and CPU shares act 100 ms after their order.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

use std::collections::VecDeque;
use std::f64::consts::TAU;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use guavavane_jobs::plan::interference::Estimate;
use guavavane_jobs::plan::interference::PairEstimate;
use guavavane_jobs::plan::load_forecast::LoadForecast;
use guavavane_jobs::plan::share_tracker::ShareAnswer;
use guavavane_jobs::plan::throttle::ObservedTask;
use guavavane_jobs::plan::throttle::TaskRole;
use guavavane_jobs::plan::throttle::ThrottleController;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_model::prelude::BootTime;

/// Step of the replay.
const STEP_MS: u64 = 50;
/// Time over which a worker averages its measurements.
const AVERAGING_MS: u64 = 500;
/// Time from an order until its share acts.
const SHARE_DELAY_MS: u64 = 100;
/// Duration of a replay.
const REPLAY_MS: u64 = 120_000;
/// Latency target, and tail latency without load.
const TARGET_MS: u64 = 100;
const UNLOADED_TAIL_MS: f64 = 20.0;
/// How long a target may be violated before all best-effort tasks are paused.
const VIOLATION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Fraction of the processor that one best-effort task uses.
const CPU_FRACTION: f64 = 0.1;

/// Best-effort images with their interference coefficients, one task of each.
type Images = [(&'static str, f64)];

const STRONG_IMAGES: &Images = &[("strong", 3.0), ("strong", 3.0), ("weak", 0.2)];
const MIXED_IMAGES: &Images = &[
    ("strong", 2.5),
    ("medium", 1.2),
    ("medium", 1.2),
    ("weak", 0.3),
];
/// Images that together violate the target, although each interferes weakly.
const WEAK_IMAGES: &Images = &[("weak", 0.5); 6];
const WEAK_BESIDE_STRONG_IMAGES: &Images = &[
    ("strong", 3.0),
    ("weak", 0.4),
    ("weak", 0.4),
    ("weak", 0.4),
    ("weak", 0.4),
];
const HARMLESS_IMAGES: &Images = &[
    ("strong", 3.0),
    ("harmless", 0.0),
    ("harmless", 0.0),
    ("harmless", 0.0),
];
/// Images of which the first gets the budget by rank, although it uses it worst.
const UNEVEN_IMAGES: &Images = &[
    ("strong", 4.0),
    ("medium", 1.2),
    ("medium", 1.2),
    ("medium", 1.2),
];

/// Load and measurements of a replayed worker.
#[derive(Clone, Copy)]
struct Scenario {
    images: &'static Images,
    /// Deviation of the load from its mean, -1 to 1, by the phase of the wave.
    wave: fn(f64) -> f64,
    /// Largest relative error of a reported tail latency.
    tail_error: f64,
    /// Largest relative error of the known interference coefficients.
    coefficient_error: f64,
    /// Difference by which all known coefficients are too high.
    coefficient_excess: f64,
}

impl Scenario {
    fn new(images: &'static Images) -> Self {
        Self {
            images,
            wave: f64::sin,
            tail_error: 0.1,
            coefficient_error: 0.15,
            coefficient_excess: 0.0,
        }
    }
}

/// Load that jumps between two levels.
fn square_wave(phase: f64) -> f64 {
    phase.sin().signum()
}

/// Load that rises steadily and drops at once.
fn sawtooth_wave(phase: f64) -> f64 {
    phase.rem_euclid(TAU) / TAU * 2.0 - 1.0
}

/// Seconds over the target, and best-effort work in processor seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    violated_s: f64,
    work: f64,
}

fn task(index: u32) -> TaskKey {
    format!("5c0e7a21d94b36f8.0.1.{index}").parse().unwrap()
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}

/// Observations of a worker over the averaging time.
#[derive(Default)]
struct Worker {
    tails: VecDeque<f64>,
    shares: VecDeque<Vec<f64>>,
}

impl Worker {
    fn observe(&mut self, tail_ms: f64, shares: &[u32]) {
        let shares = shares.iter().map(|percent| f64::from(*percent) / 100.0);
        self.tails.push_back(tail_ms);
        self.shares.push_back(shares.collect());
        if self.tails.len() as u64 > AVERAGING_MS / STEP_MS {
            self.tails.pop_front();
            self.shares.pop_front();
        }
    }

    fn report(&self, scenario: Scenario, random: &mut ChaCha8Rng) -> Vec<ObservedTask> {
        let mut tasks = Vec::new();
        for index in 0..2 {
            let error = 1.0 + random.random_range(-scenario.tail_error..scenario.tail_error);
            let tail_ms = (mean(self.tails.iter().copied()) * error) as u64;
            tasks.push(ObservedTask {
                task: task(index),
                run: RunNumber(1),
                image: Arc::from("web"),
                role: TaskRole::LatencyCritical {
                    tail_ms,
                    target_ms: TARGET_MS,
                },
            });
        }
        for (index, (image, _)) in scenario.images.iter().enumerate() {
            let cpu_used = CPU_FRACTION * mean(self.shares.iter().map(|shares| shares[index]));
            tasks.push(ObservedTask {
                task: task(index as u32 + 2),
                run: RunNumber(1),
                image: Arc::from(*image),
                role: TaskRole::BestEffort {
                    cpu_used,
                    cpu_demand: CPU_FRACTION,
                    rank: index as u64,
                },
            });
        }
        tasks
    }
}

/// Replays one worker; the load is a wave of this period, drawn with its phase from the seed.
fn replay(mut controller: ThrottleController, scenario: Scenario, seed: u64) -> Outcome {
    let images = scenario.images;
    let error = scenario.coefficient_error;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let period_ms = random.random_range(11_000.0..15_000.0);
    let phase = random.random_range(0.0..TAU);
    let estimates = images.iter().map(|(image, coefficient)| PairEstimate {
        latency_critical: Arc::from("web"),
        best_effort: Arc::from(*image),
        coefficient: Estimate {
            mean: coefficient * random.random_range(1.0 - error..1.0 + error)
                + scenario.coefficient_excess,
            variance: 0.01,
        },
    });
    controller.set_estimates(estimates.collect());
    let mut shares = vec![100_u32; images.len()];
    let mut in_flight: Vec<(u64, usize, u32)> = Vec::new();
    let mut worker = Worker::default();
    let mut outcome = Outcome::default();
    let mut next_report_ms = AVERAGING_MS;
    for now_ms in (0..REPLAY_MS).step_by(STEP_MS as usize) {
        for (_, index, percent) in in_flight.extract_if(.., |(at_ms, _, _)| *at_ms <= now_ms) {
            shares[index] = percent;
        }
        let wave = (scenario.wave)(now_ms as f64 / period_ms * TAU + phase);
        let baseline = 0.45 * (1.0 + 0.5 * wave);
        let slowdown: f64 = images
            .iter()
            .zip(&shares)
            .map(|((_, coefficient), percent)| {
                coefficient * CPU_FRACTION * f64::from(*percent) / 100.0
            })
            .sum();
        let utilisation = (baseline + slowdown / (1.0 + slowdown)).min(0.97);
        worker.observe(UNLOADED_TAIL_MS / (1.0 - utilisation), &shares);
        let step_s = STEP_MS as f64 / 1_000.0;
        if mean(worker.tails.iter().copied()) > TARGET_MS as f64 {
            outcome.violated_s += step_s;
        }
        let used: f64 = shares
            .iter()
            .map(|percent| f64::from(*percent) / 100.0)
            .sum();
        outcome.work += used * CPU_FRACTION * step_s;
        if now_ms < next_report_ms {
            continue;
        }
        next_report_ms = now_ms + STEP_MS * random.random_range(4..7);
        let now = BootTime::from_millis(10_000 + now_ms);
        for order in controller.update(now, &worker.report(scenario, &mut random)) {
            let index = order.task.index as usize - 2;
            in_flight.push((now_ms + SHARE_DELAY_MS, index, order.percent));
            controller.record_answer(now, order, ShareAnswer::Applied);
        }
    }
    outcome
}

/// Sums of the replays of several seeds.
fn replay_seeds(scenario: Scenario, controller: impl Fn() -> ThrottleController) -> Outcome {
    let outcomes = (0..12).map(|seed| replay(controller(), scenario, seed));
    outcomes.fold(Outcome::default(), |sum, outcome| Outcome {
        violated_s: sum.violated_s + outcome.violated_s,
        work: sum.work + outcome.work,
    })
}

fn compare(scenario: Scenario) -> (Outcome, Outcome) {
    let forecast = replay_seeds(scenario, || ThrottleController::new(VIOLATION_TIMEOUT));
    let fixed = replay_seeds(scenario, || {
        ThrottleController::with_fixed_margin(VIOLATION_TIMEOUT)
    });
    println!("forecast {forecast:?}, fixed margin {fixed:?}");
    (forecast, fixed)
}

/// Scenarios of a wave, also with measurements that are less precise than expected.
fn wave_scenarios() -> Vec<Scenario> {
    let bases = [STRONG_IMAGES, MIXED_IMAGES].map(Scenario::new);
    let variants = bases.map(|base| {
        [
            base,
            Scenario {
                tail_error: 0.25,
                ..base
            },
            Scenario {
                coefficient_error: 0.4,
                ..base
            },
        ]
    });
    variants.into_iter().flatten().collect()
}

#[test]
fn a_forecast_of_a_wave_halves_the_time_over_target_without_less_work() {
    for scenario in wave_scenarios() {
        let (forecast, fixed) = compare(scenario);
        assert!(forecast.violated_s <= 0.5 * fixed.violated_s);
        assert!(forecast.work >= fixed.work);
    }
}

// The forecast assumes a wave; another load must not be served worse than with the fixed margin.
#[test]
fn a_load_that_is_no_wave_is_served_as_well_as_with_a_fixed_margin() {
    let base = Scenario::new(STRONG_IMAGES);
    for wave in [square_wave, sawtooth_wave, |_: f64| 0.0] {
        let (forecast, fixed) = compare(Scenario { wave, ..base });
        let allowed_s = fixed
            .violated_s
            .max(0.01 * 12.0 * REPLAY_MS as f64 / 1_000.0);
        assert!(forecast.violated_s <= allowed_s);
        assert!(forecast.work >= 0.98 * fixed.work);
    }
}

#[test]
fn a_short_or_old_history_gives_no_forecast() {
    let mut forecast = LoadForecast::default();
    let time_of = |report: u64| BootTime::from_millis(10_000 + report * 250);
    for report in 0..4 {
        forecast.record(time_of(report), 0.4);
        assert!(forecast.fit(time_of(report)).is_none());
    }
    for report in 4..8 {
        forecast.record(time_of(report), 0.4);
    }
    let estimate = forecast.fit(time_of(8)).unwrap().at(time_of(9));
    assert!((estimate.mean - 0.4).abs() < 0.01, "{estimate:?}");
    assert!((0.0..0.05).contains(&estimate.standard_error));
    assert!(forecast.fit(time_of(40)).is_none());
}

// Weak pairs were throttled only by the violation timeout: 378 and 127 s over target.
#[test]
fn weak_pairs_are_throttled_before_the_target_is_violated() {
    let violated_max_s = 0.01 * 12.0 * REPLAY_MS as f64 / 1_000.0;
    for (images, work_min) in [(WEAK_IMAGES, 650.0), (WEAK_BESIDE_STRONG_IMAGES, 590.0)] {
        let (forecast, _) = compare(Scenario::new(images));
        assert!(forecast.violated_s <= violated_max_s);
        assert!(forecast.work >= work_min);
    }
}

#[test]
fn a_harmless_pair_that_is_estimated_too_high_keeps_its_share() {
    let base = Scenario::new(HARMLESS_IMAGES);
    let (exact, _) = compare(base);
    let (excessive, _) = compare(Scenario {
        coefficient_excess: 0.4,
        ..base
    });
    assert!(excessive.work >= 0.98 * exact.work);
}

// Allocated by rank alone, most of the budget went to small shares of the first task: 266 processor
// seconds, with 12 s over target.
#[test]
fn a_small_share_of_one_task_does_not_pause_all_others() {
    let (forecast, _) = compare(Scenario::new(UNEVEN_IMAGES));
    assert!(forecast.work >= 285.0);
    assert!(forecast.violated_s <= 14.0);
}
