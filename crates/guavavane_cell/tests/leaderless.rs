//! How long an entry keeps submissions while no leader is known.

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

/// Time for the entry's own looks at what waits.
const SLACK: Duration = Duration::from_millis(150);

#[tokio::test]
async fn a_submission_is_turned_away_well_before_its_caller_gives_up() {
    // Nobody listens there any more.
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    let seeds = vec![closed.local_addr().unwrap()];
    drop(closed);
    let node = Arc::from("entry-1");
    let entry = start_entry(EntrySettings { node, seeds });
    for (wait_ms, most_ms) in [(3_000, 600), (500, 200)] {
        let request = CallerRequest {
            host: "queue.example".to_owned(),
            path: "/tally/0000000000000001".to_owned(),
            action: CallerAction::Submit(Box::default()),
        };
        let begun = Instant::now();
        let reply = entry.call(request, Duration::from_millis(wait_ms)).await;
        assert_eq!(reply, CallerReply::Unavailable);
        let took = begun.elapsed();
        let most = Duration::from_millis(most_ms) + SLACK;
        assert!(took < most, "{took:?} of {wait_ms} ms");
    }
}
