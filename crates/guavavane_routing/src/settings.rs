//! Bounds and weights of the routing decisions.

use std::time::Duration;

use guavavane_model::prelude::DataCentreName;

/// Settings of a [`crate::router::RequestRouter`].
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// Data centre of the entry, preferred for endpoints.
    pub data_centre: DataCentreName,
    /// Seed of the random draws.
    pub seed: u64,
    /// Requests in flight at once, queued ones included.
    pub requests_max: usize,
    /// Requests that wait for an endpoint, for each service.
    pub queue_max: usize,
    /// Endpoints known at once; announcements beyond are ignored.
    pub endpoints_max: usize,
    /// Claims of idempotency keys in flight or waiting to be settled.
    pub claims_max: usize,
    /// Attempts of one request, hedges included.
    pub attempts_max: u16,
    /// Load of a local endpoint from which remote ones are considered, in thousandths of slots.
    pub spill_load_millis: u32,
    /// Retries for each hundred requests.
    pub retry_percent: u32,
    /// Hedges for each hundred requests.
    pub hedge_percent: u32,
    /// Budget tokens kept at most.
    pub budget_tokens_max: u32,
    /// Time over which a latency sample loses its weight.
    pub latency_decay: Duration,
    /// Failures in a row that eject an endpoint.
    pub ejection_failures: u32,
    /// First ejection time; doubled each time in a row.
    pub ejection_base: Duration,
    /// Longest ejection time.
    pub ejection_max: Duration,
    /// Endpoints of a service that may be ejected at once, in percent.
    pub ejection_percent_max: u32,
    /// Silence of an endpoint with open attempts that ejects it, at the least.
    pub stall_min: Duration,
    /// Pause of an endpoint after a refusal.
    pub refusal_pause: Duration,
    /// Time in which a returning endpoint comes back to full load.
    pub slow_start: Duration,
    /// Time kept back from the deadline that is passed on.
    pub hop_margin: Duration,
    /// Time after the deadline for which a reply is still awaited, to settle its claim.
    pub reply_linger: Duration,
    /// Wait for another holder of a claim before it is asked again.
    pub claim_wait: Duration,
    /// Longest time for one change of a claim.
    pub claim_limit: Duration,
    /// Rounds of a request over claims held by others.
    pub claim_rounds_max: u16,
    /// Time for which settling a claim is tried again.
    pub settle_limit: Duration,
    /// Pause between two tries to settle a claim.
    pub settle_pause: Duration,
}

impl RoutingSettings {
    /// Settings with default bounds for an entry in `data_centre`.
    pub fn new(data_centre: DataCentreName, seed: u64) -> Self {
        Self {
            data_centre,
            seed,
            requests_max: 4_096,
            queue_max: 1_024,
            endpoints_max: 16_384,
            claims_max: 2_048,
            attempts_max: 4,
            spill_load_millis: 750,
            retry_percent: 10,
            hedge_percent: 5,
            budget_tokens_max: 20,
            latency_decay: Duration::from_millis(2_000),
            ejection_failures: 5,
            ejection_base: Duration::from_millis(1_000),
            ejection_max: Duration::from_millis(30_000),
            ejection_percent_max: 40,
            stall_min: Duration::from_millis(200),
            refusal_pause: Duration::from_millis(25),
            slow_start: Duration::from_millis(5_000),
            hop_margin: Duration::from_millis(5),
            reply_linger: Duration::from_millis(2_000),
            claim_wait: Duration::from_millis(100),
            claim_limit: Duration::from_millis(1_500),
            claim_rounds_max: 6,
            settle_limit: Duration::from_millis(60_000),
            settle_pause: Duration::from_millis(250),
        }
    }
}
