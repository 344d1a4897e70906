//! Decayed latency of endpoints and services.
//!
//! An endpoint's estimate rises with a slow answer at once and falls with the time constant of
//! an exponentially weighted mean, the idea known as peak EWMA. A service's tail is tracked by
//! stochastic approximation of a quantile, which needs no memory of samples.

use std::time::Duration;

use guavavane_model::prelude::BootTime;

/// Share of a rise that one sample brings, so that one outlier does not count in full.
const RISE_GAIN: f64 = 0.5;

/// Weight of one sample in the mean of a service.
const MEAN_GAIN: f64 = 0.05;

/// Quantile after which a hedge is worth its cost.
const TAIL_QUANTILE: f64 = 0.95;

/// Relative step of the quantile estimate.
const TAIL_STEP: f64 = 0.05;

fn as_micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

/// Latency of one endpoint.
#[derive(Clone, Debug)]
pub struct LatencyEstimate {
    micros: f64,
    updated_at: BootTime,
    samples: u32,
}

impl LatencyEstimate {
    /// An estimate without samples.
    pub fn new(now: BootTime) -> Self {
        Self {
            micros: 0.0,
            updated_at: now,
            samples: 0,
        }
    }

    /// Adds a sample.
    pub fn observe(&mut self, now: BootTime, sample: Duration, decay: Duration) {
        let sample = as_micros(sample);
        let elapsed = as_micros(now.saturating_since(self.updated_at));
        if self.samples == 0 {
            self.micros = sample;
        } else if sample > self.micros {
            self.micros += (sample - self.micros) * RISE_GAIN;
        } else {
            let weight = (-elapsed / as_micros(decay)).exp();
            self.micros = self.micros * weight + sample * (1.0 - weight);
        }
        self.updated_at = now;
        self.samples = self.samples.saturating_add(1);
    }

    /// The estimate in microseconds, if there is a sample.
    pub fn micros(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.micros)
    }
}

/// Latency of all endpoints of a service.
#[derive(Clone, Debug, Default)]
pub struct LatencyProfile {
    mean_micros: f64,
    tail_micros: f64,
}

impl LatencyProfile {
    /// Adds a sample.
    pub fn observe(&mut self, sample: Duration) {
        let sample = as_micros(sample);
        if self.mean_micros == 0.0 {
            self.mean_micros = sample;
            self.tail_micros = sample;
            return;
        }
        self.mean_micros += (sample - self.mean_micros) * MEAN_GAIN;
        if sample > self.tail_micros {
            self.tail_micros *= 1.0 + TAIL_STEP * TAIL_QUANTILE;
        } else {
            self.tail_micros *= 1.0 - TAIL_STEP * (1.0 - TAIL_QUANTILE);
        }
    }

    /// Mean latency; zero without samples.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_micros / 1e6)
    }

    /// Estimate of the 95th percentile; zero without samples.
    pub fn tail(&self) -> Duration {
        Duration::from_secs_f64(self.tail_micros / 1e6)
    }
}
