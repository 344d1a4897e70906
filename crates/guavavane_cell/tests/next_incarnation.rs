//! Orders that outlive the incarnation of the worker that they were meant for.
//!
//! Guards against a task that runs twice: a start without an answer is tried again, or carried out
//! late, and reaches the next incarnation of the worker, which has the same name and a clock that
//! starts anew, while the leader has started the task elsewhere.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::support::agent_settings;
use crate::support::odd_worker::OddWorker;
use crate::support::odd_worker::WorkerOddity;
use crate::support::step;
use crate::support::worker_heartbeat;
use crate::support::TestCell;
use guavavane_cell::prelude::start_agent;
use guavavane_cell::prelude::AgentHandle;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::JobState;
use guavavane_cell::prelude::OrderAnswer;
use guavavane_cell::prelude::StartOrder;
use guavavane_cell::prelude::WorkerApi;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RawStep;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_jobs::prelude::StepKey;
use guavavane_jobs::prelude::TaskKey;
use guavavane_standin::simulated_worker::RecordedRun;
use guavavane_standin::simulated_worker::SimulatedWorker;
use guavavane_standin::simulated_worker::LONG_RUNNING_PAYLOAD;

/// Run time of a task, longer than the test.
const TASK_RUN_TIME: Duration = Duration::from_secs(60);
/// Run time of a task that ends while the worker is being adopted.
const LATE_RUN_TIME: Duration = Duration::from_millis(5);
/// Run time of a task whose start is tried again meanwhile.
const RETRIED_RUN_TIME: Duration = Duration::from_secs(1);
/// Longest wait for starts that nothing delays.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which a run that has to stop is stopped.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which a restarted worker is adopted, shorter than what is left until the deadline of a held
/// start.
const ADOPTION_TIME: Duration = Duration::from_millis(300);
/// Time for which the renewals that an ended incarnation has left open stay without an answer.
const OPEN_RENEWAL_TIME: Duration = Duration::from_millis(500);
/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Number of workers.
const WORKERS: u64 = 2;
/// Job that occupies the workers from the start.
const BUSY_JOB: u64 = 9;
/// Number of tasks of the other job.
const TASKS: u64 = 6;
/// Number of all tasks.
const ALL_TASKS: usize = (TASKS + WORKERS) as usize;
/// Start of the second incarnation, as it reports it.
const RESTARTED_MS: u64 = 2;

