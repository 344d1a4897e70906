//! Ejection of failing endpoints and their slow start afterwards (outlier ejection).

use std::time::Duration;

use crate::settings::RoutingSettings;
use guavavane_model::prelude::BootTime;

/// Maximum number of doublings of the ejection time, so that the shift does not overflow.
const DOUBLINGS_MAX: u32 = 16;

/// Fraction of full load at which slow start begins.
const LOAD_FRACTION_MIN: f64 = 0.1;

/// Health of one endpoint, derived from the outcomes of its attempts.
#[derive(Clone, Debug)]
pub struct EndpointHealth {
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Option<BootTime>,
    slow_start_from: Option<BootTime>,
}

impl EndpointHealth {
    /// Creates the health of an endpoint first seen at `now`; it begins with a slow start.
    pub fn new(now: BootTime) -> Self {
        Self {
            consecutive_failures: 0,
            consecutive_ejections: 0,
            ejected_until: None,
            slow_start_from: Some(now),
        }
    }

    /// Records an answer that is no failure. After a complete slow start, the next ejection lasts
    /// the base time again.
    pub fn record_success(&mut self, now: BootTime, slow_start_window: Duration) {
        self.consecutive_failures = 0;
        if !self.is_ejected(now) && self.load_fraction(now, slow_start_window) >= 1.0 {
            self.consecutive_ejections = 0;
        }
    }

    /// Records a failure; returns whether there are enough consecutive ones to eject the
    /// endpoint.
    pub fn record_failure(&mut self, settings: &RoutingSettings) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.consecutive_failures >= settings.ejection_consecutive_failures
    }

    /// Ejects the endpoint for a time that doubles with each consecutive ejection.
    pub fn eject(&mut self, now: BootTime, settings: &RoutingSettings) {
        let doublings = self.consecutive_ejections.min(DOUBLINGS_MAX);
        let duration = settings
            .ejection_time_base
            .saturating_mul(1 << doublings)
            .min(settings.ejection_time_max);
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
        self.consecutive_failures = 0;
        self.ejected_until = Some(now + duration);
        self.slow_start_from = Some(now + duration);
    }

    /// Ends an ejection, if there is one, and begins a slow start.
    pub fn end_ejection(&mut self, now: BootTime) {
        self.ejected_until = None;
        self.slow_start_from = Some(now);
    }

    /// Returns whether the endpoint is ejected at `now`.
    pub fn is_ejected(&self, now: BootTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the fraction of full load that slow start allows, above 0 and at most 1.
    pub fn load_fraction(&self, now: BootTime, slow_start_window: Duration) -> f64 {
        let Some(from) = self.slow_start_from else {
            return 1.0;
        };
        let elapsed = now.saturating_since(from).as_secs_f64();
        if elapsed >= slow_start_window.as_secs_f64() {
            return 1.0;
        }
        (elapsed / slow_start_window.as_secs_f64()).max(LOAD_FRACTION_MIN)
    }

    /// Returns whether the endpoint was ejected and has had no success after a complete slow
    /// start since.
    pub fn is_recovering(&self) -> bool {
        self.consecutive_ejections > 0
    }
}
