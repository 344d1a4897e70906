//! Processes under test: their settings, start and signals.

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

/// Last octet of the address on which the relay of the first worker listens.
pub const WORKER_RELAY_OCTET: u8 = 90;

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramRole {
    /// Control process: replicates the state and schedules tasks.
    Control,
    /// Entry: accepts callers' requests.
    Entry,
    /// Agent: manages one worker.
    Agent,
}

impl ProgramRole {
    /// Command of the program that runs this role.
    fn command(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Entry => "entry",
            Self::Agent => "agent",
        }
    }
}

/// Ports of one soak. Each process has its own loopback address, so all processes share these ports.
#[derive(Clone, Copy, Debug)]
pub struct SoakPorts {
    /// Connections between processes.
    pub internal: u16,
    /// Operators' calls and heartbeats.
    pub control: u16,
    /// Callers' requests.
    pub front: u16,
    /// Readiness checks of an entry.
    pub ready: u16,
    /// Calls to workers.
    pub worker: u16,
}

/// Process that can be restarted with the same settings and data; dropping it kills the process.
#[derive(Debug)]
pub struct SoakProgram {
    /// Role of the process.
    pub role: ProgramRole,
    /// Loopback address of the process.
    pub ip: Ipv4Addr,
    settings: PathBuf,
    data_dir: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Drop for SoakProgram {
    fn drop(&mut self) {
        self.kill();
    }
}

impl SoakProgram {
    /// Writes the settings of a process, which is not started yet.
    ///
    /// `number` counts the processes of the role from 0. All addresses are `127.0.subnet.x`.
    ///
    /// # Errors
    ///
    /// Fails if the settings file can't be written.
    pub fn new(
        role: ProgramRole,
        number: u8,
        subnet: u8,
        ports: SoakPorts,
        folder: &Path,
    ) -> anyhow::Result<Self> {
        let octet_base = match role {
            ProgramRole::Control => 10,
            ProgramRole::Entry => 30,
            ProgramRole::Agent => 50,
        };
        let ip = Ipv4Addr::new(127, 0, subnet, octet_base + number);
        let name = format!("{}-{number}", role.command());
        let settings = folder.join(format!("{name}.toml"));
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"127.0.{subnet}.{}:{}\"", 10 + seed, ports.control))
            .collect();
        let data_dir = folder.join(&name);
        let text = format!(
            "NodeName = \"{name}\"\nPortRange = [{internal},{internal}]\nSeeds = [{seeds}]\n\
             Bootstrap = true\nDataDir = \"{data}\"\n\
             app = \"127.0.{subnet}.{worker_ip}:{worker}\"\n\
             [Listen]\nFront = \"{ip}:{front}\"\nReadyAddr = \"{ip}:{ready}\"\n\
             ControlAddr = \"{ip}:{control}\"\n[FaultTolerance]\nMachines = 1\n\
             [Bounds]\nMaxHoldMs = 6000\nThawSlackMs = 300\nGraceS = 1.5\n",
            internal = ports.internal,
            seeds = seeds.join(","),
            data = data_dir.display(),
            worker_ip = WORKER_RELAY_OCTET + number,
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
            data_dir,
            log: folder.join(format!("{name}.log")),
            child: None,
        })
    }

    /// Folder of the replicated log of a control process.
    pub fn log_folder(&self) -> PathBuf {
        self.data_dir.join("log")
    }

    /// Kills the process and removes its data; the next start finds an empty disk.
    ///
    /// # Errors
    ///
    /// Fails if the data can't be removed or the settings can't be rewritten.
    pub fn lose_disk(&mut self) -> anyhow::Result<()> {
        self.kill();
        fs::remove_dir_all(&self.data_dir)?;
        let settings = fs::read_to_string(&self.settings)?;
        // Only the first start of a cell finds empty disks on all control VMs.
        let settings = settings.replace("Bootstrap = true", "Bootstrap = false");
        fs::write(&self.settings, settings)?;
        Ok(())
    }

    /// Starts the process unless it is running; its output is appended to its log. Returns whether
    /// it was started.
    ///
    /// # Errors
    ///
    /// Fails if the log can't be opened or the program can't be started.
    pub fn start(&mut self, program: &Path) -> anyhow::Result<bool> {
        if let Some(child) = &mut self.child {
            if child.try_wait()?.is_none() {
                return Ok(false);
            }
        }
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(program)
            .arg(self.role.command())
            .env("GUAVAVANE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(true)
    }

    /// Sends a signal to the process if it was started.
    pub fn signal(&mut self, signal: Signal) {
        let Some(child) = &mut self.child else {
            return;
        };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // Signalling fails if the process has already exited.
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGTERM to the process if it was started.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGKILL to the process and waits for its exit.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            // An error is ignored: the process was killed, and its status isn't used.
            let _ = child.wait();
        }
    }
}
