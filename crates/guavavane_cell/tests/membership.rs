//! Joining of a control process with an empty data folder.
//!
//! Guards against a process that never becomes a member because none of its seeds leads.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::time::Duration;
use std::time::Instant;

use crate::support::group::free_addresses;
use crate::support::group::query_leader_and_members;
use crate::support::group::settings;
use crate::support::group::wait_for_leader;
use crate::support::group::JOIN_TIMEOUT;
use guavavane_cell::prelude::start_control;

#[tokio::test]
async fn an_empty_process_with_a_follower_as_seed_becomes_a_member() {
    let data = tempfile::tempdir().unwrap();
    let addresses = free_addresses(4);
    let (founders, joiner) = (&addresses[..3], addresses[3]);
    let mut handles = Vec::new();
    for address in founders {
        let settings = settings(*address, founders, data.path());
        handles.push(start_control(settings).await.unwrap());
    }
    let leader = wait_for_leader(founders).await;
    let follower = *founders.iter().find(|peer| **peer != leader).unwrap();
    let mut joiner_settings = settings(joiner, &[follower], data.path());
    joiner_settings.bootstrap = false;
    handles.push(start_control(joiner_settings).await.unwrap());
    let until = Instant::now() + JOIN_TIMEOUT;
    loop {
        let members = query_leader_and_members(leader)
            .await
            .map(|(_, members)| members);
        if members.is_some_and(|members| members.contains(&joiner)) {
            return;
        }
        assert!(Instant::now() < until, "{joiner} does not become a member");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
