//! Workers with slots and queues, entries and callers, on simulated time.

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

const WORKERS: usize = 11;
const SLOTS: usize = 8;
const ENTRIES: usize = 2;
const SERVICE_MS: f64 = 10.0;
const DURATION_MS: f64 = 60_000.0;
const ANNOUNCE_MS: f64 = 250.0;
const AGENT_QUEUE: usize = 8;

/// How endpoints are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The router of this crate.
    Router,
    /// Each in turn, queues at the workers.
    RoundRobin,
    /// Any, queues at the workers.
    Random,
    /// The shorter of two queues, without a bound.
    Unbounded,
}

/// What happens to the workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disturbance {
    /// Nothing.
    None,
    /// One worker takes five times as long.
    Slow,
    /// One worker stands still for 2 s in each 10 s.
    Freezing,
    /// Three workers take three times as long for 1 s in each 3 s, others each time.
    Waves,
}

impl Disturbance {
    /// All of them.
    pub(crate) const ALL: [Self; 4] = [Self::None, Self::Slow, Self::Freezing, Self::Waves];

    fn factor(self, worker: usize, now: f64) -> f64 {
        let wave = (now / 3_000.0) as usize;
        match self {
            Self::Slow if worker == 0 => 5.0,
            Self::Waves if now % 3_000.0 < 1_000.0 && (worker + 3 * wave) % WORKERS < 3 => 3.0,
            _ => 1.0,
        }
    }

    fn frozen_until(self, worker: usize, now: f64) -> Option<f64> {
        let phase = now % 10_000.0;
        let frozen = self == Self::Freezing && worker == 0 && phase < 2_000.0;
        frozen.then_some(now - phase + 2_000.0)
    }
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) hop_ms: f64,
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
    Reach(usize, Job),
    Finish(usize, Job),
    Reply(Job, AttemptResult),
}

#[derive(Clone, Copy, Debug)]
struct Job {
    entry: usize,
    attempt: RequestAttempt,
}

#[derive(Default)]
struct Worker {
    running: usize,
    queue: VecDeque<Job>,
}

/// Latencies of the answers in time, and counts.
#[derive(Default)]
pub(crate) struct Outcome {
    latencies: Vec<f64>,
    sent: usize,
}

impl Outcome {
    pub(crate) fn quantile(&self, quantile: f64) -> f64 {
        let index = (self.latencies.len() as f64 * quantile) as usize;
        self.latencies.get(index).copied().unwrap_or(f64::NAN)
    }

    pub(crate) fn answered_percent(&self) -> f64 {
        100.0 * self.latencies.len() as f64 / self.sent as f64
    }

