//! Logs: one line of key=value pairs for each event, on standard error or standard output.

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

/// Environment variable that selects what is logged, as `tracing` filter directives.
pub const LOG_VARIABLE: &str = "GUAVAVANE_LOG";

/// Starts the logs of this process; a second call changes nothing.
pub fn start_logs() {
    let filter = EnvFilter::try_from_env(LOG_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder()
        .with_timestamp(true)
        .layer()
        .with_writer(io::stderr);
    // Fails only if logs were started before.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
}

/// Starts the logs of this process on standard output; a second call changes nothing.
///
/// They never block: see [`BoundedOutput`].
pub fn start_stdout_logs() {
    let filter = EnvFilter::try_from_env(LOG_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder()
        .with_timestamp(false)
        .with_target(false)
        .layer()
        .with_writer(BoundedOutput::default());
    // Fails only if logs were started before.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
}

/// Bytes of log lines that a process may write a second, on average.
const LOG_BYTES_PER_SECOND: u64 = 512 << 10;
/// Bytes of log lines that it may write at once.
const LOG_BYTES_BURST: u64 = 2 << 20;

/// Writes whole lines to standard output within a budget and never waits for its reader.
///
/// A line that is over the budget, or that a full pipe does not take, is dropped and counted;
/// the next line that is written is preceded by the count.
#[derive(Clone, Debug, Default)]
pub struct BoundedOutput {
    state: Arc<Mutex<OutputState>>,
}

#[derive(Debug)]
struct OutputState {
    budget: u64,
    refilled_at: Instant,
    dropped: u64,
}

impl Default for OutputState {
    fn default() -> Self {
        Self {
            budget: LOG_BYTES_BURST,
            refilled_at: Instant::now(),
            dropped: 0,
        }
    }
}

impl OutputState {
    /// Whether a line of this length is within the budget.
    fn take(&mut self, bytes: u64, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let earned = passed.as_secs_f64() * LOG_BYTES_PER_SECOND as f64;
        self.budget = (self.budget + earned as u64).min(LOG_BYTES_BURST);
        if self.budget < bytes {
            self.dropped += 1;
            return false;
        }
        self.budget -= bytes;
        true
    }
}

impl io::Write for BoundedOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if !state.take(line.len() as u64, Instant::now()) {
            return Ok(line.len());
        }
        let output = rustix::stdio::stdout();
        if state.dropped > 0 {
            let notice = format!(
                "level=warn event=log_lines_dropped count={}\n",
                state.dropped
            );
            if is_writable(output) && rustix::io::write(output, notice.as_bytes()).is_ok() {
                state.dropped = 0;
            }
        }
        if !is_writable(output) || rustix::io::write(output, line).is_err() {
            state.dropped += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whether a write would not wait: other holders of the descriptor may want it to block.
fn is_writable(output: BorrowedFd<'_>) -> bool {
    let mut descriptor = [PollFd::new(&output, PollFlags::OUT)];
    let ready = rustix::event::poll(&mut descriptor, Some(&Timespec::default()));
    ready.is_ok_and(|count| count > 0) && descriptor[0].revents().contains(PollFlags::OUT)
}

impl<'writer> MakeWriter<'writer> for BoundedOutput {
    type Writer = Self;

    fn make_writer(&'writer self) -> Self {
        self.clone()
    }
}
