//! Settings of the load generator, with their defaults.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Settings of a load.
///
/// The load mixes reads (GET) with slip entries: writes (POST) that may run at most once. A slip
/// entry with an idempotency key may be sent again.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Addresses of entries, or of endpoints if requests bypass the entries.
    pub targets: Vec<SocketAddr>,
    /// Path prefix: `/` and the service name for entries, empty for endpoints.
    pub prefix: String,
    /// Request rate, in requests per second; must be positive.
    pub rate: f64,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Fraction of requests that are slip entries, in thousandths; the others are reads.
    pub slip_millis: u32,
    /// Fraction of slip entries that carry an idempotency key, in thousandths.
    pub keyed_millis: u32,
    /// Timeout of one send.
    pub timeout: Duration,
    /// Maximum number of sends of a read or a keyed slip entry.
    pub sends: u32,
    /// Sender threads; limits the number of concurrent requests.
    pub threads: usize,
    /// Interval of the health checks of the load balancer; `None` treats all targets as healthy.
    pub health_interval: Option<Duration>,
    /// Prefix of the request identities, unique among the loads of a history.
    pub name: String,
    /// Seed of the random request mix.
    pub seed: u64,
    /// Evidence file to which sent and settled requests are appended.
    pub evidence: PathBuf,
}

impl CallerSettings {
    /// Returns the default load: 100 requests per second for 10 s through entries to `service`.
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
