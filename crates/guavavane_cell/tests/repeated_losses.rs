//! Loss of a worker that an agent reports to a leader that is lost itself.
//!
//! Guards against tasks that wait for the whole lease of the agent: a message that is sent on a
//! session just before it closes may reach nobody.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use tokio::net::TcpListener;
use tokio::time::timeout;

use crate::support::timing;
use crate::support::worker_heartbeat;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::start_agent;
use guavavane_cell::prelude::AgentHandle;
use guavavane_cell::prelude::AgentSettings;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_standin::simulated_worker::RunHistory;
use guavavane_standin::simulated_worker::SimulatedWorker;
use guavavane_transport::prelude::accept_streams;
use guavavane_transport::prelude::MessageStream;

/// Longest wait for a session or a message of the agent.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(3);

type LeaderStream = MessageStream<FromControl, ToControl>;

/// Listens as a control process and hands over each stream.
async fn listen() -> (SocketAddr, Receiver<LeaderStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (accepted, streams) = flume::unbounded();
    let accept = move |_, stream: LeaderStream| accepted.send(stream).unwrap();
    tokio::spawn(accept_streams(listener, accept));
    (address, streams)
}

fn start_test_agent(leader: SocketAddr) -> (AgentHandle, SimulatedWorker) {
    let settings = AgentSettings {
        node: Arc::from("vm-0"),
        seeds: vec![leader],
        timing: timing(),
        violation_timeout: Duration::from_secs(2),
    };
    let worker = SimulatedWorker::new(0, Duration::ZERO, RunHistory::default());
    (start_agent(settings, worker.clone()), worker)
}

/// Answers pings as the leader until a message fits.
async fn receive_matching<T>(
    (sender, receiver): &mut LeaderStream,
    find: impl Fn(ToControl) -> Option<T>,
) -> Option<T> {
    let found = async {
        while let Some(message) = receiver.receive().await {
            if let ToControl::Ping { sent_at } = message {
                let (term, members) = (1, Vec::new());
                sender.send(FromControl::Pong {
                    sent_at,
                    term,
                    members,
                });
            } else if let Some(found) = find(message) {
                return Some(found);
            }
        }
        None
    };
    timeout(MESSAGE_TIMEOUT, found).await.ok().flatten()
}

async fn receive_end(stream: &mut LeaderStream) -> Option<WorkerKey> {
    let find = |message| match message {
        ToControl::WorkerEnded { key } => Some(key),
        _ => None,
    };
    receive_matching(stream, find).await
}

async fn receive_expiry(stream: &mut LeaderStream) -> Option<()> {
    let find = |message| matches!(message, ToControl::LeaseExpired).then_some(());
    receive_matching(stream, find).await
}

async fn receive_loss(stream: &mut LeaderStream) -> Option<()> {
    let find = |message| {
        let is_loss = matches!(
            message,
            ToControl::WorkerEnded { .. } | ToControl::LeaseExpired
        );
        is_loss.then_some(())
    };
    receive_matching(stream, find).await
}

async fn receive_report(stream: &mut LeaderStream) -> Option<()> {
    let find = |message| matches!(message, ToControl::WorkerReport(_)).then_some(());
    receive_matching(stream, find).await
}

async fn next_stream(streams: &Receiver<LeaderStream>) -> LeaderStream {
    let stream = timeout(MESSAGE_TIMEOUT, streams.recv_async()).await;
    stream.unwrap().unwrap()
}

#[tokio::test]
async fn a_worker_that_has_left_is_reported_to_the_next_leader_too() {
    let (leader, streams) = listen().await;
    let (agent, worker) = start_test_agent(leader);
    let heartbeat = worker_heartbeat(0);
    assert!(agent.record_heartbeat(heartbeat.clone()).await);
    let mut first = next_stream(&streams).await;
    assert!(receive_report(&mut first).await.is_some());
    assert!(agent.record_leave(heartbeat.key.name.clone()).await);
    worker.silent.store(true, Ordering::Relaxed);
    let end = Some(heartbeat.key.clone());
    assert_eq!(receive_end(&mut first).await, end);

    // The leader is lost before the loss is committed.
    drop(first);
    let mut second = next_stream(&streams).await;
    assert_eq!(receive_end(&mut second).await, end);
}

#[tokio::test]
async fn a_worker_that_is_back_is_not_reported_as_lost() {
    let (leader, streams) = listen().await;
    let (agent, worker) = start_test_agent(leader);
    let mut heartbeat = worker_heartbeat(0);
    assert!(agent.record_heartbeat(heartbeat.clone()).await);
    let mut first = next_stream(&streams).await;
    assert!(receive_report(&mut first).await.is_some());
    assert!(agent.record_leave(heartbeat.key.name.clone()).await);
    worker.silent.store(true, Ordering::Relaxed);
    assert!(receive_loss(&mut first).await.is_some());
    worker.silent.store(false, Ordering::Relaxed);
    heartbeat.sequence += 1;
    assert!(agent.record_heartbeat(heartbeat).await);
    assert!(receive_report(&mut first).await.is_some());

    drop(first);
    let mut second = next_stream(&streams).await;
    assert_eq!(receive_loss(&mut second).await, None);
}

#[tokio::test]
async fn a_lease_expiry_is_reported_to_the_next_leader_too() {
    let (leader, streams) = listen().await;
    let (agent, worker) = start_test_agent(leader);
    let heartbeat = worker_heartbeat(0);
    assert!(agent.record_heartbeat(heartbeat.clone()).await);
    let mut first = next_stream(&streams).await;
    assert!(receive_report(&mut first).await.is_some());
    worker.silent.store(true, Ordering::Relaxed);
    assert!(receive_expiry(&mut first).await.is_some());

    // The leader is lost before the loss is committed.
    drop(first);
    let mut second = next_stream(&streams).await;
    assert!(receive_expiry(&mut second).await.is_some());
}

/// Receives the agent's question whether its losses are committed and returns its number.
async fn receive_loss_question(stream: &mut LeaderStream) -> Option<u64> {
    let find = |message| match message {
        ToControl::ConfirmLosses { number } => Some(number),
        _ => None,
    };
    receive_matching(stream, find).await
}

// Guards against an agent that ends although the leader, to which it has just reported a loss, is lost
// before it commits it: on a VM that is taken away, nobody would report it to the next leader.
#[tokio::test]
async fn an_agent_ends_only_once_a_leader_has_committed_its_losses() {
    let (leader, streams) = listen().await;
    let (agent, worker) = start_test_agent(leader);
    assert!(agent.record_heartbeat(worker_heartbeat(0)).await);
    let mut first = next_stream(&streams).await;
    assert!(receive_report(&mut first).await.is_some());
    worker.silent.store(true, Ordering::Relaxed);
    assert!(receive_expiry(&mut first).await.is_some());
    let shutdown = tokio::spawn(async move { agent.prepare_shutdown().await });
    assert!(receive_loss_question(&mut first).await.is_some());

    // The leader is lost before the loss is committed.
    drop(first);
    let mut second = next_stream(&streams).await;
    assert!(receive_expiry(&mut second).await.is_some());
    let number = receive_loss_question(&mut second).await.unwrap();
    assert!(!shutdown.is_finished());
    second.0.send(FromControl::LossesCommitted { number });
    timeout(MESSAGE_TIMEOUT, shutdown).await.unwrap().unwrap();
}
