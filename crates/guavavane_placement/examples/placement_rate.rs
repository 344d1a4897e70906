//! Placements a second on one core, against the number of workers and running tasks.
//!
//! Each round ends some tasks, submits as many, lets the policy decide and confirms what it
//! decided. A workload has one team, size and set of data centres, as a document declares it;
//! each round also brings late samples, and every few rounds a wave of tasks is submitted and
//! half of it cancelled. The time
//! counts all events and decisions, and none of the making of them. Sizes are given as
//! arguments; the memory figures hold for the first size of a process only.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::JobId;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::TeamName;
use guavavane_placement::prelude::*;

const DATA_CENTRES: usize = 7;
const TEAMS: usize = 120;
const KINDS: usize = 2_000;
const TASKS_PER_THOUSAND_WORKERS: usize = 9_412;
const ROUND_TASKS: usize = 128;
const ROUNDS: usize = 400;
/// Three in eight are of services: 12,000 a second, one of each of 120,000 in ten seconds.
const ROUND_SAMPLES: usize = 480;
const SAMPLE_INTERVAL_MS: u64 = 10_000;
const SAMPLE_LAG_MS: u64 = 1_000;
const ROUND_MS: u64 = 15;
const WAVE_ROUNDS: usize = 20;
const WAVE_TASKS: usize = 2_000;
const DECIDE_MAX_US: u64 = 60_000_000;
const DEFAULT_WORKERS: [usize; 4] = [1_000, 4_000, 12_000, 34_000];

struct Trial {
    core: PlacementCore,
    rng: ChaCha8Rng,
    now: BootTime,
    centres: Arc<[DataCentreName]>,
    teams: Vec<TeamName>,
    kinds: Vec<WorkloadKind>,
    next_task: u64,
    running: Vec<TaskPlacement>,
    spent: Duration,
    placed: u64,
    decide_us: Histogram<u64>,
}

impl Trial {
    fn new(workers: usize) -> anyhow::Result<Self> {
        let centres = (0..DATA_CENTRES).map(|number| format!("dc-{number}").try_into());
        let centres: Vec<DataCentreName> = centres.collect::<Result<_, _>>()?;
        let teams = (0..TEAMS).map(|number| format!("team-{number}").try_into());
        let kinds = (0..KINDS).map(|number| format!("kind-{number}").try_into());
        let mut trial = Self {
            core: PlacementCore::new(PlacementSettings::default(), 1),
            rng: ChaCha8Rng::seed_from_u64(1),
            now: BootTime::from_millis(1_000),
            centres: centres.into(),
            teams: teams.collect::<Result<_, _>>()?,
            kinds: kinds.collect::<Result<_, _>>()?,
            next_task: 0,
            running: Vec::new(),
            spent: Duration::ZERO,
            placed: 0,
            decide_us: Histogram::new_with_bounds(1, DECIDE_MAX_US, 3)?,
        };
        for number in 0..workers {
            trial.add_worker(number)?;
        }
        Ok(trial)
    }

    fn add_worker(&mut self, number: usize) -> anyhow::Result<()> {
        let record = WorkerRecord {
            name: format!("worker-{number}").try_into()?,
            data_centre: self.centres[number % DATA_CENTRES].clone(),
            rack: format!("rack-{}", number / DATA_CENTRES / 3).try_into()?,
            capacity: match number % 4 {
                0 => ResourceVector::new(16_000, 61_440, 0),
                _ => ResourceVector::new(32_000, 128_000, 0),
            },
        };
        self.core.step(self.now, PlacementEvent::WorkerUp(record));
        Ok(())
    }

    fn make_task(&mut self) -> TaskRecord {
        self.next_task += 1;
        let kind = self.rng.random_range(0..KINDS);
        let service = kind * 8 < KINDS * 3;
        let cores = kind as u64 % 4 + 1;
        let first = kind % DATA_CENTRES;
        let centres = (0..3).map(|step| self.centres[(first + step) % DATA_CENTRES].clone());
        TaskRecord {
            id: TaskId(self.next_task),
            job: JobId(self.next_task / 30),
            team: self.teams[kind % TEAMS].clone(),
            kind: self.kinds[kind].clone(),
            class: if service {
                TaskClass::LatencyCritical
            } else {
                TaskClass::Batch
            },
            priority: match self.rng.random_range(0..100) {
                0 => TaskPriority::Urgent,
                _ => TaskPriority::Normal,
            },
            exclusive: !service,
            demand: ResourceVector::new(cores * 900, cores * 3_500, 0),
            data_centres: centres.collect(),
            expected_run_ms: 60_000,
            attempt: AttemptNumber(1),
        }
    }

    fn step(&mut self, events: Vec<PlacementEvent>) {
        let start = Instant::now();
        for event in events {
            self.core.step(self.now, event);
        }
        self.spent += start.elapsed();
    }

