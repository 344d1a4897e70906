//! Discrete-event simulation of callers, entries and workers with slots and queues.
//!
//! Arrivals are Poisson and service times exponential with mean `SERVICE_TIME_MEAN_MS`. Load 1
//! is the throughput of all slots. Times are in milliseconds where no unit is named.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use guavavane_model::prelude::*;
use guavavane_protocol::prelude::*;
use guavavane_routing::prelude::*;

const WORKER_COUNT: usize = 11;
const SLOT_COUNT: usize = 8;
const ENTRY_COUNT: usize = 2;
const SERVICE_TIME_MEAN_MS: f64 = 10.0;
const DURATION_MS: f64 = 60_000.0;
const ANNOUNCE_INTERVAL_MS: f64 = 250.0;
const AGENT_QUEUE_MAX: usize = 8;

/// How endpoints are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The router of this crate.
    Router,
    /// Each worker in turn, with a queue at the worker.
    RoundRobin,
    /// A random worker, with a queue at the worker.
    Random,
    /// The shorter of two random queues, without a limit on their length.
    Unbounded,
}

/// Fault of the workers during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disturbance {
    /// No fault.
    None,
    /// One worker has five times the service time.
    Slow,
    /// One worker freezes for 2 s in each 10 s.
    Freezing,
    /// Three workers have three times the service time for 1 s in each 3 s, others each time.
    Waves,
}

impl Disturbance {
    /// All disturbances.
    pub(crate) const ALL: [Self; 4] = [Self::None, Self::Slow, Self::Freezing, Self::Waves];

    fn slowdown(self, worker: usize, now: f64) -> f64 {
        let wave = (now / 3_000.0) as usize;
        match self {
            Self::Slow if worker == 0 => 5.0,
            Self::Waves if now % 3_000.0 < 1_000.0 && (worker + 3 * wave) % WORKER_COUNT < 3 => 3.0,
            _ => 1.0,
        }
    }

    fn frozen_until(self, worker: usize, now: f64) -> Option<f64> {
        let phase = now % 10_000.0;
        let frozen = self == Self::Freezing && worker == 0 && phase < 2_000.0;
        frozen.then_some(now - phase + 2_000.0)
    }
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) network_delay_ms: f64,
    pub(crate) disturbance: Disturbance,
    pub(crate) policy: Policy,
    pub(crate) load: f64,
    pub(crate) timeout_ms: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    Tick(usize),
    Announce(usize),
    Dispatched(usize, Attempt),
    Completed(usize, Attempt),
    Reply(Attempt, AttemptResult),
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    entry: usize,
    id: RequestAttempt,
}

#[derive(Default)]
struct Worker {
    running: usize,
    queue: VecDeque<Attempt>,
}

/// Latencies of the requests answered before their timeout, and the number of requests.
#[derive(Default)]
pub(crate) struct Measurements {
    latencies: Vec<f64>,
    request_count: usize,
}

impl Measurements {
    pub(crate) fn quantile(&self, quantile: f64) -> f64 {
        let index = (self.latencies.len() as f64 * quantile) as usize;
        self.latencies.get(index).copied().unwrap_or(f64::NAN)
    }

    pub(crate) fn answered_percent(&self) -> f64 {
        100.0 * self.latencies.len() as f64 / self.request_count as f64
    }

    /// Returns the requests answered in time as a percentage of the workers' throughput.
    pub(crate) fn goodput_percent(&self) -> f64 {
        let capacity = (WORKER_COUNT * SLOT_COUNT) as f64 * DURATION_MS / SERVICE_TIME_MEAN_MS;
        100.0 * self.latencies.len() as f64 / capacity
    }
}

pub(crate) struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: f64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: BTreeMap<u64, Event>,
    next_event: u64,
    workers: Vec<Worker>,
    routers: Vec<RequestRouter>,
    started: BTreeMap<RequestId, f64>,
    round_robin_count: usize,
    sequence: u64,
    measurements: Measurements,
}

