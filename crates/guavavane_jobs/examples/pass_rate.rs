//! Measures scheduling passes, and the commits that follow them, for cells of different sizes.
//!
//! Each round ends some best-effort tasks, reports the utilisation of some workers, submits as many
//! tasks as have ended, brings the capacities up to date, runs a pass and commits its starts. The tasks
//! that end, the reports and the submissions of a round are the same at each size, so that a cost for
//! each start that grows shows what follows the number of workers. Then the copies of overdue runs are
//! chosen, and all runs watched and checked once. Arguments are the numbers of workers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::capacity::WorkerCondition;
use guavavane_jobs::plan::capacity_table::CapacityTable;
use guavavane_jobs::plan::interference::Estimate;
use guavavane_jobs::plan::interference::InterferenceModel;
use guavavane_jobs::plan::interference::PairEstimate;
use guavavane_jobs::plan::order::waiting_steps;
use guavavane_jobs::plan::pass::choose_starts;
use guavavane_jobs::plan::pass::PassInput;
use guavavane_jobs::plan::slack::RunTimes;
use guavavane_jobs::plan::speculation::choose_copies;
use guavavane_jobs::plan::speculation::OverdueRun;
use guavavane_jobs::plan::speculation::SpeculationWatch;
use guavavane_jobs::prelude::*;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::ResourceVector;
use guavavane_quorum::prelude::LogIndex;
use guavavane_quorum::prelude::StateMachine;

const DEFAULT_WORKERS: [u32; 3] = [300, 3_000, 34_000];
const ROUNDS: usize = 100;
/// Tasks that end, and tasks that are submitted, in each round.
const ROUND_TASKS: usize = 16;
/// Workers that report their utilisation in each round.
const ROUND_REPORTS: usize = 8;
/// Latency-critical tasks of a worker, all of one image.
const CRITICAL_TASKS: u64 = 4;
/// Best-effort tasks for each worker at the beginning.
const BEST_EFFORT_TASKS: u64 = 3;
const CRITICAL_IMAGES: u32 = 16;
const BEST_EFFORT_IMAGES: u32 = 30;
const QUEUE: &str = "queue";

/// What a pass reads besides the ledger.
struct CellView {
    interference: InterferenceModel,
    run_times: RunTimes,
}

impl PassInput for CellView {
    fn checkpoint(&self, _task: TaskKey) -> Option<Arc<str>> {
        None
    }

    fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    fn interference(&self) -> &InterferenceModel {
        &self.interference
    }

    fn now(&self) -> BootTime {
        BootTime::default()
    }

    fn time_of_day_ms(&self) -> u64 {
        0
    }

    fn allowed_workers(&self, _step: StepKey) -> IndexSet<WorkerIndex> {
        IndexSet::new()
    }

    fn is_failing(&self, _job: JobKey) -> bool {
        false
    }

    fn waiting_time(&self, _step: StepKey) -> Duration {
        Duration::ZERO
    }
}

/// Time spent in each part of the rounds.
#[derive(Default)]
struct RoundTimes {
    refresh: Duration,
    pass: Duration,
    commit: Duration,
    starts: u32,
}

struct CellBenchmark {
    ledger: JobLedger,
    view: CellView,
    table: CapacityTable,
    conditions: IndexMap<WorkerIndex, WorkerCondition>,
    random: ChaCha8Rng,
    running: Vec<(WorkerIndex, TaskKey, RunNumber)>,
    last_job: u64,
    last_completion: u64,
    times: RoundTimes,
}

fn image(kind: &str, number: u32) -> Arc<str> {
    Arc::from(format!("{kind}-{number}"))
}

/// Estimates of all pairs, two in five of them weak.
fn estimates(random: &mut ChaCha8Rng) -> Vec<PairEstimate> {
    let mut estimates = Vec::new();
    for critical in 0..CRITICAL_IMAGES {
        for best_effort in 0..BEST_EFFORT_IMAGES {
            let mean = if random.random_bool(0.4) { 0.1 } else { 4.0 };
            let coefficient = Estimate {
                mean,
                variance: 0.01,
            };
            estimates.push(PairEstimate {
                latency_critical: image("web", critical),
                best_effort: image("batch", best_effort),
                coefficient,
            });
        }
    }
    estimates
}

