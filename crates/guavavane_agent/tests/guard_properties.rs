//! Invariants of the request guard under random event sequences.
//!
//! Calls are lost, duplicated, delayed and reordered, endpoints announce themselves and leave, time
//! jumps ahead, and the agent restarts. The checks use only what is visible outside the guard: no
//! attempt runs twice or after a refusal, each call gets one reply, and all limits hold.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use guavavane_agent::guard::CallTicket;
use guavavane_agent::guard::ExchangeResult;
use guavavane_agent::guard::GuardAction;
use guavavane_agent::guard::GuardInput;
use guavavane_agent::guard::GuardLimits;
use guavavane_agent::guard::RequestGuard;
use guavavane_agent::guard::RunOrder;
use guavavane_agent::guard::ServiceKey;
use guavavane_contract::prelude::EndpointNotice;
use guavavane_contract::prelude::EndpointReadiness;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::EndpointName;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::RequestId;
use guavavane_protocol::prelude::DispatchReply;
use guavavane_protocol::prelude::DispatchRequest;
use guavavane_protocol::prelude::DispatchTarget;
use guavavane_protocol::prelude::HttpResponse;
use guavavane_protocol::prelude::RefusalReason;
use guavavane_protocol::prelude::RequestAttempt;
use guavavane_protocol::prelude::RevokeReply;
use guavavane_protocol::prelude::RevokeRequest;
use guavavane_testing::for_each_seed;

const SLOTS: u16 = 2;
const CONNECTIONS: u16 = 4;
const STEPS: usize = 160;
const SEEDS: u64 = 3_000;
const ANSWER_MAX_BYTES: usize = 64;
const ANSWER_RETENTION: Duration = Duration::from_millis(5_000);

fn limits() -> GuardLimits {
    GuardLimits {
        recorded_attempts_max: 12,
        entry_incarnations_max: 2,
        record_retention: Duration::from_millis(1_500),
        answers_max: 4,
        answers_total_max_bytes: 200,
        answer_retention: ANSWER_RETENTION,
        answer_max_bytes: ANSWER_MAX_BYTES,
        buffered_max_bytes: 400,
        running_max: 3,
        ..GuardLimits::default()
    }
}

/// A call that waits for its reply.
#[derive(Clone, Copy)]
struct OpenCall {
    attempt: RequestAttempt,
    incarnation: IncarnationId,
    until: BootTime,
}

/// Events as seen from outside the guard; the checks compare the guard's actions with them.
#[derive(Default)]
struct History {
    executed: IndexSet<RequestAttempt>,
    refused: IndexSet<RequestAttempt>,
    answers: IndexMap<RequestAttempt, (HttpResponse, BootTime)>,
    calls: IndexMap<CallTicket, OpenCall>,
}

struct Simulation<'a> {
    random: &'a mut ChaCha8Rng,
    now: BootTime,
    incarnation: IncarnationId,
    guard: RequestGuard,
    history: History,
    sent: Vec<DispatchRequest>,
    running: Vec<RunOrder>,
    ended: Vec<RequestAttempt>,
    /// When each leaving endpoint last announced that it is leaving.
    leaving: IndexMap<EndpointName, BootTime>,
    /// Services whose endpoints drain by order of control.
    draining_services: IndexSet<ServiceKey>,
    draining: bool,
    next_sequence: u64,
    next_ticket: u64,
}

fn endpoint(number: u8) -> EndpointName {
    EndpointName::try_from(format!("endpoint-{number}")).unwrap()
}

fn service(number: u8) -> ServiceKey {
    ServiceKey {
        environment: "trial".try_into().unwrap(),
        service: format!("service-{number}").try_into().unwrap(),
    }
}

impl<'a> Simulation<'a> {
    fn new(random: &'a mut ChaCha8Rng) -> Self {
        let incarnation = IncarnationId(1);
        Self {
            random,
            now: BootTime::from_millis(1),
            incarnation,
            guard: RequestGuard::new(incarnation, limits()),
            history: History::default(),
            sent: Vec::new(),
            running: Vec::new(),
            ended: Vec::new(),
            leaving: IndexMap::new(),
            draining_services: IndexSet::new(),
            draining: false,
            next_sequence: 0,
            next_ticket: 0,
        }
    }

    fn run(mut self) {
        for number in 0..2 {
            self.announce_endpoint(number, EndpointReadiness::Ready);
        }
        for _ in 0..STEPS {
            self.apply_random_event();
            self.check_bounds();
        }
        self.finish_all();
    }

