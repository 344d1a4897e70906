//! Properties of the worker side over lost, doubled and delayed commands and orders, pauses and
//! restarts of the agent, reboots of the worker and late reports.
#![allow(clippy::unwrap_used)]

mod worker_model;

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::worker_model::WorkerModel;
use guavavane_agent::guard::ServiceKey;
use guavavane_agent::worker::AgentIdentity;
use guavavane_agent::worker::CommandResult;
use guavavane_agent::worker::WorkerCommand;
use guavavane_agent::worker::WorkerController;
use guavavane_agent::worker::WorkerInput;
use guavavane_agent::worker::WorkerListing;
use guavavane_agent::worker::WorkerOutcome;
use guavavane_agent::worker::WorkerTiming;
use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::AttemptState;
use guavavane_contract::prelude::OrderAnswer;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootId;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::FenceNumber;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_protocol::prelude::AttemptPhase;
use guavavane_protocol::prelude::AttemptReport;
use guavavane_protocol::prelude::TaskAttempt;
use guavavane_protocol::prelude::TaskProgram;
use guavavane_protocol::prelude::WorkerOrder;
use guavavane_protocol::prelude::WorkerOrders;
use guavavane_protocol::prelude::WorkerPoll;
use guavavane_testing::for_each_seed;

const STEPS: usize = 400;
const SEEDS: u64 = 15_000;
const TASKS: u64 = 4;
const PERMIT_MAX: Duration = Duration::from_millis(2_000);

fn capacity() -> ResourceVector {
    ResourceVector::new(1_000, 1_000, 1)
}

fn key(attempt: TaskAttempt) -> AttemptKey {
    AttemptKey {
        task: attempt.task,
        attempt: attempt.attempt,
    }
}

/// What control believes of a task.
#[derive(Clone, Debug, Default)]
struct LeaderTask {
    attempt: u32,
    start: Option<WorkerOrder>,
    /// Whether the attempt was reported as running.
    seen: bool,
}

/// What has happened, as seen from outside the agent.
#[derive(Default)]
struct Witness {
    /// Latest moment at which an attempt may start.
    permits: IndexMap<AttemptKey, BootTime>,
    /// Latest moment at which an attempt may run.
    leases: IndexMap<AttemptKey, BootTime>,
    /// Boot of the worker and run of the agent in which each attempt started last.
    started: IndexMap<AttemptKey, (BootId, u64)>,
    ended: IndexMap<AttemptKey, AttemptPhase>,
    /// Attempts that may be stopped without a checkpoint.
    stoppable: IndexSet<AttemptKey>,
    issued: IndexMap<TaskId, FenceNumber>,
    has_shrunk: bool,
}

struct OpenPoll {
    poll: WorkerPoll,
    sent: BootTime,
}

struct Simulation<'a> {
    random: &'a mut ChaCha8Rng,
    now: BootTime,
    model: WorkerModel,
    control: WorkerController,
    witness: Witness,
    leader: IndexMap<TaskId, LeaderTask>,
    fence: u64,
    listing: Option<(BootTime, Option<WorkerListing>)>,
    poll: Option<OpenPoll>,
    old_replies: Vec<WorkerInput>,
    flights: Vec<WorkerCommand>,
    /// Commands that nobody waits for any more, with the run of the agent that sent them.
    ghosts: Vec<(WorkerCommand, u64)>,
    drains: Vec<ServiceKey>,
    agent_run: u64,
    may_shrink: bool,
}

fn new_control(now: BootTime, incarnation: u64) -> WorkerController {
    let identity = AgentIdentity {
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: IncarnationId(incarnation),
    };
    WorkerController::new(now, identity, WorkerTiming::default())
}

impl<'a> Simulation<'a> {
    fn new(random: &'a mut ChaCha8Rng) -> Self {
        let now = BootTime::from_millis(5_000);
        let may_shrink = random.random_bool(0.5);
        Self {
            random,
            now,
            may_shrink,
            model: WorkerModel::new(capacity()),
            control: new_control(now, 1),
            witness: Witness::default(),
            leader: IndexMap::new(),
            fence: 10,
            listing: None,
            poll: None,
            old_replies: Vec::new(),
            flights: Vec::new(),
            ghosts: Vec::new(),
            drains: Vec::new(),
            agent_run: 1,
        }
    }

