//! Entry process: accepts callers' requests and forwards them to the leader.
//!
//! The leader makes every decision, including which queue a path belongs to, so an entry never
//! acts on an outdated configuration. A request whose session closed without a reply is sent
//! again to the next leader: jobs are idempotent by their identity. If no reply arrives in time,
//! the entry's reply says whether the job may have been accepted. [`LeaderContact`] decides which
//! requests are sent, held back or answered by the entry itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use indexmap::IndexMap;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::leader_client::LeaderClient;
use crate::leader_client::SessionEvent;
use crate::leader_contact::CallDecision;
use crate::leader_contact::CallFacts;
use crate::leader_contact::CallKind;
use crate::leader_contact::LeaderContact;
use crate::message::CallerAction;
use crate::message::CallerReply;
pub use crate::message::CallerRequest;
use crate::message::FromControl;
use crate::message::RequestLimits;
use crate::message::ToControl;
use crate::metric;
use crate::seeds::SeedAddresses;
use guavavane_jobs::prelude::JobFault;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;
use guavavane_transport::prelude::CallCharge;
use guavavane_transport::prelude::IntakeGate;
use guavavane_transport::prelude::StreamSender;

/// Time before a caller's deadline at which its reply is due.
const REPLY_MARGIN: Duration = Duration::from_millis(60);
/// Time between two checks of the pending calls.
const CALL_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Longest time between two checks while no call is pending.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Capacity for pending calls; further ones are rejected at once.
const PENDING_CALLS_MAX: usize = 4_096;
/// Longest wait for a reply, whatever a caller asks for.
const CALL_WAIT_MAX: Duration = Duration::from_secs(60);
/// Factor from the memory of a request to the charge of its call: the message with it has about the same
/// size until it is sent.
const CALL_CHARGE_FACTOR: usize = 2;
/// Retry delay of a call that the entry has no room for.
const OVERLOAD_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the VM that the entry runs on.
    pub node: Arc<str>,
    /// Addresses of control processes to contact first.
    pub seeds: Vec<SocketAddr>,
}

/// Reply to a caller, and what the entry itself knows about a retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryReply {
    /// Reply of the leader, or of the entry in its place.
    pub reply: CallerReply,
    /// Delay before a retry after [`CallerReply::Unavailable`].
    pub retry_delay: Duration,
}

/// Inputs of the event loop.
enum EntryInput {
    Call {
        request: CallerRequest,
        charge: CallCharge,
        deadline: BootTime,
        reply: oneshot::Sender<EntryReply>,
    },
    ReadinessQuery(oneshot::Sender<bool>),
}

/// Handle to a running entry; clones share the entry.
#[derive(Clone)]
pub struct EntryHandle {
    inputs: Sender<EntryInput>,
    seeds: SeedAddresses,
    limits: watch::Receiver<Option<RequestLimits>>,
}

impl EntryHandle {
    /// Replaces the addresses of control processes to contact first.
    pub fn replace_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds.replace(seeds);
    }

    /// Forwards a request to the leader and returns its reply, within `wait`.
    pub async fn call(&self, request: CallerRequest, wait: Duration) -> CallerReply {
        self.call_with_retry_delay(request, wait).await.reply
    }

    /// Forwards a request to the leader and returns its reply, within `wait`, with the delay after which
    /// the caller may retry.
    pub async fn call_with_retry_delay(
        &self,
        request: CallerRequest,
        wait: Duration,
    ) -> EntryReply {
        if let Err(fault) = validate_action(&request.action) {
            return own_reply(CallerReply::Invalid(fault.to_string()));
        }
        let charge_bytes = request.memory_bytes() * CALL_CHARGE_FACTOR;
        let Ok(charge) = IntakeGate::of_process().begin_call(charge_bytes) else {
            return own_reply(CallerReply::Unavailable);
        };
        let (reply, answer) = oneshot::channel();
        let wait = wait.min(CALL_WAIT_MAX).saturating_sub(REPLY_MARGIN);
        let input = EntryInput::Call {
            request,
            charge,
            deadline: BootClock.now() + wait,
            reply,
        };
        if self.inputs.try_send(input).is_err() {
            return own_reply(CallerReply::Unavailable);
        }
        let reply = answer.await;
        reply.unwrap_or_else(|_| own_reply(CallerReply::Unknown))
    }

    /// Limits on callers' requests that a leader has sent most recently, and their changes; none until a
    /// leader with a configuration has sent them.
    pub fn limits(&self) -> watch::Receiver<Option<RequestLimits>> {
        self.limits.clone()
    }

    /// Whether the entry has a session with a leader.
    pub async fn is_ready(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        self.inputs
            .try_send(EntryInput::ReadinessQuery(reply))
            .is_ok()
            && answer.await.unwrap_or(false)
    }
}

