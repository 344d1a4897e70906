//! Faults of a run: injects them, ends them and records when they were active.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::cell::SoakCell;
use crate::cell::CONTROL_COUNT;
use crate::disk::DiskFault;
use crate::programs::ProgramRole;
use guavavane_standin::prelude::RelayMode;

/// Faults that a relay can inject into its connections.
const RELAY_FAULTS: [RelayMode; 5] = [
    RelayMode::Drop,
    RelayMode::DropForward,
    RelayMode::DropBack,
    RelayMode::Close,
    RelayMode::Delay,
];
/// Duration of a process or network fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 100..4_000;
/// Duration of errors of workers, in milliseconds.
const WORKER_ERRORS_DURATION_MS: std::ops::Range<u64> = 1_000..6_000;
/// Duration of a disk fault, in milliseconds.
const DISK_FAULT_DURATION_MS: std::ops::Range<u64> = 1_000..5_000;
/// Time between two restarts of a series, in milliseconds; shorter than some of the downtimes, so
/// that restarts overlap.
const RESTART_GAP_MS: std::ops::Range<u64> = 300..2_500;
/// Downtime of a control process in a series of restarts, in milliseconds.
const RESTART_DOWNTIME_MS: std::ops::Range<u64> = 100..1_500;

/// Kind of a fault, with the index of its process or relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SoakFault {
    /// A process is suspended by SIGSTOP until SIGCONT.
    Suspended(usize),
    /// A process receives SIGKILL or SIGTERM and is restarted later.
    Terminated(usize),
    /// A relay drops, closes or delays its connections.
    Network(usize),
    /// A worker fails each run that it starts.
    WorkerErrors(usize),
    /// The disk of a control process is faulty.
    Disk(usize, DiskFault),
}

/// Fault that has been injected and not ended yet.
#[derive(Clone, Copy, Debug)]
struct ActiveFault {
    fault: SoakFault,
    began_at: Instant,
    ends_at: Instant,
}

impl ActiveFault {
    fn new(fault: SoakFault, duration: Duration) -> Self {
        let began_at = Instant::now();
        Self {
            fault,
            began_at,
            ends_at: began_at + duration,
        }
    }

    /// Index of the suspended or terminated process; none for another fault.
    fn process_index(&self) -> Option<usize> {
        match self.fault {
            SoakFault::Suspended(process) | SoakFault::Terminated(process) => Some(process),
            SoakFault::Network(_) | SoakFault::WorkerErrors(_) | SoakFault::Disk(..) => None,
        }
    }
}

/// Time during which a fault was active.
#[derive(Clone, Copy, Debug)]
pub struct FaultSpan {
    /// Time of the injection.
    pub began_at: Instant,
    /// Time at which the fault had ended.
    pub ended_at: Instant,
}

/// Outage of a process that begins later.
#[derive(Clone, Copy, Debug)]
pub struct PlannedOutage {
    /// Index of the process.
    pub process: usize,
    /// Time at which the process receives the signal.
    pub begins_at: Instant,
    /// Time until the process is resumed or restarted.
    pub downtime: Duration,
    /// Signal that ends or suspends the process.
    pub signal: Signal,
}

impl PlannedOutage {
    /// Time at which the process is back.
    pub fn ends_at(&self) -> Instant {
        self.begins_at + self.downtime
    }

    fn fault(&self) -> SoakFault {
        if self.signal == Signal::STOP {
            SoakFault::Suspended(self.process)
        } else {
            SoakFault::Terminated(self.process)
        }
    }
}

/// Active, planned and ended faults of a run.
#[derive(Debug, Default)]
pub struct FaultSchedule {
    active: Vec<ActiveFault>,
    planned: Vec<PlannedOutage>,
    /// Ended faults.
    pub spans: Vec<FaultSpan>,
    /// Control process whose disk was faulty last.
    pub last_disk_fault: Option<usize>,
}

