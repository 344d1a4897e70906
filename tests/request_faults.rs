//! Requests through real processes that are killed, frozen, cut off and restarted under load.
//!
//! The endpoints' own count of what they ran is the judge.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use crate::support::assert_good;
use crate::support::document;
use crate::support::plan;
use crate::support::run_on;
use crate::support::start;
use crate::support::RunningLoad;
use crate::support::KILLED_RULES;
use guavavane::standin::prelude::CallerOutcome;
use guavavane::standin::prelude::CheckRules;
use guavavane::standin::prelude::EndpointFault;
use guavavane::standin::prelude::RelayMode;

const WORKERS: usize = 4;

#[test]
fn killed_entries_agents_and_endpoints_double_and_lose_nothing() {
    let mut bench = start(plan("kills", WORKERS));
    bench.serve(&document(WORKERS, 0, 1_000, 3_000), WORKERS as u64);
    let load = RunningLoad::start(bench.load("kills"));
    for name in ["entry-1", "agent-1", "worker-2", "agent-3", "entry-2"] {
        run_on(1_500);
        bench.cluster.kill_and_restart(name).unwrap();
        bench.cluster.wait_healthy(name).unwrap();
        bench.cluster.wait_routed(WORKERS).unwrap();
    }
    let report = assert_good(&bench, load, &KILLED_RULES);
    assert!(report.answered > report.requests / 2);
}

#[test]
fn frozen_entries_agents_and_endpoints_double_and_lose_nothing() {
    let mut bench = start(plan("freezes", WORKERS));
    bench.serve(&document(WORKERS, 0, 1_000, 3_000), WORKERS as u64);
    let mut settings = bench.load("freezes");
    settings.timeout = Duration::from_millis(2_500);
    let load = RunningLoad::start(settings);
    for name in ["entry-1", "agent-1", "worker-2", "entry-2"] {
        run_on(1_000);
        bench.cluster.group.freeze(name).unwrap();
        run_on(3_000);
        bench.cluster.group.thaw(name).unwrap();
    }
    run_on(2_000);
    let report = assert_good(&bench, load, &KILLED_RULES);
    assert!(report.answered > report.requests / 2);
}

#[test]
fn a_rolling_graceful_restart_cuts_nothing() {
    let mut bench = start(plan("rolling", WORKERS));
    bench.serve(&document(WORKERS, 0, 1_000, 3_000), WORKERS as u64);
    let load = RunningLoad::start(bench.load("rolling"));
    let limit = Duration::from_secs(30);
    for role in ["entry", "control", "agent", "worker"] {
        for name in bench.cluster.running_names(role) {
            bench.cluster.group.terminate(&name, limit).unwrap();
            bench.cluster.group.restart(&name).unwrap();
            bench.cluster.wait_healthy(&name).unwrap();
            bench.cluster.wait_routed(WORKERS).unwrap();
        }
    }
    run_on(1_000);
    let report = assert_good(&bench, load, &CheckRules::default());
    assert_eq!(report.unknown, 0);
}

#[test]
fn a_key_resent_through_the_other_entry_runs_once_while_the_first_is_frozen() {
    let mut bench = start(plan("resend", WORKERS));
    bench.serve(&document(WORKERS, 0, 1_000, 3_000), WORKERS as u64);
    let mut settings = bench.load("resend");
    settings.slip_millis = 1_000;
    settings.keyed_millis = 1_000;
    settings.timeout = Duration::from_millis(800);
    settings.health_interval = None;
    settings.sends = 8;
    let load = RunningLoad::start(settings);
    for _ in 0..3 {
        run_on(1_000);
        bench.cluster.group.freeze("entry-1").unwrap();
        run_on(2_000);
        bench.cluster.group.thaw("entry-1").unwrap();
    }
    run_on(1_000);
    let summary = load.end();
    let report = bench.check_evidence(&KILLED_RULES);
    println!("{} | {}", report.line(), summary.line());
    assert!(report.invariants_hold(), "{:#?}", report.violations);
    assert!(summary.count(CallerOutcome::Answered) > report.requests / 2);
}

#[test]
fn a_silent_cut_between_entries_and_agents_doubles_and_loses_nothing() {
    let mut plan = plan("cut", WORKERS);
    plan.relay_agents = true;
    let bench = start(plan);
    bench.serve(&document(WORKERS, 0, 1_000, 3_000), WORKERS as u64);
    let load = RunningLoad::start(bench.load("cut"));
    for (index, mode) in [
        (0, RelayMode::Drop),
        (1, RelayMode::DropForward),
        (2, RelayMode::DropBack),
        (3, RelayMode::Close),
    ] {
        run_on(1_000);
        let relay = bench.cluster.workers[index].relay.as_ref().unwrap();
        relay.set_mode(mode);
        run_on(3_000);
        relay.set_mode(RelayMode::Pass);
    }
    run_on(2_000);
    let report = assert_good(&bench, load, &KILLED_RULES);
    assert!(report.answered > report.requests / 2);
}

#[test]
fn answers_that_are_late_crossed_short_or_double_reach_no_caller() {
    let bench = start(plan("answers", WORKERS));
    bench.serve(&document(WORKERS, 0, 1_000, 3_000), WORKERS as u64);
    let load = RunningLoad::start(bench.load("answers"));
    for mode in [
        EndpointFault::ShortAnswer,
        EndpointFault::CrossedId,
        EndpointFault::DoubleAnswer,
        EndpointFault::LateAnswer,
        EndpointFault::Slow,
        EndpointFault::Freeze,
    ] {
        for index in 0..WORKERS {
            bench.misbehave(index, mode, 300);
        }
        run_on(1_500);
    }
    for index in 0..WORKERS {
        bench.misbehave(index, EndpointFault::None, 0);
    }
    run_on(4_000);
    assert_good(&bench, load, &KILLED_RULES);
}
