//! Termination signals as a channel.

use std::io;
use std::thread;

use flume::Receiver;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Tells when the process was asked to end.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    raised: Receiver<()>,
}

impl ShutdownSignal {
    /// Takes over SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// Fails if the handlers cannot be installed.
    pub fn install() -> io::Result<Self> {
        let mut signals = Signals::new([SIGTERM, SIGINT])?;
        let (sender, raised) = flume::bounded::<()>(0);
        thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || {
                signals.forever().next();
                // Dropping the sender wakes every clone of the receiver.
                drop(sender);
            })?;
        Ok(Self { raised })
    }

    /// Waits for the signal.
    pub fn wait(&self) {
        // The channel never carries a value: its end is the signal.
        let _ = self.raised.recv();
    }

    /// Whether the signal has arrived.
    pub fn is_raised(&self) -> bool {
        self.raised.is_disconnected()
    }

    /// A channel that disconnects when the signal arrives, for use in a selector.
    pub fn channel(&self) -> &Receiver<()> {
        &self.raised
    }
}
