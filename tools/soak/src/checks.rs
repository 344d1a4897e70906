//! Checks of a run: what callers were promised, and what workers executed.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use indexmap::IndexMap;

use crate::caller;
use crate::caller::RequestResult;
use crate::caller::ATTEMPTS_MAX;
use crate::cell::SoakCell;
use crate::cell::CONTROL_COUNT;
use crate::faults::FaultSpan;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::TaskKey;
use guavavane_standin::simulated_worker::RecordedRun;

/// Timeout for the completion of all accepted jobs after the faults have ended.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(40);
/// Time after a run of a long-running task within which the next one may start.
const RERUN_TIME: Duration = Duration::from_secs(6);
/// Time without a fault before a long-running task is considered idle.
const CALM_TIME: Duration = Duration::from_secs(4);
/// Maximum time for which a long-running task may be idle in a calm period.
const IDLE_TIME_MAX: Duration = Duration::from_secs(3);

/// Long-running task of an accepted job.
#[derive(Clone, Copy, Debug)]
pub struct LongRunningTask {
    /// Key of the task.
    pub task: TaskKey,
    /// Time at which the job was accepted.
    pub accepted_at: Instant,
}

/// Waits until all accepted jobs have ended; returns the number of those that failed because workers
/// have failed the runs of a task.
///
/// # Errors
///
/// Fails if a job doesn't end in time, has failed for no such reason or is unknown.
pub fn wait_until_ended(cell: &SoakCell, mut pending_keys: Vec<u64>) -> anyhow::Result<usize> {
    let deadline = Instant::now() + COMPLETION_TIMEOUT;
    let (mut queries, mut failed_jobs) = (0, 0);
    while let Some(key) = pending_keys.pop() {
        queries += 1;
        match caller::query_state(cell.entry_address(queries), key) {
            RequestResult::Answered(200, text) if text.contains("completed") => continue,
            RequestResult::Answered(200, text)
                if text.contains("failed") && may_have_failed(key, &cell.history.all()) =>
            {
                failed_jobs += 1;
                continue;
            }
            RequestResult::Answered(200, text) if !text.contains("failed") => {}
            RequestResult::Answered(503 | 504, _) | RequestResult::Unanswered => {}
            result => bail!("state query of accepted job {key:016x} returned {result:?}"),
        }
        if Instant::now() > deadline {
            bail!(
                "accepted job {key:016x} and {} more have not completed",
                pending_keys.len()
            );
        }
        pending_keys.insert(0, key);
        thread::sleep(Duration::from_millis(20));
    }
    Ok(failed_jobs)
}

/// Whether workers have failed [`ATTEMPTS_MAX`] runs of a task of the job.
pub fn may_have_failed(job_key: u64, runs: &[RecordedRun]) -> bool {
    let is_failure = |run: &&RecordedRun| {
        run.task.step.job == JobKey(job_key) && run.outcome == Some(RunOutcome::Failed)
    };
    let mut failures = IndexMap::<TaskKey, usize>::new();
    for run in runs.iter().filter(is_failure) {
        *failures.entry(run.task).or_default() += 1;
    }
    failures.into_values().any(|count| count >= ATTEMPTS_MAX)
}

/// Waits until a control process returns the acknowledged configuration or a newer one.
///
/// # Errors
///
/// Fails if a process returns an older one, or none returns one until the deadline.
pub fn wait_for_config(cell: &SoakCell, version: u64, deadline: Instant) -> anyhow::Result<()> {
    for number in (0..CONTROL_COUNT).cycle() {
        match caller::read_config_version(cell.control_address(number)) {
            Some(read) if read < version => {
                bail!("configuration {version} was acknowledged, {read} is read")
            }
            Some(_) => break,
            None if Instant::now() > deadline => {
                bail!("no control process returns a configuration, {version} was acknowledged")
            }
            None => thread::sleep(Duration::from_millis(100)),
        }
    }
    Ok(())
}

/// Describes a long-running task that was idle for too long in a calm period before `until`.
pub fn find_idle_task(
    tasks: &[LongRunningTask],
    runs: &[RecordedRun],
    faults: &[FaultSpan],
    until: Instant,
) -> Option<String> {
    tasks.iter().find_map(|task| {
        let idle_since = idle_periods(task, runs, until)
            .into_iter()
            .find_map(|(from, to)| find_calm_time(from, to, faults))?;
        let last_run = runs.iter().rfind(|run| run.task == task.task);
        Some(format!(
            "long-running task {} has no run for {} s in a calm period, since {:?} before the end \
             of the check; last run: {last_run:?}",
            task.task,
            IDLE_TIME_MAX.as_secs(),
            until - idle_since,
        ))
    })
}

/// Whether each task has an active run.
pub fn all_running(tasks: &[LongRunningTask], runs: &[RecordedRun]) -> bool {
    let is_active = |run: &RecordedRun| run.ended.is_none();
    tasks.iter().all(|task| {
        runs.iter()
            .any(|run| run.task == task.task && is_active(run))
    })
}

/// Periods between two runs of a task, the first one from its acceptance, the last one to `until`.
fn idle_periods(
    task: &LongRunningTask,
    runs: &[RecordedRun],
    until: Instant,
) -> Vec<(Instant, Instant)> {
    let mut periods = Vec::new();
    let mut idle_since = Some(task.accepted_at);
    for run in runs.iter().filter(|run| run.task == task.task) {
        periods.extend(idle_since.map(|from| (from, run.started_at)));
        idle_since = run.ended;
    }
    periods.extend(idle_since.map(|from| (from, until)));
    periods
}

/// First time in an idle period from which the task had to run: [`RERUN_TIME`] after the start of
/// the period, and with no fault from [`CALM_TIME`] before it to [`IDLE_TIME_MAX`] after it.
fn find_calm_time(from: Instant, to: Instant, faults: &[FaultSpan]) -> Option<Instant> {
    let earliest = from + RERUN_TIME;
    let after_faults = faults.iter().map(|fault| fault.ended_at + CALM_TIME);
    after_faults
        .chain([earliest])
        .filter(|time| *time >= earliest && *time + IDLE_TIME_MAX <= to)
        .filter(|time| {
            let is_near = |fault: &FaultSpan| {
                fault.began_at < *time + IDLE_TIME_MAX && fault.ended_at + CALM_TIME > *time
            };
            !faults.iter().any(is_near)
        })
        .min()
}
