//! Thread of the request guard: turns calls and events into guard inputs, and performs the
//! guard's actions.
//!
//! The thread also announces the endpoints to the entries, at regular intervals and at once after
//! a change.

use std::time::Duration;

use flume::Receiver;
use flume::Selector;
use flume::Sender;
use indexmap::IndexMap;
use serde::Serialize;

use super::exchange_pool::ExchangeLimits;
use super::exchange_pool::ExchangePool;
use super::worker_loop::WorkerEvent;
use crate::announce::AnnouncementRound;
use crate::announce::AnnouncementSchedule;
use crate::guard::CallTicket;
use crate::guard::GuardAction;
use crate::guard::GuardInput;
use crate::guard::RequestGuard;
use crate::settings::AgentSettings;
use crate::worker::AgentIdentity;
use guavavane_contract::prelude::EndpointNotice;
use guavavane_contract::prelude::WorkerFacts;
use guavavane_daemon::prelude::MetricSink;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;
use guavavane_protocol::prelude::CallKind;
use guavavane_protocol::prelude::DispatchReply;
use guavavane_protocol::prelude::DispatchRequest;
use guavavane_protocol::prelude::EndpointAnnouncement;
use guavavane_protocol::prelude::EntryDirectory;
use guavavane_protocol::prelude::RemoteCall;
use guavavane_protocol::prelude::RequestAttempt;
use guavavane_protocol::prelude::RevokeReply;
use guavavane_protocol::prelude::RevokeRequest;
use guavavane_transport::prelude::CallClient;
use guavavane_transport::prelude::CallServer;
use guavavane_transport::prelude::IncomingCall;
use guavavane_transport::prelude::ReplySender;

/// Timeout for an entry's receipt of an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Minimum time of a drain, so that the entries learn that the endpoints are leaving.
const DRAIN_MIN: Duration = Duration::from_millis(300);

/// Maximum time that the thread waits for an event.
const IDLE_MAX: Duration = Duration::from_millis(500);

/// Events that the guard's thread handles.
#[derive(Debug)]
pub(super) enum GuardEvent {
    /// A call of an entry.
    Call(IncomingCall),
    /// Input for the guard.
    Input(GuardInput),
    /// An endpoint announced itself; the sender is notified once the guard has applied it.
    Notice(EndpointNotice, Sender<()>),
    /// Announce the endpoints to these entries from now on.
    Entries(EntryDirectory),
    /// Name and location of the worker.
    Facts(WorkerFacts),
    /// The agent shuts down.
    Drain,
    /// Send the state of the guard for `/status`.
    Status(Sender<GuardStatus>),
}

/// State of the guard for `/status`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct GuardStatus {
    incarnation: u64,
    draining: bool,
    endpoints: usize,
    outstanding: usize,
    recorded: usize,
    kept_answers: usize,
    entries: usize,
}

impl GuardStatus {
    pub(super) fn is_draining(&self) -> bool {
        self.draining
    }
}

/// A call that waits for its reply.
struct PendingReply {
    sender: ReplySender,
    attempt: RequestAttempt,
}

/// State of the guard's thread.
pub(super) struct GuardLoop {
    settings: AgentSettings,
    identity: AgentIdentity,
    server: CallServer,
    client: CallClient,
    events: Receiver<GuardEvent>,
    worker: Sender<WorkerEvent>,
    /// Gets the number of calls without a reply once the drain has ended.
    drained: Sender<usize>,
    metrics: MetricSink,
    guard: RequestGuard,
    schedule: AnnouncementSchedule,
    pool: ExchangePool,
    replies: IndexMap<CallTicket, PendingReply>,
    next_ticket: u64,
    facts: Option<WorkerFacts>,
    drain_since: Option<BootTime>,
}

