//! Test double of the platform's load balancer: round robin over the healthy targets.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http::http_get;

/// Path of the health check on the caller listener of an entry.
pub const HEALTH_PATH: &str = "/.guavavane/health";
/// Timeout of a health check.
const HEALTH_TIMEOUT_MS: u64 = 1_000;

#[derive(Debug)]
struct BalancedTarget {
    address: SocketAddr,
    healthy: AtomicBool,
}

/// Round-robin choice of targets with health checks.
#[derive(Debug)]
pub struct TargetBalancer {
    targets: Vec<BalancedTarget>,
    next_index: AtomicUsize,
}

impl TargetBalancer {
    /// Returns a balancer that treats all targets as healthy until their first health check.
    pub fn new(addresses: &[SocketAddr]) -> Self {
        let target = |address: &SocketAddr| BalancedTarget {
            address: *address,
            healthy: AtomicBool::new(true),
        };
        Self {
            targets: addresses.iter().map(target).collect(),
            next_index: AtomicUsize::new(0),
        }
    }

    /// Returns the next healthy target other than `avoided`.
    ///
    /// Falls back to an unhealthy target other than `avoided`, then to the first target.
    pub fn choose(&self, avoided: Option<SocketAddr>) -> SocketAddr {
        let start = self.next_index.fetch_add(1, Ordering::Relaxed);
        let count = self.targets.len();
        let in_order = || (0..count).map(|step| &self.targets[(start + step) % count]);
        let candidates = || in_order().filter(|target| Some(target.address) != avoided);
        let healthy = candidates().find(|target| target.healthy.load(Ordering::Relaxed));
        let chosen = healthy.or_else(|| candidates().next());
        chosen.unwrap_or(&self.targets[0]).address
    }

    /// Checks the health of all targets once.
    pub fn check_health(&self) {
        for target in &self.targets {
            let answer = http_get(format!("http://{}{HEALTH_PATH}", target.address))
                .timeout(Duration::from_millis(HEALTH_TIMEOUT_MS))
                .send();
            let healthy = answer.is_ok_and(|response| response.is_success());
            target.healthy.store(healthy, Ordering::Relaxed);
        }
    }
}
