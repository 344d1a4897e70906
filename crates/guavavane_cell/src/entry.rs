//! Entry: takes callers' requests and passes them to the leader.
//!
//! The leader decides everything, also which queue a path belongs to, so an entry never acts
//! on an old configuration. A request that was sent and not answered is sent again to the
//! next leader: jobs are idempotent by their identity. If no answer comes in time, the reply
//! says whether the job may have been accepted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use indexmap::IndexMap;
use tokio::sync::oneshot;

use crate::leader_link::LeaderLink;
use crate::leader_link::LinkEvent;
use crate::message::CallerAction;
use crate::message::CallerReply;
pub use crate::message::CallerRequest;
use crate::message::FromControl;
use crate::message::ToControl;
use crate::metric;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;
use guavavane_transport::prelude::StreamSender;

/// Longest wait of a question while no leader is known: an election takes about as long.
const LEADERLESS_WAIT: Duration = Duration::from_millis(1_300);
/// Longest wait of a submission while no leader is known: an election is over by then, and for
/// a longer outage its caller does better to return.
const LEADERLESS_SUBMIT_WAIT: Duration = Duration::from_millis(600);
/// Longest part of a caller's own wait that passes without a leader, in percent.
const LEADERLESS_PERCENT: u32 = 40;
/// Time kept back from a caller's deadline to answer within it.
const ANSWER_MARGIN: Duration = Duration::from_millis(60);
/// Time between two looks for requests that are out of time.
const SWEEP_INTERVAL: Duration = Duration::from_millis(25);
/// Longest time between two looks when nothing waits.
const IDLE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Requests that may wait; more are refused at once.
const WAITING_MAX: usize = 4_096;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the VM.
    pub node: Arc<str>,
    /// Addresses of control processes.
    pub seeds: Vec<SocketAddr>,
}

enum EntryInput {
    Call {
        request: CallerRequest,
        deadline: BootTime,
        reply: oneshot::Sender<CallerReply>,
    },
    Ready(oneshot::Sender<bool>),
}

/// Handle of a running entry.
#[derive(Clone)]
pub struct EntryHandle {
    inputs: Sender<EntryInput>,
}

impl EntryHandle {
    /// Passes a request on and waits for its reply, at most for `wait`.
    pub async fn call(&self, request: CallerRequest, wait: Duration) -> CallerReply {
        let (reply, answer) = oneshot::channel();
        let wait = wait.saturating_sub(ANSWER_MARGIN);
        let input = EntryInput::Call {
            request,
            deadline: BootClock.now() + wait,
            reply,
        };
        if self.inputs.try_send(input).is_err() {
            return CallerReply::Unavailable;
        }
        answer.await.unwrap_or(CallerReply::Unknown)
    }

    /// Whether a leader serves this entry.
    pub async fn is_ready(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        self.inputs.try_send(EntryInput::Ready(reply)).is_ok() && answer.await.unwrap_or(false)
    }
}

struct WaitingCall {
    request: CallerRequest,
    arrived: BootTime,
    deadline: BootTime,
    reply: oneshot::Sender<CallerReply>,
    /// Sent on the current session.
    sent: bool,
    /// Sent on a session that ended without an answer.
    maybe_taken: bool,
}

impl WaitingCall {
    fn is_submission(&self) -> bool {
        matches!(self.request.action, CallerAction::Submit(_))
    }

    /// Longest wait while no leader is known: a caller that waits for little longer itself is
    /// told early enough to return.
    fn leaderless_wait(&self) -> Duration {
        let longest = if self.is_submission() && !self.maybe_taken {
            LEADERLESS_SUBMIT_WAIT
        } else {
            LEADERLESS_WAIT
        };
        let patience = self.deadline.saturating_since(self.arrived);
        longest.min(patience * LEADERLESS_PERCENT / 100)
    }

    fn answer(self, reply: CallerReply) {
        let denies = matches!(
            reply,
            CallerReply::Unavailable | CallerReply::Refused { .. }
        );
        let reply = if denies && self.maybe_taken && self.is_submission() {
            CallerReply::Unknown
        } else {
            reply
        };
        tracing::info!(
            event = "call_answered",
            path = %self.request.path,
            action = action_name(&self.request.action),
            ?reply,
            waited_ms = BootClock.now().saturating_since(self.arrived).as_millis() as u64,
        );
        let action = action_name(&self.request.action);
        metric::count(action, reply.name());
        metric::time(action, BootClock.now().saturating_since(self.arrived));
        // The caller has gone away.
        let _ = self.reply.send(reply);
    }
}

