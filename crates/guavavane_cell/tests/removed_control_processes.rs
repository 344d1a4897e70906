//! Search for the leader after control processes were removed from the group and from the seeds.
//!
//! Guards against entries and agents that wait, at each change of the leader, for processes that are
//! gone for good.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpListener;

use guavavane_cell::message::FromControl;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::start_entry;
use guavavane_cell::prelude::EntrySettings;
use guavavane_transport::prelude::accept_streams;
use guavavane_transport::prelude::MessageStream;

/// Duration of a session with the leader of the test.
const SESSION_TIME: Duration = Duration::from_millis(50);
/// Number of sessions, each of which follows a search for the leader.
const SESSIONS: usize = 10;
/// Longest wait for these sessions.
const SESSIONS_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers one ping as the leader and only member of its group, then ends the session.
async fn serve_session(
    stream: MessageStream<FromControl, ToControl>,
    own_address: SocketAddr,
    sessions: Arc<AtomicUsize>,
) {
    let (sender, mut receiver) = stream;
    while let Some(message) = receiver.receive().await {
        if let ToControl::Ping { sent_at } = message {
            sender.send(FromControl::Pong {
                sent_at,
                term: 1,
                members: vec![own_address],
            });
            break;
        }
    }
    tokio::time::sleep(SESSION_TIME).await;
    sessions.fetch_add(1, Ordering::Relaxed);
}

async fn start_leader(sessions: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serve = move |_, stream| {
        tokio::spawn(serve_session(stream, address, sessions.clone()));
    };
    tokio::spawn(accept_streams(listener, serve));
    address
}

async fn wait_for_sessions(sessions: &AtomicUsize, count: usize) {
    let until = Instant::now() + SESSIONS_TIMEOUT;
    while sessions.load(Ordering::Relaxed) < count {
        assert!(Instant::now() < until, "{sessions:?} of {count} sessions");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Number of connections to a listener that nobody has accepted.
fn count_connections(listener: &std::net::TcpListener) -> usize {
    let mut connections = 0;
    loop {
        match listener.accept() {
            Ok(_) => connections += 1,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return connections,
            Err(error) => assert!(error.kind() == ErrorKind::Interrupted, "{error}"),
        }
    }
}

#[tokio::test]
async fn a_removed_control_process_is_not_tried_again() {
    let removed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    removed.set_nonblocking(true).unwrap();
    let sessions = Arc::new(AtomicUsize::new(0));
    let leader = start_leader(sessions.clone()).await;
    let entry = start_entry(EntrySettings {
        node: Arc::from("entry-1"),
        seeds: vec![removed.local_addr().unwrap(), leader],
    });
    wait_for_sessions(&sessions, 1).await;
    entry.replace_seeds(vec![leader]);
    // The first of these sessions began before the seeds were replaced.
    wait_for_sessions(&sessions, 3).await;
    count_connections(&removed);
    wait_for_sessions(&sessions, 3 + SESSIONS).await;
    assert_eq!(count_connections(&removed), 0);
}
