//! Admission control of a running cell: refusals for load, and IDs that must not be refused.
//!
//! Guards against a refusal of a job whose proposal is in flight, which would run although its caller
//! was told that it never does, and against a refused ID that a later leader no longer serves.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::support::catalog;
use crate::support::group::free_addresses;
use crate::support::group::settings;
use crate::support::group::wait_for_leader;
use crate::support::idle_report;
use crate::support::open_agent_session;
use crate::support::step;
use crate::support::TestCell;
use crate::support::HOST;
use crate::support::PREFIX;
use guavavane_cell::entry::CallerRequest;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::start_control;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::ControlHandle;
use guavavane_cell::prelude::JobState;
use guavavane_cell::prelude::OperatorReply;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RawStep;
use guavavane_transport::prelude::open_stream;
use guavavane_transport::prelude::StreamReceiver;
use guavavane_transport::prelude::StreamSender;

/// Longest wait for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which the passes after a submission are over.
const SETTLING_TIME: Duration = Duration::from_millis(300);
/// Number of tasks that occupy all processors of the worker.
const FULL_TASKS: u64 = 16;
/// Number of tasks whose work exceeds the useful time of a job by far.
const BACKLOG_TASKS: u64 = 4_000;

/// Session of an entry that a test plays.
struct EntrySession {
    sender: StreamSender<ToControl>,
    receiver: StreamReceiver<FromControl>,
}

impl EntrySession {
    async fn open(leader: SocketAddr) -> Self {
        let opened = open_stream::<ToControl, FromControl>(leader, REPLY_TIMEOUT).await;
        let (sender, receiver) = opened.unwrap();
        let node = Arc::from("entry-test");
        sender.send(ToControl::EntryHello { node });
        Self { sender, receiver }
    }

    /// Sends submissions in one go and returns their replies in the same order.
    async fn submit(&mut self, jobs: &[(u64, RawStep)]) -> Vec<CallerReply> {
        for (call_id, (key, step)) in (0..).zip(jobs) {
            let job = RawJob {
                payload: "payload".to_owned(),
                steps: vec![step.clone()],
                ..RawJob::default()
            };
            let request = CallerRequest {
                host: HOST.to_owned(),
                path: format!("{PREFIX}{key:016x}"),
                action: CallerAction::Submit(Box::new(job)),
            };
            self.sender.send(ToControl::Call { call_id, request });
        }
        let mut replies = vec![None; jobs.len()];
        while replies.iter().any(Option::is_none) {
            let message = timeout(REPLY_TIMEOUT, self.receiver.receive()).await;
            if let FromControl::Reply { call_id, reply } = message.unwrap().unwrap() {
                replies[call_id as usize] = Some(reply);
            }
        }
        replies.into_iter().flatten().collect()
    }
}

/// Work of which the result is useful for a shorter time than that of `step(1, ..)`.
fn backlog() -> RawStep {
    RawStep {
        estimate_ms: 100,
        ..step(BACKLOG_TASKS, vec![])
    }
}

fn is_refused(reply: &CallerReply) -> bool {
    matches!(reply, CallerReply::Refused { retry_after_ms } if *retry_after_ms >= 1_000)
}

/// Occupies the worker of an agent that ends no run.
async fn fill_worker(session: &mut EntrySession) {
    for job in [(1, step(FULL_TASKS, vec![])), (2, step(1, vec![]))] {
        assert_eq!(session.submit(&[job]).await, [CallerReply::Accepted]);
        tokio::time::sleep(SETTLING_TIME).await;
    }
}

#[tokio::test]
async fn a_job_whose_proposal_is_in_flight_is_not_refused() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let (_agent, _orders) = open_agent_session(&cell, 0).await;
    tokio::time::sleep(SETTLING_TIME).await;
    let mut session = EntrySession::open(cell.address).await;
    fill_worker(&mut session).await;
    let small = step(1, vec![]);
    let jobs = [
        (10, small.clone()),
        (11, backlog()),
        (10, small.clone()),
        (12, small.clone()),
    ];
    let replies = session.submit(&jobs).await;
    let accepted = CallerReply::Accepted;
    assert_eq!(replies[..3], [accepted.clone(), accepted.clone(), accepted]);
    assert!(is_refused(&replies[3]), "{replies:?}");
    // Neither is one that the ledger has.
    let accepted = session.submit(&[(10, small)]).await;
    assert_eq!(accepted, [CallerReply::Accepted]);
    assert_eq!(
        cell.call(12, CallerAction::Query).await,
        CallerReply::NoJob,
        "a refused job is stored"
    );
}

