//! A complete entry in this process, with a simulated control replica and agent on loopback.

#![allow(clippy::unwrap_used)]

mod common;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::common::start_entry;
use crate::common::FakeAgent;
use crate::common::FakeControl;
use guavavane_protocol::prelude::EndpointState;

const OUTCOME_HEADER: &str = "x-guavavane-outcome";

/// Guards against a path, query, outcome header or body that is lost between caller and endpoint.
#[test]
fn answers_reach_the_caller_whole() {
    let control = FakeControl::start();
    let entry = start_entry(control.address);
    let agent = FakeAgent::start(Duration::ZERO);
    agent.announce(entry.call_address(), 1, EndpointState::Ready);
    let url = format!("http://{}/despacho/slips/7?x=1", entry.caller_address());
    let response = attohttpc::post(&url).text("slip").send().unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()[OUTCOME_HEADER], "answered");
    assert_eq!(response.text().unwrap(), "POST /slips/7?x=1 run 1");
}

/// Guards against a refusal without its status, outcome and reason.
#[test]
fn refusals_name_their_outcome() {
    let control = FakeControl::start();
    let entry = start_entry(control.address);
    let base = format!("http://{}", entry.caller_address());
    let cases = [
        ("/despacho/slips", 503, "no-endpoint"),
        ("/other/slips", 404, "no-such-service"),
        ("/Bad_Name/slips", 404, "no-such-service"),
    ];
    for (path, status, reason) in cases {
        let response = attohttpc::get(format!("{base}{path}")).send().unwrap();
        assert_eq!(response.status(), status, "{path}");
        assert_eq!(response.headers()[OUTCOME_HEADER], "not-run");
        assert_eq!(response.headers()["x-guavavane-reason"], reason);
    }
    let large = vec![0; 2 * 1024 * 1024];
    let response = attohttpc::post(format!("{base}/despacho/slips"))
        .bytes(large)
        .send();
    // The refusal may arrive before the body is written completely.
    assert!(response.is_err() || response.unwrap().status() == 413);
}

/// Guards against attempts for an endpoint that has announced that it is leaving.
#[test]
fn leaving_endpoint_gets_no_new_work() {
    let control = FakeControl::start();
    let entry = start_entry(control.address);
    let agent = FakeAgent::start(Duration::ZERO);
    agent.announce(entry.call_address(), 1, EndpointState::Ready);
    agent.announce(entry.call_address(), 2, EndpointState::Leaving);
    let url = format!("http://{}/despacho/slips", entry.caller_address());
    let response = attohttpc::post(&url).send().unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(agent.runs.load(Ordering::SeqCst), 0);
}

/// Guards against a second run of a keyed request that is sent again through another entry, and
/// against another request with the same key that is answered.
#[test]
fn key_resent_through_another_entry_runs_once() {
    let control = FakeControl::start();
    let entries = [start_entry(control.address), start_entry(control.address)];
    let agent = FakeAgent::start(Duration::from_millis(50));
    for entry in &entries {
        agent.announce(entry.call_address(), 1, EndpointState::Ready);
    }
    let mut bodies = Vec::new();
    for entry in &entries {
        let url = format!("http://{}/despacho/slips", entry.caller_address());
        let response = attohttpc::post(&url)
            .header("Idempotency-Key", "slip-7")
            .send()
            .unwrap();
        assert_eq!(response.headers()[OUTCOME_HEADER], "answered");
        bodies.push(response.text().unwrap());
        // The claim is settled after the caller has its answer.
        thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(bodies[0], bodies[1]);
    assert_eq!(agent.runs.load(Ordering::SeqCst), 1);
    let url = format!("http://{}/despacho/other", entries[0].caller_address());
    let response = attohttpc::post(&url)
        .header("Idempotency-Key", "slip-7")
        .send()
        .unwrap();
    assert_eq!(response.status(), 422);
}

/// Guards against a shutdown that closes the connections of requests in flight.
#[test]
fn drain_cuts_no_request_in_flight() {
    let control = FakeControl::start();
    let entry = start_entry(control.address);
    let agent = FakeAgent::start(Duration::from_millis(700));
    agent.announce(entry.call_address(), 1, EndpointState::Ready);
    let url = format!("http://{}/despacho/slips", entry.caller_address());
    let callers: Vec<_> = (0..4)
        .map(|_| {
            let url = url.clone();
            thread::spawn(move || attohttpc::post(&url).send().unwrap().text().unwrap())
        })
        .collect();
    while agent.runs.load(Ordering::SeqCst) < 4 {
        thread::sleep(Duration::from_millis(5));
    }
    entry.drain();
    for caller in callers {
        assert!(caller.join().unwrap().starts_with("POST /slips run "));
    }
}
