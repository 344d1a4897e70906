//! Controller of the worker: carries out the leader's orders and reports the attempts.
//!
//! [`WorkerController`] is a state machine without I/O: [`WorkerController::step`] takes one
//! input and returns the actions that [`crate::daemon`] performs. In a cycle it lists the worker's
//! attempts, polls the control leader with them and applies the orders in the reply. A start
//! order carries a permit, the time within which the start may be sent, and each reply renews
//! leases; both count from the time at which the poll was sent. A command that may have reached
//! the worker is repeated until its effect is known, and its effect is reported only then.

pub mod clock;
pub mod eviction;
pub mod lease;
pub mod ledger;

mod attempt;
mod command;
mod listing;
mod order;

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use self::attempt::AttemptEntry;
use self::attempt::AttemptStage;
use self::clock::WorkerClock;
use self::lease::LeaseTable;
use self::ledger::WorkerLedger;
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

/// Intervals and timeouts of the worker controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerTiming {
    /// Backoff after a failed poll.
    pub poll_backoff: Duration,
    /// Minimum time between two polls.
    pub poll_interval_min: Duration,
    /// Backoff before a command with unknown effect is repeated.
    pub command_backoff: Duration,
    /// Maximum time for the endpoint of an evicted service to finish its requests.
    pub drain_timeout: Duration,
    /// How long a released attempt is remembered; longer than any permit, since a start that was
    /// sent within its permit may still arrive.
    pub released_retention: Duration,
    /// Maximum permit; longer ones are shortened to it. A new incarnation of the agent starts
    /// nothing for this long, since the worker may still accept a start that the previous
    /// incarnation sent.
    pub permit_max: Duration,
}

impl Default for WorkerTiming {
    fn default() -> Self {
        Self {
            poll_backoff: Duration::from_millis(500),
            poll_interval_min: Duration::from_millis(100),
            command_backoff: Duration::from_millis(200),
            drain_timeout: Duration::from_secs(5),
            released_retention: Duration::from_secs(30),
            permit_max: Duration::from_millis(2_000),
        }
    }
}

/// Address and incarnation of the agent, sent with each poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentIdentity {
    /// Address at which the agent accepts requests.
    pub address: SocketAddr,
    /// Incarnation of the agent.
    pub incarnation: IncarnationId,
}

/// Facts and attempts of the worker, and when the agent listed the attempts, on its own clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerListing {
    /// Time before the attempts were requested.
    pub requested_at: BootTime,
    /// Time after the list of attempts arrived.
    pub received_at: BootTime,
    /// Name, location, boot and capacity of the worker.
    pub facts: WorkerFacts,
    /// Attempts on the worker.
    pub list: AttemptList,
}

/// Command to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCommand {
    /// Starts an attempt; valid until `permit`.
    Start {
        /// Message to the worker.
        order: StartOrder,
        /// End of the permit on the agent's clock.
        permit: BootTime,
    },
    /// Renews leases; valid until `until`.
    Renew {
        /// Message to the worker.
        order: RenewOrder,
        /// End of the leases on the agent's clock.
        until: BootTime,
    },
    /// Sets the CPU share of an attempt.
    Throttle(ThrottleOrder),
    /// Writes a checkpoint.
    Checkpoint(AttemptKey),
    /// Stops an attempt.
    Stop(AttemptKey),
    /// Removes an ended attempt from the worker's list.
    Forget(AttemptKey),
}

impl WorkerCommand {
    /// Whether the command may be sent at `now`.
    pub fn is_valid(&self, now: BootTime) -> bool {
        match self {
            Self::Start { permit, .. } => now < *permit,
            Self::Renew { until, .. } => now < *until,
            Self::Throttle(_) | Self::Checkpoint(_) | Self::Stop(_) | Self::Forget(_) => true,
        }
    }
}

/// Result of sending a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The worker answered.
    Answered(OrderAnswer),
    /// The command was no longer valid and was not sent.
    NotSent,
    /// The worker did not answer; it may or may not have carried out the command.
    Unknown,
}

/// Events that the worker controller reacts to.
#[derive(Clone, Debug)]
pub enum WorkerInput {
    /// The worker answered a listing.
    Listed(WorkerListing),
    /// The worker did not answer a listing.
    ListFailed,
    /// The leader answered a poll.
    Polled {
        /// Sequence number of the poll.
        sequence: u64,
        /// When the poll was sent.
        sent_at: BootTime,
        /// Orders in the reply.
        orders: WorkerOrders,
    },
    /// No leader answered a poll.
    PollFailed {
        /// Sequence number of the poll.
        sequence: u64,
    },
    /// A command was answered or given up.
    CommandDone {
        /// The command.
        command: WorkerCommand,
        /// Result of the command.
        result: CommandResult,
    },
    /// The endpoints of a service have finished their requests.
    ServiceDrained(ServiceKey),
    /// The agent shuts down: it starts no more attempts.
    Drain,
    /// Nothing happened; timeouts may have passed.
    Tick,
}

/// Actions that [`crate::daemon`] performs for the worker controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerAction {
    /// List the worker.
    List,
    /// Poll the leader.
    Poll(WorkerPoll),
    /// Send a command to the worker.
    Command(WorkerCommand),
    /// Drain the endpoints of a service.
    DrainService(ServiceKey),
    /// Let the endpoints of a service accept requests again.
    ResumeService(ServiceKey),
    /// Announce the endpoints to these entries from now on.
    Entries(EntryDirectory),
}

