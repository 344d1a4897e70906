//! Replays best-effort tasks beside latency-critical tasks, where a few pairs of images interfere
//! strongly.
//!
//! Guards against violated latency targets and against starved best-effort tasks. Baseline
//! utilisation follows a sine, and tail latencies follow the M/M/1 model of `plan::interference`.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support::add_worker;
use crate::support::ledger_with_queue;
use guavavane_jobs::plan::capacity::WorkerCapacity;
use guavavane_jobs::plan::capacity::WorkerCondition;
use guavavane_jobs::plan::interference::utilisation_limit;
use guavavane_jobs::plan::interference::BestEffortLoad;
use guavavane_jobs::plan::interference::Estimate;
use guavavane_jobs::plan::interference::InterferenceModel;
use guavavane_jobs::plan::interference::PairEstimate;
use guavavane_jobs::plan::interference::UtilisationSample;
use guavavane_jobs::plan::share_tracker::ShareAnswer;
use guavavane_jobs::plan::throttle::ObservedTask;
use guavavane_jobs::plan::throttle::TaskRole;
use guavavane_jobs::plan::throttle::ThrottleController;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::StepKey;
use guavavane_model::prelude::BootTime;

/// Tail latency of the latency-critical images without load.
const UNLOADED_TAIL_MS: f64 = 10.0;
/// Latency target of the latency-critical images.
const TARGET_MS: u64 = 50;
/// Time between two reports of a worker.
const REPORT_MS: u64 = 300;
/// How long a latency-critical task may exceed its target before all best-effort tasks stop.
const VIOLATION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Interference coefficient of the strong pair.
const STRONG_COEFFICIENT: f64 = 3.5;
/// Fraction of the processor that one best-effort task uses.
const CPU_FRACTION: f64 = 0.1;
/// Period of the baseline utilisation.
const LOAD_PERIOD_MS: f64 = 14_000.0;

fn image_name(text: &str) -> Arc<str> {
    Arc::from(text)
}

fn task(step: u16, index: u32, image: &str, role: TaskRole) -> ObservedTask {
    let step = StepKey {
        job: JobKey(1),
        occurrence: 0,
        step,
    };
    ObservedTask {
        task: step.task(index),
        run: RunNumber(1),
        image: image_name(image),
        role,
    }
}

/// Tail latency of a queue at this utilisation.
fn tail_ms(utilisation: f64) -> u64 {
    (UNLOADED_TAIL_MS / (1.0 - utilisation.min(0.99))) as u64
}

/// Utilisation of a latency-critical task with this slowdown.
fn total_utilisation(baseline: f64, slowdown: f64) -> f64 {
    baseline + slowdown / (1.0 + slowdown)
}

/// Baseline utilisation of a job's latency-critical tasks, a sine with a phase for each job.
fn baseline_utilisation(now_ms: u64, job: u64) -> f64 {
    let phase = now_ms as f64 / LOAD_PERIOD_MS * std::f64::consts::TAU;
    0.45 + 0.2 * (phase + 2.1 * job as f64).sin()
}

fn estimate(best_effort: &str, mean: f64) -> PairEstimate {
    PairEstimate {
        latency_critical: image_name("web"),
        best_effort: image_name(best_effort),
        coefficient: Estimate {
            mean,
            variance: 0.01,
        },
    }
}

/// Report with two latency-critical tasks at this utilisation, and best-effort tasks given by image
/// and CPU share.
fn worker_report(utilisation: f64, best_effort: &[(&str, u32)]) -> Vec<ObservedTask> {
    let role = TaskRole::LatencyCritical {
        tail_ms: tail_ms(utilisation),
        target_ms: TARGET_MS,
    };
    let mut tasks = vec![task(0, 0, "web", role), task(0, 1, "web", role)];
    for (index, (image, percent)) in best_effort.iter().enumerate() {
        let role = TaskRole::BestEffort {
            cpu_used: CPU_FRACTION * f64::from(*percent) / 100.0,
            cpu_demand: CPU_FRACTION,
            rank: index as u64,
        };
        tasks.push(task(1, index as u32, image, role));
    }
    tasks
}

/// Model after this many reports of six workers, on which tasks of a strong and of a weak image
/// start and end at random.
fn learned_model(reports: u64) -> InterferenceModel {
    let mut model = InterferenceModel::default();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let (strong, weak) = (image_name("strong"), image_name("weak"));
    for report in 0..reports {
        let now_ms = 10_000 + report * 500;
        for worker in 0..6 {
            let strong_fraction = CPU_FRACTION * f64::from(random.random_range(0..4));
            let weak_fraction = CPU_FRACTION * f64::from(random.random_range(0..4));
            let mut load = BestEffortLoad::new();
            load.insert(Arc::clone(&strong), strong_fraction);
            load.insert(Arc::clone(&weak), weak_fraction);
            let job = worker % 3;
            let noise = random.random_range(-0.04..0.04);
            let utilisation = total_utilisation(
                baseline_utilisation(now_ms, job),
                STRONG_COEFFICIENT * strong_fraction,
            ) + noise;
            let sample = UtilisationSample {
                job: JobKey(job),
                image: image_name("web"),
                utilisation,
            };
            model.learn(BootTime::from_millis(now_ms), &[sample], &load);
        }
    }
    model
}

