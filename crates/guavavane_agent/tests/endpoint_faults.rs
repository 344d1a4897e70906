//! Endpoints that answer wrongly harm only the request that they answer.
#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::Ordering;

use crate::support::FakeEndpoint;
use crate::support::CALL_TIMEOUT;
use guavavane_agent::daemon::Serving;
use guavavane_agent::prelude::RunningAgent;
use guavavane_contract::prelude::NoticeState;
use guavavane_protocol::prelude::DispatchReply;
use guavavane_protocol::prelude::DispatchRequest;
use guavavane_protocol::prelude::HttpAnswer;
use guavavane_protocol::prelude::RefusalReason;
use guavavane_protocol::prelude::RevokeReply;
use guavavane_protocol::prelude::RevokeRequest;
use guavavane_protocol::prelude::UnknownReason;
use guavavane_transport::client::decode_reply;
use guavavane_transport::prelude::CallClient;

struct Bench {
    agent: RunningAgent<Serving>,
    endpoint: FakeEndpoint,
    client: CallClient,
}

impl Bench {
    fn start() -> Self {
        let endpoint = FakeEndpoint::start();
        let nobody: SocketAddr = "127.0.0.1:9".parse().unwrap();
        let agent = RunningAgent::start(support::settings(nobody, nobody)).unwrap();
        let notice = support::notice(endpoint.address, NoticeState::Ready);
        assert_eq!(support::announce(agent.http_address(), &notice), 204);
        Self {
            agent,
            endpoint,
            client: support::entry_client(),
        }
    }

    fn request(&self, sequence: u64, path: &str) -> DispatchRequest {
        support::dispatch(
            self.agent.address(),
            self.agent.incarnation(),
            sequence,
            path,
        )
    }

    fn send(&self, request: &DispatchRequest) -> DispatchReply {
        self.client
            .call(self.agent.address(), request, CALL_TIMEOUT)
            .unwrap()
    }

    fn revoke(&self, request: &DispatchRequest, wait_ms: u32) -> RevokeReply {
        let revoke = RevokeRequest {
            attempt: request.attempt,
            incarnation: request.target.incarnation,
            wait_ms,
        };
        self.client
            .call(self.agent.address(), &revoke, CALL_TIMEOUT)
            .unwrap()
    }

    fn runs(&self) -> usize {
        self.endpoint.runs.load(Ordering::SeqCst)
    }
}

fn is_whole(reply: &DispatchReply) -> bool {
    matches!(reply, DispatchReply::Answered(HttpAnswer { status: 200, body, .. }) if body == b"whole")
}

#[test]
fn whole_answers_are_given_back() {
    let bench = Bench::start();
    for (sequence, path) in ["/whole", "/chunked"].iter().enumerate() {
        let reply = bench.send(&bench.request(sequence as u64, path));
        assert!(is_whole(&reply), "{path}: {reply:?}");
    }
    let reply = bench.send(&bench.request(9, "/redirect"));
    assert!(
        matches!(&reply, DispatchReply::Answered(answer) if answer.status == 302),
        "{reply:?}"
    );
    assert_eq!(bench.runs(), 3);
}

