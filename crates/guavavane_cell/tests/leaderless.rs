//! Time that an entry keeps submissions while no leader is known.
//!
//! Guards against an entry that keeps a submission until its caller times out: the caller would
//! lose the time in which it could retry.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use guavavane_cell::entry::CallerRequest;
use guavavane_cell::prelude::start_entry;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::EntrySettings;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RawStep;

/// Tolerance for the entry's interval between two checks for expired calls.
const CHECK_TOLERANCE: Duration = Duration::from_millis(150);

#[tokio::test]
async fn a_submission_is_rejected_well_before_its_caller_times_out() {
    // Nothing listens at this address any more.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let seeds = vec![listener.local_addr().unwrap()];
    drop(listener);
    let node = Arc::from("entry-1");
    let entry = start_entry(EntrySettings { node, seeds });
    let step = RawStep {
        tasks: 1,
        ..RawStep::default()
    };
    let job = RawJob {
        steps: vec![step],
        ..RawJob::default()
    };
    for (wait_ms, max_ms) in [(3_000, 600), (500, 200)] {
        let request = CallerRequest {
            host: "queue.example".to_owned(),
            path: "/tally/0000000000000001".to_owned(),
            action: CallerAction::Submit(Arc::new(job.clone())),
        };
        let started_at = Instant::now();
        let reply = entry.call(request, Duration::from_millis(wait_ms)).await;
        assert_eq!(reply, CallerReply::Unavailable);
        let elapsed = started_at.elapsed();
        let max = Duration::from_millis(max_ms) + CHECK_TOLERANCE;
        assert!(elapsed < max, "{elapsed:?} of {wait_ms} ms");
    }
}
