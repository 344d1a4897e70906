//! Run of one seed: injects faults while callers submit jobs, then checks the result.
//!
//! A generator with the given seed draws the faults, the jobs and the entries. A seed doesn't
//! repeat a run exactly: the processes run in real time, and a draw may depend on which faults are
//! active. A run passes if all accepted jobs end after the faults have ended, no two runs of a task
//! overlap, no run starts after one that succeeded, and long-running tasks run again in time. A job
//! completes unless a task of it has failed too often. Workers crash and start again under their name
//! meanwhile, and some or all of them fail for a time each run that they start. With faults of the
//! control processes, one of them loses its disk at the end, and the others must go on: an
//! acknowledged configuration stays, and a new one is acknowledged in time. Then all workers fail
//! what they start beside their long-running tasks, and jobs must end again once they don't. Last,
//! workers are lost together with their agent or the leader, and their long-running tasks must run
//! elsewhere in time.

use std::path::Path;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use anyhow::Context;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::caller;
use crate::caller::JobKind;
use crate::caller::RequestResult;
use crate::cell::start_cell;
use crate::cell::SoakCell;
use crate::cell::CONTROL_COUNT;
use crate::checks::all_running;
use crate::checks::find_idle_task;
use crate::checks::wait_for_config;
use crate::checks::wait_until_ended;
use crate::checks::LongRunningTask;
use crate::connection::OpenConnections;
use crate::crash::WorkerCrash;
use crate::faults::random_duration;
use crate::faults::FaultSchedule;
use crate::faults::FaultSpan;
use crate::lost_worker::LostWorkerPlan;
use crate::lost_worker::LostWorkerTrial;
use crate::machine_load::LoadWatch;
use crate::machine_load::MachineLoad;
use crate::operator::ConfigOperator;
use crate::operator::SentVersions;
use crate::programs::SoakPorts;
use crate::subnet::claim_subnet;

/// Time between two submitted jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(120);
/// One of this many jobs has long-running tasks.
const LONG_RUNNING_JOB_STEP: u64 = 10;
/// Highest key of a job with long-running tasks; limits the capacity that they hold.
const LONG_RUNNING_KEY_MAX: u64 = 100;
/// Number of tasks of a job with long-running tasks.
const LONG_RUNNING_TASKS: u64 = 2;
/// Generator stream of the faults of control processes; other draws use stream 0 or 2.
const CONTROL_FAULT_STREAM: u64 = 1;
/// Generator stream of the lost workers.
const LOST_WORKER_STREAM: u64 = 2;
/// Generator stream of the crashes of workers.
const CRASH_STREAM: u64 = 3;
/// Generator stream of the errors of workers.
const WORKER_ERROR_STREAM: u64 = 4;
/// Time for which all workers fail their runs at the end, in milliseconds.
const FINAL_ERRORS_MS: std::ops::Range<u64> = 1_000..4_000;
/// Time in which a control process catches up after a fault.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Time for which a control process is down when it loses its disk.
const LOST_DISK_DOWNTIME: Duration = Duration::from_millis(500);
/// Timeout for the acknowledgement of a configuration after the last fault: the group counts as
/// stable after 3 s, and answers within 4 s then.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(7);
/// Time for which long-running tasks are watched after a lost disk: longer than an agent's lease
/// of 12 s, the time to the next run and the maximum idle time together.
const LOST_DISK_WATCH_TIME: Duration = Duration::from_secs(24);
/// Maximum time for which long-running tasks are watched after other faults.
const WATCH_TIME_MAX: Duration = Duration::from_secs(40);
/// Time after a crash for which the agent awaits the longest lease of the restarted worker, longer than
/// that of 6 s with its drift and the margins for late calls and suspended workers.
const CRASH_LEASE_TIME: Duration = Duration::from_secs(8);
/// Time between two checks of the long-running tasks.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Which faults a run injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultScope {
    /// Faults of processes and networks; one control process at a time.
    ProcessesAndNetwork,
    /// In addition, disk faults and overlapping restarts of control processes, and a lost disk at
    /// the end.
    ControlProcesses,
}

