//! Run of one seed: injects faults while callers submit jobs, then checks the result.
//!
//! A generator with the given seed draws the faults, the jobs and the entries. A seed doesn't
//! repeat a run exactly: the processes run in real time, and a draw may depend on which faults are
//! active. A run passes if all accepted jobs complete after the faults have ended, no two runs of
//! a task overlap, and no run starts after one that succeeded.
//!
//! Loopback addresses by last octet: control processes from 10, entries from 30, agents from 50,
//! workers from 70, relays of workers from 90, relays of entries from 110.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use anyhow::Context;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::caller;
use crate::caller::RequestResult;
use crate::programs::ProgramRole;
use crate::programs::SoakPorts;
use crate::programs::SoakProgram;
use crate::programs::WORKER_RELAY_OCTET;
use crate::worker::run_worker;
use guavavane_standin::prelude::RelayMode;
use guavavane_standin::prelude::TcpRelay;
use guavavane_standin::simulated_worker::RunHistory;
use guavavane_standin::simulated_worker::SimulatedWorker;

/// Number of entries, each behind a relay.
const ENTRY_COUNT: u8 = 2;
/// Last octet of the address on which the relay of the first entry listens.
const ENTRY_RELAY_OCTET: u8 = 110;
/// Faults that a relay can inject into its connections.
const RELAY_FAULTS: [RelayMode; 5] = [
    RelayMode::Drop,
    RelayMode::DropForward,
    RelayMode::DropBack,
    RelayMode::Close,
    RelayMode::Delay,
];
/// Number of workers, each with an agent and behind a relay.
const WORKER_COUNT: u8 = 3;
/// Service time of a task.
const TASK_SERVICE_TIME: Duration = Duration::from_millis(250);
/// Time between two submitted jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(120);
/// Timeout for the first acknowledged configuration after the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for the completion of all accepted jobs after the faults have ended.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(40);

/// Counts of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakReport {
    /// Jobs that an entry accepted.
    pub accepted: usize,
    /// Jobs that were refused, or whose outcome the caller doesn't know.
    pub unclear: usize,
    /// Injected faults.
    pub faults: usize,
    /// Runs that workers started.
    pub runs: usize,
}

/// Processes, relays and workers of one run.
struct SoakCell {
    programs: Vec<SoakProgram>,
    /// Relays between callers and entries, then those between agents and workers.
    relays: Vec<TcpRelay>,
    ports: SoakPorts,
    subnet: u8,
    history: RunHistory,
}

impl SoakCell {
    /// Address of the relay of an entry; `number` wraps around after the last entry.
    fn entry_address(&self, number: u8) -> SocketAddr {
        SocketAddr::from((
            Ipv4Addr::new(
                127,
                0,
                self.subnet,
                ENTRY_RELAY_OCTET + number % ENTRY_COUNT,
            ),
            self.ports.front,
        ))
    }

    /// Address of a control process for operators' calls; `number` wraps around after the last one.
    fn control_address(&self, number: u8) -> SocketAddr {
        SocketAddr::from((
            Ipv4Addr::new(127, 0, self.subnet, 10 + number % 3),
            self.ports.control,
        ))
    }
}

/// Starts all processes, relays and workers, and puts a configuration in force.
fn start_cell(
    program: &Path,
    folder: &Path,
    subnet: u8,
    ports: SoakPorts,
) -> anyhow::Result<SoakCell> {
    let mut programs = Vec::new();
    for (role, count) in [
        (ProgramRole::Control, 3),
        (ProgramRole::Entry, ENTRY_COUNT),
        (ProgramRole::Agent, WORKER_COUNT),
    ] {
        for number in 0..count {
            let mut process = SoakProgram::new(role, number, subnet, ports, folder)?;
            process.start(program)?;
            programs.push(process);
        }
    }
    let cell = SoakCell {
        programs,
        relays: start_relays(subnet, ports)?,
        ports,
        subnet,
        history: RunHistory::default(),
    };
    start_workers(&cell)?;
    let deadline = Instant::now() + START_TIMEOUT;
    let mut control_number = 0;
    let hosts = [cell.entry_address(0).ip(), cell.entry_address(1).ip()];
    while !caller::put_config(cell.control_address(control_number), 1, &hosts) {
        control_number += 1;
        if Instant::now() > deadline {
            bail!("no control process acknowledged the configuration");
        }
        thread::sleep(Duration::from_millis(200));
    }
    Ok(cell)
}