    fn run(mut self) {
        for _ in 0..STEPS {
            self.act();
            self.check_leases();
        }
        self.settle();
    }

    fn act(&mut self) {
        match self.random.random_range(0..100) {
            0..25 => self.pass(1..120),
            25..27 => self.pass(500..5_000),
            27..50 => self.advance_listing(),
            50..70 => self.answer_poll(),
            70..72 => self.lose_poll(),
            72..74 => self.deliver_old_reply(),
            74..88 => self.run_command(),
            88..91 => self.run_ghost(),
            91..93 => self.end_attempt(),
            93..95 => self.end_drain(),
            95 => self.reboot(),
            96 => self.resize(),
            97 => self.restart(),
            _ => self.pass(100..700),
        }
    }

    fn pass(&mut self, millis: std::ops::Range<u64>) {
        self.now = self.now + Duration::from_millis(self.random.random_range(millis));
        self.model.expire(self.now);
        self.step(WorkerInput::Tick);
    }

    fn step(&mut self, input: WorkerInput) {
        for outcome in self.control.step(self.now, input) {
            match outcome {
                WorkerOutcome::List => self.listing = Some((self.now, None)),
                WorkerOutcome::Poll(poll) => self.take_poll(poll),
                WorkerOutcome::Command(command) => self.take_command(command),
                WorkerOutcome::DrainService(service) => self.drains.push(service),
                WorkerOutcome::ResumeService(_) | WorkerOutcome::Entries(_) => {}
            }
        }
    }

    /// Reads the worker, and some time later hands the answer to the agent.
    fn advance_listing(&mut self) {
        let Some((requested_at, read)) = self.listing.take() else {
            return;
        };
        let Some(mut listing) = read else {
            let listing = WorkerListing {
                requested_at,
                received_at: requested_at,
                facts: self.model.facts(),
                list: self.model.list(self.now),
            };
            self.listing = Some((requested_at, Some(listing)));
            return;
        };
        if self.random.random_bool(0.05) {
            self.step(WorkerInput::ListFailed);
            return;
        }
        listing.received_at = self.now;
        self.step(WorkerInput::Listed(listing));
    }

    fn take_poll(&mut self, poll: WorkerPoll) {
        for report in &poll.attempts {
            self.check_report(report);
        }
        let sent = self.now;
        self.poll = Some(OpenPoll { poll, sent });
    }

    fn check_report(&mut self, report: &AttemptReport) {
        let key = key(report.attempt);
        let running = matches!(
            report.phase,
            AttemptPhase::Running | AttemptPhase::Checkpointed
        );
        if running {
            return;
        }
        assert!(
            !self.model.is_running(&key),
            "reported as ended while it runs: {report:?}"
        );
        let started = self.witness.started.get(&key).map(|(_, agent)| *agent);
        assert!(
            report.phase != AttemptPhase::NotStarted || started != Some(self.agent_run),
            "reported as not started after it ran: {report:?}"
        );
        if let Some(attempt) = self.model.attempts.get(&key) {
            assert!(
                report.checkpoint_ms >= attempt.checkpoint_ms,
                "reported without its checkpoint: {report:?}"
            );
        }
    }

    /// Control learns of an end only if the poll arrives.
    fn note_end(&mut self, report: &AttemptReport) {
        let before = self.witness.ended.insert(key(report.attempt), report.phase);
        assert!(
            before.is_none_or(|before| before == report.phase),
            "ended twice: {before:?} and {report:?}"
        );
    }

    fn take_command(&mut self, command: WorkerCommand) {
        if let WorkerCommand::Start { order, permit } = &command {
            assert!(self.now < *permit, "start ordered after its permit");
            assert!(
                self.control.ledger().is_within_capacity(),
                "start beyond capacity"
            );
            let last = self.witness.issued.insert(order.key.task, order.fence);
            assert!(
                last.is_none_or(|last| last <= order.fence),
                "fence went back"
            );
        }
        self.flights.push(command);
    }

