//! Command line of `guavavane-standin`: options, and the subcommands that they start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::bail;
use anyhow::Context;
use anyhow::Result;
use bpaf::Bpaf;

use crate::callers::load::run_load;
use crate::callers::settings::CallerSettings;
use crate::checker::check_records;
use crate::checker::CheckReport;
use crate::checker::CheckRules;
use crate::checker::OUT_BOUND_MS;
use crate::clock::StopFlag;
use crate::demo::run_demo;
use crate::demo::DemoSettings;
use crate::evidence::read_folder;
use crate::relay::TcpRelay;
use crate::worker::profile::TaskProfile;
use crate::worker::server::WorkerServer;
use crate::worker::settings::new_boot_id;
use crate::worker::settings::EndpointSettings;
use crate::worker::settings::WorkerSettings;
use guavavane_contract::prelude::WorkerFacts;
use guavavane_model::prelude::BootId;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::RackName;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::WorkerName;

/// Flags of the subcommand `worker`.
#[derive(Clone, Debug, Bpaf)]
pub struct WorkerFlags {
    /// Address at which the worker serves its HTTP contract
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// HTTP address of the agent on the same machine; without it, endpoints are not announced
    #[bpaf(argument("ADDR"), optional)]
    agent: Option<SocketAddr>,
    /// Name of the worker
    #[bpaf(argument("NAME"))]
    worker: WorkerName,
    /// Data centre of the worker
    #[bpaf(argument("NAME"))]
    data_centre: DataCentreName,
    /// Rack of the worker
    #[bpaf(argument("NAME"))]
    rack: RackName,
    /// Boot identity of the worker; default: the time since boot, in microseconds
    #[bpaf(argument("N"), optional)]
    boot: Option<u64>,
    /// Processor capacity, in thousandths of a core
    #[bpaf(argument("N"), fallback(16_000))]
    cpu_millis: u64,
    /// Memory capacity, in MiB
    #[bpaf(argument("N"), fallback(60_000))]
    memory_mib: u64,
    /// Number of accelerators
    #[bpaf(argument("N"), fallback(0))]
    accelerators: u64,
    /// Evidence file to which the worker appends its events
    #[bpaf(argument("FILE"))]
    evidence: PathBuf,
    /// Seed of the drawn failures and run times
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Fraction of batch attempts that fail, in thousandths
    #[bpaf(argument("N"), fallback(0))]
    failing_millis: u64,
    /// Largest deviation of actual from declared run times, in thousandths
    #[bpaf(argument("N"), fallback(0))]
    run_error_millis: u64,
    /// Slowdown that each batch task adds to requests, in thousandths
    #[bpaf(argument("N"), fallback(50))]
    batch_noise_millis: u64,
    /// Slowdown that each busy slot adds to batch tasks, in thousandths
    #[bpaf(argument("N"), fallback(20))]
    slot_noise_millis: u64,
    /// Service time of a request without interference, in ms
    #[bpaf(argument("MS"), fallback(20))]
    service_ms: u64,
    /// Padding of answers, in bytes
    #[bpaf(argument("N"), fallback(256))]
    answer_bytes: usize,
    /// Time that writing a checkpoint takes, in ms
    #[bpaf(argument("MS"), fallback(20))]
    checkpoint_ms: u64,
    /// Delay from the end of a usage interval until it is reported, in ms
    #[bpaf(argument("MS"), fallback(3_000))]
    usage_lag_ms: u64,
}

