//! Reports changes of the Raft group: log lines for its voters, and gauges of this replica.

use std::sync::Arc;
use std::time::Duration;

use crate::context::ControlContext;
use crate::periodic::spawn_periodic;
use guavavane_daemon::prelude::MetricSink;
use guavavane_daemon::prelude::ShutdownSignal;
use guavavane_quorum::prelude::GroupWatch;
use guavavane_quorum::prelude::LeadershipView;

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the thread that reports the state of the group until shutdown.
///
/// # Errors
///
/// Returns an error if the thread cannot be spawned.
pub fn start_group_watch(
    context: &Arc<ControlContext>,
    shutdown: &ShutdownSignal,
) -> std::io::Result<()> {
    let mut watch = GroupWatch::default();
    let report = move |context: &ControlContext| {
        let view = context.quorum.leadership();
        watch.log_changes(&view);
        send_gauges(&context.metrics, &view);
    };
    spawn_periodic("group-watch", REPORT_INTERVAL, context, shutdown, report)
}

fn send_gauges(metrics: &MetricSink, view: &LeadershipView) {
    metrics.gauge("storage_failed", u64::from(view.storage_failed));
    if let Some(spare) = view.spare_voters() {
        metrics.gauge("spare_voters", spare as u64);
    }
}
