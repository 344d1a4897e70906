//! Listings of the worker with a status that can't be read.
//!
//! Guards against one unreadable status that makes the whole listing unreadable, so that no lease is
//! renewed; and against an attempt that counts as stopped because its status was unreadable.
#![allow(clippy::unwrap_used)]

mod worker_model;

use std::time::Duration;

use crate::worker_model::WorkerModel;
use guavavane_agent::worker::AgentIdentity;
use guavavane_agent::worker::WorkerAction;
use guavavane_agent::worker::WorkerController;
use guavavane_agent::worker::WorkerInput;
use guavavane_agent::worker::WorkerListing;
use guavavane_agent::worker::WorkerTiming;
use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::AttemptList;
use guavavane_contract::prelude::AttemptState;
use guavavane_contract::prelude::AttemptStatus;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::FenceNumber;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_protocol::prelude::AttemptPhase;
use guavavane_protocol::prelude::WorkerPoll;

/// Nesting depth far beyond what a recursive decoder bears.
const DEPTH: usize = 10_000;

fn running(task: u64) -> AttemptStatus {
    AttemptStatus {
        key: AttemptKey {
            task: TaskId(task),
            attempt: AttemptNumber(1),
        },
        fence: FenceNumber(1),
        state: AttemptState::Running,
        demand: ResourceVector::new(100, 100, 0),
        checkpoint_ms: 0,
        usage: None,
    }
}

fn list_text(attempts: &[String]) -> String {
    let attempts = attempts.join(",");
    format!("{{\"boot\":1,\"now_ms\":7,\"attempts\":[{attempts}]}}")
}

#[test]
fn an_unreadable_status_leaves_the_others_listed() {
    let status = serde_json::to_string(&running(1)).unwrap();
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let mistyped = status.replace(
        "\"checkpoint_ms\":0",
        "\"checkpoint_ms\":18446744073709551616",
    );
    assert_ne!(mistyped, status);
    for odd in ["null".to_owned(), "{}".to_owned(), nested, mistyped] {
        let text = list_text(&[status.clone(), odd, status.clone()]);
        let list: AttemptList = serde_json::from_str(&text).unwrap();
        assert!(list.omits_attempts);
        assert_eq!(list.attempts, [running(1), running(1)]);
    }
    let list: AttemptList = serde_json::from_str(&list_text(&[status])).unwrap();
    assert!(!list.omits_attempts);
}

struct Agent {
    now: BootTime,
    controller: WorkerController,
    model: WorkerModel,
}

impl Agent {
    fn new() -> Self {
        let now = BootTime::from_millis(5_000);
        let identity = AgentIdentity {
            address: "127.0.0.1:1".parse().unwrap(),
            incarnation: IncarnationId(1),
        };
        Self {
            now,
            controller: WorkerController::new(now, identity, WorkerTiming::default()),
            model: WorkerModel::new(ResourceVector::new(1_000, 1_000, 0)),
        }
    }

    /// Lists the worker with these attempts; returns the poll that follows. The poll fails.
    fn list(&mut self, attempts: Vec<AttemptStatus>, omits_attempts: bool) -> WorkerPoll {
        self.now = self.now + Duration::from_secs(1);
        let actions = self.controller.step(self.now, WorkerInput::Tick);
        assert!(actions.contains(&WorkerAction::List), "{actions:?}");
        let requested_at = self.now;
        self.now = self.now + Duration::from_millis(10);
        let listing = WorkerListing {
            requested_at,
            received_at: self.now,
            facts: self.model.facts(),
            list: AttemptList {
                attempts,
                omits_attempts,
                ..self.model.list(self.now)
            },
        };
        let actions = self.controller.step(self.now, WorkerInput::Listed(listing));
        let poll = actions.into_iter().find_map(|action| match action {
            WorkerAction::Poll(poll) => Some(poll),
            _ => None,
        });
        let poll = poll.unwrap();
        let sequence = poll.sequence;
        self.controller
            .step(self.now, WorkerInput::PollFailed { sequence });
        poll
    }
}

fn running_attempts(poll: &WorkerPoll) -> usize {
    let attempts = poll.attempts.iter();
    attempts
        .filter(|report| report.phase == AttemptPhase::Running)
        .count()
}

#[test]
fn an_attempt_with_an_unreadable_status_does_not_count_as_stopped() {
    let mut agent = Agent::new();
    let poll = agent.list(vec![running(1), running(2)], false);
    assert_eq!(running_attempts(&poll), 2);
    let poll = agent.list(vec![running(1)], true);
    assert_eq!(running_attempts(&poll), 2);
    let poll = agent.list(vec![running(1)], false);
    assert_eq!(running_attempts(&poll), 1);
}