fn catalog_command() -> LedgerCommand {
    let raw = RawCatalog {
        version: 1,
        queues: vec![RawQueue {
            name: QUEUE.to_owned(),
            host: "queue.example".to_owned(),
            path_prefix: "/queue/".to_owned(),
            timeout_ms: 3_000,
            latency_target_ms: 250,
            priority: 0,
            pool: "pool".to_owned(),
            attempts_max: 3,
            objective_factor: 2.0,
            advice: None,
        }],
        pools: vec![RawPool {
            name: "pool".to_owned(),
            guarded: true,
            standby: false,
        }],
    };
    LedgerCommand::PutCatalog {
        catalog: QueueCatalog::try_from(raw).expect("the catalog is valid"),
        text: Arc::from("catalog"),
    }
}

impl CellBenchmark {
    fn new(workers: u32) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(u64::from(workers));
        let mut interference = InterferenceModel::default();
        interference.set_coefficients(estimates(&mut random));
        let run_times = RunTimes::default();
        let mut benchmark = Self {
            ledger: JobLedger::default(),
            view: CellView {
                interference,
                run_times,
            },
            table: CapacityTable::default(),
            conditions: IndexMap::new(),
            random,
            running: Vec::new(),
            last_job: 0,
            last_completion: 0,
            times: RoundTimes::default(),
        };
        benchmark.apply(catalog_command());
        for number in 0..workers {
            benchmark.add_worker(number);
        }
        let tasks = u64::from(workers) * BEST_EFFORT_TASKS;
        for _ in 0..tasks.div_ceil(ROUND_TASKS as u64) {
            benchmark.submit_best_effort();
        }
        while benchmark.run_pass() > 0 {}
        benchmark.times = RoundTimes::default();
        benchmark
    }

    fn apply(&mut self, command: LedgerCommand) -> LedgerOutcome {
        self.ledger.apply(LogIndex(0), command)
    }

    fn submit(&mut self, step: RawStep) -> JobKey {
        self.last_job += 1;
        let raw = RawJob {
            payload: "payload".to_owned(),
            steps: vec![step],
            ..RawJob::default()
        };
        let job = JobKey(self.last_job);
        self.apply(LedgerCommand::Submit {
            job,
            queue: Arc::from(QUEUE),
            spec: Arc::new(JobSpec::try_from(raw).expect("the job is valid")),
            accepted_ms: self.last_job,
        });
        job
    }

    /// Adds a worker that runs latency-critical tasks.
    fn add_worker(&mut self, number: u32) {
        let command = LedgerCommand::AddWorker {
            key: WorkerKey {
                name: Arc::from(format!("worker-{number}")),
                started_ms: 1,
            },
            node: Arc::from(format!("vm-{number}")),
            facts: WorkerFacts {
                pool: Arc::from("pool"),
                data_centre: Arc::from("caxias"),
                capacity: ResourceVector::new(16_000, 64_000, 0),
                labels: vec![Arc::from("a"), Arc::from(format!("rack-{}", number / 12))],
            },
        };
        let LedgerOutcome::Worker(worker) = self.apply(command) else {
            panic!("a worker is added");
        };
        let critical_image = image("web", number % CRITICAL_IMAGES);
        let job = self.submit(RawStep {
            tasks: CRITICAL_TASKS,
            demand: ResourceVector::new(3_200, 6_400, 0),
            long_running: true,
            latency_target_ms: 50,
            image: critical_image.to_string(),
            ..RawStep::default()
        });
        let step = StepKey {
            job,
            occurrence: 0,
            step: 0,
        };
        let choices = (0..CRITICAL_TASKS as u32).map(|index| StartChoice {
            task: step.task(index),
            run: RunNumber(1),
            worker,
            checkpoint: Arc::from(""),
        });
        let choices = choices.collect();
        self.apply(LedgerCommand::Start { choices });
        let condition = WorkerCondition {
            schedulable: true,
            utilisations: IndexMap::from([(critical_image, 0.4)]),
            ..WorkerCondition::default()
        };
        self.conditions.insert(worker, condition);
    }

    fn submit_best_effort(&mut self) {
        let number = self.random.random_range(0..BEST_EFFORT_IMAGES);
        self.submit(RawStep {
            tasks: ROUND_TASKS as u64,
            demand: ResourceVector::new(1_800, 3_200, 0),
            estimate_ms: 2_200,
            best_effort: true,
            image: image("batch", number).to_string(),
            speculative: true,
            ..RawStep::default()
        });
    }

    /// Runs a pass and commits its starts; returns their number.
    fn run_pass(&mut self) -> usize {
        let begin = Instant::now();
        let conditions = &self.conditions;
        self.table
            .refresh(&self.ledger, &self.view.interference, |worker| {
                conditions.get(&worker).cloned().unwrap_or_default()
            });
        let refreshed = Instant::now();
        let steps = waiting_steps(&self.ledger, &self.view.run_times, 0);
        let choices = choose_starts(&self.ledger, &mut self.table, &self.view, &steps);
        let chosen = Instant::now();
        let count = choices.len();
        let runs = choices
            .iter()
            .map(|choice| (choice.worker, choice.task, choice.run));
        self.running.extend(runs);
        self.apply(LedgerCommand::Start { choices });
        self.times.refresh += refreshed - begin;
        self.times.pass += chosen - refreshed;
        self.times.commit += chosen.elapsed();
        self.times.starts += u32::try_from(count).expect("a pass is bounded");
        count
    }

    fn end_tasks(&mut self) {
        for _ in 0..ROUND_TASKS.min(self.running.len()) {
            let position = self.random.random_range(0..self.running.len());
            let (worker, task, run) = self.running.swap_remove(position);
            self.last_completion += 1;
            let completion = RunCompletion {
                number: self.last_completion,
                task,
                run,
                outcome: RunOutcome::Done,
                checkpoint: Arc::from(""),
            };
            let completions = vec![completion];
            let begin = Instant::now();
            self.apply(LedgerCommand::NoteEnds {
                worker,
                completions,
            });
            self.times.commit += begin.elapsed();
        }
    }

    fn report_utilisations(&mut self) {
        for _ in 0..ROUND_REPORTS {
            let position = self.random.random_range(0..self.conditions.len());
            let utilisation = self.random.random_range(0.2..0.7);
            let (worker, condition) = self
                .conditions
                .get_index_mut(position)
                .expect("the position is in range");
            let utilisations = condition.utilisations.values_mut();
            utilisations.for_each(|value| *value = utilisation);
            self.table.mark_changed(*worker);
        }
    }
}

