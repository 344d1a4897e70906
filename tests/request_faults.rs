//! Fault tests of the request path: entries, agents and workers are killed, frozen, partitioned and
//! restarted under load.
//!
//! Guards against lost, doubled and cut requests. The invariant checker compares the outcomes that
//! callers observed with the executions that the endpoints recorded.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use crate::support::assert_invariants_hold;
use crate::support::cluster_plan;
use crate::support::document_text;
use crate::support::sleep_ms;
use crate::support::start_cluster;
use crate::support::RunningLoad;
use crate::support::PROCESS_FAULT_RULES;
use guavavane::standin::prelude::CallerOutcome;
use guavavane::standin::prelude::CheckRules;
use guavavane::standin::prelude::EndpointFault;
use guavavane::standin::prelude::RelayMode;

/// Number of workers in each cluster, each with one endpoint.
const WORKERS: usize = 4;

#[test]
fn kills_of_entries_agents_and_workers_double_and_lose_no_requests() {
    let mut test = start_cluster(cluster_plan("kills", WORKERS));
    test.apply_first_document(&document_text(WORKERS, 0, 1_000, 3_000), WORKERS as u64);
    let load = RunningLoad::start(test.load("kills"));
    for name in ["entry-1", "agent-1", "worker-2", "agent-3", "entry-2"] {
        sleep_ms(1_500);
        test.cluster.kill_and_restart(name).unwrap();
        test.cluster.wait_healthy(name).unwrap();
        test.cluster.wait_routed(WORKERS).unwrap();
    }
    let report = assert_invariants_hold(&test, load, &PROCESS_FAULT_RULES);
    assert!(report.answered > report.requests / 2);
}

#[test]
fn freezes_of_entries_agents_and_workers_double_and_lose_no_requests() {
    let mut test = start_cluster(cluster_plan("freezes", WORKERS));
    test.apply_first_document(&document_text(WORKERS, 0, 1_000, 3_000), WORKERS as u64);
    let mut settings = test.load("freezes");
    settings.timeout = Duration::from_millis(2_500);
    let load = RunningLoad::start(settings);
    for name in ["entry-1", "agent-1", "worker-2", "entry-2"] {
        sleep_ms(1_000);
        test.cluster.group.freeze(name).unwrap();
        sleep_ms(3_000);
        test.cluster.group.thaw(name).unwrap();
    }
    sleep_ms(2_000);
    let report = assert_invariants_hold(&test, load, &PROCESS_FAULT_RULES);
    assert!(report.answered > report.requests / 2);
}

#[test]
fn rolling_graceful_restart_cuts_no_requests() {
    let mut test = start_cluster(cluster_plan("rolling", WORKERS));
    test.apply_first_document(&document_text(WORKERS, 0, 1_000, 3_000), WORKERS as u64);
    let load = RunningLoad::start(test.load("rolling"));
    let exit_timeout = Duration::from_secs(30);
    for role in ["entry", "control", "agent", "worker"] {
        for name in test.cluster.running_names(role) {
            test.cluster.group.terminate(&name, exit_timeout).unwrap();
            test.cluster.group.restart(&name).unwrap();
            test.cluster.wait_healthy(&name).unwrap();
            test.cluster.wait_routed(WORKERS).unwrap();
        }
    }
    sleep_ms(1_000);
    let report = assert_invariants_hold(&test, load, &CheckRules::default());
    assert_eq!(report.unknown, 0);
}

#[test]
fn keyed_request_resent_through_another_entry_runs_once_while_the_first_is_frozen() {
    let mut test = start_cluster(cluster_plan("resend", WORKERS));
    test.apply_first_document(&document_text(WORKERS, 0, 1_000, 3_000), WORKERS as u64);
    let mut settings = test.load("resend");
    settings.slip_millis = 1_000;
    settings.keyed_millis = 1_000;
    settings.timeout = Duration::from_millis(800);
    settings.health_interval = None;
    settings.sends = 8;
    let load = RunningLoad::start(settings);
    for _ in 0..3 {
        sleep_ms(1_000);
        test.cluster.group.freeze("entry-1").unwrap();
        sleep_ms(2_000);
        test.cluster.group.thaw("entry-1").unwrap();
    }
    sleep_ms(1_000);
    let summary = load.stop();
    let report = test.check_evidence(&PROCESS_FAULT_RULES);
    println!("{} | {}", report.line(), summary.line());
    assert!(report.invariants_hold(), "{:#?}", report.violations);
    assert!(summary.count(CallerOutcome::Answered) > report.requests / 2);
}

#[test]
fn partition_between_entries_and_agents_doubles_and_loses_no_requests() {
    let mut plan = cluster_plan("cut", WORKERS);
    plan.relay_agents = true;
    let test = start_cluster(plan);
    test.apply_first_document(&document_text(WORKERS, 0, 1_000, 3_000), WORKERS as u64);
    let load = RunningLoad::start(test.load("cut"));
    for (index, mode) in [
        (0, RelayMode::Drop),
        (1, RelayMode::DropForward),
        (2, RelayMode::DropBack),
        (3, RelayMode::Close),
    ] {
        sleep_ms(1_000);
        let relay = test.cluster.workers[index].relay.as_ref().unwrap();
        relay.set_mode(mode);
        sleep_ms(3_000);
        relay.set_mode(RelayMode::Pass);
    }
    sleep_ms(2_000);
    let report = assert_invariants_hold(&test, load, &PROCESS_FAULT_RULES);
    assert!(report.answered > report.requests / 2);
}

#[test]
fn late_crossed_truncated_and_double_answers_reach_no_caller() {
    let test = start_cluster(cluster_plan("answers", WORKERS));
    test.apply_first_document(&document_text(WORKERS, 0, 1_000, 3_000), WORKERS as u64);
    let load = RunningLoad::start(test.load("answers"));
    for mode in [
        EndpointFault::ShortAnswer,
        EndpointFault::CrossedId,
        EndpointFault::DoubleAnswer,
        EndpointFault::LateAnswer,
        EndpointFault::Slow,
        EndpointFault::Freeze,
    ] {
        for index in 0..WORKERS {
            test.inject_fault(index, mode, 300);
        }
        sleep_ms(1_500);
    }
    for index in 0..WORKERS {
        test.inject_fault(index, EndpointFault::None, 0);
    }
    sleep_ms(4_000);
    assert_invariants_hold(&test, load, &PROCESS_FAULT_RULES);
}
