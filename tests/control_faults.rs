//! Control replicas that are killed, frozen, cut off and that lose their disks.

#![allow(clippy::unwrap_used)]

mod support;

use crate::support::document;
use crate::support::plan;
use crate::support::run_on;
use crate::support::start;
use crate::support::Bench;
use guavavane::protocol::prelude::AcceptedVersion;
use guavavane::standin::clock::wait_until;
use guavavane::standin::harness::cluster::READY_TIMEOUT;

/// Documents that are applied in the long runs.
const CHANGES: u64 = 300;

/// The document of version `version`; each has other content.
fn text_of(version: u64) -> String {
    document(1, 0, 1_000, 3_000 + version)
}

/// Applies one document on top of `version` and checks what was accepted.
fn change(bench: &Bench, version: u64) -> AcceptedVersion {
    let accepted = bench.apply(version, &text_of(version + 1));
    assert_eq!(accepted.version.0, version + 1);
    accepted
}

/// Checks that the document in force is the last one accepted.
fn assert_in_force(bench: &Bench, last: &AcceptedVersion) {
    let (accepted, text) = bench.show();
    assert_eq!(&accepted, last);
    assert_eq!(&*text, text_of(last.version.0).as_str());
}

fn voter_identities(bench: &Bench) -> Vec<u64> {
    let replicas = bench.status().replicas;
    let voters = replicas.iter().filter(|replica| replica.voter);
    voters.map(|replica| replica.replica).collect()
}

/// Identity of the voter that runs as the process `name`.
fn identity(bench: &Bench, name: &str) -> u64 {
    let names = ["control-1", "control-2", "control-3"];
    let index = names.iter().position(|other| *other == name).unwrap();
    let address = bench.cluster.replicas[index].advertised;
    let replicas = bench.status().replicas;
    let mut voters = replicas.iter().filter(|replica| replica.voter);
    let voter = voters.find(|replica| replica.address == address);
    voter.unwrap().replica
}

#[test]
fn changes_survive_kills_and_restarts_of_replicas_in_turn() {
    let mut bench = start(plan("control-kills", 1));
    let mut last = change(&bench, 0);
    for version in 1..CHANGES {
        if version % 20 == 0 {
            let name = format!("control-{}", version / 20 % 3 + 1);
            bench.cluster.kill_and_restart(&name).unwrap();
        }
        last = change(&bench, version);
        if version % 10 == 0 {
            assert_in_force(&bench, &last);
        }
    }
    for name in ["control-1", "control-2", "control-3"] {
        bench.cluster.kill(name).unwrap();
    }
    for name in ["control-1", "control-2", "control-3"] {
        bench.cluster.group.restart(name).unwrap();
    }
    assert_in_force(&bench, &last);
    assert_eq!(last.version.0, CHANGES);
}

#[test]
fn a_leader_frozen_past_its_lease_serves_nothing_stale() {
    let mut bench = start(plan("control-freeze", 1));
    let mut last = change(&bench, 0);
    for _ in 0..4 {
        let leader = bench.leader();
        let name = format!("control-{}", leader + 1);
        bench.cluster.group.freeze(&name).unwrap();
        for _ in 0..5 {
            last = change(&bench, last.version.0);
        }
        assert_ne!(bench.leader(), leader);
        bench.cluster.group.thaw(&name).unwrap();
        for _ in 0..20 {
            assert_in_force(&bench, &last);
        }
    }
}

#[test]
fn a_lost_disk_is_repaired_and_a_second_loss_keeps_all_changes() {
    let mut plan = plan("control-disks", 1);
    plan.control_flags.push("--removal-ms=2500".to_owned());
    let mut bench = start(plan);
    let mut last = change(&bench, 0);
    for name in ["control-1", "control-2", "control-3"] {
        for _ in 0..10 {
            last = change(&bench, last.version.0);
        }
        let lost = identity(&bench, name);
        bench.cluster.kill(name).unwrap();
        std::fs::remove_dir_all(bench.cluster.group.data_folder(name)).unwrap();
        bench.cluster.group.restart(name).unwrap();
        for _ in 0..10 {
            last = change(&bench, last.version.0);
        }
        wait_until(
            "three voters without the lost identity",
            READY_TIMEOUT,
            || {
                let voters = voter_identities(&bench);
                voters.len() == 3 && !voters.contains(&lost)
            },
        )
        .unwrap();
        assert_in_force(&bench, &last);
    }
}

#[test]
fn a_replica_that_is_cut_off_silently_stops_no_changes_and_serves_nothing_stale() {
    let mut plan = plan("control-cut", 1);
    plan.relay_control = true;
    let bench = start(plan);
    let mut last = change(&bench, 0);
    for step in [1, 0, 0] {
        let cut = (bench.leader() + step) % 3;
        bench.cluster.isolate_replica(cut);
        for _ in 0..20 {
            last = change(&bench, last.version.0);
        }
        assert_ne!(bench.leader(), cut);
        run_on(4_000);
        last = change(&bench, last.version.0);
        bench.cluster.heal_replicas();
        for _ in 0..20 {
            assert_in_force(&bench, &last);
        }
        last = change(&bench, last.version.0);
    }
}
