//! A group of child processes with a folder of their own.
//!
//! Signals go to single processes by their id. When the group is dropped, all its processes
//! are killed and its folder is removed, unless the thread panics: then the folder stays and
//! is named on standard error.

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

static FOLDER_COUNT: AtomicU32 = AtomicU32::new(0);

/// How to start a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessPlan {
    /// Name within the group.
    pub name: String,
    /// File name of the program.
    pub program: String,
    /// Arguments.
    pub arguments: Vec<String>,
}

impl ProcessPlan {
    /// A plan without arguments.
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

    /// Adds a flag with its value.
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

/// What a command that ran to its end left behind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit status; `None` after a signal.
    pub code: Option<i32>,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

/// A group of child processes.
#[derive(Debug)]
pub struct ProcessGroup {
    programs: PathBuf,
    folder: PathBuf,
    processes: IndexMap<String, ManagedProcess>,
    keep_folder: bool,
}

impl ProcessGroup {
    /// An empty group whose programs are in the folder `programs`.
    pub fn new(name: &str, programs: &Path) -> Result<Self> {
        let count = FOLDER_COUNT.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("guavavane-{name}-{process}-{count}"));
        for part in ["data", "evidence", "logs"] {
            std::fs::create_dir_all(folder.join(part))
                .with_context(|| format!("folder {}", folder.display()))?;
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

    /// Folder of the group.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Folder of the evidence files.
    pub fn evidence_folder(&self) -> PathBuf {
        self.folder.join("evidence")
    }

    /// Data folder of a process.
    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join("data").join(name)
    }

    /// Log file of a process, over all its runs.
    pub fn log_path(&self, name: &str) -> PathBuf {
        self.folder.join("logs").join(format!("{name}.log"))
    }

    /// Starts a process.
    pub fn spawn(&mut self, plan: ProcessPlan) -> Result<()> {
        if self.is_running(&plan.name) {
            bail!("{} runs already", plan.name);
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

    /// Starts a process that has ended again, with the same arguments.
    pub fn restart(&mut self, name: &str) -> Result<()> {
        let plan = self.process(name)?.plan.clone();
        self.spawn(plan)
    }

    /// Runs a program to its end.
    pub fn run(&self, program: &str, arguments: &[&str]) -> Result<CommandOutput> {
        let output = Command::new(self.programs.join(program))
            .args(arguments)
            .stdin(Stdio::null())
            .output()
            .with_context(|| format!("program {program}"))?;
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        Ok(CommandOutput {
            code: output.status.code(),
            stdout: text(&output.stdout),
            stderr: text(&output.stderr),
        })
    }

    /// Names of all processes, in the order in which they were first started.
    pub fn names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Process id of a process that runs.
    pub fn id(&self, name: &str) -> Option<u32> {
        let child = self.processes.get(name)?.child.as_ref();
        child.map(Child::id)
    }

    /// Whether a process of this name runs.
    pub fn is_running(&mut self, name: &str) -> bool {
        let child = self.processes.get_mut(name).and_then(|x| x.child.as_mut());
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Process id of a process that runs.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        let child = self.processes.get(name)?.child.as_ref();
        child.map(Child::id)
    }

    /// Kills a process with SIGKILL and waits for its end.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        let process = self.process_mut(name)?;
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

    /// Lets a frozen process go on.
    pub fn thaw(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::CONT)
    }

    /// Asks a process to end with SIGTERM.
    pub fn ask_to_end(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::TERM)
    }

    /// Waits until a process has ended.
    pub fn wait_for_end(&mut self, name: &str, limit: Duration) -> Result<ExitStatus> {
        let child = self.process_mut(name)?.child.as_mut();
        let child = child.ok_or_else(|| anyhow!("{name} does not run"))?;
        let mut status = None;
        wait_until(&format!("end of {name}"), limit, || {
            status = child.try_wait().ok().flatten();
            status.is_some()
        })?;
        self.process_mut(name)?.child = None;
        status.ok_or_else(|| anyhow!("{name} has no exit status"))
    }

    /// Asks a process to end and waits until it has.
    pub fn terminate(&mut self, name: &str, limit: Duration) -> Result<ExitStatus> {
        self.ask_to_end(name)?;
        self.wait_for_end(name, limit)
    }

    fn signal(&mut self, name: &str, signal: Signal) -> Result<()> {
        let child = self.process(name)?.child.as_ref();
        let child = child.ok_or_else(|| anyhow!("{name} does not run"))?;
        kill_process(Pid::from_child(child), signal)?;
        Ok(())
    }

    fn process(&self, name: &str) -> Result<&ManagedProcess> {
        let process = self.processes.get(name);
        process.ok_or_else(|| anyhow!("no process has the name {name}"))
    }

    fn process_mut(&mut self, name: &str) -> Result<&mut ManagedProcess> {
        let process = self.processes.get_mut(name);
        process.ok_or_else(|| anyhow!("no process has the name {name}"))
    }

    fn start_child(&self, plan: &ProcessPlan) -> Result<Child> {
        let log = self.open_log(&plan.name)?;
        Command::new(self.programs.join(&plan.program))
            .args(&plan.arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("program {}", plan.program))
    }

    fn open_log(&self, name: &str) -> Result<File> {
        let path = self.log_path(name);
        OpenOptions::new()
            .create(true)
            .append(true)
            .open(&path)
            .with_context(|| format!("log {}", path.display()))
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