/// Settings of a run.
#[derive(Clone, Copy, Debug)]
pub struct SoakSettings {
    /// Seed of the generator.
    pub seed: u64,
    /// Time for which faults are injected.
    pub fault_duration: Duration,
    /// Faults to inject.
    pub scope: FaultScope,
    /// All addresses are `127.0.subnet.x`; while another soak uses the subnet, the next free one is
    /// taken.
    pub subnet: u8,
    /// Ports of all processes.
    pub ports: SoakPorts,
}

/// Counts of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakReport {
    /// Subnet that the run has used.
    pub subnet: u8,
    /// Jobs that an entry accepted.
    pub accepted: usize,
    /// Jobs that were refused, or whose outcome the caller doesn't know.
    pub unclear: usize,
    /// Injected faults of processes and networks.
    pub faults: usize,
    /// Crashes of workers that started again under their name.
    pub crashes: usize,
    /// Periods in which workers failed all runs that they started.
    pub worker_errors: usize,
    /// Accepted jobs that ended as failed because of such errors.
    pub failed_jobs: usize,
    /// Injected disk faults.
    pub disk_faults: usize,
    /// Series of restarts of all control processes.
    pub restart_series: usize,
    /// Control processes that exited by themselves and were started again.
    pub own_exits: usize,
    /// Versions of configurations.
    pub versions: SentVersions,
    /// Long-running tasks of accepted jobs.
    pub long_running_tasks: usize,
    /// Lost workers whose long-running tasks were watched.
    pub lost_workers: usize,
    /// Longest time in which such a task ran elsewhere, from the moment at which it could.
    pub restart_time_max: Duration,
    /// Runs that workers started.
    pub runs: usize,
    /// Load under which the run was played.
    pub load: MachineLoad,
}

/// Job that a caller thread submits; the thread returns the result and its time.
struct Submission {
    key: u64,
    thread: JoinHandle<(RequestResult, Instant)>,
}

/// Accepted jobs, by the way in which they are checked.
#[derive(Default)]
struct AcceptedJobs {
    batch_keys: Vec<u64>,
    long_running: Vec<LongRunningTask>,
}

/// Runs one seed and checks the result. The logs of a failed run are kept.
///
/// # Errors
///
/// Fails if a process can't be started or a check fails; the error names the folder of the logs.
pub fn run_soak(program: &Path, mut settings: SoakSettings) -> anyhow::Result<SoakReport> {
    let folder = tempfile::tempdir()?;
    settings.subnet = claim_subnet(settings.subnet)?;
    let load_watch = LoadWatch::start();
    let result = SoakRun::start(program, folder.path(), settings).and_then(SoakRun::finish);
    let load = load_watch.stop();
    let result = result.map(|report| SoakReport { load, ..report });
    result.with_context(|| {
        let logs = folder.keep();
        format!(
            "subnet {}, {load:?}, logs are in {}",
            settings.subnet,
            logs.display()
        )
    })
}

/// Run of one seed, whose cell has started.
struct SoakRun<'a> {
    program: &'a Path,
    settings: SoakSettings,
    cell: SoakCell,
    schedule: FaultSchedule,
    control_random: ChaCha8Rng,
    crash_random: ChaCha8Rng,
    worker_error_random: ChaCha8Rng,
    /// End of the latest crash.
    crashed_at: Option<Instant>,
    /// Crashes that are under way, by worker.
    crashes: IndexMap<usize, JoinHandle<FaultSpan>>,
    report: SoakReport,
    /// Number of jobs submitted so far.
    submitted: u64,
    submissions: Vec<Submission>,
    /// Connections of clients that stay open until a process exits.
    _connections: OpenConnections,
}

