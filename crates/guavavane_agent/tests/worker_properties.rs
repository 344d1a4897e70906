//! Invariants of the worker controller under random event sequences.
//!
//! Commands and orders are lost, duplicated and delayed, time jumps ahead, the agent restarts, the
//! worker reboots and shrinks, and listings arrive late. The checks use only what is visible
//! outside the controller: no attempt runs past its lease, starts past its permit, starts twice,
//! runs beside another attempt of its task, is stopped without a checkpoint, or is reported as
//! ended while it runs.
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
use guavavane_agent::worker::WorkerAction;
use guavavane_agent::worker::WorkerCommand;
use guavavane_agent::worker::WorkerController;
use guavavane_agent::worker::WorkerInput;
use guavavane_agent::worker::WorkerListing;
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

/// State that the leader keeps of a task.
#[derive(Clone, Debug, Default)]
struct LeaderTask {
    attempt: u32,
    start: Option<WorkerOrder>,
    /// Whether the attempt was reported as running.
    seen: bool,
}

/// Events as seen from outside the controller; the checks compare its actions with them.
#[derive(Default)]
struct History {
    /// Latest time at which each attempt may start.
    permits: IndexMap<AttemptKey, BootTime>,
    /// Latest time at which each attempt may run.
    leases: IndexMap<AttemptKey, BootTime>,
    /// Boot of the worker and incarnation of the agent in which each attempt last started.
    started: IndexMap<AttemptKey, (BootId, u64)>,
    ended: IndexMap<AttemptKey, AttemptPhase>,
    /// Attempts that may be stopped without a checkpoint.
    stoppable: IndexSet<AttemptKey>,
    /// Last fencing token that this incarnation of the agent sent for each task.
    issued_fences: IndexMap<TaskId, FenceNumber>,
    has_shrunk: bool,
}

struct OpenPoll {
    poll: WorkerPoll,
    sent_at: BootTime,
}

struct Simulation<'a> {
    random: &'a mut ChaCha8Rng,
    now: BootTime,
    model: WorkerModel,
    controller: WorkerController,
    history: History,
    leader: IndexMap<TaskId, LeaderTask>,
    fence: u64,
    listing: Option<(BootTime, Option<WorkerListing>)>,
    poll: Option<OpenPoll>,
    old_replies: Vec<WorkerInput>,
    in_flight: Vec<WorkerCommand>,
    /// Commands that may still arrive although their result was given up or already delivered, with
    /// the incarnation of the agent that sent them.
    delayed_commands: Vec<(WorkerCommand, u64)>,
    drains: Vec<ServiceKey>,
    agent_incarnation: u64,
    may_shrink: bool,
}

