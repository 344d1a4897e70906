//! Gauge of an entry's session with the leader.
//!
//! Guards against an entry whose leader has stepped down while its metrics look healthy.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpListener;

use guavavane_cell::message::FromControl;
use guavavane_cell::message::ToControl;
use guavavane_cell::metric;
use guavavane_cell::prelude::start_entry;
use guavavane_cell::prelude::EntrySettings;
use guavavane_transport::prelude::accept_streams;
use guavavane_transport::prelude::MessageStream;

/// Longest wait for the gauge to change.
const GAUGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers pings as a leader would while `leading`, and redirects otherwise.
async fn serve_session(stream: MessageStream<FromControl, ToControl>, leading: Arc<AtomicBool>) {
    let (sender, mut receiver) = stream;
    while let Some(message) = receiver.receive().await {
        let ToControl::Ping { sent_at } = message else {
            continue;
        };
        let members = Vec::new();
        sender.send(if leading.load(Ordering::Relaxed) {
            let term = 1;
            FromControl::Pong {
                sent_at,
                term,
                members,
            }
        } else {
            let leader = None;
            FromControl::Redirect { leader, members }
        });
    }
}

async fn start_leader(leading: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serve = move |_, stream| {
        tokio::spawn(serve_session(stream, leading.clone()));
    };
    tokio::spawn(accept_streams(listener, serve));
    address
}

async fn wait_for_found(value: usize) {
    let line = format!("guavavane_state{{amount=\"control_found\"}} {value}\n");
    let until = Instant::now() + GAUGE_TIMEOUT;
    while !metric::render().contains(&line) {
        assert!(Instant::now() < until, "not {value}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn a_leader_that_redirects_shows_as_lost() {
    let leading = Arc::new(AtomicBool::new(true));
    let address = start_leader(leading.clone()).await;
    let _entry = start_entry(EntrySettings {
        node: Arc::from("entry-1"),
        seeds: vec![address],
    });
    wait_for_found(1).await;
    leading.store(false, Ordering::Relaxed);
    wait_for_found(0).await;
    leading.store(true, Ordering::Relaxed);
    wait_for_found(1).await;
}
