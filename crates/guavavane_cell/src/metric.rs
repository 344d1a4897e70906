//! Counters, gauges and latency histograms of a process, in the Prometheus text format.
//!
//! Label values come from small fixed sets such as actions and outcomes, never from identities.

use std::sync::LazyLock;
use std::time::Duration;

use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Bucket bounds of the latency histograms in seconds: from one commit to the longest deadline.
const LATENCY_BOUNDS: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

/// Registry and collectors of this process.
static METRICS: LazyLock<CellMetrics> = LazyLock::new(CellMetrics::new);

struct CellMetrics {
    registry: Registry,
    events: IntCounterVec,
    latencies: HistogramVec,
    gauges: IntGaugeVec,
}

impl CellMetrics {
    fn new() -> Self {
        let registry = Registry::new();
        let events = Opts::new("guavavane_events_total", "Decisions and changes of belief.");
        let events = IntCounterVec::new(events, &["event", "outcome"]);
        let events = events.expect("the names are valid");
        let latencies =
            HistogramOpts::new("guavavane_latency_seconds", "Time from cause to effect.");
        let latencies = HistogramVec::new(latencies.buckets(LATENCY_BOUNDS.to_vec()), &["stage"]);
        let latencies = latencies.expect("the names are valid");
        let gauges = Opts::new("guavavane_state", "Current amounts.");
        let gauges = IntGaugeVec::new(gauges, &["amount"]).expect("the names are valid");
        for collector in [
            Box::new(events.clone()) as Box<dyn prometheus::core::Collector>,
            Box::new(latencies.clone()),
            Box::new(gauges.clone()),
        ] {
            registry
                .register(collector)
                .expect("each name is registered once");
        }
        Self {
            registry,
            events,
            latencies,
            gauges,
        }
    }
}

/// Increments the counter of an event with an outcome.
pub fn count_event(event: &str, outcome: &str) {
    METRICS.events.with_label_values(&[event, outcome]).inc();
}

/// Records the duration of a stage.
pub fn observe_duration(stage: &str, duration: Duration) {
    let stage = METRICS.latencies.with_label_values(&[stage]);
    stage.observe(duration.as_secs_f64());
}

/// Sets the gauge of an amount.
pub fn set_gauge(amount: &str, value: usize) {
    let gauge = METRICS.gauges.with_label_values(&[amount]);
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}

/// Removes the gauge of an amount that this process no longer knows.
pub fn clear_gauge(amount: &str) {
    // Fails only if the gauge was never set.
    let _ = METRICS.gauges.remove_label_values(&[amount]);
}

/// Encodes all metrics in the Prometheus text format.
pub fn render() -> String {
    let mut text = Vec::new();
    let families = METRICS.registry.gather();
    if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
        tracing::warn!(event = "metrics_not_rendered", %error);
    }
    String::from_utf8_lossy(&text).into_owned()
}