/// Flags of the subcommand `callers`.
#[derive(Clone, Debug, Bpaf)]
pub struct CallerFlags {
    /// Address of an entry; may be repeated
    #[bpaf(argument("ADDR"), some("at least one --target ADDR is needed"))]
    target: Vec<SocketAddr>,
    /// Service to which requests are sent
    #[bpaf(argument("NAME"), fallback("despacho".to_owned()))]
    service: String,
    /// Send straight to endpoints: paths have no service prefix, and health is not checked
    straight: bool,
    /// Request rate, in requests per second
    #[bpaf(argument("N"), fallback(100.0))]
    rate: f64,
    /// Time for which requests are sent, in ms
    #[bpaf(argument("MS"), fallback(10_000))]
    duration_ms: u64,
    /// Fraction of requests that are slip entries (writes), in thousandths
    #[bpaf(argument("N"), fallback(500))]
    slip_millis: u32,
    /// Fraction of slip entries with an idempotency key, in thousandths
    #[bpaf(argument("N"), fallback(500))]
    keyed_millis: u32,
    /// Timeout of one send, in ms
    #[bpaf(argument("MS"), fallback(5_000))]
    timeout_ms: u64,
    /// Maximum number of sends of a read or a keyed slip entry
    #[bpaf(argument("N"), fallback(3))]
    sends: u32,
    /// Number of sender threads
    #[bpaf(argument("N"), fallback(64))]
    threads: usize,
    /// Prefix of the request identities, unique among loads
    #[bpaf(argument("NAME"), fallback("load".to_owned()))]
    name: String,
    /// Seed of the random request mix
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Evidence file to which sent and settled requests are appended
    #[bpaf(argument("FILE"))]
    evidence: PathBuf,
}

/// Flags of the subcommand `judge`.
#[derive(Clone, Debug, Bpaf)]
pub struct JudgeFlags {
    /// Count broken connections and timeouts as unknown, since processes were killed or frozen
    entries_killed: bool,
    /// Allow a task to run again if its completion could not be reported before its lease expired
    agents_silent: bool,
    /// Time after which nothing may start in a data centre that was taken out, in ms
    #[bpaf(argument("MS"), fallback(OUT_BOUND_MS))]
    out_bound_ms: u64,
    /// Folder of the evidence files
    #[bpaf(positional("FOLDER"))]
    folder: PathBuf,
}

/// Flags of the subcommand `relay`.
#[derive(Clone, Debug, Bpaf)]
pub struct RelayFlags {
    /// Address at which the relay accepts connections
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Address to which connections are forwarded
    #[bpaf(argument("ADDR"))]
    target: SocketAddr,
    /// Address that serves `POST /mode`; the body is pass, drop, drop-forward, drop-back, close or
    /// delay
    #[bpaf(argument("ADDR"))]
    control: SocketAddr,
}

/// Flags of the subcommand `demo`.
#[derive(Clone, Debug, Bpaf)]
pub struct DemoFlags {
    /// Folder of the example documents
    #[bpaf(argument("FOLDER"), fallback(PathBuf::from("examples")))]
    examples: PathBuf,
    /// Number of tasks in one run of the batch settlement, as the document declares it
    #[bpaf(argument("N"), fallback(40))]
    batch_tasks: u64,
    /// Keep the folder with logs and evidence
    keep: bool,
}

