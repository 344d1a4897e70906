//! Loss of a worker that its agent may be unable to report to the leader.
//!
//! The agent is killed, terminated or suspended as well and a leader is lost in the same second, or
//! the leader is lost while the lease of the worker ends. The long-running tasks of the worker must
//! run elsewhere once the lease has certainly expired.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use anyhow::Context;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::cell::SoakCell;
use crate::cell::WorkerLoss;
use crate::checks::LongRunningTask;
use crate::faults::random_duration;
use crate::faults::FaultSchedule;
use crate::faults::FaultSpan;
use crate::faults::PlannedOutage;
use crate::office::OfficeWatch;
use guavavane_cell::prelude::LeaseTiming;
use guavavane_standin::simulated_worker::RecordedRun;

/// Leases of the processes under test with the settings of [`crate::programs`].
const LEASE_TIMING: LeaseTiming = LeaseTiming {
    agent_lease: Duration::from_millis(12_000),
    worker_lease: Duration::from_millis(2_500),
    worker_lease_max: Duration::from_millis(6_000),
    thaw_slack: Duration::from_millis(300),
};
/// Longest time until a task runs elsewhere while a leader is in office, after its worker's lease has
/// certainly expired, its agent is back and the former leader was lost: new sessions and a start.
const RESTART_TIME_MAX: Duration = Duration::from_secs(4);
/// Delay of the other faults after the loss of the worker, in milliseconds.
const FAULT_DELAY_MS: std::ops::Range<u64> = 0..1_000;
/// Delay of the loss of the leader after the lease of the worker, in milliseconds; shorter than the
/// margin after which the agent reports the expiry.
const LEADER_DELAY_MS: std::ops::Range<u64> = 0..300;
/// Downtime of the agent, in milliseconds.
const AGENT_DOWNTIME_MS: std::ops::Range<u64> = 100..1_500;
/// Downtime of the leader, in milliseconds: long enough that another one is elected.
const LEADER_DOWNTIME_MS: std::ops::Range<u64> = 2_000..4_000;
/// Timeout for a control process that leads.
const LEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time from the loss of a worker until a leader that stays in office.
const OFFICE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two looks at the runs.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Signal that a process receives, the time before it and the downtime after it.
#[derive(Clone, Copy, Debug)]
struct SignalPlan {
    signal: Signal,
    delay: Duration,
    downtime: Duration,
}

impl SignalPlan {
    fn outage(self, process: usize, from: Instant) -> PlannedOutage {
        PlannedOutage {
            process,
            begins_at: from + self.delay,
            downtime: self.downtime,
            signal: self.signal,
        }
    }
}

/// Faults that accompany the loss of a worker.
#[derive(Clone, Copy, Debug)]
pub struct LostWorkerPlan {
    loss: WorkerLoss,
    /// Outage of the agent, from the loss of the worker; none if the agent runs on.
    agent: Option<SignalPlan>,
    /// Outage of the leader: from the loss of the worker if there is one of the agent, from the end
    /// of the worker's lease otherwise.
    leader: SignalPlan,
}

impl LostWorkerPlan {
    /// Draws a plan in which the agent and the leader are lost in the same second as the worker.
    pub fn with_agent(random: &mut ChaCha8Rng) -> Self {
        let signals = [Signal::KILL, Signal::TERM, Signal::STOP];
        Self {
            loss: random_loss(random),
            agent: Some(SignalPlan {
                signal: signals[random.random_range(0..signals.len())],
                delay: random_duration(random, FAULT_DELAY_MS),
                downtime: random_duration(random, AGENT_DOWNTIME_MS),
            }),
            leader: random_leader_outage(random, FAULT_DELAY_MS),
        }
    }

    /// Draws a plan in which the leader is lost just before the agent reports the end of the lease.
    pub fn with_leader(random: &mut ChaCha8Rng) -> Self {
        Self {
            loss: random_loss(random),
            agent: None,
            leader: random_leader_outage(random, LEADER_DELAY_MS),
        }
    }
}

fn random_loss(random: &mut ChaCha8Rng) -> WorkerLoss {
    if random.random_bool(0.5) {
        WorkerLoss::Silent
    } else {
        WorkerLoss::Gone
    }
}

fn random_leader_outage(random: &mut ChaCha8Rng, delay_ms: std::ops::Range<u64>) -> SignalPlan {
    SignalPlan {
        // A leader that is killed closes its sessions, so that agents keep what they have to report.
        signal: if random.random_bool(0.3) {
            Signal::KILL
        } else {
            Signal::STOP
        },
        delay: random_duration(random, delay_ms),
        downtime: random_duration(random, LEADER_DOWNTIME_MS),
    }
}

/// Loss of one worker in a cell that has no other fault.
pub struct LostWorkerTrial<'a> {
    /// Program under test.
    pub program: &'a Path,
    /// Cell in which all long-running tasks run.
    pub cell: &'a mut SoakCell,
    /// Schedule for the outages.
    pub schedule: &'a mut FaultSchedule,
    /// Faults to inject.
    pub plan: LostWorkerPlan,
}

