//! Decides what the agent orders of its worker and what it reports to control.
//!
//! [`WorkerControl::step`] takes one input and returns what is to be done. In turn it lists
//! the worker's attempts, polls the control leader with them and applies the orders of the
//! reply. Permits and leases count from the moment the poll was sent. A command that may have
//! reached the worker is repeated until its effect is known; nothing is reported before.

pub mod clock;
pub mod eviction;
pub mod lease;
pub mod ledger;

mod command;
mod listing;
mod order;
mod task;

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use self::clock::WorkerClock;
use self::lease::LeaseTable;
use self::ledger::WorkerLedger;
use self::task::TaskEntry;
use self::task::TaskStage;
use crate::guard::ServiceKey;
use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::AttemptList;
use guavavane_contract::prelude::OrderAnswer;
use guavavane_contract::prelude::RenewOrder;
use guavavane_contract::prelude::StartOrder;
use guavavane_contract::prelude::ThrottleOrder;
use guavavane_contract::prelude::WorkerFacts;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::FenceNumber;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::TaskId;
use guavavane_protocol::prelude::AttemptPhase;
use guavavane_protocol::prelude::EntryDirectory;
use guavavane_protocol::prelude::TaskAttempt;
use guavavane_protocol::prelude::UsageReport;
use guavavane_protocol::prelude::WorkerOrders;
use guavavane_protocol::prelude::WorkerPoll;

/// Intervals of the worker side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerTiming {
    /// Time to the next poll after one that failed.
    pub poll_interval: Duration,
    /// Shortest time between two polls.
    pub poll_interval_min: Duration,
    /// Time to the repetition of a command whose effect is not known.
    pub retry_interval: Duration,
    /// Longest time that the endpoint of an evicted service ends its requests.
    pub drain_max: Duration,
    /// How long a released attempt is remembered, longer than any permit.
    pub released_keep: Duration,
    /// Longest permit; longer ones are cut to it. A new run of the agent starts nothing for
    /// this long, since a start that its predecessor sent may still be taken.
    pub permit_max: Duration,
}

impl Default for WorkerTiming {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_millis(500),
            poll_interval_min: Duration::from_millis(100),
            retry_interval: Duration::from_millis(200),
            drain_max: Duration::from_secs(5),
            released_keep: Duration::from_secs(30),
            permit_max: Duration::from_millis(2_000),
        }
    }
}

/// What the agent is, for its polls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentIdentity {
    /// Address at which the agent takes requests.
    pub address: SocketAddr,
    /// Run of the agent.
    pub incarnation: IncarnationId,
}

/// A listing of the worker with the times around it on the agent's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerListing {
    /// Before the worker was asked.
    pub asked: BootTime,
    /// When its answer had arrived.
    pub arrived: BootTime,
    /// What the worker says of itself.
    pub facts: WorkerFacts,
    /// Its attempts.
    pub list: AttemptList,
}

/// A command to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCommand {
    /// Starts an attempt, only before `permit`.
    Start {
        /// The order.
        order: StartOrder,
        /// End of the permit on the agent's clock.
        permit: BootTime,
    },
    /// Renews leases, only before `until`.
    Renew {
        /// The order.
        order: RenewOrder,
        /// End of the leases on the agent's clock.
        until: BootTime,
    },
    /// Slows an attempt.
    Throttle(ThrottleOrder),
    /// Writes a checkpoint.
    Checkpoint(AttemptKey),
    /// Stops an attempt.
    Stop(AttemptKey),
    /// Forgets an attempt that has ended.
    Forget(AttemptKey),
}

impl WorkerCommand {
    /// Whether the command may still be sent.
    pub fn is_valid(&self, now: BootTime) -> bool {
        match self {
            Self::Start { permit, .. } => now < *permit,
            Self::Renew { until, .. } => now < *until,
            Self::Throttle(_) | Self::Checkpoint(_) | Self::Stop(_) | Self::Forget(_) => true,
        }
    }
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The worker answered.
    Answered(OrderAnswer),
    /// It was not sent, since it was no longer valid.
    NotSent,
    /// The worker may or may not have taken it.
    Unknown,
}

/// What the worker side reacts to.
#[derive(Clone, Debug)]
pub enum WorkerInput {
    /// The worker was listed.
    Listed(WorkerListing),
    /// The worker did not answer.
    ListFailed,
    /// The leader answered a poll.
    Polled {
        /// Sequence number of the poll.
        sequence: u64,
        /// When it was sent.
        sent: BootTime,
        /// The orders.
        orders: WorkerOrders,
    },
    /// No leader answered a poll.
    PollFailed {
        /// Sequence number of the poll.
        sequence: u64,
    },
    /// A command ended.
    CommandDone {
        /// The command.
        command: WorkerCommand,
        /// What became of it.
        result: CommandResult,
    },
    /// The endpoints of a service have ended their requests.
    ServiceDrained(ServiceKey),
    /// The agent shuts down: it starts nothing more.
    Drain,
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerOutcome {
    /// List the worker.
    List,
    /// Poll the leader.
    Poll(WorkerPoll),
    /// Send a command to the worker.
    Command(WorkerCommand),
    /// Let the endpoints of a service end their requests.
    DrainService(ServiceKey),
    /// Let the endpoints of a service take requests again.
    ResumeService(ServiceKey),
    /// The entries to announce to.
    Entries(EntryDirectory),
}

/// Where the cycle of listing and polling is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollStage {
    /// Waits for the next turn.
    Idle,
    /// The worker was asked.
    Listing,
    /// The leader was asked.
    Polling { sequence: u64 },
}