fn name<N: for<'a> TryFrom<&'a str, Error = NameError>>(text: &str) -> N {
    N::try_from(text).expect("the example uses valid names")
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario) -> Self {
        let router = |entry| {
            let data_centre = name(&format!("dc-{entry}"));
            RequestRouter::new(RoutingSettings::new(data_centre, entry as u64))
        };
        Self {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(11),
            now: 0.0,
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            next_event: 0,
            workers: (0..WORKER_COUNT).map(|_| Worker::default()).collect(),
            routers: (0..ENTRY_COUNT).map(router).collect(),
            started: BTreeMap::new(),
            round_robin_count: 0,
            sequence: 0,
            measurements: Measurements::default(),
        }
    }

    pub(crate) fn run(mut self) -> Measurements {
        for worker in 0..WORKER_COUNT {
            self.schedule(0.0, Event::Announce(worker));
        }
        for entry in 0..ENTRY_COUNT {
            self.schedule(1.0, Event::Arrive(entry));
            self.schedule(1.0, Event::Tick(entry));
        }
        while let Some(Reverse((micros, id))) = self.events.pop() {
            self.now = micros as f64 / 1_000.0;
            let event = self.payloads.remove(&id).expect("each event has a payload");
            self.handle_event(event);
        }
        self.measurements.latencies.sort_by(f64::total_cmp);
        self.measurements
    }

    fn schedule(&mut self, delay: f64, event: Event) {
        let micros = ((self.now + delay) * 1_000.0) as u64;
        self.next_event += 1;
        self.events.push(Reverse((micros, self.next_event)));
        self.payloads.insert(self.next_event, event);
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn boot_time(&self) -> BootTime {
        BootTime::from_micros((self.now * 1_000.0) as u64 + 1_000_000)
    }

    /// Returns the one-way delay: 0.1 ms within the data centre of the entry.
    fn network_delay(&self, entry: usize, worker: usize) -> f64 {
        if worker % 3 == entry {
            0.1
        } else {
            self.scenario.network_delay_ms
        }
    }

    fn handle_event(&mut self, event: Event) {
        let is_over = self.now > DURATION_MS;
        match event {
            Event::Arrive(entry) if !is_over => {
                self.arrive(entry);
                let rate =
                    (WORKER_COUNT * SLOT_COUNT) as f64 / SERVICE_TIME_MEAN_MS * self.scenario.load;
                let gap = self.exponential(ENTRY_COUNT as f64 / rate);
                self.schedule(gap, Event::Arrive(entry));
            }
            Event::Tick(entry) if !is_over => {
                self.route(entry, RouterInput::Tick);
                self.schedule(5.0, Event::Tick(entry));
            }
            Event::Announce(worker) if !is_over => {
                self.announce(worker);
                self.schedule(ANNOUNCE_INTERVAL_MS, Event::Announce(worker));
            }
            Event::Arrive(_) | Event::Tick(_) | Event::Announce(_) => {}
            Event::Dispatched(worker, attempt) => self.handle_dispatch(worker, attempt),
            Event::Completed(worker, attempt) => self.handle_completion(worker, attempt),
            Event::Reply(attempt, result) => {
                if self.scenario.policy == Policy::Router {
                    self.route(attempt.entry, RouterInput::Reply(attempt.id, result));
                } else {
                    self.answer(attempt.id.request);
                }
            }
        }
    }

    fn arrive(&mut self, entry: usize) {
        self.sequence += 1;
        let id = RequestId {
            entry: IncarnationId(entry as u64),
            sequence: self.sequence,
        };
        self.measurements.request_count += 1;
        self.started.insert(id, self.now);
        let attempt = Attempt {
            entry,
            id: RequestAttempt {
                request: id,
                attempt: 1,
            },
        };
        let worker = match self.scenario.policy {
            Policy::Router => {
                let request = self.request(id);
                return self.route(entry, RouterInput::Request(Box::new(request)));
            }
            Policy::RoundRobin => {
                self.round_robin_count += 1;
                self.round_robin_count % WORKER_COUNT
            }
            Policy::Random => self.rng.random_range(0..WORKER_COUNT),
            Policy::Unbounded => {
                let samples = [0, 1].map(|_| self.rng.random_range(0..WORKER_COUNT));
                let queue_length =
                    |w: &usize| self.workers[*w].running + self.workers[*w].queue.len();
                *samples
                    .iter()
                    .min_by_key(|w| queue_length(w))
                    .expect("two samples")
            }
        };
        self.schedule(
            self.network_delay(entry, worker),
            Event::Dispatched(worker, attempt),
        );
    }

    fn request(&self, id: RequestId) -> CallerRequest {
        CallerRequest {
            id,
            service: ServiceKey {
                environment: name("production"),
                service: name("service"),
            },
            method: "POST".to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            deadline: self.boot_time() + Duration::from_millis(self.scenario.timeout_ms),
            idempotent: false,
            may_hedge: false,
            claim: None,
        }
    }

    fn route(&mut self, entry: usize, input: RouterInput) {
        let now = self.boot_time();
        for action in self.routers[entry].step(now, input) {
            match action {
                RouterAction::Dispatch { call, .. } => {
                    let worker = call.target.incarnation.0 as usize;
                    let attempt = Attempt {
                        entry,
                        id: call.attempt,
                    };
                    self.schedule(
                        self.network_delay(entry, worker),
                        Event::Dispatched(worker, attempt),
                    );
                }
                RouterAction::Finish {
                    request,
                    result: RequestResult::Answered(_),
                } => self.answer(request),
                _ => {}
            }
        }
    }

    fn answer(&mut self, request: RequestId) {
        let started = self.started.remove(&request).expect("answered once");
        let latency = self.now - started;
        if latency <= self.scenario.timeout_ms as f64 {
            self.measurements.latencies.push(latency);
        }
    }

    fn handle_dispatch(&mut self, index: usize, attempt: Attempt) {
        let worker = &mut self.workers[index];
        if worker.running < SLOT_COUNT {
            worker.running += 1;
            self.start_service(index, attempt);
        } else if self.scenario.policy != Policy::Router || worker.queue.len() < AGENT_QUEUE_MAX {
            worker.queue.push_back(attempt);
        } else {
            let reply = DispatchReply::Refused(RefusalReason::Busy);
            let network_delay = self.network_delay(attempt.entry, index);
            self.schedule(
                network_delay,
                Event::Reply(attempt, AttemptResult::Reply(reply)),
            );
        }
    }

    fn start_service(&mut self, worker: usize, attempt: Attempt) {
        let slowdown = self.scenario.disturbance.slowdown(worker, self.now);
        let service_time = self.exponential(SERVICE_TIME_MEAN_MS) * slowdown;
        self.schedule(service_time, Event::Completed(worker, attempt));
    }

    fn handle_completion(&mut self, index: usize, attempt: Attempt) {
        if let Some(until) = self.scenario.disturbance.frozen_until(index, self.now) {
            return self.schedule(until - self.now + 0.001, Event::Completed(index, attempt));
        }
        let answer = HttpResponse {
            status: 200,
            headers: Vec::new(),
            body: Vec::new(),
        };
        let reply = AttemptResult::Reply(DispatchReply::Answered(answer));
        self.schedule(
            self.network_delay(attempt.entry, index),
            Event::Reply(attempt, reply),
        );
        match self.workers[index].queue.pop_front() {
            Some(next) => self.start_service(index, next),
            None => self.workers[index].running -= 1,
        }
    }

    fn announce(&mut self, index: usize) {
        if self.scenario.policy != Policy::Router {
            return;
        }
        let worker = &self.workers[index];
        let announcement = EndpointAnnouncement {
            worker: name(&format!("worker-{index}")),
            data_centre: name(&format!("dc-{}", index % 3)),
            rack: name("rack"),
            address: format!("10.0.0.{index}:1")
                .parse()
                .expect("the example uses valid addresses"),
            incarnation: IncarnationId(index as u64),
            sequence: self.now as u64 + 1,
            expiry_ms: 3_000,
            endpoints: vec![EndpointStatus {
                name: name(&format!("endpoint-{index}")),
                environment: name("production"),
                service: name("service"),
                state: EndpointState::Ready,
                slots: SLOT_COUNT as u16,
                outstanding: (worker.running + worker.queue.len()) as u16,
            }],
        };
        for entry in 0..ENTRY_COUNT {
            let input = RouterInput::Announcement(Box::new(announcement.clone()));
            self.route(entry, input);
        }
    }
}
