//! Replica threads on real disks: election, replication, restart, and replacement of a voter.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "network/memory_disk.rs"]
mod memory_disk;
mod threads;

use std::time::Duration;

use crate::memory_disk::MemoryDisk;
use crate::threads::address;
use crate::threads::append_all;
use crate::threads::init_voters;
use crate::threads::read_all;
use crate::threads::values;
use crate::threads::wait_for;
use crate::threads::wait_for_leader;
use crate::threads::AddValue;
use crate::threads::ListMachine;
use crate::threads::LocalNetwork;
use crate::threads::ScratchFolder;
use crate::threads::TestHandle;
use guavavane_model::identity::CellId;
use guavavane_quorum::plugin::start_on_folder;
use guavavane_quorum::prelude::*;

const TIMEOUT: Duration = Duration::from_secs(20);

fn settings(number: u16) -> QuorumSettings {
    QuorumSettings {
        heartbeat_ms: 20,
        election_timeout_min_ms: 300,
        election_timeout_max_ms: 600,
        lease_ms: 200,
        removal_timeout_ms: 1_500,
        snapshot_entries: 100,
        trailing_entries: 10,
        snapshot_chunk_bytes: 64,
        ..QuorumSettings::new(address(number))
    }
}

/// Guards against states that differ between replicas, or from the state before a restart.
#[test]
fn three_replicas_elect_replicate_and_restart() {
    let folders: Vec<ScratchFolder> = (0..3).map(|_| ScratchFolder::new()).collect();
    let paths: Vec<_> = folders.iter().map(|f| f.0.clone()).collect();
    init_voters(&paths);
    let network = LocalNetwork::default();
    let start = |n: u16| network.start(settings(n), paths[usize::from(n)].clone());
    let mut handles: Vec<TestHandle> = (0..3).map(start).collect();
    let refs: Vec<&TestHandle> = handles.iter().collect();
    append_all(&refs, 0..250);
    let read = read_all(&refs);
    assert_eq!(read, (0..250).collect::<Vec<u64>>());
    for handle in &handles {
        wait_for("equal state", || {
            (handle.read_local(values) == read).then_some(())
        });
    }
    for handle in handles.drain(..) {
        handle.stop();
    }
    let handles: Vec<TestHandle> = (0..3).map(start).collect();
    let refs: Vec<&TestHandle> = handles.iter().collect();
    assert_eq!(read_all(&refs), read);
    for handle in &handles {
        handle.stop();
    }
}

/// Guards against the loss of acknowledged commands when a follower loses its disk and, after its
/// replacement became a voter, the leader is lost too.
#[test]
fn a_lost_disk_is_replaced_and_a_second_loss_keeps_data() {
    let folders: Vec<ScratchFolder> = (0..5).map(|_| ScratchFolder::new()).collect();
    let paths: Vec<_> = folders.iter().map(|f| f.0.clone()).collect();
    let members = init_voters(&paths[..3]);
    let network = LocalNetwork::default();
    let start = |n: u16| network.start(settings(n), paths[usize::from(n)].clone());
    let mut handles: Vec<TestHandle> = (0..3).map(start).collect();
    let refs: Vec<&TestHandle> = handles.iter().collect();
    append_all(&refs, 0..300);
    // A follower's VM is lost; a new replica starts on an empty folder.
    let lost = (wait_for_leader(&refs) + 1) % 3;
    handles[lost].stop();
    let replacement = ReplicaId::random();
    let folder = LocalFolder::open(&paths[3]).unwrap();
    init_learner(&folder, CellId(0), replacement).unwrap();
    drop(folder);
    handles.push(start(3));
    let remaining = [
        &handles[(lost + 1) % 3],
        &handles[(lost + 2) % 3],
        &handles[3],
    ];
    wait_for("the replacement", || {
        let leader = remaining[wait_for_leader(&remaining)];
        let view = leader.leadership();
        if view.members.get(replacement).is_none() {
            // A refused request is repeated by the next check.
            let _ = leader.add_learner(replacement, address(3), TIMEOUT);
        }
        let removed = view.members.get(members[lost].id).is_none();
        (removed && view.members.is_voter(replacement)).then_some(())
    });
    append_all(&remaining, 300..400);
    // The leader is lost right after the repair.
    let second = wait_for_leader(&remaining);
    remaining[second].stop();
    let survivors = [remaining[(second + 1) % 3], remaining[(second + 2) % 3]];
    append_all(&survivors, 400..410);
    assert_eq!(read_all(&survivors), (0..410).collect::<Vec<u64>>());
    survivors.iter().for_each(|h| h.stop());
}

