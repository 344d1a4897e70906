//! Properties of the request guard over lost, doubled, delayed and crossed calls, endpoints
//! that come and go, pauses and restarts of the agent.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use guavavane_agent::guard::CallTicket;
use guavavane_agent::guard::ExchangeResult;
use guavavane_agent::guard::GuardInput;
use guavavane_agent::guard::GuardLimits;
use guavavane_agent::guard::GuardOutcome;
use guavavane_agent::guard::RequestGuard;
use guavavane_agent::guard::RunOrder;
use guavavane_agent::guard::ServiceKey;
use guavavane_contract::prelude::EndpointNotice;
use guavavane_contract::prelude::NoticeState;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::EndpointName;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::RequestId;
use guavavane_protocol::prelude::DispatchReply;
use guavavane_protocol::prelude::DispatchRequest;
use guavavane_protocol::prelude::DispatchTarget;
use guavavane_protocol::prelude::HttpAnswer;
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
const ANSWER_KEEP: Duration = Duration::from_millis(5_000);

fn limits() -> GuardLimits {
    GuardLimits {
        recorded_attempts_max: 12,
        entry_incarnations_max: 2,
        record_retention: Duration::from_millis(1_500),
        answers_max: 4,
        answers_total_max_bytes: 200,
        answer_retention: ANSWER_KEEP,
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

/// What happened, as seen from outside the guard.
#[derive(Default)]
struct Witness {
    executed: IndexSet<RequestAttempt>,
    refused: IndexSet<RequestAttempt>,
    answers: IndexMap<RequestAttempt, (HttpAnswer, BootTime)>,
    calls: IndexMap<CallTicket, OpenCall>,
}

struct Simulation<'a> {
    random: &'a mut ChaCha8Rng,
    now: BootTime,
    incarnation: IncarnationId,
    guard: RequestGuard,
    witness: Witness,
    sent: Vec<DispatchRequest>,
    running: Vec<RunOrder>,
    ended: Vec<RequestAttempt>,
    /// When each endpoint that leaves last said so.
    leaving: IndexMap<EndpointName, BootTime>,
    /// Services that control has ordered to drain.
    drained: IndexSet<ServiceKey>,
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
            witness: Witness::default(),
            sent: Vec::new(),
            running: Vec::new(),
            ended: Vec::new(),
            leaving: IndexMap::new(),
            drained: IndexSet::new(),
            draining: false,
            next_sequence: 0,
            next_ticket: 0,
        }
    }

    fn run(mut self) {
        for number in 0..2 {
            self.notice(number, NoticeState::Ready);
        }
        for _ in 0..STEPS {
            self.act();
            self.check_bounds();
        }
        self.end_all();
    }

    fn act(&mut self) {
        match self.random.random_range(0..100) {
            0..35 => self.dispatch_new(),
            35..45 => self.dispatch_again(),
            45..53 => self.revoke(),
            53..75 => self.finish_one(),
            75..78 => self.finish_again(),
            78..90 => self.pass(1..60),
            90..92 => self.pass(500..4_000),
            92..96 => {
                let number = self.random.random_range(0..2);
                self.notice(number, NoticeState::Ready);
            }
            96 => {
                let number = self.random.random_range(0..2);
                self.notice(number, NoticeState::Leaving);
            }
            97 => {
                let key = service(self.random.random_range(0..2));
                if self.random.random_bool(0.5) {
                    self.drained.insert(key.clone());
                    self.step(GuardInput::DrainService(key));
                } else {
                    self.drained.swap_remove(&key);
                    self.step(GuardInput::ResumeService(key));
                }
            }
            98 => self.restart(),
            _ => {
                if self.random.random_bool(0.1) {
                    self.draining = true;
                    self.step(GuardInput::Drain);
                }
            }
        }
    }

    fn ticket(
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
        self.witness.calls.insert(ticket, call);
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
        // Some calls arrive late or never; they are in `sent` and may be delivered later.
        if self.random.random_bool(0.85) {
            self.deliver(request);
        }
    }

    fn dispatch_again(&mut self) {
        if let Some(request) = self.sent.choose(self.random).cloned() {
            self.deliver(request);
        }
    }

    fn deliver(&mut self, request: DispatchRequest) {
        let (attempt, wait_ms) = (request.attempt, request.deadline_ms);
        let ticket = self.ticket(attempt, request.target.incarnation, wait_ms);
        self.step(GuardInput::Dispatch { ticket, request });
    }

    fn revoke(&mut self) {
        let Some(request) = self.sent.choose(self.random).cloned() else {
            return;
        };
        let incarnation = request.target.incarnation;
        let wait_ms = self.random.random_range(0..300);
        let ticket = self.ticket(request.attempt, incarnation, wait_ms);
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
        let place = self.random.random_range(0..self.running.len());
        let order = self.running.swap_remove(place);
        let attempt = order.request.attempt;
        self.ended.push(attempt);
        let result = self.random_exchange_result(attempt);
        self.note_result(&order, &result);
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

    fn answer(&self, attempt: RequestAttempt, bytes: usize) -> HttpAnswer {
        let mut body = attempt.request.sequence.to_le_bytes().to_vec();
        body.resize(bytes, 7);
        HttpAnswer {
            status: 200,
            headers: Vec::new(),
            body,
        }
    }

    fn note_result(&mut self, order: &RunOrder, result: &ExchangeResult) {
        let attempt = order.request.attempt;
        if *result == ExchangeResult::NotSent {
            return;
        }
        self.witness.executed.insert(attempt);
        if let ExchangeResult::Answered(answer) = result {
            let entry = (answer.clone(), self.now);
            self.witness.answers.insert(attempt, entry);
        }
    }

    /// The same exchange ends a second time, with another result.
    fn finish_again(&mut self) {
        if let Some(attempt) = self.ended.choose(self.random).copied() {
            let answer = HttpAnswer {
                status: 500,
                headers: Vec::new(),
                body: b"twice".to_vec(),
            };
            let result = ExchangeResult::Answered(answer);
            self.step(GuardInput::Finished { attempt, result });
        }
    }

    fn pass(&mut self, millis: std::ops::Range<u64>) {
        let millis = self.random.random_range(millis);
        self.now = self.now + Duration::from_millis(millis);
        self.step(GuardInput::Tick);
    }

    fn notice(&mut self, number: u8, state: NoticeState) {
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
        let left = self.leaving.get(&name).copied();
        let held = left.is_some_and(|left| self.now < left + limits().leaving_hold);
        match state {
            NoticeState::Leaving => {
                self.leaving.insert(name, self.now);
            }
            NoticeState::Ready if !held => {
                self.leaving.swap_remove(&name);
            }
            NoticeState::Ready => {}
        }
        self.step(GuardInput::Notice(notice));
    }

    /// Another incarnation knows nothing; exchanges of the last one go on unseen.
    fn restart(&mut self) {
        self.incarnation = self.incarnation.next();
        self.guard = RequestGuard::new(self.incarnation, limits());
        for order in std::mem::take(&mut self.running) {
            self.witness.executed.insert(order.request.attempt);
        }
        self.witness.calls.clear();
        self.draining = false;
        self.drained.clear();
        self.leaving.clear();
        for number in 0..2 {
            self.notice(number, NoticeState::Ready);
        }
    }

    fn step(&mut self, input: GuardInput) {
        let arrived_draining = matches!(input, GuardInput::Dispatch { .. }) && self.draining;
        for outcome in self.guard.step(self.now, input) {
            match outcome {
                GuardOutcome::Run(order) => {
                    assert!(!arrived_draining, "ran what arrived after the drain began");
                    self.take_run(order);
                }
                GuardOutcome::Reply { ticket, reply } => self.take_reply(ticket, &reply),
                GuardOutcome::RevokeReply { ticket, reply } => {
                    self.take_revoke_reply(ticket, &reply);
                }
                GuardOutcome::Announce | GuardOutcome::ServiceDrained(_) => {}
            }
        }
    }

    fn take_run(&mut self, order: RunOrder) {
        let attempt = order.request.attempt;
        let again = self
            .running
            .iter()
            .any(|run| run.request.attempt == attempt);
        assert!(!again, "runs twice at once: {attempt:?}");
        assert!(
            !self.witness.executed.contains(&attempt),
            "runs again: {attempt:?}"
        );
        assert!(
            !self.witness.refused.contains(&attempt),
            "runs after a refusal: {attempt:?}"
        );
        assert!(self.now < order.deadline, "runs after its deadline");
        assert!(
            !self.leaving.contains_key(&order.request.target.endpoint),
            "work for a leaving endpoint"
        );
        let drained = self
            .drained
            .iter()
            .any(|key| key.service == order.request.service);
        assert!(!drained, "work for a service that drains");
        self.running.push(order);
    }

    fn close_call(&mut self, ticket: CallTicket) -> OpenCall {
        let call = self.witness.calls.swap_remove(&ticket);
        call.expect("each call is replied to once")
    }

    fn note_refusal(&mut self, attempt: RequestAttempt) {
        assert!(
            !self.witness.executed.contains(&attempt),
            "refused what ran: {attempt:?}"
        );
        let running = self
            .running
            .iter()
            .any(|run| run.request.attempt == attempt);
        assert!(!running, "refused what runs: {attempt:?}");
        self.witness.refused.insert(attempt);
    }

    fn check_answer(&self, attempt: RequestAttempt, answer: &HttpAnswer) {
        let (given, _) = &self.witness.answers[&attempt];
        assert_eq!(answer, given, "another answer than was given");
        assert!(answer.body.len() <= ANSWER_MAX_BYTES);
    }

    fn take_reply(&mut self, ticket: CallTicket, reply: &DispatchReply) {
        let call = self.close_call(ticket);
        match reply {
            DispatchReply::Answered(answer) => self.check_answer(call.attempt, answer),
            // Says nothing of an attempt that was sent to another incarnation.
            DispatchReply::Refused(RefusalReason::WrongIncarnation) => {
                assert_ne!(call.incarnation, self.incarnation);
            }
            DispatchReply::Refused(_) => self.note_refusal(call.attempt),
            DispatchReply::Unknown(_) => {}
        }
    }

    fn take_revoke_reply(&mut self, ticket: CallTicket, reply: &RevokeReply) {
        let call = self.close_call(ticket);
        match reply {
            RevokeReply::Answered(answer) => self.check_answer(call.attempt, answer),
            RevokeReply::NotRun => {
                assert_eq!(call.incarnation, self.incarnation);
                self.note_refusal(call.attempt);
            }
            RevokeReply::Unknown(_) => self.check_kept(call),
        }
    }

    /// An answer that was to be kept is given back as long as it is.
    fn check_kept(&self, call: OpenCall) {
        let Some((answer, at)) = self.witness.answers.get(&call.attempt) else {
            return;
        };
        let request = self.sent.iter().find(|sent| sent.attempt == call.attempt);
        let keep = request.unwrap().keep_answer && answer.body.len() <= ANSWER_MAX_BYTES;
        let young = self.now.saturating_since(*at) < ANSWER_KEEP;
        let here = call.incarnation == self.incarnation;
        assert!(!(keep && young && here), "kept answer was forgotten early");
    }

    fn check_bounds(&self) {
        for number in 0..2 {
            let name = endpoint(number);
            let running = self
                .running
                .iter()
                .filter(|run| run.request.target.endpoint == name)
                .count();
            assert!(running <= usize::from(SLOTS), "more than the slots");
        }
        for call in self.witness.calls.values() {
            // A reply that is due at once comes with the next step at the latest.
            assert!(self.now <= call.until, "a caller waits beyond its time");
        }
        assert!(self.running.len() <= limits().running_max);
        assert_eq!(self.running.len(), self.guard.running());
        for status in self.guard.statuses(self.now) {
            assert!(status.outstanding <= CONNECTIONS, "more than connections");
        }
        assert!(self.guard.recorded_attempts() <= limits().recorded_attempts_max);
        assert!(self.guard.kept_answers() <= limits().answers_max);
        assert!(self.guard.kept_answer_bytes() <= limits().answers_total_max_bytes);
    }

    /// Ends every exchange and lets every wait run out: no call stays without a reply.
    fn end_all(&mut self) {
        while !self.running.is_empty() {
            self.finish_one();
        }
        self.now = self.now + Duration::from_secs(3_600);
        self.step(GuardInput::Tick);
        while !self.running.is_empty() {
            self.finish_one();
        }
        assert!(self.witness.calls.is_empty(), "calls without a reply");
        assert_eq!(self.guard.outstanding(), 0);
    }
}

#[test]
fn guard_holds_its_promises_over_generated_sequences() {
    for_each_seed(SEEDS, |_, random| Simulation::new(random).run());
}