    /// Runs a command that is on its way; its result may be lost.
    fn run_command(&mut self) {
        if self.flights.is_empty() {
            return;
        }
        let place = self.random.random_range(0..self.flights.len());
        let command = self.flights.swap_remove(place);
        let result = match self.random.random_range(0..20) {
            0 => CommandResult::Unknown,
            1 => {
                // Gave up on it, but it is still on its way.
                self.ghosts.push((command.clone(), self.agent_run));
                CommandResult::Unknown
            }
            2 => {
                self.execute(&command, self.agent_run);
                CommandResult::Unknown
            }
            _ if !command.is_valid(self.now) => CommandResult::NotSent,
            3 => {
                self.ghosts.push((command.clone(), self.agent_run));
                CommandResult::Answered(self.execute(&command, self.agent_run))
            }
            _ => CommandResult::Answered(self.execute(&command, self.agent_run)),
        };
        self.step(WorkerInput::CommandDone { command, result });
    }

    fn run_ghost(&mut self) {
        if !self.ghosts.is_empty() {
            let place = self.random.random_range(0..self.ghosts.len());
            let (command, run) = self.ghosts.swap_remove(place);
            self.execute(&command, run);
        }
    }

    fn execute(&mut self, command: &WorkerCommand, agent_run: u64) -> OrderAnswer {
        let now = self.now;
        match command {
            WorkerCommand::Start { order, .. } => {
                let answer = self.model.start(now, order);
                self.check_starts(agent_run);
                answer
            }
            WorkerCommand::Renew { order, .. } => self.model.renew(now, order),
            WorkerCommand::Throttle(_) => OrderAnswer::Done,
            WorkerCommand::Checkpoint(key) => {
                let refuse = self.random.random_bool(0.2);
                self.model.checkpoint(now, key, refuse)
            }
            WorkerCommand::Stop(key) => {
                self.check_stop(key);
                self.model.stop(now, key)
            }
            WorkerCommand::Forget(key) => self.model.forget(now, key),
        }
    }

    fn check_starts(&mut self, agent_run: u64) {
        for key in std::mem::take(&mut self.model.started) {
            assert!(self.now <= self.witness.permits[&key], "late start");
            let run = (self.model.boot, agent_run);
            let before = self.witness.started.insert(key, run);
            // Only a reboot of the worker and a restart of the agent together hide a start.
            let hidden = before.is_none_or(|(boot, agent)| boot != run.0 && agent != run.1);
            assert!(hidden, "started twice: {key:?}");
            let ended = self.witness.ended.get(&key);
            assert!(ended.is_none(), "started after it was reported as ended");
            let same_task = self
                .model
                .running()
                .filter(|(other, _)| other.task == key.task);
            assert_eq!(same_task.count(), 1, "two attempts at once: {key:?}");
            let used = self
                .model
                .running()
                .map(|(_, attempt)| attempt.demand)
                .fold(ResourceVector::ZERO, |sum, demand| {
                    sum.checked_add(&demand).unwrap()
                });
            let fits = used.fits_within(&capacity());
            assert!(fits || self.witness.has_shrunk, "overcommitted: {used}");
        }
    }

    fn check_stop(&self, key: &AttemptKey) {
        let Some(attempt) = self.model.attempts.get(key) else {
            return;
        };
        let settled = attempt.checkpoints > 0 || attempt.refusals >= 3;
        assert!(
            attempt.state != AttemptState::Running
                || settled
                || self.witness.stoppable.contains(key),
            "stopped without a checkpoint: {key:?}"
        );
    }

    fn check_leases(&mut self) {
        self.model.expire(self.now);
        for (key, _) in self.model.running() {
            assert!(
                self.now <= self.witness.leases[key],
                "runs past its lease: {key:?}"
            );
        }
    }

    fn answer_poll(&mut self) {
        let Some(open) = self.poll.take() else {
            return;
        };
        let orders = self.lead(&open);
        let input = WorkerInput::Polled {
            sequence: open.poll.sequence,
            sent: open.sent,
            orders,
        };
        self.old_replies.push(input.clone());
        if self.random.random_bool(0.08) {
            let sequence = open.poll.sequence;
            self.step(WorkerInput::PollFailed { sequence });
        } else {
            self.step(input);
        }
    }

    fn lose_poll(&mut self) {
        if let Some(open) = self.poll.take() {
            let sequence = open.poll.sequence;
            self.step(WorkerInput::PollFailed { sequence });
        }
    }