/// Starts the relays of the entries and the workers.
fn start_relays(subnet: u8, ports: SoakPorts) -> anyhow::Result<Vec<TcpRelay>> {
    let address =
        |octet: u8, port: u16| SocketAddr::from((Ipv4Addr::new(127, 0, subnet, octet), port));
    let entries = (0..ENTRY_COUNT).map(|number| {
        let listen = address(ENTRY_RELAY_OCTET + number, ports.front);
        TcpRelay::start(listen, address(30 + number, ports.front))
    });
    let workers = (0..WORKER_COUNT).map(|number| {
        let listen = address(WORKER_RELAY_OCTET + number, ports.worker);
        TcpRelay::start(listen, address(70 + number, ports.worker))
    });
    entries.chain(workers).collect()
}

/// Starts the simulated workers on a separate thread.
fn start_workers(cell: &SoakCell) -> anyhow::Result<()> {
    let (subnet, ports, history) = (cell.subnet, cell.ports, cell.history.clone());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    thread::Builder::new()
        .name("workers".to_owned())
        .spawn(move || {
            runtime.block_on(async {
                for number in 0..WORKER_COUNT {
                    let worker = SimulatedWorker::new(
                        usize::from(number),
                        TASK_SERVICE_TIME,
                        history.clone(),
                    );
                    let advanced_worker = worker.clone();
                    tokio::spawn(async move {
                        loop {
                            advanced_worker.advance();
                            tokio::time::sleep(Duration::from_millis(5)).await;
                        }
                    });
                    let worker_address = (Ipv4Addr::new(127, 0, subnet, 70 + number), ports.worker);
                    let agent_address = (Ipv4Addr::new(127, 0, subnet, 50 + number), ports.control);
                    let started = run_worker(
                        worker,
                        SocketAddr::from(worker_address),
                        SocketAddr::from(agent_address),
                        usize::from(number),
                    );
                    started.await.expect("the address of a worker is free");
                }
                std::future::pending::<()>().await;
            });
        })?;
    Ok(())
}

/// Kind of a fault, with the index of its process or relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SoakFault {
    /// A process is suspended by SIGSTOP until SIGCONT.
    Suspended(usize),
    /// A process receives SIGKILL or SIGTERM and is restarted later.
    Terminated(usize),
    /// A relay drops, closes or delays its connections.
    Network(usize),
}

/// Fault that has been injected and not ended yet.
struct ActiveFault {
    fault: SoakFault,
    ends_at: Instant,
}

impl ActiveFault {
    /// Index of the affected process; none for a network fault.
    fn process_index(&self) -> Option<usize> {
        match self.fault {
            SoakFault::Suspended(process) | SoakFault::Terminated(process) => Some(process),
            SoakFault::Network(_) => None,
        }
    }
}

/// Injects a random network or process fault; false if the chosen process can't take one.
fn inject_fault(
    cell: &mut SoakCell,
    random: &mut ChaCha8Rng,
    active: &mut Vec<ActiveFault>,
) -> bool {
    let fault = if random.random_bool(0.35) {
        let relay = random.random_range(0..cell.relays.len());
        let mode = RELAY_FAULTS[random.random_range(0..RELAY_FAULTS.len())];
        cell.relays[relay].set_mode(mode);
        SoakFault::Network(relay)
    } else {
        let Some(fault) = inject_process_fault(cell, random, active) else {
            return false;
        };
        fault
    };
    let duration = Duration::from_millis(random.random_range(100..4_000));
    let ends_at = Instant::now() + duration;
    active.push(ActiveFault { fault, ends_at });
    true
}

/// Suspends or terminates a random process. A process takes one fault at a time, and at most one
/// control process is faulty: more than one failure of three voters would cost the quorum.
fn inject_process_fault(
    cell: &mut SoakCell,
    random: &mut ChaCha8Rng,
    active: &[ActiveFault],
) -> Option<SoakFault> {
    let process = random.random_range(0..cell.programs.len());
    let is_control = |index: usize| cell.programs[index].role == ProgramRole::Control;
    let mut affected = active.iter().filter_map(ActiveFault::process_index);
    if affected.any(|other| other == process || is_control(other) && is_control(process)) {
        return None;
    }
    let target = &mut cell.programs[process];
    if random.random_bool(0.4) {
        target.signal(Signal::STOP);
        return Some(SoakFault::Suspended(process));
    }
    if random.random_bool(0.5) {
        target.kill();
    } else {
        target.signal(Signal::TERM);
    }
    Some(SoakFault::Terminated(process))
}

