//! Waiting for conditions and for signals.

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

/// Pause between two looks at a condition.
const LOOK_INTERVAL_MS: u64 = 20;

/// Flag that asks threads to end.
#[derive(Clone, Debug, Default)]
pub struct StopFlag {
    raised: Arc<AtomicBool>,
}

impl StopFlag {
    /// A flag that SIGTERM and SIGINT raise.
    pub fn on_signals() -> Result<Self> {
        let flag = Self::default();
        signal_hook::flag::register(SIGTERM, Arc::clone(&flag.raised))?;
        signal_hook::flag::register(SIGINT, Arc::clone(&flag.raised))?;
        Ok(flag)
    }

    /// Raises the flag for good.
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
            thread::sleep(Duration::from_millis(LOOK_INTERVAL_MS));
        }
    }

    /// Sleeps for `duration` or until the flag is raised; says whether it is raised.
    pub fn sleep(&self, duration: Duration) -> bool {
        let end = Instant::now() + duration;
        while !self.is_raised() && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            thread::sleep(left.min(Duration::from_millis(LOOK_INTERVAL_MS)));
        }
        self.is_raised()
    }
}

/// Polls `condition` until it holds; an error names `what` when `limit` passes first.
pub fn wait_until(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> bool,
) -> Result<Duration> {
    let start = Instant::now();
    loop {
        if condition() {
            return Ok(start.elapsed());
        }
        if start.elapsed() >= limit {
            bail!("{what} did not come about within {} ms", limit.as_millis());
        }
        thread::sleep(Duration::from_millis(LOOK_INTERVAL_MS));
    }
}
