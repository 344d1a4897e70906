//! Limits, timeouts and weights of the routing decisions.

use std::time::Duration;

use guavavane_model::prelude::DataCentreName;

/// Settings of a [`crate::router::RequestRouter`].
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// Data centre of the entry; endpoints in it are preferred.
    pub data_centre: DataCentreName,
    /// Seed of the random generator that samples endpoints.
    pub seed: u64,
    /// Maximum number of requests in flight, including those in a queue.
    pub requests_max: usize,
    /// Maximum number of requests of one service that wait for an endpoint.
    pub queue_max: usize,
    /// Maximum number of known endpoints; an announcement that would exceed it is ignored.
    pub endpoints_max: usize,
    /// Maximum number of idempotency-key claims that are in use or being settled or released.
    pub claims_max: usize,
    /// Maximum number of attempts of one request, including hedges.
    pub attempts_max: u16,
    /// Requests per slot, in thousandths, at which a sampled local endpoint counts as loaded. If
    /// all are loaded, endpoints of other data centres are sampled too.
    pub spill_load_millis: u32,
    /// Retries allowed per hundred requests.
    pub retry_percent: u32,
    /// Hedges allowed per hundred requests.
    pub hedge_percent: u32,
    /// Maximum number of tokens in the budget of retries, and in that of hedges.
    pub budget_tokens_max: u32,
    /// Time constant with which the latency estimate of an endpoint falls.
    pub latency_time_constant: Duration,
    /// Consecutive failures after which an endpoint is ejected.
    pub ejection_consecutive_failures: u32,
    /// Duration of the first ejection; each consecutive ejection doubles it.
    pub ejection_time_base: Duration,
    /// Maximum duration of an ejection.
    pub ejection_time_max: Duration,
    /// Maximum share of a service's live endpoints that may be ejected at once, in percent.
    pub ejection_percent_max: u32,
    /// Minimum age of an open attempt at which its endpoint counts as stalled.
    pub stall_timeout_min: Duration,
    /// Time for which an endpoint gets no attempts after it refused one.
    pub refusal_backoff: Duration,
    /// Time over which a new endpoint, or one whose ejection ended, reaches full load.
    pub slow_start_window: Duration,
    /// Time subtracted from the remaining time of a request before it is sent as the deadline of
    /// an attempt.
    pub deadline_margin: Duration,
    /// Time after the deadline for which a reply is still accepted, so that its claim can be
    /// settled.
    pub late_reply_timeout: Duration,
    /// Wait before a claim that another attempt holds is requested again.
    pub claim_backoff: Duration,
    /// Timeout of one change of a claim.
    pub claim_timeout: Duration,
    /// Number of times that a request may find its claim held before it ends.
    pub claim_conflicts_max: u16,
    /// Time after which an unconfirmed settlement or release of a claim is given up.
    pub settle_timeout: Duration,
    /// Wait before an unconfirmed settlement or release of a claim is sent again.
    pub settle_backoff: Duration,
}

impl RoutingSettings {
    /// Returns the default settings of an entry in `data_centre`.
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
            latency_time_constant: Duration::from_millis(2_000),
            ejection_consecutive_failures: 5,
            ejection_time_base: Duration::from_millis(1_000),
            ejection_time_max: Duration::from_millis(30_000),
            ejection_percent_max: 40,
            stall_timeout_min: Duration::from_millis(200),
            refusal_backoff: Duration::from_millis(25),
            slow_start_window: Duration::from_millis(5_000),
            deadline_margin: Duration::from_millis(5),
            late_reply_timeout: Duration::from_millis(2_000),
            claim_backoff: Duration::from_millis(100),
            claim_timeout: Duration::from_millis(1_500),
            claim_conflicts_max: 6,
            settle_timeout: Duration::from_millis(60_000),
            settle_backoff: Duration::from_millis(250),
        }
    }
}
