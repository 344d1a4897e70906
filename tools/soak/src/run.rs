//! One soak: faults mixed by a seed, jobs all the while, and the verdict.

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
use crate::caller::CallerWord;
use crate::programs::ProgramRole;
use crate::programs::SoakPorts;
use crate::programs::SoakProgram;
use crate::programs::RELAY_BASE;
use crate::worker::run_worker;
use guavavane_standin::prelude::RelayMode;
use guavavane_standin::prelude::TcpRelay;
use guavavane_standin::simulated_worker::RunHistory;
use guavavane_standin::simulated_worker::SimulatedWorker;

/// Number of entries.
const ENTRIES: u8 = 2;
/// Last part of the address at which the first entry's relay listens.
const ENTRY_RELAY_BASE: u8 = 110;
/// What a relay may do to the connections through it.
const RELAY_FAULTS: [RelayMode; 5] = [
    RelayMode::Drop,
    RelayMode::DropForward,
    RelayMode::DropBack,
    RelayMode::Close,
    RelayMode::Delay,
];
/// Workers, each with its agent.
const WORKERS: u8 = 3;
/// Run time of a task.
const WORK: Duration = Duration::from_millis(250);
/// Time between two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(120);
/// Longest wait for the cell at its start.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Longest wait for all accepted jobs once the faults are over.
const SETTLE_LIMIT: Duration = Duration::from_secs(40);

/// What a soak did and saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakReport {
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Jobs that were refused or whose outcome the caller does not know.
    pub unclear: usize,
    /// Faults that were injected.
    pub faults: usize,
    /// Runs that workers began.
    pub runs: usize,
}

struct SoakCell {
    programs: Vec<SoakProgram>,
    /// Between callers and entries, and between agents and workers.
    relays: Vec<TcpRelay>,
    ports: SoakPorts,
    net: u8,
    history: RunHistory,
}

impl SoakCell {
    fn entry(&self, number: u8) -> SocketAddr {
        SocketAddr::from((
            Ipv4Addr::new(127, 0, self.net, ENTRY_RELAY_BASE + number % ENTRIES),
            self.ports.front,
        ))
    }

    fn control(&self, number: u8) -> SocketAddr {
        SocketAddr::from((
            Ipv4Addr::new(127, 0, self.net, 10 + number % 3),
            self.ports.control,
        ))
    }
}

fn start_cell(
    program: &Path,
    folder: &Path,
    net: u8,
    ports: SoakPorts,
) -> anyhow::Result<SoakCell> {
    let mut programs = Vec::new();
    for (role, count) in [
        (ProgramRole::Control, 3),
        (ProgramRole::Entry, ENTRIES),
        (ProgramRole::Agent, WORKERS),
    ] {
        for number in 0..count {
            let mut started = SoakProgram::new(role, number, net, ports, folder)?;
            started.start(program)?;
            programs.push(started);
        }
    }
    let cell = SoakCell {
        programs,
        relays: start_relays(net, ports)?,
        ports,
        net,
        history: RunHistory::default(),
    };
    start_workers(&cell)?;
    let until = Instant::now() + START_LIMIT;
    let mut control = 0;
    let hosts = [cell.entry(0).ip(), cell.entry(1).ip()];
    while !caller::put_config(cell.control(control), 1, &hosts) {
        control += 1;
        if Instant::now() > until {
            bail!("no configuration is acknowledged");
        }
        thread::sleep(Duration::from_millis(200));
    }
    Ok(cell)
}

/// Starts the relays in front of entries and workers.
fn start_relays(net: u8, ports: SoakPorts) -> anyhow::Result<Vec<TcpRelay>> {
    let address = |last: u8, port: u16| SocketAddr::from((Ipv4Addr::new(127, 0, net, last), port));
    let entries = (0..ENTRIES).map(|number| {
        let listen = address(ENTRY_RELAY_BASE + number, ports.front);
        TcpRelay::start(listen, address(30 + number, ports.front))
    });
    let workers = (0..WORKERS).map(|number| {
        let listen = address(RELAY_BASE + number, ports.worker);
        TcpRelay::start(listen, address(70 + number, ports.worker))
    });
    entries.chain(workers).collect()
}

/// Starts the simulated workers on a thread of their own.
fn start_workers(cell: &SoakCell) -> anyhow::Result<()> {
    let (net, ports, history) = (cell.net, cell.ports, cell.history.clone());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    thread::Builder::new()
        .name("workers".to_owned())
        .spawn(move || {
            runtime.block_on(async {
                for number in 0..WORKERS {
                    let worker = SimulatedWorker::new(usize::from(number), WORK, history.clone());
                    let advancing = worker.clone();
                    tokio::spawn(async move {
                        loop {
                            advancing.advance();
                            tokio::time::sleep(Duration::from_millis(5)).await;
                        }
                    });
                    let address = (Ipv4Addr::new(127, 0, net, 70 + number), ports.worker);
                    let agent = (Ipv4Addr::new(127, 0, net, 50 + number), ports.control);
                    let served = run_worker(
                        worker,
                        SocketAddr::from(address),
                        SocketAddr::from(agent),
                        usize::from(number),
                    );
                    served.await.expect("the address of a worker is free");
                }
                std::future::pending::<()>().await;
            });
        })?;
    Ok(())
}

/// What a fault does, and to which program or relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SoakFault {
    /// A process stands still.
    Frozen(usize),
    /// A process is killed or asked to end, and comes back.
    Ended(usize),
    /// The connections of a relay suffer.
    Relayed(usize),
}

/// A fault that goes on.
struct OpenFault {
    fault: SoakFault,
    until: Instant,
}

