//! Simulation of entries, agents and control on a network that loses, duplicates, delays and
//! reorders messages.
//!
//! Each agent counts its runs of each request; the invariants are checked against these counts.

#![allow(dead_code, unreachable_pub)]

mod agent;
mod claims;

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::simulation::agent::FakeAgent;
use crate::simulation::claims::FakeControl;
use guavavane_model::prelude::*;
use guavavane_protocol::prelude::*;
use guavavane_routing::prelude::*;

pub const ENTRY_COUNT: usize = 2;
pub const AGENT_COUNT: usize = 3;
const REQUEST_TIMEOUT_MS: u64 = 1_000;

/// How often a request may run: at most once, repeatedly, or at most once for its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    Plain,
    Idempotent,
    Keyed(u8),
}

#[derive(Clone, Debug)]
enum Message {
    Dispatch(Box<DispatchRequest>),
    DispatchReply(RequestAttempt, DispatchReply),
    Revoke(RequestId, DispatchTarget, RevokeRequest),
    RevokeReply(RequestId, RevokeReply),
    Claim(ClaimTag, Box<ClaimRequest>),
    ClaimReply(ClaimTag, Option<ClaimReply>),
}

#[derive(Clone, Debug)]
struct Packet {
    entry: IncarnationId,
    call: u64,
    message: Message,
    /// Whether a copy has been delivered.
    delivered: bool,
}

#[derive(Clone, Debug)]
struct OpenCall {
    entry: IncarnationId,
    ends_at: BootTime,
    failure: RouterInput,
}

pub struct Entry {
    pub incarnation: IncarnationId,
    pub router: RequestRouter,
    pub submitted: u32,
    sequence: u64,
}

pub struct Simulation {
    pub now: BootTime,
    pub settings: RoutingSettings,
    pub entries: Vec<Entry>,
    pub agents: Vec<FakeAgent>,
    pub control: FakeControl,
    pub kinds: IndexMap<RequestId, RequestKind>,
    pub results: IndexMap<RequestId, RequestResult>,
    /// Dispatched attempts, and whether each is proven not to have run.
    attempts: IndexMap<RequestAttempt, bool>,
    first_answers: IndexMap<u8, HttpResponse>,
    network: Vec<Packet>,
    calls: IndexMap<u64, OpenCall>,
    next_call: u64,
}

pub fn service() -> ServiceKey {
    ServiceKey {
        environment: EnvironmentName::try_from("production").unwrap(),
        service: ServiceName::try_from("despacho").unwrap(),
    }
}

pub fn settings() -> RoutingSettings {
    let mut settings = RoutingSettings::new(DataCentreName::try_from("dc-0").unwrap(), 7);
    settings.budget_tokens_max = 2;
    settings.claim_backoff = Duration::from_millis(50);
    settings
}

pub fn key_of(kind: &RequestKind, id: RequestId) -> String {
    match kind {
        RequestKind::Keyed(key) => format!("key-{key}"),
        _ => id.to_string(),
    }
}

impl Simulation {
    pub fn new() -> Self {
        let mut simulation = Self {
            now: BootTime::from_millis(1_000),
            settings: settings(),
            entries: Vec::new(),
            agents: (0..AGENT_COUNT).map(FakeAgent::new).collect(),
            control: FakeControl::default(),
            kinds: IndexMap::new(),
            results: IndexMap::new(),
            attempts: IndexMap::new(),
            first_answers: IndexMap::new(),
            network: Vec::new(),
            calls: IndexMap::new(),
            next_call: 0,
        };
        for index in 0..ENTRY_COUNT {
            let entry = simulation.create_entry(index as u64 + 1);
            simulation.entries.push(entry);
        }
        for agent in 0..AGENT_COUNT {
            simulation.announce(agent);
        }
        simulation
    }