fn action_name(action: &CallerAction) -> &'static str {
    match action {
        CallerAction::Submit(_) => "submit",
        CallerAction::Query => "query",
        CallerAction::Cancel => "cancel",
    }
}

struct EntryLoop {
    session: Option<StreamSender<ToControl>>,
    session_lost_at: BootTime,
    waiting: IndexMap<u64, WaitingCall>,
    next_ticket: u64,
}

/// Starts an entry on the current runtime.
pub fn start_entry(settings: EntrySettings) -> EntryHandle {
    let (inputs, queue) = flume::bounded(WAITING_MAX);
    let (events, heard) = flume::unbounded();
    let hello = ToControl::EntryHello {
        node: settings.node,
    };
    tokio::spawn(LeaderLink::new(hello, settings.seeds, events).run());
    let entry = EntryLoop {
        session: None,
        session_lost_at: BootClock.now(),
        waiting: IndexMap::new(),
        next_ticket: 1,
    };
    tokio::spawn(entry.run(queue, heard));
    EntryHandle { inputs }
}

impl EntryLoop {
    async fn run(mut self, queue: Receiver<EntryInput>, heard: Receiver<LinkEvent>) {
        loop {
            let wait = if self.waiting.is_empty() {
                IDLE_INTERVAL
            } else {
                SWEEP_INTERVAL
            };
            tokio::select! {
                input = queue.recv_async() => match input {
                    Ok(input) => self.take_input(input),
                    Err(_) => return,
                },
                event = heard.recv_async() => match event {
                    Ok(event) => self.take_event(event),
                    Err(_) => return,
                },
                () = tokio::time::sleep(wait) => {}
            }
            self.sweep();
        }
    }

    fn take_input(&mut self, input: EntryInput) {
        match input {
            EntryInput::Ready(reply) => {
                // The one who asked has gone away.
                let _ = reply.send(self.session.is_some());
            }
            EntryInput::Call {
                request,
                deadline,
                reply,
            } => {
                let ticket = self.next_ticket;
                self.next_ticket += 1;
                let mut call = WaitingCall {
                    request,
                    arrived: BootClock.now(),
                    deadline,
                    reply,
                    sent: false,
                    maybe_taken: false,
                };
                if self.waiting.len() >= WAITING_MAX {
                    return call.answer(CallerReply::Unavailable);
                }
                if let Some(session) = &self.session {
                    send_call(session, ticket, &mut call);
                }
                self.waiting.insert(ticket, call);
            }
        }
    }

    fn take_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Opened(session) => {
                for (ticket, call) in &mut self.waiting {
                    send_call(&session, *ticket, call);
                }
                self.session = Some(session);
            }
            LinkEvent::Closed => {
                self.session = None;
                self.session_lost_at = BootClock.now();
                for call in self.waiting.values_mut() {
                    call.maybe_taken |= call.sent;
                    call.sent = false;
                }
            }
            LinkEvent::Message(FromControl::Reply { ticket, reply }) => {
                if let Some(call) = self.waiting.swap_remove(&ticket) {
                    call.answer(reply);
                }
            }
            LinkEvent::Pong { .. } | LinkEvent::Message(_) => {}
        }
    }

    /// Answers what is out of time.
    fn sweep(&mut self) {
        let now = BootClock.now();
        let leaderless = self.session.is_none();
        let lost_at = self.session_lost_at;
        let due = |call: &WaitingCall| {
            let since = call.arrived.max(lost_at);
            let waited = now.saturating_since(since);
            now >= call.deadline || leaderless && waited >= call.leaderless_wait()
        };
        let tickets: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, call)| due(call))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in tickets {
            let Some(call) = self.waiting.swap_remove(&ticket) else {
                continue;
            };
            let unknown = call.sent || call.maybe_taken;
            call.answer(if unknown {
                CallerReply::Unknown
            } else {
                CallerReply::Unavailable
            });
        }
    }
}

fn send_call(session: &StreamSender<ToControl>, ticket: u64, call: &mut WaitingCall) {
    let message = ToControl::Call {
        ticket,
        request: call.request.clone(),
    };
    call.sent = session.send(message);
}
