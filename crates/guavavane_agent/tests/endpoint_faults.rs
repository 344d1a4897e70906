//! Faulty endpoints: each wrong answer makes the outcome of its own request unknown, and no other.
//!
//! The endpoint misbehaves as the request path says (`support::FakeEndpoint`): it gives incomplete,
//! oversized or malformed answers, answers that belong to another request, and late or no answers.
#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::Ordering;

use crate::support::FakeEndpoint;
use crate::support::CALL_TIMEOUT;
use guavavane_agent::daemon::Serving;
use guavavane_agent::prelude::RunningAgent;
use guavavane_contract::prelude::EndpointReadiness;
use guavavane_protocol::prelude::DispatchReply;
use guavavane_protocol::prelude::DispatchRequest;
use guavavane_protocol::prelude::HttpResponse;
use guavavane_protocol::prelude::RefusalReason;
use guavavane_protocol::prelude::RevokeReply;
use guavavane_protocol::prelude::RevokeRequest;
use guavavane_protocol::prelude::UnknownReason;
use guavavane_transport::client::decode_reply;
use guavavane_transport::prelude::CallClient;

/// An agent with one faulty endpoint, and a client in the role of an entry.
struct Fixture {
    agent: RunningAgent<Serving>,
    endpoint: FakeEndpoint,
    client: CallClient,
}

impl Fixture {
    fn start() -> Self {
        let endpoint = FakeEndpoint::start();
        let unreachable: SocketAddr = "127.0.0.1:9".parse().unwrap();
        let agent = RunningAgent::start(support::settings(unreachable, unreachable)).unwrap();
        let notice = support::notice(endpoint.address, EndpointReadiness::Ready);
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

    fn request_count(&self) -> usize {
        self.endpoint.request_count.load(Ordering::SeqCst)
    }
}

fn is_complete_answer(reply: &DispatchReply) -> bool {
    matches!(reply, DispatchReply::Answered(HttpResponse { status: 200, body, .. }) if body == b"whole")
}

#[test]
fn complete_answers_are_returned() {
    let fixture = Fixture::start();
    for (sequence, path) in ["/whole", "/chunked"].iter().enumerate() {
        let reply = fixture.send(&fixture.request(sequence as u64, path));
        assert!(is_complete_answer(&reply), "{path}: {reply:?}");
    }
    let reply = fixture.send(&fixture.request(9, "/redirect"));
    assert!(
        matches!(&reply, DispatchReply::Answered(answer) if answer.status == 302),
        "{reply:?}"
    );
    assert_eq!(fixture.request_count(), 3);
}

#[test]
fn incomplete_or_mismatched_answers_are_unknown() {
    let fixture = Fixture::start();
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
    let mut unexpected_replies = Vec::new();
    for (index, path) in paths.iter().enumerate() {
        let sequence = index as u64 * 2;
        let reply = fixture.send(&fixture.request(sequence, path));
        if !matches!(reply, DispatchReply::Unknown(_)) {
            unexpected_replies.push((path, reply));
        }
        let reply = fixture.send(&fixture.request(sequence + 1, "/whole"));
        assert!(is_complete_answer(&reply), "after {path}: {reply:?}");
    }
    assert!(unexpected_replies.is_empty(), "{unexpected_replies:#?}");
    assert_eq!(fixture.request_count(), paths.len() * 2);
}

#[test]
fn late_answer_is_unknown_to_the_caller_and_returned_to_the_revocation() {
    let fixture = Fixture::start();
    let mut request = fixture.request(1, "/late");
    request.deadline_ms = 100;
    request.keep_answer = true;
    let reply = fixture.send(&request);
    assert_eq!(
        reply,
        DispatchReply::Unknown(UnknownReason::EndpointTimeout)
    );
    let reply = fixture.revoke(&request, 5_000);
    assert!(
        matches!(&reply, RevokeReply::Answered(answer) if answer.body == b"whole"),
        "{reply:?}"
    );
    let reply = fixture.send(&request);
    assert!(is_complete_answer(&reply), "{reply:?}");
    assert_eq!(fixture.request_count(), 1);
}

#[test]
fn refused_connection_counts_as_not_run() {
    let fixture = Fixture::start();
    let unused_listener = TcpListener::bind(support::loopback()).unwrap();
    let address = unused_listener.local_addr().unwrap();
    drop(unused_listener);
    support::announce(
        fixture.agent.http_address(),
        &support::notice(address, EndpointReadiness::Ready),
    );
    let request = fixture.request(1, "/whole");
    let reply = fixture.send(&request);
    assert_eq!(
        reply,
        DispatchReply::Refused(RefusalReason::ConnectionRefused)
    );
    assert_eq!(fixture.revoke(&request, 0), RevokeReply::NotRun);
}

#[test]
fn revoked_attempt_never_runs() {
    let fixture = Fixture::start();
    let request = fixture.request(1, "/whole");
    assert_eq!(fixture.revoke(&request, 0), RevokeReply::NotRun);
    let reply = fixture.send(&request);
    assert_eq!(reply, DispatchReply::Refused(RefusalReason::Revoked));
    assert_eq!(fixture.request_count(), 0);
}

#[test]
fn parallel_requests_stay_within_the_slots() {
    let fixture = Fixture::start();
    let receivers: Vec<_> = (0..64)
        .map(|sequence| {
            let request = fixture.request(sequence, "/slow");
            fixture
                .client
                .call_async(fixture.agent.address(), &request, CALL_TIMEOUT)
        })
        .collect();
    for receiver in receivers {
        let message = receiver.recv().unwrap().unwrap();
        let reply = decode_reply::<DispatchRequest>(&message).unwrap();
        assert!(is_complete_answer(&reply), "{reply:?}");
    }
    assert_eq!(fixture.request_count(), 64);
    assert!(fixture.endpoint.running_max.load(Ordering::SeqCst) <= 8);
}

#[test]
fn leaving_endpoint_finishes_its_requests_and_gets_no_new_ones() {
    let fixture = Fixture::start();
    let slow = fixture.request(1, "/late");
    let pending = fixture
        .client
        .call_async(fixture.agent.address(), &slow, CALL_TIMEOUT);
    while fixture.request_count() == 0 {
        std::thread::yield_now();
    }
    support::announce(
        fixture.agent.http_address(),
        &support::notice(fixture.endpoint.address, EndpointReadiness::Leaving),
    );
    let refused = fixture.send(&fixture.request(2, "/whole"));
    assert_eq!(refused, DispatchReply::Refused(RefusalReason::Leaving));
    let message = pending.recv().unwrap().unwrap();
    let reply = decode_reply::<DispatchRequest>(&message).unwrap();
    assert!(is_complete_answer(&reply), "{reply:?}");
}

#[test]
fn draining_agent_finishes_its_requests() {
    let fixture = Fixture::start();
    let slow = fixture.request(1, "/late");
    let address = fixture.agent.address();
    let pending = fixture.client.call_async(address, &slow, CALL_TIMEOUT);
    while fixture.request_count() == 0 {
        std::thread::yield_now();
    }
    let (next, client) = (fixture.request(2, "/whole"), fixture.client.clone());
    let draining = fixture.agent.drain();
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
    assert_eq!(draining.wait(), 0, "calls without a reply");
    let message = pending.recv().unwrap().unwrap();
    let reply = decode_reply::<DispatchRequest>(&message).unwrap();
    assert!(is_complete_answer(&reply), "{reply:?}");
}
