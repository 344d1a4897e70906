//! Measures placements per second on one core for cells of different sizes.
//!
//! Each round ends some tasks, submits as many, runs a scheduling pass and confirms its
//! placements. A workload has one team, size and set of data centres, as a document declares
//! it. Each round also sends late samples, and every few rounds a wave of tasks is submitted
//! and half of it cancelled. The measured time covers all calls of the policy, not the
//! generation of events. Arguments are the numbers of workers; the memory figures hold for the
//! first size of a process only.

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
const WORKLOADS: usize = 2_000;
/// About 320,000 tasks on 34,000 workers.
const TASKS_PER_THOUSAND_WORKERS: usize = 9_412;
/// Tasks that end, and tasks that are submitted, in each round.
const ROUND_TASKS: usize = 128;
const ROUNDS: usize = 400;
/// Samples in each round. Three in eight are of services: 12,000 per second, one of each of
/// 120,000 service tasks in ten seconds.
const ROUND_SAMPLES: usize = 480;
/// Length of the interval that a sample measures.
const SAMPLE_INTERVAL_MS: u64 = 10_000;
/// Time between the end of that interval and the arrival of the sample.
const SAMPLE_LAG_MS: u64 = 1_000;
const ROUND_MS: u64 = 15;
/// Number of rounds between two waves.
const WAVE_ROUNDS: usize = 20;
const WAVE_TASKS: usize = 2_000;
/// Longest pass that the histogram can record.
const PASS_MAX_US: u64 = 60_000_000;
const DEFAULT_WORKERS: [usize; 4] = [1_000, 4_000, 12_000, 34_000];

struct RateBenchmark {
    core: PlacementCore,
    rng: ChaCha8Rng,
    now: BootTime,
    data_centres: Arc<[DataCentreName]>,
    teams: Vec<TeamName>,
    kinds: Vec<WorkloadKind>,
    next_task: u64,
    running: Vec<TaskPlacement>,
    policy_time: Duration,
    placed: u64,
    pass_us: Histogram<u64>,
}

impl RateBenchmark {
    fn new(workers: usize) -> anyhow::Result<Self> {
        let data_centres = (0..DATA_CENTRES).map(|number| format!("dc-{number}").try_into());
        let data_centres: Vec<DataCentreName> = data_centres.collect::<Result<_, _>>()?;
        let teams = (0..TEAMS).map(|number| format!("team-{number}").try_into());
        let kinds = (0..WORKLOADS).map(|number| format!("kind-{number}").try_into());
        let mut benchmark = Self {
            core: PlacementCore::new(PlacementSettings::default(), 1),
            rng: ChaCha8Rng::seed_from_u64(1),
            now: BootTime::from_millis(1_000),
            data_centres: data_centres.into(),
            teams: teams.collect::<Result<_, _>>()?,
            kinds: kinds.collect::<Result<_, _>>()?,
            next_task: 0,
            running: Vec::new(),
            policy_time: Duration::ZERO,
            placed: 0,
            pass_us: Histogram::new_with_bounds(1, PASS_MAX_US, 3)?,
        };
        for number in 0..workers {
            benchmark.add_worker(number)?;
        }
        Ok(benchmark)
    }

    fn add_worker(&mut self, number: usize) -> anyhow::Result<()> {
        let record = WorkerRecord {
            name: format!("worker-{number}").try_into()?,
            data_centre: self.data_centres[number % DATA_CENTRES].clone(),
            rack: format!("rack-{}", number / DATA_CENTRES / 3).try_into()?,
            capacity: match number % 4 {
                0 => ResourceVector::new(16_000, 61_440, 0),
                _ => ResourceVector::new(32_000, 128_000, 0),
            },
        };
        self.core
            .apply_event(self.now, PlacementEvent::WorkerUp(record));
        Ok(())
    }

    fn make_task(&mut self) -> TaskRecord {
        self.next_task += 1;
        let kind = self.rng.random_range(0..WORKLOADS);
        let is_service = kind * 8 < WORKLOADS * 3;
        let cores = kind as u64 % 4 + 1;
        let first = kind % DATA_CENTRES;
        let data_centres =
            (0..3).map(|step| self.data_centres[(first + step) % DATA_CENTRES].clone());
        TaskRecord {
            id: TaskId(self.next_task),
            job: JobId(self.next_task / 30),
            team: self.teams[kind % TEAMS].clone(),
            kind: self.kinds[kind].clone(),
            class: if is_service {
                TaskClass::LatencyCritical
            } else {
                TaskClass::Batch
            },
            priority: match self.rng.random_range(0..100) {
                0 => TaskPriority::Urgent,
                _ => TaskPriority::Normal,
            },
            exclusive: !is_service,
            demand: ResourceVector::new(cores * 900, cores * 3_500, 0),
            data_centres: data_centres.collect(),
            expected_run_ms: 60_000,
            attempt: AttemptNumber(1),
        }
    }

