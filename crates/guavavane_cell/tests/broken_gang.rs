//! Members of a gang after one of them was withdrawn or its worker was lost.
//!
//! Guards against members that wait for one that never joins: the gang can't start anew before they
//! have ended.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::time::Duration;

use crate::support::is_stop_ordered;
use crate::support::open_agent_session;
use crate::support::ordered_starts;
use crate::support::step;
use crate::support::worker_heartbeat;
use crate::support::TestCell;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::StartTask;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::CallerReply;
use guavavane_jobs::prelude::RawStep;
use guavavane_model::prelude::ResourceVector;
use guavavane_transport::prelude::StreamReceiver;
use guavavane_transport::prelude::StreamSender;

/// Time without a start after which a test expects no more.
const QUIET_PERIOD: Duration = Duration::from_millis(500);
/// Longest time until the remaining members must be told to stop.
const STOP_MAX: Duration = Duration::from_millis(1_000);

/// Cell with a gang of two tasks, each started on the worker of a session that the test plays.
struct GangCell {
    _cell: TestCell,
    first: StreamSender<ToControl>,
    first_start: StartTask,
    _first_orders: StreamReceiver<FromControl>,
    _second: StreamSender<ToControl>,
    second_start: StartTask,
    second_orders: StreamReceiver<FromControl>,
}

impl GangCell {
    async fn start() -> Self {
        let cell = TestCell::start(0, Duration::ZERO).await;
        let (first, mut first_orders) = open_agent_session(&cell, 0).await;
        let (second, mut second_orders) = open_agent_session(&cell, 1).await;
        // Two members don't fit on one worker.
        let members = RawStep {
            gang: true,
            demand: ResourceVector::new(5_000, 1_000, 0),
            ..step(2, vec![])
        };
        assert_eq!(cell.submit(1, vec![members]).await, CallerReply::Accepted);
        let first_starts = ordered_starts(&mut first_orders, QUIET_PERIOD).await;
        let second_starts = ordered_starts(&mut second_orders, QUIET_PERIOD).await;
        assert_eq!((first_starts.len(), second_starts.len()), (1, 1));
        Self {
            _cell: cell,
            first,
            first_start: first_starts[0].clone(),
            _first_orders: first_orders,
            _second: second,
            second_start: second_starts[0].clone(),
            second_orders,
        }
    }

    async fn assert_second_is_stopped(&mut self) {
        let second = (self.second_start.task, self.second_start.run);
        let is_stopped = is_stop_ordered(&mut self.second_orders, second, STOP_MAX).await;
        assert!(is_stopped, "no stop within {STOP_MAX:?}");
    }
}

#[tokio::test]
async fn the_members_stop_after_one_was_withdrawn() {
    let mut gang = GangCell::start().await;
    let key = worker_heartbeat(0).key;
    let (task, run) = (gang.first_start.task, gang.first_start.run);
    gang.first.send(ToControl::Withdrawn { key, task, run });
    gang.assert_second_is_stopped().await;
}

#[tokio::test]
async fn the_members_stop_after_the_worker_of_one_was_lost() {
    let mut gang = GangCell::start().await;
    let key = worker_heartbeat(0).key;
    gang.first.send(ToControl::WorkerEnded { key });
    gang.assert_second_is_stopped().await;
}
