//! Settings of the placement policy.

use serde::Deserialize;
use serde::Serialize;

/// Settings of the placement policy; the defaults suit both small and large cells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSettings {
    /// Workers that are scored for one batch task.
    pub batch_candidates: usize,
    /// Workers that are scored for one service task, which is to be spread over racks.
    pub service_candidates: usize,
    /// Workers that are looked at in the buckets that may not fit, if no other fits.
    pub boundary_probes: usize,
    /// Workers whose tasks are weighed for one preemption.
    pub preemption_candidates: usize,
    /// Longest checkpoint of a preempted task.
    pub preemption_checkpoint_ms: u64,
    /// Longest checkpoint of any other evicted task.
    pub eviction_checkpoint_ms: u64,
    /// First delay before a shape that did not fit is tried again.
    pub retry_delay_ms: u64,
    /// Longest such delay.
    pub retry_delay_max_ms: u64,
    /// Longest such delay for urgent tasks.
    pub urgent_retry_delay_max_ms: u64,
    /// First backoff of a task that failed.
    pub backoff_ms: u64,
    /// Longest backoff of a task that failed.
    pub backoff_max_ms: u64,
    /// Different workers that a job fails on before its failing tasks are given up.
    pub job_failed_workers_max: u32,
    /// Different jobs that fail on a worker before it is quarantined.
    pub worker_failed_jobs_max: u32,
    /// Age at which a failure no longer counts.
    pub failure_window_ms: u64,
    /// First term of a quarantine; doubles with each further one.
    pub quarantine_ms: u64,
    /// Longest term of a quarantine.
    pub quarantine_max_ms: u64,
    /// Quarantined workers of a data centre at most, in thousandths, though at least one.
    pub quarantine_cap_permille: u64,
    /// Time over which placements in a data centre that came back grow to the full rate.
    pub ramp_ms: u64,
    /// Placements a second for each thousand workers at the start of the ramp.
    pub ramp_start_per_thousand: u64,
    /// Placements a second for each thousand workers at the end of the ramp.
    pub ramp_end_per_thousand: u64,
    /// Evictions a second out of a data centre that is out, for each thousand workers.
    pub drain_per_thousand: u64,
    /// Whether a service task that is not exclusive is replaced before it is evicted.
    pub replace_before_evict: bool,
    /// Identities of ended tasks that are remembered against late events.
    pub ended_tasks_max: usize,
    /// Whether the interference estimates are used.
    pub interference: bool,
    /// Weight of the predicted slowdown against the fit, in thousandths.
    pub interference_weight_permille: i64,
    /// Slowdown above which the worst batch task is throttled, then evicted.
    pub slowdown_high_permille: u32,
    /// Slowdown below which throttled tasks get their speed back.
    pub slowdown_low_permille: u32,
    /// Samples in a row beyond a limit before the policy acts.
    pub slowdown_samples: u32,
    /// Evictions an hour for interference, for each thousand workers, though at least one.
    pub interference_evictions_per_thousand: u64,
    /// Time in which an estimate without samples loses half of what it learnt.
    pub estimate_half_life_ms: u64,
    /// Pairs of workloads and load bands that are estimated at most.
    pub estimates_max: usize,
    /// Departed tasks that each worker's history keeps at most.
    pub history_spans_max: usize,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            batch_candidates: 12,
            service_candidates: 30,
            boundary_probes: 512,
            preemption_candidates: 24,
            preemption_checkpoint_ms: 1_000,
            eviction_checkpoint_ms: 30_000,
            retry_delay_ms: 100,
            retry_delay_max_ms: 1_600,
            urgent_retry_delay_max_ms: 200,
            backoff_ms: 1_000,
            backoff_max_ms: 300_000,
            job_failed_workers_max: 4,
            worker_failed_jobs_max: 3,
            failure_window_ms: 600_000,
            quarantine_ms: 300_000,
            quarantine_max_ms: 3_600_000,
            quarantine_cap_permille: 100,
            ramp_ms: 60_000,
            ramp_start_per_thousand: 50,
            ramp_end_per_thousand: 1_000,
            drain_per_thousand: 200,
            replace_before_evict: true,
            ended_tasks_max: 65_536,
            interference: true,
            interference_weight_permille: 1_000,
            slowdown_high_permille: 1_400,
            slowdown_low_permille: 1_150,
            slowdown_samples: 2,
            interference_evictions_per_thousand: 2_000,
            estimate_half_life_ms: 600_000,
            estimates_max: 65_536,
            history_spans_max: 16,
        }
    }
}

impl PlacementSettings {
    /// Acts early on slow services, at the cost of batch throughput and evictions.
    #[must_use]
    pub fn favouring_latency() -> Self {
        Self {
            interference_weight_permille: 2_000,
            slowdown_high_permille: 1_200,
            slowdown_low_permille: 1_080,
            interference_evictions_per_thousand: 8_000,
            ..Self::default()
        }
    }

    /// Acts late on slow services, and spares batch tasks.
    #[must_use]
    pub fn favouring_throughput() -> Self {
        Self {
            slowdown_high_permille: 2_000,
            slowdown_low_permille: 1_500,
            interference_evictions_per_thousand: 500,
            ..Self::default()
        }
    }
}
