//! The programs as processes, started and signalled by their ids.

use std::fs;
use std::net::Ipv4Addr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;

/// Last part of the address at which the first worker's relay listens.
pub const RELAY_BASE: u8 = 90;

/// Role of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramRole {
    /// Keeps the state.
    Control,
    /// Takes callers' requests.
    Entry,
    /// Speaks for a worker.
    Agent,
}

impl ProgramRole {
    fn word(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Entry => "entry",
            Self::Agent => "agent",
        }
    }
}

/// Ports of one soak: all programs have addresses of their own.
#[derive(Clone, Copy, Debug)]
pub struct SoakPorts {
    /// Between processes.
    pub inner: u16,
    /// Operators' calls and heartbeats.
    pub control: u16,
    /// Callers' requests.
    pub front: u16,
    /// Questions whether an entry is ready.
    pub ready: u16,
    /// Workers.
    pub worker: u16,
}

/// One process that comes back under the same settings.
#[derive(Debug)]
pub struct SoakProgram {
    /// Its role.
    pub role: ProgramRole,
    /// Its address.
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Drop for SoakProgram {
    fn drop(&mut self) {
        self.kill();
    }
}

impl SoakProgram {
    /// Writes the settings of a program; it is not started yet.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be written.
    pub fn new(
        role: ProgramRole,
        number: u8,
        net: u8,
        ports: SoakPorts,
        folder: &Path,
    ) -> anyhow::Result<Self> {
        let base = match role {
            ProgramRole::Control => 10,
            ProgramRole::Entry => 30,
            ProgramRole::Agent => 50,
        };
        let ip = Ipv4Addr::new(127, 0, net, base + number);
        let name = format!("{}-{number}", role.word());
        let settings = folder.join(format!("{name}.toml"));
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"127.0.{net}.{}:{}\"", 10 + seed, ports.control))
            .collect();
        let data = folder.join(&name);
        let text = format!(
            "NodeName = \"{name}\"\nPortRange = [{inner},{inner}]\nSeeds = [{seeds}]\n\
             Bootstrap = true\nDataDir = \"{data}\"\napp = \"127.0.{net}.{worker_ip}:{worker}\"\n\
             [Listen]\nFront = \"{ip}:{front}\"\nReadyAddr = \"{ip}:{ready}\"\n\
             ControlAddr = \"{ip}:{control}\"\n[FaultTolerance]\nMachines = 1\n\
             [Bounds]\nMaxHoldMs = 6000\nThawSlackMs = 300\nGraceS = 1.5\n",
            inner = ports.inner,
            seeds = seeds.join(","),
            data = data.display(),
            worker_ip = RELAY_BASE + number,
            worker = ports.worker,
            front = ports.front,
            ready = ports.ready,
            control = ports.control,
        );
        fs::write(&settings, text)?;
        Ok(Self {
            role,
            ip,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        })
    }

    /// Starts the process if it does not run.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started.
    pub fn start(&mut self, program: &Path) -> anyhow::Result<()> {
        if let Some(child) = &mut self.child {
            if child.try_wait()?.is_none() {
                return Ok(());
            }
        }
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(program)
            .arg(self.role.word())
            .env("GUAVAVANE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&mut self, signal: Signal) {
        let Some(child) = &mut self.child else {
            return;
        };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // The process may have ended by itself.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            // It was killed: there is nothing else to wait for.
            let _ = child.wait();
        }
    }
}
