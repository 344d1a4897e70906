//! An entry whose leader accepts its stream and then stops answering.
//!
//! Guards against submissions that are written to such a leader: whether they were accepted is then
//! unknown, and their callers get 504 where they could have been told to retry.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::time::Duration;
use std::time::Instant;

use crate::support::fake_leader::start_entry_of;
use crate::support::fake_leader::submission;
use crate::support::fake_leader::FakeLeader;
use guavavane_cell::message::CallerRequest;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;

/// Wait of a caller.
const CALLER_WAIT: Duration = Duration::from_secs(3);
/// Time after which the entry surely holds submissions back: at least one ping has had no answer for
/// the longest time that counts as usual.
const NOTICED: Duration = Duration::from_millis(850);
/// Absence of the leader after which submissions are refused at once.
const LONG_ABSENCE: Duration = Duration::from_millis(2_600);

#[tokio::test]
async fn a_submission_is_not_written_to_a_leader_that_has_stopped_answering() {
    let leader = FakeLeader::start().await;
    let entry = start_entry_of(&leader).await;
    let accepted = entry.call(submission(1), CALLER_WAIT).await;
    assert_eq!(accepted, CallerReply::Accepted);
    leader.stop_answering();
    // The leader receives this submission but doesn't answer it, so its outcome is unknown.
    let written = tokio::spawn({
        let entry = entry.clone();
        async move { entry.call(submission(2), CALLER_WAIT).await }
    });
    leader.wait_for_path(&submission(2).path).await;
    tokio::time::sleep(NOTICED).await;
    let held = entry
        .call_with_retry_delay(submission(3), CALLER_WAIT)
        .await;
    assert_eq!(held.reply, CallerReply::Unavailable);
    assert_eq!(written.await.unwrap(), CallerReply::Unknown);
    tokio::time::sleep(LONG_ABSENCE).await;
    // The fake leader still accepts streams, but answers no ping on them.
    let started_at = Instant::now();
    let refused = entry
        .call_with_retry_delay(submission(4), CALLER_WAIT)
        .await;
    assert_eq!(refused.reply, CallerReply::Unavailable);
    assert!(started_at.elapsed() < Duration::from_millis(300));
    assert!(
        refused.retry_delay > held.retry_delay,
        "{refused:?} {held:?}"
    );
    let paths = leader.received_paths();
    for unsent in [submission(3), submission(4)] {
        assert!(!paths.contains(&unsent.path), "{paths:?}");
    }
}

// Guards against held submissions that are lost or refused although the leader goes on.
#[tokio::test]
async fn held_submissions_are_sent_once_the_leader_answers() {
    let leader = FakeLeader::start().await;
    let entry = start_entry_of(&leader).await;
    leader.stop_answering();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let held = tokio::spawn({
        let entry = entry.clone();
        async move { entry.call(submission(1), CALLER_WAIT).await }
    });
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert!(!leader.received_paths().contains(&submission(1).path));
    leader.resume_answering();
    assert_eq!(held.await.unwrap(), CallerReply::Accepted);
}

// Guards against a cancellation or a query that is not sent again to the next session.
#[tokio::test]
async fn unanswered_queries_and_cancellations_are_sent_again() {
    let leader = FakeLeader::start().await;
    let entry = start_entry_of(&leader).await;
    leader.stop_answering();
    let mut calls = Vec::new();
    for action in [CallerAction::Query, CallerAction::Cancel] {
        let entry = entry.clone();
        let request = CallerRequest {
            action,
            ..submission(1)
        };
        calls.push(tokio::spawn(async move {
            entry.call(request, Duration::from_secs(6)).await
        }));
    }
    leader.wait_for_path(&submission(1).path).await;
    leader.close_streams();
    leader.resume_answering();
    for call in calls {
        let reply = call.await.unwrap();
        assert_eq!(reply, CallerReply::Accepted, "the fake accepts all");
    }
}

// Guards against a submission or a cancellation that an earlier leader may have carried out, and that is
// answered as not carried out because the next leader rejects it.
#[tokio::test]
async fn a_rejection_after_an_unanswered_session_is_no_proof() {
    let leader = FakeLeader::start_with(|request| {
        if request.is_for_limits() {
            CallerReply::NoQueue
        } else {
            CallerReply::Unavailable
        }
    })
    .await;
    let entry = start_entry_of(&leader).await;
    leader.stop_answering();
    let cancellation = CallerRequest {
        action: CallerAction::Cancel,
        ..submission(2)
    };
    let query = CallerRequest {
        action: CallerAction::Query,
        ..submission(3)
    };
    let mut calls = Vec::new();
    for (request, expected) in [
        (submission(1), CallerReply::Unknown),
        (cancellation, CallerReply::Unknown),
        (query, CallerReply::Unavailable),
    ] {
        let entry = entry.clone();
        let call = async move { entry.call(request, Duration::from_secs(6)).await };
        calls.push((tokio::spawn(call), expected));
    }
    for number in 1..=3 {
        leader.wait_for_path(&submission(number).path).await;
    }
    leader.close_streams();
    leader.resume_answering();
    for (call, expected) in calls {
        assert_eq!(call.await.unwrap(), expected);
    }
}
