//! Thread that lists the worker, polls the control leader and renews leases.

use std::time::Duration;

use flume::Receiver;
use flume::Sender;

use super::command_threads::send_command;
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

/// Requests to the poll thread, handled in order.
#[derive(Debug)]
pub(super) enum PollRequest {
    /// List the worker.
    List,
    /// Poll the control leader.
    Poll(WorkerPoll),
    /// Send a command that must not wait for other commands.
    Command(WorkerCommand),
}

/// State of the poll thread.
struct PollThread {
    client: CallClient,
    worker: WorkerClient,
    guard: Sender<GuardEvent>,
    route: ControlRoute,
    timeout: Duration,
}

/// Starts the thread; returns the channel for requests.
pub(super) fn start(
    settings: &AgentSettings,
    client: CallClient,
    worker: WorkerClient,
    events: Sender<WorkerEvent>,
    guard: Sender<GuardEvent>,
) -> anyhow::Result<Sender<PollRequest>> {
    let (sender, requests) = flume::unbounded();
    let poll_thread = PollThread {
        client,
        worker,
        guard,
        route: ControlRoute::new(settings.control.clone()),
        timeout: settings.poll_timeout,
    };
    spawn("poll", move || poll_thread.run(&requests, &events))?;
    Ok(sender)
}

impl PollThread {
    fn run(mut self, requests: &Receiver<PollRequest>, events: &Sender<WorkerEvent>) {
        while let Ok(request) = requests.recv() {
            let input = match request {
                PollRequest::List => self.list(),
                PollRequest::Poll(poll) => self.poll(&poll),
                PollRequest::Command(command) => {
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
        match self.read_listing() {
            Ok(listing) => {
                // Can't fail: the guard's thread runs as long as this one.
                let _ = self.guard.send(GuardEvent::Facts(listing.facts.clone()));
                WorkerInput::Listed(listing)
            }
            Err(error) => {
                tracing::warn!(event = "worker_silent", %error);
                WorkerInput::ListFailed
            }
        }
    }

    fn read_listing(&self) -> Result<WorkerListing, ClientError> {
        let facts = self.worker.worker_info()?;
        let requested_at = BootClock.now();
        let list = self.worker.list_attempts()?;
        let received_at = BootClock.now();
        Ok(WorkerListing {
            requested_at,
            received_at,
            facts,
            list,
        })
    }

    /// Polls one control replica after the other until the leader answers.
    fn poll(&mut self, poll: &WorkerPoll) -> WorkerInput {
        let sequence = poll.sequence;
        for _ in 0..self.route.requests_max() {
            let replica = self.route.current();
            let sent_at = BootClock.now();
            match self.client.call(replica, poll, self.timeout) {
                Ok(WorkerPollReply::Orders(orders)) => {
                    self.route.confirm_leader();
                    return WorkerInput::Polled {
                        sequence,
                        sent_at,
                        orders,
                    };
                }
                Ok(WorkerPollReply::Refused(ControlRefusal::NotLeader { leader })) => {
                    self.route.follow_redirect(leader);
                }
                Ok(WorkerPollReply::Refused(refusal)) => {
                    tracing::debug!(event = "poll_refused", %replica, ?refusal);
                    self.route.skip_current();
                }
                Err(error) => {
                    tracing::debug!(event = "poll_failed", %replica, %error);
                    self.route.skip_current();
                }
            }
        }
        tracing::warn!(event = "no_leader", sequence);
        WorkerInput::PollFailed { sequence }
    }
}
