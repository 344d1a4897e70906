//! Threads that exchange requests with endpoints.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;

use super::guard_loop::GuardEvent;
use crate::guard::GuardInput;
use crate::guard::HopResult;
use crate::guard::RunOrder;
use crate::hop::EndpointHop;
use guavavane_model::prelude::BootClock;

/// Stack of a thread, in bytes; only what is touched takes memory.
const STACK_BYTES: usize = 256 * 1024;

/// Bounds of one exchange.
#[derive(Clone, Copy, Debug)]
pub(super) struct HopBounds {
    pub(super) linger: Duration,
    pub(super) answer_max_bytes: usize,
}

/// Pool that grows to the number of requests that run at once.
#[derive(Debug)]
pub(super) struct HopPool {
    bounds: HopBounds,
    orders: Sender<RunOrder>,
    queue: Receiver<RunOrder>,
    events: Sender<GuardEvent>,
    threads: usize,
}

impl HopPool {
    pub(super) fn new(bounds: HopBounds, events: Sender<GuardEvent>) -> Self {
        let (orders, queue) = flume::unbounded();
        Self {
            bounds,
            orders,
            queue,
            events,
            threads: 0,
        }
    }

    /// Hands a request to a thread; `running` counts all that have not ended.
    pub(super) fn run(&mut self, order: RunOrder, running: usize) {
        if self.threads < running {
            self.grow();
        }
        // The pool itself holds a receiver.
        let _ = self.orders.send(order);
    }

    fn grow(&mut self) {
        let queue = self.queue.clone();
        let events = self.events.clone();
        let bounds = self.bounds;
        let started = thread::Builder::new()
            .name("hop".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || run_hops(bounds, &queue, &events));
        match started {
            Ok(_) => self.threads += 1,
            Err(error) => tracing::error!(event = "thread_failed", %error),
        }
    }
}

fn run_hops(bounds: HopBounds, queue: &Receiver<RunOrder>, events: &Sender<GuardEvent>) {
    while let Ok(order) = queue.recv() {
        let attempt = order.request.attempt;
        let result = run_hop(bounds, order.address, &order);
        let input = GuardInput::Finished { attempt, result };
        if events.send(GuardEvent::Input(input)).is_err() {
            return;
        }
    }
}

fn run_hop(bounds: HopBounds, address: SocketAddr, order: &RunOrder) -> HopResult {
    let now = BootClock.now();
    let left = order.deadline.saturating_since(now);
    if left.is_zero() {
        // The process was paused since the request got its slot.
        return HopResult::NotSent;
    }
    let hop = EndpointHop {
        address,
        until: order.deadline + bounds.linger,
        deadline: left,
        answer_max_bytes: bounds.answer_max_bytes,
    };
    hop.exchange(&order.request)
}
