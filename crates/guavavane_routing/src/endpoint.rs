//! One endpoint as an entry knows it: announced state, own attempts, latency and health.

use std::time::Duration;

use crate::ejection::EndpointHealth;
use crate::latency::LatencyEstimate;
use crate::service::ServiceKey;
use crate::settings::RoutingSettings;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::DataCentreName;
use guavavane_protocol::prelude::DispatchTarget;
use guavavane_protocol::prelude::EndpointState;

/// Latency assumed for an endpoint without samples, in microseconds.
const UNKNOWN_LATENCY_MICROS: f64 = 1_000.0;

/// An endpoint known from announcements.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    /// Where attempts are sent.
    pub target: DispatchTarget,
    /// Service that it belongs to.
    pub service: ServiceKey,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Whether it is in the entry's own data centre.
    pub local: bool,
    /// Whether operators have taken its data centre out.
    pub out: bool,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Requests of other entries, as last announced.
    pub others: u16,
    /// End of the pause after a refusal.
    pub paused_until: BootTime,
    /// When its announcement runs out.
    pub expires_at: BootTime,
    /// Decayed latency.
    pub latency: LatencyEstimate,
    /// Failures and ejections.
    pub health: EndpointHealth,
    /// Own attempts without a reply, by their start, oldest first.
    pub open: Vec<BootTime>,
}

impl EndpointRecord {
    /// Whether the endpoint may be given work, apart from its load and health.
    pub fn is_live(&self, now: BootTime) -> bool {
        self.state == EndpointState::Ready && !self.out && now < self.expires_at
    }

    /// Own attempts that the endpoint may be given at once.
    pub fn window(&self, now: BootTime, settings: &RoutingSettings) -> usize {
        let slots = usize::from(self.slots);
        if !self.health.is_returning() {
            return slots;
        }
        let ramp = self.health.ramp(now, settings.slow_start);
        ((slots as f64 * ramp) as usize).max(1)
    }

    /// Whether the endpoint has room for another attempt.
    pub fn has_room(&self, now: BootTime, settings: &RoutingSettings) -> bool {
        now >= self.paused_until && self.open.len() < self.window(now, settings)
    }

    /// Whether the endpoint has kept an attempt for longer than `limit`.
    pub fn is_stalled(&self, now: BootTime, limit: Duration) -> bool {
        self.silence(now) > limit
    }

    /// Age of the oldest attempt without a reply.
    pub fn silence(&self, now: BootTime) -> Duration {
        self.open
            .first()
            .map_or(Duration::ZERO, |oldest| now.saturating_since(*oldest))
    }

    /// Requests on the endpoint for each slot.
    pub fn load(&self) -> f64 {
        let outstanding = self.open.len() + usize::from(self.others);
        outstanding as f64 / f64::from(self.slots.max(1))
    }

    /// Expected cost of another attempt; lower is better.
    ///
    /// An attempt that is open for longer than the estimate raises it, so that a frozen
    /// endpoint is avoided before its attempts time out.
    pub fn score(&self, now: BootTime, settings: &RoutingSettings) -> f64 {
        let known = self.latency.micros().unwrap_or(UNKNOWN_LATENCY_MICROS);
        let silence = self.silence(now).as_secs_f64() * 1e6;
        let outstanding = self.open.len() + usize::from(self.others) + 1;
        let queue = outstanding as f64 / f64::from(self.slots.max(1));
        let ramp = self.health.ramp(now, settings.slow_start);
        known.max(silence) * queue / ramp
    }

    /// Counts an attempt that starts now.
    pub fn begin(&mut self, now: BootTime) {
        self.open.push(now);
    }

    /// Ends the attempt that started at `started_at`.
    pub fn end(&mut self, started_at: BootTime) {
        if let Some(index) = self.open.iter().position(|start| *start == started_at) {
            self.open.remove(index);
        }
    }
}
