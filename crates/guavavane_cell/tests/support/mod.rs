//! A cell on loopback: one control process, one entry, agents with simulated workers.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use guavavane_cell::entry::CallerRequest;
use guavavane_cell::prelude::start_agent;
use guavavane_cell::prelude::start_control;
use guavavane_cell::prelude::start_entry;
use guavavane_cell::prelude::AgentHandle;
use guavavane_cell::prelude::AgentSettings;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::ControlHandle;
use guavavane_cell::prelude::ControlSettings;
use guavavane_cell::prelude::EntryHandle;
use guavavane_cell::prelude::EntrySettings;
use guavavane_cell::prelude::HoldAnswer;
use guavavane_cell::prelude::HoldReport;
use guavavane_cell::prelude::JobState;
use guavavane_cell::prelude::LeaseTiming;
use guavavane_cell::prelude::OperatorReply;
use guavavane_cell::prelude::OrderAnswer;
use guavavane_cell::prelude::OrderRefusal;
use guavavane_cell::prelude::RunRow;
use guavavane_cell::prelude::StartOrder;
use guavavane_cell::prelude::WorkerNotice;
use guavavane_cell::prelude::WorkerPort;
use guavavane_jobs::prelude::QueueCatalog;
use guavavane_jobs::prelude::RawCatalog;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RawPool;
use guavavane_jobs::prelude::RawQueue;
use guavavane_jobs::prelude::RawStep;
use guavavane_jobs::prelude::RunEnd;
use guavavane_jobs::prelude::RunEnding;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerFacts;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::ResourceVector;

/// Host of the queue.
pub(crate) const HOST: &str = "queue.example";
/// What the paths of jobs begin with.
pub(crate) const PREFIX: &str = "/tally/";
/// Lease step of the simulated workers.
pub(crate) const WORKER_LEASE: Duration = Duration::from_millis(600);

pub(crate) fn timing() -> LeaseTiming {
    LeaseTiming {
        agent_lease: Duration::from_millis(3_000),
        worker_lease: WORKER_LEASE,
        thaw_slack: Duration::from_millis(50),
    }
}

/// A run that all workers know of, to see two at the same time.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SeenRun {
    pub(crate) task: TaskKey,
    pub(crate) run: RunNumber,
    pub(crate) worker: usize,
    pub(crate) begun: Instant,
    pub(crate) ended: Option<Instant>,
    pub(crate) ending: Option<RunEnding>,
}

/// What all workers have run.
#[derive(Clone, Default)]
pub(crate) struct RunHistory(Arc<Mutex<Vec<SeenRun>>>);

impl RunHistory {
    pub(crate) fn all(&self) -> Vec<SeenRun> {
        self.0.lock().unwrap().clone()
    }

    /// Fails if two runs of a task overlap, or one begins after one was done.
    pub(crate) fn check(&self) {
        let runs = self.all();
        for (index, one) in runs.iter().enumerate() {
            for other in &runs[index + 1..] {
                if one.task != other.task {
                    continue;
                }
                let ended = one.ended.is_some_and(|ended| ended <= other.begun);
                assert!(ended, "{} runs twice: {one:?} {other:?}", one.task);
                assert_ne!(one.ending, Some(RunEnding::Done), "{} runs again", one.task);
            }
        }
    }
}

struct LocalRun {
    task: TaskKey,
    run: RunNumber,
    ends: Instant,
}

struct WorkerState {
    begun: Instant,
    deadline_ms: u64,
    runs: Vec<LocalRun>,
    ends: Vec<RunEnd>,
    next_end: u64,
    refused: Vec<(TaskKey, RunNumber)>,
}

/// A worker that keeps leases, as the platform's do.
#[derive(Clone)]
pub(crate) struct SimulatedWorker {
    index: usize,
    state: Arc<Mutex<WorkerState>>,
    history: RunHistory,
    work: Duration,
    /// Whether it answers nothing.
    pub(crate) dark: Arc<AtomicBool>,
    /// Whether it refuses starts for want of room.
    pub(crate) full: Arc<AtomicBool>,
    /// Whether it carries out starts and leaves them unanswered.
    pub(crate) mute: Arc<AtomicBool>,
}

impl SimulatedWorker {
    pub(crate) fn new(index: usize, work: Duration, history: RunHistory) -> Self {
        let state = WorkerState {
            begun: Instant::now(),
            deadline_ms: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            next_end: 1,
            refused: Vec::new(),
        };
        Self {
            index,
            state: Arc::new(Mutex::new(state)),
            history,
            work,
            dark: Arc::default(),
            full: Arc::default(),
            mute: Arc::default(),
        }
    }