#[tokio::test]
async fn a_job_that_fits_no_worker_is_accepted_under_load() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let (_agent, _orders) = open_agent_session(&cell, 0).await;
    tokio::time::sleep(SETTLING_TIME).await;
    let mut session = EntrySession::open(cell.address).await;
    fill_worker(&mut session).await;
    let mut oversized = step(1, vec![]);
    oversized.demand.cpu_millis = 1_000_000;
    let long_running = RawStep {
        long_running: true,
        ..step(1, vec![])
    };
    let jobs = [
        (11, backlog()),
        (12, step(1, vec![])),
        (13, oversized),
        (14, long_running),
    ];
    let replies = session.submit(&jobs).await;
    assert!(is_refused(&replies[1]), "{replies:?}");
    assert_eq!(replies[2], CallerReply::Accepted);
    assert_eq!(replies[3], CallerReply::Accepted);
}

async fn put_catalog(control: &ControlHandle) {
    let (catalog, text) = catalog(1, None);
    while control
        .put_catalog(catalog.clone(), Arc::clone(&text))
        .await
        != OperatorReply::Done
    {
        tokio::time::sleep(SETTLING_TIME).await;
    }
}

/// Plays an agent whose worker ends no run.
async fn open_agent(leader: SocketAddr) -> (StreamSender<ToControl>, StreamReceiver<FromControl>) {
    let opened = open_stream::<ToControl, FromControl>(leader, REPLY_TIMEOUT).await;
    let (sender, receiver) = opened.unwrap();
    let node = Arc::from("vm-0");
    sender.send(ToControl::AgentHello { node });
    sender.send(ToControl::WorkerReport(Box::new(idle_report(0, 0))));
    (sender, receiver)
}

#[tokio::test]
async fn a_refused_job_is_accepted_by_the_next_leader() {
    let data = tempfile::tempdir().unwrap();
    let addresses = free_addresses(3);
    let mut group = Vec::new();
    for address in &addresses {
        let settings = settings(*address, &addresses, data.path());
        group.push((*address, start_control(settings).await.unwrap()));
    }
    let leader = wait_for_leader(&addresses).await;
    let (_, control) = group
        .iter()
        .find(|(address, _)| *address == leader)
        .unwrap();
    put_catalog(control).await;
    let _agent = open_agent(leader).await;
    tokio::time::sleep(SETTLING_TIME).await;
    let mut session = EntrySession::open(leader).await;
    fill_worker(&mut session).await;
    let jobs = [(11, backlog()), (12, step(1, vec![]))];
    let replies = session.submit(&jobs).await;
    assert!(is_refused(&replies[1]), "{replies:?}");

    control.transfer_leadership();
    let mut next = leader;
    while next == leader {
        tokio::time::sleep(SETTLING_TIME).await;
        next = wait_for_leader(&addresses).await;
    }
    // The next leader knows neither the worker's state nor the refusal, so it admits the job.
    let mut session = EntrySession::open(next).await;
    let accepted = session.submit(&[(12, step(1, vec![]))]).await;
    assert_eq!(accepted, [CallerReply::Accepted]);
    let request = CallerRequest {
        host: HOST.to_owned(),
        path: format!("{PREFIX}{:016x}", 12),
        action: CallerAction::Query,
    };
    session.sender.send(ToControl::Call {
        call_id: 9,
        request,
    });
    let reply = loop {
        let message = timeout(REPLY_TIMEOUT, session.receiver.receive()).await;
        if let FromControl::Reply { reply, .. } = message.unwrap().unwrap() {
            break reply;
        }
    };
    assert_eq!(reply, CallerReply::State(JobState::Queued));
}
