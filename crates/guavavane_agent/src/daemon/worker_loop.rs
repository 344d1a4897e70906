//! Thread of the worker side.

use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use serde::Serialize;

use super::command_lane;
use super::guard_loop::GuardEvent;
use super::poll_lane;
use super::poll_lane::PollTask;
use crate::guard::GuardInput;
use crate::guard::ServiceKey;
use crate::settings::AgentSettings;
use crate::worker::AgentIdentity;
use crate::worker::WorkerCommand;
use crate::worker::WorkerController;
use crate::worker::WorkerInput;
use crate::worker::WorkerOutcome;
use guavavane_contract::prelude::WorkerClient;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::ResourceVector;
use guavavane_transport::prelude::CallClient;

/// Longest sleep of the worker's thread.
const IDLE_MAX: Duration = Duration::from_millis(1_000);

/// Shortest sleep, for a start that waits for room and not for time.
const IDLE_MIN: Duration = Duration::from_millis(5);

/// What arrives at the worker's thread.
#[derive(Debug)]
pub(super) enum WorkerEvent {
    /// An input of the core.
    Input(WorkerInput),
    /// The endpoints of a service have ended their requests.
    ServiceDrained(ServiceKey),
    /// The agent shuts down.
    Drain,
    /// Somebody asks for the state.
    Status(Sender<WorkerStatus>),
}

/// State of the worker side for `/status`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct WorkerStatus {
    capacity: ResourceVector,
    committed: ResourceVector,
    attempts: usize,
}

/// The worker side and its lanes.
pub(super) struct WorkerLoop {
    control: WorkerController,
    events: Receiver<WorkerEvent>,
    guard: Sender<GuardEvent>,
    polls: Sender<PollTask>,
    commands: Sender<WorkerCommand>,
}

impl WorkerLoop {
    pub(super) fn start(
        settings: &AgentSettings,
        identity: AgentIdentity,
        client: CallClient,
        events: Receiver<WorkerEvent>,
        sender: Sender<WorkerEvent>,
        guard: Sender<GuardEvent>,
    ) -> anyhow::Result<Self> {
        let worker = WorkerClient::new(settings.worker, settings.worker_timeout);
        let commands = command_lane::start(&worker, &sender)?;
        let polls = poll_lane::start(settings, client, worker, sender, guard.clone())?;
        let control = WorkerController::new(BootClock.now(), identity, settings.timing.clone());
        Ok(Self {
            control,
            events,
            guard,
            polls,
            commands,
        })
    }

    pub(super) fn run(mut self) {
        loop {
            let wait = self
                .control
                .next_wake()
                .map_or(IDLE_MAX, |wake| wake.saturating_since(BootClock.now()))
                .clamp(IDLE_MIN, IDLE_MAX);
            let input = match self.events.recv_timeout(wait) {
                Ok(WorkerEvent::Input(input)) => input,
                Ok(WorkerEvent::ServiceDrained(service)) => WorkerInput::ServiceDrained(service),
                Ok(WorkerEvent::Drain) => WorkerInput::Drain,
                Ok(WorkerEvent::Status(sender)) => {
                    // The asker may have stopped waiting.
                    let _ = sender.send(self.status());
                    continue;
                }
                Err(_) => WorkerInput::Tick,
            };
            for outcome in self.control.step(BootClock.now(), input) {
                self.apply(outcome);
            }
        }
    }

    /// Hands an outcome on; the receivers live as long as the process.
    fn apply(&self, outcome: WorkerOutcome) {
        match outcome {
            WorkerOutcome::List => {
                let _ = self.polls.send(PollTask::List);
            }
            WorkerOutcome::Poll(poll) => {
                let _ = self.polls.send(PollTask::Poll(poll));
            }
            WorkerOutcome::Command(command @ WorkerCommand::Renew { .. }) => {
                // Renewals do not wait behind a slow checkpoint.
                let _ = self.polls.send(PollTask::Command(command));
            }
            WorkerOutcome::Command(command) => {
                let _ = self.commands.send(command);
            }
            WorkerOutcome::DrainService(service) => {
                let _ = self
                    .guard
                    .send(GuardEvent::Input(GuardInput::DrainService(service)));
            }
            WorkerOutcome::ResumeService(service) => {
                let _ = self
                    .guard
                    .send(GuardEvent::Input(GuardInput::ResumeService(service)));
            }
            WorkerOutcome::Entries(directory) => {
                let _ = self.guard.send(GuardEvent::Entries(directory));
            }
        }
    }

    fn status(&self) -> WorkerStatus {
        WorkerStatus {
            capacity: self.control.ledger().capacity(),
            committed: self.control.ledger().committed(),
            attempts: self.control.attempt_count(),
        }
    }
}