impl GuardLoop {
    #[allow(clippy::too_many_arguments)]
    pub(super) fn new(
        settings: AgentSettings,
        identity: AgentIdentity,
        server: CallServer,
        client: CallClient,
        events: Receiver<GuardEvent>,
        sender: Sender<GuardEvent>,
        worker: Sender<WorkerEvent>,
        drained: Sender<usize>,
        metrics: MetricSink,
    ) -> Self {
        let limits = ExchangeLimits {
            linger: settings.linger,
            answer_max_bytes: settings.limits.answer_max_bytes,
        };
        Self {
            guard: RequestGuard::new(identity.incarnation, settings.limits.clone()),
            schedule: AnnouncementSchedule::new(BootClock.now(), settings.announce_interval),
            pool: ExchangePool::new(limits, sender),
            settings,
            identity,
            server,
            client,
            events,
            worker,
            drained,
            metrics,
            replies: IndexMap::new(),
            next_ticket: 0,
            facts: None,
            drain_since: None,
        }
    }

    pub(super) fn run(mut self) {
        loop {
            let event = self.next_event();
            let now = BootClock.now();
            match event {
                Some(event) => self.handle_event(now, event),
                None => self.step(now, GuardInput::Tick),
            }
            self.announce(now);
            if self.is_drained(now) {
                // The receiver may be gone.
                let _ = self.drained.send(self.replies.len());
                self.drain_since = None;
            }
        }
    }

    fn next_event(&self) -> Option<GuardEvent> {
        let now = BootClock.now();
        let due = self.schedule.next_due();
        let wake = self.guard.next_wake().map_or(due, |wake| wake.min(due));
        let wait = wake.saturating_since(now).min(IDLE_MAX);
        Selector::new()
            .recv(self.server.calls(), |call| call.ok().map(GuardEvent::Call))
            .recv(&self.events, Result::ok)
            .wait_timeout(wait)
            .ok()
            .flatten()
    }

    fn handle_event(&mut self, now: BootTime, event: GuardEvent) {
        match event {
            GuardEvent::Call(call) => self.handle_call(now, call),
            GuardEvent::Input(input) => self.step(now, input),
            GuardEvent::Notice(notice, applied) => {
                self.step(now, GuardInput::Notice(notice));
                // The HTTP listener may have stopped waiting.
                let _ = applied.send(());
            }
            GuardEvent::Entries(directory) => self.schedule.set_entries(now, directory),
            GuardEvent::Facts(facts) => self.update_facts(now, facts),
            GuardEvent::Drain => {
                self.drain_since = Some(now);
                self.step(now, GuardInput::Drain);
            }
            GuardEvent::Status(sender) => {
                // The HTTP listener may have stopped waiting for the status.
                let _ = sender.send(self.status(now));
            }
        }
    }

    fn update_facts(&mut self, now: BootTime, facts: WorkerFacts) {
        if self.facts.as_ref() != Some(&facts) {
            self.facts = Some(facts);
            self.schedule.announce_now(now);
        }
    }

    fn handle_call(&mut self, now: BootTime, call: IncomingCall) {
        let ticket = CallTicket(self.next_ticket);
        self.next_ticket += 1;
        let decoded = match call.kind {
            CallKind::Dispatch => call.decode::<DispatchRequest>().map(|request| {
                let attempt = request.attempt;
                (attempt, GuardInput::Dispatch { ticket, request })
            }),
            CallKind::Revoke => call.decode::<RevokeRequest>().map(|request| {
                let attempt = request.attempt;
                (attempt, GuardInput::Revoke { ticket, request })
            }),
            kind => {
                // Dropping the reply sender fails the call at the entry.
                tracing::warn!(event = "call_refused", ?kind, remote = %call.remote);
                return;
            }
        };
        match decoded {
            Ok((attempt, input)) => {
                let sender = call.reply;
                let pending = PendingReply { sender, attempt };
                self.replies.insert(ticket, pending);
                self.step(now, input);
            }
            Err(error) => tracing::warn!(event = "call_refused", remote = %call.remote, %error),
        }
    }

    fn step(&mut self, now: BootTime, input: GuardInput) {
        for action in self.guard.step(now, input) {
            self.apply(now, action);
        }
    }