#[test]
fn answers_that_are_not_whole_or_crossed_are_unknown() {
    let bench = Bench::start();
    let paths = [
        "/short",
        "/long",
        "/twice",
        "/huge",
        "/crossed",
        "/unnamed",
        "/two-ids",
        "/two-lengths",
        "/until-close",
        "/chunked-cut",
        "/chunked-long",
        "/half-head",
        "/garbage",
        "/silent",
    ];
    let mut wrong = Vec::new();
    for (place, path) in paths.iter().enumerate() {
        let sequence = place as u64 * 2;
        let reply = bench.send(&bench.request(sequence, path));
        if !matches!(reply, DispatchReply::Unknown(_)) {
            wrong.push((path, reply));
        }
        let reply = bench.send(&bench.request(sequence + 1, "/whole"));
        assert!(is_whole(&reply), "after {path}: {reply:?}");
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert_eq!(bench.runs(), paths.len() * 2);
}

#[test]
fn late_answer_is_unknown_to_the_caller_and_kept_for_the_revocation() {
    let bench = Bench::start();
    let mut request = bench.request(1, "/late");
    request.deadline_ms = 100;
    request.keep_answer = true;
    let reply = bench.send(&request);
    assert_eq!(
        reply,
        DispatchReply::Unknown(UnknownReason::EndpointTimeout)
    );
    let reply = bench.revoke(&request, 5_000);
    assert!(
        matches!(&reply, RevokeReply::Answered(answer) if answer.body == b"whole"),
        "{reply:?}"
    );
    let reply = bench.send(&request);
    assert!(is_whole(&reply), "{reply:?}");
    assert_eq!(bench.runs(), 1);
}

#[test]
fn refused_connection_is_not_run() {
    let bench = Bench::start();
    let closed = TcpListener::bind(support::loopback()).unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    support::announce(
        bench.agent.http_address(),
        &support::notice(address, NoticeState::Ready),
    );
    let request = bench.request(1, "/whole");
    let reply = bench.send(&request);
    assert_eq!(
        reply,
        DispatchReply::Refused(RefusalReason::ConnectionRefused)
    );
    assert_eq!(bench.revoke(&request, 0), RevokeReply::NotRun);
}

#[test]
fn revoked_attempt_never_runs() {
    let bench = Bench::start();
    let request = bench.request(1, "/whole");
    assert_eq!(bench.revoke(&request, 0), RevokeReply::NotRun);
    let reply = bench.send(&request);
    assert_eq!(reply, DispatchReply::Refused(RefusalReason::Revoked));
    assert_eq!(bench.runs(), 0);
}

#[test]
fn parallel_requests_stay_within_the_slots() {
    let bench = Bench::start();
    let receivers: Vec<_> = (0..64)
        .map(|sequence| {
            let request = bench.request(sequence, "/slow");
            bench
                .client
                .start_call(bench.agent.address(), &request, CALL_TIMEOUT)
        })
        .collect();
    for receiver in receivers {
        let message = receiver.recv().unwrap().unwrap();
        let reply = decode_reply::<DispatchRequest>(&message).unwrap();
        assert!(is_whole(&reply), "{reply:?}");
    }
    assert_eq!(bench.runs(), 64);
    assert!(bench.endpoint.running_most.load(Ordering::SeqCst) <= 8);
}

#[test]
fn leaving_endpoint_gets_nothing_new_and_ends_what_it_has() {
    let bench = Bench::start();
    let slow = bench.request(1, "/late");
    let pending = bench
        .client
        .start_call(bench.agent.address(), &slow, CALL_TIMEOUT);
    while bench.runs() == 0 {
        std::thread::yield_now();
    }
    support::announce(
        bench.agent.http_address(),
        &support::notice(bench.endpoint.address, NoticeState::Leaving),
    );
    let refused = bench.send(&bench.request(2, "/whole"));
    assert_eq!(refused, DispatchReply::Refused(RefusalReason::Leaving));
    let message = pending.recv().unwrap().unwrap();
    let reply = decode_reply::<DispatchRequest>(&message).unwrap();
    assert!(is_whole(&reply), "{reply:?}");
}

#[test]
fn drained_agent_ends_what_it_has() {
    let bench = Bench::start();
    let slow = bench.request(1, "/late");
    let address = bench.agent.address();
    let pending = bench.client.start_call(address, &slow, CALL_TIMEOUT);
    while bench.runs() == 0 {
        std::thread::yield_now();
    }
    let (next, client) = (bench.request(2, "/whole"), bench.client.clone());
    let draining = bench.agent.drain();
    let mut reply = client.call(address, &next, CALL_TIMEOUT).unwrap();
    for sequence in 3..1_000 {
        if reply == DispatchReply::Refused(RefusalReason::Leaving) {
            break;
        }
        let mut next = next.clone();
        next.attempt.request.sequence = sequence;
        reply = client.call(address, &next, CALL_TIMEOUT).unwrap();
    }
    assert_eq!(reply, DispatchReply::Refused(RefusalReason::Leaving));
    assert_eq!(draining.wait(), 0, "requests were cut");
    let message = pending.recv().unwrap().unwrap();
    let reply = decode_reply::<DispatchRequest>(&message).unwrap();
    assert!(is_whole(&reply), "{reply:?}");
}