    fn deliver_old_reply(&mut self) {
        if let Some(input) = self.old_replies.choose(self.random).cloned() {
            let answered = match (&self.poll, &input) {
                (Some(open), WorkerInput::Polled { sequence, .. }) => {
                    open.poll.sequence == *sequence
                }
                _ => false,
            };
            if !answered {
                self.step(input);
            }
        }
    }

    /// The leader's answer: mostly sensible, sometimes contradictory.
    fn lead(&mut self, open: &OpenPoll) -> WorkerOrders {
        let lease_ms = self.random.random_range(300..4_000);
        let lease_end = open.sent + Duration::from_millis(u64::from(lease_ms));
        self.end_unreported(&open.poll);
        let mut renewed = Vec::new();
        let mut orders = Vec::new();
        for report in &open.poll.attempts {
            let attempt = report.attempt;
            match report.phase {
                AttemptPhase::Running | AttemptPhase::Checkpointed => {
                    if self.random.random_bool(0.85) {
                        renewed.push(attempt);
                        self.extend_lease(attempt, lease_end);
                    }
                    self.order_running(attempt, &mut orders);
                }
                _ => {
                    self.note_end(report);
                    self.order_ended(attempt, &mut orders);
                }
            }
        }
        for task in 0..TASKS {
            if self.random.random_bool(0.5) {
                let start = self.order_start(TaskId(task), open.sent, lease_end);
                orders.push(start);
            }
        }
        if self.random.random_bool(0.05) {
            let attempt = TaskAttempt {
                task: TaskId(self.random.random_range(0..TASKS)),
                attempt: AttemptNumber(self.random.random_range(900..905)),
            };
            orders.push(WorkerOrder::Evict { attempt });
        }
        WorkerOrders {
            lease_ms,
            renewed,
            orders,
            entries: None,
            next_poll_ms: self.random.random_range(50..500),
        }
    }

    /// An attempt that was reported and is no longer has ended with its boot.
    fn end_unreported(&mut self, poll: &WorkerPoll) {
        for (task, leader) in &mut self.leader {
            let attempt = TaskAttempt {
                task: *task,
                attempt: AttemptNumber(leader.attempt),
            };
            let reported = poll.attempts.iter().any(|report| report.attempt == attempt);
            if leader.seen && !reported {
                leader.start = None;
            }
            leader.seen |= reported;
        }
    }

    fn extend_lease(&mut self, attempt: TaskAttempt, end: BootTime) {
        let lease = self.witness.leases.entry(key(attempt)).or_default();
        *lease = end.max(*lease);
    }

    fn order_running(&mut self, attempt: TaskAttempt, orders: &mut Vec<WorkerOrder>) {
        match self.random.random_range(0..100) {
            0..12 => orders.push(WorkerOrder::Evict { attempt }),
            12..16 => {
                self.witness.stoppable.insert(key(attempt));
                orders.push(WorkerOrder::Stop { attempt });
            }
            16..20 => orders.push(WorkerOrder::Throttle {
                attempt,
                share_millis: 500,
            }),
            _ => {}
        }
    }

    fn order_ended(&mut self, attempt: TaskAttempt, orders: &mut Vec<WorkerOrder>) {
        let leader = self.leader.entry(attempt.task).or_default();
        if leader.attempt == attempt.attempt.0 {
            leader.start = None;
        }
        if self.random.random_bool(0.6) {
            orders.push(WorkerOrder::Forget { attempt });
        }
    }

    /// Repeats the start of the current attempt, or begins another attempt.
    fn order_start(&mut self, task: TaskId, sent: BootTime, lease_end: BootTime) -> WorkerOrder {
        let abandon = self.random.random_bool(0.03);
        let stale_fence = self.random.random_bool(0.03);
        let leader = self.leader.entry(task).or_default();
        if leader.start.is_none() || abandon {
            leader.attempt += 1;
            leader.seen = false;
            self.fence += 1;
            let fence = if stale_fence { 1 } else { self.fence };
            leader.start = Some(WorkerOrder::Start {
                attempt: TaskAttempt {
                    task,
                    attempt: AttemptNumber(leader.attempt),
                },
                fence: FenceNumber(fence),
                program: program(task),
                demand: ResourceVector::new(self.random.random_range(100..700), 100, 0),
                permit_ms: 0,
                resume_ms: 0,
            });
        }
        let mut order = leader.start.clone().unwrap();
        let WorkerOrder::Start {
            attempt, permit_ms, ..
        } = &mut order
        else {
            unreachable!("starts are kept here");
        };
        *permit_ms = self.random.random_range(0..3_000);
        let time = Duration::from_millis(u64::from(*permit_ms)).min(PERMIT_MAX);
        let attempt = *attempt;
        let permit = self.witness.permits.entry(key(attempt)).or_default();
        *permit = (sent + time).max(*permit);
        self.extend_lease(attempt, lease_end);
        order
    }