/// Checks what the leader would refuse in any case.
fn validate_action(action: &CallerAction) -> Result<(), JobFault> {
    match action {
        CallerAction::Submit(job) => job.validate(),
        CallerAction::Query | CallerAction::Cancel => Ok(()),
    }
}

/// Reply of the entry itself, with the delay for a lack of room.
fn own_reply(reply: CallerReply) -> EntryReply {
    EntryReply {
        reply,
        retry_delay: OVERLOAD_RETRY_DELAY,
    }
}

/// Request of a caller that has no reply yet.
struct PendingCall {
    request: CallerRequest,
    /// Charge of the request, taken back with the call.
    _charge: CallCharge,
    arrived_at: BootTime,
    deadline: BootTime,
    reply: oneshot::Sender<EntryReply>,
    /// Time at which the call was sent on the current session.
    sent_at: Option<BootTime>,
    /// Whether the call was sent on a session that closed without a reply.
    maybe_accepted: bool,
}

impl PendingCall {
    fn facts(&self) -> CallFacts {
        CallFacts {
            kind: match self.request.action {
                CallerAction::Submit(_) => CallKind::Submission,
                CallerAction::Query => CallKind::Query,
                CallerAction::Cancel => CallKind::Cancellation,
            },
            arrived_at: self.arrived_at,
            deadline: self.deadline,
            is_sent: self.sent_at.is_some(),
            was_sent_before: self.maybe_accepted,
        }
    }

    /// Sends the reply. A rejection becomes `Unknown` if the call was sent on an earlier session and may
    /// have had its effect there.
    fn answer(self, reply: CallerReply, contact: &LeaderContact, now: BootTime) {
        let has_effect = self.facts().kind != CallKind::Query;
        let is_rejection = matches!(
            reply,
            CallerReply::Unavailable | CallerReply::Refused { .. }
        );
        let reply = if is_rejection && self.maybe_accepted && has_effect {
            CallerReply::Unknown
        } else {
            reply
        };
        let waited = now.saturating_since(self.arrived_at);
        let retry_delay = contact.retry_delay(now);
        let action = action_name(&self.request.action);
        tracing::info!(
            event = "call_answered",
            path = %self.request.path,
            action,
            ?reply,
            waited_ms = waited.as_millis() as u64,
            sent = self.sent_at.is_some() || self.maybe_accepted,
            contact = contact.phase().name(),
            absent_ms = contact.absence(now).as_millis() as u64,
        );
        metric::count_event(action, reply.name());
        metric::observe_duration(action, waited);
        // Sending fails only if the caller has disconnected.
        let _ = self.reply.send(EntryReply { reply, retry_delay });
    }
}

fn action_name(action: &CallerAction) -> &'static str {
    match action {
        CallerAction::Submit(_) => "submit",
        CallerAction::Query => "query",
        CallerAction::Cancel => "cancel",
    }
}

/// Event loop of an entry.
struct EntryLoop {
    session: Option<StreamSender<ToControl>>,
    contact: LeaderContact,
    pending_calls: IndexMap<u64, PendingCall>,
    /// Sending times of calls on the current session whose callers have left. Their replies show, as
    /// others do, that the leader answers.
    abandoned_calls: IndexMap<u64, BootTime>,
    next_call_id: u64,
    /// Time from which all pending calls are checked again.
    next_check: BootTime,
    limits: watch::Sender<Option<RequestLimits>>,
    /// Number of the request with which the entry has asked the current leader for the limits.
    limits_call: Option<u64>,
}

