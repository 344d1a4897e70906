//! Group of child processes that share a folder for data, evidence and logs.
//!
//! The group is not a process group of the operating system: signals go to single processes by id.
//! When the group is dropped, all its processes are killed and the folder is removed. If the thread
//! panics, the folder is kept and its path printed on standard error.

use std::fs::File;
use std::fs::OpenOptions;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::anyhow;
use anyhow::bail;
use anyhow::Context;
use anyhow::Result;
use indexmap::IndexMap;
use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;

use crate::clock::wait_until;

/// Number of folders that this process has created, which makes their names unique.
static FOLDER_COUNT: AtomicU32 = AtomicU32::new(0);

/// Program and arguments of a child process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessPlan {
    /// Name of the process, unique within its group.
    pub name: String,
    /// File name of the program, without folder.
    pub program: String,
    /// Command line arguments.
    pub arguments: Vec<String>,
}

impl ProcessPlan {
    /// Returns a plan without arguments.
    pub fn new(name: impl Into<String>, program: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            program: program.into(),
            arguments: Vec::new(),
        }
    }

    /// Adds an argument.
    #[must_use]
    pub fn argument(mut self, argument: impl ToString) -> Self {
        self.arguments.push(argument.to_string());
        self
    }

    /// Adds a flag as `--name=value`.
    #[must_use]
    pub fn flag(self, name: &str, value: impl ToString) -> Self {
        self.argument(format!("--{name}={}", value.to_string()))
    }
}

#[derive(Debug)]
struct ManagedProcess {
    plan: ProcessPlan,
    child: Option<Child>,
}

/// Exit status and output of a program that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit status; `None` if a signal ended the program.
    pub code: Option<i32>,
    /// Standard output, with invalid UTF-8 replaced.
    pub stdout: String,
    /// Standard error, with invalid UTF-8 replaced.
    pub stderr: String,
}

/// Named child processes and their folder.
#[derive(Debug)]
pub struct ProcessGroup {
    programs: PathBuf,
    folder: PathBuf,
    processes: IndexMap<String, ManagedProcess>,
    keep_folder: bool,
}