/// Ends the faults whose time is over, or all of them, and restarts terminated processes.
fn end_faults(
    cell: &mut SoakCell,
    program: &Path,
    active: &mut Vec<ActiveFault>,
    end_all: bool,
) -> anyhow::Result<()> {
    let now = Instant::now();
    let (ended, remaining) = std::mem::take(active)
        .into_iter()
        .partition::<Vec<_>, _>(|fault| end_all || fault.ends_at <= now);
    *active = remaining;
    for fault in ended {
        match fault.fault {
            SoakFault::Suspended(index) => cell.programs[index].signal(Signal::CONT),
            SoakFault::Terminated(index) => {
                cell.programs[index].kill();
                cell.programs[index].start(program)?;
            }
            SoakFault::Network(index) => {
                let is_still_faulty = active
                    .iter()
                    .any(|other| other.fault == SoakFault::Network(index));
                if !is_still_faulty {
                    cell.relays[index].set_mode(RelayMode::Pass);
                }
            }
        }
    }
    Ok(())
}

/// Runs one seed with faults for `fault_duration` and checks the result.
///
/// All addresses are `127.0.subnet.x`. The logs of a failed run are kept.
///
/// # Errors
///
/// Fails if a process can't be started or a check fails; the error names the folder of the logs.
pub fn run_soak(
    program: &Path,
    seed: u64,
    fault_duration: Duration,
    subnet: u8,
    ports: SoakPorts,
) -> anyhow::Result<SoakReport> {
    let folder = tempfile::tempdir()?;
    let result = run_in_folder(program, folder.path(), seed, fault_duration, subnet, ports);
    result.with_context(|| format!("logs are in {}", folder.keep().display()))
}

fn run_in_folder(
    program: &Path,
    folder: &Path,
    seed: u64,
    fault_duration: Duration,
    subnet: u8,
    ports: SoakPorts,
) -> anyhow::Result<SoakReport> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut cell = start_cell(program, folder, subnet, ports)?;
    let mut report = SoakReport::default();
    let mut submissions = Vec::new();
    let mut active = Vec::new();
    let faults_end = Instant::now() + fault_duration;
    let mut key = 0;
    while Instant::now() < faults_end {
        end_faults(&mut cell, program, &mut active, false)?;
        if random.random_bool(0.15) && inject_fault(&mut cell, &mut random, &mut active) {
            report.faults += 1;
        }
        key += 1;
        let entry = cell.entry_address(random.random_range(0..2));
        let tasks = random.random_range(1..4);
        let (first_entry, retry_entry) = (entry, cell.entry_address(random.random_range(0..2)));
        let submission = thread::spawn(move || {
            let result = caller::submit(first_entry, key, tasks);
            if matches!(result, RequestResult::Answered(200, _)) {
                return result;
            }
            caller::submit(retry_entry, key, tasks)
        });
        submissions.push((key, submission));
        thread::sleep(JOB_INTERVAL);
    }
    end_faults(&mut cell, program, &mut active, true)?;
    let mut accepted_keys = Vec::new();
    for (key, submission) in submissions {
        let result = submission.join().ok().context("a caller thread panicked")?;
        if matches!(result, RequestResult::Answered(200, _)) {
            accepted_keys.push(key);
        } else {
            report.unclear += 1;
        }
    }
    report.accepted = accepted_keys.len();
    wait_until_completed(&cell, accepted_keys)?;
    report.runs = cell.history.all().len();
    match cell.history.find_duplicate_run() {
        Some(fault) => bail!("seed {seed}: {fault}"),
        None => Ok(report),
    }
}

/// Waits until all accepted jobs have completed; fails if one has failed or is unknown.
fn wait_until_completed(cell: &SoakCell, mut pending_keys: Vec<u64>) -> anyhow::Result<()> {
    let deadline = Instant::now() + COMPLETION_TIMEOUT;
    let mut queries = 0;
    while let Some(key) = pending_keys.pop() {
        queries += 1;
        match caller::query_state(cell.entry_address(queries), key) {
            RequestResult::Answered(200, text) if text.contains("completed") => continue,
            RequestResult::Answered(200, text) if !text.contains("failed") => {}
            RequestResult::Answered(503 | 504, _) | RequestResult::Unanswered => {}
            result => bail!("state query of accepted job {key:016x} returned {result:?}"),
        }
        if Instant::now() > deadline {
            bail!(
                "accepted job {key:016x} and {} more have not completed",
                pending_keys.len()
            );
        }
        pending_keys.insert(0, key);
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
