//! Ends the process when any of its threads or tasks panics.
//!
//! A panic ends only the thread or task in which it occurs, while the rest of the process lives on
//! without that part and nothing restarts it. A process that ends is restarted by its supervisor.

use std::panic::PanicHookInfo;
use std::process;
use std::thread;

/// Installs a panic hook that logs the panic and aborts the process.
///
/// Call it after logging is initialised.
pub fn abort_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        log_panic(info);
        process::abort();
    }));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let thread = thread::current();
    let location = info.location().map(ToString::to_string);
    tracing::error!(
        event = "process_panicked",
        thread = thread.name().unwrap_or("unnamed"),
        location = location.unwrap_or_default(),
        reason = info.payload_as_str().unwrap_or("unknown"),
    );
}