    fn decide(&mut self, budget: usize) -> usize {
        let start = Instant::now();
        let decisions = self.core.decide(self.now, budget);
        let elapsed = start.elapsed();
        self.spent += elapsed;
        self.decide_us.saturating_record(elapsed.as_micros() as u64);
        let places = decisions.into_iter().filter_map(|decision| match decision {
            PlacementDecision::Place(place) => Some(TaskPlacement {
                task: place.task,
                attempt: place.attempt,
                worker: place.worker,
                reserved: place.reserved,
                evicting: false,
                ran_ms: 0,
            }),
            _ => None,
        });
        let places: Vec<TaskPlacement> = places.collect();
        let count = places.len();
        self.placed += count as u64;
        let events = places.iter().cloned().map(PlacementEvent::TaskRunning);
        self.step(events.collect());
        self.running.extend(places);
        count
    }

    fn submit(&mut self, count: usize) -> Vec<TaskId> {
        let records: Vec<TaskRecord> = (0..count).map(|_| self.make_task()).collect();
        let tasks = records.iter().map(|record| record.id).collect();
        self.step(
            records
                .into_iter()
                .map(PlacementEvent::TaskSubmitted)
                .collect(),
        );
        tasks
    }

    fn finish(&mut self, count: usize) {
        let mut events = Vec::new();
        for _ in 0..count.min(self.running.len()) {
            let position = self.rng.random_range(0..self.running.len());
            let placement = self.running.swap_remove(position);
            events.push(PlacementEvent::TaskReleased(TaskRelease {
                task: placement.task,
                attempt: placement.attempt,
                worker: placement.worker,
                cause: ReleaseCause::Finished,
            }));
        }
        self.step(events);
    }

    fn fill(&mut self, tasks: usize) {
        while self.running.len() < tasks {
            self.submit(512.min(tasks - self.running.len()));
            self.now = self.now + Duration::from_millis(ROUND_MS);
            if self.decide(1_024) == 0 {
                return;
            }
        }
    }

    /// Late samples of random tasks; those of services are used.
    fn sample(&mut self) {
        let mut events = Vec::new();
        for _ in 0..ROUND_SAMPLES.min(self.running.len()) {
            let position = self.rng.random_range(0..self.running.len());
            let placement = &self.running[position];
            let until = BootTime::from_millis(self.now.as_millis().saturating_sub(SAMPLE_LAG_MS));
            let from_ms = until.as_millis().saturating_sub(SAMPLE_INTERVAL_MS);
            events.push(PlacementEvent::LatencySample(LatencySample {
                task: placement.task,
                attempt: placement.attempt,
                worker: placement.worker.clone(),
                interval: MeasuredInterval {
                    from: BootTime::from_millis(from_ms),
                    until,
                },
                slowdown_permille: self.rng.random_range(950..1_350),
                load_permille: self.rng.random_range(300..800),
            }));
        }
        self.step(events);
    }

    fn round(&mut self, number: usize) {
        self.now = self.now + Duration::from_millis(ROUND_MS);
        self.finish(ROUND_TASKS);
        self.submit(ROUND_TASKS);
        self.sample();
        if number.is_multiple_of(WAVE_ROUNDS) {
            let wave = self.submit(WAVE_TASKS);
            let cancelled = wave.into_iter().step_by(2);
            self.step(cancelled.map(PlacementEvent::TaskCancelled).collect());
            self.finish(WAVE_TASKS / 2);
        }
        self.decide(ROUND_TASKS * 2);
    }
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn main() -> anyhow::Result<()> {
    let sizes = std::env::args().skip(1).map(|size| size.parse());
    let mut sizes: Vec<usize> = sizes.collect::<Result<_, _>>()?;
    if sizes.is_empty() {
        sizes.extend(DEFAULT_WORKERS);
    }
    for workers in sizes {
        let before_kib = resident_kib();
        let mut trial = Trial::new(workers)?;
        let workers_kib = resident_kib().saturating_sub(before_kib);
        let tasks = workers * TASKS_PER_THOUSAND_WORKERS / 1_000;
        trial.fill(tasks);
        let fill_rate = trial.placed as f64 / trial.spent.as_secs_f64();
        let tasks_kib = resident_kib().saturating_sub(before_kib + workers_kib);
        let running = trial.running.len();
        trial.spent = Duration::ZERO;
        trial.placed = 0;
        trial.decide_us.reset();
        // The first rounds fill the estimates.
        for number in 1..ROUNDS {
            trial.round(number);
        }
        trial.spent = Duration::ZERO;
        trial.placed = 0;
        trial.decide_us.reset();
        for number in 0..ROUNDS {
            trial.round(number);
        }
        println!(
            "workers={workers} running={running} fill_per_s={fill_rate:.0} placed={} \
             placements_per_s={:.0} decide_p50_us={} decide_p99_us={} decide_max_us={} \
             worker_bytes={} task_bytes={} queued={}",
            trial.placed,
            trial.placed as f64 / trial.spent.as_secs_f64(),
            trial.decide_us.value_at_quantile(0.5),
            trial.decide_us.value_at_quantile(0.99),
            trial.decide_us.max(),
            workers_kib * 1_024 / workers as u64,
            tasks_kib * 1_024 / running.max(1) as u64,
            trial.core.task_count() - trial.running.len(),
        );
    }
    Ok(())
}
