//! Leases and clock readings: nothing is counted later than it is.
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
fn dead_lease_is_not_revived_and_none_is_shortened() {
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
                Some(old) if old <= now => assert!(!live, "revived"),
                Some(old) => end = Some(old.max(until)),
                None if until > now => end = Some(until),
                None => assert!(!live),
            }
            let expected = end.is_some_and(|end| now < end);
            assert_eq!(table.is_valid(now, &ATTEMPT), expected);
        }
    });
}

/// The worker's clock runs up to half a thousandth fast or slow against the agent's.
#[test]
fn time_on_the_worker_is_never_after_the_moment_it_stands_for() {
    for_each_seed(5_000, |_, random| {
        let rate = 1.0 + random.random_range(-0.000_5..0.000_5);
        let offset = random.random_range(0.0..1e9);
        let worker_ms = |at: BootTime| offset + at.as_micros() as f64 / 1_000.0 * rate;
        let read = BootTime::from_micros(random.random_range(1..100_000_000));
        let way = random.random_range(0..2_000_000) * u64::from(random.random_bool(0.5));
        let arrived = read + Duration::from_micros(way);
        let clock = WorkerClock::new(BootId(1), worker_ms(read) as u64, arrived);
        let moment = BootTime::from_micros(random.random_range(0..200_000_000));
        let counted = clock.lower_bound_ms(moment);
        assert!(counted as f64 <= worker_ms(moment), "{counted} is late");
    });
}