impl LostWorkerTrial<'_> {
    /// Loses the worker with the most long-running tasks, and restores it once all of them run
    /// elsewhere. Returns the time that the last one needed from the moment at which it could start;
    /// none if no worker has such a task.
    ///
    /// # Errors
    ///
    /// Fails if a task doesn't run elsewhere in time, or if no control process leads.
    pub fn run(mut self, tasks: &[LongRunningTask]) -> anyhow::Result<Option<Duration>> {
        let Some((worker, lost_runs)) = busiest_worker(tasks, &self.cell.history.all()) else {
            return Ok(None);
        };
        let leader = self.find_leader()?;
        let began_at = Instant::now();
        self.cell.lose_worker(worker, self.plan.loss);
        let restart_time = self.watch_restarts(worker, leader, &lost_runs)?;
        self.schedule.end_all(self.cell, self.program)?;
        self.cell.restore_worker(worker);
        let ended_at = Instant::now();
        self.schedule.spans.push(FaultSpan { began_at, ended_at });
        Ok(Some(restart_time))
    }

    fn find_leader(&self) -> anyhow::Result<usize> {
        let deadline = Instant::now() + LEADER_TIMEOUT;
        loop {
            if let Some(leader) = self.cell.find_leader() {
                return Ok(leader);
            }
            if Instant::now() > deadline {
                bail!("no control process leads");
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Injects the other faults and waits until all lost runs have a successor elsewhere.
    fn watch_restarts(
        &mut self,
        worker: usize,
        leader: usize,
        lost_runs: &[RecordedRun],
    ) -> anyhow::Result<Duration> {
        let lost_at = Instant::now();
        let agent_plan = self.plan.agent;
        let agent = agent_plan.map(|plan| plan.outage(self.cell.agent_index(worker), lost_at));
        agent
            .into_iter()
            .for_each(|outage| self.schedule.plan_outage(outage));
        let mut leader_outage: Option<PlannedOutage> = None;
        let office = OfficeWatch::start(self.cell);
        loop {
            self.schedule.advance(self.cell, self.program)?;
            self.schedule.restart_exited(self.cell, self.program)?;
            let runs = self.cell.history.all();
            let is_leader_due = agent.is_some() || has_lapsed(lost_runs, &runs);
            if leader_outage.is_none() && is_leader_due {
                let outage = self.plan.leader.outage(leader, Instant::now());
                self.schedule.plan_outage(outage);
                leader_outage = Some(outage);
            }
            let possible_at = restart_possible_at(lost_at, agent, leader_outage);
            if let Some(restarted_at) = restarted_at(worker, lost_at, lost_runs, &runs) {
                return Ok(restarted_at.saturating_duration_since(possible_at));
            }
            let office_since = office.since();
            let counted_from = office_since.map(|since| since.max(possible_at));
            let is_late = counted_from.is_some_and(|from| from.elapsed() > RESTART_TIME_MAX);
            if is_late || lost_at.elapsed() > OFFICE_TIMEOUT {
                return Err(missing_restart(worker, lost_at, lost_runs, &runs)).with_context(
                    || format!("worker {worker}, leader {leader}, {office_since:?}"),
                );
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Worker with the most active runs of long-running tasks, and these runs.
fn busiest_worker(
    tasks: &[LongRunningTask],
    runs: &[RecordedRun],
) -> Option<(usize, Vec<RecordedRun>)> {
    let is_active =
        |run: &&RecordedRun| run.ended.is_none() && tasks.iter().any(|task| task.task == run.task);
    let active: Vec<RecordedRun> = runs.iter().filter(is_active).cloned().collect();
    let on = |worker: usize| active.iter().filter(move |run| run.worker == worker);
    let busiest = active.iter().map(|run| run.worker);
    let busiest = busiest.max_by_key(|worker| on(*worker).count())?;
    Some((busiest, on(busiest).cloned().collect()))
}

/// Whether a lost run has ended.
fn has_lapsed(lost_runs: &[RecordedRun], runs: &[RecordedRun]) -> bool {
    runs.iter().any(|run| {
        let is_lost = lost_runs
            .iter()
            .any(|lost| (lost.task, lost.run) == (run.task, run.run));
        is_lost && run.ended.is_some()
    })
}

/// Time at which the lease of the worker has certainly expired, its agent is back and the leader was
/// lost. A new process of the agent has to wait for a lease that the earlier one may have extended.
fn restart_possible_at(
    lost_at: Instant,
    agent: Option<PlannedOutage>,
    leader: Option<PlannedOutage>,
) -> Instant {
    let lease_bound = LEASE_TIMING.expiry_bound(LEASE_TIMING.worker_lease);
    let agent_back_at = agent.map_or(lost_at, |outage| outage.ends_at());
    let leader_lost_at = leader.map_or(lost_at, |outage| outage.begins_at);
    (agent_back_at + lease_bound).max(leader_lost_at)
}

/// First run of a lost task elsewhere.
fn successor<'a>(
    worker: usize,
    lost_at: Instant,
    lost: &RecordedRun,
    runs: &'a [RecordedRun],
) -> Option<&'a RecordedRun> {
    runs.iter()
        .find(|run| run.task == lost.task && run.worker != worker && run.started_at > lost_at)
}

/// Time at which the last of the lost runs had a successor; none if one has none.
fn restarted_at(
    worker: usize,
    lost_at: Instant,
    lost_runs: &[RecordedRun],
    runs: &[RecordedRun],
) -> Option<Instant> {
    let starts = lost_runs.iter().map(|lost| {
        let run = successor(worker, lost_at, lost, runs)?;
        Some(run.started_at)
    });
    starts.collect::<Option<Vec<_>>>()?.into_iter().max()
}

fn missing_restart(
    worker: usize,
    lost_at: Instant,
    lost_runs: &[RecordedRun],
    runs: &[RecordedRun],
) -> anyhow::Error {
    let missing: Vec<_> = lost_runs
        .iter()
        .filter(|lost| successor(worker, lost_at, lost, runs).is_none())
        .map(|lost| lost.task.to_string())
        .collect();
    anyhow::anyhow!(
        "tasks {missing:?} run nowhere else {:?} after their worker was lost",
        lost_at.elapsed()
    )
}
