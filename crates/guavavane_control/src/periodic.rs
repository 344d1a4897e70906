//! Threads that repeat one action until shutdown.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::context::ControlContext;
use guavavane_daemon::prelude::ShutdownSignal;

/// Starts a thread that runs `action`, then pauses for `interval`, until shutdown.
///
/// # Errors
///
/// Returns an error if the thread cannot be spawned.
pub(crate) fn spawn_periodic(
    name: &'static str,
    interval: Duration,
    context: &Arc<ControlContext>,
    shutdown: &ShutdownSignal,
    mut action: impl FnMut(&ControlContext) + Send + 'static,
) -> io::Result<()> {
    let context = Arc::clone(context);
    let shutdown = shutdown.clone();
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            while !shutdown.is_raised() {
                action(&context);
                thread::sleep(interval);
            }
        })?;
    Ok(())
}
