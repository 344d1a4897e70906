//! Tests when the advice service is asked for tickets, and how long they are used.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::support::ledger_with_queue;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::advice::reply_time_max;
use guavavane_jobs::plan::advice::AdviceCache;
use guavavane_jobs::prelude::AdviceTiming;
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

/// Timing of the service.
const TIMING: AdviceTiming = AdviceTiming {
    decision_ms: 10,
    interval_ms: 1,
    validity_ms: 10_000,
};

/// Next request of a step while all waiting steps have the same timing.
fn next_workers(
    cache: &mut AdviceCache,
    now: BootTime,
    step: StepKey,
    candidates: &[WorkerIndex],
) -> Option<Vec<WorkerIndex>> {
    let time_max = reply_time_max(&TIMING);
    let request = cache.next_request(now, step, &TIMING, time_max, candidates);
    request.map(|request| request.workers)
}

fn time_at(millis: u64) -> BootTime {
    BootTime::from_millis(100_000 + millis)
}

#[test]
fn a_step_requests_each_worker_once_best_first() {
    let mut cache = AdviceCache::default();
    let requested = next_workers(&mut cache, time_at(0), step_of(1), &workers(0..100))
        .expect("a request is due");
    assert_eq!(requested, workers(0..30));
    assert_eq!(
        next_workers(&mut cache, time_at(1), step_of(1), &workers(0..100)),
        None
    );
    cache.record_reply(time_at(0), step_of(1), requested, Vec::new(), VALIDITY);
    // The reply allows none of them, so the next workers follow.
    let next_request = next_workers(&mut cache, time_at(2), step_of(1), &workers(0..100));
    assert_eq!(next_request, Some(workers(30..60)));
}

#[test]
fn tickets_are_used_for_a_fraction_of_their_validity() {
    let mut cache = AdviceCache::default();
    let requested =
        next_workers(&mut cache, time_at(0), step_of(1), &workers(0..4)).expect("a request is due");
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
        next_workers(&mut cache, time_at(100), step_of(1), &workers(0..4)),
        None
    );
    // All candidates have been asked about.
    assert_eq!(
        next_workers(&mut cache, time_at(100), step_of(1), &workers(0..2)),
        None
    );
    // A worker whose ticket has expired is asked about again.
    let repeated = next_workers(&mut cache, time_at(7_100), step_of(1), &workers(0..4));
    assert_eq!(repeated, Some(workers(2..3)));
}

