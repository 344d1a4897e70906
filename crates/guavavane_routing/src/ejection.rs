//! Ejection of failing endpoints and their gradual return.

use std::time::Duration;

use crate::settings::RoutingSettings;
use guavavane_model::prelude::BootTime;

/// Doublings of the ejection time at most, so that the shift stays in range.
const DOUBLINGS_MAX: u32 = 16;

/// Share of full load that a returning endpoint starts with.
const RAMP_START: f64 = 0.1;

/// Health of one endpoint as its answers show it.
#[derive(Clone, Debug)]
pub struct EndpointHealth {
    failures: u32,
    ejections: u32,
    ejected_until: Option<BootTime>,
    ramp_from: Option<BootTime>,
}

impl EndpointHealth {
    /// Health of an endpoint that was first seen at `now`.
    pub fn new(now: BootTime) -> Self {
        Self {
            failures: 0,
            ejections: 0,
            ejected_until: None,
            ramp_from: Some(now),
        }
    }

    /// Records an answer.
    pub fn succeed(&mut self, now: BootTime, slow_start: Duration) {
        self.failures = 0;
        if !self.is_ejected(now) && self.ramp(now, slow_start) >= 1.0 {
            self.ejections = 0;
        }
    }

    /// Records a failure; returns whether the endpoint has had enough of them to be ejected.
    pub fn fail(&mut self, settings: &RoutingSettings) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures >= settings.ejection_failures
    }

    /// Takes the endpoint out of the choice for a time that doubles with each ejection.
    pub fn eject(&mut self, now: BootTime, settings: &RoutingSettings) {
        let doublings = self.ejections.min(DOUBLINGS_MAX);
        let duration = settings
            .ejection_base
            .saturating_mul(1 << doublings)
            .min(settings.ejection_max);
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        self.ejected_until = Some(now + duration);
        self.ramp_from = Some(now + duration);
    }

    /// Ends an ejection early.
    pub fn restore(&mut self, now: BootTime) {
        self.ejected_until = None;
        self.ramp_from = Some(now);
    }

    /// Whether the endpoint is ejected.
    pub fn is_ejected(&self, now: BootTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Share of full load that the endpoint is ready for, above 0 and at most 1.
    pub fn ramp(&self, now: BootTime, slow_start: Duration) -> f64 {
        let Some(from) = self.ramp_from else {
            return 1.0;
        };
        let elapsed = now.saturating_since(from).as_secs_f64();
        if elapsed >= slow_start.as_secs_f64() {
            return 1.0;
        }
        (elapsed / slow_start.as_secs_f64()).max(RAMP_START)
    }

    /// Whether the endpoint has been ejected before and has not proved itself since.
    pub fn is_returning(&self) -> bool {
        self.ejections > 0
    }
}