    fn apply_events(&mut self, events: Vec<PlacementEvent>) {
        let start = Instant::now();
        for event in events {
            self.core.apply_event(self.now, event);
        }
        self.policy_time += start.elapsed();
    }

    fn run_pass(&mut self, budget: usize) -> usize {
        let start = Instant::now();
        let decisions = self.core.run_pass(self.now, budget);
        let elapsed = start.elapsed();
        self.policy_time += elapsed;
        self.pass_us.saturating_record(elapsed.as_micros() as u64);
        let placements = decisions.into_iter().filter_map(|decision| match decision {
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
        let placements: Vec<TaskPlacement> = placements.collect();
        let count = placements.len();
        self.placed += count as u64;
        let events = placements
            .iter()
            .cloned()
            .map(PlacementEvent::PlacementCommitted);
        self.apply_events(events.collect());
        self.running.extend(placements);
        count
    }

    fn submit_tasks(&mut self, count: usize) -> Vec<TaskId> {
        let records: Vec<TaskRecord> = (0..count).map(|_| self.make_task()).collect();
        let tasks = records.iter().map(|record| record.id).collect();
        self.apply_events(
            records
                .into_iter()
                .map(PlacementEvent::TaskSubmitted)
                .collect(),
        );
        tasks
    }

    fn finish_tasks(&mut self, count: usize) {
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
        self.apply_events(events);
    }

    fn fill(&mut self, tasks: usize) {
        while self.running.len() < tasks {
            self.submit_tasks(512.min(tasks - self.running.len()));
            self.now = self.now + Duration::from_millis(ROUND_MS);
            if self.run_pass(1_024) == 0 {
                return;
            }
        }
    }

    /// Sends late samples of random tasks; the policy uses only the samples of services.
    fn send_samples(&mut self) {
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
        self.apply_events(events);
    }

    fn run_round(&mut self, number: usize) {
        self.now = self.now + Duration::from_millis(ROUND_MS);
        self.finish_tasks(ROUND_TASKS);
        self.submit_tasks(ROUND_TASKS);
        self.send_samples();
        if number.is_multiple_of(WAVE_ROUNDS) {
            let wave = self.submit_tasks(WAVE_TASKS);
            let cancelled = wave.into_iter().step_by(2);
            self.apply_events(cancelled.map(PlacementEvent::TaskCancelled).collect());
            self.finish_tasks(WAVE_TASKS / 2);
        }
        self.run_pass(ROUND_TASKS * 2);
    }
}

/// Resident memory of the process, in KiB.
fn rss_kib() -> u64 {
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
        let before_kib = rss_kib();
        let mut benchmark = RateBenchmark::new(workers)?;
        let workers_kib = rss_kib().saturating_sub(before_kib);
        let tasks = workers * TASKS_PER_THOUSAND_WORKERS / 1_000;
        benchmark.fill(tasks);
        let fill_rate = benchmark.placed as f64 / benchmark.policy_time.as_secs_f64();
        let tasks_kib = rss_kib().saturating_sub(before_kib + workers_kib);
        let running = benchmark.running.len();
        benchmark.policy_time = Duration::ZERO;
        benchmark.placed = 0;
        benchmark.pass_us.reset();
        // The first rounds fill the interference estimates and are not measured.
        for number in 1..ROUNDS {
            benchmark.run_round(number);
        }
        benchmark.policy_time = Duration::ZERO;
        benchmark.placed = 0;
        benchmark.pass_us.reset();
        for number in 0..ROUNDS {
            benchmark.run_round(number);
        }
        println!(
            "workers={workers} running={running} fill_per_s={fill_rate:.0} placed={} \
             placements_per_s={:.0} decide_p50_us={} decide_p99_us={} decide_max_us={} \
             worker_bytes={} task_bytes={} queued={}",
            benchmark.placed,
            benchmark.placed as f64 / benchmark.policy_time.as_secs_f64(),
            benchmark.pass_us.value_at_quantile(0.5),
            benchmark.pass_us.value_at_quantile(0.99),
            benchmark.pass_us.max(),
            workers_kib * 1_024 / workers as u64,
            tasks_kib * 1_024 / running.max(1) as u64,
            benchmark.core.task_count() - benchmark.running.len(),
        );
    }
    Ok(())
}