/// Starts a cell whose two workers run a task each.
async fn start_busy_cell() -> TestCell {
    let cell = TestCell::start(WORKERS as usize, TASK_RUN_TIME).await;
    let busy_step = RawStep {
        per_worker_max: 1,
        ..step(WORKERS, Vec::new())
    };
    let accepted = cell.submit(BUSY_JOB, vec![busy_step]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    cell.wait_for_starts(WORKERS as usize, START_TIMEOUT).await;
    cell
}

/// Waits until the worker with index 0 holds starts of a job that was just submitted.
async fn hold_starts(cell: &TestCell, step: RawStep) {
    let job = RawJob {
        payload: LONG_RUNNING_PAYLOAD.to_owned(),
        steps: vec![step],
        ..RawJob::default()
    };
    cell.workers[0].holds_starts.store(true, Ordering::Relaxed);
    let reply = cell.call(1, CallerAction::Submit(Arc::new(job))).await;
    assert_eq!(reply, CallerReply::Accepted);
    let until = Instant::now() + START_TIMEOUT;
    while cell.workers[0].held_starts() == 0 || cell.history.all().len() == WORKERS as usize {
        assert!(Instant::now() < until, "no start is held");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Submits a job of one task and waits until the only worker holds its start.
async fn hold_only_start(cell: &TestCell) {
    cell.workers[0].holds_starts.store(true, Ordering::Relaxed);
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let until = Instant::now() + START_TIMEOUT;
    while cell.workers[0].held_starts() == 0 {
        assert!(Instant::now() < until, "no start is held");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    cell.workers[0].holds_starts.store(false, Ordering::Relaxed);
}

/// Restarts the worker with index 0 under its name.
async fn restart_worker(cell: &TestCell) {
    cell.workers[0].holds_starts.store(false, Ordering::Relaxed);
    cell.workers[0].restart(RESTARTED_MS);
    announce_restarted_worker(cell).await;
}

async fn announce_restarted_worker(cell: &TestCell) {
    let mut heartbeat = worker_heartbeat(0);
    heartbeat.key.started_ms = RESTARTED_MS;
    assert!(cell.agents[0].record_heartbeat(heartbeat).await);
}

fn active_runs(cell: &TestCell) -> Vec<RecordedRun> {
    let mut runs = cell.history.all();
    runs.retain(|run| run.ended.is_none());
    runs
}

/// Waits until this many runs are active.
async fn wait_for_active_runs(cell: &TestCell, count: usize) {
    let until = Instant::now() + START_TIMEOUT;
    while active_runs(cell).len() != count {
        assert!(Instant::now() < until, "{:?}", active_runs(cell));
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Tasks that are spread and don't end.
fn spread_step() -> RawStep {
    step(TASKS, Vec::new())
}

/// Tasks that last, the same number on each of two workers.
fn long_running_step() -> RawStep {
    RawStep {
        long_running: true,
        per_worker_max: TASKS / 2,
        ..spread_step()
    }
}

// Guards against a start that is tried again until the next incarnation accepts it.
#[tokio::test]
async fn a_start_is_not_tried_again_at_the_next_incarnation() {
    let cell = start_busy_cell().await;
    cell.workers[0].silent.store(true, Ordering::Relaxed);
    let accepted = cell.submit(1, vec![step(TASKS, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    cell.wait_for_starts(WORKERS as usize + 1, START_TIMEOUT)
        .await;
    cell.workers[0].restart(RESTARTED_MS);
    cell.workers[0].silent.store(false, Ordering::Relaxed);
    announce_restarted_worker(&cell).await;
    wait_for_active_runs(&cell, ALL_TASKS).await;
    tokio::time::sleep(STOP_TIMEOUT).await;
    cell.history.assert_no_duplicate_runs();
}

// Guards against a start that is carried out after the first list of the next incarnation.
#[tokio::test]
async fn a_late_start_is_refused_by_the_next_incarnation() {
    for step in [spread_step(), long_running_step()] {
        let cell = start_busy_cell().await;
        hold_starts(&cell, step).await;
        restart_worker(&cell).await;
        wait_for_active_runs(&cell, ALL_TASKS).await;
        cell.workers[0].carry_out_held_starts();
        cell.history.assert_no_duplicate_runs();
        assert_eq!(active_runs(&cell).len(), ALL_TASKS);
    }
}

// Guards against a lease that a late start extends by the clock of the earlier incarnation: its end is
// reported while the runs go on.
#[tokio::test]
async fn a_late_start_extends_no_lease_beyond_what_the_agent_awaits() {
    let cell = start_busy_cell().await;
    hold_starts(&cell, spread_step()).await;
    restart_worker(&cell).await;
    wait_for_active_runs(&cell, ALL_TASKS).await;
    let on_worker = |run: &RecordedRun| run.worker == 0;
    assert!(active_runs(&cell).iter().any(on_worker));
    cell.workers[0].carry_out_held_starts();
    cell.workers[0].silent.store(true, Ordering::Relaxed);
    tokio::time::sleep(STOP_TIMEOUT).await;
    cell.workers[0].advance();
    cell.history.assert_no_duplicate_runs();
}

// Guards against a start that is carried out before the first list of the next incarnation.
#[tokio::test]
async fn a_late_start_is_stopped_before_its_task_starts_elsewhere() {
    let cell = start_busy_cell().await;
    hold_starts(&cell, spread_step()).await;
    cell.workers[0].holds_starts.store(false, Ordering::Relaxed);
    cell.workers[0].restart(RESTARTED_MS);
    cell.workers[0].carry_out_held_starts();
    announce_restarted_worker(&cell).await;
    tokio::time::sleep(STOP_TIMEOUT).await;
    wait_for_active_runs(&cell, ALL_TASKS).await;
    cell.history.assert_no_duplicate_runs();
}

// Guards against late starts that a new process of the agent knows nothing of.
#[tokio::test]
async fn a_late_start_of_an_earlier_agent_process_is_refused_by_the_next_incarnation() {
    let mut cell = start_busy_cell().await;
    hold_starts(&cell, spread_step()).await;
    cell.agents[0] = start_agent(agent_settings(0, cell.address), cell.workers[0].clone());
    restart_worker(&cell).await;
    wait_for_active_runs(&cell, ALL_TASKS).await;
    cell.workers[0].carry_out_held_starts();
    cell.history.assert_no_duplicate_runs();
}

/// Waits until the only worker has completed a job of one task whose start had no answer, and holds
/// another try of that start.
async fn complete_with_retried_start(cell: &TestCell) {
    let worker = &cell.workers[0];
    worker.drops_answers.store(true, Ordering::Relaxed);
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    cell.wait_for_starts(1, START_TIMEOUT).await;
    worker.holds_starts.store(true, Ordering::Relaxed);
    cell.wait_for_state(1, JobState::Completed, START_TIMEOUT)
        .await;
    assert!(worker.held_starts() > 0, "the start was not tried again");
    worker.drops_answers.store(false, Ordering::Relaxed);
}

// Guards against a completed task that runs again since its start was tried twice.
#[tokio::test]
async fn a_retried_start_of_a_completed_run_is_refused_by_the_next_incarnation() {
    let cell = TestCell::start(1, RETRIED_RUN_TIME).await;
    complete_with_retried_start(&cell).await;
    restart_worker(&cell).await;
    tokio::time::sleep(ADOPTION_TIME).await;
    cell.workers[0].carry_out_held_starts();
    cell.history.assert_no_duplicate_runs();
}

// Guards against a completed task that runs again since a new process of the agent doesn't know of the
// second try of its start, and the leader no longer of the run.
#[tokio::test]
async fn a_retried_start_of_an_earlier_agent_process_is_refused_by_the_next_incarnation() {
    let mut cell = TestCell::start(1, RETRIED_RUN_TIME).await;
    complete_with_retried_start(&cell).await;
    cell.agents[0] = start_agent(agent_settings(0, cell.address), cell.workers[0].clone());
    restart_worker(&cell).await;
    tokio::time::sleep(ADOPTION_TIME).await;
    cell.workers[0].carry_out_held_starts();
    cell.history.assert_no_duplicate_runs();
}

// Guards against the late start of a cancelled job, which would run with nobody knowing of it.
#[tokio::test]
async fn a_late_start_of_a_cancelled_job_is_refused_by_the_next_incarnation() {
    let cell = start_busy_cell().await;
    hold_starts(&cell, spread_step()).await;
    let cancelled = cell.call(1, CallerAction::Cancel).await;
    assert_eq!(cancelled, CallerReply::Cancelled);
    restart_worker(&cell).await;
    wait_for_active_runs(&cell, WORKERS as usize).await;
    tokio::time::sleep(ADOPTION_TIME).await;
    cell.workers[0].carry_out_held_starts();
    assert_eq!(active_runs(&cell).len(), WORKERS as usize);
}

// Guards against a task that runs again although a late start of it has completed.
#[tokio::test]
async fn the_completion_of_a_late_start_counts() {
    let cell = TestCell::start(1, Duration::from_millis(1)).await;
    hold_only_start(&cell).await;
    cell.workers[0].restart(RESTARTED_MS);
    cell.workers[0].carry_out_held_starts();
    tokio::time::sleep(CHECK_INTERVAL).await;
    cell.workers[0].advance();
    announce_restarted_worker(&cell).await;
    cell.wait_for_state(1, JobState::Completed, START_TIMEOUT)
        .await;
    assert_eq!(cell.history.all().len(), 1, "{:?}", cell.history.all());
}

// Guards against a completion that is committed for the next incarnation before the runs of the earlier
// one are given to it: it has no effect there, and the task runs again.
#[tokio::test]
async fn the_completion_of_a_late_start_counts_although_it_comes_between_two_reports() {
    let cell = TestCell::start(1, LATE_RUN_TIME).await;
    hold_only_start(&cell).await;
    cell.workers[0].restart(RESTARTED_MS);
    announce_restarted_worker(&cell).await;
    cell.workers[0].carry_out_held_starts();
    cell.wait_for_state(1, JobState::Completed, START_TIMEOUT)
        .await;
    let runs = cell.history.all();
    let done = runs
        .iter()
        .filter(|run| run.outcome == Some(RunOutcome::Done));
    assert_eq!(done.count(), 1, "{runs:?}");
}

// Guards against a run on a worker that neither its agent nor the leader has ordered and nobody stops.
#[tokio::test]
async fn a_run_that_nobody_knows_of_is_stopped() {
    let cell = TestCell::start(1, TASK_RUN_TIME).await;
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    cell.wait_for_starts(1, START_TIMEOUT).await;
    let step = StepKey {
        job: JobKey(7),
        occurrence: 0,
        step: 0,
    };
    let order = StartOrder {
        task: step.task(0),
        run: RunNumber(1),
        payload: Arc::from("payload"),
        checkpoint: Arc::from(""),
        deadline_ms: u64::MAX,
        ticket: Arc::from(""),
    };
    let key = worker_heartbeat(0).key;
    let answer = cell.workers[0].start(key, 0, order).await;
    assert_eq!(answer, OrderAnswer::Done);
    wait_for_active_runs(&cell, 1).await;
    let left: Vec<TaskKey> = active_runs(&cell).iter().map(|run| run.task).collect();
    assert_eq!(left[0].step.job, JobKey(1));
}

/// Worker that records which completions are acknowledged to it, and the deadline of its latest renewal.
#[derive(Clone)]
struct RecordingWorker {
    worker: SimulatedWorker,
    acknowledged: Arc<Mutex<Vec<u64>>>,
    deadline_ms: Arc<Mutex<Option<u64>>>,
}

impl WorkerOddity for RecordingWorker {
    fn worker(&self) -> &SimulatedWorker {
        &self.worker
    }

    fn record_acknowledgement(&self, last_completion: u64) {
        self.acknowledged.lock().unwrap().push(last_completion);
    }

    fn record_renewal(&self, deadline_ms: Option<u64>) {
        *self.deadline_ms.lock().unwrap() = deadline_ms;
    }
}

/// Starts a cell with one worker that records its renewals, and submits a job of one task.
async fn start_recorded_cell(run_time: Duration) -> (TestCell, RecordingWorker, AgentHandle) {
    let cell = TestCell::start(0, TASK_RUN_TIME).await;
    let worker = RecordingWorker {
        worker: SimulatedWorker::new(0, run_time, cell.history.clone()),
        acknowledged: Arc::default(),
        deadline_ms: Arc::default(),
    };
    let agent = start_agent(agent_settings(0, cell.address), OddWorker(worker.clone()));
    assert!(agent.record_heartbeat(worker_heartbeat(0)).await);
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    (cell, worker, agent)
}

// Guards against a renewal that is carried out late by the next incarnation, which then forgets
// completions of its own that nobody has seen.
#[tokio::test]
async fn a_completion_that_the_worker_has_forgotten_is_not_acknowledged_again() {
    let (cell, worker, _agent) = start_recorded_cell(CHECK_INTERVAL).await;
    cell.wait_for_state(1, JobState::Completed, START_TIMEOUT)
        .await;
    tokio::time::sleep(STOP_TIMEOUT).await;
    let acknowledged = worker.acknowledged.lock().unwrap().clone();
    assert!(acknowledged.contains(&1), "{acknowledged:?}");
    assert_eq!(acknowledged.last(), Some(&0), "{acknowledged:?}");
}

// Guards against a renewal that reaches the next incarnation after an unanswered one: that would forget
// completions that nobody has seen, and hold a lease by the clock of the earlier one.
#[tokio::test]
async fn a_renewal_after_an_unanswered_one_acknowledges_nothing_and_has_no_deadline() {
    let (cell, worker, _agent) = start_recorded_cell(TASK_RUN_TIME).await;
    cell.wait_for_starts(1, START_TIMEOUT).await;
    let until = Instant::now() + START_TIMEOUT;
    while worker.deadline_ms.lock().unwrap().is_none() {
        assert!(Instant::now() < until, "no renewal has a deadline");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    worker.worker.silent.store(true, Ordering::Relaxed);
    tokio::time::sleep(ADOPTION_TIME).await;
    assert_eq!(*worker.deadline_ms.lock().unwrap(), None);
    assert_eq!(worker.acknowledged.lock().unwrap().last(), Some(&0));
}

// Guards against an agent that learns of the next incarnation only when a renewal to the ended one times
// out: until then a late start runs there unhindered.
#[tokio::test]
async fn the_heartbeat_of_the_next_incarnation_does_not_wait_for_an_open_renewal() {
    let cell = start_busy_cell().await;
    // The open renewal waits for up to a third of the worker's lease.
    tokio::time::sleep(Duration::from_millis(20)).await;
    cell.workers[0].answers_late.store(true, Ordering::Relaxed);
    cell.workers[0].restart(RESTARTED_MS);
    let restarted_at = Instant::now();
    announce_restarted_worker(&cell).await;
    wait_for_active_runs(&cell, WORKERS as usize).await;
    let waited = restarted_at.elapsed();
    assert!(waited < OPEN_RENEWAL_TIME, "{waited:?}");
}

// Guards against the question which incarnation answers that itself lets the next one forget completions.
#[tokio::test]
async fn a_renewal_after_the_heartbeat_of_a_later_incarnation_acknowledges_nothing() {
    let (cell, worker, agent) = start_recorded_cell(CHECK_INTERVAL).await;
    cell.wait_for_state(1, JobState::Completed, START_TIMEOUT)
        .await;
    worker.worker.silent.store(true, Ordering::Relaxed);
    let renewals = worker.acknowledged.lock().unwrap().len();
    let mut later = worker_heartbeat(0);
    later.key.started_ms = RESTARTED_MS;
    assert!(agent.record_heartbeat(later).await);
    tokio::time::sleep(ADOPTION_TIME).await;
    let acknowledged = worker.acknowledged.lock().unwrap().clone();
    assert!(acknowledged.len() > renewals, "{acknowledged:?}");
    assert!(
        acknowledged[renewals..].iter().all(|number| *number == 0),
        "{acknowledged:?}"
    );
    assert_eq!(*worker.deadline_ms.lock().unwrap(), None);
}
