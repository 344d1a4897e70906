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
use guavavane_jobs::plan::press::strain_limit;
use guavavane_jobs::plan::press::FillingLoad;
use guavavane_jobs::plan::press::KnownPair;
use guavavane_jobs::plan::press::PairWeight;
use guavavane_jobs::plan::press::PressTable;
use guavavane_jobs::plan::press::StrainSample;
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
/// Stretch of a serving task by a pressing image on a whole processor.
const HEAVY: f64 = 3.5;
/// Share of the processor that one filling task uses.
const SHARE: f64 = 0.1;
/// Time in which own loads swing.
const SWING_MS: f64 = 14_000.0;

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

/// Strain of a serving task with this load of its own beside filling tasks that stretch it.
fn strained(own: f64, stretch: f64) -> f64 {
    own + stretch / (1.0 + stretch)
}

/// Own load of a job's serving tasks, which swings.
fn own_load(now_ms: u64, job: u64) -> f64 {
    let turn = now_ms as f64 / SWING_MS * std::f64::consts::TAU;
    0.45 + 0.2 * (turn + 2.1 * job as f64).sin()
}

fn known(filling: &str, mean: f64) -> KnownPair {
    KnownPair {
        serving: name("web"),
        filling: name(filling),
        weight: PairWeight {
            mean,
            variance: 0.01,
        },
    }
}

/// What a worker reports: two serving tasks at this strain, and filling tasks at their paces.
fn report(strain: f64, filling: &[(&str, u32)]) -> Vec<PacedTask> {
    let role = PaceRole::Serving {
        tail_ms: tail_ms(strain),
        target_ms: TARGET_MS,
    };
    let mut tasks = vec![task(0, 0, "web", role), task(0, 1, "web", role)];
    for (index, (image, pace)) in filling.iter().enumerate() {
        let role = PaceRole::Filling {
            used: SHARE * f64::from(*pace) / 100.0,
            wanted: SHARE,
            urgency: index as u64,
        };
        tasks.push(task(1, index as u32, image, role));
    }
    tasks
}

/// A table that has seen two images come and go on six workers for `rounds` reports.
fn learned_table(rounds: u64) -> PressTable {
    let mut table = PressTable::default();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let (heavy, light) = (name("heavy"), name("light"));
    for round in 0..rounds {
        let now_ms = 10_000 + round * 500;
        for worker in 0..6 {
            let heavies = SHARE * f64::from(random.random_range(0..4));
            let lights = SHARE * f64::from(random.random_range(0..4));
            let mut load = FillingLoad::new();
            load.insert(Arc::clone(&heavy), heavies);
            load.insert(Arc::clone(&light), lights);
            let job = worker % 3;
            let noise = random.random_range(-0.04..0.04);
            let strain = strained(own_load(now_ms, job), HEAVY * heavies) + noise;
            let sample = StrainSample {
                job: JobKey(job),
                serving: name("web"),
                strain,
            };
            table.learn(BootTime::from_millis(now_ms), &[sample], &load);
        }
    }
    table
}

#[test]
fn a_pressing_image_is_told_from_a_light_one() {
    let (web, heavy, light) = (name("web"), name("heavy"), name("light"));
    for rounds in [6, 40, 400] {
        let table = learned_table(rounds);
        let weight = table.weight(&web, &heavy);
        assert!((2.0..5.0).contains(&weight), "{weight} after {rounds}");
        let weight = table.weight(&web, &light);
        assert!(weight < 1.0, "{weight} after {rounds}");
    }
}

/// A worker on which two heavy filling tasks run beside two serving ones for 60 s; returns the
/// longest time over the target and the mean pace.
fn replay_harm(mut paces: impl FnMut(u64, &[PacedTask]) -> Option<[u32; 2]>) -> (u64, f64) {
    let mut pace = [100_u32; 2];
    let (mut over_ms, mut longest_ms, mut worked) = (0, 0, 0);
    let rounds = 200;
    for round in 0..rounds {
        let now_ms = 10_000 + round * REPORT_MS;
        let shares = pace.map(|pace| SHARE * f64::from(pace) / 100.0);
        let strain = strained(own_load(now_ms, 0), HEAVY * (shares[0] + shares[1]));
        let tasks = report(strain, &[("heavy", pace[0]), ("heavy", pace[1])]);
        let over = strain >= strain_limit();
        over_ms = if over { over_ms + REPORT_MS } else { 0 };
        longest_ms = longest_ms.max(over_ms);
        worked += pace[0] + pace[1];
        if let Some(ordered) = paces(now_ms, &tasks) {
            pace = ordered;
        }
    }
    (longest_ms, f64::from(worked) / (2 * rounds) as f64)
}

