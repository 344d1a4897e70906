//! Tests when the advice service is asked for tickets, and how long they are used.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use crate::support::ledger_with_queue;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::advice::AdviceCache;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::StepKey;
use guavavane_model::prelude::BootTime;

/// Validity of a ticket.
const VALIDITY: Duration = Duration::from_millis(10_000);

fn step_of(job: u64) -> StepKey {
    StepKey {
        job: JobKey(job),
        occurrence: 0,
        step: 0,
    }
}

fn workers(range: std::ops::Range<u32>) -> Vec<WorkerIndex> {
    range.map(WorkerIndex).collect()
}

fn time_at(millis: u64) -> BootTime {
    BootTime::from_millis(100_000 + millis)
}

#[test]
fn a_step_requests_each_worker_once_best_first() {
    let mut cache = AdviceCache::default();
    let requested = cache
        .next_request(time_at(0), step_of(1), &workers(0..100))
        .expect("a request is due");
    assert_eq!(requested, workers(0..30));
    assert_eq!(
        cache.next_request(time_at(1), step_of(1), &workers(0..100)),
        None
    );
    cache.record_reply(time_at(0), step_of(1), requested, Vec::new(), VALIDITY);
    // The reply allows none of them, so the next workers follow.
    let next_request = cache.next_request(time_at(2), step_of(1), &workers(0..100));
    assert_eq!(next_request, Some(workers(30..60)));
}

#[test]
fn tickets_are_used_for_a_fraction_of_their_validity() {
    let mut cache = AdviceCache::default();
    let requested = cache
        .next_request(time_at(0), step_of(1), &workers(0..4))
        .expect("a request is due");
    let allowed = vec![(WorkerIndex(2), Arc::from("ticket"))];
    cache.record_reply(time_at(0), step_of(1), requested, allowed, VALIDITY);
    assert_eq!(
        cache
            .ticket(time_at(6_900), step_of(1), WorkerIndex(2))
            .as_deref(),
        Some("ticket")
    );
    assert_eq!(
        cache.ticket(time_at(6_900), step_of(1), WorkerIndex(1)),
        None
    );
    assert_eq!(
        cache.ticket(time_at(7_100), step_of(1), WorkerIndex(2)),
        None
    );
    // A candidate, which has free capacity, holds a valid ticket.
    assert_eq!(
        cache.next_request(time_at(100), step_of(1), &workers(0..4)),
        None
    );
    // All candidates have been asked about.
    assert_eq!(
        cache.next_request(time_at(100), step_of(1), &workers(0..2)),
        None
    );
    // A worker whose ticket has expired is asked about again.
    let repeated = cache.next_request(time_at(7_100), step_of(1), &workers(0..4));
    assert_eq!(repeated, Some(workers(2..3)));
}

#[test]
fn pending_requests_are_bounded_and_lost_ones_are_repeated() {
    let mut cache = AdviceCache::default();
    let is_requested = |cache: &mut AdviceCache, job| {
        cache
            .next_request(time_at(0), step_of(job), &workers(0..3))
            .is_some()
    };
    let sent = (1..=20)
        .filter(|job| is_requested(&mut cache, *job))
        .count();
    assert_eq!(sent, 8);
    cache.cancel_request(step_of(1));
    assert!(is_requested(&mut cache, 1));
    // Steps that have ended do not count towards the bound.
    cache.remove_ended_steps(&ledger_with_queue());
    assert!(is_requested(&mut cache, 20));
}

#[test]
fn a_worker_whose_start_was_withdrawn_is_requested_again() {
    let mut cache = AdviceCache::default();
    let requested = cache
        .next_request(time_at(0), step_of(1), &workers(0..1))
        .expect("a request is due");
    let allowed = vec![(WorkerIndex(0), Arc::from("ticket"))];
    cache.record_reply(time_at(0), step_of(1), requested, allowed, VALIDITY);
    cache.discard_ticket(step_of(1), WorkerIndex(0));
    assert!(cache.allowed_workers(time_at(1), step_of(1)).is_empty());
    assert_eq!(
        cache.next_request(time_at(1), step_of(1), &workers(0..1)),
        Some(workers(0..1))
    );
}
