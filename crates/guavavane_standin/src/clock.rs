//! Stop flag for threads, and polling of a condition with a timeout.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use anyhow::Result;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;

/// Interval at which a condition or flag is polled.
const POLL_INTERVAL_MS: u64 = 20;

/// Flag that asks threads to end; clones share the flag.
#[derive(Clone, Debug, Default)]
pub struct StopFlag {
    raised: Arc<AtomicBool>,
}

impl StopFlag {
    /// Returns a flag that SIGTERM and SIGINT raise.
    pub fn on_signals() -> Result<Self> {
        let flag = Self::default();
        signal_hook::flag::register(SIGTERM, Arc::clone(&flag.raised))?;
        signal_hook::flag::register(SIGINT, Arc::clone(&flag.raised))?;
        Ok(flag)
    }

    /// Raises the flag, which is never lowered again.
    pub fn raise(&self) {
        self.raised.store(true, Ordering::SeqCst);
    }

    /// Whether the flag is raised.
    pub fn is_raised(&self) -> bool {
        self.raised.load(Ordering::SeqCst)
    }

    /// Blocks until the flag is raised.
    pub fn wait(&self) {
        while !self.is_raised() {
            thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
    }

    /// Sleeps for `duration` or until the flag is raised; returns whether the flag is raised.
    pub fn sleep(&self, duration: Duration) -> bool {
        let end = Instant::now() + duration;
        while !self.is_raised() && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            thread::sleep(left.min(Duration::from_millis(POLL_INTERVAL_MS)));
        }
        self.is_raised()
    }
}

/// Polls `condition` until it holds and returns the time that took.
///
/// Returns an error that names `what` if `timeout` has passed first.
pub fn wait_until(
    what: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> bool,
) -> Result<Duration> {
    let start = Instant::now();
    loop {
        if condition() {
            return Ok(start.elapsed());
        }
        if start.elapsed() >= timeout {
            bail!(
                "timeout after {} ms while waiting for: {what}",
                timeout.as_millis()
            );
        }
        thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}
