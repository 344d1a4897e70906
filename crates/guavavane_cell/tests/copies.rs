//! Copies of runs that take long, from the leader to the workers.
//!
//! Guards against a job that waits for its slowest run although other workers are idle, against a run
//! that goes on after the other one of its task has succeeded or its job was cancelled, and against
//! copies that a leader starts beside a replica that can't read them.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpListener;

use crate::support::agent_settings;
use crate::support::catalog;
use crate::support::group::free_addresses;
use crate::support::group::query_leader_and_members;
use crate::support::group::settings;
use crate::support::group::wait_for_leader;
use crate::support::step;
use crate::support::worker_heartbeat;
use crate::support::TestCell;
use crate::support::HOST;
use crate::support::PREFIX;
use guavavane_cell::entry::CallerRequest;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::start_agent;
use guavavane_cell::prelude::start_control;
use guavavane_cell::prelude::start_entry;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::EntryHandle;
use guavavane_cell::prelude::EntrySettings;
use guavavane_cell::prelude::JobState;
use guavavane_cell::prelude::OperatorReply;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RawStep;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::RunOutcome;
use guavavane_model::prelude::ResourceVector;
use guavavane_quorum::prelude::ReplicaId;
use guavavane_standin::simulated_worker::RecordedRun;
use guavavane_standin::simulated_worker::RunHistory;
use guavavane_standin::simulated_worker::SimulatedWorker;
use guavavane_standin::simulated_worker::LONG_RUNNING_PAYLOAD;
use guavavane_transport::prelude::accept_streams;
use guavavane_transport::prelude::open_stream;
use guavavane_transport::prelude::MessageStream;

/// Run time of a task.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Run time of a task on a slow worker, longer than each test.
const SLOW_RUN_TIME: Duration = Duration::from_secs(60);
/// Number of tasks from whose run times the leader learns.
const TASKS: u64 = 40;
/// Longest wait for what nothing delays on an idle machine; the machine may be busy.
const LIMIT: Duration = Duration::from_secs(20);
/// Time in which a copy would have started if one were allowed: several checks of the leader.
const QUIET_PERIOD: Duration = Duration::from_millis(1_500);
/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

fn speculative_step(tasks: u64) -> RawStep {
    RawStep {
        speculative: true,
        ..step(tasks, Vec::new())
    }
}

async fn submit(cell: &TestCell, key: u64, payload: &str, step: RawStep) {
    let job = RawJob {
        payload: payload.to_owned(),
        steps: vec![step],
        ..RawJob::default()
    };
    let reply = cell.call(key, CallerAction::Submit(Arc::new(job))).await;
    assert_eq!(reply, CallerReply::Accepted);
}

/// Adds a worker with this run time to a cell.
async fn add_worker(cell: &mut TestCell, run_time: Duration) {
    let index = cell.workers.len();
    let worker = SimulatedWorker::new(index, run_time, cell.history.clone());
    let agent = start_agent(agent_settings(index, cell.address), worker.clone());
    assert!(agent.record_heartbeat(worker_heartbeat(index)).await);
    cell.workers.push(worker);
    cell.agents.push(agent);
}

/// Cell whose leader knows the run times of the first step of a job.
async fn experienced_cell() -> TestCell {
    let cell = TestCell::start(3, RUN_TIME).await;
    submit(&cell, 1, "payload", step(TASKS, Vec::new())).await;
    cell.wait_for_state(1, JobState::Completed, LIMIT).await;
    cell
}

fn runs_of(history: &RunHistory, key: u64) -> Vec<RecordedRun> {
    let mut runs = history.all();
    runs.retain(|run| run.task.step.job.0 == key);
    runs
}