impl<'a> SoakRun<'a> {
    fn start(program: &'a Path, folder: &Path, settings: SoakSettings) -> anyhow::Result<Self> {
        let mut control_random = ChaCha8Rng::seed_from_u64(settings.seed);
        control_random.set_stream(CONTROL_FAULT_STREAM);
        let mut crash_random = ChaCha8Rng::seed_from_u64(settings.seed);
        crash_random.set_stream(CRASH_STREAM);
        let mut worker_error_random = ChaCha8Rng::seed_from_u64(settings.seed);
        worker_error_random.set_stream(WORKER_ERROR_STREAM);
        let cell = start_cell(program, folder, settings.subnet, settings.ports)?;
        Ok(Self {
            program,
            settings,
            _connections: OpenConnections::keep(cell.client_addresses()),
            cell,
            schedule: FaultSchedule::default(),
            control_random,
            crash_random,
            worker_error_random,
            crashed_at: None,
            crashes: IndexMap::new(),
            report: SoakReport {
                subnet: settings.subnet,
                ..SoakReport::default()
            },
            submitted: 0,
            submissions: Vec::new(),
        })
    }

    fn finish(mut self) -> anyhow::Result<SoakReport> {
        let disturbs_control = self.settings.scope == FaultScope::ControlProcesses;
        let operator = disturbs_control.then(|| self.start_operator());
        self.inject_faults()?;
        self.report.versions = match operator {
            Some(operator) => operator.stop()?,
            None => SentVersions {
                sent: 1,
                acknowledged: 1,
            },
        };
        let mut jobs = self.collect_submissions()?;
        if disturbs_control {
            self.lose_disk()?;
        }
        self.report.failed_jobs = wait_until_ended(&self.cell, jobs.batch_keys)?;
        let watch_time = match self.settings.scope {
            FaultScope::ProcessesAndNetwork => Duration::ZERO,
            FaultScope::ControlProcesses => LOST_DISK_WATCH_TIME,
        };
        self.watch_long_running(&jobs.long_running, watch_time)?;
        jobs.long_running.extend(self.fail_all_workers()?);
        self.watch_long_running(&jobs.long_running, Duration::ZERO)?;
        self.lose_workers(&jobs.long_running)?;
        self.report.long_running_tasks = jobs.long_running.len();
        self.report.runs = self.cell.history.all().len();
        match self.cell.history.find_duplicate_run() {
            Some(fault) => bail!("seed {}: {fault}", self.settings.seed),
            None => Ok(self.report),
        }
    }

    fn start_operator(&self) -> ConfigOperator {
        let controls = (0..CONTROL_COUNT).map(|number| self.cell.control_address(number));
        ConfigOperator::start(1, controls.collect(), self.cell.config_hosts())
    }

    /// Injects faults and submits jobs; all faults have ended on return.
    fn inject_faults(&mut self) -> anyhow::Result<()> {
        let mut random = ChaCha8Rng::seed_from_u64(self.settings.seed);
        let faults_end = Instant::now() + self.settings.fault_duration;
        while Instant::now() < faults_end {
            self.schedule.advance(&mut self.cell, self.program)?;
            if random.random_bool(0.15) && self.schedule.inject(&mut self.cell, &mut random) {
                self.report.faults += 1;
            }
            if self.settings.scope == FaultScope::ControlProcesses {
                self.disturb_control()?;
            }
            self.crash_worker()?;
            self.disturb_workers();
            self.submit_job(&mut random);
            thread::sleep(JOB_INTERVAL);
        }
        self.end_crashes(|_| true)?;
        self.schedule.end_all(&mut self.cell, self.program)
    }

    /// Lets workers fail their runs at random.
    fn disturb_workers(&mut self) {
        let random = &mut self.worker_error_random;
        if random.random_bool(0.05) && self.schedule.inject_worker_errors(&self.cell, random) {
            self.report.worker_errors += 1;
        }
    }

    /// Crashes a worker at random, unless its latest crash is under way.
    fn crash_worker(&mut self) -> anyhow::Result<()> {
        self.end_crashes(JoinHandle::is_finished)?;
        let random = &mut self.crash_random;
        let worker = random.random_range(0..self.cell.workers.len());
        let crash = WorkerCrash::draw(random);
        if random.random_bool(0.06) && !self.crashes.contains_key(&worker) {
            let simulated = self.cell.workers[worker].clone();
            self.crashes.insert(worker, crash.begin(simulated));
            self.report.crashes += 1;
        }
        Ok(())
    }

