//! Reports the state of the Raft group: gauges of this replica, and log lines for its changes.
//!
//! It runs on every replica, since a replica whose storage has failed says so itself. The amounts
//! that only a leader knows are removed when this replica no longer leads.

use std::time::Duration;

use tokio::time::sleep;

use crate::metric;
use guavavane_jobs::prelude::JobLedger;
use guavavane_model::prelude::BootClock;
use guavavane_quorum::prelude::GroupWatch;
use guavavane_quorum::prelude::LeadershipView;
use guavavane_quorum::prelude::QuorumHandle;

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Reports the state of the group until the process ends.
pub(super) async fn report_group(quorum: QuorumHandle<JobLedger>) {
    let mut watch = GroupWatch::default();
    let mut led = false;
    loop {
        let view = quorum.leadership();
        watch.log_changes(&view);
        set_replica_gauges(&view);
        let spare_voters = view.spare_voters();
        match spare_voters {
            Some(spare) => set_leader_gauges(spare, &view),
            None if led => clear_leader_gauges(),
            None => {}
        }
        led = spare_voters.is_some();
        sleep(REPORT_INTERVAL).await;
    }
}

fn set_replica_gauges(view: &LeadershipView) {
    let leading = view.holds_lease(BootClock.now());
    metric::set_gauge("leading", usize::from(leading));
    metric::set_gauge("storage_failed", usize::from(view.storage_failed));
    metric::set_gauge("voters", view.members.voter_count());
}

fn set_leader_gauges(spare_voters: usize, view: &LeadershipView) {
    metric::set_gauge("spare_voters", spare_voters);
    metric::set_gauge("unavailable_voters", view.unavailable_voters.len());
}

fn clear_leader_gauges() {
    metric::clear_gauge("spare_voters");
    metric::clear_gauge("unavailable_voters");
}
