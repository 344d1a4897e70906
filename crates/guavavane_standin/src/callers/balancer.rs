//! The platform's balancer: sends to targets whose health check succeeds, in turn.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http::http_get;

/// Path of an entry's health check on its callers' listener.
pub const HEALTH_PATH: &str = "/.guavavane/health";
/// Time-out of a health check.
const HEALTH_TIMEOUT_MS: u64 = 1_000;

#[derive(Debug)]
struct BalancedTarget {
    address: SocketAddr,
    healthy: AtomicBool,
}

/// Chooses targets in turn.
#[derive(Debug)]
pub struct TargetBalancer {
    targets: Vec<BalancedTarget>,
    turn: AtomicUsize,
}

impl TargetBalancer {
    /// A balancer that takes all targets for healthy.
    pub fn new(addresses: &[SocketAddr]) -> Self {
        let target = |address: &SocketAddr| BalancedTarget {
            address: *address,
            healthy: AtomicBool::new(true),
        };
        Self {
            targets: addresses.iter().map(target).collect(),
            turn: AtomicUsize::new(0),
        }
    }

    /// The next healthy target other than `avoided`, or any other, or any at all.
    pub fn choose(&self, avoided: Option<SocketAddr>) -> SocketAddr {
        let start = self.turn.fetch_add(1, Ordering::Relaxed);
        let count = self.targets.len();
        let in_turn = || (0..count).map(|step| &self.targets[(start + step) % count]);
        let others = || in_turn().filter(|target| Some(target.address) != avoided);
        let healthy = others().find(|target| target.healthy.load(Ordering::Relaxed));
        let chosen = healthy.or_else(|| others().next());
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
