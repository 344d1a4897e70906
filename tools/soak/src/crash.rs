//! Crashes of workers that start again under their name.
//!
//! A worker leaves some starts unanswered, falls silent, ends with all its runs and comes back as a new
//! incarnation, which knows nothing of before. The unanswered starts are carried out by that one, soon
//! after it is back.

use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rand_chacha::ChaCha8Rng;

use crate::faults::random_duration;
use crate::faults::FaultSpan;
use crate::worker::started_ms;
use guavavane_standin::simulated_worker::SimulatedWorker;

/// Time for which starts are left unanswered before a crash, in milliseconds.
const HOLD_MS: std::ops::Range<u64> = 0..300;
/// Time for which a crashed worker is down, in milliseconds; shorter than its lease.
const DOWNTIME_MS: std::ops::Range<u64> = 50..1_000;
/// Time from the restart of a worker until it carries out the unanswered starts, in milliseconds.
const LATENESS_MS: std::ops::Range<u64> = 0..500;

/// Crash of one worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerCrash {
    hold: Duration,
    downtime: Duration,
    lateness: Duration,
}

impl WorkerCrash {
    /// Draws a crash.
    pub fn draw(random: &mut ChaCha8Rng) -> Self {
        Self {
            hold: random_duration(random, HOLD_MS),
            downtime: random_duration(random, DOWNTIME_MS),
            lateness: random_duration(random, LATENESS_MS),
        }
    }

    /// Crashes the worker on another thread, which returns when the crash was over.
    pub fn begin(self, worker: SimulatedWorker) -> JoinHandle<FaultSpan> {
        thread::spawn(move || {
            let began_at = Instant::now();
            worker.holds_starts.store(true, Ordering::Relaxed);
            thread::sleep(self.hold);
            worker.crash();
            thread::sleep(self.downtime);
            worker.restart(started_ms(&worker) + 1);
            worker.holds_starts.store(false, Ordering::Relaxed);
            worker.silent.store(false, Ordering::Relaxed);
            thread::sleep(self.lateness);
            worker.carry_out_held_starts();
            let ended_at = Instant::now();
            FaultSpan { began_at, ended_at }
        })
    }
}
