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

async fn receive_loss(stream: &mut LeaderStream) -> Option<(WorkerKey, bool)> {
    let find = |message| match message {
        ToControl::WorkerLost { key, ended } => Some((key, ended)),
        _ => None,
    };
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
    let is_reported = |message| matches!(message, ToControl::WorkerReport(_)).then_some(());
    assert!(receive_matching(&mut first, is_reported).await.is_some());
    assert!(agent.record_leave(heartbeat.key.name.clone()).await);
    worker.silent.store(true, Ordering::Relaxed);
    let loss = Some((heartbeat.key.clone(), true));
    assert_eq!(receive_loss(&mut first).await, loss);

    // The leader is lost before the loss is committed.
    drop(first);
    let mut second = next_stream(&streams).await;
    assert_eq!(receive_loss(&mut second).await, loss);
}

#[tokio::test]
async fn a_worker_that_is_back_is_not_reported_as_lost() {
    let (leader, streams) = listen().await;
    let (agent, worker) = start_test_agent(leader);
    let mut heartbeat = worker_heartbeat(0);
    assert!(agent.record_heartbeat(heartbeat.clone()).await);
    let mut first = next_stream(&streams).await;
    assert!(agent.record_leave(heartbeat.key.name.clone()).await);
    worker.silent.store(true, Ordering::Relaxed);
    assert!(receive_loss(&mut first).await.is_some());
    worker.silent.store(false, Ordering::Relaxed);
    heartbeat.sequence += 1;
    assert!(agent.record_heartbeat(heartbeat).await);

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
    let is_reported = |message| matches!(message, ToControl::WorkerReport(_)).then_some(());
    assert!(receive_matching(&mut first, is_reported).await.is_some());
    worker.silent.store(true, Ordering::Relaxed);
    let expiry = Some((heartbeat.key.clone(), false));
    assert_eq!(receive_loss(&mut first).await, expiry);

    // The leader is lost before the loss is committed.
    drop(first);
    let mut second = next_stream(&streams).await;
    assert_eq!(receive_loss(&mut second).await, expiry);
}