    /// Records the selected crashes once they are over.
    fn end_crashes(
        &mut self,
        is_due: impl Fn(&JoinHandle<FaultSpan>) -> bool,
    ) -> anyhow::Result<()> {
        let (due, remaining) = std::mem::take(&mut self.crashes)
            .into_iter()
            .partition::<IndexMap<_, _>, _>(|(_, crash)| is_due(crash));
        self.crashes = remaining;
        for crash in due.into_values() {
            let span = crash.join().ok().context("a crash panicked")?;
            self.crashed_at = self.crashed_at.max(Some(span.ended_at));
            self.schedule.spans.push(span);
        }
        Ok(())
    }

    /// Injects disk faults and plans restarts at random; starts control processes that have exited.
    fn disturb_control(&mut self) -> anyhow::Result<()> {
        let random = &mut self.control_random;
        if random.random_bool(0.1) && self.schedule.inject_disk_fault(&self.cell, random) {
            self.report.disk_faults += 1;
        }
        if random.random_bool(0.02) {
            self.schedule.plan_restarts(random);
            self.report.restart_series += 1;
        }
        self.restart_exited()
    }

    fn restart_exited(&mut self) -> anyhow::Result<()> {
        let restarted = self.schedule.restart_exited(&mut self.cell, self.program)?;
        self.report.own_exits += restarted;
        Ok(())
    }

    /// Submits a job on another thread, and once more if it isn't accepted.
    fn submit_job(&mut self, random: &mut ChaCha8Rng) {
        self.submitted += 1;
        let key = self.submitted;
        let entry = self.cell.entry_address(random.random_range(0..2));
        let tasks = random.random_range(1..4);
        let retry_entry = self.cell.entry_address(random.random_range(0..2));
        let kind = if is_long_running(key) {
            JobKind::LongRunning(LONG_RUNNING_TASKS)
        } else {
            JobKind::Batch(tasks)
        };
        let thread = thread::spawn(move || {
            let mut result = caller::submit(entry, key, kind);
            if !matches!(result, RequestResult::Answered(200, _)) {
                result = caller::submit(retry_entry, key, kind);
            }
            (result, Instant::now())
        });
        self.submissions.push(Submission { key, thread });
    }

    fn collect_submissions(&mut self) -> anyhow::Result<AcceptedJobs> {
        let mut jobs = AcceptedJobs::default();
        for submission in std::mem::take(&mut self.submissions) {
            let key = submission.key;
            let result = submission.thread.join();
            let (result, accepted_at) = result.ok().context("a caller thread panicked")?;
            if !matches!(result, RequestResult::Answered(200, _)) {
                self.report.unclear += 1;
                continue;
            }
            self.report.accepted += 1;
            if !is_long_running(key) {
                jobs.batch_keys.push(key);
                continue;
            }
            for number in 0..LONG_RUNNING_TASKS {
                let task = format!("{key:016x}.0.0.{number}").parse();
                jobs.long_running.push(LongRunningTask {
                    task: task.map_err(|_| anyhow::anyhow!("a task key can't be parsed"))?,
                    accepted_at,
                });
            }
        }
        Ok(jobs)
    }

