//! Measures request latency and goodput on clusters of processes on loopback.
//!
//! The first part compares the latency of requests straight to endpoints, through entries, and
//! through entries with an idempotency key. The second part measures goodput, the rate of answered
//! requests relative to the capacity of the endpoints, at several offered loads. Run it in release
//! mode:
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

/// Duration of each load.
const LOAD_TIME: Duration = Duration::from_secs(10);

/// Request rate of the latency comparison, in requests per second.
const LATENCY_REQUESTS_PER_SECOND: f64 = 300.0;

/// Service time of a request in the latency comparison, in ms.
const LATENCY_SERVICE_MS: u64 = 5;

/// Service time of a request in the overload measurement, in ms.
const OVERLOAD_SERVICE_MS: u64 = 200;

/// Number of endpoints that the document declares.
const ENDPOINTS: usize = 11;

/// Number of workers in the overload measurement.
const OVERLOAD_WORKERS: usize = 3;

/// Slots of an endpoint, as the document declares them.
const SLOTS: u16 = 8;

/// Offered loads, relative to the capacity of the endpoints.
const OFFERED_LOADS: [f64; 4] = [0.5, 0.9, 1.5, 3.0];

/// Timeout of a caller in the overload measurement.
const OVERLOAD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Sender threads in the overload measurement: more than requests can be open at once, so that the
/// load stays open-loop.
const OVERLOAD_THREADS: usize = 1_600;

fn main() -> anyhow::Result<()> {
    let program = std::env::current_exe()?;
    let programs = program
        .parent()
        .and_then(Path::parent)
        .context("the path of this example is not PROFILE/examples/EXAMPLE in the target folder")?;
    compare_latencies(programs)?;
    measure_overload(programs)
}

fn start_cluster(
    programs: &Path,
    workers: usize,
    service_ms: u64,
) -> anyhow::Result<RunningCluster> {
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
    // Batch tasks slow requests down: nothing is measured until the declared batch run has finished.
    thread::sleep(Duration::from_secs(12));
    Ok(cluster)
}

fn compare_latencies(programs: &Path) -> anyhow::Result<()> {
    let mut cluster = start_cluster(programs, 11, LATENCY_SERVICE_MS)?;
    let straight_endpoints = StraightEndpoints::start(programs, 11)?;
    for round in 1..=3 {
        let loads = [
            (
                "straight",
                straight_endpoints.load_settings(&format!("straight-{round}")),
            ),
            (
                "through",
                cluster.caller_settings(&format!("plain-{round}")),
            ),
            ("keyed", cluster.caller_settings(&format!("keyed-{round}"))),
        ];
        for (name, load_settings) in loads {
            let load_settings = CallerSettings {
                rate: LATENCY_REQUESTS_PER_SECOND,
                duration: LOAD_TIME,
                slip_millis: 1_000,
                keyed_millis: if name == "keyed" { 1_000 } else { 0 },
                threads: 128,
                ..load_settings
            };
            let summary = run_load(&load_settings, &StopFlag::default())?;
            println!("round={round} path={name} {}", summary.line());
        }
    }
    cluster.shut_down()?;
    Ok(())
}

fn measure_overload(programs: &Path) -> anyhow::Result<()> {
    let mut cluster = start_cluster(programs, OVERLOAD_WORKERS, OVERLOAD_SERVICE_MS)?;
    let slots = ENDPOINTS as f64 * f64::from(SLOTS);
    let capacity = slots * 1_000.0 / OVERLOAD_SERVICE_MS as f64;
    for factor in OFFERED_LOADS {
        let load_settings = CallerSettings {
            rate: capacity * factor,
            duration: LOAD_TIME,
            slip_millis: 1_000,
            keyed_millis: 0,
            timeout: OVERLOAD_TIMEOUT,
            threads: OVERLOAD_THREADS,
            ..cluster.caller_settings(&format!("load-{factor}"))
        };
        let summary = run_load(&load_settings, &StopFlag::default())?;
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

/// Workers without agents, each with one endpoint that is called without entries.
struct StraightEndpoints {
    group: ProcessGroup,
    addresses: Vec<SocketAddr>,
    _listener: HttpServer,
}

impl StraightEndpoints {
    fn start(programs: &Path, count: usize) -> anyhow::Result<Self> {
        let mut group = ProcessGroup::new("straight", programs)?;
        let mut pool = AddressPool::new();
        let announced: Arc<Mutex<Vec<SocketAddr>>> = Arc::default();
        let announced_by_listener = Arc::clone(&announced);
        let listener = HttpServer::start(pool.take()?, 16, move |request| {
            let notice: Option<EndpointNotice> = request
                .data()
                .and_then(|body| serde_json::from_reader(body).ok());
            if let (Some(notice), Ok(mut announced)) = (notice, announced_by_listener.lock()) {
                if !announced.contains(&notice.address) {
                    announced.push(notice.address);
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
        let addresses = announced
            .lock()
            .map(|announced| announced.clone())
            .unwrap_or_default();
        anyhow::ensure!(
            addresses.len() == count,
            "not all endpoints announced themselves within 2 s"
        );
        Ok(Self {
            group,
            addresses,
            _listener: listener,
        })
    }

    fn load_settings(&self, name: &str) -> CallerSettings {
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
        if let (Ok(facts), Ok(list)) = (client.worker_info(), client.list_attempts()) {
            client.start_attempt(&StartOrder {
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
    bail!("the worker at {worker} did not answer within 100 tries")
}
