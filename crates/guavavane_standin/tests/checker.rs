//! The invariant checker reports each kind of violation, and none in a valid history.

#![allow(clippy::unwrap_used)]

use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::AttemptState;
use guavavane_contract::prelude::StartProgram;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootId;
use guavavane_model::prelude::FenceNumber;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_standin::evidence::StartRefusal;
use guavavane_standin::prelude::check_records;
use guavavane_standin::prelude::CallerOutcome;
use guavavane_standin::prelude::CheckReport;
use guavavane_standin::prelude::CheckRules;
use guavavane_standin::prelude::EvidenceEvent;
use guavavane_standin::prelude::EvidenceRecord;

fn key(task: u64, attempt: u32) -> AttemptKey {
    AttemptKey {
        task: TaskId(task),
        attempt: AttemptNumber(attempt),
    }
}

fn worker_up(worker: &str) -> EvidenceEvent {
    EvidenceEvent::WorkerUp {
        worker: worker.try_into().unwrap(),
        data_centre: "bento".try_into().unwrap(),
        rack: "r1".try_into().unwrap(),
        boot: BootId(1),
        capacity: ResourceVector::new(1_000, 1_000, 0),
    }
}

fn started(worker: &str, key: AttemptKey, cpu: u64, resume_ms: u64) -> EvidenceEvent {
    EvidenceEvent::Started {
        worker: worker.try_into().unwrap(),
        data_centre: "bento".try_into().unwrap(),
        key,
        fence: FenceNumber(1),
        program: StartProgram::Batch { run_ms: 100 },
        demand: ResourceVector::new(cpu, 1, 0),
        resume_ms,
    }
}

fn ended(worker: &str, key: AttemptKey, state: AttemptState) -> EvidenceEvent {
    EvidenceEvent::Ended {
        worker: worker.try_into().unwrap(),
        key,
        state,
        progress_ms: 100,
        lease_until_ms: 1_000,
    }
}

fn sent(caller_id: &str) -> EvidenceEvent {
    EvidenceEvent::Sent {
        caller_id: caller_id.to_owned(),
        method: "POST".to_owned(),
        keyed: false,
    }
}

fn settled(caller_id: &str, outcome: CallerOutcome) -> EvidenceEvent {
    EvidenceEvent::Settled {
        caller_id: caller_id.to_owned(),
        outcome,
        latency_us: 1,
        sends: 1,
        reason: String::new(),
    }
}

fn executed(caller_id: &str) -> EvidenceEvent {
    EvidenceEvent::Executed {
        worker: "w1".try_into().unwrap(),
        key: key(1, 1),
        request: String::new(),
        method: "POST".to_owned(),
        caller_id: caller_id.to_owned(),
    }
}

/// Checks a history whose events are one second apart, the first at 1 s.
fn check_events(events: Vec<EvidenceEvent>, rules: &CheckRules) -> CheckReport {
    let records: Vec<_> = events
        .into_iter()
        .zip(1..)
        .map(|(event, second)| EvidenceRecord {
            at_us: second * 1_000_000,
            event,
        })
        .collect();
    check_records(&records, rules)
}

fn check_without_faults(events: Vec<EvidenceEvent>) -> CheckReport {
    check_events(events, &CheckRules::default())
}

#[test]
fn lost_doubled_cut_and_falsely_refused_requests_are_reported() {
    let answered = CallerOutcome::Answered;
    let valid = check_without_faults(vec![sent("a"), executed("a"), settled("a", answered)]);
    assert!(valid.invariants_hold());
    let unsettled = check_without_faults(vec![sent("a"), executed("a")]);
    assert_eq!(unsettled.lost, 1);
    let never_executed = check_without_faults(vec![sent("a"), settled("a", answered)]);
    assert_eq!(never_executed.lost, 1);
    let executed_twice = vec![
        sent("a"),
        executed("a"),
        executed("a"),
        settled("a", answered),
    ];
    assert_eq!(check_without_faults(executed_twice).doubled, 1);
    let refused = vec![
        sent("a"),
        executed("a"),
        settled("a", CallerOutcome::NotRun),
    ];
    assert_eq!(check_without_faults(refused).false_refusals, 1);
    let mismatched = vec![sent("a"), settled("a", CallerOutcome::Mismatched)];
    assert_eq!(check_without_faults(mismatched).cut, 1);
}

