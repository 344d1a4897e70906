//! Fault tests of the control group: replicas are killed, frozen, partitioned and lose their disks.
//!
//! Guards against lost changes and stale reads: every accepted document must stay in force, and
//! each read must return the last accepted one. Each change replaces the version before it, so that
//! a lost change also shows as a conflict.

#![allow(clippy::unwrap_used)]

mod support;

use crate::support::cluster_plan;
use crate::support::document_text;
use crate::support::sleep_ms;
use crate::support::start_cluster;
use crate::support::ClusterTest;
use guavavane::protocol::prelude::AcceptedVersion;
use guavavane::standin::clock::wait_until;
use guavavane::standin::harness::cluster::READY_TIMEOUT;
use guavavane::standin::http::http_get;

/// Number of documents that the test with repeated kills applies.
const CHANGES: u64 = 300;

/// Returns the document for `version`; its request timeout makes each version different.
fn document_of_version(version: u64) -> String {
    document_text(1, 0, 1_000, 3_000 + version)
}

/// Applies the document that follows `version` and checks the accepted version.
fn apply_next_document(test: &ClusterTest, version: u64) -> AcceptedVersion {
    let accepted = test.apply(version, &document_of_version(version + 1));
    assert_eq!(accepted.version.0, version + 1);
    accepted
}

/// Asserts that version and text of the document in force are those last accepted.
fn assert_document_in_force(test: &ClusterTest, last_accepted: &AcceptedVersion) {
    let (accepted, text) = test.document_in_force();
    assert_eq!(&accepted, last_accepted);
    assert_eq!(
        &*text,
        document_of_version(last_accepted.version.0).as_str()
    );
}

fn voter_identities(test: &ClusterTest) -> Vec<u64> {
    let replicas = test.status().replicas;
    let voters = replicas.iter().filter(|replica| replica.voter);
    voters.map(|replica| replica.replica).collect()
}

/// Returns the identity of the voter that runs as the process `name`.
fn voter_identity(test: &ClusterTest, name: &str) -> u64 {
    let names = ["control-1", "control-2", "control-3"];
    let index = names.iter().position(|other| *other == name).unwrap();
    let address = test.cluster.replicas[index].advertised;
    let replicas = test.status().replicas;
    let mut voters = replicas.iter().filter(|replica| replica.voter);
    let voter = voters.find(|replica| replica.address == address);
    voter.unwrap().replica
}

/// Returns the status page of a control replica; `Null` if it gives none.
fn replica_status(test: &ClusterTest, index: usize) -> serde_json::Value {
    let http = test.cluster.replicas[index].http;
    let response = http_get(format!("http://{http}/status")).send();
    let status = response.and_then(attohttpc::Response::json);
    status.unwrap_or_default()
}

/// Waits until the status page of some replica has these spare and unavailable voters.
fn wait_for_spare_voters(test: &ClusterTest, spare: usize, unavailable: &[&str]) {
    wait_until("the spare voters", READY_TIMEOUT, || {
        (0..3).any(|index| {
            let status = replica_status(test, index);
            status["spare_voters"] == spare
                && status["unavailable_voters"] == serde_json::json!(unavailable)
        })
    })
    .unwrap();
}

/// Guards against a lost voter that no page shows: the next loss would end the quorum.
#[test]
fn a_killed_replica_shows_on_the_status_page_of_the_leader() {
    let mut plan = cluster_plan("control-silent", 1);
    plan.control_flags.push("--removal-ms=2500".to_owned());
    let mut test = start_cluster(plan);
    let silent = (test.leader_index() + 1) % 3;
    let silent_id = replica_status(&test, silent)["replica"].clone();
    let silent_name = format!("control-{}", silent + 1);
    wait_for_spare_voters(&test, 1, &[]);
    test.cluster.kill(&silent_name).unwrap();
    wait_for_spare_voters(&test, 0, &[silent_id.as_str().unwrap()]);
    test.cluster.group.restart(&silent_name).unwrap();
    wait_for_spare_voters(&test, 1, &[]);
}

#[test]
fn accepted_documents_survive_kills_and_restarts_of_replicas() {
    let mut test = start_cluster(cluster_plan("control-kills", 1));
    let mut last_accepted = apply_next_document(&test, 0);
    for version in 1..CHANGES {
        if version % 20 == 0 {
            let name = format!("control-{}", version / 20 % 3 + 1);
            test.cluster.kill_and_restart(&name).unwrap();
        }
        last_accepted = apply_next_document(&test, version);
        if version % 10 == 0 {
            assert_document_in_force(&test, &last_accepted);
        }
    }
    for name in ["control-1", "control-2", "control-3"] {
        test.cluster.kill(name).unwrap();
    }
    for name in ["control-1", "control-2", "control-3"] {
        test.cluster.group.restart(name).unwrap();
    }
    assert_document_in_force(&test, &last_accepted);
    assert_eq!(last_accepted.version.0, CHANGES);
}

#[test]
fn leader_frozen_past_its_lease_serves_no_stale_reads() {
    let mut test = start_cluster(cluster_plan("control-freeze", 1));
    let mut last_accepted = apply_next_document(&test, 0);
    for _ in 0..4 {
        let leader = test.leader_index();
        let name = format!("control-{}", leader + 1);
        test.cluster.group.freeze(&name).unwrap();
        for _ in 0..5 {
            last_accepted = apply_next_document(&test, last_accepted.version.0);
        }
        assert_ne!(test.leader_index(), leader);
        test.cluster.group.thaw(&name).unwrap();
        for _ in 0..20 {
            assert_document_in_force(&test, &last_accepted);
        }
    }
}

#[test]
fn replicas_that_lose_their_disks_are_replaced_without_lost_changes() {
    let mut plan = cluster_plan("control-disks", 1);
    plan.control_flags.push("--removal-ms=2500".to_owned());
    let mut test = start_cluster(plan);
    let mut last_accepted = apply_next_document(&test, 0);
    for name in ["control-1", "control-2", "control-3"] {
        for _ in 0..10 {
            last_accepted = apply_next_document(&test, last_accepted.version.0);
        }
        let lost_identity = voter_identity(&test, name);
        test.cluster.kill(name).unwrap();
        std::fs::remove_dir_all(test.cluster.group.data_folder(name)).unwrap();
        test.cluster.group.restart(name).unwrap();
        for _ in 0..10 {
            last_accepted = apply_next_document(&test, last_accepted.version.0);
        }
        wait_until(
            "three voters without the lost identity",
            READY_TIMEOUT,
            || {
                let voters = voter_identities(&test);
                voters.len() == 3 && !voters.contains(&lost_identity)
            },
        )
        .unwrap();
        assert_document_in_force(&test, &last_accepted);
    }
}

#[test]
fn partitioned_replica_blocks_no_changes_and_serves_no_stale_reads() {
    let mut plan = cluster_plan("control-cut", 1);
    plan.relay_control = true;
    let test = start_cluster(plan);
    let mut last_accepted = apply_next_document(&test, 0);
    // Partitions a follower first, then the leader twice.
    for step in [1, 0, 0] {
        let cut = (test.leader_index() + step) % 3;
        test.cluster.isolate_replica(cut);
        for _ in 0..20 {
            last_accepted = apply_next_document(&test, last_accepted.version.0);
        }
        assert_ne!(test.leader_index(), cut);
        sleep_ms(4_000);
        last_accepted = apply_next_document(&test, last_accepted.version.0);
        test.cluster.heal_replicas();
        for _ in 0..20 {
            assert_document_in_force(&test, &last_accepted);
        }
        last_accepted = apply_next_document(&test, last_accepted.version.0);
    }
}
