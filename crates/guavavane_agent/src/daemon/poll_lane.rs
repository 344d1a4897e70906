//! Thread that lists the worker, polls the control leader and renews leases.

use std::time::Duration;

use flume::Receiver;
use flume::Sender;

use super::command_lane::send_command;
use super::guard_loop::GuardEvent;
use super::spawn;
use super::worker_loop::WorkerEvent;
use crate::route::ControlRoute;
use crate::settings::AgentSettings;
use crate::worker::WorkerCommand;
use crate::worker::WorkerInput;
use crate::worker::WorkerListing;
use guavavane_contract::prelude::ClientError;
use guavavane_contract::prelude::WorkerClient;
use guavavane_model::prelude::BootClock;
use guavavane_protocol::prelude::ControlRefusal;
use guavavane_protocol::prelude::WorkerPoll;
use guavavane_protocol::prelude::WorkerPollReply;
use guavavane_transport::prelude::CallClient;

/// What the lane does, one after the other.
#[derive(Debug)]
pub(super) enum PollTask {
    /// Lists the worker.
    List,
    /// Polls the leader.
    Poll(WorkerPoll),
    /// Sends a command that must not wait behind others.
    Command(WorkerCommand),
}

struct PollLane {
    client: CallClient,
    worker: WorkerClient,
    guard: Sender<GuardEvent>,
    route: ControlRoute,
    timeout: Duration,
}

/// Starts the lane; tasks go into the returned channel.
pub(super) fn start(
    settings: &AgentSettings,
    client: CallClient,
    worker: WorkerClient,
    events: Sender<WorkerEvent>,
    guard: Sender<GuardEvent>,
) -> anyhow::Result<Sender<PollTask>> {
    let (sender, tasks) = flume::unbounded();
    let lane = PollLane {
        client,
        worker,
        guard,
        route: ControlRoute::new(settings.control.clone()),
        timeout: settings.poll_timeout,
    };
    spawn("poll", move || lane.run(&tasks, &events))?;
    Ok(sender)
}

impl PollLane {
    fn run(mut self, tasks: &Receiver<PollTask>, events: &Sender<WorkerEvent>) {
        while let Ok(task) = tasks.recv() {
            let input = match task {
                PollTask::List => self.list(),
                PollTask::Poll(poll) => self.poll(&poll),
                PollTask::Command(command) => {
                    let result = send_command(&self.worker, &command);
                    WorkerInput::CommandDone { command, result }
                }
            };
            if events.send(WorkerEvent::Input(input)).is_err() {
                return;
            }
        }
    }

    fn list(&self) -> WorkerInput {
        match self.read_worker() {
            Ok(listing) => {
                // The guard's thread lives as long as this one.
                let _ = self.guard.send(GuardEvent::Facts(listing.facts.clone()));
                WorkerInput::Listed(listing)
            }
            Err(error) => {
                tracing::warn!(event = "worker_silent", %error);
                WorkerInput::ListFailed
            }
        }
    }

    fn read_worker(&self) -> Result<WorkerListing, ClientError> {
        let facts = self.worker.facts()?;
        let requested_at = BootClock.now();
        let list = self.worker.attempts()?;
        let received_at = BootClock.now();
        Ok(WorkerListing {
            requested_at,
            received_at,
            facts,
            list,
        })
    }

    /// Asks one replica after the other until a leader answers.
    fn poll(&mut self, poll: &WorkerPoll) -> WorkerInput {
        let sequence = poll.sequence;
        for _ in 0..self.route.hops_max() {
            let replica = self.route.current();
            let sent = BootClock.now();
            match self.client.call(replica, poll, self.timeout) {
                Ok(WorkerPollReply::Orders(orders)) => {
                    self.route.confirm();
                    return WorkerInput::Polled {
                        sequence,
                        sent,
                        orders,
                    };
                }
                Ok(WorkerPollReply::Refused(ControlRefusal::NotLeader { leader })) => {
                    self.route.redirect(leader);
                }
                Ok(WorkerPollReply::Refused(refusal)) => {
                    tracing::debug!(event = "poll_refused", %replica, ?refusal);
                    self.route.pass_by();
                }
                Err(error) => {
                    tracing::debug!(event = "poll_failed", %replica, %error);
                    self.route.pass_by();
                }
            }
        }
        tracing::warn!(event = "no_leader", sequence);
        WorkerInput::PollFailed { sequence }
    }
}
