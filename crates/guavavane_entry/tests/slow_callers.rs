//! Callers that are idle or send slowly must not delay other callers.

#![allow(clippy::unwrap_used)]

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::common::entry_settings;
use crate::common::start_entry_with;
use crate::common::FakeAgent;
use crate::common::FakeControl;
use guavavane_entry::process::EntryProcess;
use guavavane_protocol::prelude::EndpointState;

const CONNECTION_COUNT: usize = 64;
const HALF_HEAD: &[u8] = b"POST /despacho/slips HTTP/1.1\r\nhost: x\r\n";
const HALF_BODY: &[u8] =
    b"POST /despacho/slips HTTP/1.1\r\nhost: x\r\ncontent-length: 4000\r\n\r\nhalf";

fn start(control: &FakeControl, agent: &FakeAgent, receive_ms: u64) -> EntryProcess {
    let mut settings = entry_settings(control.address);
    settings.connections_max = CONNECTION_COUNT;
    settings.receive_timeout = Duration::from_millis(receive_ms);
    let entry = start_entry_with(&settings);
    agent.announce(entry.call_address(), 1, EndpointState::Ready);
    entry
}

fn open_connections(address: SocketAddr, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let open = |_| {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(bytes).unwrap();
        stream
    };
    (0..count).map(open).collect()
}

fn post(address: SocketAddr) -> Result<u16, attohttpc::Error> {
    let url = format!("http://{address}/despacho/slips");
    let response = attohttpc::post(url).text("slip").send()?;
    Ok(response.status().as_u16())
}

/// Guards against incomplete requests that occupy all threads: with half of the connections
/// waiting for the rest of a head or body, other callers must be served.
#[test]
fn half_sent_requests_within_the_bound_delay_nobody() {
    let control = FakeControl::start();
    let agent = FakeAgent::start(Duration::ZERO);
    let entry = start(&control, &agent, 30_000);
    let address = entry.caller_address();
    let heads = open_connections(address, CONNECTION_COUNT / 4, HALF_HEAD);
    let bodies = open_connections(address, CONNECTION_COUNT / 4, HALF_BODY);
    for _ in 0..50 {
        assert_eq!(post(address).unwrap(), 200);
    }
    drop((heads, bodies));
}

/// Guards against incomplete requests that hold all connections: they must be closed after the
/// receive timeout, so that other callers are served again.
#[test]
fn half_sent_requests_are_closed_and_make_room() {
    let control = FakeControl::start();
    let agent = FakeAgent::start(Duration::ZERO);
    let entry = start(&control, &agent, 500);
    let address = entry.caller_address();
    // Three times the maximum: the first third is closed after the timeout, the rest at once.
    let mut open_streams = open_connections(address, CONNECTION_COUNT, HALF_BODY);
    let _refused: Vec<_> = (0..2 * CONNECTION_COUNT)
        .map(|_| TcpStream::connect(address))
        .collect();
    for stream in &mut open_streams {
        let mut rest = Vec::new();
        // The stream ends or is reset: either way it is closed without an answer.
        let _ = stream.read_to_end(&mut rest);
        assert!(!rest.starts_with(b"HTTP/1.1 200"));
    }
    while post(address).is_err() {}
    assert_eq!(post(address).unwrap(), 200);
}

/// Guards against the idle and receive timeouts of 300 ms closing the connection of a request
/// that runs for 1.5 s.
#[test]
fn a_request_that_runs_longer_than_the_limits_is_not_cut() {
    let control = FakeControl::start();
    let agent = FakeAgent::start(Duration::from_millis(1_500));
    let mut settings = entry_settings(control.address);
    settings.receive_timeout = Duration::from_millis(300);
    settings.idle_timeout = Duration::from_millis(300);
    let entry = start_entry_with(&settings);
    agent.announce(entry.call_address(), 1, EndpointState::Ready);
    assert_eq!(post(entry.caller_address()).unwrap(), 200);
}

/// Guards against heads that are accepted at any size. A larger one than the maximum is refused,
/// and the entry goes on serving.
#[test]
fn large_heads_are_refused() {
    let control = FakeControl::start();
    let agent = FakeAgent::start(Duration::ZERO);
    let entry = start(&control, &agent, 30_000);
    let address = entry.caller_address();
    let response = attohttpc::get(format!("http://{address}/despacho/slips"))
        .header("x-large", "a".repeat(20_000))
        .send()
        .unwrap();
    assert_eq!(response.status().as_u16(), 431);
    assert_eq!(post(address).unwrap(), 200);
}