    /// Takes the disk of a control process once the others have caught up, and checks that the
    /// group goes on. The process isn't the one whose disk was faulty last.
    fn lose_disk(&mut self) -> anyhow::Result<()> {
        let caught_up_at = Instant::now() + CATCH_UP_TIME;
        while Instant::now() < caught_up_at {
            self.restart_exited()?;
            thread::sleep(WATCH_INTERVAL);
        }
        let mut process = self
            .control_random
            .random_range(0..usize::from(CONTROL_COUNT));
        if self.schedule.last_disk_fault == Some(process) {
            process = (process + 1) % usize::from(CONTROL_COUNT);
        }
        let began_at = Instant::now();
        self.cell.programs[process].lose_disk()?;
        thread::sleep(LOST_DISK_DOWNTIME);
        self.cell.programs[process].start(self.program)?;
        let ended_at = Instant::now();
        self.schedule.spans.push(FaultSpan { began_at, ended_at });
        let deadline = ended_at + ACKNOWLEDGEMENT_TIMEOUT;
        wait_for_config(&self.cell, self.report.versions.acknowledged, deadline)
            .with_context(|| format!("after control process {process} has lost its disk"))?;
        self.report.versions.sent += 1;
        self.cell
            .put_config_until(self.report.versions.sent, deadline)
            .with_context(|| format!("after control process {process} has lost its disk"))?;
        self.report.versions.acknowledged = self.report.versions.sent;
        Ok(())
    }

    /// Lets all workers fail the runs that they start beside their long-running tasks, while jobs are
    /// submitted. The accepted ones must end afterwards; returns their long-running tasks.
    fn fail_all_workers(&mut self) -> anyhow::Result<Vec<LongRunningTask>> {
        let mut random = self.worker_error_random.clone();
        let duration = random_duration(&mut random, FINAL_ERRORS_MS);
        let workers = 0..self.cell.workers.len();
        self.schedule.fail_runs(&self.cell, workers, duration);
        let errors_end = Instant::now() + duration;
        while Instant::now() < errors_end {
            self.submit_job(&mut random);
            thread::sleep(JOB_INTERVAL);
        }
        self.schedule.end_all(&mut self.cell, self.program)?;
        let jobs = self.collect_submissions()?;
        self.report.failed_jobs += wait_until_ended(&self.cell, jobs.batch_keys)
            .context("after all workers have failed their runs")?;
        Ok(jobs.long_running)
    }

    /// Loses workers with long-running tasks, one after the other, each in a different way.
    fn lose_workers(&mut self, tasks: &[LongRunningTask]) -> anyhow::Result<()> {
        if let Some(crashed_at) = self.crashed_at {
            thread::sleep(CRASH_LEASE_TIME.saturating_sub(crashed_at.elapsed()));
        }
        let mut random = ChaCha8Rng::seed_from_u64(self.settings.seed);
        random.set_stream(LOST_WORKER_STREAM);
        let plans = [
            LostWorkerPlan::with_agent(&mut random),
            LostWorkerPlan::with_leader(&mut random),
        ];
        for plan in plans {
            let trial = LostWorkerTrial {
                program: self.program,
                cell: &mut self.cell,
                schedule: &mut self.schedule,
                plan,
            };
            let Some(restart_time) = trial.run(tasks).with_context(|| format!("{plan:?}"))? else {
                continue;
            };
            self.report.lost_workers += 1;
            self.report.restart_time_max = self.report.restart_time_max.max(restart_time);
            self.watch_long_running(tasks, Duration::ZERO)?;
        }
        Ok(())
    }

    /// Watches the long-running tasks for at least `time_min`; fails if one of them has been, or is,
    /// idle for too long.
    fn watch_long_running(
        &self,
        tasks: &[LongRunningTask],
        time_min: Duration,
    ) -> anyhow::Result<()> {
        let started_at = Instant::now();
        loop {
            let runs = self.cell.history.all();
            let now = Instant::now();
            if let Some(fault) = find_idle_task(tasks, &runs, &self.schedule.spans, now) {
                bail!("{fault}");
            }
            let watched = now - started_at;
            if watched >= time_min && all_running(tasks, &runs) {
                return Ok(());
            }
            if watched > WATCH_TIME_MAX {
                bail!("long-running tasks don't all run at the same time");
            }
            thread::sleep(WATCH_INTERVAL);
        }
    }
}

fn is_long_running(key: u64) -> bool {
    key.is_multiple_of(LONG_RUNNING_JOB_STEP) && key <= LONG_RUNNING_KEY_MAX
}
