//! Limits on callers' requests, from the configuration to the entries.
//!
//! Guards against entries that don't get the limits or their changes, that lose them with their leader,
//! and against messages that a process of an earlier version can't decode, which ends its session.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use crate::support::control_settings;
use crate::support::fake_leader::start_entry_of;
use crate::support::fake_leader::submission;
use crate::support::fake_leader::FakeLeader;
use crate::support::step;
use crate::support::TestCell;
use guavavane_cell::limits_feed::LimitsFeed;
use guavavane_cell::message::CallerRequest;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::start_entry;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::EntryHandle;
use guavavane_cell::prelude::EntrySettings;
use guavavane_cell::prelude::RequestLimits;
use guavavane_transport::prelude::open_stream;

/// Longest wait for a change of the limits.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which a message would have arrived.
const QUIET_PERIOD: Duration = Duration::from_millis(1_200);
/// Wait of a caller.
const CALLER_WAIT: Duration = Duration::from_secs(3);

/// Limits that differ by the body limit only.
fn limits(max_body_bytes: u64) -> RequestLimits {
    RequestLimits {
        max_header_bytes: 16_384,
        max_body_bytes,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    }
}

/// Limits of the configurations of [`support::catalog`]: the text ends with the version. Versions from
/// 100 on have the same limits.
fn read_limits(text: &str) -> RequestLimits {
    let version: u64 = text.rsplit(' ').next().unwrap().parse().unwrap();
    limits(version.min(100) * 1_000)
}

async fn start_cell() -> TestCell {
    let data = tempfile::tempdir().unwrap();
    let mut settings = control_settings(data.path());
    settings.read_limits = Some(read_limits);
    TestCell::start_with(0, Duration::ZERO, settings, data).await
}

async fn wait_for_limits(entry: &EntryHandle, expected: RequestLimits) {
    let mut named = entry.limits();
    let changed = named.wait_for(|limits| *limits == Some(expected));
    let changed = tokio::time::timeout(TIMEOUT, changed).await;
    assert!(changed.is_ok(), "{:?}", entry.limits().borrow());
}

#[tokio::test]
async fn entries_get_the_limits_and_their_changes() {
    // The entry asks before there is a configuration.
    let cell = start_cell().await;
    wait_for_limits(&cell.entry, limits(1_000)).await;
    cell.put_catalog(2).await;
    wait_for_limits(&cell.entry, limits(2_000)).await;
    // An entry that comes later asks while there is one.
    let later = start_entry(EntrySettings {
        node: Arc::from("entry-2"),
        seeds: vec![cell.address],
    });
    wait_for_limits(&later, limits(2_000)).await;
    cell.put_catalog(3).await;
    wait_for_limits(&later, limits(3_000)).await;
    wait_for_limits(&cell.entry, limits(3_000)).await;
}

// An entry of an earlier version never asks and can't decode the reply.
#[tokio::test]
async fn an_entry_that_has_not_asked_gets_no_limits() {
    let cell = start_cell().await;
    wait_for_limits(&cell.entry, limits(1_000)).await;
    let opened = open_stream::<ToControl, FromControl>(cell.address, TIMEOUT).await;
    let (sender, mut receiver) = opened.unwrap();
    let node = Arc::from("entry-old");
    sender.send(ToControl::EntryHello { node });
    sender.send(ToControl::Call {
        call_id: 1,
        request: submission(1),
    });
    cell.put_catalog(2).await;
    wait_for_limits(&cell.entry, limits(2_000)).await;
    let until = tokio::time::Instant::now() + QUIET_PERIOD;
    let mut replies = 0;
    while let Ok(message) = tokio::time::timeout_at(until, receiver.receive()).await {
        match message.unwrap() {
            FromControl::Reply { call_id: 1, reply } => {
                assert!(!matches!(reply, CallerReply::Limits(_)));
                replies += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(replies, 1);
}

// A leader of an earlier version answers that it knows no such queue.
#[tokio::test]
async fn an_entry_serves_with_a_leader_that_knows_no_limits() {
    let leader = FakeLeader::start_with(|request| {
        if request.is_for_limits() {
            CallerReply::NoQueue
        } else {
            CallerReply::Accepted
        }
    })
    .await;
    let entry = start_entry_of(&leader).await;
    let reply = entry.call(submission(1), CALLER_WAIT).await;
    assert_eq!(reply, CallerReply::Accepted);
    assert_eq!(*entry.limits().borrow(), None);
    let asked = leader.received_paths();
    assert_eq!(asked.iter().filter(|path| path.is_empty()).count(), 1);
}

// A control process without a reader of limits behaves as one of an earlier version.
#[tokio::test]
async fn a_leader_without_limits_answers_that_it_knows_no_such_queue() {
    let cell = TestCell::start(0, Duration::ZERO).await;
    let accepted = cell.submit(1, vec![step(1, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    assert_eq!(*cell.entry.limits().borrow(), None);
}

#[tokio::test]
async fn an_entry_keeps_the_limits_without_a_session() {
    let leader = FakeLeader::start_with(|request| {
        if request.is_for_limits() {
            CallerReply::Limits(limits(7_000))
        } else {
            CallerReply::Accepted
        }
    })
    .await;
    let entry = start_entry_of(&leader).await;
    wait_for_limits(&entry, limits(7_000)).await;
    leader.stop_answering();
    leader.close_streams();
    tokio::time::sleep(QUIET_PERIOD).await;
    assert!(!entry.is_ready().await);
    assert_eq!(*entry.limits().borrow(), Some(limits(7_000)));
}

// Guards against a caller whose request takes the place of the entry's own question.
#[tokio::test]
async fn a_caller_cannot_ask_for_the_limits() {
    let leader = FakeLeader::start().await;
    let entry = start_entry_of(&leader).await;
    for action in [CallerAction::Query, CallerAction::Cancel] {
        let request = CallerRequest {
            action,
            ..CallerRequest::for_limits()
        };
        let reply = entry.call(request, CALLER_WAIT).await;
        assert_eq!(reply, CallerReply::NoQueue);
    }
    let paths = leader.received_paths();
    assert_eq!(paths, [String::new()], "the entry's own question");
}

/// Number of texts that [`count_reads`] has read.
static READS: AtomicUsize = AtomicUsize::new(0);

fn count_reads(text: &str) -> RequestLimits {
    READS.fetch_add(1, Ordering::Relaxed);
    read_limits(text)
}

// Guards against a leader that reads a configuration of megabytes for each entry that asks, or that
// sends all entries what they have after each change of a queue.
#[test]
fn a_text_is_read_once_and_equal_limits_are_no_change() {
    let mut feed = LimitsFeed::<u64>::default();
    assert!(!feed.update(&Arc::from(""), count_reads));
    assert_eq!(feed.limits(), None);
    let text = Arc::from("version 100");
    assert!(feed.update(&text, count_reads));
    for session in 0..1_000 {
        feed.subscribe(session, 1);
        assert!(!feed.update(&text, count_reads));
    }
    assert!(!feed.update(&Arc::from("version 101"), count_reads));
    assert_eq!(READS.load(Ordering::Relaxed), 2);
    assert!(feed.update(&Arc::from("version 5"), count_reads));
    assert_eq!(feed.limits(), Some(limits(5_000)));
    feed.retain_open(|session| session < 3);
    assert_eq!(feed.subscribers().count(), 3);
}