/// Replays the harm under a control that has been told these pairs.
fn replay_control(pairs: Vec<KnownPair>) -> (u64, f64) {
    let mut control = PaceControl::new(PATIENCE);
    control.adopt(pairs);
    let mut pace = [100_u32; 2];
    replay_harm(|now_ms, tasks| {
        for order in control.observe(BootTime::from_millis(now_ms), tasks) {
            pace[order.task.index as usize] = order.percent;
            control.note_ordered(order);
        }
        Some(pace)
    })
}

#[test]
fn harm_that_lasts_ends_and_filling_tasks_go_on_afterwards() {
    for pairs in [
        vec![],
        vec![known("heavy", HEAVY)],
        vec![known("heavy", 0.1)],
    ] {
        let (longest_ms, worked) = replay_control(pairs);
        assert!(longest_ms <= 3_000, "over the target for {longest_ms} ms");
        assert!(worked > 40.0, "filling tasks worked at {worked} %");
    }
}

#[test]
fn a_known_pair_is_paced_before_it_harms() {
    let (longest_ms, worked) = replay_control(vec![known("heavy", HEAVY)]);
    // Baselines in the same replay: no pace at all, and all or nothing by the target alone.
    let (unpaced_ms, _) = replay_harm(|_, _| None);
    let mut stopped = false;
    let (switched_ms, switched) = replay_harm(|_, tasks| {
        let PaceRole::Serving { tail_ms, target_ms } = tasks[0].role else {
            panic!("the first task serves");
        };
        stopped = tail_ms > target_ms;
        Some([if stopped { 0 } else { 100 }; 2])
    });
    println!("over: {longest_ms} ms, unpaced {unpaced_ms} ms, switched {switched_ms} ms");
    println!("pace: {worked} %, switched {switched} %");
    assert!(unpaced_ms > 4_000);
    assert!(longest_ms <= REPORT_MS && longest_ms <= switched_ms);
    assert!(worked > 0.75 * switched);
}

#[test]
fn the_most_urgent_filling_task_gets_what_room_there_is() {
    let mut control = PaceControl::new(PATIENCE);
    control.adopt(vec![known("heavy", HEAVY)]);
    let tasks = report(0.6, &[("heavy", 0), ("heavy", 0), ("heavy", 0)]);
    let orders = control.observe(BootTime::from_millis(10_000), &tasks);
    let mut paces = [100; 3];
    for order in &orders {
        paces[order.task.index as usize] = order.percent;
    }
    assert!(paces[0] > 30, "{paces:?}");
    assert_eq!(paces[1..], [0, 0]);
}

#[test]
fn harm_that_no_known_pair_explains_stops_all_filling_tasks() {
    let mut control = PaceControl::new(PATIENCE);
    control.adopt(vec![known("one", 0.0), known("other", 0.0)]);
    let mut paces = [100_u32; 2];
    for round in 0..20 {
        let now = BootTime::from_millis(10_000 + round * REPORT_MS);
        // The tail stays over its target whatever the pace is.
        let tasks = report(0.95, &[("one", paces[0]), ("other", paces[1])]);
        for order in control.observe(now, &tasks) {
            paces[order.task.index as usize] = order.percent;
            control.note_ordered(order);
        }
    }
    assert_eq!(paces, [0, 0]);
}

#[test]
fn a_worker_with_serving_tasks_that_a_filling_image_presses_on_leaves_it_little_pace() {
    let mut ledger = ledger_with_queue();
    let index = add_worker(&mut ledger, 1);
    let mut room = WorkerRoom::new(ledger.worker(index).unwrap(), WorkerOutlook::default());
    room.serving_images.insert(name("web"), 4);
    room.outlook.strains.insert(name("web"), 0.6);
    let table = learned_table(40);
    let cpu_millis = 2_000;
    assert!(room.spare_pace(&table, &name("heavy"), cpu_millis) < 0.5);
    assert!(room.spare_pace(&table, &name("light"), cpu_millis) > 0.99);
    let images = table.filling_images();
    let open = room.openness(&table, &images);
    assert!((0.4..0.8).contains(&open), "{open}");
    // Another image that is as sensitive closes nothing more; one that nothing is known of may.
    assert!(room.closed_by(&table, &images, &name("web")) < 0.01);
    assert!(room.closed_by(&table, &images, &name("new")) > 0.2);
}
