//! Orders of the leader after an agent reports that its worker's lease has expired.
//!
//! Guards against a task that runs twice: if the agent reports the worker again before the loss
//! is committed, the leader must not order the runs again that it is about to free; and a message
//! of an earlier session, delayed until the worker is reported on a later one, must not free runs.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::time::Duration;

use crate::support::idle_report;
use crate::support::open_agent_session;
use crate::support::open_silent_session;
use crate::support::ordered_starts;
use crate::support::step;
use crate::support::TestCell;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::CallerReply;
use guavavane_transport::prelude::StreamReceiver;
use guavavane_transport::prelude::StreamSender;

/// Time without a message after which a test expects no more.
const QUIET_PERIOD: Duration = Duration::from_millis(700);
/// Number of tasks of the job.
const TASKS: u64 = 3;

#[tokio::test]
async fn a_run_that_is_about_to_be_freed_is_not_ordered_again() {
    let cell = TestCell::start(0, Duration::from_millis(100)).await;
    let (sender, mut receiver) = open_agent_session(&cell, 0).await;
    let accepted = cell.submit(1, vec![step(TASKS, vec![])]).await;
    assert_eq!(accepted, CallerReply::Accepted);
    let first_starts = ordered_starts(&mut receiver, QUIET_PERIOD).await;
    assert_eq!(first_starts.len() as u64, TASKS);
    assert!(first_starts.iter().all(|order| order.run.0 == 1));

    // The lease has expired, and the agent reports the worker again at once.
    sender.send(ToControl::LeaseExpired);
    sender.send(ToControl::WorkerReport(Box::new(idle_report(0, 1))));
    let second_starts = ordered_starts(&mut receiver, QUIET_PERIOD).await;
    assert_eq!(second_starts.len() as u64, TASKS, "{second_starts:?}");
    // The first runs may restart on other workers, so the agent must not get them again.
    assert!(
        second_starts.iter().all(|order| order.run.0 == 2),
        "{second_starts:?}"
    );
    assert!(
        second_starts.iter().all(|order| order.epoch == 1),
        "{second_starts:?}"
    );
}

/// Cell with a job whose runs were ordered on an earlier session of an agent and repeated on a later
/// one, and another agent on which freed tasks would start.
struct TwoSessions {
    earlier: (StreamSender<ToControl>, StreamReceiver<FromControl>),
    later: Option<(StreamSender<ToControl>, StreamReceiver<FromControl>)>,
    other_orders: StreamReceiver<FromControl>,
    _cell: TestCell,
    _other: StreamSender<ToControl>,
}

impl TwoSessions {
    async fn open() -> Self {
        let cell = TestCell::start(0, Duration::from_millis(100)).await;
        let mut earlier = open_agent_session(&cell, 0).await;
        let accepted = cell.submit(1, vec![step(TASKS, vec![])]).await;
        assert_eq!(accepted, CallerReply::Accepted);
        let starts = ordered_starts(&mut earlier.1, QUIET_PERIOD).await;
        assert_eq!(starts.len() as u64, TASKS);
        // The leader orders the runs again that the report on the later session lacks.
        let mut later = open_silent_session(&cell, 0).await;
        let starts = ordered_starts(&mut later.1, QUIET_PERIOD).await;
        assert_eq!(starts.len() as u64, TASKS, "{starts:?}");
        assert!(starts.iter().all(|order| order.run.0 == 1), "{starts:?}");
        let (other, other_orders) = open_agent_session(&cell, 1).await;
        Self {
            earlier,
            later: Some(later),
            other_orders,
            _cell: cell,
            _other: other,
        }
    }

    async fn assert_freed(&mut self, tasks: u64) {
        let starts = ordered_starts(&mut self.other_orders, QUIET_PERIOD).await;
        assert_eq!(starts.len() as u64, tasks, "{starts:?}");
        assert!(starts.iter().all(|order| order.run.0 == 2), "{starts:?}");
    }
}

#[tokio::test]
async fn a_delayed_expiry_of_an_earlier_session_frees_nothing() {
    let mut sessions = TwoSessions::open().await;
    assert!(sessions.earlier.0.send(ToControl::LeaseExpired));
    sessions.assert_freed(0).await;
    // The same message on the later session frees the runs.
    let (later, _later_orders) = sessions.later.take().unwrap();
    assert!(later.send(ToControl::LeaseExpired));
    sessions.assert_freed(TASKS).await;
}

#[tokio::test]
async fn a_delayed_expiry_of_an_earlier_session_frees_nothing_after_the_later_one_has_closed() {
    let mut sessions = TwoSessions::open().await;
    sessions.later = None;
    tokio::time::sleep(QUIET_PERIOD).await;
    assert!(sessions.earlier.0.send(ToControl::LeaseExpired));
    sessions.assert_freed(0).await;
}