    fn end(&self, state: &mut WorkerState, at: usize, ending: RunEnding) {
        let run = state.runs.remove(at);
        state.refused.push((run.task, run.run));
        state.ends.push(RunEnd {
            number: state.next_end,
            task: run.task,
            run: run.run,
            ending,
            saved: Arc::from(""),
        });
        state.next_end += 1;
        let mut history = self.history.0.lock().unwrap();
        let seen = history
            .iter_mut()
            .find(|seen| seen.task == run.task && seen.run == run.run);
        if let Some(seen) = seen {
            seen.ended = Some(Instant::now());
            seen.ending = Some(ending);
        }
    }

    /// Lets time pass: runs end, or lapse with the lease.
    pub(crate) fn pass(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let lapsed = clock_ms(&state) > state.deadline_ms;
        while let Some(at) = state.runs.iter().position(|run| lapsed || run.ends <= now) {
            let ending = if lapsed {
                RunEnding::Lapsed
            } else {
                RunEnding::Done
            };
            self.end(&mut state, at, ending);
        }
    }

    /// The runs, if an end is to be told or the wait is over.
    fn report(&self, last_end: u64, due: bool) -> Option<HoldReport> {
        let mut state = self.state.lock().unwrap();
        state.ends.retain(|end| end.number > last_end);
        if state.ends.is_empty() && !due {
            return None;
        }
        let running = state.runs.iter().map(|run| RunRow {
            task: run.task,
            run: run.run,
            saved: Arc::from(""),
            percent: 50,
            figure: 0,
        });
        Some(HoldReport {
            clock_ms: clock_ms(&state),
            born_ms: None,
            running: running.collect(),
            ends: state.ends.clone(),
        })
    }

    async fn answers(&self) -> bool {
        if self.dark.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(100)).await;
            return false;
        }
        true
    }
}

fn clock_ms(state: &WorkerState) -> u64 {
    state.begun.elapsed().as_millis() as u64 + 1_000
}

impl WorkerPort for SimulatedWorker {
    async fn start(&self, _worker: WorkerKey, _fence: u64, order: StartOrder) -> OrderAnswer {
        if !self.answers().await {
            return OrderAnswer::Unanswered;
        }
        if self.full.load(Ordering::Relaxed) {
            return OrderAnswer::Refused(OrderRefusal::Room);
        }
        let mut state = self.state.lock().unwrap();
        let old = |(task, run): &(TaskKey, RunNumber)| *task == order.task && *run >= order.run;
        if state.refused.iter().any(old) {
            return OrderAnswer::Refused(OrderRefusal::Old);
        }
        state.deadline_ms = state.deadline_ms.max(order.deadline_ms);
        let there = state
            .runs
            .iter()
            .any(|run| run.task == order.task && run.run == order.run);
        let ended = state
            .ends
            .iter()
            .any(|end| end.task == order.task && end.run == order.run);
        if !there && !ended {
            state.runs.push(LocalRun {
                task: order.task,
                run: order.run,
                ends: Instant::now() + self.work,
            });
            self.history.0.lock().unwrap().push(SeenRun {
                task: order.task,
                run: order.run,
                worker: self.index,
                begun: Instant::now(),
                ended: None,
                ending: None,
            });
        }
        if self.mute.load(Ordering::Relaxed) {
            return OrderAnswer::Unanswered;
        }
        OrderAnswer::Done
    }

    async fn stop(
        &self,
        _worker: WorkerKey,
        _fence: u64,
        task: TaskKey,
        run: RunNumber,
    ) -> OrderAnswer {
        if !self.answers().await {
            return OrderAnswer::Unanswered;
        }
        let mut state = self.state.lock().unwrap();
        state.refused.push((task, run));
        let at = state
            .runs
            .iter()
            .position(|known| known.task == task && known.run == run);
        if let Some(at) = at {
            self.end(&mut state, at, RunEnding::Stopped);
        }
        OrderAnswer::Done
    }

    async fn pace(
        &self,
        _worker: WorkerKey,
        _fence: u64,
        _task: TaskKey,
        _run: RunNumber,
        _percent: u32,
    ) -> OrderAnswer {
        OrderAnswer::Done
    }

