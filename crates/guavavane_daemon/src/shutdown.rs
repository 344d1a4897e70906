//! Turns termination signals into a channel that threads can wait on.

use std::io;
use std::thread;

use flume::Receiver;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Receives the request to shut down; all clones receive it.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    termination: Receiver<()>,
}

impl ShutdownSignal {
    /// Installs handlers for SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// Fails if the handlers cannot be installed or their thread cannot be started.
    pub fn install() -> io::Result<Self> {
        let mut signals = Signals::new([SIGTERM, SIGINT])?;
        let (sender, termination) = flume::bounded::<()>(0);
        thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || {
                signals.forever().next();
                // Dropping the sender disconnects the channel, which wakes all receivers.
                drop(sender);
            })?;
        Ok(Self { termination })
    }

    /// Blocks until a termination signal arrives.
    pub fn wait(&self) {
        // No value is ever sent: the receiver returns when the channel is disconnected.
        let _ = self.termination.recv();
    }

    /// Whether a termination signal has arrived.
    pub fn is_raised(&self) -> bool {
        self.termination.is_disconnected()
    }

    /// Returns a channel that disconnects when a termination signal arrives, for use in a selector.
    pub fn channel(&self) -> &Receiver<()> {
        &self.termination
    }
}
