//! Gauges of the Raft group.
//!
//! Guards against a group whose next loss ends its quorum while no metric shows it.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use guavavane_cell::metric;
use guavavane_cell::prelude::start_control;
use guavavane_cell::prelude::ControlSettings;
use guavavane_cell::prelude::LeaseTiming;
use guavavane_cell::prelude::UNCOMMITTED_PROPOSALS_MAX;

/// Longest wait for an election and the removal timeout.
const REPORT_TIMEOUT: Duration = Duration::from_secs(20);

fn settings(address: SocketAddr, seeds: &[SocketAddr], data: &Path) -> ControlSettings {
    ControlSettings {
        node: Arc::from(address.to_string()),
        address,
        seeds: seeds.to_vec(),
        bootstrap: true,
        data: data.join(address.port().to_string()),
        voters: 3,
        retention_ms: 60_000,
        timing: LeaseTiming {
            agent_lease: Duration::from_secs(3),
            worker_lease: Duration::from_millis(600),
            worker_lease_max: Duration::from_millis(6_000),
            thaw_slack: Duration::from_millis(50),
        },
        uncommitted_proposals_max: UNCOMMITTED_PROPOSALS_MAX,
        memory_bytes: None,
        advice: None,
        read_limits: None,
    }
}

async fn wait_for_gauge(amount: &str, value: usize) {
    let line = format!("guavavane_state{{amount=\"{amount}\"}} {value}\n");
    let until = Instant::now() + REPORT_TIMEOUT;
    while !metric::render().contains(&line) {
        assert!(
            Instant::now() < until,
            "no {line} in:\n{}",
            metric::render()
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn a_voter_that_never_answers_shows_in_the_metrics() {
    let data = tempfile::tempdir().unwrap();
    let listeners = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let addresses = listeners.map(|listener| listener.local_addr().unwrap());
    let start = |address| start_control(settings(address, &addresses, data.path()));
    let _first = start(addresses[0]).await.unwrap();
    let _second = start(addresses[1]).await.unwrap();
    wait_for_gauge("spare_voters", 1).await;
    wait_for_gauge("unavailable_voters", 1).await;
    wait_for_gauge("spare_voters", 0).await;
    wait_for_gauge("voters", 3).await;
    wait_for_gauge("storage_failed", 0).await;
    let _third = start(addresses[2]).await.unwrap();
    wait_for_gauge("unavailable_voters", 0).await;
    wait_for_gauge("spare_voters", 1).await;
}