#[test]
fn a_strong_pair_is_distinguished_from_a_weak_one() {
    let (web, strong, weak) = (image_name("web"), image_name("strong"), image_name("weak"));
    for reports in [6, 40, 400] {
        let model = learned_model(reports);
        let coefficient = model.mean_coefficient(&web, &strong);
        assert!(
            (2.0..5.0).contains(&coefficient),
            "coefficient {coefficient} after {reports} reports"
        );
        let coefficient = model.mean_coefficient(&web, &weak);
        assert!(
            coefficient < 1.0,
            "coefficient {coefficient} after {reports} reports"
        );
    }
}

/// Best-effort tasks of one image beside the latency-critical ones.
#[derive(Clone, Copy)]
struct BestEffortTasks {
    image: &'static str,
    coefficient: f64,
    count: usize,
}

const STRONG_TASKS: BestEffortTasks = BestEffortTasks {
    image: "strong",
    coefficient: STRONG_COEFFICIENT,
    count: 2,
};

/// Replays a worker with best-effort tasks beside two latency-critical tasks for 60 s; returns the
/// longest violation of the target and the mean CPU share in percent.
fn replay_worker(
    best_effort: BestEffortTasks,
    mut control: impl FnMut(u64, &[ObservedTask]) -> Option<Vec<u32>>,
) -> (u64, f64) {
    let BestEffortTasks {
        image,
        coefficient,
        count,
    } = best_effort;
    let mut cpu_shares = vec![100_u32; count];
    let (mut violated_ms, mut longest_violation_ms, mut share_sum) = (0, 0, 0);
    let reports = 200;
    for report in 0..reports {
        let now_ms = 10_000 + report * REPORT_MS;
        let fractions = cpu_shares
            .iter()
            .map(|percent| CPU_FRACTION * f64::from(*percent) / 100.0);
        let utilisation = total_utilisation(
            baseline_utilisation(now_ms, 0),
            coefficient * fractions.sum::<f64>(),
        );
        let shares: Vec<(&str, u32)> = cpu_shares.iter().map(|share| (image, *share)).collect();
        let tasks = worker_report(utilisation, &shares);
        let violated = utilisation >= utilisation_limit();
        violated_ms = if violated { violated_ms + REPORT_MS } else { 0 };
        longest_violation_ms = longest_violation_ms.max(violated_ms);
        share_sum += cpu_shares.iter().sum::<u32>();
        if let Some(ordered) = control(now_ms, &tasks) {
            cpu_shares = ordered;
        }
    }
    (
        longest_violation_ms,
        f64::from(share_sum) / (count as u64 * reports) as f64,
    )
}

/// Replays the worker under a controller with these estimates.
fn replay_controller(best_effort: BestEffortTasks, estimates: Vec<PairEstimate>) -> (u64, f64) {
    let mut controller = ThrottleController::new(VIOLATION_TIMEOUT);
    controller.set_estimates(estimates);
    let mut cpu_shares = vec![100_u32; best_effort.count];
    replay_worker(best_effort, |now_ms, tasks| {
        let now = BootTime::from_millis(now_ms);
        for order in controller.update(now, tasks) {
            cpu_shares[order.task.index as usize] = order.percent;
            controller.record_answer(now, order, ShareAnswer::Applied);
        }
        Some(cpu_shares.clone())
    })
}

#[test]
fn lasting_violations_end_and_best_effort_tasks_resume() {
    for estimates in [
        vec![],
        vec![estimate("strong", STRONG_COEFFICIENT)],
        vec![estimate("strong", 0.1)],
    ] {
        let (longest_violation_ms, mean_share) = replay_controller(STRONG_TASKS, estimates);
        assert!(
            longest_violation_ms <= 3_000,
            "target violated for {longest_violation_ms} ms"
        );
        assert!(
            mean_share > 40.0,
            "best-effort tasks had a CPU share of {mean_share} %"
        );
    }
}