    async fn hold(
        &self,
        _worker: WorkerKey,
        _fence: u64,
        last_end: u64,
        deadline_ms: Option<u64>,
        wait: Duration,
    ) -> HoldAnswer {
        if !self.answers().await {
            return HoldAnswer::Unanswered;
        }
        if let Some(deadline_ms) = deadline_ms {
            let mut state = self.state.lock().unwrap();
            state.deadline_ms = state.deadline_ms.max(deadline_ms);
        }
        let until = Instant::now() + wait;
        loop {
            if self.dark.load(Ordering::Relaxed) {
                return HoldAnswer::Unanswered;
            }
            self.pass();
            if let Some(report) = self.report(last_end, Instant::now() >= until) {
                return HoldAnswer::Report(report);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// A running cell.
pub(crate) struct TestCell {
    pub(crate) control: ControlHandle,
    pub(crate) entry: EntryHandle,
    pub(crate) workers: Vec<SimulatedWorker>,
    pub(crate) agents: Vec<AgentHandle>,
    pub(crate) history: RunHistory,
    _data: tempfile::TempDir,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

pub(crate) fn catalog(version: u64) -> (QueueCatalog, Arc<str>) {
    let raw = RawCatalog {
        version,
        queues: vec![RawQueue {
            name: "tally".to_owned(),
            host: HOST.to_owned(),
            path_prefix: PREFIX.to_owned(),
            timeout_ms: 3_000,
            latency_target_ms: 250,
            priority: 0,
            pool: "pool".to_owned(),
            attempts_max: 3,
            stretch: 2.0,
            advised: false,
        }],
        pools: vec![RawPool {
            name: "pool".to_owned(),
            guarded: true,
            standby: false,
        }],
    };
    let text = Arc::from(format!("version {version}"));
    (QueueCatalog::try_from(raw).unwrap(), text)
}

impl TestCell {
    /// A cell with workers whose tasks take `work`, ready to take jobs.
    pub(crate) async fn start(workers: usize, work: Duration) -> Self {
        let data = tempfile::tempdir().unwrap();
        let address = free_address();
        let control = start_control(ControlSettings {
            node: Arc::from("control-1"),
            address,
            seeds: vec![address],
            founding: true,
            data: data.path().join("log"),
            voters: 1,
            retention_ms: 60_000,
            timing: timing(),
        });
        let control = control.await.unwrap();
        let entry = start_entry(EntrySettings {
            node: Arc::from("entry-1"),
            seeds: vec![address],
        });
        let history = RunHistory::default();
        let mut cell = Self {
            control,
            entry,
            workers: Vec::new(),
            agents: Vec::new(),
            history: history.clone(),
            _data: data,
        };
        for index in 0..workers {
            let worker = SimulatedWorker::new(index, work, history.clone());
            let agent = start_agent(
                AgentSettings {
                    node: Arc::from(format!("vm-{index}")),
                    seeds: vec![address],
                    timing: timing(),
                    pace_patience: Duration::from_secs(2),
                },
                worker.clone(),
            );
            assert!(agent.note_worker(notice(index)).await);
            cell.workers.push(worker);
            cell.agents.push(agent);
        }
        cell.put_catalog(1).await;
        cell
    }

    pub(crate) async fn put_catalog(&self, version: u64) {
        loop {
            let (catalog, text) = catalog(version);
            if self.control.put_catalog(catalog, text).await == OperatorReply::Done {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    pub(crate) async fn call(&self, key: u64, action: CallerAction) -> CallerReply {
        let request = CallerRequest {
            host: HOST.to_owned(),
            path: format!("{PREFIX}{key:016x}"),
            action,
        };
        self.entry.call(request, Duration::from_secs(3)).await
    }

    pub(crate) async fn submit(&self, key: u64, steps: Vec<RawStep>) -> CallerReply {
        let job = RawJob {
            payload: "payload".to_owned(),
            steps,
            ..RawJob::default()
        };
        self.call(key, CallerAction::Submit(Box::new(job))).await
    }

    /// Waits until a job is in a state, at most for `limit`.
    pub(crate) async fn wait_state(&self, key: u64, state: JobState, limit: Duration) {
        let until = Instant::now() + limit;
        loop {
            let reply = self.call(key, CallerAction::Query).await;
            if reply == CallerReply::State(state) {
                return;
            }
            assert!(
                Instant::now() < until,
                "job {key} is {reply:?}, not {state:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

pub(crate) fn notice(index: usize) -> WorkerNotice {
    WorkerNotice {
        key: WorkerKey {
            name: Arc::from(format!("worker-{index}")),
            born_ms: 1,
        },
        facts: WorkerFacts {
            pool: Arc::from("pool"),
            data_centre: Arc::from(if index == 0 { "caxias" } else { "bento" }),
            capacity: ResourceVector::new(8_000, 8_000, 0),
            labels: vec![Arc::from("a"), Arc::from("rack-1")],
        },
        sequence: 1,
        draining: false,
        clock_ms: None,
    }
}

pub(crate) fn step(tasks: u64, after: Vec<u64>) -> RawStep {
    RawStep {
        tasks,
        demand: ResourceVector::new(1_000, 1_000, 0),
        estimate_ms: 200,
        after,
        ..RawStep::default()
    }
}
