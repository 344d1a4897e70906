//! Operator that sends large configurations in quick succession, which fill the replicated log.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::Context;

use crate::caller;
use crate::caller::ConfigRequest;

/// Time between two configurations.
const CONFIG_INTERVAL: Duration = Duration::from_millis(100);
/// Size of a configuration: about twenty fill a segment of the log.
const CONFIG_PADDING_BYTES: usize = 100_000;

/// Versions of the configurations that an operator has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentVersions {
    /// Highest version sent.
    pub sent: u64,
    /// Highest version acknowledged.
    pub acknowledged: u64,
}

/// Thread that sends configurations until it is stopped.
#[derive(Debug)]
pub struct ConfigOperator {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<SentVersions>,
}

impl ConfigOperator {
    /// Starts to send configurations after version `first`, to the control processes in turn.
    pub fn start(first: u64, controls: Vec<SocketAddr>, hosts: Vec<IpAddr>) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = Arc::clone(&stopped);
        let thread = thread::spawn(move || {
            let mut versions = SentVersions {
                sent: first,
                acknowledged: first,
            };
            for control in controls.into_iter().cycle() {
                if is_stopped.load(Ordering::Relaxed) {
                    break;
                }
                versions.sent += 1;
                let request = ConfigRequest {
                    version: versions.sent,
                    hosts: hosts.clone(),
                    padding_bytes: CONFIG_PADDING_BYTES,
                };
                if caller::put_config(control, &request) {
                    versions.acknowledged = versions.sent;
                }
                thread::sleep(CONFIG_INTERVAL);
            }
            versions
        });
        Self { stopped, thread }
    }

    /// Waits for the answer to the last configuration and returns the versions.
    ///
    /// # Errors
    ///
    /// Fails if the thread panicked.
    pub fn stop(self) -> anyhow::Result<SentVersions> {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread
            .join()
            .ok()
            .context("the thread of the operator panicked")
    }
}