    fn apply_random_event(&mut self) {
        match self.random.random_range(0..100) {
            0..35 => self.dispatch_new(),
            35..45 => self.dispatch_duplicate(),
            45..53 => self.revoke(),
            53..75 => self.finish_one(),
            75..78 => self.finish_duplicate(),
            78..90 => self.advance_time(1..60),
            90..92 => self.advance_time(500..4_000),
            92..96 => {
                let number = self.random.random_range(0..2);
                self.announce_endpoint(number, EndpointReadiness::Ready);
            }
            96 => {
                let number = self.random.random_range(0..2);
                self.announce_endpoint(number, EndpointReadiness::Leaving);
            }
            97 => {
                let key = service(self.random.random_range(0..2));
                if self.random.random_bool(0.5) {
                    self.draining_services.insert(key.clone());
                    self.step(GuardInput::DrainService(key));
                } else {
                    self.draining_services.swap_remove(&key);
                    self.step(GuardInput::ResumeService(key));
                }
            }
            98 => self.restart_agent(),
            _ => {
                if self.random.random_bool(0.1) {
                    self.draining = true;
                    self.step(GuardInput::Drain);
                }
            }
        }
    }

    fn open_call(
        &mut self,
        attempt: RequestAttempt,
        incarnation: IncarnationId,
        wait_ms: u32,
    ) -> CallTicket {
        let ticket = CallTicket(self.next_ticket);
        self.next_ticket += 1;
        let call = OpenCall {
            attempt,
            incarnation,
            until: self.now + Duration::from_millis(u64::from(wait_ms)),
        };
        self.history.calls.insert(ticket, call);
        ticket
    }

    fn dispatch_new(&mut self) {
        self.next_sequence += 1;
        let number = self.random.random_range(0..2);
        let request = DispatchRequest {
            attempt: RequestAttempt {
                request: RequestId {
                    entry: IncarnationId(self.random.random_range(100..103)),
                    sequence: self.next_sequence,
                },
                attempt: 1,
            },
            target: DispatchTarget {
                agent: "127.0.0.1:1".parse().unwrap(),
                incarnation: self.incarnation,
                endpoint: endpoint(number),
            },
            service: service(number).service,
            method: "POST".to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            body: vec![0; self.random.random_range(0..80)],
            deadline_ms: self.random.random_range(0..800),
            keep_answer: self.random.random_bool(0.5),
        };
        self.sent.push(request.clone());
        // Other calls stay in `sent`; they may be delivered later or never.
        if self.random.random_bool(0.85) {
            self.deliver(request);
        }
    }

    fn dispatch_duplicate(&mut self) {
        if let Some(request) = self.sent.choose(self.random).cloned() {
            self.deliver(request);
        }
    }

    fn deliver(&mut self, request: DispatchRequest) {
        let (attempt, wait_ms) = (request.attempt, request.deadline_ms);
        let ticket = self.open_call(attempt, request.target.incarnation, wait_ms);
        self.step(GuardInput::Dispatch { ticket, request });
    }

    fn revoke(&mut self) {
        let Some(request) = self.sent.choose(self.random).cloned() else {
            return;
        };
        let incarnation = request.target.incarnation;
        let wait_ms = self.random.random_range(0..300);
        let ticket = self.open_call(request.attempt, incarnation, wait_ms);
        let request = RevokeRequest {
            attempt: request.attempt,
            incarnation,
            wait_ms,
        };
        self.step(GuardInput::Revoke { ticket, request });
    }

