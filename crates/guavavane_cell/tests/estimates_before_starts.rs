//! Interference estimates that an agent needs before a run starts.
//!
//! Guards against an agent that throttles a task as one of an unknown image, which counts as strongly
//! interfering, although the leader knows that it hardly interferes.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use crate::support::idle_report;
use crate::support::open_silent_session;
use crate::support::step;
use crate::support::TestCell;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::CallerReply;
use guavavane_jobs::plan::interference::Estimate;
use guavavane_jobs::plan::interference::PairEstimate;
use guavavane_jobs::prelude::RawStep;
use guavavane_transport::prelude::StreamReceiver;

/// Longest wait for a message that nothing delays.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Image of the latency-critical task.
const CRITICAL_IMAGE: &str = "web";
/// Image of the best-effort task.
const BEST_EFFORT_IMAGE: &str = "batch";

fn known_pair() -> PairEstimate {
    PairEstimate {
        latency_critical: Arc::from(CRITICAL_IMAGE),
        best_effort: Arc::from(BEST_EFFORT_IMAGE),
        coefficient: Estimate {
            mean: 0.05,
            variance: 0.01,
        },
    }
}

fn latency_critical_step() -> RawStep {
    RawStep {
        long_running: true,
        latency_target_ms: 100,
        image: CRITICAL_IMAGE.to_owned(),
        ..step(1, vec![])
    }
}

fn best_effort_step() -> RawStep {
    RawStep {
        best_effort: true,
        image: BEST_EFFORT_IMAGE.to_owned(),
        ..step(1, vec![])
    }
}

/// Receives messages until the start of a task of this image; returns the estimates before it.
async fn estimates_before_start(
    receiver: &mut StreamReceiver<FromControl>,
    image: &str,
) -> Vec<PairEstimate> {
    let mut known = Vec::new();
    loop {
        let message = tokio::time::timeout(MESSAGE_TIMEOUT, receiver.receive());
        match message.await.unwrap().unwrap() {
            FromControl::InterferenceEstimates { estimates, .. } => known.extend(estimates),
            FromControl::Start { order, .. } if &*order.image == image => return known,
            _ => {}
        }
    }
}

#[tokio::test]
async fn an_agent_gets_the_estimates_of_an_image_before_its_first_task() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let (sender, mut receiver) = open_silent_session(&cell, 0).await;
    let mut report = idle_report(0, 0);
    report.estimates = vec![known_pair()];
    sender.send(ToControl::WorkerReport(Box::new(report)));
    let accepted = cell.submit(1, vec![latency_critical_step()]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let known = estimates_before_start(&mut receiver, CRITICAL_IMAGE).await;
    assert_eq!(known, []);
    let accepted = cell.submit(2, vec![best_effort_step()]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let known = estimates_before_start(&mut receiver, BEST_EFFORT_IMAGE).await;
    assert_eq!(known, [known_pair()]);
}
