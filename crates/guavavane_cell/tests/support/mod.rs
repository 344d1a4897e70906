//! A cell on loopback: one control process, one entry, and agents with simulated workers.

#![allow(dead_code, reason = "each test file uses a part of this module")]

pub(crate) mod fake_leader;
pub(crate) mod group;
pub(crate) mod odd_worker;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use flume::Sender;

use guavavane_cell::entry::CallerRequest;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::StartTask;
use guavavane_cell::message::ToControl;
use guavavane_cell::message::WorkerReport;
use guavavane_cell::prelude::start_agent;
use guavavane_cell::prelude::start_control;
use guavavane_cell::prelude::start_entry;
use guavavane_cell::prelude::AdviceRequest;
use guavavane_cell::prelude::AgentHandle;
use guavavane_cell::prelude::AgentSettings;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::ControlHandle;
use guavavane_cell::prelude::ControlSettings;
use guavavane_cell::prelude::EntryHandle;
use guavavane_cell::prelude::EntrySettings;
use guavavane_cell::prelude::JobState;
use guavavane_cell::prelude::LeaseTiming;
use guavavane_cell::prelude::OperatorReply;
use guavavane_cell::prelude::WorkerHeartbeat;
use guavavane_cell::prelude::UNCOMMITTED_PROPOSALS_MAX;
use guavavane_jobs::prelude::AdviceTiming;
use guavavane_jobs::prelude::QueueCatalog;
use guavavane_jobs::prelude::RawCatalog;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RawPool;
use guavavane_jobs::prelude::RawQueue;
use guavavane_jobs::prelude::RawStep;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerFacts;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::ResourceVector;
use guavavane_standin::simulated_worker::RecordedRun;
use guavavane_standin::simulated_worker::RunHistory;
use guavavane_standin::simulated_worker::SimulatedWorker;
use guavavane_transport::prelude::open_stream;
use guavavane_transport::prelude::StreamReceiver;
use guavavane_transport::prelude::StreamSender;

/// Host of the queue's path.
pub(crate) const HOST: &str = "queue.example";
/// Path prefix of the queue; the identity of a job follows it.
pub(crate) const PREFIX: &str = "/tally/";
/// Timing of the advice service.
pub(crate) const ADVICE_TIMING: AdviceTiming = AdviceTiming {
    decision_ms: 10,
    interval_ms: 1,
    validity_ms: 1_000,
};
/// Time between two pings of an agent that a test plays.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Lease that one renewal grants to a simulated worker.
pub(crate) const WORKER_LEASE: Duration = Duration::from_millis(600);

pub(crate) fn timing() -> LeaseTiming {
    LeaseTiming {
        agent_lease: Duration::from_millis(3_000),
        worker_lease: WORKER_LEASE,
        worker_lease_max: Duration::from_secs(6),
        thaw_slack: Duration::from_millis(50),
    }
}

