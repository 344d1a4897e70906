//! Choice of an endpoint: the better of two random samples, from the entry's data centre first.
//!
//! The better of two samples keeps the longest queue short at a constant cost (Mitzenmacher, "The
//! Power of Two Choices in Randomized Load Balancing", 2001). The score of an endpoint is its
//! outstanding work times its latency estimate. Endpoints of other data centres are sampled too
//! if there is no local sample, or if all local samples have at least the load
//! [`RoutingSettings::spill_load_millis`]. Ejected and stalled endpoints are sampled only if there
//! is no healthy one.

use std::fmt;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::endpoint::EndpointRecord;
use crate::service::ServiceKey;
use crate::settings::RoutingSettings;
use crate::table::EndpointTable;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::EndpointName;

/// Pools up to this size are scanned completely; larger ones are sampled first.
const SCANNED_POOL_SIZE_MAX: usize = 16;

/// Maximum number of random samples from a large pool before it is scanned.
const SAMPLES_MAX: usize = 8;

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChoiceReason {
    /// The better sample of the entry's data centre.
    Local,
    /// The local samples are loaded: the best of the local and remote samples.
    Spill,
    /// The data centre of the entry has no endpoint with free capacity.
    Remote,
    /// All endpoints are ejected or stalled.
    EjectedOnly,
}

impl fmt::Display for ChoiceReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Local => "local",
            Self::Spill => "spill",
            Self::Remote => "remote",
            Self::EjectedOnly => "ejected-only",
        })
    }
}

/// A sampled endpoint with its score.
#[derive(Clone, Debug, PartialEq)]
pub struct ScoredEndpoint {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Expected cost of an attempt in microseconds; lower is better.
    pub score: f64,
}

impl fmt::Display for ScoredEndpoint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{:.0}", self.endpoint, self.score)
    }
}

/// Choice of an endpoint with its reason, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingDecision {
    /// The chosen endpoint.
    pub chosen: ScoredEndpoint,
    /// Why the endpoint was chosen.
    pub reason: ChoiceReason,
    /// The other sampled endpoints.
    pub alternatives: Vec<ScoredEndpoint>,
}

/// Outcome of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum ChoiceOutcome {
    /// An endpoint was chosen.
    Chosen(RoutingDecision),
    /// There are live endpoints, but none has free capacity.
    NoRoom,
    /// The service has no live endpoint.
    NoEndpoint,
}

/// Condition that a sampled endpoint must meet.
#[derive(Clone, Copy)]
struct EndpointFilter<'a> {
    now: BootTime,
    settings: &'a RoutingSettings,
    excluded: &'a [EndpointName],
    stall_timeout: Duration,
    accepts_unhealthy: bool,
}

impl EndpointFilter<'_> {
    fn accepts(&self, record: &EndpointRecord) -> bool {
        record.is_live(self.now)
            && record.has_free_capacity(self.now, self.settings)
            && (self.accepts_unhealthy || self.is_healthy(record))
            && !self.excluded.contains(&record.target.endpoint)
    }

    fn is_healthy(&self, record: &EndpointRecord) -> bool {
        !record.health.is_ejected(self.now) && !record.is_stalled(self.now, self.stall_timeout)
    }
}

/// Chooses endpoints with a seeded random generator.
#[derive(Clone, Debug)]
pub struct EndpointChooser {
    rng: ChaCha8Rng,
}

impl EndpointChooser {
    /// Creates a chooser with this seed; the same calls give the same choices.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Chooses an endpoint of `service` that is not in `excluded`.
    ///
    /// An endpoint with an attempt older than `stall_timeout` counts as stalled.
    pub fn choose(
        &mut self,
        now: BootTime,
        settings: &RoutingSettings,
        table: &EndpointTable,
        service: &ServiceKey,
        excluded: &[EndpointName],
        stall_timeout: Duration,
    ) -> ChoiceOutcome {
        let filter = EndpointFilter {
            now,
            settings,
            excluded,
            stall_timeout,
            accepts_unhealthy: false,
        };
        if let Some(decision) = self.choose_filtered(table, service, filter) {
            return ChoiceOutcome::Chosen(decision);
        }
        if has_healthy_endpoint(table, service, filter) {
            return ChoiceOutcome::NoRoom;
        }
        let filter = EndpointFilter {
            accepts_unhealthy: true,
            ..filter
        };
        if let Some(mut decision) = self.choose_filtered(table, service, filter) {
            decision.reason = ChoiceReason::EjectedOnly;
            return ChoiceOutcome::Chosen(decision);
        }
        explain_no_choice(now, table, service)
    }

