//! Jobs that the leader would refuse in any case.
//!
//! Guards against an entry that passes such a job on, or keeps it until a leader is found: its caller
//! waits in vain, and its bytes stay in memory meanwhile.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use crate::support::fake_leader::start_entry_of;
use crate::support::fake_leader::submission;
use crate::support::fake_leader::FakeLeader;
use guavavane_cell::message::CallerRequest;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_jobs::job::PAYLOAD_MAX_BYTES;
use guavavane_jobs::job::STEPS_MAX;
use guavavane_jobs::job::TASKS_MAX;
use guavavane_jobs::job::TEXTS_MAX_BYTES;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RawStep;

/// Wait of a caller.
const CALLER_WAIT: Duration = Duration::from_secs(3);

fn job_of(step: RawStep, count: usize) -> RawJob {
    RawJob {
        steps: vec![step; count],
        ..RawJob::default()
    }
}

/// Jobs that are over a limit by one, or that contradict themselves.
fn invalid_jobs() -> Vec<RawJob> {
    let step = RawStep {
        tasks: 1,
        ..RawStep::default()
    };
    let with_payload = RawJob {
        payload: "x".repeat(PAYLOAD_MAX_BYTES + 1),
        ..job_of(step.clone(), 1)
    };
    let with_texts = RawStep {
        image: "x".repeat(TEXTS_MAX_BYTES + 1),
        ..step.clone()
    };
    let with_tasks = RawStep {
        tasks: TASKS_MAX + 1,
        ..step.clone()
    };
    let after_itself = RawStep {
        after: vec![0],
        ..step.clone()
    };
    let without_period = RawJob {
        repeats: 2,
        ..job_of(step.clone(), 1)
    };
    vec![
        RawJob::default(),
        with_payload,
        job_of(RawStep::default(), 1),
        job_of(step, STEPS_MAX + 1),
        job_of(with_texts, 1),
        job_of(with_tasks, 1),
        job_of(after_itself, 1),
        without_period,
    ]
}

#[tokio::test]
async fn an_entry_refuses_a_job_that_the_leader_would_refuse() {
    let leader = FakeLeader::start().await;
    let entry = start_entry_of(&leader).await;
    for job in invalid_jobs() {
        let request = CallerRequest {
            action: CallerAction::Submit(Arc::new(job)),
            ..submission(1)
        };
        let reply = entry.call(request, CALLER_WAIT).await;
        assert!(matches!(reply, CallerReply::Invalid(_)), "{reply:?}");
    }
    assert!(!leader.received_paths().contains(&submission(1).path));
    let reply = entry.call(submission(2), CALLER_WAIT).await;
    assert_eq!(reply, CallerReply::Accepted);
}