    fn create_entry(&self, incarnation: u64) -> Entry {
        Entry {
            incarnation: IncarnationId(incarnation),
            router: RequestRouter::new(self.settings.clone()),
            submitted: 0,
            sequence: 0,
        }
    }

    /// Applies one generated action.
    pub fn apply_action(&mut self, [action, argument]: [u8; 2]) {
        let pick = usize::from(argument);
        match action {
            0..=39 => self.submit(pick % ENTRY_COUNT, argument / 4),
            40..=139 => self.deliver_picked(pick, false),
            140..=159 => self.deliver_picked(pick, true),
            160..=174 => self.drop_packet(pick),
            175..=204 => {
                self.complete_oldest(pick % AGENT_COUNT, !(pick / AGENT_COUNT).is_multiple_of(8))
            }
            205..=234 => self.advance(u64::from(argument) + 1),
            235..=239 => self.restart_agent(pick % AGENT_COUNT),
            240..=242 => self.restart_entry(pick % ENTRY_COUNT),
            243..=246 => self.toggle_leaving(pick % AGENT_COUNT),
            247..=250 => self.control.is_down = pick.is_multiple_of(4),
            251..=255 => self.announce(pick % AGENT_COUNT),
        }
    }

    pub fn submit(&mut self, entry: usize, choice: u8) {
        let kind = match choice % 4 {
            0 => RequestKind::Plain,
            1 => RequestKind::Idempotent,
            _ => RequestKind::Keyed(choice / 4 % 3),
        };
        self.submit_kind(entry, kind);
    }

    pub fn submit_kind(&mut self, entry: usize, kind: RequestKind) -> RequestId {
        self.entries[entry].sequence += 1;
        self.entries[entry].submitted += 1;
        let id = RequestId {
            entry: self.entries[entry].incarnation,
            sequence: self.entries[entry].sequence,
        };
        let claim = matches!(kind, RequestKind::Keyed(_)).then(|| ClaimIntent {
            key: key_of(&kind, id).into(),
            digest: 1,
        });
        let request = CallerRequest {
            id,
            service: service(),
            method: "POST".to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            body: key_of(&kind, id).into_bytes(),
            deadline: self.now + Duration::from_millis(REQUEST_TIMEOUT_MS),
            idempotent: kind == RequestKind::Idempotent,
            may_hedge: true,
            claim,
        };
        self.kinds.insert(id, kind);
        self.step_entry(entry, RouterInput::Request(Box::new(request)));
        id
    }

    fn step_entry(&mut self, entry: usize, input: RouterInput) {
        let incarnation = self.entries[entry].incarnation;
        for action in self.entries[entry].router.step(self.now, input) {
            match action {
                RouterAction::Dispatch { call, timeout } => {
                    self.record_dispatch(entry, &call);
                    let failure = RouterInput::Reply(call.attempt, AttemptResult::NoReply);
                    self.send_call(incarnation, Message::Dispatch(call), timeout, failure);
                }
                RouterAction::Claim { tag, call, timeout } => {
                    let failure = RouterInput::Claim(tag, None);
                    self.send_call(incarnation, Message::Claim(tag, call), timeout, failure);
                }
                RouterAction::Revoke {
                    request,
                    target,
                    call,
                    timeout,
                } => {
                    let failure = RouterInput::Revoke(request, None);
                    let message = Message::Revoke(request, target, call);
                    self.send_call(incarnation, message, timeout, failure);
                }
                RouterAction::Finish { request, result } => self.record_result(request, result),
                RouterAction::Decision { .. } => {}
            }
        }
    }

    fn record_dispatch(&mut self, entry: usize, call: &DispatchRequest) {
        let is_new = self.attempts.insert(call.attempt, false).is_none();
        assert!(is_new, "{:?} was sent twice", call.attempt);
        let agent = self
            .agents
            .iter()
            .find(|agent| agent.is_target(&call.target));
        if let Some(agent) = agent {
            let was_told_leaving = agent
                .entries_told_leaving
                .contains(&self.entries[entry].incarnation);
            assert!(
                !was_told_leaving,
                "attempt for an endpoint that is known to be leaving"
            );
        }
    }

