//! Replica threads whose disk takes no more bytes, or fails to sync, for a time.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "network/memory_disk.rs"]
mod memory_disk;
mod threads;

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::memory_disk::MemoryDisk;
use crate::threads::address;
use crate::threads::append_all;
use crate::threads::init_voters_on;
use crate::threads::values;
use crate::threads::wait_for;
use crate::threads::wait_for_leader;
use crate::threads::LocalNetwork;
use crate::threads::TestHandle;
use guavavane_quorum::prelude::*;
use guavavane_testing::for_each_seed;

/// Time after the end of a disk fault within which the replica has caught up: the platform counts
/// it as lost until then.
const CATCH_UP_MAX: Duration = Duration::from_secs(4);

fn settings(number: u16) -> QuorumSettings {
    QuorumSettings {
        heartbeat_ms: 20,
        election_timeout_min_ms: 300,
        election_timeout_max_ms: 600,
        lease_ms: 200,
        snapshot_entries: 40,
        trailing_entries: 10,
        segment_bytes: 256,
        ..QuorumSettings::new(address(number))
    }
}

/// Number of seeds of generated disk faults; each takes several seconds.
const SEED_COUNT: u64 = 2;
/// Number of disk faults of one seed.
const DISK_FAULTS: usize = 10;

/// Three voters on disks with faults.
struct FaultyGroup {
    disks: Vec<MemoryDisk>,
    network: LocalNetwork,
    handles: Vec<TestHandle>,
}

impl FaultyGroup {
    fn start() -> Self {
        let disks: Vec<MemoryDisk> = (0..3).map(|_| MemoryDisk::default()).collect();
        init_voters_on(&disks);
        let network = LocalNetwork::default();
        let start = |n: usize| network.start_on(settings(n as u16), disks[n].clone());
        let handles = (0..3).map(start).collect();
        Self {
            disks,
            network,
            handles,
        }
    }

    fn all(&self) -> Vec<&TestHandle> {
        self.handles.iter().collect()
    }

    fn all_but(&self, left_out: usize) -> Vec<&TestHandle> {
        let kept = (0..3).filter(|n| *n != left_out);
        kept.map(|n| &self.handles[n]).collect()
    }

    /// Draws a disk fault of one replica, lets it last and ends it.
    fn fail_any_disk(&self, random: &mut ChaCha8Rng, next_value: &mut u64) {
        let disk = &self.disks[random.random_range(0..self.disks.len())];
        if random.random() {
            disk.limit_space(random.random_range(0..2_000));
        } else {
            disk.fail_syncs();
        }
        self.append_more(random, next_value);
        disk.clear_faults();
        if random.random() {
            self.append_more(random, next_value);
        }
    }

    fn append_more(&self, random: &mut ChaCha8Rng, next_value: &mut u64) {
        let first = *next_value;
        *next_value += random.random_range(1..60);
        append_all(&self.all(), first..*next_value);
    }

    /// Lets the disk of a replica fail until the replica has noticed it, and ends the fault.
    fn fail_disk(&self, replica: usize, fault: impl Fn(&MemoryDisk)) {
        fault(&self.disks[replica]);
        append_all(&self.all(), 50..80);
        wait_for("the storage to fail", || {
            self.handles[replica]
                .leadership()
                .storage_failed
                .then_some(())
        });
        append_all(&self.all(), 80..100);
        self.disks[replica].clear_faults();
    }

    /// Checks that the replica catches up in time, and then forms a quorum with one other.
    fn check_quorum_with(&self, replica: usize) {
        let fault_ended_at = Instant::now();
        let expected: Vec<u64> = (0..100).collect();
        while self.handles[replica].read_local(values) != expected {
            let elapsed = fault_ended_at.elapsed();
            assert!(
                elapsed < CATCH_UP_MAX,
                "not caught up {elapsed:?} after the fault"
            );
        }
        let lost = (replica + 1) % 3;
        self.network.partition(address(lost as u16));
        append_all(&self.all_but(lost), 100..120);
        self.handles.iter().for_each(|handle| handle.stop());
    }
}

/// Guards against a follower that stays stopped after its disk was full for a time, so that the
/// loss of one more voter ends the quorum for good.
#[test]
fn a_follower_whose_disk_was_full_counts_for_the_quorum_again() {
    let group = FaultyGroup::start();
    append_all(&group.all(), 0..50);
    let follower = (wait_for_leader(&group.all()) + 1) % 3;
    group.fail_disk(follower, |disk| disk.limit_space(0));
    group.check_quorum_with(follower);
}

/// Guards against a leader that stays stopped after its disk was full for a time.
#[test]
fn a_leader_whose_disk_was_full_counts_for_the_quorum_again() {
    let group = FaultyGroup::start();
    append_all(&group.all(), 0..50);
    let leader = wait_for_leader(&group.all());
    group.fail_disk(leader, |disk| disk.limit_space(0));
    group.check_quorum_with(leader);
}

/// Guards against a replica that stays stopped after syncs of its disk have failed.
#[test]
fn a_replica_whose_syncs_failed_counts_for_the_quorum_again() {
    let group = FaultyGroup::start();
    append_all(&group.all(), 0..50);
    let follower = (wait_for_leader(&group.all()) + 1) % 3;
    group.fail_disk(follower, MemoryDisk::fail_syncs);
    group.check_quorum_with(follower);
}

/// Guards against values that are lost, or applied twice, when a replica reads its folder again
/// while others go on, with snapshots taken and installed meanwhile.
#[test]
fn disk_faults_in_any_order_lose_and_repeat_nothing() {
    for_each_seed(SEED_COUNT, |seed, random| {
        let group = FaultyGroup::start();
        let mut next_value = 0;
        for _ in 0..DISK_FAULTS {
            group.fail_any_disk(random, &mut next_value);
        }
        let expected: Vec<u64> = (0..next_value).collect();
        for (number, handle) in group.handles.iter().enumerate() {
            wait_for("equal state", || {
                let held = handle.read_local(values);
                let is_prefix = expected.starts_with(&held);
                assert!(is_prefix, "seed {seed}, replica {number}: {held:?}");
                (held.len() == expected.len()).then_some(())
            });
        }
        group.handles.iter().for_each(|handle| handle.stop());
    });
}
