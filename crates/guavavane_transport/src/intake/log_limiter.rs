//! Bound on the log lines of one kind of event.

use std::time::Duration;
use std::time::Instant;

/// Time for which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Allows a number of lines a second and counts the others.
#[derive(Debug)]
pub struct LogLimiter {
    lines_max: u32,
    window_start: Option<Instant>,
    lines: u32,
    suppressed: u64,
}

impl LogLimiter {
    /// Allows `lines_max` lines a second.
    pub const fn new(lines_max: u32) -> Self {
        Self {
            lines_max,
            window_start: None,
            lines: 0,
            suppressed: 0,
        }
    }

    /// Number of lines that were left out since the last one, if a line may be written now.
    pub fn admit_line(&mut self, now: Instant) -> Option<u64> {
        let is_over = |start| now.saturating_duration_since(start) >= WINDOW;
        if self.window_start.is_none_or(is_over) {
            self.window_start = Some(now);
            self.lines = 0;
        }
        if self.lines >= self.lines_max {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