    fn record_result(&mut self, request: RequestId, result: RequestResult) {
        let kind = &self.kinds[&request];
        if let RequestResult::Answered(answer) = &result {
            let expected = key_of(kind, request);
            let body = String::from_utf8(answer.body.clone()).unwrap();
            let (key, _) = body.split_once('/').unwrap();
            assert_eq!(key, expected, "answer of another request");
            if let RequestKind::Keyed(key) = kind {
                let first = self.first_answers.entry(*key).or_insert(answer.clone());
                assert_eq!(first, answer, "two answers under one key");
            }
        }
        let previous = self.results.insert(request, result);
        assert!(previous.is_none(), "{request} finished twice");
    }

    fn send_call(
        &mut self,
        entry: IncarnationId,
        message: Message,
        timeout: Duration,
        failure: RouterInput,
    ) {
        self.next_call += 1;
        let call = OpenCall {
            entry,
            ends_at: self.now + timeout,
            failure,
        };
        self.calls.insert(self.next_call, call);
        self.network.push(Packet {
            entry,
            call: self.next_call,
            message,
            delivered: false,
        });
    }

    /// Delivers a packet from any position; one claim in five is committed without a known
    /// outcome.
    fn deliver_picked(&mut self, pick: usize, duplicated: bool) {
        if !self.network.is_empty() {
            let index = pick % self.network.len();
            self.deliver(index, duplicated, pick.is_multiple_of(5));
        }
    }

    /// Delivers a packet; a duplicated one also stays in the network.
    fn deliver(&mut self, index: usize, duplicated: bool, outcome_unknown: bool) {
        let delivered = self.network[index].delivered;
        self.network[index].delivered = true;
        let packet = if duplicated {
            self.network[index].clone()
        } else {
            self.network.remove(index)
        };
        match packet.message {
            Message::Dispatch(ref call) => {
                let agent = call.target.agent;
                let agent = self.agents.iter_mut().find(|a| a.address == agent);
                // A connection ends with its process: no copy reaches the next incarnation.
                if delivered && !agent.as_ref().unwrap().is_target(&call.target) {
                    return;
                }
                if let Some(reply) = agent.unwrap().dispatch(call, packet.entry, packet.call) {
                    let reply = Message::DispatchReply(call.attempt, reply);
                    self.reply(&packet, reply);
                }
            }
            Message::Revoke(request, ref target, ref call) => {
                let agent = self.agents.iter_mut().find(|a| a.address == target.agent);
                let reply = agent.unwrap().revoke(call);
                self.reply(&packet, Message::RevokeReply(request, reply));
            }
            Message::Claim(tag, ref call) => {
                let reply = self.control.change(call, outcome_unknown);
                self.reply(&packet, Message::ClaimReply(tag, reply));
            }
            Message::DispatchReply(attempt, ref reply) => {
                let result = AttemptResult::Reply(reply.clone());
                self.end_call(&packet, RouterInput::Reply(attempt, result));
            }
            Message::RevokeReply(request, ref reply) => {
                let input = RouterInput::Revoke(request, Some(reply.clone()));
                self.end_call(&packet, input);
            }
            Message::ClaimReply(tag, ref reply) => {
                self.end_call(&packet, RouterInput::Claim(tag, reply.clone()));
            }
        }
    }

    fn reply(&mut self, packet: &Packet, message: Message) {
        self.network.push(Packet {
            message,
            ..packet.clone()
        });
    }

    /// Passes a reply to its entry; the transport drops replies of calls that have ended.
    fn end_call(&mut self, packet: &Packet, input: RouterInput) {
        if self.calls.swap_remove(&packet.call).is_none() {
            return;
        }
        if let RouterInput::Reply(attempt, AttemptResult::Reply(DispatchReply::Refused(_))) = input
        {
            self.attempts.insert(attempt, true);
        }
        self.deliver_input(packet.entry, input);
    }