#[test]
fn broken_connection_counts_as_cut_unless_processes_were_killed() {
    let events = vec![sent("a"), settled("a", CallerOutcome::Broken)];
    assert_eq!(check_without_faults(events.clone()).cut, 1);
    let rules = CheckRules {
        entries_killed: true,
        ..CheckRules::default()
    };
    let report = check_events(events, &rules);
    assert_eq!((report.cut, report.unknown), (0, 1));
}

#[test]
fn overlapping_attempts_and_overcommitted_workers_are_reported() {
    let two_places = vec![
        worker_up("w1"),
        worker_up("w2"),
        started("w1", key(1, 1), 500, 0),
    ];
    let mut overlap = two_places.clone();
    overlap.push(started("w2", key(1, 2), 500, 0));
    assert_eq!(check_without_faults(overlap).overlaps, 1);
    let mut moved_after_expiry = two_places.clone();
    moved_after_expiry.push(ended("w1", key(1, 1), AttemptState::Expired));
    moved_after_expiry.push(started("w2", key(1, 2), 500, 0));
    assert!(check_without_faults(moved_after_expiry).invariants_hold());
    let mut overrun = two_places;
    overrun.push(started("w1", key(2, 1), 501, 0));
    assert_eq!(check_without_faults(overrun).overruns, 1);
    let refused = EvidenceEvent::StartRefused {
        worker: "w1".try_into().unwrap(),
        key: key(1, 1),
        reason: StartRefusal::Capacity,
    };
    assert_eq!(
        check_without_faults(vec![worker_up("w1"), refused]).overruns,
        1
    );
}

#[test]
fn lost_checkpoints_and_restarts_of_finished_tasks_are_reported() {
    let checkpoint = EvidenceEvent::Checkpointed {
        worker: "w1".try_into().unwrap(),
        key: key(1, 1),
        progress_ms: 60,
    };
    let mut events = vec![
        worker_up("w1"),
        started("w1", key(1, 1), 500, 0),
        checkpoint,
    ];
    events.push(ended("w1", key(1, 1), AttemptState::Stopped));
    let mut lost_progress = events.clone();
    lost_progress.push(started("w1", key(1, 2), 500, 59));
    assert_eq!(check_without_faults(lost_progress).resumed_short, 1);
    events.push(started("w1", key(1, 2), 500, 60));
    events.push(ended("w1", key(1, 2), AttemptState::Finished));
    let report = check_without_faults(events.clone());
    assert!(report.invariants_hold());
    assert_eq!((report.evictions, report.batch_finished), (1, 1));
    events.push(started("w1", key(1, 3), 500, 60));
    assert_eq!(check_without_faults(events).finished_twice, 1);
}

#[test]
fn starts_in_a_data_centre_taken_out_are_reported_past_the_bound() {
    let out = EvidenceEvent::DataCentreOut {
        data_centre: "bento".try_into().unwrap(),
    };
    let back = EvidenceEvent::DataCentreBack {
        data_centre: "bento".try_into().unwrap(),
    };
    let start = |task| started("w1", key(task, 1), 10, 0);
    let mut events = vec![worker_up("w1"), out, start(1), start(2), start(3)];
    assert!(check_without_faults(events.clone()).invariants_hold());
    events.push(start(4));
    assert_eq!(
        check_without_faults(events.clone()).starts_in_out_data_centre,
        1
    );
    events.extend([back, start(5)]);
    assert_eq!(check_without_faults(events).starts_in_out_data_centre, 1);
}