#[test]
fn pending_requests_are_bounded_and_lost_ones_are_repeated() {
    let mut cache = AdviceCache::default();
    let is_requested = |cache: &mut AdviceCache, job| {
        next_workers(cache, time_at(0), step_of(job), &workers(0..3)).is_some()
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
    let requested =
        next_workers(&mut cache, time_at(0), step_of(1), &workers(0..1)).expect("a request is due");
    let allowed = vec![(WorkerIndex(0), Arc::from("ticket"))];
    cache.record_reply(time_at(0), step_of(1), requested, allowed, VALIDITY);
    cache.discard_ticket(step_of(1), WorkerIndex(0));
    assert!(cache.allowed_workers(time_at(1), step_of(1)).is_empty());
    assert_eq!(
        next_workers(&mut cache, time_at(1), step_of(1), &workers(0..1)),
        Some(workers(0..1))
    );
}

/// Timing with which a request for eight workers takes 350 ms.
const SLOW_TIMING: AdviceTiming = AdviceTiming {
    decision_ms: 150,
    interval_ms: 25,
    validity_ms: 3_000,
};

/// Service that answers one request after the other, and steps that start as soon as they hold a ticket.
struct SimulatedService {
    cache: AdviceCache,
    /// Requests in the order of their arrival: step, workers, and time that the service takes.
    queue: VecDeque<(StepKey, Vec<WorkerIndex>, u64)>,
    waiting: Vec<StepKey>,
    started: usize,
    now_ms: u64,
    /// Factor by which the service is slower than configured.
    slowdown: u64,
    timing: AdviceTiming,
    worker_count: u32,
}

impl SimulatedService {
    fn new(timing: AdviceTiming, slowdown: u64, worker_count: u32) -> Self {
        Self {
            cache: AdviceCache::default(),
            queue: VecDeque::new(),
            waiting: Vec::new(),
            started: 0,
            now_ms: 0,
            slowdown,
            timing,
            worker_count,
        }
    }

    fn now(&self) -> BootTime {
        time_at(self.now_ms)
    }

    fn request(&mut self) {
        let candidates = workers(0..self.worker_count);
        let time_max = reply_time_max(&self.timing);
        for step in self.waiting.clone() {
            let now = self.now();
            let request = self
                .cache
                .next_request(now, step, &self.timing, time_max, &candidates);
            if let Some(request) = request {
                let service_ms = self.timing.reply_ms(request.workers.len()) * self.slowdown;
                self.queue.push_back((step, request.workers, service_ms));
            }
        }
    }

    /// Answers the oldest request with tickets for all workers, and starts the steps that hold one.
    fn answer(&mut self) {
        let (step, workers, service_ms) = self.queue.pop_front().expect("a request is open");
        self.now_ms += service_ms;
        let now = self.now();
        let tickets = workers.iter().map(|worker| (*worker, Arc::from("ticket")));
        let tickets = tickets.collect();
        let validity = Duration::from_millis(self.timing.validity_ms);
        self.cache
            .record_reply(now, step, workers, tickets, validity);
        let waiting_before = self.waiting.len();
        let cache = &self.cache;
        self.waiting
            .retain(|step| cache.allowed_workers(now, *step).is_empty());
        self.started += waiting_before - self.waiting.len();
    }

    /// Lets a burst of steps arrive and serves them; returns the number of answers that were needed.
    fn serve_burst(&mut self, steps: u64) -> u64 {
        self.waiting.extend((1..=steps).map(step_of));
        let mut answers = 0;
        while self.started < usize::try_from(steps).unwrap() {
            assert!(answers < 4 * steps, "{} of {steps} started", self.started);
            self.request();
            self.answer();
            answers += 1;
        }
        answers
    }
}

// Guards against a burst after which each ticket has expired before it arrives.
#[test]
fn a_burst_needs_one_answer_for_each_step() {
    let mut service = SimulatedService::new(SLOW_TIMING, 1, 8);
    assert_eq!(service.serve_burst(20), 20);
}

// Guards against the same with a service that is slower than configured.
#[test]
fn a_burst_is_served_by_a_service_that_is_slower_than_configured() {
    let mut service = SimulatedService::new(SLOW_TIMING, 3, 8);
    let answers = service.serve_burst(20);
    assert!(answers <= 24, "{answers} answers");
}

// Guards against a request about so many workers that all tickets have expired when it is answered.
#[test]
fn a_request_names_only_as_many_workers_as_are_answered_in_time() {
    let timing = AdviceTiming {
        interval_ms: 100,
        ..SLOW_TIMING
    };
    let mut service = SimulatedService::new(timing, 1, 30);
    assert_eq!(service.serve_burst(3), 3);
}

// Guards against requests that are forgotten with their step while the service still works on them.
#[test]
fn open_requests_of_ended_steps_hold_up_the_next_ones() {
    let mut cache = AdviceCache::default();
    let time_max = reply_time_max(&SLOW_TIMING);
    let is_requested = |cache: &mut AdviceCache, job| {
        let request = cache.next_request(
            time_at(0),
            step_of(job),
            &SLOW_TIMING,
            time_max,
            &workers(0..8),
        );
        request.is_some()
    };
    let sent = (1..=8).filter(|job| is_requested(&mut cache, *job)).count();
    assert_eq!(sent, 3);
    cache.remove_ended_steps(&ledger_with_queue());
    assert!(!is_requested(&mut cache, 9));
    cache.cancel_request(step_of(1));
    assert!(is_requested(&mut cache, 9));
}

// Guards against a step that can't use its tickets and asks before all others again and again.
#[test]
fn steps_take_their_turns_in_the_order_of_their_latest_request() {
    let mut cache = AdviceCache::default();
    let asked_at = time_at(5);
    assert!(next_workers(&mut cache, asked_at, step_of(1), &workers(0..1)).is_some());
    assert!(cache.asked_at(step_of(2)) < cache.asked_at(step_of(1)));
}

/// Service that takes this long for a decision, whose tickets are valid for this long.
fn decisions_of(decision_ms: u64, validity_ms: u64) -> AdviceTiming {
    AdviceTiming {
        decision_ms,
        interval_ms: 10,
        validity_ms,
    }
}

// Guards against a queue that runs nothing because each ticket is taken to have expired on arrival.
#[test]
fn tickets_are_used_however_long_a_decision_takes() {
    for (decision_ms, validity_ms) in [
        (1_100, 3_000),
        (2_200, 3_000),
        (4_400, 3_000),
        (60_000, 3_000),
        (2_200, 300),
        (0, 20),
    ] {
        for slowdown in [1, 2, 8] {
            let timing = decisions_of(decision_ms, validity_ms);
            let mut service = SimulatedService::new(timing, slowdown, 4);
            assert_eq!(service.serve_burst(3), 3, "{timing:?}, {slowdown}");
        }
    }
}

// Guards against starts with a ticket that has expired, which a worker refuses.
#[test]
fn no_ticket_is_used_longer_than_it_can_be_valid() {
    for (decision_ms, interval_ms) in [(2_200, 10), (10, 200), (0, 1_000), (4_000, 2_000)] {
        let timing = AdviceTiming {
            decision_ms,
            interval_ms,
            validity_ms: 3_000,
        };
        let mut cache = AdviceCache::default();
        let time_max = reply_time_max(&timing);
        let request = cache.next_request(time_at(0), step_of(1), &timing, time_max, &workers(0..8));
        let requested = request.expect("a request is due").workers;
        let replied_ms = timing.reply_ms(requested.len());
        let allowed = requested
            .iter()
            .map(|worker| (*worker, Arc::from("ticket")));
        let allowed = allowed.collect();
        let validity = Duration::from_millis(timing.validity_ms);
        let now = time_at(replied_ms);
        let is_late = cache.record_reply(now, step_of(1), requested.clone(), allowed, validity);
        assert!(!is_late, "{timing:?}");
        for (position, worker) in requested.into_iter().enumerate() {
            let expires_ms = timing.reply_ms(position + 1) + timing.validity_ms;
            let is_usable = |ms| cache.ticket(time_at(ms), step_of(1), worker).is_some();
            assert!(is_usable(replied_ms + 1_000), "{timing:?}, {position}");
            assert!(!is_usable(expires_ms - 800), "{timing:?}, {position}");
        }
    }
}

// Guards against a request that is sent again and again with a timeout that its service never meets.
#[test]
fn a_request_without_a_reply_lengthens_the_next_wait() {
    let timing = decisions_of(2_200, 3_000);
    let mut cache = AdviceCache::default();
    let mut now_ms = 0;
    let mut reply_times = Vec::new();
    for _ in 0..5 {
        let now = time_at(now_ms);
        let time_max = reply_time_max(&timing);
        let request = cache.next_request(now, step_of(1), &timing, time_max, &workers(0..1));
        let reply_time = request.expect("a request is due").reply_time;
        now_ms += u64::try_from(reply_time.as_millis()).unwrap() + 3_000;
        cache.record_loss(time_at(now_ms), step_of(1));
        reply_times.push(reply_time);
    }
    assert!(
        reply_times.is_sorted_by(|one, next| one < next),
        "{reply_times:?}"
    );
    // An answer that comes at once, as a refusal does, says nothing about the time of a reply.
    cache.record_loss(time_at(now_ms), step_of(1));
}
