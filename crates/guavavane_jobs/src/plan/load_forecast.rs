//! Forecasts the baseline utilisation of a latency-critical job from its recent history.
//!
//! Load: all tasks of a job share one load, which swings by half in waves of 11 to 15 s. Reports of
//! it arrive several times a second, are averaged over half a second and are imprecise. A CPU share
//! that is ordered now acts 100 ms later, until the shares of the next report act. Best-effort work
//! has to make room for the load at that time, not for the load of the latest report.
//!
//! The forecast is a linear regression on a constant and one wave, with weights that fall
//! exponentially with the age of a sample. Recent samples fix the level and the slope, and the wave
//! bounds how far a slope is extrapolated. Weak priors on the wave and on the precision of a sample
//! keep the forecast sound with few samples. Residuals larger than the prior precision, as after a
//! jump of the load or with a wrong interference coefficient, widen the standard error.

use std::collections::VecDeque;
use std::f64::consts::TAU;
use std::time::Duration;

use guavavane_model::prelude::BootTime;

/// Most samples that are kept.
const SAMPLES_MAX: usize = 32;
/// Age from which a sample is dropped.
const SAMPLE_AGE_MAX: Duration = Duration::from_millis(6_000);
/// Number of samples below which there is no forecast.
const SAMPLES_MIN: usize = 6;
/// Time that the samples have to cover for a forecast.
const HISTORY_MIN: Duration = Duration::from_millis(1_000);
/// Age of the newest sample from which there is no forecast.
const SILENCE_MAX: Duration = Duration::from_millis(2_000);
/// Age at which the weight of a sample has fallen to `1/e`.
const WEIGHT_TIME_CONSTANT: Duration = Duration::from_millis(1500);
/// Period of the wave: the middle of the expected range.
const WAVE_PERIOD: Duration = Duration::from_millis(13_000);
/// Standard deviation of a sample before residuals are known.
const SAMPLE_DEVIATION: f64 = 0.03;
/// Number of samples that the prior deviation counts for.
const SAMPLE_DEVIATION_WEIGHT: f64 = 4.0;
/// Expected amplitude of the wave.
const WAVE_AMPLITUDE: f64 = 0.15;
/// Number of regression terms: a constant, a cosine and a sine.
const TERMS: usize = 3;

/// Expected baseline utilisation at a time, with its standard error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// Expected baseline utilisation.
    pub mean: f64,
    /// Standard error of the expected value, not of a single sample.
    pub standard_error: f64,
}

/// Recent baseline utilisations of one job.
#[derive(Clone, Debug, Default)]
pub struct LoadForecast {
    samples: VecDeque<(BootTime, f64)>,
}

impl LoadForecast {
    /// Adds the baseline utilisation at a time; a time that is not later than the latest sample is
    /// ignored.
    pub fn record(&mut self, at: BootTime, baseline: f64) {
        let is_later = self.samples.back().is_none_or(|(latest, _)| at > *latest);
        if !baseline.is_finite() || !is_later {
            return;
        }
        self.samples.push_back((at, baseline));
        while self.samples.len() > SAMPLES_MAX
            || self
                .samples
                .front()
                .is_some_and(|(time, _)| at.saturating_since(*time) > SAMPLE_AGE_MAX)
        {
            self.samples.pop_front();
        }
    }

    /// Fits the history; none if there is too little of it at this time.
    pub fn fit(&self, now: BootTime) -> Option<LoadFit> {
        let (first, latest) = (self.samples.front()?.0, self.samples.back()?.0);
        let is_short = latest.saturating_since(first) < HISTORY_MIN;
        if self.samples.len() < SAMPLES_MIN
            || is_short
            || now.saturating_since(latest) > SILENCE_MAX
        {
            return None;
        }
        LoadFit::new(latest, &self.samples)
    }
}

/// Regression of a load history.
#[derive(Clone, Debug)]
pub struct LoadFit {
    /// Time at which the phase of the wave is 0.
    origin: BootTime,
    coefficients: [f64; TERMS],
    /// Covariance matrix of the coefficients.
    covariance: [[f64; TERMS]; TERMS],
}