impl FaultSchedule {
    /// Injects a random network or process fault; false if the chosen process can't take one.
    pub fn inject(&mut self, cell: &mut SoakCell, random: &mut ChaCha8Rng) -> bool {
        let fault = if random.random_bool(0.35) {
            let relay = random.random_range(0..cell.relays.len());
            let mode = RELAY_FAULTS[random.random_range(0..RELAY_FAULTS.len())];
            cell.relays[relay].set_mode(mode);
            SoakFault::Network(relay)
        } else {
            let Some(fault) = self.inject_process_fault(cell, random) else {
                return false;
            };
            fault
        };
        let duration = random_duration(random, FAULT_DURATION_MS);
        self.active.push(ActiveFault::new(fault, duration));
        true
    }

    /// Suspends or terminates a random process. A process takes one such fault at a time, and at
    /// most one control process is affected: more than one failure of three voters would cost the
    /// quorum.
    fn inject_process_fault(
        &self,
        cell: &mut SoakCell,
        random: &mut ChaCha8Rng,
    ) -> Option<SoakFault> {
        let process = random.random_range(0..cell.programs.len());
        let is_control = |index: usize| cell.programs[index].role == ProgramRole::Control;
        let mut affected = self.active.iter().filter_map(ActiveFault::process_index);
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

    /// Lets a random share of the workers, often all of them, fail each run that they start; false if
    /// no worker was chosen, or one fails its runs already.
    pub fn inject_worker_errors(&mut self, cell: &SoakCell, random: &mut ChaCha8Rng) -> bool {
        let share = if random.random_bool(0.4) { 1.0 } else { 0.5 };
        let mut workers: Vec<usize> = (0..cell.workers.len()).collect();
        workers.retain(|_| random.random_bool(share));
        let duration = random_duration(random, WORKER_ERRORS_DURATION_MS);
        let is_worker_error =
            |active: &ActiveFault| matches!(active.fault, SoakFault::WorkerErrors(_));
        if workers.is_empty() || self.active.iter().any(is_worker_error) {
            return false;
        }
        self.fail_runs(cell, workers, duration);
        true
    }

    /// Lets these workers fail each run that they start.
    pub fn fail_runs(
        &mut self,
        cell: &SoakCell,
        workers: impl IntoIterator<Item = usize>,
        duration: Duration,
    ) {
        for worker in workers {
            let fails_runs = &cell.workers[worker].fails_runs;
            fails_runs.store(true, Ordering::Relaxed);
            let fault = SoakFault::WorkerErrors(worker);
            self.active.push(ActiveFault::new(fault, duration));
        }
    }

    /// Causes a random disk fault of a control process; false if a disk is faulty already, or the
    /// fault can't be caused at present.
    pub fn inject_disk_fault(&mut self, cell: &SoakCell, random: &mut ChaCha8Rng) -> bool {
        let process = random.random_range(0..usize::from(CONTROL_COUNT));
        let kind = if random.random_bool(0.7) {
            DiskFault::Detached
        } else {
            DiskFault::FullSnapshot
        };
        let duration = random_duration(random, DISK_FAULT_DURATION_MS);
        let is_disk_fault = |active: &ActiveFault| matches!(active.fault, SoakFault::Disk(..));
        if self.active.iter().any(is_disk_fault) {
            return false;
        }
        // Fails while the folder is missing or a snapshot is being written.
        if kind.begin(&cell.programs[process].log_folder()).is_err() {
            return false;
        }
        self.last_disk_fault = Some(process);
        let fault = SoakFault::Disk(process, kind);
        self.active.push(ActiveFault::new(fault, duration));
        true
    }

    /// Plans a restart of each control process, in a random order and by random signals.
    pub fn plan_restarts(&mut self, random: &mut ChaCha8Rng) {
        let first = random.random_range(0..usize::from(CONTROL_COUNT));
        let mut begins_at = Instant::now();
        for offset in 0..usize::from(CONTROL_COUNT) {
            self.plan_outage(PlannedOutage {
                process: (first + offset) % usize::from(CONTROL_COUNT),
                begins_at,
                downtime: random_duration(random, RESTART_DOWNTIME_MS),
                signal: if random.random_bool(0.5) {
                    Signal::TERM
                } else {
                    Signal::KILL
                },
            });
            begins_at += random_duration(random, RESTART_GAP_MS);
        }
    }

    /// Plans an outage of a process.
    pub fn plan_outage(&mut self, outage: PlannedOutage) {
        self.planned.push(outage);
    }

    /// Ends the faults whose time is over, and begins the planned outages that are due.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started or a disk can't be restored.
    pub fn advance(&mut self, cell: &mut SoakCell, program: &Path) -> anyhow::Result<()> {
        let now = Instant::now();
        self.end_faults(cell, program, |fault| fault.ends_at <= now)?;
        let (due, planned) = std::mem::take(&mut self.planned)
            .into_iter()
            .partition::<Vec<_>, _>(|outage| outage.begins_at <= now);
        self.planned = planned;
        for outage in due {
            self.begin_outage(cell, outage);
        }
        Ok(())
    }

    /// Signals the process unless it is suspended or terminated already.
    fn begin_outage(&mut self, cell: &mut SoakCell, outage: PlannedOutage) {
        let mut affected = self.active.iter().filter_map(ActiveFault::process_index);
        if affected.any(|process| process == outage.process) {
            return;
        }
        cell.programs[outage.process].signal(outage.signal);
        self.active
            .push(ActiveFault::new(outage.fault(), outage.downtime));
    }

    /// Ends all faults; planned outages are dropped.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started or a disk can't be restored.
    pub fn end_all(&mut self, cell: &mut SoakCell, program: &Path) -> anyhow::Result<()> {
        self.planned.clear();
        self.end_faults(cell, program, |_| true)
    }

    /// Ends the selected faults and restarts terminated processes.
    fn end_faults(
        &mut self,
        cell: &mut SoakCell,
        program: &Path,
        is_over: impl Fn(&ActiveFault) -> bool,
    ) -> anyhow::Result<()> {
        let (ended, remaining) = std::mem::take(&mut self.active)
            .into_iter()
            .partition::<Vec<_>, _>(is_over);
        self.active = remaining;
        for fault in ended {
            self.end_fault(cell, program, fault.fault)?;
            self.spans.push(FaultSpan {
                began_at: fault.began_at,
                ended_at: Instant::now(),
            });
        }
        Ok(())
    }

    fn end_fault(
        &self,
        cell: &mut SoakCell,
        program: &Path,
        fault: SoakFault,
    ) -> anyhow::Result<()> {
        match fault {
            SoakFault::Suspended(index) => cell.programs[index].signal(Signal::CONT),
            SoakFault::Terminated(index) => {
                cell.programs[index].kill();
                cell.programs[index].start(program)?;
            }
            SoakFault::Network(index) => {
                let is_still_faulty = self.active.iter().any(|other| other.fault == fault);
                if !is_still_faulty {
                    cell.relays[index].set_mode(RelayMode::Pass);
                }
            }
            SoakFault::WorkerErrors(index) => {
                let worker = &cell.workers[index];
                worker.fails_runs.store(false, Ordering::Relaxed);
            }
            SoakFault::Disk(index, kind) => kind.end(&cell.programs[index].log_folder())?,
        }
        Ok(())
    }

    /// Starts the control processes that have exited by themselves; returns their number.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started.
    pub fn restart_exited(&self, cell: &mut SoakCell, program: &Path) -> anyhow::Result<usize> {
        let mut restarted = 0;
        for index in 0..usize::from(CONTROL_COUNT) {
            let is_terminated = self
                .active
                .iter()
                .any(|active| active.fault == SoakFault::Terminated(index));
            if !is_terminated && cell.programs[index].start(program)? {
                restarted += 1;
            }
        }
        Ok(restarted)
    }
}

/// Draws a duration in milliseconds from a range.
pub fn random_duration(random: &mut ChaCha8Rng, range_ms: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range_ms))
}
