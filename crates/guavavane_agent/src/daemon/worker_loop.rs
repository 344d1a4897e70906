//! Thread of the worker controller: passes events to it and performs its actions.

use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use serde::Serialize;

use super::command_threads;
use super::guard_loop::GuardEvent;
use super::poll_thread;
use super::poll_thread::PollRequest;
use crate::guard::GuardInput;
use crate::guard::ServiceKey;
use crate::settings::AgentSettings;
use crate::worker::AgentIdentity;
use crate::worker::WorkerAction;
use crate::worker::WorkerCommand;
use crate::worker::WorkerController;
use crate::worker::WorkerInput;
use guavavane_contract::prelude::WorkerClient;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::ResourceVector;
use guavavane_transport::prelude::CallClient;

/// Maximum time that the thread waits for an event.
const IDLE_MAX: Duration = Duration::from_millis(1_000);

/// Minimum time that the thread waits: a start that waits for free capacity is always due, and
/// would otherwise keep the thread busy.
const IDLE_MIN: Duration = Duration::from_millis(5);

/// Events that the worker's thread handles.
#[derive(Debug)]
pub(super) enum WorkerEvent {
    /// Input for the worker controller.
    Input(WorkerInput),
    /// The endpoints of a service have finished their requests.
    ServiceDrained(ServiceKey),
    /// The agent shuts down.
    Drain,
    /// Send the state of the worker controller for `/status`.
    Status(Sender<WorkerStatus>),
}

/// State of the worker controller for `/status`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct WorkerStatus {
    capacity: ResourceVector,
    committed: ResourceVector,
    attempts: usize,
}

/// State of the worker's thread.
pub(super) struct WorkerLoop {
    controller: WorkerController,
    events: Receiver<WorkerEvent>,
    guard: Sender<GuardEvent>,
    polls: Sender<PollRequest>,
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
        let commands = command_threads::start(&worker, &sender)?;
        let polls = poll_thread::start(settings, client, worker, sender, guard.clone())?;
        let controller = WorkerController::new(BootClock.now(), identity, settings.timing.clone());
        Ok(Self {
            controller,
            events,
            guard,
            polls,
            commands,
        })
    }

    pub(super) fn run(mut self) {
        loop {
            let wait = self
                .controller
                .next_wake()
                .map_or(IDLE_MAX, |wake| wake.saturating_since(BootClock.now()))
                .clamp(IDLE_MIN, IDLE_MAX);
            let input = match self.events.recv_timeout(wait) {
                Ok(WorkerEvent::Input(input)) => input,
                Ok(WorkerEvent::ServiceDrained(service)) => WorkerInput::ServiceDrained(service),
                Ok(WorkerEvent::Drain) => WorkerInput::Drain,
                Ok(WorkerEvent::Status(sender)) => {
                    // The HTTP listener may have stopped waiting for the status.
                    let _ = sender.send(self.status());
                    continue;
                }
                Err(_) => WorkerInput::Tick,
            };
            for action in self.controller.step(BootClock.now(), input) {
                self.apply(action);
            }
        }
    }

    /// Performs an action; sending can't fail, as the receivers live as long as the process.
    fn apply(&self, action: WorkerAction) {
        match action {
            WorkerAction::List => {
                let _ = self.polls.send(PollRequest::List);
            }
            WorkerAction::Poll(poll) => {
                let _ = self.polls.send(PollRequest::Poll(poll));
            }
            WorkerAction::Command(command @ WorkerCommand::Renew { .. }) => {
                // Renewals must not wait for a slow checkpoint.
                let _ = self.polls.send(PollRequest::Command(command));
            }
            WorkerAction::Command(command) => {
                let _ = self.commands.send(command);
            }
            WorkerAction::DrainService(service) => {
                let _ = self
                    .guard
                    .send(GuardEvent::Input(GuardInput::DrainService(service)));
            }
            WorkerAction::ResumeService(service) => {
                let _ = self
                    .guard
                    .send(GuardEvent::Input(GuardInput::ResumeService(service)));
            }
            WorkerAction::Entries(directory) => {
                let _ = self.guard.send(GuardEvent::Entries(directory));
            }
        }
    }

    fn status(&self) -> WorkerStatus {
        WorkerStatus {
            capacity: self.controller.ledger().capacity(),
            committed: self.controller.ledger().committed(),
            attempts: self.controller.attempt_count(),
        }
    }
}
