//! An endpoint as an entry knows it: announced state, open attempts, latency and health.

use std::time::Duration;

use crate::ejection::EndpointHealth;
use crate::latency::EndpointLatency;
use crate::service::ServiceKey;
use crate::settings::RoutingSettings;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::DataCentreName;
use guavavane_protocol::prelude::DispatchTarget;
use guavavane_protocol::prelude::EndpointState;

/// Latency assumed for an endpoint without samples, in microseconds.
const UNKNOWN_LATENCY_MICROS: f64 = 1_000.0;

/// One endpoint of the table.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    /// Agent address, agent incarnation and endpoint name that attempts are sent to.
    pub target: DispatchTarget,
    /// Service that the endpoint runs.
    pub service: ServiceKey,
    /// Data centre that the agent announced.
    pub data_centre: DataCentreName,
    /// Whether the endpoint is in the data centre of the entry.
    pub is_local: bool,
    /// Whether operators have taken the data centre out of service.
    pub data_centre_out: bool,
    /// Announced state; only a ready endpoint takes new attempts.
    pub state: EndpointState,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u16,
    /// Outstanding requests of other entries, from the last announcement.
    pub others_outstanding: u16,
    /// End of the backoff after a refusal.
    pub backoff_until: BootTime,
    /// Time at which the announcement expires.
    pub expires_at: BootTime,
    /// Latency estimate.
    pub latency: EndpointLatency,
    /// Consecutive failures, ejection and slow start.
    pub health: EndpointHealth,
    /// Start times of the entry's attempts without a reply, oldest first.
    pub attempts_started_at: Vec<BootTime>,
}

impl EndpointRecord {
    /// Returns whether the endpoint may get attempts, regardless of its load and health.
    pub fn is_live(&self, now: BootTime) -> bool {
        self.state == EndpointState::Ready && !self.data_centre_out && now < self.expires_at
    }

    /// Returns the maximum number of concurrent attempts of this entry: all slots, or the
    /// fraction that slow start allows after an ejection, but at least one.
    pub fn concurrency_limit(&self, now: BootTime, settings: &RoutingSettings) -> usize {
        let slots = usize::from(self.slots);
        if !self.health.is_recovering() {
            return slots;
        }
        let load_fraction = self.health.load_fraction(now, settings.slow_start_window);
        ((slots as f64 * load_fraction) as usize).max(1)
    }

    /// Returns whether the endpoint can take another attempt of this entry now.
    pub fn has_free_capacity(&self, now: BootTime, settings: &RoutingSettings) -> bool {
        now >= self.backoff_until
            && self.attempts_started_at.len() < self.concurrency_limit(now, settings)
    }

    /// Returns whether an attempt has been open for longer than `stall_timeout`.
    pub fn is_stalled(&self, now: BootTime, stall_timeout: Duration) -> bool {
        self.oldest_attempt_age(now) > stall_timeout
    }

    /// Returns the age of the oldest attempt without a reply, zero if none is open.
    pub fn oldest_attempt_age(&self, now: BootTime) -> Duration {
        self.attempts_started_at
            .first()
            .map_or(Duration::ZERO, |oldest| now.saturating_since(*oldest))
    }

    /// Returns the outstanding requests per slot.
    pub fn load(&self) -> f64 {
        let outstanding = self.attempts_started_at.len() + usize::from(self.others_outstanding);
        outstanding as f64 / f64::from(self.slots.max(1))
    }

    /// Returns the expected cost of another attempt in microseconds; lower is better.
    ///
    /// The cost is latency * (outstanding requests + 1) / slots / slow-start fraction. The age of
    /// the oldest open attempt replaces a lower latency estimate, so that a frozen endpoint is
    /// avoided before its attempts time out.
    pub fn score(&self, now: BootTime, settings: &RoutingSettings) -> f64 {
        let estimate = self.latency.micros().unwrap_or(UNKNOWN_LATENCY_MICROS);
        let oldest_attempt_age = self.oldest_attempt_age(now).as_secs_f64() * 1e6;
        let outstanding = self.attempts_started_at.len() + usize::from(self.others_outstanding) + 1;
        let load = outstanding as f64 / f64::from(self.slots.max(1));
        let load_fraction = self.health.load_fraction(now, settings.slow_start_window);
        estimate.max(oldest_attempt_age) * load / load_fraction
    }

    /// Counts an attempt that starts at `now`.
    pub fn open_attempt(&mut self, now: BootTime) {
        self.attempts_started_at.push(now);
    }

    /// Removes the attempt that was started at `started_at`.
    pub fn close_attempt(&mut self, started_at: BootTime) {
        if let Some(index) = self
            .attempts_started_at
            .iter()
            .position(|start| *start == started_at)
        {
            self.attempts_started_at.remove(index);
        }
    }
}