/// Waits until the runs of a job meet a condition; panics after `LIMIT`.
async fn wait_for_runs(
    history: &RunHistory,
    key: u64,
    condition: impl Fn(&[RecordedRun]) -> bool,
) -> Vec<RecordedRun> {
    let until = Instant::now() + LIMIT;
    loop {
        let runs = runs_of(history, key);
        if condition(&runs) {
            return runs;
        }
        assert!(Instant::now() < until, "{runs:?}");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn have_ended(runs: &[RecordedRun]) -> bool {
    runs.iter().all(|run| run.ended.is_some())
}

/// Starts a task that doesn't end, and waits for its copy.
async fn wait_for_endless_copy(cell: &TestCell, key: u64) -> [RecordedRun; 2] {
    submit(cell, key, LONG_RUNNING_PAYLOAD, speculative_step(1)).await;
    let runs = wait_for_runs(&cell.history, key, |runs| runs.len() == 2).await;
    let runs: [RecordedRun; 2] = runs.try_into().unwrap();
    assert_eq!(runs[0].task, runs[1].task);
    assert_eq!([runs[0].run, runs[1].run], [RunNumber(1), RunNumber(2)]);
    assert_ne!(runs[0].worker, runs[1].worker);
    runs
}

// Guards against a job that takes as long as a slow worker.
#[tokio::test]
async fn stragglers_are_overtaken_by_their_copies_and_stopped() {
    let mut cell = TestCell::start(3, RUN_TIME).await;
    add_worker(&mut cell, SLOW_RUN_TIME).await;
    submit(&cell, 1, "payload", speculative_step(TASKS)).await;
    cell.wait_for_state(1, JobState::Completed, LIMIT).await;
    let runs = wait_for_runs(&cell.history, 1, have_ended).await;
    let succeeded = runs
        .iter()
        .filter(|run| run.outcome == Some(RunOutcome::Done));
    assert_eq!(succeeded.count() as u64, TASKS);
    let slow: Vec<&RecordedRun> = runs.iter().filter(|run| run.worker == 3).collect();
    assert!(!slow.is_empty(), "nothing ran on the slow worker");
    assert!(slow
        .iter()
        .all(|run| run.outcome == Some(RunOutcome::Stopped)));
}

// Guards against a run that goes on beside a job whose later steps keep it active.
#[tokio::test]
async fn the_losing_run_is_stopped_while_its_job_goes_on() {
    let mut cell = TestCell::start(3, RUN_TIME).await;
    add_worker(&mut cell, SLOW_RUN_TIME).await;
    let impossible = RawStep {
        demand: ResourceVector::new(1_000_000, 1_000, 0),
        ..step(1, vec![0])
    };
    let accepted = cell.submit(1, vec![speculative_step(TASKS), impossible]);
    assert_eq!(accepted.await, CallerReply::Accepted);
    wait_for_runs(&cell.history, 1, |runs| {
        let succeeded = |run: &&RecordedRun| run.outcome == Some(RunOutcome::Done);
        let done = runs.iter().filter(succeeded).count() as u64;
        done == TASKS && runs.len() > done as usize && have_ended(runs)
    })
    .await;
    cell.wait_for_state(1, JobState::Running, LIMIT).await;
}

// Guards against copies of a step that doesn't allow them.
#[tokio::test]
async fn a_step_without_the_permission_gets_no_copy() {
    let cell = experienced_cell().await;
    submit(&cell, 2, LONG_RUNNING_PAYLOAD, step(1, Vec::new())).await;
    wait_for_runs(&cell.history, 2, |runs| runs.len() == 1).await;
    tokio::time::sleep(QUIET_PERIOD).await;
    assert_eq!(runs_of(&cell.history, 2).len(), 1);
}

// Guards against a copy that goes on after the cancellation of its job.
#[tokio::test]
async fn both_runs_of_a_cancelled_job_are_stopped() {
    let cell = experienced_cell().await;
    wait_for_endless_copy(&cell, 2).await;
    let reply = cell.call(2, CallerAction::Cancel).await;
    assert_eq!(reply, CallerReply::Cancelled);
    let runs = wait_for_runs(&cell.history, 2, have_ended).await;
    assert_eq!(runs.len(), 2);
}

// Guards against a worker that restarts and takes the other run of a task with it, or makes the task run
// a third time.
#[tokio::test]
async fn a_worker_that_restarts_ends_only_its_own_run() {
    for restarted in [0, 1] {
        let cell = experienced_cell().await;
        let runs = wait_for_endless_copy(&cell, 2).await;
        let (ended, remaining) = (&runs[restarted], &runs[1 - restarted]);
        cell.workers[ended.worker].restart(2);
        let mut heartbeat = worker_heartbeat(ended.worker);
        heartbeat.key.started_ms = 2;
        assert!(cell.agents[ended.worker].record_heartbeat(heartbeat).await);
        tokio::time::sleep(QUIET_PERIOD).await;
        let later = runs_of(&cell.history, 2);
        let same = later.iter().find(|run| run.run == remaining.run).unwrap();
        assert_eq!(same.ended, None, "{later:?}");
        let numbers: Vec<u32> = later.iter().map(|run| run.run.0).collect();
        assert!(numbers.is_sorted_by(|one, next| one < next), "{later:?}");
        let active = later.iter().filter(|run| run.ended.is_none());
        assert!(active.count() <= 2, "{later:?}");
    }
}

async fn call(entry: &EntryHandle, key: u64, action: CallerAction) -> CallerReply {
    let request = CallerRequest {
        host: HOST.to_owned(),
        path: format!("{PREFIX}{key:016x}"),
        action,
    };
    entry.call(request, Duration::from_secs(3)).await
}

/// Submits a job of one step until it is accepted: the leader may be changing.
async fn submit_until_accepted(entry: &EntryHandle, key: u64, step: RawStep) {
    let job = RawJob {
        payload: "payload".to_owned(),
        steps: vec![step],
        ..RawJob::default()
    };
    let until = Instant::now() + LIMIT;
    let action = CallerAction::Submit(Arc::new(job));
    while call(entry, key, action.clone()).await != CallerReply::Accepted {
        assert!(Instant::now() < until, "job {key} is not accepted");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

// Guards against a new leader that loses the copy of its predecessor, so that both runs go on or the
// task runs a third time beside them, and against one that starts no copies any more.
#[tokio::test]
async fn a_leader_lost_between_the_starts_of_two_copies_loses_neither() {
    let data = tempfile::tempdir().unwrap();
    let addresses = free_addresses(3);
    let mut controls = Vec::new();
    for address in &addresses {
        let settings = settings(*address, &addresses, data.path());
        controls.push(start_control(settings).await.unwrap());
    }
    let leader = wait_for_leader(&addresses).await;
    let leading = addresses.iter().position(|address| *address == leader);
    let leading = &controls[leading.unwrap()];
    let (catalog, text) = catalog(1, None);
    assert_eq!(
        leading.put_catalog(catalog, text).await,
        OperatorReply::Done
    );
    let history = RunHistory::default();
    let mut agents = Vec::new();
    for index in 0..4 {
        let run_time = if index == 3 { SLOW_RUN_TIME } else { RUN_TIME };
        let worker = SimulatedWorker::new(index, run_time, history.clone());
        let agent = start_agent(agent_settings(index, leader), worker);
        assert!(agent.record_heartbeat(worker_heartbeat(index)).await);
        agents.push(agent);
    }
    let entry = start_entry(EntrySettings {
        node: Arc::from("entry-1"),
        seeds: addresses.clone(),
    });
    submit_until_accepted(&entry, 1, speculative_step(TASKS)).await;
    wait_for_runs(&history, 1, |runs| {
        runs.iter().any(|run| run.run == RunNumber(2))
    })
    .await;
    leading.transfer_leadership();
    let until = Instant::now() + LIMIT;
    while wait_for_leader(&addresses).await == leader {
        assert!(Instant::now() < until, "the leader stays the same");
    }
    // The new leader learns run times from this job.
    submit_until_accepted(&entry, 2, speculative_step(TASKS)).await;
    for key in [1, 2] {
        let until = Instant::now() + LIMIT;
        while call(&entry, key, CallerAction::Query).await
            != CallerReply::State(JobState::Completed)
        {
            assert!(Instant::now() < until, "{:?}", runs_of(&history, key));
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        let runs = wait_for_runs(&history, key, have_ended).await;
        for index in 0..TASKS as u32 {
            let of_task = runs.iter().filter(|run| run.task.index == index);
            let numbers: Vec<u32> = of_task.clone().map(|run| run.run.0).collect();
            assert!(numbers.is_sorted_by(|one, next| one < next), "{runs:?}");
            let succeeded = of_task.filter(|run| run.outcome == Some(RunOutcome::Done));
            assert_eq!(succeeded.count(), 1, "{numbers:?}");
        }
    }
}

/// Member that answers pings with a format of the log, and nothing else.
async fn serve_format(listener: TcpListener, format: Arc<AtomicU64>) {
    let serve = move |_, stream: MessageStream<FromControl, ToControl>| {
        let format = Arc::clone(&format);
        tokio::spawn(async move {
            let (sender, mut receiver) = stream;
            while let Some(message) = receiver.receive().await {
                if let ToControl::Ping { sent_at } = message {
                    sender.send(FromControl::Pong {
                        sent_at,
                        term: format.load(Ordering::Relaxed),
                        members: Vec::new(),
                    });
                }
            }
        });
    };
    accept_streams(listener, serve).await;
}

async fn is_member(cell: &TestCell, address: SocketAddr) -> bool {
    let known = query_leader_and_members(cell.address).await;
    known.is_some_and(|(_, members)| members.contains(&address))
}

/// Joins the group as a member that never replicates, so that the leader removes it after some seconds.
async fn join(cell: &TestCell, replica: ReplicaId, address: SocketAddr) {
    let opened = open_stream::<ToControl, FromControl>(cell.address, LIMIT).await;
    let (sender, _receiver) = opened.unwrap();
    sender.send(ToControl::Join { replica, address });
    let until = Instant::now() + LIMIT;
    while !is_member(cell, address).await {
        assert!(Instant::now() < until, "the replica does not join");
    }
}

/// Whether a job has a single run for the quiet period. False if the member was removed meanwhile, after
/// which a copy may start.
async fn has_no_copy_beside(cell: &TestCell, job: u64, member: SocketAddr) -> bool {
    let until = Instant::now() + QUIET_PERIOD;
    while Instant::now() < until {
        let runs = runs_of(&cell.history, job).len();
        if !is_member(cell, member).await {
            return false;
        }
        assert_eq!(runs, 1);
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    true
}

// Guards against a replica of commit b041a08 that stops at the start of a copy.
#[tokio::test]
async fn no_copy_starts_beside_a_replica_that_cannot_read_it() {
    let cell = experienced_cell().await;
    let format = Arc::new(AtomicU64::new(0));
    let until = Instant::now() + LIMIT;
    for job in 2.. {
        assert!(Instant::now() < until, "the replica is always removed");
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve_format(listener, Arc::clone(&format)));
        join(&cell, ReplicaId(job), address).await;
        submit(&cell, job, LONG_RUNNING_PAYLOAD, speculative_step(1)).await;
        wait_for_runs(&cell.history, job, |runs| !runs.is_empty()).await;
        if has_no_copy_beside(&cell, job, address).await {
            format.store(1, Ordering::Relaxed);
            wait_for_runs(&cell.history, job, |runs| runs.len() == 2).await;
            return;
        }
    }
}
