//! A group of control processes on loopback, all on the runtime of the test.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::timing;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::ControlSettings;
use guavavane_cell::prelude::UNCOMMITTED_PROPOSALS_MAX;
use guavavane_model::prelude::BootTime;
use guavavane_transport::prelude::open_stream;

/// Longest wait for an election or a join.
pub(crate) const JOIN_TIMEOUT: Duration = Duration::from_secs(10);

pub(crate) fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let addresses = listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap());
    addresses.collect()
}

/// Settings of one process of a group.
pub(crate) fn settings(address: SocketAddr, seeds: &[SocketAddr], data: &Path) -> ControlSettings {
    ControlSettings {
        node: Arc::from(address.to_string()),
        address,
        seeds: seeds.to_vec(),
        bootstrap: seeds.contains(&address),
        data: data.join(address.port().to_string()),
        voters: 3,
        retention_ms: 60_000,
        timing: timing(),
        uncommitted_proposals_max: UNCOMMITTED_PROPOSALS_MAX,
        memory_bytes: None,
        advice: None,
        read_limits: None,
    }
}

/// Leader and members, as a control process reports them.
pub(crate) async fn query_leader_and_members(
    peer: SocketAddr,
) -> Option<(Option<SocketAddr>, Vec<SocketAddr>)> {
    let limit = Duration::from_millis(500);
    let opened = open_stream::<ToControl, FromControl>(peer, limit).await;
    let (sender, mut receiver) = opened.ok()?;
    let node = Arc::from("test");
    sender.send(ToControl::EntryHello { node });
    let sent_at = BootTime::from_millis(1);
    sender.send(ToControl::Ping { sent_at });
    match tokio::time::timeout(limit, receiver.receive())
        .await
        .ok()??
    {
        FromControl::Pong { members, .. } => Some((Some(peer), members)),
        FromControl::Redirect { leader, members } => Some((leader, members)),
        _ => None,
    }
}

pub(crate) async fn wait_for_leader(peers: &[SocketAddr]) -> SocketAddr {
    let until = Instant::now() + JOIN_TIMEOUT;
    loop {
        for peer in peers {
            if let Some((Some(leader), _)) = query_leader_and_members(*peer).await {
                if query_leader_and_members(leader)
                    .await
                    .is_some_and(|(named_leader, _)| named_leader == Some(leader))
                {
                    return leader;
                }
            }
        }
        assert!(Instant::now() < until, "no leader");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
