//! Settings of a worker.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::worker::profile::TaskProfile;
use guavavane_contract::prelude::WorkerFacts;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootId;

/// How an endpoint of the worker behaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Mean time that a request takes alone.
    pub service_time: Duration,
    /// Padding of an answer, in bytes.
    pub answer_bytes: usize,
    /// Time between two announcements.
    pub announce_interval: Duration,
    /// How long an announcement holds.
    pub announce_expiry: Duration,
    /// Longest wait for requests in flight when it leaves.
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

/// Settings of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Address at which it takes orders.
    pub listen: SocketAddr,
    /// Address of the agent on the same machine, if there is one.
    pub agent: Option<SocketAddr>,
    /// What it says of itself.
    pub facts: WorkerFacts,
    /// Where it writes what it did.
    pub evidence: PathBuf,
    /// How its tasks behave.
    pub profile: TaskProfile,
    /// How its endpoints behave.
    pub endpoint: EndpointSettings,
    /// Time that a checkpoint takes.
    pub checkpoint_time: Duration,
    /// Length of a usage interval.
    pub usage_interval: Duration,
    /// Time from the end of a usage interval until it is reported.
    pub usage_lag: Duration,
}

impl WorkerSettings {
    /// Settings with the usual behaviour.
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

/// A boot that differs from all earlier ones on this machine.
pub fn draw_boot() -> BootId {
    BootId(BootClock.now().as_micros())
}