/// Running cell with its processes and simulated workers.
pub(crate) struct TestCell {
    pub(crate) control: ControlHandle,
    /// Address at which the control process accepts streams.
    pub(crate) address: SocketAddr,
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

pub(crate) fn catalog(version: u64, advice: Option<AdviceTiming>) -> (QueueCatalog, Arc<str>) {
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
            objective_factor: 2.0,
            advice,
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
    /// Starts a cell whose workers need `work` per task; returns once it accepts jobs.
    pub(crate) async fn start(workers: usize, work: Duration) -> Self {
        Self::start_advised(workers, work, None).await
    }

    /// Starts a cell; if `advice` is given, its queue requires advice.
    pub(crate) async fn start_advised(
        workers: usize,
        work: Duration,
        advice: Option<Sender<AdviceRequest>>,
    ) -> Self {
        let data = tempfile::tempdir().unwrap();
        let mut settings = control_settings(data.path());
        settings.advice = advice;
        Self::start_with(workers, work, settings, data).await
    }

    /// Starts a cell without workers that refuses proposals while another one is not committed.
    pub(crate) async fn start_overloaded() -> Self {
        let data = tempfile::tempdir().unwrap();
        let mut settings = control_settings(data.path());
        settings.uncommitted_proposals_max = 1;
        Self::start_with(0, Duration::ZERO, settings, data).await
    }

    pub(crate) async fn start_with(
        workers: usize,
        work: Duration,
        settings: ControlSettings,
        data: tempfile::TempDir,
    ) -> Self {
        let advised = settings.advice.as_ref().map(|_| ADVICE_TIMING);
        let address = settings.address;
        let control = start_control(settings).await.unwrap();
        let entry = start_entry(EntrySettings {
            node: Arc::from("entry-1"),
            seeds: vec![address],
        });
        let history = RunHistory::default();
        let mut cell = Self {
            control,
            address,
            entry,
            workers: Vec::new(),
            agents: Vec::new(),
            history: history.clone(),
            _data: data,
        };
        for index in 0..workers {
            let worker = SimulatedWorker::new(index, work, history.clone());
            let agent = start_agent(agent_settings(index, address), worker.clone());
            assert!(agent.record_heartbeat(worker_heartbeat(index)).await);
            cell.workers.push(worker);
            cell.agents.push(agent);
        }
        cell.put_catalog_with(1, advised).await;
        cell
    }

    pub(crate) async fn put_catalog(&self, version: u64) {
        self.put_catalog_with(version, None).await;
    }

    pub(crate) async fn put_catalog_with(&self, version: u64, advice: Option<AdviceTiming>) {
        loop {
            let (catalog, text) = catalog(version, advice);
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
        self.call(key, CallerAction::Submit(Arc::new(job))).await
    }

    /// Waits until this many runs were started; panics after `limit`.
    pub(crate) async fn wait_for_starts(&self, starts: usize, limit: Duration) -> Vec<RecordedRun> {
        let until = Instant::now() + limit;
        while self.history.all().len() < starts {
            assert!(Instant::now() < until, "{:?}", self.history.all());
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        self.history.all()
    }

    /// Waits until this many runs of a job were started; panics after `limit`.
    pub(crate) async fn wait_for_runs_of(&self, key: u64, runs: usize, limit: Duration) {
        let until = Instant::now() + limit;
        loop {
            let history = self.history.all();
            let started = history.iter().filter(|run| run.task.step.job.0 == key);
            let started = started.count();
            if started >= runs {
                return;
            }
            assert!(
                Instant::now() < until,
                "{started} of {runs} runs of job {key}"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until a job is in a state; panics after `limit`.
    pub(crate) async fn wait_for_state(&self, key: u64, state: JobState, limit: Duration) {
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

/// Settings of the only control process of a cell.
pub(crate) fn control_settings(data: &Path) -> ControlSettings {
    let address = free_address();
    ControlSettings {
        node: Arc::from("control-1"),
        address,
        seeds: vec![address],
        bootstrap: true,
        data: data.join("log"),
        voters: 1,
        retention_ms: 60_000,
        timing: timing(),
        uncommitted_proposals_max: UNCOMMITTED_PROPOSALS_MAX,
        memory_bytes: None,
        advice: None,
        read_limits: None,
    }
}

/// Settings of the agent of the worker with this index.
pub(crate) fn agent_settings(index: usize, control: SocketAddr) -> AgentSettings {
    AgentSettings {
        node: Arc::from(format!("vm-{index}")),
        seeds: vec![control],
        timing: timing(),
        violation_timeout: Duration::from_secs(2),
    }
}

pub(crate) fn worker_heartbeat(index: usize) -> WorkerHeartbeat {
    WorkerHeartbeat {
        key: WorkerKey {
            name: Arc::from(format!("worker-{index}")),
            started_ms: 1,
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

/// Report of the worker with this index while nothing runs on it.
pub(crate) fn idle_report(index: usize, epoch: u64) -> WorkerReport {
    let heartbeat = worker_heartbeat(index);
    WorkerReport {
        key: heartbeat.key,
        facts: heartbeat.facts,
        draining: false,
        epoch,
        running: Vec::new(),
        completions: Vec::new(),
        estimates: Vec::new(),
        refused_runs: Vec::new(),
    }
}

/// Opens a session as the agent of the worker with this index, reports the idle worker and pings
/// the leader until the session closes.
pub(crate) async fn open_agent_session(
    cell: &TestCell,
    index: usize,
) -> (StreamSender<ToControl>, StreamReceiver<FromControl>) {
    let (sender, receiver) = open_silent_session(cell, index).await;
    tokio::spawn(send_pings(sender.clone()));
    (sender, receiver)
}

async fn send_pings(sender: StreamSender<ToControl>) {
    while sender.send(ToControl::Ping {
        sent_at: BootClock.now(),
    }) {
        tokio::time::sleep(PING_INTERVAL).await;
    }
}

/// Opens a session as the agent of the worker with this index, reports the idle worker and sends
/// nothing more.
pub(crate) async fn open_silent_session(
    cell: &TestCell,
    index: usize,
) -> (StreamSender<ToControl>, StreamReceiver<FromControl>) {
    let opened = open_stream::<ToControl, FromControl>(cell.address, Duration::from_secs(1)).await;
    let (sender, receiver) = opened.unwrap();
    let node = Arc::from(format!("vm-{index}"));
    sender.send(ToControl::AgentHello { node });
    sender.send(ToControl::WorkerReport(Box::new(idle_report(index, 0))));
    (sender, receiver)
}

/// Start orders received until none has arrived for `quiet`.
pub(crate) async fn ordered_starts(
    receiver: &mut StreamReceiver<FromControl>,
    quiet: Duration,
) -> Vec<StartTask> {
    let mut starts = Vec::new();
    while let Ok(Some(start)) = tokio::time::timeout(quiet, next_start(receiver)).await {
        starts.push(start);
    }
    starts
}

/// Whether a run is ordered to stop within `limit`.
pub(crate) async fn is_stop_ordered(
    receiver: &mut StreamReceiver<FromControl>,
    stopped: (TaskKey, RunNumber),
    limit: Duration,
) -> bool {
    let stop_order = async {
        while let Some(message) = receiver.receive().await {
            match message {
                FromControl::Stop { task, run, .. } if (task, run) == stopped => return true,
                _ => {}
            }
        }
        false
    };
    tokio::time::timeout(limit, stop_order)
        .await
        .unwrap_or(false)
}

/// Next start order; none once the session is closed.
async fn next_start(receiver: &mut StreamReceiver<FromControl>) -> Option<StartTask> {
    loop {
        if let FromControl::Start { order, .. } = receiver.receive().await? {
            return Some(*order);
        }
    }
}