    fn end_attempt(&mut self) {
        let running: Vec<AttemptKey> = self.model.running().map(|(key, _)| *key).collect();
        if let Some(key) = running.choose(self.random) {
            let states = [AttemptState::Finished, AttemptState::Failed];
            let state = *states.choose(self.random).unwrap();
            self.model.end(key, state);
        }
    }

    fn end_drain(&mut self) {
        if let Some(service) = self.drains.pop() {
            self.step(WorkerInput::ServiceDrained(service));
        }
    }

    fn reboot(&mut self) {
        let offset = self.random.random_range(0..3_000);
        self.model.reboot(self.now, offset);
    }

    /// Half of the sequences have a worker that never shrinks.
    fn resize(&mut self) {
        if !self.may_shrink {
            return;
        }
        self.model.capacity = if self.model.capacity == capacity() {
            self.witness.has_shrunk = true;
            ResourceVector::new(500, 500, 0)
        } else {
            capacity()
        };
    }

    /// Another run of the agent; what the last one sent may still arrive.
    fn restart(&mut self) {
        let flights = std::mem::take(&mut self.flights);
        let run = self.agent_run;
        self.ghosts
            .extend(flights.into_iter().map(|command| (command, run)));
        self.agent_run += 1;
        self.control = new_control(self.now, self.agent_run);
        self.listing = None;
        self.poll = None;
        self.old_replies.clear();
        self.witness.issued.clear();
        self.step(WorkerInput::Tick);
    }

    /// With nothing lost any more, all attempts are stopped, reported and released.
    fn settle(&mut self) {
        for _ in 0..200 {
            self.pass(100..101);
            self.advance_listing();
            self.advance_listing();
            while let Some(command) = self.flights.pop() {
                let answer = self.execute(&command, self.agent_run);
                let result = CommandResult::Answered(answer);
                self.step(WorkerInput::CommandDone { command, result });
            }
            self.end_drain();
            if let Some(open) = self.poll.take() {
                let orders = self.release(&open.poll);
                let sequence = open.poll.sequence;
                let sent = open.sent;
                self.step(WorkerInput::Polled {
                    sequence,
                    sent,
                    orders,
                });
            }
            self.check_leases();
        }
        assert_eq!(self.control.attempt_count(), 0, "attempts are left");
        assert!(self.model.attempts.is_empty(), "the worker has attempts");
        assert_eq!(self.control.ledger().committed(), ResourceVector::ZERO);
    }

    fn release(&mut self, poll: &WorkerPoll) -> WorkerOrders {
        let mut orders = Vec::new();
        for report in &poll.attempts {
            let attempt = report.attempt;
            orders.push(match report.phase {
                AttemptPhase::Running | AttemptPhase::Checkpointed => {
                    WorkerOrder::Evict { attempt }
                }
                _ => WorkerOrder::Forget { attempt },
            });
        }
        WorkerOrders {
            lease_ms: 1_000,
            renewed: Vec::new(),
            orders,
            entries: None,
            next_poll_ms: 100,
        }
    }
}

/// Task 0 runs an endpoint, the others are batch work.
fn program(task: TaskId) -> TaskProgram {
    if task == TaskId(0) {
        return TaskProgram::Service {
            environment: "trial".try_into().unwrap(),
            service: "despacho".try_into().unwrap(),
            slots: 8,
            connections: 64,
        };
    }
    TaskProgram::Batch { run_ms: 10_000 }
}

#[test]
fn worker_side_holds_its_promises_over_generated_sequences() {
    for_each_seed(SEEDS, |_, random| Simulation::new(random).run());
}
