//! Snapshots that can't be written because the disk is full.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "network/memory_disk.rs"]
mod memory_disk;
mod threads;

use std::thread;
use std::time::Duration;

use crate::memory_disk::MemoryDisk;
use crate::threads::address;
use crate::threads::init_voters_on;
use crate::threads::wait_for_leader;
use crate::threads::AddValue;
use crate::threads::LocalNetwork;
use crate::threads::TestHandle;
use guavavane_model::identity::CellId;
use guavavane_quorum::entry::SnapshotImage;
use guavavane_quorum::prelude::*;
use guavavane_quorum::storage::DiskFolder;
use guavavane_quorum::storage::LogStore;

/// Timeout of one proposal.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a replica has tried to write a snapshot that is due.
const WRITE_TIME: Duration = Duration::from_millis(300);
/// Time within which a replica takes the next snapshot after one could not be written.
const RETRY_TIME: Duration = Duration::from_secs(4);
/// Size of the log at which a snapshot is taken.
const SNAPSHOT_LOG_BYTES: u64 = 10_000;

fn propose_bytes(replica: &TestHandle, bytes: u64) {
    for value in 0..bytes / 1_000 {
        let filler = vec![0; 1_000];
        replica
            .propose(AddValue { value, filler }, TIMEOUT)
            .unwrap();
    }
}

/// Guards against a log that grows on, since the bytes that made a failed snapshot due were
/// forgotten.
#[test]
fn a_snapshot_due_by_bytes_is_taken_soon_after_it_failed() {
    let disk = MemoryDisk::default();
    init_voters_on(std::slice::from_ref(&disk));
    let settings = QuorumSettings {
        voters_wanted: 1,
        voters_min: 1,
        snapshot_entries: 1_000_000,
        snapshot_log_bytes: SNAPSHOT_LOG_BYTES,
        segment_bytes: 1 << 20,
        ..QuorumSettings::new(address(0))
    };
    let replica = LocalNetwork::default().start_on(settings, disk.clone());
    wait_for_leader(&[&replica]);
    // The log has reserved its space before the disk is full.
    disk.limit_space(0);
    propose_bytes(&replica, SNAPSHOT_LOG_BYTES * 3 / 2);
    thread::sleep(WRITE_TIME);
    assert_eq!(replica.leadership().last_snapshot, LogIndex(0));
    disk.clear_faults();
    thread::sleep(RETRY_TIME);
    assert!(replica.leadership().last_snapshot > LogIndex(0));
    replica.stop();
}

/// Guards against a partly written snapshot that keeps the last free bytes of a full disk from the
/// log until the next snapshot is written.
#[test]
fn a_failed_snapshot_leaves_no_file() {
    let disk = MemoryDisk::default();
    init_learner(&disk, CellId(0), ReplicaId(1)).unwrap();
    let (store, _) = LogStore::open(disk.clone(), 1 << 20).unwrap();
    let files = disk.list().unwrap();
    disk.limit_space(500);
    let image = SnapshotImage {
        index: LogIndex(1),
        term: Term(1),
        members: MemberSet::default(),
        bytes: vec![1; 1_000].into(),
    };
    store.snapshot_writer().save(&image).unwrap_err();
    assert_eq!(disk.list().unwrap(), files);
}