impl ProcessGroup {
    /// Creates the folder of an empty group; programs are started from the folder `programs`.
    pub fn new(name: &str, programs: &Path) -> Result<Self> {
        let count = FOLDER_COUNT.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("guavavane-{name}-{process}-{count}"));
        for subfolder in ["data", "evidence", "logs"] {
            std::fs::create_dir_all(folder.join(subfolder))
                .with_context(|| format!("cannot create folder {}", folder.display()))?;
        }
        Ok(Self {
            programs: programs.to_owned(),
            folder,
            processes: IndexMap::new(),
            keep_folder: false,
        })
    }

    /// Keeps the folder when the group is dropped.
    pub fn keep_folder(&mut self) {
        self.keep_folder = true;
    }

    /// Returns the folder of the group, in the folder for temporary files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the folder of the evidence files.
    pub fn evidence_folder(&self) -> PathBuf {
        self.folder.join("evidence")
    }

    /// Returns the data folder of a process.
    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join("data").join(name)
    }

    /// Returns the log file of a process, to which all its incarnations append.
    pub fn log_path(&self, name: &str) -> PathBuf {
        self.folder.join("logs").join(format!("{name}.log"))
    }

    /// Starts a process; fails if one of this name runs.
    pub fn spawn(&mut self, plan: ProcessPlan) -> Result<()> {
        if self.is_running(&plan.name) {
            bail!("process {} is already running", plan.name);
        }
        let child = self.start_child(&plan)?;
        let name = plan.name.clone();
        let process = ManagedProcess {
            plan,
            child: Some(child),
        };
        self.processes.insert(name, process);
        Ok(())
    }

    /// Restarts a process that has ended, with the same arguments.
    pub fn restart(&mut self, name: &str) -> Result<()> {
        let plan = self.process(name)?.plan.clone();
        self.spawn(plan)
    }

    /// Runs a program and blocks until it has ended; the program does not join the group.
    pub fn run(&self, program: &str, arguments: &[&str]) -> Result<CommandOutput> {
        let output = Command::new(self.programs.join(program))
            .args(arguments)
            .stdin(Stdio::null())
            .output()
            .with_context(|| format!("cannot run program {program}"))?;
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        Ok(CommandOutput {
            code: output.status.code(),
            stdout: text(&output.stdout),
            stderr: text(&output.stderr),
        })
    }

    /// Returns the names of all processes, in the order of their first start.
    pub fn names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Returns the id of a process that was started and not killed or waited for.
    pub fn id(&self, name: &str) -> Option<u32> {
        let child = self.processes.get(name)?.child.as_ref();
        child.map(Child::id)
    }

    /// Whether a process of this name runs.
    pub fn is_running(&mut self, name: &str) -> bool {
        let child = self.processes.get_mut(name).and_then(|x| x.child.as_mut());
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the id of a process that was started and not killed or waited for.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        let child = self.processes.get(name)?.child.as_ref();
        child.map(Child::id)
    }

    /// Kills a process with SIGKILL and waits for its end.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        let process = self.managed_process_mut(name)?;
        if let Some(mut child) = process.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Freezes a process with SIGSTOP.
    pub fn freeze(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::STOP)
    }

    /// Resumes a frozen process with SIGCONT.
    pub fn thaw(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::CONT)
    }

    /// Sends SIGTERM to a process, which asks the daemons to end gracefully.
    pub fn send_sigterm(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::TERM)
    }

    /// Waits until a process has ended, no longer than `timeout`.
    pub fn wait_for_exit(&mut self, name: &str, timeout: Duration) -> Result<ExitStatus> {
        let child = self.managed_process_mut(name)?.child.as_mut();
        let child = child.ok_or_else(|| anyhow!("process {name} is not running"))?;
        let mut status = None;
        wait_until(&format!("exit of process {name}"), timeout, || {
            status = child.try_wait().ok().flatten();
            status.is_some()
        })?;
        self.managed_process_mut(name)?.child = None;
        status.ok_or_else(|| anyhow!("process {name} has no exit status"))
    }

    /// Sends SIGTERM to a process and waits until the process has ended.
    pub fn terminate(&mut self, name: &str, timeout: Duration) -> Result<ExitStatus> {
        self.send_sigterm(name)?;
        self.wait_for_exit(name, timeout)
    }

    fn signal(&mut self, name: &str, signal: Signal) -> Result<()> {
        let child = self.process(name)?.child.as_ref();
        let child = child.ok_or_else(|| anyhow!("process {name} is not running"))?;
        kill_process(Pid::from_child(child), signal)?;
        Ok(())
    }

    fn process(&self, name: &str) -> Result<&ManagedProcess> {
        let process = self.processes.get(name);
        process.ok_or_else(|| anyhow!("no process is named {name}"))
    }

    fn managed_process_mut(&mut self, name: &str) -> Result<&mut ManagedProcess> {
        let process = self.processes.get_mut(name);
        process.ok_or_else(|| anyhow!("no process is named {name}"))
    }

    fn start_child(&self, plan: &ProcessPlan) -> Result<Child> {
        let log = self.open_log(&plan.name)?;
        Command::new(self.programs.join(&plan.program))
            .args(&plan.arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("cannot start program {}", plan.program))
    }

    fn open_log(&self, name: &str) -> Result<File> {
        let path = self.log_path(name);
        OpenOptions::new()
            .create(true)
            .append(true)
            .open(&path)
            .with_context(|| format!("cannot open log {}", path.display()))
    }
}

impl Drop for ProcessGroup {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            if let Some(child) = &mut process.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if self.keep_folder || std::thread::panicking() {
            eprintln!("logs and evidence are kept in {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
