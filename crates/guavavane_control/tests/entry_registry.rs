//! Checks the directory of entries: none too early, expiry, shutdown and no repeats.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

use std::time::Duration;

use guavavane_control::entry_registry::EntryRegistry;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::IncarnationId;
use guavavane_protocol::poll::EntryPoll;

const EXPIRY_MS: u64 = 3_000;

fn time(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn poll(port: u16, shutting_down: bool) -> EntryPoll {
    EntryPoll {
        address: format!("127.0.0.1:{port}").parse().unwrap(),
        incarnation: IncarnationId(1),
        documents: Vec::new(),
        shutting_down,
    }
}

fn directory_ports(registry: &mut EntryRegistry, millis: u64) -> Vec<u16> {
    let directory = registry.directory(time(millis), 0).unwrap();
    directory
        .addresses
        .iter()
        .map(|address| address.port())
        .collect()
}

/// Guards against an incomplete directory after a change of leaders, which would make agents stop
/// announcing to the missing entries.
#[test]
fn new_leader_returns_no_directory_before_all_entries_could_poll() {
    let mut registry = EntryRegistry::new(time(0), Duration::from_millis(EXPIRY_MS));
    registry.record_poll(time(10), &poll(1, false));
    assert!(registry.directory(time(EXPIRY_MS - 1), 0).is_none());
    registry.record_poll(time(EXPIRY_MS), &poll(2, false));
    assert_eq!(directory_ports(&mut registry, EXPIRY_MS), [1, 2]);
}

#[test]
fn entries_that_leave_or_stop_polling_are_removed() {
    let mut registry = EntryRegistry::new(time(0), Duration::from_millis(EXPIRY_MS));
    for port in [1, 2, 3] {
        registry.record_poll(time(4_000), &poll(port, false));
    }
    registry.record_poll(time(5_000), &poll(1, true));
    assert_eq!(directory_ports(&mut registry, 5_000), [2, 3]);
    registry.record_poll(time(6_000), &poll(3, false));
    assert_eq!(directory_ports(&mut registry, 4_001 + EXPIRY_MS), [3]);
}

#[test]
fn directory_that_the_agent_has_is_not_returned() {
    let mut registry = EntryRegistry::new(time(0), Duration::from_millis(EXPIRY_MS));
    registry.record_poll(time(4_000), &poll(1, false));
    let directory = registry.directory(time(4_000), 0).unwrap();
    assert!(registry.directory(time(4_001), directory.digest).is_none());
    registry.record_poll(time(4_002), &poll(2, false));
    assert!(registry.directory(time(4_003), directory.digest).is_some());
}