/// Starts an entry on the current runtime.
pub fn start_entry(settings: EntrySettings) -> EntryHandle {
    let (inputs, queue) = flume::bounded(PENDING_CALLS_MAX);
    let (events, session_events) = flume::unbounded();
    let hello = ToControl::EntryHello {
        node: settings.node,
    };
    let seeds = SeedAddresses::new(settings.seeds);
    let client = LeaderClient::new(hello, seeds.clone(), events);
    tokio::spawn(client.with_ping_events().run());
    let (limits_sender, limits) = watch::channel(None);
    let now = BootClock.now();
    let entry = EntryLoop {
        session: None,
        contact: LeaderContact::new(now),
        pending_calls: IndexMap::new(),
        abandoned_calls: IndexMap::new(),
        next_call_id: 1,
        next_check: now,
        limits: limits_sender,
        limits_call: None,
    };
    tokio::spawn(entry.run(queue, session_events));
    EntryHandle {
        inputs,
        seeds,
        limits,
    }
}

impl EntryLoop {
    async fn run(mut self, queue: Receiver<EntryInput>, session_events: Receiver<SessionEvent>) {
        loop {
            let wait = if self.pending_calls.is_empty() {
                IDLE_CHECK_INTERVAL
            } else {
                CALL_CHECK_INTERVAL
            };
            tokio::select! {
                // Session events come first, so that decisions about calls use the latest answers.
                biased;
                event = session_events.recv_async() => match event {
                    Ok(event) => self.handle_session_event(event),
                    Err(_) => return,
                },
                input = queue.recv_async() => match input {
                    Ok(input) => self.handle_input(input),
                    Err(_) => return,
                },
                () = tokio::time::sleep(wait) => {}
            }
            self.advance_calls();
        }
    }

    fn handle_input(&mut self, input: EntryInput) {
        match input {
            EntryInput::ReadinessQuery(reply) => {
                // Sending fails only if the caller of `is_ready` is gone.
                let _ = reply.send(self.session.is_some());
            }
            EntryInput::Call {
                request,
                charge,
                deadline,
                reply,
            } => {
                let call_id = self.next_call_id;
                self.next_call_id += 1;
                let now = BootClock.now();
                let call = PendingCall {
                    request,
                    _charge: charge,
                    arrived_at: now,
                    deadline,
                    reply,
                    sent_at: None,
                    maybe_accepted: false,
                };
                if call.request.is_for_limits() {
                    // Only the entry itself asks for the limits, never a caller.
                    return call.answer(CallerReply::NoQueue, &self.contact, now);
                }
                if self.pending_calls.len() >= PENDING_CALLS_MAX {
                    return call.answer(CallerReply::Unavailable, &self.contact, now);
                }
                self.pending_calls.insert(call_id, call);
                self.observe_contact(now);
                self.advance_call(call_id, now);
            }
        }
    }

    fn handle_session_event(&mut self, event: SessionEvent) {
        let now = BootClock.now();
        match event {
            SessionEvent::Opened(session) => {
                let absent_ms = self.contact.absence(now).as_millis() as u64;
                self.contact.record_opened(now);
                self.ask_for_limits(&session);
                self.session = Some(session);
                self.report_contact(absent_ms);
            }
            SessionEvent::Closed => {
                self.session = None;
                self.abandoned_calls.clear();
                self.contact.record_closed(now);
                for call in self.pending_calls.values_mut() {
                    call.maybe_accepted |= call.sent_at.take().is_some();
                }
                self.report_contact(self.contact.absence(now).as_millis() as u64);
            }
            SessionEvent::PingSent { sent_at } => self.contact.record_sent(sent_at),
            SessionEvent::Pong { sent_at, .. } => self.contact.record_pong(sent_at, now),
            SessionEvent::Message(FromControl::Reply { call_id, reply })
                if self.limits_call == Some(call_id) =>
            {
                self.apply_limits(&reply);
            }
            SessionEvent::Message(FromControl::Reply { call_id, reply }) => {
                if let Some(sent_at) = self.abandoned_calls.swap_remove(&call_id) {
                    self.contact.record_reply(sent_at);
                }
                if let Some(call) = self.pending_calls.swap_remove(&call_id) {
                    if let Some(sent_at) = call.sent_at {
                        self.contact.record_reply(sent_at);
                    }
                    call.answer(reply, &self.contact, now);
                }
            }
            SessionEvent::Message(_) => {}
        }
    }

