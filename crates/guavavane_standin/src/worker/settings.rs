//! Settings of the worker test double, with their defaults.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::worker::profile::TaskProfile;
use guavavane_contract::prelude::WorkerFacts;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootId;

/// Settings of the endpoints that a worker runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Service time of a request without interference.
    pub service_time: Duration,
    /// Padding of each answer, in bytes.
    pub answer_bytes: usize,
    /// Interval of announcements to the agent.
    pub announce_interval: Duration,
    /// Validity of an announcement; the endpoint is dropped if it is not announced again by then.
    pub announce_expiry: Duration,
    /// Longest wait for open requests while an endpoint drains.
    pub drain_limit: Duration,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(20),
            answer_bytes: 256,
            announce_interval: Duration::from_millis(500),
            announce_expiry: Duration::from_millis(2_000),
            drain_limit: Duration::from_millis(5_000),
        }
    }
}

/// Settings of a worker process.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Address at which the worker serves its HTTP contract.
    pub listen: SocketAddr,
    /// HTTP address of the agent on the same machine; without one, endpoints are not announced.
    pub agent: Option<SocketAddr>,
    /// Name, location, boot and capacity that the worker reports.
    pub facts: WorkerFacts,
    /// Evidence file to which the worker appends its events.
    pub evidence: PathBuf,
    /// Actual run times, failures and interference of the tasks.
    pub profile: TaskProfile,
    /// Settings of the endpoints.
    pub endpoint: EndpointSettings,
    /// Time that writing a checkpoint takes.
    pub checkpoint_time: Duration,
    /// Length of the interval over which usage is averaged.
    pub usage_interval: Duration,
    /// Delay from the end of a usage interval until its sample is reported.
    pub usage_lag: Duration,
}

impl WorkerSettings {
    /// Returns default settings without an agent.
    pub fn new(listen: SocketAddr, facts: WorkerFacts, evidence: PathBuf) -> Self {
        Self {
            listen,
            agent: None,
            facts,
            evidence,
            profile: TaskProfile::default(),
            endpoint: EndpointSettings::default(),
            checkpoint_time: Duration::from_millis(20),
            usage_interval: Duration::from_millis(1_000),
            usage_lag: Duration::from_millis(3_000),
        }
    }
}

/// Returns a boot identity from the boot clock, greater than all earlier ones of this machine
/// since it was started.
pub fn new_boot_id() -> BootId {
    BootId(BootClock.now().as_micros())
}
