//! Measures requests through the system against requests straight to endpoints, the cost of a
//! key, and goodput under overload, all in one run on real processes.
//!
//! `cargo build --release --locked && cargo run --release --locked --example request_probe`.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use anyhow::bail;
use anyhow::Context;

use guavavane::contract::prelude::AttemptKey;
use guavavane::contract::prelude::EndpointNotice;
use guavavane::contract::prelude::StartOrder;
use guavavane::contract::prelude::StartProgram;
use guavavane::contract::prelude::WorkerClient;
use guavavane::daemon::prelude::HttpServer;
use guavavane::model::prelude::AttemptNumber;
use guavavane::model::prelude::FenceNumber;
use guavavane::model::prelude::ResourceVector;
use guavavane::model::prelude::TaskId;
use guavavane::standin::clock::StopFlag;
use guavavane::standin::prelude::run_load;
use guavavane::standin::prelude::AddressPool;
use guavavane::standin::prelude::CallerOutcome;
use guavavane::standin::prelude::CallerSettings;
use guavavane::standin::prelude::ClusterPlan;
use guavavane::standin::prelude::LoadSummary;
use guavavane::standin::prelude::ProcessGroup;
use guavavane::standin::prelude::ProcessPlan;
use guavavane::standin::prelude::RunningCluster;

/// Length of each load.
const LOAD_TIME: Duration = Duration::from_secs(10);

/// Rate of the loads that compare latencies, in requests a second.
const LATENCY_RATE: f64 = 300.0;

/// Time of a request on its endpoint in the comparison of latencies.
const LATENCY_SERVICE_MS: u64 = 5;

/// Time of a request on its endpoint under overload.
const OVERLOAD_SERVICE_MS: u64 = 200;

/// Endpoints that the document declares.
const ENDPOINTS: usize = 11;

/// Workers under overload.
const OVERLOAD_WORKERS: usize = 3;

/// Slots of an endpoint.
const SLOTS: u16 = 8;

/// Loads in parts of what the endpoints can serve.
const OVERLOAD_FACTORS: [f64; 4] = [0.5, 0.9, 1.5, 3.0];

/// Time that a caller waits under overload.
const OVERLOAD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Senders under overload: more than can wait at once.
const OVERLOAD_THREADS: usize = 1_600;

fn main() -> anyhow::Result<()> {
    let program = std::env::current_exe()?;
    let programs = program
        .parent()
        .and_then(Path::parent)
        .context("the example lies two folders below the target folder")?;
    compare_latencies(programs)?;
    overload(programs)
}

fn cell(programs: &Path, workers: usize, service_ms: u64) -> anyhow::Result<RunningCluster> {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    let plan = ClusterPlan {
        name: format!("requests-{workers}"),
        workers,
        worker_flags: vec![format!("--service-ms={service_ms}")],
        ..ClusterPlan::cooperativa(&examples)
    };
    let cluster = RunningCluster::start(plan, programs)?;
    cluster.apply_document()?;
    cluster.wait_serving()?;
    cluster.wait_routed(workers)?;
    // The declared batch run ends before anything is measured.
    thread::sleep(Duration::from_secs(12));
    Ok(cluster)
}

fn compare_latencies(programs: &Path) -> anyhow::Result<()> {
    let mut cluster = cell(programs, 11, LATENCY_SERVICE_MS)?;
    let straight = StraightEndpoints::start(programs, 11)?;
    for round in 1..=3 {
        let loads = [
            ("straight", straight.callers(&format!("straight-{round}"))),
            (
                "through",
                cluster.caller_settings(&format!("plain-{round}")),
            ),
            ("keyed", cluster.caller_settings(&format!("keyed-{round}"))),
        ];
        for (name, callers) in loads {
            let callers = CallerSettings {
                rate: LATENCY_RATE,
                duration: LOAD_TIME,
                slip_millis: 1_000,
                keyed_millis: if name == "keyed" { 1_000 } else { 0 },
                threads: 128,
                ..callers
            };
            let summary = run_load(&callers, &StopFlag::default())?;
            println!("round={round} path={name} {}", summary.line());
        }
    }
    cluster.shut_down()?;
    Ok(())
}

