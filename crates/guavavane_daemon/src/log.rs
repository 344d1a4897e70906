//! Initialises logging in logfmt, one line of key=value pairs per event, to standard error or
//! standard output.

use std::io;
use std::os::fd::BorrowedFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::EnvFilter;

/// Environment variable with the filter directives of `tracing`; the default is `info`.
pub const LOG_FILTER_VARIABLE: &str = "GUAVAVANE_LOG";

/// Initialises logging to standard error; a second call has no effect.
pub fn init_logging() {
    let filter =
        EnvFilter::try_from_env(LOG_FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder()
        .with_timestamp(true)
        .layer()
        .with_writer(io::stderr);
    // Fails only if logging is already initialised.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
}

/// Initialises logging to standard output; a second call has no effect.
///
/// Writes never block; see [`RateLimitedStdout`].
pub fn init_stdout_logging() {
    let filter =
        EnvFilter::try_from_env(LOG_FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder()
        .with_timestamp(false)
        .with_target(false)
        .layer()
        .with_writer(RateLimitedStdout::default());
    // Fails only if logging is already initialised.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
}

/// Average rate at which a process may write log lines, in bytes per second.
const LOG_BYTES_PER_SECOND: u64 = 512 << 10;
/// Size of the token bucket of the rate limit: the largest burst, in bytes.
const LOG_BURST_MAX_BYTES: u64 = 2 << 20;

/// Writes whole log lines to standard output, with a rate limit and without blocking.
///
/// A token bucket limits the rate, with one token per byte. A line with more bytes than the bucket
/// has tokens, or that a full pipe does not accept, is dropped and counted. The next line that
/// passes the limit is preceded by a line with the count.
#[derive(Clone, Debug, Default)]
pub struct RateLimitedStdout {
    bucket: Arc<Mutex<TokenBucket>>,
}

#[derive(Debug)]
struct TokenBucket {
    available_bytes: u64,
    refilled_at: Instant,
    dropped_lines: u64,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self {
            available_bytes: LOG_BURST_MAX_BYTES,
            refilled_at: Instant::now(),
            dropped_lines: 0,
        }
    }
}

impl TokenBucket {
    /// Takes `bytes` from the bucket; returns false and counts a dropped line if it has fewer.
    fn try_take(&mut self, bytes: u64, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let refill = elapsed.as_secs_f64() * LOG_BYTES_PER_SECOND as f64;
        self.available_bytes = (self.available_bytes + refill as u64).min(LOG_BURST_MAX_BYTES);
        if self.available_bytes < bytes {
            self.dropped_lines += 1;
            return false;
        }
        self.available_bytes -= bytes;
        true
    }
}

impl io::Write for RateLimitedStdout {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        if !bucket.try_take(line.len() as u64, Instant::now()) {
            return Ok(line.len());
        }
        let output = rustix::stdio::stdout();
        if bucket.dropped_lines > 0 {
            let notice = format!(
                "level=warn event=log_lines_dropped count={}\n",
                bucket.dropped_lines
            );
            if is_writable(output) && rustix::io::write(output, notice.as_bytes()).is_ok() {
                bucket.dropped_lines = 0;
            }
        }
        if !is_writable(output) || rustix::io::write(output, line).is_err() {
            bucket.dropped_lines += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whether a write to `output` would not block.
///
/// The descriptor is polled and not set to non-blocking mode, since that mode would also apply to
/// other processes that share the descriptor.
fn is_writable(output: BorrowedFd<'_>) -> bool {
    let mut descriptor = [PollFd::new(&output, PollFlags::OUT)];
    let ready = rustix::event::poll(&mut descriptor, Some(&Timespec::default()));
    ready.is_ok_and(|count| count > 0) && descriptor[0].revents().contains(PollFlags::OUT)
}

impl<'writer> MakeWriter<'writer> for RateLimitedStdout {
    type Writer = Self;

    fn make_writer(&'writer self) -> Self {
        self.clone()
    }
}