/// State of the cycle of listing and polling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollStage {
    /// Waits for the next cycle.
    Idle,
    /// Waits for the worker's answer.
    Listing,
    /// Waits for the leader's reply to the poll with this sequence number.
    Polling { sequence: u64 },
}

/// State of the worker controller; performs no I/O.
#[derive(Debug)]
pub struct WorkerController {
    identity: AgentIdentity,
    timing: WorkerTiming,
    stage: PollStage,
    /// When the next cycle of listing and polling starts.
    next_cycle_at: BootTime,
    /// When the last cycle started.
    last_cycle_at: BootTime,
    /// Starts are allowed once a listing was requested at or after this time.
    starts_allowed_from: BootTime,
    /// When the last listing was requested.
    last_listing_at: BootTime,
    sequence: u64,
    entries_digest: u64,
    clock: Option<WorkerClock>,
    attempts: IndexMap<TaskAttempt, AttemptEntry>,
    /// Attempts that control has released, and until when they are remembered.
    released: IndexMap<TaskAttempt, BootTime>,
    /// Highest fencing token seen for each task on the worker.
    fences: IndexMap<TaskId, FenceNumber>,
    leases: LeaseTable,
    ledger: WorkerLedger,
    usage_reports: Vec<UsageReport>,
    /// End of the usage sample sent for each attempt with the last poll, in ms on the worker's
    /// clock.
    sent_usage_ends: Vec<(TaskAttempt, u64)>,
    draining: bool,
    actions: Vec<WorkerAction>,
}

impl WorkerController {
    /// Creates a controller without attempts; its first step lists the worker.
    pub fn new(now: BootTime, identity: AgentIdentity, timing: WorkerTiming) -> Self {
        Self {
            identity,
            starts_allowed_from: now + timing.permit_max,
            last_listing_at: now,
            timing,
            stage: PollStage::Idle,
            next_cycle_at: now,
            last_cycle_at: now,
            sequence: 0,
            entries_digest: 0,
            clock: None,
            attempts: IndexMap::new(),
            released: IndexMap::new(),
            fences: IndexMap::new(),
            leases: LeaseTable::default(),
            ledger: WorkerLedger::default(),
            usage_reports: Vec::new(),
            sent_usage_ends: Vec::new(),
            draining: false,
            actions: Vec::new(),
        }
    }

    /// Handles one input and returns the actions to perform, in order.
    pub fn step(&mut self, now: BootTime, input: WorkerInput) -> Vec<WorkerAction> {
        match input {
            WorkerInput::Listed(listing) => self.reconcile_listing(now, &listing),
            WorkerInput::ListFailed => self.finish_poll_cycle(now, self.timing.poll_backoff),
            WorkerInput::Polled {
                sequence,
                sent_at,
                orders,
            } => self.apply_orders(now, sequence, sent_at, orders),
            WorkerInput::PollFailed { sequence } => {
                if self.stage == (PollStage::Polling { sequence }) {
                    self.finish_poll_cycle(now, self.timing.poll_backoff);
                }
            }
            WorkerInput::CommandDone { command, result } => {
                self.handle_command_result(now, &command, &result);
            }
            WorkerInput::ServiceDrained(service) => self.continue_drained_evictions(now, &service),
            WorkerInput::Drain => self.draining = true,
            WorkerInput::Tick => {}
        }
        self.send_due_commands(now);
        self.start_poll_cycle(now);
        std::mem::take(&mut self.actions)
    }

    /// Capacity of the worker and reservations on it.
    pub fn ledger(&self) -> &WorkerLedger {
        &self.ledger
    }

    /// Number of attempts that control has not released.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// When to call [`WorkerController::step`] next if no other input arrives before.
    pub fn next_wake(&self) -> Option<BootTime> {
        let poll = (self.stage == PollStage::Idle).then_some(self.next_cycle_at);
        let commands = self
            .attempts
            .values()
            .filter_map(AttemptEntry::next_command_at);
        poll.into_iter().chain(commands).min()
    }

    fn start_poll_cycle(&mut self, now: BootTime) {
        if self.stage == PollStage::Idle && now >= self.next_cycle_at {
            self.stage = PollStage::Listing;
            self.last_cycle_at = now;
            self.actions.push(WorkerAction::List);
        }
    }

    fn finish_poll_cycle(&mut self, now: BootTime, interval: Duration) {
        self.stage = PollStage::Idle;
        self.next_cycle_at = now + interval.max(self.timing.poll_interval_min);
    }

    /// Moves the next poll to the earliest allowed time, to report a change without delay.
    fn expedite_poll(&mut self) {
        let earliest = self.last_cycle_at + self.timing.poll_interval_min;
        self.next_cycle_at = self.next_cycle_at.min(earliest);
    }

    /// Records that an attempt has ended for good, and releases its resources.
    fn end_attempt(&mut self, now: BootTime, attempt: TaskAttempt, phase: AttemptPhase) {
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        entry.stage = AttemptStage::Ended(phase);
        entry.changed_at = now;
        entry.pending_share_millis = None;
        self.ledger.release(&attempt);
        tracing::info!(
            event = "attempt_ended",
            task = %attempt.task,
            attempt = %attempt.attempt,
            ?phase,
            checkpoint_ms = entry.checkpoint_ms,
        );
        self.expedite_poll();
    }
}