fn new_controller(now: BootTime, incarnation: u64) -> WorkerController {
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
            controller: new_controller(now, 1),
            history: History::default(),
            leader: IndexMap::new(),
            fence: 10,
            listing: None,
            poll: None,
            old_replies: Vec::new(),
            in_flight: Vec::new(),
            delayed_commands: Vec::new(),
            drains: Vec::new(),
            agent_incarnation: 1,
        }
    }

    fn run(mut self) {
        for _ in 0..STEPS {
            self.apply_random_event();
            self.check_leases();
        }
        self.release_all();
    }

    fn apply_random_event(&mut self) {
        match self.random.random_range(0..100) {
            0..25 => self.advance_time(1..120),
            25..27 => self.advance_time(500..5_000),
            27..50 => self.advance_listing(),
            50..70 => self.answer_poll(),
            70..72 => self.lose_poll(),
            72..74 => self.deliver_old_reply(),
            74..88 => self.deliver_command(),
            88..91 => self.deliver_delayed_command(),
            91..93 => self.end_attempt(),
            93..95 => self.finish_drain(),
            95 => self.reboot_worker(),
            96 => self.resize_worker(),
            97 => self.restart_agent(),
            _ => self.advance_time(100..700),
        }
    }

    fn advance_time(&mut self, millis: std::ops::Range<u64>) {
        self.now = self.now + Duration::from_millis(self.random.random_range(millis));
        self.model.expire(self.now);
        self.step(WorkerInput::Tick);
    }

    fn step(&mut self, input: WorkerInput) {
        for action in self.controller.step(self.now, input) {
            match action {
                WorkerAction::List => self.listing = Some((self.now, None)),
                WorkerAction::Poll(poll) => self.receive_poll(poll),
                WorkerAction::Command(command) => self.receive_command(command),
                WorkerAction::DrainService(service) => self.drains.push(service),
                WorkerAction::ResumeService(_) | WorkerAction::Entries(_) => {}
            }
        }
    }

    /// Reads the worker's state; the next call delivers it as the listing.
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

    fn receive_poll(&mut self, poll: WorkerPoll) {
        for report in &poll.attempts {
            self.check_report(report);
        }
        let sent_at = self.now;
        self.poll = Some(OpenPoll { poll, sent_at });
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
        let started = self.history.started.get(&key).map(|(_, agent)| *agent);
        assert!(
            report.phase != AttemptPhase::NotStarted || started != Some(self.agent_incarnation),
            "reported as not started after it ran: {report:?}"
        );
        if let Some(attempt) = self.model.attempts.get(&key) {
            assert!(
                report.checkpoint_ms >= attempt.checkpoint_ms,
                "reported with an older checkpoint: {report:?}"
            );
        }
    }

    /// Records an end that the leader learns of; it does only if the poll arrives.
    fn record_end(&mut self, report: &AttemptReport) {
        let before = self.history.ended.insert(key(report.attempt), report.phase);
        assert!(
            before.is_none_or(|before| before == report.phase),
            "reported with two outcomes: {before:?} and {report:?}"
        );
    }

    fn receive_command(&mut self, command: WorkerCommand) {
        if let WorkerCommand::Start { order, permit } = &command {
            assert!(self.now < *permit, "start sent after its permit");
            assert!(
                self.controller.ledger().is_within_capacity(),
                "start sent while the reservations exceed the capacity"
            );
            let last = self
                .history
                .issued_fences
                .insert(order.key.task, order.fence);
            assert!(
                last.is_none_or(|last| last <= order.fence),
                "fencing token decreased"
            );
        }
        self.in_flight.push(command);
    }

    /// Delivers a command that is in flight; its result may be lost.
    fn deliver_command(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.in_flight.len());
        let command = self.in_flight.swap_remove(index);
        let result = match self.random.random_range(0..20) {
            0 => CommandResult::Unknown,
            1 => {
                // The agent gives up on the command, but it still arrives later.
                self.delayed_commands
                    .push((command.clone(), self.agent_incarnation));
                CommandResult::Unknown
            }
            2 => {
                self.execute(&command, self.agent_incarnation);
                CommandResult::Unknown
            }
            _ if !command.is_valid(self.now) => CommandResult::NotSent,
            3 => {
                self.delayed_commands
                    .push((command.clone(), self.agent_incarnation));
                CommandResult::Answered(self.execute(&command, self.agent_incarnation))
            }
            _ => CommandResult::Answered(self.execute(&command, self.agent_incarnation)),
        };
        self.step(WorkerInput::CommandDone { command, result });
    }

    fn deliver_delayed_command(&mut self) {
        if !self.delayed_commands.is_empty() {
            let index = self.random.random_range(0..self.delayed_commands.len());
            let (command, incarnation) = self.delayed_commands.swap_remove(index);
            self.execute(&command, incarnation);
        }
    }

    fn execute(&mut self, command: &WorkerCommand, agent_incarnation: u64) -> OrderAnswer {
        let now = self.now;
        match command {
            WorkerCommand::Start { order, .. } => {
                let answer = self.model.start(now, order);
                self.check_starts(agent_incarnation);
                answer
            }
            WorkerCommand::Renew { order, .. } => self.model.renew(now, order),
            WorkerCommand::Throttle(_) => OrderAnswer::Done,
            WorkerCommand::Checkpoint(key) => {
                let should_refuse = self.random.random_bool(0.2);
                self.model.checkpoint(now, key, should_refuse)
            }
            WorkerCommand::Stop(key) => {
                self.check_stop(key);
                self.model.stop(now, key)
            }
            WorkerCommand::Forget(key) => self.model.forget(now, key),
        }
    }

    fn check_starts(&mut self, agent_incarnation: u64) {
        for key in std::mem::take(&mut self.model.started) {
            assert!(
                self.now <= self.history.permits[&key],
                "started after its permit: {key:?}"
            );
            let start = (self.model.boot, agent_incarnation);
            let before = self.history.started.insert(key, start);
            // A second start is allowed only after both a reboot and a restart, which together
            // erase all traces of the first.
            let is_forgotten =
                before.is_none_or(|(boot, agent)| boot != start.0 && agent != start.1);
            assert!(is_forgotten, "started twice: {key:?}");
            let ended = self.history.ended.get(&key);
            assert!(
                ended.is_none(),
                "started after it was reported as ended: {key:?}"
            );
            let same_task = self
                .model
                .running()
                .filter(|(other, _)| other.task == key.task);
            assert_eq!(same_task.count(), 1, "two attempts of a task run: {key:?}");
            let used = self
                .model
                .running()
                .map(|(_, attempt)| attempt.demand)
                .fold(ResourceVector::ZERO, |sum, demand| {
                    sum.checked_add(&demand).unwrap()
                });
            let fits = used.fits_within(&capacity());
            assert!(fits || self.history.has_shrunk, "overcommitted: {used}");
        }
    }

    fn check_stop(&self, key: &AttemptKey) {
        let Some(attempt) = self.model.attempts.get(key) else {
            return;
        };
        let checkpoint_written_or_given_up = attempt.checkpoints > 0 || attempt.refusals >= 3;
        assert!(
            attempt.state != AttemptState::Running
                || checkpoint_written_or_given_up
                || self.history.stoppable.contains(key),
            "stopped without a checkpoint: {key:?}"
        );
    }

    fn check_leases(&mut self) {
        self.model.expire(self.now);
        for (key, _) in self.model.running() {
            assert!(
                self.now <= self.history.leases[key],
                "runs past its lease: {key:?}"
            );
        }
    }

    fn answer_poll(&mut self) {
        let Some(open) = self.poll.take() else {
            return;
        };
        let orders = self.build_leader_reply(&open);
        let input = WorkerInput::Polled {
            sequence: open.poll.sequence,
            sent_at: open.sent_at,
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

    /// The leader's reply: mostly consistent orders, sometimes contradictory ones.
    fn build_leader_reply(&mut self, open: &OpenPoll) -> WorkerOrders {
        let lease_ms = self.random.random_range(300..4_000);
        let lease_end = open.sent_at + Duration::from_millis(u64::from(lease_ms));
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
                    self.add_orders_for_running(attempt, &mut orders);
                }
                _ => {
                    self.record_end(report);
                    self.add_orders_for_ended(attempt, &mut orders);
                }
            }
        }
        for task in 0..TASKS {
            if self.random.random_bool(0.5) {
                let start = self.build_start_order(TaskId(task), open.sent_at, lease_end);
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

    /// Drops the starts of attempts that are no longer reported: they ended with a reboot.
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
        let lease = self.history.leases.entry(key(attempt)).or_default();
        *lease = end.max(*lease);
    }

    fn add_orders_for_running(&mut self, attempt: TaskAttempt, orders: &mut Vec<WorkerOrder>) {
        match self.random.random_range(0..100) {
            0..12 => orders.push(WorkerOrder::Evict { attempt }),
            12..16 => {
                self.history.stoppable.insert(key(attempt));
                orders.push(WorkerOrder::Stop { attempt });
            }
            16..20 => orders.push(WorkerOrder::Throttle {
                attempt,
                share_millis: 500,
            }),
            _ => {}
        }
    }

    fn add_orders_for_ended(&mut self, attempt: TaskAttempt, orders: &mut Vec<WorkerOrder>) {
        let leader = self.leader.entry(attempt.task).or_default();
        if leader.attempt == attempt.attempt.0 {
            leader.start = None;
        }
        if self.random.random_bool(0.6) {
            orders.push(WorkerOrder::Forget { attempt });
        }
    }

    /// Repeats the start of the current attempt, or starts the next one.
    fn build_start_order(
        &mut self,
        task: TaskId,
        sent_at: BootTime,
        lease_end: BootTime,
    ) -> WorkerOrder {
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
            unreachable!("only starts are stored here");
        };
        *permit_ms = self.random.random_range(0..3_000);
        let time = Duration::from_millis(u64::from(*permit_ms)).min(PERMIT_MAX);
        let attempt = *attempt;
        let permit = self.history.permits.entry(key(attempt)).or_default();
        *permit = (sent_at + time).max(*permit);
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

    fn finish_drain(&mut self) {
        if let Some(service) = self.drains.pop() {
            self.step(WorkerInput::ServiceDrained(service));
        }
    }

    fn reboot_worker(&mut self) {
        let offset = self.random.random_range(0..3_000);
        self.model.reboot(self.now, offset);
    }

    /// Shrinks or restores the worker; in half of the sequences it never shrinks.
    fn resize_worker(&mut self) {
        if !self.may_shrink {
            return;
        }
        self.model.capacity = if self.model.capacity == capacity() {
            self.history.has_shrunk = true;
            ResourceVector::new(500, 500, 0)
        } else {
            capacity()
        };
    }

    /// Restarts the agent; commands of the previous incarnation may still arrive.
    fn restart_agent(&mut self) {
        let in_flight = std::mem::take(&mut self.in_flight);
        let incarnation = self.agent_incarnation;
        self.delayed_commands
            .extend(in_flight.into_iter().map(|command| (command, incarnation)));
        self.agent_incarnation += 1;
        self.controller = new_controller(self.now, self.agent_incarnation);
        self.listing = None;
        self.poll = None;
        self.old_replies.clear();
        self.history.issued_fences.clear();
        self.step(WorkerInput::Tick);
    }

    /// Stops losing messages, and checks that all attempts get stopped, reported and released.
    fn release_all(&mut self) {
        for _ in 0..200 {
            self.advance_time(100..101);
            self.advance_listing();
            self.advance_listing();
            while let Some(command) = self.in_flight.pop() {
                let answer = self.execute(&command, self.agent_incarnation);
                let result = CommandResult::Answered(answer);
                self.step(WorkerInput::CommandDone { command, result });
            }
            self.finish_drain();
            if let Some(open) = self.poll.take() {
                let orders = self.release_orders(&open.poll);
                let sequence = open.poll.sequence;
                let sent_at = open.sent_at;
                self.step(WorkerInput::Polled {
                    sequence,
                    sent_at,
                    orders,
                });
            }
            self.check_leases();
        }
        assert_eq!(
            self.controller.attempt_count(),
            0,
            "attempts were not released"
        );
        assert!(
            self.model.attempts.is_empty(),
            "the worker still lists attempts"
        );
        assert_eq!(self.controller.ledger().committed(), ResourceVector::ZERO);
    }

    fn release_orders(&mut self, poll: &WorkerPoll) -> WorkerOrders {
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

/// Task 0 runs an endpoint of a service; the others are batch tasks.
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
fn worker_controller_invariants_hold_for_random_event_sequences() {
    for_each_seed(SEEDS, |_, random| Simulation::new(random).run());
}