impl LoadFit {
    fn new(origin: BootTime, samples: &VecDeque<(BootTime, f64)>) -> Option<Self> {
        // Ratio of the variances of a sample and of a wave term.
        let ridge = (SAMPLE_DEVIATION / WAVE_AMPLITUDE).powi(2);
        let mut normal = [[0.0; TERMS]; TERMS];
        normal[1][1] = ridge;
        normal[2][2] = ridge;
        let mut moments = [0.0; TERMS];
        for (time, baseline) in samples {
            let weight = sample_weight(origin, *time);
            let terms = wave_terms(origin, *time);
            for (row, row_term) in terms.iter().enumerate() {
                moments[row] += weight * row_term * baseline;
                for (column, term) in terms.iter().enumerate() {
                    normal[row][column] += weight * row_term * term;
                }
            }
        }
        let inverse = invert(&normal)?;
        let coefficients = inverse.map(|row| dot(&row, &moments));
        let mut square_sum = SAMPLE_DEVIATION_WEIGHT * SAMPLE_DEVIATION * SAMPLE_DEVIATION;
        let mut weight_sum = SAMPLE_DEVIATION_WEIGHT;
        for (time, baseline) in samples {
            let weight = sample_weight(origin, *time);
            let residual = baseline - dot(&coefficients, &wave_terms(origin, *time));
            square_sum += weight * residual * residual;
            weight_sum += weight;
        }
        let variance = square_sum / weight_sum;
        Some(Self {
            origin,
            coefficients,
            covariance: inverse.map(|row| row.map(|element| element * variance)),
        })
    }

    /// Expected baseline utilisation at a time.
    pub fn at(&self, time: BootTime) -> LoadEstimate {
        let terms = wave_terms(self.origin, time);
        let variance = dot(&self.covariance.map(|row| dot(&row, &terms)), &terms);
        LoadEstimate {
            mean: dot(&self.coefficients, &terms).clamp(0.0, 1.0),
            standard_error: variance.max(0.0).sqrt(),
        }
    }
}

fn sample_weight(origin: BootTime, time: BootTime) -> f64 {
    let age = origin.saturating_since(time);
    (-age.as_secs_f64() / WEIGHT_TIME_CONSTANT.as_secs_f64()).exp()
}

/// Regression terms at a time; both wave terms are 0 at the origin, so that the constant is the load
/// there.
fn wave_terms(origin: BootTime, time: BootTime) -> [f64; TERMS] {
    let seconds =
        time.saturating_since(origin).as_secs_f64() - origin.saturating_since(time).as_secs_f64();
    let phase = seconds / WAVE_PERIOD.as_secs_f64() * TAU;
    [1.0, phase.cos() - 1.0, phase.sin()]
}

fn dot(left: &[f64; TERMS], right: &[f64; TERMS]) -> f64 {
    left.iter()
        .zip(right)
        .map(|(left, right)| left * right)
        .sum()
}

/// Inverse of a symmetric matrix, by its cofactors; none if it is singular.
fn invert(matrix: &[[f64; TERMS]; TERMS]) -> Option<[[f64; TERMS]; TERMS]> {
    let cofactor = |row: usize, column: usize| {
        let (above, below) = ((row + 1) % TERMS, (row + 2) % TERMS);
        let (left, right) = ((column + 1) % TERMS, (column + 2) % TERMS);
        matrix[above][left] * matrix[below][right] - matrix[above][right] * matrix[below][left]
    };
    let cofactors: [[f64; TERMS]; TERMS] =
        std::array::from_fn(|row| std::array::from_fn(|column| cofactor(row, column)));
    let determinant = dot(&matrix[0], &cofactors[0]);
    let is_regular = determinant.is_finite() && determinant > f64::MIN_POSITIVE;
    // The matrix is symmetric, so its cofactors need no transposition.
    is_regular.then(|| cofactors.map(|row| row.map(|element| element / determinant)))
}