/// Decision core of the worker side.
#[derive(Debug)]
pub struct WorkerControl {
    identity: AgentIdentity,
    timing: WorkerTiming,
    stage: PollStage,
    next_poll: BootTime,
    last_poll: BootTime,
    /// Earliest listing after which this run of the agent starts anything.
    starts_from: BootTime,
    /// When the last listing was asked for.
    listed: BootTime,
    sequence: u64,
    entries_digest: u64,
    clock: Option<WorkerClock>,
    tasks: IndexMap<TaskAttempt, TaskEntry>,
    /// Released attempts and when their release is forgotten.
    released: IndexMap<TaskAttempt, BootTime>,
    /// Highest fencing number seen for each task on the worker.
    fences: IndexMap<TaskId, FenceNumber>,
    leases: LeaseTable,
    ledger: WorkerLedger,
    usage: Vec<UsageReport>,
    usage_marks: Vec<(TaskAttempt, u64)>,
    draining: bool,
    outcomes: Vec<WorkerOutcome>,
}

impl WorkerControl {
    /// A worker side that knows nothing yet; its first step lists the worker.
    pub fn new(now: BootTime, identity: AgentIdentity, timing: WorkerTiming) -> Self {
        Self {
            identity,
            starts_from: now + timing.permit_max,
            listed: now,
            timing,
            stage: PollStage::Idle,
            next_poll: now,
            last_poll: now,
            sequence: 0,
            entries_digest: 0,
            clock: None,
            tasks: IndexMap::new(),
            released: IndexMap::new(),
            fences: IndexMap::new(),
            leases: LeaseTable::default(),
            ledger: WorkerLedger::default(),
            usage: Vec::new(),
            usage_marks: Vec::new(),
            draining: false,
            outcomes: Vec::new(),
        }
    }

    /// Takes one input and returns what is to be done.
    pub fn step(&mut self, now: BootTime, input: WorkerInput) -> Vec<WorkerOutcome> {
        match input {
            WorkerInput::Listed(listing) => self.take_listing(now, &listing),
            WorkerInput::ListFailed => self.end_turn(now, self.timing.poll_interval),
            WorkerInput::Polled {
                sequence,
                sent,
                orders,
            } => self.take_orders(now, sequence, sent, orders),
            WorkerInput::PollFailed { sequence } => {
                if self.stage == (PollStage::Polling { sequence }) {
                    self.end_turn(now, self.timing.poll_interval);
                }
            }
            WorkerInput::CommandDone { command, result } => {
                self.take_result(now, &command, &result);
            }
            WorkerInput::ServiceDrained(service) => self.end_drain(now, &service),
            WorkerInput::Drain => self.draining = true,
            WorkerInput::Tick => {}
        }
        self.drive_tasks(now);
        self.start_turn(now);
        std::mem::take(&mut self.outcomes)
    }

    /// What the worker has and what of it is committed.
    pub fn ledger(&self) -> &WorkerLedger {
        &self.ledger
    }

    /// Attempts that control has not released.
    pub fn attempts(&self) -> usize {
        self.tasks.len()
    }

    /// When to call [`WorkerControl::step`] next if nothing happens before.
    pub fn next_wake(&self) -> Option<BootTime> {
        let poll = (self.stage == PollStage::Idle).then_some(self.next_poll);
        let commands = self.tasks.values().filter_map(TaskEntry::next_command_at);
        poll.into_iter().chain(commands).min()
    }

    fn start_turn(&mut self, now: BootTime) {
        if self.stage == PollStage::Idle && now >= self.next_poll {
            self.stage = PollStage::Listing;
            self.last_poll = now;
            self.outcomes.push(WorkerOutcome::List);
        }
    }

    fn end_turn(&mut self, now: BootTime, interval: Duration) {
        self.stage = PollStage::Idle;
        self.next_poll = now + interval.max(self.timing.poll_interval_min);
    }

    /// Polls soon, since control waits for what has changed.
    fn hasten_poll(&mut self) {
        let earliest = self.last_poll + self.timing.poll_interval_min;
        self.next_poll = self.next_poll.min(earliest);
    }

    /// Records that an attempt does not run and never will again.
    fn end_task(&mut self, now: BootTime, attempt: TaskAttempt, phase: AttemptPhase) {
        let Some(entry) = self.tasks.get_mut(&attempt) else {
            return;
        };
        entry.stage = TaskStage::Ended(phase);
        entry.changed = now;
        entry.throttle = None;
        self.ledger.free(&attempt);
        tracing::info!(
            event = "attempt_ended",
            task = %attempt.task,
            attempt = %attempt.attempt,
            ?phase,
            checkpoint_ms = entry.checkpoint_ms,
        );
        self.hasten_poll();
    }
}