impl CellBenchmark {
    /// Time for each run of choosing the copies of `ROUND_TASKS` overdue runs, and their number.
    fn choose_copies(&mut self) -> (Duration, usize) {
        let conditions = &self.conditions;
        self.table
            .refresh(&self.ledger, &self.view.interference, |worker| {
                conditions.get(&worker).cloned().unwrap_or_default()
            });
        let overdue = self.running.iter().rev().take(ROUND_TASKS);
        let overdue = overdue.map(|(_, task, run)| OverdueRun {
            task: *task,
            run: *run,
            started_at: BootTime::default(),
            delay: Duration::ZERO,
        });
        let overdue: Vec<OverdueRun> = overdue.collect();
        let begin = Instant::now();
        let plan = choose_copies(&self.ledger, &mut self.table, &self.view, &[], overdue);
        (begin.elapsed() / ROUND_TASKS as u32, plan.choices.len())
    }

    /// Time for each run of watching all runs and checking them once.
    fn watch_runs(&self) -> Duration {
        let begin = Instant::now();
        let mut watch = SpeculationWatch::default();
        for number in 0..64 {
            let run_time = Duration::from_millis(100 + number);
            watch.learn(&Arc::from(QUEUE), 0, run_time, true);
        }
        for (_, task, run) in &self.running {
            watch.record_start(BootTime::default(), &self.ledger, *task, *run);
        }
        let now = BootTime::from_millis(60_000);
        while watch.is_due(now) {
            watch.take_overdue(now, &self.ledger);
        }
        begin.elapsed() / u32::try_from(self.running.len()).expect("there are fewer runs")
    }
}

fn main() {
    let sizes: Vec<u32> = std::env::args()
        .skip(1)
        .map(|word| word.parse().expect("each argument is a number of workers"))
        .collect();
    let sizes = if sizes.is_empty() {
        DEFAULT_WORKERS.to_vec()
    } else {
        sizes
    };
    println!("workers  running  starts  us a start: refresh, pass, commits");
    for workers in sizes {
        let mut benchmark = CellBenchmark::new(workers);
        for _ in 0..ROUNDS {
            benchmark.end_tasks();
            benchmark.report_utilisations();
            benchmark.submit_best_effort();
            benchmark.run_pass();
        }
        let RoundTimes {
            refresh,
            pass,
            commit,
            starts,
        } = benchmark.times;
        let micros = |time: Duration| time.as_secs_f64() * 1e6 / f64::from(starts.max(1));
        println!(
            "{workers:7}  {:7}  {starts:6}  {:.1}, {:.1}, {:.1}",
            benchmark.running.len(),
            micros(refresh),
            micros(pass),
            micros(commit)
        );
        let (copy, copies) = benchmark.choose_copies();
        let watched = benchmark.watch_runs();
        println!(
            "         copies of {copies} of {ROUND_TASKS} overdue runs: {:.1} us each; watched and checked: {:.2} us each",
            copy.as_secs_f64() * 1e6,
            watched.as_secs_f64() * 1e6
        );
    }
}
