//! Latency estimates of endpoints and services.
//!
//! The estimate of an endpoint follows the idea known as peak EWMA: a sample above the estimate
//! raises it at once by half of the difference, and a sample below lowers it as an exponentially
//! weighted moving average with a time constant. The tail latency of a service is a quantile
//! estimated by stochastic approximation, which stores no samples.

use std::time::Duration;

use guavavane_model::prelude::BootTime;

/// Fraction of the difference that a higher sample adds to the estimate; below 1, so that a
/// single outlier does not count in full.
const RISE_FRACTION: f64 = 0.5;

/// Weight of one sample in the mean latency of a service.
const MEAN_WEIGHT: f64 = 0.05;

/// Quantile of the tail latency; a hedge is worth its cost only for requests that take longer.
const TAIL_QUANTILE: f64 = 0.95;

/// Step of the quantile estimate for one sample, relative to the estimate.
const TAIL_STEP: f64 = 0.05;

fn as_micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

/// Latency estimate of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointLatency {
    estimate_micros: f64,
    updated_at: BootTime,
    samples: u32,
}

impl EndpointLatency {
    /// Creates an estimate without samples.
    pub fn new(now: BootTime) -> Self {
        Self {
            estimate_micros: 0.0,
            updated_at: now,
            samples: 0,
        }
    }

    /// Adds a sample; a lower sample moves the estimate with time constant `time_constant`.
    pub fn record_sample(&mut self, now: BootTime, sample: Duration, time_constant: Duration) {
        let sample = as_micros(sample);
        let elapsed = as_micros(now.saturating_since(self.updated_at));
        if self.samples == 0 {
            self.estimate_micros = sample;
        } else if sample > self.estimate_micros {
            self.estimate_micros += (sample - self.estimate_micros) * RISE_FRACTION;
        } else {
            let weight = (-elapsed / as_micros(time_constant)).exp();
            self.estimate_micros = self.estimate_micros * weight + sample * (1.0 - weight);
        }
        self.updated_at = now;
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the estimate in microseconds, or `None` without samples.
    pub fn micros(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.estimate_micros)
    }
}

/// Mean and tail latency over all endpoints of a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceLatency {
    mean_micros: f64,
    tail_micros: f64,
}

impl ServiceLatency {
    /// Adds the latency of one attempt.
    pub fn record_sample(&mut self, sample: Duration) {
        let sample = as_micros(sample);
        if self.mean_micros == 0.0 {
            self.mean_micros = sample;
            self.tail_micros = sample;
            return;
        }
        self.mean_micros += (sample - self.mean_micros) * MEAN_WEIGHT;
        if sample > self.tail_micros {
            self.tail_micros *= 1.0 + TAIL_STEP * TAIL_QUANTILE;
        } else {
            self.tail_micros *= 1.0 - TAIL_STEP * (1.0 - TAIL_QUANTILE);
        }
    }

    /// Returns the mean latency, zero without samples.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_micros / 1e6)
    }

    /// Returns the estimated 95th percentile, zero without samples.
    pub fn tail(&self) -> Duration {
        Duration::from_secs_f64(self.tail_micros / 1e6)
    }
}