    fn deliver_input(&mut self, entry: IncarnationId, input: RouterInput) {
        let index = self.entries.iter().position(|e| e.incarnation == entry);
        if let Some(index) = index {
            self.step_entry(index, input);
        }
    }

    /// Drops a packet; the sender of an undelivered dispatch may learn of it at once.
    fn drop_packet(&mut self, pick: usize) {
        if self.network.is_empty() {
            return;
        }
        let packet = self.network.swap_remove(pick % self.network.len());
        let Message::Dispatch(call) = &packet.message else {
            return;
        };
        if !packet.delivered && pick.is_multiple_of(2) {
            self.attempts.insert(call.attempt, true);
            let input = RouterInput::Reply(call.attempt, AttemptResult::Unseen);
            self.end_call(&packet, input);
        }
    }

    pub fn complete_oldest(&mut self, agent: usize, with_answer: bool) {
        if let Some((entry, call, attempt, reply)) = self.agents[agent].complete_oldest(with_answer)
        {
            self.network.push(Packet {
                entry,
                call,
                message: Message::DispatchReply(attempt, reply),
                delivered: true,
            });
        }
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        let now = self.now;
        let ended_calls: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| call.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended_calls {
            let call = self.calls.swap_remove(&id).unwrap();
            self.deliver_input(call.entry, call.failure);
        }
        for entry in 0..ENTRY_COUNT {
            self.step_entry(entry, RouterInput::Tick);
        }
    }

    pub fn announce(&mut self, agent: usize) {
        for entry in 0..ENTRY_COUNT {
            let announcement = self.agents[agent].announcement();
            let incarnation = self.entries[entry].incarnation;
            self.agents[agent].record_announcement_to(incarnation);
            let input = RouterInput::Announcement(Box::new(announcement));
            self.step_entry(entry, input);
        }
    }

    fn toggle_leaving(&mut self, agent: usize) {
        self.agents[agent].is_leaving = !self.agents[agent].is_leaving;
        self.announce(agent);
    }

    pub fn restart_agent(&mut self, agent: usize) {
        self.agents[agent].restart();
    }

    pub fn restart_entry(&mut self, index: usize) {
        let next = self.entries[index].incarnation.0 + 100;
        self.entries[index] = self.create_entry(next);
        for agent in 0..AGENT_COUNT {
            self.announce(agent);
        }
    }

    /// Returns the attempts of an entry that may have run, beyond the first of each request.
    pub fn count_repeats(&self, entry: IncarnationId) -> u32 {
        let may_have_run = |(attempt, not_run): &(&RequestAttempt, &bool)| {
            attempt.request.entry == entry && !**not_run
        };
        let attempts: Vec<RequestAttempt> = self
            .attempts
            .iter()
            .filter(may_have_run)
            .map(|(attempt, _)| *attempt)
            .collect();
        let requests: IndexSet<RequestId> = attempts.iter().map(|a| a.request).collect();
        (attempts.len() - requests.len()) as u32
    }

    /// Delivers the packets in the network, but not the replies to them; claims are committed
    /// without a known outcome.
    pub fn commit_claims_with_unknown_outcome(&mut self) {
        for _ in 0..self.network.len() {
            self.deliver(0, false, true);
        }
    }

    /// Delivers all packets, and the replies to them.
    pub fn deliver_all(&mut self) {
        while !self.network.is_empty() {
            self.deliver(0, false, false);
        }
    }

    /// Delivers all packets and advances the time until all deadlines have passed.
    pub fn run_to_completion(&mut self) {
        self.control.is_down = false;
        for _ in 0..400 {
            self.deliver_all();
            for agent in 0..AGENT_COUNT {
                self.complete_oldest(agent, true);
            }
            self.advance(20);
        }
    }
}
