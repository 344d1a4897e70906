//! Settings of the callers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Settings of a load.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Addresses of entries, or of endpoints for the way straight to them.
    pub targets: Vec<SocketAddr>,
    /// Prefix of paths: `/` and the service through entries, empty straight to endpoints.
    pub prefix: String,
    /// Requests a second.
    pub rate: f64,
    /// How long they are sent.
    pub duration: Duration,
    /// Share of requests that are slip entries, in thousandths; the others are reads.
    pub slip_millis: u32,
    /// Share of slip entries that carry an idempotency key, in thousandths.
    pub keyed_millis: u32,
    /// Time-out of one send.
    pub timeout: Duration,
    /// Largest number of sends of a keyed slip entry.
    pub sends: u32,
    /// Senders at once.
    pub threads: usize,
    /// Time between two health checks of the balancer; `None` sends to all targets always.
    pub health_interval: Option<Duration>,
    /// First part of the callers' ids, unique among loads.
    pub name: String,
    /// Seed of the mix.
    pub seed: u64,
    /// Where it writes what it saw.
    pub evidence: PathBuf,
}

impl CallerSettings {
    /// Slip entries and reads of a service through entries.
    pub fn new(targets: Vec<SocketAddr>, service: &str, evidence: PathBuf) -> Self {
        Self {
            targets,
            prefix: format!("/{service}"),
            rate: 100.0,
            duration: Duration::from_secs(10),
            slip_millis: 500,
            keyed_millis: 500,
            timeout: Duration::from_millis(5_000),
            sends: 3,
            threads: 64,
            health_interval: Some(Duration::from_millis(250)),
            name: "load".to_owned(),
            seed: 1,
            evidence,
        }
    }
}
