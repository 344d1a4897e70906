//! Simulates a small cell whose pairwise slowdowns the policy doesn't know.
//!
//! A step is one second. A batch task does work in proportion to its cores and CPU share. Each
//! replica of a service is slowed by the batch tasks on its worker, in proportion to its load.
//! Slowdowns are reported as means over an interval, some seconds after its end.

use std::collections::VecDeque;
use std::sync::Arc;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::baseline::Placer;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::JobId;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_model::prelude::WorkerName;
use guavavane_placement::prelude::*;

pub(crate) const DURATION_S: u64 = 2_400;
pub(crate) const DATA_CENTRE_OUT_AT_S: u64 = 1_200;
pub(crate) const DATA_CENTRE_BACK_AT_S: u64 = 1_500;
/// End of the window that starts when the data centre goes out of service.
pub(crate) const WINDOW_END_S: u64 = 1_800;
const REPORT_INTERVAL_S: u64 = 5;
/// Time from the last second of an interval until its report arrives.
const REPORT_LAG_S: u64 = 8;
/// Time from the eviction of a task until its stop is confirmed; batch work stops at once.
const CHECKPOINT_S: u64 = 3;
/// Time from the placement of a task until it runs.
const START_DELAY_S: u64 = 2;
const REQUESTS_PER_STEP: usize = 20;
const BASE_LATENCY_US: f64 = 10_000.0;
/// Time between two waves of tasks of one noisy workload.
const WAVE_PERIOD_S: u64 = 300;
/// Tasks of a wave in a cell of 16-core workers; more in proportion to the cores.
const WAVE_TASKS: u64 = 14;
/// Mean cores that the random batch arrivals need, as a fraction of those that services leave.
const OFFERED_LOAD_FRACTION: f64 = 0.75;
/// Mean number of cores of a batch task over the mix of arrivals.
const TASK_CORES_MEAN: f64 = 10.0 / 6.0;
const BATCH_KINDS: [&str; 4] = ["index", "rebuild", "settlement", "archive"];
/// Excess that an unthrottled batch task causes a service at full load, by service and batch
/// workload.
const TRUE_EXCESS: [[f64; 4]; 2] = [[0.02, 0.05, 0.60, 0.04], [0.02, 0.05, 0.05, 1.40]];

/// Size of a user's cell and names in it.
pub(crate) struct CellSize {
    pub(crate) data_centres: [&'static str; 3],
    pub(crate) services: [&'static str; 2],
    pub(crate) cores: u64,
    pub(crate) memory_gib: u64,
}

/// Measurements of one trial; work is in core-seconds.
pub(crate) struct TrialResult {
    pub(crate) latency_us: Histogram<u64>,
    pub(crate) work_core_s: f64,
    pub(crate) window_work_core_s: f64,
    pub(crate) evictions: u64,
    pub(crate) throttles: u64,
    pub(crate) unserved_s: u64,
}

struct RunningTask {
    task: TaskId,
    attempt: AttemptNumber,
    worker: WorkerName,
    kind: usize,
    is_service: bool,
    cores: f64,
    ready_at_s: u64,
    stops_at_s: Option<u64>,
    cpu_share: f64,
    slowdown_sum: f64,
    load_sum: f64,
    samples: u64,
}

pub(crate) struct CellFake<'a> {
    size: &'a CellSize,
    rng: ChaCha8Rng,
    excess: [[f64; 4]; 2],
    running: Vec<RunningTask>,
    records: IndexMap<TaskId, TaskRecord>,
    remaining: IndexMap<TaskId, f64>,
    reports: VecDeque<(u64, PlacementEvent)>,
    next_task: u64,
    result: TrialResult,
}

fn time_at(second: u64) -> BootTime {
    BootTime::from_millis(1_000 * (second + 1_000))
}

impl<'a> CellFake<'a> {
    pub(crate) fn new(size: &'a CellSize, seed: u64) -> anyhow::Result<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // The same task uses a smaller fraction of a larger worker.
        let scale = 16.0 / size.cores as f64;
        let excess =
            TRUE_EXCESS.map(|row| row.map(|mean| scale * mean * rng.random_range(0.7..1.3)));
        Ok(Self {
            size,
            rng,
            excess,
            running: Vec::new(),
            records: IndexMap::new(),
            remaining: IndexMap::new(),
            reports: VecDeque::new(),
            next_task: 0,
            result: TrialResult {
                latency_us: Histogram::new_with_bounds(1, 100_000_000, 3)?,
                work_core_s: 0.0,
                window_work_core_s: 0.0,
                evictions: 0,
                throttles: 0,
                unserved_s: 0,
            },
        })
    }