    /// Asks the leader of a new session for the limits on callers' requests. An older leader answers that
    /// it knows no such queue.
    fn ask_for_limits(&mut self, session: &StreamSender<ToControl>) {
        let call_id = self.next_call_id;
        self.next_call_id += 1;
        self.limits_call = Some(call_id);
        // If the session is already closed, the limits in force stay and the next leader is asked.
        session.send(ToControl::Call {
            call_id,
            request: CallerRequest::for_limits(),
        });
    }

    /// Applies the limits of the leader. Any other reply means that the leader has no configuration yet or
    /// is of an earlier version, so the limits in force stay.
    fn apply_limits(&self, reply: &CallerReply) {
        let CallerReply::Limits(limits) = *reply else {
            tracing::info!(event = "limits_not_known", reply = reply.name());
            return;
        };
        let has_changed = self.limits.send_if_modified(|current| {
            let has_changed = *current != Some(limits);
            *current = Some(limits);
            has_changed
        });
        if has_changed {
            tracing::info!(event = "limits_changed", ?limits);
        }
    }

    /// Updates the contact with the leader and logs a change.
    fn observe_contact(&mut self, now: BootTime) {
        let absent_ms = self.contact.absence(now).as_millis() as u64;
        if self.contact.observe(now) {
            let absent_ms = absent_ms.max(self.contact.absence(now).as_millis() as u64);
            self.report_contact(absent_ms);
        }
    }

    /// Logs a change of the contact with the leader, and makes the check of all pending calls due.
    fn report_contact(&mut self, absent_ms: u64) {
        let phase = self.contact.phase().name();
        metric::count_event("leader_contact", phase);
        tracing::info!(
            event = "leader_contact",
            phase,
            absent_ms,
            threshold_ms = self.contact.late_threshold().as_millis() as u64,
            pending_calls = self.pending_calls.len(),
        );
        self.next_check = BootTime::default();
    }

    /// Decides about all pending calls, if the contact has changed or [`CALL_CHECK_INTERVAL`] has passed.
    fn advance_calls(&mut self) {
        let now = BootClock.now();
        self.observe_contact(now);
        if now < self.next_check {
            return;
        }
        self.next_check = now + CALL_CHECK_INTERVAL;
        self.drop_abandoned_calls();
        let call_ids: Vec<u64> = self.pending_calls.keys().copied().collect();
        for call_id in call_ids {
            self.advance_call(call_id, now);
        }
        if let Some(session) = &self.session {
            if self.contact.is_probe_due(now) && session.send(ToControl::Ping { sent_at: now }) {
                self.contact.record_probe(now);
            }
        }
    }

    /// Drops the calls whose callers have closed their connections. One that was sent may still have its
    /// effect.
    fn drop_abandoned_calls(&mut self) {
        if self.abandoned_calls.len() >= PENDING_CALLS_MAX {
            // The replies to pings show as well that the leader answers.
            self.abandoned_calls.clear();
        }
        let abandoned_calls = &mut self.abandoned_calls;
        self.pending_calls.retain(|call_id, call| {
            if !call.reply.is_closed() {
                return true;
            }
            metric::count_event(action_name(&call.request.action), "abandoned");
            abandoned_calls.extend(call.sent_at.map(|sent_at| (*call_id, sent_at)));
            false
        });
    }

    /// Sends a call, keeps it or answers it, as [`LeaderContact::decide`] says.
    fn advance_call(&mut self, call_id: u64, now: BootTime) {
        let Some(call) = self.pending_calls.get_mut(&call_id) else {
            return;
        };
        let reply = match self.contact.decide(&call.facts(), now) {
            CallDecision::Hold => return,
            CallDecision::Send => {
                let message = ToControl::Call {
                    call_id,
                    request: call.request.clone(),
                };
                let session = self.session.as_ref();
                if session.is_some_and(|session| session.send(message)) {
                    call.sent_at = Some(now);
                    self.contact.record_sent(now);
                }
                return;
            }
            CallDecision::Refuse => CallerReply::Unavailable,
            CallDecision::Unknown => CallerReply::Unknown,
        };
        if let Some(call) = self.pending_calls.swap_remove(&call_id) {
            call.answer(reply, &self.contact, now);
        }
    }
}