/// Test doubles for trials of guavavane: worker, callers and relay, with a checker and a demo.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub enum StandinCommand {
    /// Runs a platform worker with the endpoints that it is ordered to start
    #[bpaf(command("worker"))]
    Worker(#[bpaf(external(worker_flags))] WorkerFlags),
    /// Sends requests at a fixed rate
    #[bpaf(command("callers"))]
    Callers(#[bpaf(external(caller_flags))] CallerFlags),
    /// Forwards TCP connections and simulates network partitions on demand
    #[bpaf(command("relay"))]
    Relay(#[bpaf(external(relay_flags))] RelayFlags),
    /// Runs the example cell cooperativa under load; exit status 0 only if all invariants hold
    #[bpaf(command("demo"))]
    Demo(#[bpaf(external(demo_flags))] DemoFlags),
    /// Checks the invariants over evidence files; exit status 0 only if all hold
    #[bpaf(command("judge"))]
    Judge(#[bpaf(external(judge_flags))] JudgeFlags),
}

/// Parses the command line of this process and runs its subcommand.
pub fn run() -> Result<()> {
    match standin_command().run() {
        StandinCommand::Worker(flags) => run_worker(flags),
        StandinCommand::Callers(flags) => run_callers(flags),
        StandinCommand::Relay(flags) => run_relay(&flags),
        StandinCommand::Demo(flags) => run_demo_and_print(flags),
        StandinCommand::Judge(flags) => run_checker(&flags),
    }
}

fn run_worker(flags: WorkerFlags) -> Result<()> {
    let stop = StopFlag::on_signals()?;
    let server = WorkerServer::start(worker_settings(flags))?;
    stop.wait();
    server.shut_down();
    Ok(())
}

fn worker_settings(flags: WorkerFlags) -> WorkerSettings {
    let facts = WorkerFacts {
        worker: flags.worker,
        data_centre: flags.data_centre,
        rack: flags.rack,
        boot: flags.boot.map_or_else(new_boot_id, BootId),
        capacity: ResourceVector::new(flags.cpu_millis, flags.memory_mib, flags.accelerators),
    };
    let base = WorkerSettings::new(flags.listen, facts, flags.evidence);
    WorkerSettings {
        agent: flags.agent,
        profile: TaskProfile {
            seed: flags.seed,
            failing_millis: flags.failing_millis,
            run_error_millis: flags.run_error_millis,
            batch_noise_millis: flags.batch_noise_millis,
            slot_noise_millis: flags.slot_noise_millis,
            ..TaskProfile::default()
        },
        endpoint: EndpointSettings {
            service_time: Duration::from_millis(flags.service_ms),
            answer_bytes: flags.answer_bytes,
            ..EndpointSettings::default()
        },
        checkpoint_time: Duration::from_millis(flags.checkpoint_ms),
        usage_lag: Duration::from_millis(flags.usage_lag_ms),
        ..base
    }
}

fn run_callers(flags: CallerFlags) -> Result<()> {
    let stop = StopFlag::on_signals()?;
    let summary = run_load(&caller_settings(flags), &stop)?;
    println!("{}", summary.line());
    Ok(())
}

fn caller_settings(flags: CallerFlags) -> CallerSettings {
    let base = CallerSettings::new(flags.target, &flags.service, flags.evidence);
    let (prefix, health_interval) = if flags.straight {
        (String::new(), None)
    } else {
        (base.prefix.clone(), base.health_interval)
    };
    CallerSettings {
        prefix,
        health_interval,
        rate: flags.rate,
        duration: Duration::from_millis(flags.duration_ms),
        slip_millis: flags.slip_millis,
        keyed_millis: flags.keyed_millis,
        timeout: Duration::from_millis(flags.timeout_ms),
        sends: flags.sends,
        threads: flags.threads,
        name: flags.name,
        seed: flags.seed,
        ..base
    }
}

fn run_relay(flags: &RelayFlags) -> Result<()> {
    let stop = StopFlag::on_signals()?;
    let relay = TcpRelay::start(flags.listen, flags.target)?;
    relay.serve_control(flags.control)?;
    stop.wait();
    Ok(())
}

fn run_checker(flags: &JudgeFlags) -> Result<()> {
    let rules = CheckRules {
        entries_killed: flags.entries_killed,
        agents_silent: flags.agents_silent,
        out_bound_ms: flags.out_bound_ms,
    };
    let records = read_folder(&flags.folder)?;
    print_report(&check_records(&records, &rules))
}

fn run_demo_and_print(flags: DemoFlags) -> Result<()> {
    let program = std::env::current_exe()?;
    let programs = program
        .parent()
        .context("the path of this program has no folder")?;
    let settings = DemoSettings {
        examples: flags.examples,
        programs: programs.to_owned(),
        batch_tasks: flags.batch_tasks,
        keep: flags.keep,
    };
    print_report(&run_demo(&settings)?)
}

fn print_report(report: &CheckReport) -> Result<()> {
    for violation in &report.violations {
        eprintln!("{violation}");
    }
    println!("{}", report.line());
    if !report.invariants_hold() {
        bail!("{} invariant violations", report.violations.len());
    }
    Ok(())
}