    fn apply(&mut self, now: BootTime, action: GuardAction) {
        match action {
            GuardAction::Run(order) => {
                self.metrics.count("requests_run", 1);
                let running = self.guard.running();
                self.pool.run(order, running);
            }
            GuardAction::Reply { ticket, reply } => {
                self.metrics.count(reply_metric(&reply), 1);
                if let Some(pending) = self.replies.swap_remove(&ticket) {
                    log_reply(&pending.attempt, &reply);
                    send_reply::<DispatchRequest>(pending.sender, &reply);
                }
            }
            GuardAction::RevokeReply { ticket, reply } => {
                self.metrics.count("revocations", 1);
                if let Some(pending) = self.replies.swap_remove(&ticket) {
                    log_revocation(&pending.attempt, &reply);
                    send_reply::<RevokeRequest>(pending.sender, &reply);
                }
            }
            GuardAction::Announce => self.schedule.announce_now(now),
            GuardAction::ServiceDrained(service) => {
                // Can't fail: the worker's thread runs as long as this one.
                let _ = self.worker.send(WorkerEvent::ServiceDrained(service));
            }
        }
    }

    fn announce(&mut self, now: BootTime) {
        let Some(facts) = self.facts.clone() else {
            return;
        };
        let Some(round) = self.schedule.take_due(now) else {
            return;
        };
        let announcement = self.build_announcement(now, &facts, &round);
        for entry in &round.entries {
            // Receipts are ignored: the next announcement makes up for a lost one.
            drop(
                self.client
                    .call_async(*entry, &announcement, ANNOUNCE_TIMEOUT),
            );
        }
        self.metrics
            .gauge("outstanding", self.guard.outstanding() as u64);
    }

    fn build_announcement(
        &self,
        now: BootTime,
        facts: &WorkerFacts,
        round: &AnnouncementRound,
    ) -> EndpointAnnouncement {
        let expiry = self.settings.announce_expiry.as_millis();
        EndpointAnnouncement {
            worker: facts.worker.clone(),
            data_centre: facts.data_centre.clone(),
            rack: facts.rack.clone(),
            address: self.identity.address,
            incarnation: self.identity.incarnation,
            sequence: round.sequence,
            expiry_ms: u32::try_from(expiry).unwrap_or(u32::MAX),
            endpoints: self.guard.statuses(now),
        }
    }

    fn is_drained(&self, now: BootTime) -> bool {
        let drain_min_passed = self
            .drain_since
            .is_some_and(|since| now.saturating_since(since) >= DRAIN_MIN);
        drain_min_passed && self.guard.outstanding() == 0 && self.server.calls().is_empty()
    }

    fn status(&self, now: BootTime) -> GuardStatus {
        GuardStatus {
            incarnation: self.identity.incarnation.0,
            draining: self.drain_since.is_some(),
            endpoints: self.guard.statuses(now).len(),
            outstanding: self.guard.outstanding(),
            recorded: self.guard.recorded_attempts(),
            kept_answers: self.guard.kept_answers(),
            entries: self.schedule.entries().len(),
        }
    }
}

fn send_reply<C: RemoteCall>(sender: ReplySender, reply: &C::Reply) {
    if let Err(error) = sender.send::<C>(reply) {
        tracing::error!(event = "reply_failed", %error);
    }
}

/// Logs a reply: answers at debug level, refusals and unknown outcomes above it.
fn log_reply(attempt: &RequestAttempt, reply: &DispatchReply) {
    let (request, attempt) = (attempt.request, attempt.attempt);
    match reply {
        DispatchReply::Answered(answer) => {
            tracing::debug!(event = "request_answered", %request, attempt, status = answer.status);
        }
        DispatchReply::Refused(reason) => {
            tracing::info!(event = "request_refused", %request, attempt, ?reason);
        }
        DispatchReply::Unknown(reason) => {
            tracing::warn!(event = "request_unknown", %request, attempt, ?reason);
        }
    }
}

fn log_revocation(attempt: &RequestAttempt, reply: &RevokeReply) {
    let (request, attempt) = (attempt.request, attempt.attempt);
    let outcome = match reply {
        RevokeReply::NotRun => "not-run",
        RevokeReply::Answered(_) => "answered",
        RevokeReply::Unknown(_) => "unknown",
    };
    tracing::info!(event = "request_revoked", %request, attempt, outcome);
}

fn reply_metric(reply: &DispatchReply) -> &'static str {
    match reply {
        DispatchReply::Answered(_) => "requests_answered",
        DispatchReply::Refused(_) => "requests_refused",
        DispatchReply::Unknown(_) => "requests_unknown",
    }
}