fn overload(programs: &Path) -> anyhow::Result<()> {
    let mut cluster = cell(programs, OVERLOAD_WORKERS, OVERLOAD_SERVICE_MS)?;
    let slots = ENDPOINTS as f64 * f64::from(SLOTS);
    let capacity = slots * 1_000.0 / OVERLOAD_SERVICE_MS as f64;
    for factor in OVERLOAD_FACTORS {
        let callers = CallerSettings {
            rate: capacity * factor,
            duration: LOAD_TIME,
            slip_millis: 1_000,
            keyed_millis: 0,
            timeout: OVERLOAD_TIMEOUT,
            threads: OVERLOAD_THREADS,
            ..cluster.caller_settings(&format!("load-{factor}"))
        };
        let summary = run_load(&callers, &StopFlag::default())?;
        println!(
            "load={factor} capacity_per_second={capacity} goodput_percent={:.1} {}",
            goodput_percent(&summary, capacity),
            summary.line()
        );
    }
    cluster.shut_down()?;
    Ok(())
}

fn goodput_percent(summary: &LoadSummary, capacity: f64) -> f64 {
    let answered = summary.count(CallerOutcome::Answered) as f64;
    answered * 100.0 / LOAD_TIME.as_secs_f64() / capacity
}

/// Workers with an endpoint each and no agent beside them.
struct StraightEndpoints {
    group: ProcessGroup,
    addresses: Vec<SocketAddr>,
    _listener: HttpServer,
}

impl StraightEndpoints {
    fn start(programs: &Path, count: usize) -> anyhow::Result<Self> {
        let mut group = ProcessGroup::new("straight", programs)?;
        let mut pool = AddressPool::new();
        let seen: Arc<Mutex<Vec<SocketAddr>>> = Arc::default();
        let notices = Arc::clone(&seen);
        let listener = HttpServer::start(pool.take()?, 16, move |request| {
            let notice: Option<EndpointNotice> = request
                .data()
                .and_then(|body| serde_json::from_reader(body).ok());
            if let (Some(notice), Ok(mut seen)) = (notice, notices.lock()) {
                if !seen.contains(&notice.address) {
                    seen.push(notice.address);
                }
            }
            rouille::Response::empty_204()
        })?;
        for index in 0..count {
            let address = pool.take()?;
            let evidence = group.evidence_folder().join(format!("straight-{index}"));
            let plan = ProcessPlan::new(format!("straight-{index}"), "guavavane-standin")
                .argument("worker")
                .flag("listen", address)
                .flag("agent", listener.address())
                .flag("worker", format!("straight-{index}"))
                .flag("data-centre", "caxias")
                .flag("rack", "rack-1")
                .flag("service-ms", LATENCY_SERVICE_MS)
                .flag("evidence", evidence.display());
            group.spawn(plan)?;
            start_endpoint(address, index as u64)?;
        }
        thread::sleep(Duration::from_secs(2));
        let addresses = seen.lock().map(|seen| seen.clone()).unwrap_or_default();
        anyhow::ensure!(
            addresses.len() == count,
            "an endpoint did not announce itself"
        );
        Ok(Self {
            group,
            addresses,
            _listener: listener,
        })
    }

    fn callers(&self, name: &str) -> CallerSettings {
        let evidence = self.group.evidence_folder().join(name);
        CallerSettings {
            name: name.to_owned(),
            prefix: String::new(),
            health_interval: None,
            ..CallerSettings::new(self.addresses.clone(), "despacho", evidence)
        }
    }
}

fn start_endpoint(worker: SocketAddr, task: u64) -> anyhow::Result<()> {
    let client = WorkerClient::new(worker, Duration::from_secs(2));
    for _ in 0..100 {
        if let (Ok(facts), Ok(list)) = (client.facts(), client.attempts()) {
            client.start(&StartOrder {
                key: AttemptKey {
                    task: TaskId(task + 1),
                    attempt: AttemptNumber(1),
                },
                boot: facts.boot,
                fence: FenceNumber(1),
                program: StartProgram::Service {
                    environment: "production".try_into()?,
                    service: "despacho".try_into()?,
                    slots: SLOTS,
                    connections: 64,
                },
                demand: ResourceVector::new(1_000, 1_024, 0),
                resume_ms: 0,
                start_by_ms: list.now_ms + 10_000,
                lease_until_ms: list.now_ms + 3_600_000,
            })?;
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    bail!("the worker at {worker} does not answer")
}