impl OpenFault {
    fn program(&self) -> Option<usize> {
        match self.fault {
            SoakFault::Frozen(program) | SoakFault::Ended(program) => Some(program),
            SoakFault::Relayed(_) => None,
        }
    }
}

/// Begins a fault, and never on a second control process.
fn inject(cell: &mut SoakCell, random: &mut ChaCha8Rng, open: &mut Vec<OpenFault>) -> bool {
    let fault = if random.random_bool(0.35) {
        let relay = random.random_range(0..cell.relays.len());
        let mode = RELAY_FAULTS[random.random_range(0..RELAY_FAULTS.len())];
        cell.relays[relay].set_mode(mode);
        SoakFault::Relayed(relay)
    } else {
        let Some(fault) = inject_process(cell, random, open) else {
            return false;
        };
        fault
    };
    let length = Duration::from_millis(random.random_range(100..4_000));
    let until = Instant::now() + length;
    open.push(OpenFault { fault, until });
    true
}

fn inject_process(
    cell: &mut SoakCell,
    random: &mut ChaCha8Rng,
    open: &[OpenFault],
) -> Option<SoakFault> {
    let program = random.random_range(0..cell.programs.len());
    let is_control = |index: usize| cell.programs[index].role == ProgramRole::Control;
    let mut taken = open.iter().filter_map(OpenFault::program);
    if taken.any(|other| other == program || is_control(other) && is_control(program)) {
        return None;
    }
    let target = &mut cell.programs[program];
    if random.random_bool(0.4) {
        target.signal(Signal::STOP);
        return Some(SoakFault::Frozen(program));
    }
    if random.random_bool(0.5) {
        target.kill();
    } else {
        target.signal(Signal::TERM);
    }
    Some(SoakFault::Ended(program))
}

fn end_faults(
    cell: &mut SoakCell,
    program: &Path,
    open: &mut Vec<OpenFault>,
    all: bool,
) -> anyhow::Result<()> {
    let now = Instant::now();
    let (ended, left) = std::mem::take(open)
        .into_iter()
        .partition::<Vec<_>, _>(|fault| all || fault.until <= now);
    *open = left;
    for fault in ended {
        match fault.fault {
            SoakFault::Frozen(index) => cell.programs[index].signal(Signal::CONT),
            SoakFault::Ended(index) => {
                cell.programs[index].kill();
                cell.programs[index].start(program)?;
            }
            SoakFault::Relayed(index) => {
                let still = open
                    .iter()
                    .any(|other| other.fault == SoakFault::Relayed(index));
                if !still {
                    cell.relays[index].set_mode(RelayMode::Pass);
                }
            }
        }
    }
    Ok(())
}

/// Runs one seed for `length` and judges it; the logs of a failure are kept.
///
/// # Errors
///
/// Fails with what was promised and not kept, and with the folder of the logs.
pub fn run_soak(
    program: &Path,
    seed: u64,
    length: Duration,
    net: u8,
    ports: SoakPorts,
) -> anyhow::Result<SoakReport> {
    let folder = tempfile::tempdir()?;
    let judged = soak(program, folder.path(), seed, length, net, ports);
    judged.with_context(|| format!("logs are in {}", folder.keep().display()))
}

fn soak(
    program: &Path,
    folder: &Path,
    seed: u64,
    length: Duration,
    net: u8,
    ports: SoakPorts,
) -> anyhow::Result<SoakReport> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut cell = start_cell(program, folder, net, ports)?;
    let mut report = SoakReport::default();
    let mut accepted = Vec::new();
    let mut open = Vec::new();
    let until = Instant::now() + length;
    let mut key = 0;
    while Instant::now() < until {
        end_faults(&mut cell, program, &mut open, false)?;
        if random.random_bool(0.15) && inject(&mut cell, &mut random, &mut open) {
            report.faults += 1;
        }
        key += 1;
        let entry = cell.entry(random.random_range(0..2));
        let tasks = random.random_range(1..4);
        let (first, resend) = (entry, cell.entry(random.random_range(0..2)));
        let words = thread::spawn(move || {
            let word = caller::submit(first, key, tasks);
            if matches!(word, CallerWord::Answered(200, _)) {
                return word;
            }
            caller::submit(resend, key, tasks)
        });
        accepted.push((key, words));
        thread::sleep(JOB_INTERVAL);
    }
    end_faults(&mut cell, program, &mut open, true)?;
    let mut waiting = Vec::new();
    for (key, word) in accepted {
        let word = word.join().ok().context("a caller has failed")?;
        if matches!(word, CallerWord::Answered(200, _)) {
            waiting.push(key);
        } else {
            report.unclear += 1;
        }
    }
    report.accepted = waiting.len();
    wait_completed(&cell, waiting)?;
    report.runs = cell.history.all().len();
    match cell.history.fault() {
        Some(fault) => bail!("seed {seed}: {fault}"),
        None => Ok(report),
    }
}

/// All accepted jobs are completed, and none is unknown.
fn wait_completed(cell: &SoakCell, mut waiting: Vec<u64>) -> anyhow::Result<()> {
    let until = Instant::now() + SETTLE_LIMIT;
    let mut asked = 0;
    while let Some(key) = waiting.pop() {
        asked += 1;
        match caller::state(cell.entry(asked), key) {
            CallerWord::Answered(200, text) if text.contains("completed") => continue,
            CallerWord::Answered(200, text) if !text.contains("failed") => {}
            CallerWord::Answered(503 | 504, _) | CallerWord::Silence => {}
            word => bail!("accepted job {key:016x} is {word:?}"),
        }
        if Instant::now() > until {
            bail!(
                "accepted job {key:016x} and {} more are not completed",
                waiting.len()
            );
        }
        waiting.insert(0, key);
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
