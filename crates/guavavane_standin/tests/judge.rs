//! The judge sees each fault that it is there to see.

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
use guavavane_standin::prelude::judge_records;
use guavavane_standin::prelude::CallerOutcome;
use guavavane_standin::prelude::EvidenceEvent;
use guavavane_standin::prelude::EvidenceRecord;
use guavavane_standin::prelude::JudgeReport;
use guavavane_standin::prelude::JudgeRules;

fn key(task: u64, attempt: u32) -> AttemptKey {
    AttemptKey {
        task: TaskId(task),
        attempt: AttemptNumber(attempt),
    }
}

fn up(worker: &str) -> EvidenceEvent {
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

/// Judges events that are one second apart.
fn judge(events: Vec<EvidenceEvent>, rules: &JudgeRules) -> JudgeReport {
    let records: Vec<_> = events
        .into_iter()
        .zip(1..)
        .map(|(event, second)| EvidenceRecord {
            at_us: second * 1_000_000,
            event,
        })
        .collect();
    judge_records(&records, rules)
}

fn strict(events: Vec<EvidenceEvent>) -> JudgeReport {
    judge(events, &JudgeRules::default())
}

#[test]
fn requests_are_counted_as_lost_doubled_cut_or_falsely_refused() {
    let answered = CallerOutcome::Answered;
    let good = strict(vec![sent("a"), executed("a"), settled("a", answered)]);
    assert!(good.is_good());
    let unsettled = strict(vec![sent("a"), executed("a")]);
    assert_eq!(unsettled.lost, 1);
    let unexecuted = strict(vec![sent("a"), settled("a", answered)]);
    assert_eq!(unexecuted.lost, 1);
    let twice = vec![
        sent("a"),
        executed("a"),
        executed("a"),
        settled("a", answered),
    ];
    assert_eq!(strict(twice).doubled, 1);
    let refused = vec![
        sent("a"),
        executed("a"),
        settled("a", CallerOutcome::NotRun),
    ];
    assert_eq!(strict(refused).false_refusals, 1);
    let mismatched = vec![sent("a"), settled("a", CallerOutcome::Mismatched)];
    assert_eq!(strict(mismatched).cut, 1);
}

#[test]
fn a_broken_connection_is_cut_unless_processes_were_killed() {
    let events = vec![sent("a"), settled("a", CallerOutcome::Broken)];
    assert_eq!(strict(events.clone()).cut, 1);
    let rules = JudgeRules {
        entries_killed: true,
        ..JudgeRules::default()
    };
    let report = judge(events, &rules);
    assert_eq!((report.cut, report.unknown), (0, 1));
}

#[test]
fn overlaps_and_overruns_are_seen() {
    let two_places = vec![up("w1"), up("w2"), started("w1", key(1, 1), 500, 0)];
    let mut overlap = two_places.clone();
    overlap.push(started("w2", key(1, 2), 500, 0));
    assert_eq!(strict(overlap).overlaps, 1);
    let mut moved = two_places.clone();
    moved.push(ended("w1", key(1, 1), AttemptState::Expired));
    moved.push(started("w2", key(1, 2), 500, 0));
    assert!(strict(moved).is_good());
    let mut overrun = two_places;
    overrun.push(started("w1", key(2, 1), 501, 0));
    assert_eq!(strict(overrun).overruns, 1);
    let refused = EvidenceEvent::StartRefused {
        worker: "w1".try_into().unwrap(),
        key: key(1, 1),
        reason: StartRefusal::Capacity,
    };
    assert_eq!(strict(vec![up("w1"), refused]).overruns, 1);
}

#[test]
fn evicted_and_finished_tasks_are_followed() {
    let checkpoint = EvidenceEvent::Checkpointed {
        worker: "w1".try_into().unwrap(),
        key: key(1, 1),
        progress_ms: 60,
    };
    let mut events = vec![up("w1"), started("w1", key(1, 1), 500, 0), checkpoint];
    events.push(ended("w1", key(1, 1), AttemptState::Stopped));
    let mut short = events.clone();
    short.push(started("w1", key(1, 2), 500, 59));
    assert_eq!(strict(short).resumed_short, 1);
    events.push(started("w1", key(1, 2), 500, 60));
    events.push(ended("w1", key(1, 2), AttemptState::Finished));
    let report = strict(events.clone());
    assert!(report.is_good());
    assert_eq!((report.evictions, report.batch_finished), (1, 1));
    events.push(started("w1", key(1, 3), 500, 60));
    assert_eq!(strict(events).finished_twice, 1);
}

#[test]
fn starts_in_an_out_data_centre_are_seen_past_the_bound() {
    let out = EvidenceEvent::DataCentreOut {
        data_centre: "bento".try_into().unwrap(),
    };
    let back = EvidenceEvent::DataCentreBack {
        data_centre: "bento".try_into().unwrap(),
    };
    let start = |task| started("w1", key(task, 1), 10, 0);
    let mut events = vec![up("w1"), out, start(1), start(2), start(3)];
    assert!(strict(events.clone()).is_good());
    events.push(start(4));
    assert_eq!(strict(events.clone()).starts_in_out_data_centre, 1);
    events.extend([back, start(5)]);
    assert_eq!(strict(events).starts_in_out_data_centre, 1);
}