    pub(crate) fn run(mut self, placer: &mut dyn Placer) -> anyhow::Result<TrialResult> {
        for number in 0..11 {
            let record = WorkerRecord {
                name: format!("worker-{number}").try_into()?,
                data_centre: self.size.data_centres[number / 4].try_into()?,
                rack: format!("rack-{}", number / 3).try_into()?,
                capacity: ResourceVector::new(
                    self.size.cores * 1_000,
                    self.size.memory_gib * 1_024,
                    0,
                ),
            };
            placer.apply_event(time_at(0), PlacementEvent::WorkerUp(record));
        }
        for replica in 0..15 {
            self.submit(placer, 0, usize::from(replica >= 11), true)?;
        }
        let data_centre: DataCentreName = self.size.data_centres[0].try_into()?;
        for second in 0..DURATION_S {
            match second {
                DATA_CENTRE_OUT_AT_S => placer.apply_event(
                    time_at(second),
                    PlacementEvent::DataCentreOut(data_centre.clone()),
                ),
                DATA_CENTRE_BACK_AT_S => placer.apply_event(
                    time_at(second),
                    PlacementEvent::DataCentreBack(data_centre.clone()),
                ),
                _ => {}
            }
            self.submit_arrivals(placer, second)?;
            self.confirm_evictions(placer, second);
            self.deliver_reports(placer, second);
            for decision in placer.run_pass(time_at(second)) {
                self.apply(placer, second, decision);
            }
            self.run_batch(placer, second);
            self.serve_requests(second);
        }
        Ok(self.result)
    }

    /// Submits batch tasks at random, and waves of a noisy workload.
    fn submit_arrivals(&mut self, placer: &mut dyn Placer, second: u64) -> anyhow::Result<()> {
        // Eleven workers, less eleven replicas of a quarter and four of an eighth of a worker.
        let free_cores = (11 * self.size.cores - 13 * self.size.cores / 4) as f64;
        // In core-seconds: an unthrottled task runs for 60 to 180 seconds.
        let mean_work = TASK_CORES_MEAN * 120.0;
        if self
            .rng
            .random_bool((OFFERED_LOAD_FRACTION * free_cores / mean_work).min(1.0))
        {
            let kind = [0, 0, 1, 1, 2, 3][self.rng.random_range(0..6)];
            self.submit(placer, second, kind, false)?;
        }
        if second % WAVE_PERIOD_S == WAVE_PERIOD_S / 2 {
            let kind = 2 + (second / WAVE_PERIOD_S % 2) as usize;
            for _ in 0..WAVE_TASKS * self.size.cores / 16 {
                self.submit(placer, second, kind, false)?;
            }
        }
        Ok(())
    }

    fn submit(
        &mut self,
        placer: &mut dyn Placer,
        second: u64,
        kind: usize,
        is_service: bool,
    ) -> anyhow::Result<()> {
        self.next_task += 1;
        let id = TaskId(self.next_task);
        let data_centres: Result<Vec<DataCentreName>, _> = self
            .size
            .data_centres
            .iter()
            .map(|name| (*name).try_into())
            .collect();
        let cores = match (is_service, kind) {
            (true, 0) => self.size.cores / 4,
            (true, _) => self.size.cores / 8,
            (false, kind) => 1 + kind as u64 % 3,
        };
        let work = cores as f64 * self.rng.random_range(60.0..180.0);
        self.remaining.insert(id, work);
        let names = if is_service {
            &self.size.services[..]
        } else {
            &BATCH_KINDS[..]
        };
        let record = TaskRecord {
            id,
            job: JobId(kind as u64),
            team: "settlement".try_into()?,
            kind: names[kind].try_into()?,
            class: if is_service {
                TaskClass::LatencyCritical
            } else {
                TaskClass::Batch
            },
            priority: TaskPriority::Normal,
            exclusive: !is_service,
            demand: ResourceVector::new(cores * 1_000, cores * 2_048, 0),
            data_centres: Arc::from(data_centres?),
            expected_run_ms: if is_service { 0 } else { 240_000 },
            attempt: AttemptNumber(1),
        };
        self.records.insert(id, record.clone());
        placer.apply_event(time_at(second), PlacementEvent::TaskSubmitted(record));
        Ok(())
    }

    fn apply(&mut self, placer: &mut dyn Placer, second: u64, decision: PlacementDecision) {
        match decision {
            PlacementDecision::Place(place) => self.start(placer, second, place),
            PlacementDecision::Evict(evict) => {
                self.result.evictions += 1;
                if let Some(task) = self.find_running(evict.task, evict.attempt) {
                    task.stops_at_s = Some(second + CHECKPOINT_S);
                }
            }
            PlacementDecision::Throttle(throttle) => {
                self.result.throttles += 1;
                if let Some(task) = self.find_running(throttle.task, throttle.attempt) {
                    task.cpu_share = f64::from(throttle.level.cpu_share_permille()) / 1_000.0;
                }
            }
            _ => {}
        }
    }

    fn find_running(&mut self, task: TaskId, attempt: AttemptNumber) -> Option<&mut RunningTask> {
        let mut running = self.running.iter_mut();
        running.find(|running| running.task == task && running.attempt == attempt)
    }

