//! A leader whose lease runs out for a moment and is renewed in the same term.
//!
//! Guards against a leader that drops what it knows of all workers, redirects all sessions and loses
//! the results of its proposals because its process was late, though no other replica has led.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::support::group::free_addresses;
use crate::support::group::settings;
use crate::support::group::wait_for_leader;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::start_control;
use guavavane_model::prelude::BootClock;
use guavavane_transport::prelude::open_stream;
use guavavane_transport::prelude::StreamReceiver;
use guavavane_transport::prelude::StreamSender;

/// Pause of all processes: longer than the leader's lease, shorter than any election timeout.
const PAUSE: Duration = Duration::from_millis(380);
/// Time in which the lease is renewed after a pause.
const RENEWAL_TIME: Duration = Duration::from_millis(500);
/// Number of pauses.
const PAUSES: usize = 6;
/// Longest wait for an answer to a ping.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

type Session = (StreamSender<ToControl>, StreamReceiver<FromControl>);

async fn open_session(leader: SocketAddr) -> Session {
    let session: Session = open_stream(leader, Duration::from_secs(1)).await.unwrap();
    let node = Arc::from("test");
    session.0.send(ToControl::EntryHello { node });
    session
}

/// Term in the answer to a ping; none if the session is redirected or closed.
async fn ping(session: &mut Session) -> Option<u64> {
    let sent_at = BootClock.now();
    session.0.send(ToControl::Ping { sent_at });
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, session.1.receive());
    match answer.await.unwrap() {
        Some(FromControl::Pong { term, .. }) => Some(term),
        _ => None,
    }
}

#[tokio::test]
async fn a_leader_that_is_late_for_a_moment_keeps_its_sessions() {
    let data = tempfile::tempdir().unwrap();
    let addresses = free_addresses(3);
    let mut handles = Vec::new();
    for address in &addresses {
        let settings = settings(*address, &addresses, data.path());
        handles.push(start_control(settings).await.unwrap());
    }
    let mut session = open_session(wait_for_leader(&addresses).await).await;
    let mut term = ping(&mut session).await.unwrap();
    let mut kept = 0;
    for _ in 0..PAUSES {
        tokio::time::sleep(RENEWAL_TIME).await;
        // Blocks the thread that all three processes share.
        std::thread::sleep(PAUSE);
        match ping(&mut session).await {
            Some(current) => {
                assert_eq!(current, term);
                kept += 1;
            }
            None => {
                // The pause may have grown into an election.
                session = open_session(wait_for_leader(&addresses).await).await;
                let current = ping(&mut session).await.unwrap();
                assert!(current > term, "term {term} goes on without its session");
                term = current;
            }
        }
    }
    assert!(kept > 0, "each pause led to an election");
}