    fn choose_filtered(
        &mut self,
        table: &EndpointTable,
        service: &ServiceKey,
        filter: EndpointFilter<'_>,
    ) -> Option<RoutingDecision> {
        let pool = table.pool(service)?;
        let mut samples = self.sample_two(table, &pool.local, filter);
        let reason = match remote_reason(table, &samples, filter.settings) {
            None => ChoiceReason::Local,
            Some(reason) => {
                samples.extend(self.sample_two(table, &pool.remote, filter));
                reason
            }
        };
        choose_lowest_score(table, &samples, filter, reason)
    }

    /// Samples up to two different endpoints that the filter accepts.
    fn sample_two(
        &mut self,
        table: &EndpointTable,
        pool: &[usize],
        filter: EndpointFilter<'_>,
    ) -> Vec<usize> {
        let mut samples = Vec::with_capacity(4);
        if pool.len() > SCANNED_POOL_SIZE_MAX {
            for _ in 0..SAMPLES_MAX {
                let index = pool[self.rng.random_range(0..pool.len())];
                if !samples.contains(&index) && filter.accepts(table.endpoint_at(index)) {
                    samples.push(index);
                }
                if samples.len() == 2 {
                    return samples;
                }
            }
        }
        let is_accepted = |index: &usize| filter.accepts(table.endpoint_at(*index));
        let mut usable: Vec<usize> = pool.iter().copied().filter(is_accepted).collect();
        samples.clear();
        while samples.len() < 2 && !usable.is_empty() {
            let position = self.rng.random_range(0..usable.len());
            samples.push(usable.swap_remove(position));
        }
        samples
    }
}

/// Returns why remote endpoints are sampled too, or `None` if the local samples suffice.
fn remote_reason(
    table: &EndpointTable,
    local: &[usize],
    settings: &RoutingSettings,
) -> Option<ChoiceReason> {
    if local.is_empty() {
        return Some(ChoiceReason::Remote);
    }
    let load_min = f64::from(settings.spill_load_millis) / 1_000.0;
    let is_loaded = |index: &usize| table.endpoint_at(*index).load() >= load_min;
    local.iter().all(is_loaded).then_some(ChoiceReason::Spill)
}

fn choose_lowest_score(
    table: &EndpointTable,
    samples: &[usize],
    filter: EndpointFilter<'_>,
    reason: ChoiceReason,
) -> Option<RoutingDecision> {
    let mut scored: Vec<ScoredEndpoint> = samples
        .iter()
        .map(|index| {
            let record = table.endpoint_at(*index);
            ScoredEndpoint {
                endpoint: record.target.endpoint.clone(),
                score: record.score(filter.now, filter.settings),
            }
        })
        .collect();
    let best = (0..scored.len()).min_by(|a, b| scored[*a].score.total_cmp(&scored[*b].score))?;
    Some(RoutingDecision {
        chosen: scored.swap_remove(best),
        reason,
        alternatives: scored,
    })
}

/// Returns whether the service has a live, healthy endpoint, with or without free capacity.
fn has_healthy_endpoint(
    table: &EndpointTable,
    service: &ServiceKey,
    filter: EndpointFilter<'_>,
) -> bool {
    let Some(pool) = table.pool(service) else {
        return false;
    };
    let mut endpoints = pool.local.iter().chain(&pool.remote);
    endpoints.any(|index| {
        let record = table.endpoint_at(*index);
        record.is_live(filter.now) && filter.is_healthy(record)
    })
}

fn explain_no_choice(now: BootTime, table: &EndpointTable, service: &ServiceKey) -> ChoiceOutcome {
    let Some(pool) = table.pool(service) else {
        return ChoiceOutcome::NoEndpoint;
    };
    let mut endpoints = pool.local.iter().chain(&pool.remote);
    if endpoints.any(|index| table.endpoint_at(*index).is_live(now)) {
        ChoiceOutcome::NoRoom
    } else {
        ChoiceOutcome::NoEndpoint
    }
}
