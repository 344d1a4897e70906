//! Logs: one line of key=value pairs for each event, on standard error.

use std::io;

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
pub fn start_stdout_logs() {
    let filter = EnvFilter::try_from_env(LOG_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder()
        .with_timestamp(false)
        .with_target(false)
        .layer()
        .with_writer(io::stdout);
    // Fails only if logs were started before.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
}
