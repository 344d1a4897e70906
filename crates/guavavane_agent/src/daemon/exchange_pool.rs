//! Pool of threads that send requests to endpoints and wait for the answers.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;

use super::guard_loop::GuardEvent;
use crate::exchange::EndpointExchange;
use crate::guard::ExchangeResult;
use crate::guard::GuardInput;
use crate::guard::RunOrder;
use guavavane_model::prelude::BootClock;

/// Stack size of a thread in bytes; only the pages in use take memory.
const STACK_BYTES: usize = 256 * 1024;

/// Limits of one exchange.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExchangeLimits {
    /// How long an exchange may continue after the caller's deadline.
    pub(super) linger: Duration,
    /// Maximum size of an answer in bytes.
    pub(super) answer_max_bytes: usize,
}

/// Thread pool that grows to the largest number of requests that ran at once.
#[derive(Debug)]
pub(super) struct ExchangePool {
    limits: ExchangeLimits,
    orders: Sender<RunOrder>,
    queue: Receiver<RunOrder>,
    events: Sender<GuardEvent>,
    threads: usize,
}

impl ExchangePool {
    pub(super) fn new(limits: ExchangeLimits, events: Sender<GuardEvent>) -> Self {
        let (orders, queue) = flume::unbounded();
        Self {
            limits,
            orders,
            queue,
            events,
            threads: 0,
        }
    }

    /// Hands a request to a thread; `running` is the number of unfinished requests with this one.
    pub(super) fn run(&mut self, order: RunOrder, running: usize) {
        if self.threads < running {
            self.grow();
        }
        // Can't fail: the pool itself holds a receiver.
        let _ = self.orders.send(order);
    }

    fn grow(&mut self) {
        let queue = self.queue.clone();
        let events = self.events.clone();
        let limits = self.limits;
        let started = thread::Builder::new()
            // Visible outside the process: the name must not change.
            .name("hop".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || run_exchanges(limits, &queue, &events));
        match started {
            Ok(_) => self.threads += 1,
            Err(error) => tracing::error!(event = "thread_failed", %error),
        }
    }
}

fn run_exchanges(limits: ExchangeLimits, queue: &Receiver<RunOrder>, events: &Sender<GuardEvent>) {
    while let Ok(order) = queue.recv() {
        let attempt = order.request.attempt;
        let result = run_exchange(limits, order.address, &order);
        let input = GuardInput::Finished { attempt, result };
        if events.send(GuardEvent::Input(input)).is_err() {
            return;
        }
    }
}

fn run_exchange(limits: ExchangeLimits, address: SocketAddr, order: &RunOrder) -> ExchangeResult {
    let now = BootClock.now();
    let time_left = order.deadline.saturating_since(now);
    if time_left.is_zero() {
        // The deadline passed since the request got its slot, for example while the process was
        // paused.
        return ExchangeResult::NotSent;
    }
    let exchange = EndpointExchange {
        address,
        until: order.deadline + limits.linger,
        deadline: time_left,
        answer_max_bytes: limits.answer_max_bytes,
    };
    exchange.exchange(&order.request)
}