/// Guards against a replica that starts on an empty disk and votes again in an old term.
#[test]
fn a_folder_without_identity_is_refused() {
    let folder = ScratchFolder::new();
    let plugin = QuorumPlugin {
        settings: settings(0).try_into().unwrap(),
        data_folder: folder.0.clone(),
        machine: ListMachine::default(),
    };
    let (_sender, inbox) = flume::bounded(1);
    let (outbox, _outgoing) = flume::bounded(1);
    let refused = plugin.start(inbox, outbox).err().unwrap();
    let expected = matches!(
        refused,
        StartError::Storage(StorageError::NoIdentity { .. })
    );
    assert!(expected, "{refused}");
}

/// Guards against two processes that write the same log.
#[test]
fn a_folder_is_locked_against_a_second_process() {
    let folder = ScratchFolder::new();
    init_voters(std::slice::from_ref(&folder.0));
    let network = LocalNetwork::default();
    let handle = network.start(settings(0), folder.0.clone());
    let second_open = LocalFolder::open(&folder.0);
    let kind = second_open.map(|_| ()).unwrap_err().kind();
    assert_eq!(kind, std::io::ErrorKind::WouldBlock);
    handle.stop();
    LocalFolder::open(&folder.0).unwrap();
}

/// Guards against a partitioned leader that still accepts commands, and against a transfer after
/// which the old leader stays.
#[test]
fn a_partitioned_leader_loses_its_lease_and_a_transfer_moves_the_leadership() {
    let folders: Vec<ScratchFolder> = (0..3).map(|_| ScratchFolder::new()).collect();
    let paths: Vec<_> = folders.iter().map(|f| f.0.clone()).collect();
    init_voters(&paths);
    let network = LocalNetwork::default();
    let start = |n: u16| network.start(settings(n), paths[usize::from(n)].clone());
    let handles: Vec<TestHandle> = (0..3).map(start).collect();
    let refs: Vec<&TestHandle> = handles.iter().collect();
    let first = wait_for_leader(&refs);
    handles[first].transfer_leadership();
    wait_for("another leader", || {
        (wait_for_leader(&refs) != first).then_some(())
    });
    append_all(&refs, 0..10);
    let second = wait_for_leader(&refs);
    network.partition(address(second as u16));
    let others: Vec<&TestHandle> = (0..3)
        .filter(|n| *n != second)
        .map(|n| &handles[n])
        .collect();
    wait_for("the lease to end", || {
        handles[second]
            .leadership()
            .lease_valid_until
            .is_none()
            .then_some(())
    });
    append_all(&others, 10..20);
    let stale = handles[second].propose(AddValue::new(99), Duration::from_millis(300));
    assert!(stale.is_err());
    network.heal(address(second as u16));
    let expected: Vec<u64> = (0..20).collect();
    wait_for("the partitioned replica to catch up", || {
        (handles[second].read_local(values) == expected).then_some(())
    });
    handles.iter().for_each(|h| h.stop());
}

/// Guards against a replica that goes on after a failed write, when the content of its log is
/// unknown, and against a loss of commands acknowledged before.
#[test]
fn a_full_disk_stops_the_replica_and_keeps_what_was_acknowledged() {
    let disk = MemoryDisk::default();
    let id = ReplicaId::random();
    let role = MemberRole::Voter;
    let address = address(0);
    let members = [ReplicaMember { id, address, role }];
    init_cluster(&disk, CellId(0), id, members.into_iter().collect()).unwrap();
    let start = || {
        let (sender, inbox) = flume::bounded(1);
        let (outbox, _outgoing) = flume::bounded(1);
        let segment_bytes = 64;
        let settings = QuorumSettings {
            segment_bytes,
            ..settings(0)
        };
        let settings = settings.try_into().unwrap();
        let machine = ListMachine::default();
        let handle = start_on_folder(disk.clone(), settings, machine, inbox, outbox).unwrap();
        (handle, sender)
    };
    let (handle, _sender) = start();
    append_all(&[&handle], 0..20);
    disk.limit_space(10);
    let unknown = handle.propose(AddValue::new(20), TIMEOUT);
    assert_eq!(unknown, Err(ProposeError::Unknown));
    let refused = handle.propose(AddValue::new(21), TIMEOUT);
    assert_eq!(refused, Err(ProposeError::StorageFailed));
    let view = handle.leadership();
    assert!(view.storage_failed && view.lease_valid_until.is_none());
    handle.stop();
    disk.clear_faults();
    let (handle, _sender) = start();
    let read = read_all(&[&handle]);
    assert_eq!(read[..20], (0..20).collect::<Vec<u64>>());
    // The command with an unknown outcome may have been written; the refused one was not.
    assert!(read.len() == 20 || read[20..] == [20]);
    handle.stop();
}