    fn finish_one(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.running.len());
        let order = self.running.swap_remove(index);
        let attempt = order.request.attempt;
        self.ended.push(attempt);
        let result = self.random_exchange_result(attempt);
        self.record_result(&order, &result);
        self.step(GuardInput::Finished { attempt, result });
    }

    fn random_exchange_result(&mut self, attempt: RequestAttempt) -> ExchangeResult {
        match self.random.random_range(0..10) {
            0 => ExchangeResult::NotSent,
            1 => ExchangeResult::Lost,
            2 => ExchangeResult::Malformed,
            3 => ExchangeResult::TimedOut,
            4 => ExchangeResult::Answered(self.answer(attempt, ANSWER_MAX_BYTES + 1)),
            _ => {
                let bytes = self.random.random_range(8..ANSWER_MAX_BYTES);
                ExchangeResult::Answered(self.answer(attempt, bytes))
            }
        }
    }

    fn answer(&self, attempt: RequestAttempt, bytes: usize) -> HttpResponse {
        let mut body = attempt.request.sequence.to_le_bytes().to_vec();
        body.resize(bytes, 7);
        HttpResponse {
            status: 200,
            headers: Vec::new(),
            body,
        }
    }

    fn record_result(&mut self, order: &RunOrder, result: &ExchangeResult) {
        let attempt = order.request.attempt;
        if *result == ExchangeResult::NotSent {
            return;
        }
        self.history.executed.insert(attempt);
        if let ExchangeResult::Answered(answer) = result {
            let entry = (answer.clone(), self.now);
            self.history.answers.insert(attempt, entry);
        }
    }

    /// Delivers a second, different result of an exchange that has ended.
    fn finish_duplicate(&mut self) {
        if let Some(attempt) = self.ended.choose(self.random).copied() {
            let answer = HttpResponse {
                status: 500,
                headers: Vec::new(),
                body: b"twice".to_vec(),
            };
            let result = ExchangeResult::Answered(answer);
            self.step(GuardInput::Finished { attempt, result });
        }
    }

    fn advance_time(&mut self, millis: std::ops::Range<u64>) {
        let millis = self.random.random_range(millis);
        self.now = self.now + Duration::from_millis(millis);
        self.step(GuardInput::Tick);
    }

    fn announce_endpoint(&mut self, number: u8, state: EndpointReadiness) {
        let key = service(number);
        let notice = EndpointNotice {
            endpoint: endpoint(number),
            environment: key.environment,
            service: key.service,
            address: "127.0.0.1:2".parse().unwrap(),
            slots: SLOTS,
            connections: CONNECTIONS,
            state,
            expiry_ms: 3_000,
        };
        let name = endpoint(number);
        let left_at = self.leaving.get(&name).copied();
        let ignores_readiness =
            left_at.is_some_and(|left_at| self.now < left_at + limits().leaving_hold);
        match state {
            EndpointReadiness::Leaving => {
                self.leaving.insert(name, self.now);
            }
            EndpointReadiness::Ready if !ignores_readiness => {
                self.leaving.swap_remove(&name);
            }
            EndpointReadiness::Ready => {}
        }
        self.step(GuardInput::Notice(notice));
    }

    /// Restarts the agent: the new incarnation has no record, while the exchanges of the previous
    /// one continue without a result.
    fn restart_agent(&mut self) {
        self.incarnation = self.incarnation.next();
        self.guard = RequestGuard::new(self.incarnation, limits());
        for order in std::mem::take(&mut self.running) {
            self.history.executed.insert(order.request.attempt);
        }
        self.history.calls.clear();
        self.draining = false;
        self.draining_services.clear();
        self.leaving.clear();
        for number in 0..2 {
            self.announce_endpoint(number, EndpointReadiness::Ready);
        }
    }

    fn step(&mut self, input: GuardInput) {
        let arrived_during_drain = matches!(input, GuardInput::Dispatch { .. }) && self.draining;
        for action in self.guard.step(self.now, input) {
            match action {
                GuardAction::Run(order) => {
                    assert!(
                        !arrived_during_drain,
                        "started a request that arrived during the drain"
                    );
                    self.check_run(order);
                }
                GuardAction::Reply { ticket, reply } => self.check_reply(ticket, &reply),
                GuardAction::RevokeReply { ticket, reply } => {
                    self.check_revoke_reply(ticket, &reply);
                }
                GuardAction::Announce | GuardAction::ServiceDrained(_) => {}
            }
        }
    }

    fn check_run(&mut self, order: RunOrder) {
        let attempt = order.request.attempt;
        let already_running = self
            .running
            .iter()
            .any(|run| run.request.attempt == attempt);
        assert!(!already_running, "runs twice at the same time: {attempt:?}");
        assert!(
            !self.history.executed.contains(&attempt),
            "runs again: {attempt:?}"
        );
        assert!(
            !self.history.refused.contains(&attempt),
            "runs after a refusal: {attempt:?}"
        );
        assert!(self.now < order.deadline, "runs after its deadline");
        assert!(
            !self.leaving.contains_key(&order.request.target.endpoint),
            "request started on a leaving endpoint"
        );
        let is_draining = self
            .draining_services
            .iter()
            .any(|key| key.service == order.request.service);
        assert!(!is_draining, "request started for a draining service");
        self.running.push(order);
    }

    fn close_call(&mut self, ticket: CallTicket) -> OpenCall {
        let call = self.history.calls.swap_remove(&ticket);
        call.expect("each call is replied to once")
    }

    fn record_refusal(&mut self, attempt: RequestAttempt) {
        assert!(
            !self.history.executed.contains(&attempt),
            "refused an attempt that ran: {attempt:?}"
        );
        let running = self
            .running
            .iter()
            .any(|run| run.request.attempt == attempt);
        assert!(!running, "refused a running attempt: {attempt:?}");
        self.history.refused.insert(attempt);
    }

    fn check_answer(&self, attempt: RequestAttempt, answer: &HttpResponse) {
        let (expected, _) = &self.history.answers[&attempt];
        assert_eq!(answer, expected, "reply differs from the endpoint's answer");
        assert!(answer.body.len() <= ANSWER_MAX_BYTES);
    }

    fn check_reply(&mut self, ticket: CallTicket, reply: &DispatchReply) {
        let call = self.close_call(ticket);
        match reply {
            DispatchReply::Answered(answer) => self.check_answer(call.attempt, answer),
            // Proves nothing, since the attempt was sent to another incarnation.
            DispatchReply::Refused(RefusalReason::WrongIncarnation) => {
                assert_ne!(call.incarnation, self.incarnation);
            }
            DispatchReply::Refused(_) => self.record_refusal(call.attempt),
            DispatchReply::Unknown(_) => {}
        }
    }

    fn check_revoke_reply(&mut self, ticket: CallTicket, reply: &RevokeReply) {
        let call = self.close_call(ticket);
        match reply {
            RevokeReply::Answered(answer) => self.check_answer(call.attempt, answer),
            RevokeReply::NotRun => {
                assert_eq!(call.incarnation, self.incarnation);
                self.record_refusal(call.attempt);
            }
            RevokeReply::Unknown(_) => self.check_answer_retention(call),
        }
    }

    /// Checks that a stored answer is returned until its retention time has passed.
    fn check_answer_retention(&self, call: OpenCall) {
        let Some((answer, at)) = self.history.answers.get(&call.attempt) else {
            return;
        };
        let request = self.sent.iter().find(|sent| sent.attempt == call.attempt);
        let was_stored = request.unwrap().keep_answer && answer.body.len() <= ANSWER_MAX_BYTES;
        let is_retained = self.now.saturating_since(*at) < ANSWER_RETENTION;
        let same_incarnation = call.incarnation == self.incarnation;
        assert!(
            !(was_stored && is_retained && same_incarnation),
            "stored answer was removed before the end of its retention"
        );
    }

    fn check_bounds(&self) {
        for number in 0..2 {
            let name = endpoint(number);
            let running = self
                .running
                .iter()
                .filter(|run| run.request.target.endpoint == name)
                .count();
            assert!(
                running <= usize::from(SLOTS),
                "more running requests than slots"
            );
        }
        for call in self.history.calls.values() {
            // A reply that is due now is sent by the next step at the latest.
            assert!(self.now <= call.until, "a call waits beyond its deadline");
        }
        assert!(self.running.len() <= limits().running_max);
        assert_eq!(self.running.len(), self.guard.running());
        for status in self.guard.statuses(self.now) {
            assert!(
                status.outstanding <= CONNECTIONS,
                "more requests than connections"
            );
        }
        assert!(self.guard.recorded_attempts() <= limits().recorded_attempts_max);
        assert!(self.guard.kept_answers() <= limits().answers_max);
        assert!(self.guard.kept_answer_bytes() <= limits().answers_total_max_bytes);
    }

    /// Ends all exchanges and lets all waits time out; checks that every call got a reply.
    fn finish_all(&mut self) {
        while !self.running.is_empty() {
            self.finish_one();
        }
        self.now = self.now + Duration::from_secs(3_600);
        self.step(GuardInput::Tick);
        while !self.running.is_empty() {
            self.finish_one();
        }
        assert!(self.history.calls.is_empty(), "calls without a reply");
        assert_eq!(self.guard.outstanding(), 0);
    }
}

#[test]
fn guard_invariants_hold_for_random_event_sequences() {
    for_each_seed(SEEDS, |_, random| Simulation::new(random).run());
}
