//! The command line of `guavavane-standin`.

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

/// Flags of a worker.
#[derive(Clone, Debug, Bpaf)]
pub struct WorkerFlags {
    /// Address at which the worker takes orders
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Address of the agent on the same machine
    #[bpaf(argument("ADDR"), optional)]
    agent: Option<SocketAddr>,
    /// Name of the worker
    #[bpaf(argument("NAME"))]
    worker: WorkerName,
    /// Its data centre
    #[bpaf(argument("NAME"))]
    data_centre: DataCentreName,
    /// Its rack
    #[bpaf(argument("NAME"))]
    rack: RackName,
    /// Its boot; drawn anew without this flag
    #[bpaf(argument("N"), optional)]
    boot: Option<u64>,
    /// Processors, in thousandths of a core
    #[bpaf(argument("N"), fallback(16_000))]
    cpu_millis: u64,
    /// Memory, in MiB
    #[bpaf(argument("N"), fallback(60_000))]
    memory_mib: u64,
    /// Accelerators
    #[bpaf(argument("N"), fallback(0))]
    accelerators: u64,
    /// File to which it appends its evidence
    #[bpaf(argument("FILE"))]
    evidence: PathBuf,
    /// Seed of what the declarations do not say
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Share of batch attempts that fail, in thousandths
    #[bpaf(argument("N"), fallback(0))]
    failing_millis: u64,
    /// Largest deviation of real run times, in thousandths
    #[bpaf(argument("N"), fallback(0))]
    run_error_millis: u64,
    /// Slowdown of requests by each batch task, in thousandths
    #[bpaf(argument("N"), fallback(50))]
    batch_noise_millis: u64,
    /// Slowdown of batch tasks by each busy slot, in thousandths
    #[bpaf(argument("N"), fallback(20))]
    slot_noise_millis: u64,
    /// Time that a request takes alone, in ms
    #[bpaf(argument("MS"), fallback(20))]
    service_ms: u64,
    /// Padding of answers, in bytes
    #[bpaf(argument("N"), fallback(256))]
    answer_bytes: usize,
    /// Time that a checkpoint takes, in ms
    #[bpaf(argument("MS"), fallback(20))]
    checkpoint_ms: u64,
    /// Lag of usage reports, in ms
    #[bpaf(argument("MS"), fallback(3_000))]
    usage_lag_ms: u64,
}

/// Flags of a load.
#[derive(Clone, Debug, Bpaf)]
pub struct CallerFlags {
    /// Address of an entry; may be repeated
    #[bpaf(argument("ADDR"), some("at least one --target ADDR is needed"))]
    target: Vec<SocketAddr>,
    /// Service that is called
    #[bpaf(argument("NAME"), fallback("despacho".to_owned()))]
    service: String,
    /// Targets are endpoints: paths carry no service and no balancer checks health
    straight: bool,
    /// Requests a second
    #[bpaf(argument("N"), fallback(100.0))]
    rate: f64,
    /// How long requests are sent, in ms
    #[bpaf(argument("MS"), fallback(10_000))]
    duration_ms: u64,
    /// Share of slip entries, in thousandths
    #[bpaf(argument("N"), fallback(500))]
    slip_millis: u32,
    /// Share of slip entries with an idempotency key, in thousandths
    #[bpaf(argument("N"), fallback(500))]
    keyed_millis: u32,
    /// Time-out of a send, in ms
    #[bpaf(argument("MS"), fallback(5_000))]
    timeout_ms: u64,
    /// Largest number of sends of a keyed slip entry
    #[bpaf(argument("N"), fallback(3))]
    sends: u32,
    /// Senders at once
    #[bpaf(argument("N"), fallback(64))]
    threads: usize,
    /// First part of the callers' ids, unique among loads
    #[bpaf(argument("NAME"), fallback("load".to_owned()))]
    name: String,
    /// Seed of the mix
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// File to which the evidence is appended
    #[bpaf(argument("FILE"))]
    evidence: PathBuf,
}

/// Flags of the judge.
#[derive(Clone, Debug, Bpaf)]
pub struct JudgeFlags {
    /// Count broken connections and time-outs as unknown: processes were killed or frozen
    entries_killed: bool,
    /// Let tasks run again whose end could not be reported before their lease was over
    agents_silent: bool,
    /// Bound on starts after a data centre was taken out, in ms
    #[bpaf(argument("MS"), fallback(OUT_BOUND_MS))]
    out_bound_ms: u64,
    /// Folder of the evidence files
    #[bpaf(positional("FOLDER"))]
    folder: PathBuf,
}

/// Flags of the relay.
#[derive(Clone, Debug, Bpaf)]
pub struct RelayFlags {
    /// Address at which connections arrive
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Address to which they are relayed
    #[bpaf(argument("ADDR"))]
    target: SocketAddr,
    /// Address that takes a mode as the body of `POST /mode`: pass, drop, drop-forward,
    /// drop-back or close
    #[bpaf(argument("ADDR"))]
    control: SocketAddr,
}

/// Flags of the demo.
#[derive(Clone, Debug, Bpaf)]
pub struct DemoFlags {
    /// Folder of the example documents
    #[bpaf(argument("FOLDER"), fallback(PathBuf::from("examples")))]
    examples: PathBuf,
    /// Tasks of one run of the settlement
    #[bpaf(argument("N"), fallback(40))]
    batch_tasks: u64,
    /// Keep logs and evidence
    keep: bool,
}

/// Stand-ins for tests and trials of guavavane.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub enum StandinCommand {
    /// Runs a worker of the platform with the endpoints that it is ordered to start
    #[bpaf(command("worker"))]
    Worker(#[bpaf(external(worker_flags))] WorkerFlags),
    /// Sends requests at a fixed rate
    #[bpaf(command("callers"))]
    Callers(#[bpaf(external(caller_flags))] CallerFlags),
    /// Relays TCP connections and cuts them silently on demand
    #[bpaf(command("relay"))]
    Relay(#[bpaf(external(relay_flags))] RelayFlags),
    /// Runs the Cooperativa's cell through one short day; exit status 0 only if it was good
    #[bpaf(command("demo"))]
    Demo(#[bpaf(external(demo_flags))] DemoFlags),
    /// Counts from evidence files; exit status 0 only if nothing was broken
    #[bpaf(command("judge"))]
    Judge(#[bpaf(external(judge_flags))] JudgeFlags),
}

/// Runs the command line of this process.
pub fn run() -> Result<()> {
    match standin_command().run() {
        StandinCommand::Worker(flags) => run_worker(flags),
        StandinCommand::Callers(flags) => run_callers(flags),
        StandinCommand::Relay(flags) => run_relay(&flags),
        StandinCommand::Demo(flags) => run_demo_day(flags),
        StandinCommand::Judge(flags) => run_judge(&flags),
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

fn run_judge(flags: &JudgeFlags) -> Result<()> {
    let rules = CheckRules {
        entries_killed: flags.entries_killed,
        agents_silent: flags.agents_silent,
        out_bound_ms: flags.out_bound_ms,
    };
    let records = read_folder(&flags.folder)?;
    print_report(&check_records(&records, &rules))
}

fn run_demo_day(flags: DemoFlags) -> Result<()> {
    let program = std::env::current_exe()?;
    let programs = program.parent().context("folder of this program")?;
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
