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
use crate::worker::run_worker;
use guavavane_standin::simulated_worker::RunHistory;
use guavavane_standin::simulated_worker::SimulatedWorker;

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
    ports: SoakPorts,
    net: u8,
    history: RunHistory,
}

impl SoakCell {
    fn entry(&self, number: u8) -> SocketAddr {
        SocketAddr::from((
            Ipv4Addr::new(127, 0, self.net, 30 + number % 2),
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
        (ProgramRole::Entry, 2),
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
                    let passing = worker.clone();
                    tokio::spawn(async move {
                        loop {
                            passing.pass();
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

/// A fault that goes on.
struct OpenFault {
    program: usize,
    until: Instant,
    frozen: bool,
}

/// Begins a fault on a program, and never on a second control process.
fn inject(cell: &mut SoakCell, random: &mut ChaCha8Rng, open: &mut Vec<OpenFault>) -> bool {
    let program = random.random_range(0..cell.programs.len());
    let is_control = |index: usize| cell.programs[index].role == ProgramRole::Control;
    let taken = open
        .iter()
        .any(|fault| fault.program == program || is_control(fault.program) && is_control(program));
    if taken {
        return false;
    }
    let frozen = random.random_bool(0.4);
    let target = &mut cell.programs[program];
    if frozen {
        target.signal(Signal::STOP);
    } else if random.random_bool(0.5) {
        target.kill();
    } else {
        target.signal(Signal::TERM);
    }
    let length = Duration::from_millis(random.random_range(100..4_000));
    open.push(OpenFault {
        program,
        until: Instant::now() + length,
        frozen,
    });
    true
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
        let target = &mut cell.programs[fault.program];
        if fault.frozen {
            target.signal(Signal::CONT);
        } else {
            target.kill();
            target.start(program)?;
        }
    }
    Ok(())
}

/// Runs one seed for `length` and judges it.
///
/// # Errors
///
/// Fails with what was promised and not kept.
pub fn run_soak(
    program: &Path,
    seed: u64,
    length: Duration,
    net: u8,
    ports: SoakPorts,
) -> anyhow::Result<SoakReport> {
    let folder = tempfile::tempdir()?;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut cell = start_cell(program, folder.path(), net, ports)?;
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
