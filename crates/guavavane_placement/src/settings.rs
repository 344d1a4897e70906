//! Defines the settings of the placement policy.

use serde::Deserialize;
use serde::Serialize;

/// Settings of the placement policy; the defaults suit both small and large cells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSettings {
    /// Number of workers that are scored for one batch task.
    pub batch_candidates: usize,
    /// Number of workers that are scored for one service task; more than for batch, since replicas
    /// are spread over racks.
    pub service_candidates: usize,
    /// Number of workers in boundary cells of the capacity index that a search checks if it finds
    /// no other candidate.
    pub boundary_probes: usize,
    /// Number of workers for which a preemption is planned; the cheapest plan is carried out.
    pub preemption_candidates: usize,
    /// Maximum time of the checkpoint of a preempted task.
    pub preemption_checkpoint_ms: u64,
    /// Maximum time of the checkpoint of any other evicted task.
    pub eviction_checkpoint_ms: u64,
    /// First delay before a shape that found no worker is retried; it doubles with each try.
    pub retry_delay_ms: u64,
    /// Maximum retry delay of a shape of normal tasks.
    pub retry_delay_max_ms: u64,
    /// Maximum retry delay of a shape of urgent tasks.
    pub urgent_retry_delay_max_ms: u64,
    /// Backoff of a task after its first failure; it doubles with each further one.
    pub backoff_ms: u64,
    /// Maximum backoff of a task that failed.
    pub backoff_max_ms: u64,
    /// Number of different workers on which a job fails before its failing tasks are given up.
    pub job_failed_workers_max: u32,
    /// Number of different jobs that fail on a worker before the worker is quarantined.
    pub worker_failed_jobs_max: u32,
    /// Age after which a failure no longer counts.
    pub failure_window_ms: u64,
    /// Length of a worker's first quarantine; it doubles with each further one.
    pub quarantine_ms: u64,
    /// Maximum length of a quarantine.
    pub quarantine_max_ms: u64,
    /// Maximum fraction of a data centre's workers in quarantine, in thousandths; at least one
    /// worker, but never all.
    pub quarantine_cap_permille: u64,
    /// Time over which the placement rate of a data centre that is back in service rises; after it
    /// the rate is unlimited.
    pub ramp_ms: u64,
    /// Placements per second and thousand workers at the start of the ramp.
    pub ramp_start_per_thousand: u64,
    /// Placements per second and thousand workers at the end of the ramp.
    pub ramp_end_per_thousand: u64,
    /// Evictions per second and thousand workers from a data centre that is out of service.
    pub drain_per_thousand: u64,
    /// Whether a service task that is not exclusive gets a replacement before it is drained.
    pub replace_before_evict: bool,
    /// Maximum number of ended tasks that are remembered, so that late events about them are
    /// ignored.
    pub ended_tasks_max: usize,
    /// Whether interference is estimated, scored and mitigated.
    pub interference: bool,
    /// Weight of the predicted slowdown in the score relative to the fit, in thousandths.
    pub interference_weight_permille: i64,
    /// Slowdown of a service, in thousandths of its latency target, above which the batch task
    /// that slows it most is throttled and then evicted.
    pub slowdown_high_permille: u32,
    /// Slowdown below which a throttled task is moved to another worker if its CPU share can't be
    /// raised. The share is raised if the predicted slowdown is below the mean of both limits.
    pub slowdown_low_permille: u32,
    /// Number of consecutive samples above or below the limit before the policy acts.
    pub slowdown_samples: u32,
    /// Evictions for interference per hour and thousand workers; the refill rate is at least a
    /// thousandth of an eviction per second.
    pub interference_evictions_per_thousand: u64,
    /// Time in which an estimate without samples decays halfway to its prior.
    pub estimate_half_life_ms: u64,
    /// Maximum number of pairs of workloads whose interference is estimated.
    pub estimates_max: usize,
    /// Maximum number of departed tasks that each worker's history keeps.
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
    /// Settings that act early on slow services, at the cost of batch throughput and evictions.
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

    /// Settings that act late on slow services, in favour of batch throughput and with fewer
    /// evictions.
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
