//! Leases and clock conversion: the agent never assumes a later time than the true one.
//!
//! A revived lease, or a deadline that the worker reaches too late, would let two attempts of a
//! task run at the same time.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use rand::Rng;

use guavavane_agent::worker::clock::WorkerClock;
use guavavane_agent::worker::lease::LeaseTable;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootId;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::TaskId;
use guavavane_protocol::prelude::TaskAttempt;
use guavavane_testing::for_each_seed;

const ATTEMPT: TaskAttempt = TaskAttempt {
    task: TaskId(1),
    attempt: AttemptNumber(1),
};

#[test]
fn expired_lease_is_not_revived_and_no_lease_is_shortened() {
    for_each_seed(2_000, |_, random| {
        let mut table = LeaseTable::default();
        let mut now = BootTime::from_millis(1);
        let mut end: Option<BootTime> = None;
        for _ in 0..40 {
            now = now + Duration::from_millis(random.random_range(0..300));
            let until = BootTime::from_millis(now.as_millis() + random.random_range(0..600));
            let until = if random.random_bool(0.3) { now } else { until };
            let live = table.renew(now, ATTEMPT, until);
            match end {
                Some(old) if old <= now => assert!(!live, "expired lease was revived"),
                Some(old) => end = Some(old.max(until)),
                None if until > now => end = Some(until),
                None => assert!(!live),
            }
            let expected = end.is_some_and(|end| now < end);
            assert_eq!(table.is_valid(now, &ATTEMPT), expected);
        }
    });
}

/// The worker's clock runs up to 0.05 % faster or slower than the agent's.
#[test]
fn lower_bound_never_exceeds_the_worker_clock() {
    for_each_seed(5_000, |_, random| {
        let rate = 1.0 + random.random_range(-0.000_5..0.000_5);
        let offset = random.random_range(0.0..1e9);
        let worker_ms = |at: BootTime| offset + at.as_micros() as f64 / 1_000.0 * rate;
        let read = BootTime::from_micros(random.random_range(1..100_000_000));
        let reply_delay_us = random.random_range(0..2_000_000) * u64::from(random.random_bool(0.5));
        let arrived = read + Duration::from_micros(reply_delay_us);
        let clock = WorkerClock::new(BootId(1), worker_ms(read) as u64, arrived);
        let moment = BootTime::from_micros(random.random_range(0..200_000_000));
        let lower_bound = clock.lower_bound_ms(moment);
        assert!(
            lower_bound as f64 <= worker_ms(moment),
            "bound {lower_bound} ms is after the worker's clock"
        );
    });
}