    fn start(&mut self, placer: &mut dyn Placer, second: u64, place: PlaceDecision) {
        let record = &self.records[&place.task];
        let is_service = record.class == TaskClass::LatencyCritical;
        let names = if is_service {
            &self.size.services[..]
        } else {
            &BATCH_KINDS[..]
        };
        let kind = names.iter().position(|name| *name == record.kind.as_str());
        self.running.push(RunningTask {
            task: place.task,
            attempt: place.attempt,
            worker: place.worker.clone(),
            kind: kind.unwrap_or(0),
            is_service,
            cores: record.demand.cpu_millis as f64 / 1_000.0,
            ready_at_s: second + START_DELAY_S,
            stops_at_s: None,
            cpu_share: 1.0,
            slowdown_sum: 0.0,
            load_sum: 0.0,
            samples: 0,
        });
        let placement = TaskPlacement {
            task: place.task,
            attempt: place.attempt,
            worker: place.worker,
            reserved: place.reserved,
            evicting: false,
            ran_ms: 0,
        };
        placer.apply_event(
            time_at(second),
            PlacementEvent::PlacementCommitted(placement),
        );
    }

    /// Confirms the stop of evicted tasks that have finished their checkpoint.
    fn confirm_evictions(&mut self, placer: &mut dyn Placer, second: u64) {
        let leaves = |task: &mut RunningTask| task.stops_at_s.is_some_and(|at| at <= second);
        for task in self.running.extract_if(.., leaves) {
            placer.apply_event(time_at(second), release(&task, ReleaseCause::Evicted));
        }
    }

    fn run_batch(&mut self, placer: &mut dyn Placer, second: u64) {
        for task in self.running.iter_mut().filter(|task| !task.is_service) {
            if second < task.ready_at_s || task.stops_at_s.is_some() {
                continue;
            }
            let left = &mut self.remaining[&task.task];
            let done = (task.cores * task.cpu_share).min(*left);
            *left -= done;
            self.result.work_core_s += done;
            if (DATA_CENTRE_OUT_AT_S..WINDOW_END_S).contains(&second) {
                self.result.window_work_core_s += done;
            }
        }
        let remaining = &self.remaining;
        let ended = |task: &mut RunningTask| !task.is_service && remaining[&task.task] <= 0.0;
        for task in self.running.extract_if(.., ended) {
            placer.apply_event(time_at(second), release(&task, ReleaseCause::Finished));
        }
    }

    /// Serves the requests of one second on all replicas that have started.
    fn serve_requests(&mut self, second: u64) {
        let phase = second as f64 / 900.0 * std::f64::consts::TAU;
        let demand = 0.55 + 0.3 * phase.sin();
        for service in 0..self.size.services.len() {
            let is_serving = |task: &&RunningTask| {
                task.is_service && task.kind == service && second >= task.ready_at_s
            };
            let replicas = self.running.iter().filter(is_serving).count();
            let submitted_replicas = [11.0, 4.0][service];
            self.result.unserved_s += u64::from(replicas == 0);
            let load = (demand * submitted_replicas / replicas.max(1) as f64).min(1.2);
            for index in 0..self.running.len() {
                if is_serving(&&self.running[index]) {
                    self.serve_replica(second, index, load);
                }
            }
        }
    }

    fn serve_replica(&mut self, second: u64, index: usize, load: f64) {
        let service = self.running[index].kind;
        let worker = self.running[index].worker.clone();
        let neighbours = self
            .running
            .iter()
            .filter(|task| task.worker == worker && !task.is_service);
        let excess: f64 = neighbours
            .map(|task| self.excess[service][task.kind] * task.cpu_share)
            .sum();
        let slowdown = 1.0 + excess * load + (load - 0.9).max(0.0) * 3.0;
        for _ in 0..REQUESTS_PER_STEP {
            let draw: f64 = self.rng.random_range(1e-6..1.0);
            let latency_us = BASE_LATENCY_US * slowdown * (0.5 - 0.5 * draw.ln());
            self.result.latency_us.saturating_record(latency_us as u64);
        }
        let noise = self.rng.random_range(0.95..1.05);
        let replica = &mut self.running[index];
        replica.slowdown_sum += slowdown * noise;
        replica.load_sum += load;
        replica.samples += 1;
        if replica.samples == REPORT_INTERVAL_S {
            let mean = |sum: f64| (sum / REPORT_INTERVAL_S as f64 * 1_000.0) as u32;
            let event = PlacementEvent::LatencySample(LatencySample {
                task: replica.task,
                attempt: replica.attempt,
                worker,
                interval: MeasuredInterval {
                    from: time_at(second + 1 - REPORT_INTERVAL_S),
                    until: time_at(second + 1),
                },
                slowdown_permille: mean(replica.slowdown_sum),
                load_permille: mean(replica.load_sum),
            });
            replica.slowdown_sum = 0.0;
            replica.load_sum = 0.0;
            replica.samples = 0;
            self.reports.push_back((second + REPORT_LAG_S, event));
        }
    }

    fn deliver_reports(&mut self, placer: &mut dyn Placer, second: u64) {
        while self.reports.front().is_some_and(|(due, _)| *due <= second) {
            if let Some((_, event)) = self.reports.pop_front() {
                placer.apply_event(time_at(second), event);
            }
        }
    }
}

fn release(task: &RunningTask, cause: ReleaseCause) -> PlacementEvent {
    PlacementEvent::TaskReleased(TaskRelease {
        task: task.task,
        attempt: task.attempt,
        worker: task.worker.clone(),
        cause,
    })
}