    /// Answers in time against what the workers could give.
    pub(crate) fn goodput_percent(&self) -> f64 {
        let capacity = (WORKERS * SLOTS) as f64 * DURATION_MS / SERVICE_MS;
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
    turn: usize,
    sequence: u64,
    outcome: Outcome,
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
            workers: (0..WORKERS).map(|_| Worker::default()).collect(),
            routers: (0..ENTRIES).map(router).collect(),
            started: BTreeMap::new(),
            turn: 0,
            sequence: 0,
            outcome: Outcome::default(),
        }
    }

    pub(crate) fn run(mut self) -> Outcome {
        for worker in 0..WORKERS {
            self.schedule(0.0, Event::Announce(worker));
        }
        for entry in 0..ENTRIES {
            self.schedule(1.0, Event::Arrive(entry));
            self.schedule(1.0, Event::Tick(entry));
        }
        while let Some(Reverse((micros, id))) = self.events.pop() {
            self.now = micros as f64 / 1_000.0;
            let event = self.payloads.remove(&id).expect("each event has a payload");
            self.play(event);
        }
        self.outcome.latencies.sort_by(f64::total_cmp);
        self.outcome
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

    fn time(&self) -> BootTime {
        BootTime::from_micros((self.now * 1_000.0) as u64 + 1_000_000)
    }

    fn hop(&self, entry: usize, worker: usize) -> f64 {
        if worker % 3 == entry {
            0.1
        } else {
            self.scenario.hop_ms
        }
    }

    fn play(&mut self, event: Event) {
        let over = self.now > DURATION_MS;
        match event {
            Event::Arrive(entry) if !over => {
                self.arrive(entry);
                let rate = (WORKERS * SLOTS) as f64 / SERVICE_MS * self.scenario.load;
                let gap = self.exponential(ENTRIES as f64 / rate);
                self.schedule(gap, Event::Arrive(entry));
            }
            Event::Tick(entry) if !over => {
                self.route(entry, RouterInput::Tick);
                self.schedule(5.0, Event::Tick(entry));
            }
            Event::Announce(worker) if !over => {
                self.announce(worker);
                self.schedule(ANNOUNCE_MS, Event::Announce(worker));
            }
            Event::Arrive(_) | Event::Tick(_) | Event::Announce(_) => {}
            Event::Reach(worker, job) => self.reach(worker, job),
            Event::Finish(worker, job) => self.finish(worker, job),
            Event::Reply(job, result) => {
                if self.scenario.policy == Policy::Router {
                    self.route(job.entry, RouterInput::Reply(job.attempt, result));
                } else {
                    self.answer(job.attempt.request);
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
        self.outcome.sent += 1;
        self.started.insert(id, self.now);
        let job = Job {
            entry,
            attempt: RequestAttempt {
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
                self.turn += 1;
                self.turn % WORKERS
            }
            Policy::Random => self.rng.random_range(0..WORKERS),
            Policy::Unbounded => {
                let draws = [0, 1].map(|_| self.rng.random_range(0..WORKERS));
                let length = |w: &usize| self.workers[*w].running + self.workers[*w].queue.len();
                *draws.iter().min_by_key(|w| length(w)).expect("two draws")
            }
        };
        self.schedule(self.hop(entry, worker), Event::Reach(worker, job));
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
            deadline: self.time() + Duration::from_millis(self.scenario.timeout_ms),
            idempotent: false,
            may_hedge: false,
            claim: None,
        }
    }

    fn route(&mut self, entry: usize, input: RouterInput) {
        let now = self.time();
        for action in self.routers[entry].step(now, input) {
            match action {
                RouterAction::Dispatch { call, .. } => {
                    let worker = call.target.incarnation.0 as usize;
                    let job = Job {
                        entry,
                        attempt: call.attempt,
                    };
                    self.schedule(self.hop(entry, worker), Event::Reach(worker, job));
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
            self.outcome.latencies.push(latency);
        }
    }

    fn reach(&mut self, index: usize, job: Job) {
        let worker = &mut self.workers[index];
        if worker.running < SLOTS {
            worker.running += 1;
            self.start_attempt(index, job);
        } else if self.scenario.policy != Policy::Router || worker.queue.len() < AGENT_QUEUE {
            worker.queue.push_back(job);
        } else {
            let reply = DispatchReply::Refused(RefusalReason::Busy);
            let hop = self.hop(job.entry, index);
            self.schedule(hop, Event::Reply(job, AttemptResult::Reply(reply)));
        }
    }

    fn start_attempt(&mut self, worker: usize, job: Job) {
        let factor = self.scenario.disturbance.factor(worker, self.now);
        let length = self.exponential(SERVICE_MS) * factor;
        self.schedule(length, Event::Finish(worker, job));
    }

    fn finish(&mut self, index: usize, job: Job) {
        if let Some(until) = self.scenario.disturbance.frozen_until(index, self.now) {
            return self.schedule(until - self.now + 0.001, Event::Finish(index, job));
        }
        let answer = HttpAnswer {
            status: 200,
            headers: Vec::new(),
            body: Vec::new(),
        };
        let reply = AttemptResult::Reply(DispatchReply::Answered(answer));
        self.schedule(self.hop(job.entry, index), Event::Reply(job, reply));
        match self.workers[index].queue.pop_front() {
            Some(next) => self.start_attempt(index, next),
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
                slots: SLOTS as u16,
                outstanding: (worker.running + worker.queue.len()) as u16,
            }],
        };
        for entry in 0..ENTRIES {
            let input = RouterInput::Announcement(Box::new(announcement.clone()));
            self.route(entry, input);
        }
    }
}
