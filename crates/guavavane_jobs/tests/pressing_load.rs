//! Replays filling tasks beside serving ones, where a few pairs of images press strongly.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support::add_worker;
use crate::support::ledger_with_queue;
use guavavane_jobs::plan::pace::PaceControl;
use guavavane_jobs::plan::pace::PaceRole;
use guavavane_jobs::plan::pace::PacedTask;
use guavavane_jobs::plan::press::strain;
use guavavane_jobs::plan::press::strain_limit;
use guavavane_jobs::plan::press::FillingLoad;
use guavavane_jobs::plan::press::PressTable;
use guavavane_jobs::plan::press::StrainChange;
use guavavane_jobs::plan::room::WorkerOutlook;
use guavavane_jobs::plan::room::WorkerRoom;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::StepKey;
use guavavane_model::prelude::BootTime;

/// Unloaded tail latency of the serving images.
const UNLOADED_MS: f64 = 10.0;
/// Latency target of the serving images.
const TARGET_MS: u64 = 50;
/// Time between two reports of a worker.
const REPORT_MS: u64 = 300;
/// How long a serving task may be over its target before filling tasks are slowed down.
const PATIENCE: Duration = Duration::from_millis(2_000);

fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

fn task(step: u16, index: u32, image: &str, role: PaceRole) -> PacedTask {
    let step = StepKey {
        job: JobKey(1),
        occurrence: 0,
        step,
    };
    PacedTask {
        task: step.task(index),
        run: RunNumber(1),
        image: name(image),
        role,
    }
}

/// Tail latency of a queue at this strain.
fn tail_ms(strain: f64) -> u64 {
    (UNLOADED_MS / (1.0 - strain.min(0.99))) as u64
}

/// What a worker reports: two serving tasks, and filling tasks of these images.
fn report(own: f64, filling: &[&str], added: f64) -> Vec<PacedTask> {
    let role = PaceRole::Serving {
        tail_ms: tail_ms(own + added),
        target_ms: TARGET_MS,
    };
    let mut tasks = vec![task(0, 0, "web", role), task(0, 1, "web", role)];
    for (index, image) in filling.iter().enumerate() {
        tasks.push(task(1, index as u32, image, PaceRole::Filling));
    }
    tasks
}

#[test]
fn a_pressing_image_is_told_from_a_light_one() {
    let mut table = PressTable::default();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let (web, heavy, light) = (name("web"), name("heavy"), name("light"));
    for _ in 0..40 {
        // Both come and go together or alone, beside a load of its own that moves.
        let heavies = f64::from(random.random_range(-2..3));
        let lights = f64::from(random.random_range(-2..3));
        let drift = random.random_range(-0.05..0.05);
        let mut changes = FillingLoad::new();
        changes.insert(Arc::clone(&heavy), heavies);
        changes.insert(Arc::clone(&light), lights);
        table.learn(&StrainChange {
            serving: Arc::clone(&web),
            before: 0.45,
            after: 0.45 + 0.2 * heavies + drift,
            changes,
        });
    }
    assert!((0.15..0.25).contains(&table.weight(&web, &heavy)));
    assert!(table.weight(&web, &light) < 0.05);
}

#[test]
fn harm_that_lasts_ends_and_filling_tasks_go_on_afterwards() {
    let mut control = PaceControl::new(PATIENCE);
    let filling = ["heavy", "heavy"];
    let mut pace = 100;
    let mut over_ms = 0;
    let mut longest_ms = 0;
    let mut worked = 0;
    for round in 0..100 {
        let now = BootTime::from_millis(10_000 + round * REPORT_MS);
        let added = 0.25 * 2.0 * f64::from(pace) / 100.0;
        let tasks = report(0.45, &filling, added);
        let (orders, _) = control.observe(now, &tasks);
        for order in orders {
            pace = order.percent;
            control.note_ordered(order);
        }
        let over = strain(tail_ms(0.45 + added), TARGET_MS) >= strain_limit();
        over_ms = if over { over_ms + REPORT_MS } else { 0 };
        longest_ms = longest_ms.max(over_ms);
        worked += pace;
    }
    assert!(longest_ms <= 3_000, "over the target for {longest_ms} ms");
    assert!(worked > 100 * 40, "filling tasks worked {worked} %-rounds");
}

#[test]
fn harm_that_no_known_pair_explains_stops_all_filling_tasks() {
    let mut control = PaceControl::new(PATIENCE);
    let filling = ["one", "other"];
    let mut paces = [100_u32; 2];
    for round in 0..20 {
        let now = BootTime::from_millis(10_000 + round * REPORT_MS);
        // The tail stays over its target whatever the pace is.
        let tasks = report(0.9, &filling, 0.05);
        let (orders, _) = control.observe(now, &tasks);
        for order in orders {
            paces[order.task.index as usize] = order.percent;
            control.note_ordered(order);
        }
    }
    assert_eq!(paces, [0, 0]);
}

#[test]
fn a_worker_with_serving_tasks_that_a_filling_image_presses_on_is_expected_to_be_harmed() {
    let mut ledger = ledger_with_queue();
    let index = add_worker(&mut ledger, 1);
    let mut room = WorkerRoom::new(ledger.worker(index).unwrap(), WorkerOutlook::default());
    room.serving_images.insert(name("web"), 4);
    room.outlook.strains.insert(name("web"), 0.6);
    let mut table = PressTable::default();
    for _ in 0..20 {
        for (image, added) in [("heavy", 0.25), ("light", 0.0)] {
            let mut changes = FillingLoad::new();
            changes.insert(name(image), 1.0);
            table.learn(&StrainChange {
                serving: name("web"),
                before: 0.4,
                after: 0.4 + added,
                changes,
            });
        }
    }
    assert!(room.harm(&table, &name("heavy")) > 1.0);
    assert!(room.harm(&table, &name("light")) < 0.1);
}
