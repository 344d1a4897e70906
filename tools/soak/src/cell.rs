//! Processes, relays and workers of one run, and their start.
//!
//! Loopback addresses by last octet: control processes from 10, entries from 30, agents from 50,
//! workers from 70, relays of workers from 90, relays of entries from 110.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::bail;

use crate::caller;
use crate::caller::ConfigRequest;
use crate::programs::ProgramRole;
use crate::programs::SoakPorts;
use crate::programs::SoakProgram;
use crate::programs::WORKER_RELAY_OCTET;
use crate::worker::run_worker;
use guavavane_standin::prelude::RelayMode;
use guavavane_standin::prelude::TcpRelay;
use guavavane_standin::simulated_worker::RunHistory;
use guavavane_standin::simulated_worker::SimulatedWorker;

/// Number of control processes; they are the first programs of a cell.
pub const CONTROL_COUNT: u8 = 3;
/// Number of entries, each behind a relay.
pub const ENTRY_COUNT: u8 = 2;
/// Last octet of the address on which the relay of the first entry listens.
const ENTRY_RELAY_OCTET: u8 = 110;
/// Number of workers, each with an agent and behind a relay.
const WORKER_COUNT: u8 = 3;
/// Service time of a task that isn't long-running.
const TASK_SERVICE_TIME: Duration = Duration::from_millis(250);
/// Timeout for the first acknowledged configuration after the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two attempts to put a configuration in force.
const CONFIG_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Processes, relays and workers of one run.
pub struct SoakCell {
    /// Processes under test: control processes, entries, agents.
    pub programs: Vec<SoakProgram>,
    /// Relays between callers and entries, then those between agents and workers.
    pub relays: Vec<TcpRelay>,
    ports: SoakPorts,
    subnet: u8,
    /// Runs of all workers.
    pub history: RunHistory,
    /// Simulated workers.
    pub workers: Vec<SimulatedWorker>,
    /// Whether the heartbeats of each worker are paused.
    heartbeats_paused: [Arc<AtomicBool>; WORKER_COUNT as usize],
}

/// How a worker is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerLoss {
    /// The worker sends heartbeats and leaves all calls unanswered.
    Silent,
    /// The worker sends nothing and its connections are closed, as if it were gone for good.
    Gone,
}

impl SoakCell {
    /// Index of the agent of a worker among the programs.
    pub fn agent_index(&self, worker: usize) -> usize {
        usize::from(CONTROL_COUNT + ENTRY_COUNT) + worker
    }

    /// Number of the control process that leads; none if none says so.
    pub fn find_leader(&self) -> Option<usize> {
        let leader = (0..CONTROL_COUNT).find(|number| {
            let address = self.control_address(*number);
            caller::is_leader(address)
        });
        leader.map(usize::from)
    }

    /// Separates a worker from its agent.
    pub fn lose_worker(&self, worker: usize, loss: WorkerLoss) {
        let relay_mode = match loss {
            WorkerLoss::Silent => RelayMode::Drop,
            WorkerLoss::Gone => RelayMode::Close,
        };
        self.worker_relay(worker).set_mode(relay_mode);
        let is_gone = loss == WorkerLoss::Gone;
        self.heartbeats_paused[worker].store(is_gone, Ordering::Relaxed);
    }

    /// Connects a lost worker to its agent again.
    pub fn restore_worker(&self, worker: usize) {
        self.worker_relay(worker).set_mode(RelayMode::Pass);
        self.heartbeats_paused[worker].store(false, Ordering::Relaxed);
    }

    fn worker_relay(&self, worker: usize) -> &TcpRelay {
        &self.relays[usize::from(ENTRY_COUNT) + worker]
    }

    /// Address of the relay of an entry; `number` wraps around after the last entry.
    pub fn entry_address(&self, number: u8) -> SocketAddr {
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
    pub fn control_address(&self, number: u8) -> SocketAddr {
        SocketAddr::from((
            Ipv4Addr::new(127, 0, self.subnet, 10 + number % CONTROL_COUNT),
            self.ports.control,
        ))
    }

    /// Addresses of the control processes and, without their relays, of the entries.
    pub fn client_addresses(&self) -> Vec<SocketAddr> {
        let address = |program: &SoakProgram| match program.role {
            ProgramRole::Control => Some((program.ip, self.ports.control).into()),
            ProgramRole::Entry => Some((program.ip, self.ports.front).into()),
            ProgramRole::Agent => None,
        };
        self.programs.iter().filter_map(address).collect()
    }

    /// Hosts that need a queue each.
    pub fn config_hosts(&self) -> Vec<IpAddr> {
        let hosts = (0..ENTRY_COUNT).map(|number| self.entry_address(number).ip());
        hosts.collect()
    }

    /// Sends a configuration to the control processes in turn until one acknowledges it.
    ///
    /// # Errors
    ///
    /// Fails if none does until the deadline.
    pub fn put_config_until(&self, version: u64, deadline: Instant) -> anyhow::Result<()> {
        let request = ConfigRequest {
            version,
            hosts: self.config_hosts(),
            padding_bytes: 0,
        };
        let mut control_number = 0;
        while !caller::put_config(self.control_address(control_number), &request) {
            control_number = (control_number + 1) % CONTROL_COUNT;
            if Instant::now() > deadline {
                bail!("no control process acknowledged configuration {version}");
            }
            thread::sleep(CONFIG_RETRY_INTERVAL);
        }
        Ok(())
    }
}

/// Starts all processes, relays and workers, and puts a configuration in force.
///
/// # Errors
///
/// Fails if a process or relay can't be started, or if no control process acknowledges the
/// configuration.
pub fn start_cell(
    program: &Path,
    folder: &Path,
    subnet: u8,
    ports: SoakPorts,
) -> anyhow::Result<SoakCell> {
    let mut programs = Vec::new();
    for (role, count) in [
        (ProgramRole::Control, CONTROL_COUNT),
        (ProgramRole::Entry, ENTRY_COUNT),
        (ProgramRole::Agent, WORKER_COUNT),
    ] {
        for number in 0..count {
            let mut process = SoakProgram::new(role, number, subnet, ports, folder)?;
            process.start(program)?;
            programs.push(process);
        }
    }
    let history = RunHistory::default();
    let workers = (0..WORKER_COUNT).map(|number| {
        SimulatedWorker::new(usize::from(number), TASK_SERVICE_TIME, history.clone())
    });
    let cell = SoakCell {
        programs,
        relays: start_relays(subnet, ports)?,
        ports,
        subnet,
        workers: workers.collect(),
        history,
        heartbeats_paused: Default::default(),
    };
    start_workers(&cell)?;
    cell.put_config_until(1, Instant::now() + START_TIMEOUT)?;
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
    let (subnet, ports, workers) = (cell.subnet, cell.ports, cell.workers.clone());
    let heartbeats_paused = cell.heartbeats_paused.clone();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    thread::Builder::new()
        .name("workers".to_owned())
        .spawn(move || {
            runtime.block_on(async {
                for (number, worker) in (0..WORKER_COUNT).zip(workers) {
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
                        Arc::clone(&heartbeats_paused[usize::from(number)]),
                    );
                    started.await.expect("the address of a worker is free");
                }
                std::future::pending::<()>().await;
            });
        })?;
    Ok(())
}
