//! Threads that send the worker controller's commands to the worker.

use flume::Receiver;
use flume::Sender;

use super::spawn;
use super::worker_loop::WorkerEvent;
use crate::worker::CommandResult;
use crate::worker::WorkerCommand;
use crate::worker::WorkerInput;
use guavavane_contract::prelude::ClientError;
use guavavane_contract::prelude::OrderAnswer;
use guavavane_contract::prelude::WorkerClient;
use guavavane_model::prelude::BootClock;

/// Number of command threads; more than one, so that a slow checkpoint does not delay starts.
const COMMAND_THREADS: usize = 3;

/// Starts the threads; returns the channel for commands.
pub(super) fn start(
    client: &WorkerClient,
    events: &Sender<WorkerEvent>,
) -> anyhow::Result<Sender<WorkerCommand>> {
    let (sender, commands) = flume::unbounded();
    for _ in 0..COMMAND_THREADS {
        let client = client.clone();
        let commands = commands.clone();
        let events = events.clone();
        spawn("command", move || {
            run_command_loop(&client, &commands, &events)
        })?;
    }
    Ok(sender)
}

fn run_command_loop(
    client: &WorkerClient,
    commands: &Receiver<WorkerCommand>,
    events: &Sender<WorkerEvent>,
) {
    while let Ok(command) = commands.recv() {
        let result = send_command(client, &command);
        let input = WorkerInput::CommandDone { command, result };
        if events.send(WorkerEvent::Input(input)).is_err() {
            return;
        }
    }
}

/// Sends a command to the worker, unless it is no longer valid.
pub(super) fn send_command(client: &WorkerClient, command: &WorkerCommand) -> CommandResult {
    if !command.is_valid(BootClock.now()) {
        return CommandResult::NotSent;
    }
    let answer = match command {
        WorkerCommand::Start { order, .. } => client.start_attempt(order),
        WorkerCommand::Renew { order, .. } => client.renew_leases(order),
        WorkerCommand::Throttle(order) => client.throttle_attempt(order),
        WorkerCommand::Checkpoint(key) => client.checkpoint_attempt(key),
        WorkerCommand::Stop(key) => client.stop_attempt(key),
        WorkerCommand::Forget(key) => client.forget_attempt(key),
    };
    command_result(command, answer)
}

fn command_result(
    command: &WorkerCommand,
    answer: Result<OrderAnswer, ClientError>,
) -> CommandResult {
    match answer {
        Ok(answer) => CommandResult::Answered(answer),
        Err(error) => {
            tracing::warn!(event = "command_failed", ?command, %error);
            CommandResult::Unknown
        }
    }
}
