//! When another service is asked about workers, and how long its word is used.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use crate::support::ledger_with_queue;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::advice::AdviceBook;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::StepKey;
use guavavane_model::prelude::BootTime;

/// How long an answer holds.
const VALIDITY: Duration = Duration::from_millis(10_000);

fn step(job: u64) -> StepKey {
    StepKey {
        job: JobKey(job),
        occurrence: 0,
        step: 0,
    }
}

fn workers(range: std::ops::Range<u32>) -> Vec<WorkerIndex> {
    range.map(WorkerIndex).collect()
}

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(100_000 + millis)
}

#[test]
fn a_step_asks_about_its_best_workers_once() {
    let mut book = AdviceBook::default();
    let asked = book
        .question(at(0), step(1), &workers(0..100))
        .expect("a question");
    assert_eq!(asked, workers(0..30));
    assert_eq!(book.question(at(1), step(1), &workers(0..100)), None);
    book.take_answer(at(0), step(1), asked, Vec::new(), VALIDITY);
    // None of them is allowed: the next ones follow.
    let next = book.question(at(2), step(1), &workers(0..100));
    assert_eq!(next, Some(workers(30..60)));
}

#[test]
fn tickets_are_used_while_they_surely_hold() {
    let mut book = AdviceBook::default();
    let asked = book
        .question(at(0), step(1), &workers(0..4))
        .expect("a question");
    let allowed = vec![(WorkerIndex(2), Arc::from("ticket"))];
    book.take_answer(at(0), step(1), asked, allowed, VALIDITY);
    assert_eq!(
        book.ticket(at(6_900), step(1), WorkerIndex(2)).as_deref(),
        Some("ticket")
    );
    assert_eq!(book.ticket(at(6_900), step(1), WorkerIndex(1)), None);
    assert_eq!(book.ticket(at(7_100), step(1), WorkerIndex(2)), None);
    // An allowed worker with room: nothing is asked. Without one, there is nobody new to ask.
    assert_eq!(book.question(at(100), step(1), &workers(0..4)), None);
    assert_eq!(book.question(at(100), step(1), &workers(0..2)), None);
    // What has run out is asked about again.
    let again = book.question(at(7_100), step(1), &workers(0..4));
    assert_eq!(again, Some(workers(2..3)));
}

#[test]
fn questions_are_bounded_and_lost_ones_come_again() {
    let mut book = AdviceBook::default();
    let asked =
        |book: &mut AdviceBook, job| book.question(at(0), step(job), &workers(0..3)).is_some();
    let sent = (1..=20).filter(|job| asked(&mut book, *job)).count();
    assert_eq!(sent, 8);
    book.forget_question(step(1));
    assert!(asked(&mut book, 1));
    // Steps that are over make room for others.
    book.trim(&ledger_with_queue());
    assert!(asked(&mut book, 20));
}

#[test]
fn a_worker_whose_start_came_to_nothing_is_asked_about_again() {
    let mut book = AdviceBook::default();
    let asked = book
        .question(at(0), step(1), &workers(0..1))
        .expect("a question");
    let allowed = vec![(WorkerIndex(0), Arc::from("ticket"))];
    book.take_answer(at(0), step(1), asked, allowed, VALIDITY);
    book.forget_ticket(step(1), WorkerIndex(0));
    assert!(book.allowed(at(1), step(1)).is_empty());
    assert_eq!(
        book.question(at(1), step(1), &workers(0..1)),
        Some(workers(0..1))
    );
}