#[test]
fn a_known_pair_is_throttled_before_the_target_is_violated() {
    let (longest_violation_ms, mean_share) =
        replay_controller(STRONG_TASKS, vec![estimate("strong", STRONG_COEFFICIENT)]);
    // For comparison, the same replay without throttling, and with on-off control by the target.
    let (unthrottled_ms, _) = replay_worker(STRONG_TASKS, |_, _| None);
    let mut stopped = false;
    let (on_off_ms, on_off_share) = replay_worker(STRONG_TASKS, |_, tasks| {
        let TaskRole::LatencyCritical { tail_ms, target_ms } = tasks[0].role else {
            panic!("the first task is latency-critical");
        };
        stopped = tail_ms > target_ms;
        Some(vec![if stopped { 0 } else { 100 }; 2])
    });
    println!(
        "longest violation: {longest_violation_ms} ms, unthrottled {unthrottled_ms} ms, \
         on-off {on_off_ms} ms"
    );
    println!("CPU share: {mean_share} %, on-off {on_off_share} %");
    assert!(unthrottled_ms > 4_000);
    assert!(longest_violation_ms <= REPORT_MS && longest_violation_ms <= on_off_ms);
    assert!(mean_share > 0.75 * on_off_share);
}

/// Each of these pairs interferes weakly, and all of them together violate the target.
#[test]
fn weak_pairs_that_add_up_are_throttled_before_the_target_is_violated() {
    let coefficient = 0.5;
    let weak_tasks = BestEffortTasks {
        image: "weak",
        coefficient,
        count: 6,
    };
    let (longest_violation_ms, mean_share) =
        replay_controller(weak_tasks, vec![estimate("weak", coefficient)]);
    let (unthrottled_ms, _) = replay_worker(weak_tasks, |_, _| None);
    println!("longest violation: {longest_violation_ms} ms, unthrottled {unthrottled_ms} ms");
    println!("CPU share: {mean_share} %");
    assert!(unthrottled_ms > 3_000);
    assert!(longest_violation_ms <= REPORT_MS);
    assert!(mean_share > 75.0);
}

#[test]
fn the_task_with_the_lowest_rank_gets_the_remaining_budget() {
    let mut controller = ThrottleController::new(VIOLATION_TIMEOUT);
    controller.set_estimates(vec![estimate("strong", STRONG_COEFFICIENT)]);
    let tasks = worker_report(0.6, &[("strong", 0), ("strong", 0), ("strong", 0)]);
    let orders = controller.update(BootTime::from_millis(10_000), &tasks);
    let mut shares = [100; 3];
    for order in &orders {
        shares[order.task.index as usize] = order.percent;
    }
    assert!(shares[0] > 30, "{shares:?}");
    assert_eq!(shares[1..], [0, 0]);
}

#[test]
fn a_task_that_would_get_a_small_share_leaves_the_budget_to_the_next_one() {
    let mut controller = ThrottleController::new(VIOLATION_TIMEOUT);
    let estimates = vec![
        estimate("strong", STRONG_COEFFICIENT),
        estimate("medium", 1.0),
    ];
    controller.set_estimates(estimates);
    let tasks = worker_report(0.66, &[("strong", 0), ("medium", 0)]);
    let mut shares = [100; 2];
    for order in controller.update(BootTime::from_millis(10_000), &tasks) {
        shares[order.task.index as usize] = order.percent;
    }
    assert!(shares[0] == 0 && shares[1] >= 70, "{shares:?}");
}

#[test]
fn a_violation_without_a_known_cause_stops_all_best_effort_tasks() {
    let mut controller = ThrottleController::new(VIOLATION_TIMEOUT);
    controller.set_estimates(vec![estimate("one", 0.0), estimate("other", 0.0)]);
    let mut shares = [100_u32; 2];
    for report in 0..20 {
        let now = BootTime::from_millis(10_000 + report * REPORT_MS);
        // The tail latency stays over its target at any CPU share.
        let tasks = worker_report(0.95, &[("one", shares[0]), ("other", shares[1])]);
        for order in controller.update(now, &tasks) {
            shares[order.task.index as usize] = order.percent;
            controller.record_answer(now, order, ShareAnswer::Applied);
        }
    }
    assert_eq!(shares, [0, 0]);
}

#[test]
fn latency_critical_tasks_leave_a_strong_image_little_cpu_share() {
    let mut ledger = ledger_with_queue();
    let index = add_worker(&mut ledger, 1);
    let mut capacity =
        WorkerCapacity::new(ledger.worker(index).unwrap(), WorkerCondition::default());
    capacity
        .latency_critical_images
        .insert(image_name("web"), 4);
    capacity
        .condition
        .utilisations
        .insert(image_name("web"), 0.6);
    let model = learned_model(40);
    let cpu_millis = 2_000;
    assert!(capacity.available_cpu_share(&model, &image_name("strong"), cpu_millis) < 0.5);
    assert!(capacity.available_cpu_share(&model, &image_name("weak"), cpu_millis) > 0.99);
    let images = model.best_effort_images();
    let harmless = capacity.harmless_fraction(&model, &images);
    assert!((0.4..0.8).contains(&harmless), "{harmless}");
    // One more task of the same image excludes no best-effort image; an image without samples
    // may.
    assert!(capacity.newly_harmful_fraction(&model, &images, &image_name("web")) < 0.01);
    assert!(capacity.newly_harmful_fraction(&model, &images, &image_name("new")) > 0.2);
}
