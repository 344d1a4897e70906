//! Simulated control replica and simulated agent with one endpoint, on loopback.

#![allow(dead_code, unreachable_pub)]

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use indexmap::IndexMap;

use guavavane_entry::options::RawSettings;
use guavavane_entry::process::EntryProcess;
use guavavane_entry::settings::EntrySettings;
use guavavane_model::prelude::*;
use guavavane_protocol::prelude::*;
use guavavane_transport::prelude::*;

pub const DOCUMENT: &str = r#"
data_centre = [{ name = "caxias", region = "serra" }]
team = [{ name = "despacho" }]

[[service]]
name = "despacho"
team = "despacho"
instances = 2
request_timeout_ms = 3000
demand = { cpu_millis = 1000, memory_mib = 1024 }
"#;

pub fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub fn identity(incarnation: u64) -> FrameIdentity {
    FrameIdentity {
        cell: CellId(1),
        incarnation: IncarnationId(incarnation),
    }
}

/// State of one key at the simulated control.
#[derive(Clone)]
pub enum KeyState {
    Held(ClaimHolder),
    Settled(HttpResponse),
}

/// A control replica that always leads.
pub struct FakeControl {
    pub address: SocketAddr,
    pub claims: Arc<Mutex<IndexMap<ClaimKey, (u64, KeyState)>>>,
}

impl FakeControl {
    pub fn start() -> Self {
        let server = CallServer::start(loopback(), identity(9), 64).unwrap();
        let address = server.address();
        let claims: Arc<Mutex<IndexMap<ClaimKey, (u64, KeyState)>>> = Arc::default();
        let shared = Arc::clone(&claims);
        thread::spawn(move || {
            for call in server.calls().clone() {
                match call.kind {
                    CallKind::EntryPoll => answer_poll(call),
                    CallKind::Claim => answer_claim(call, &mut shared.lock().unwrap()),
                    _ => {}
                }
            }
            drop(server);
        });
        Self { address, claims }
    }
}

fn answer_poll(call: IncomingCall) {
    let poll: EntryPoll = call.decode().unwrap();
    let environment_version = EnvironmentVersion {
        environment: EnvironmentName::try_from("production").unwrap(),
        version: DocumentVersion(1),
    };
    let documents = if poll.documents.contains(&environment_version) {
        Vec::new()
    } else {
        vec![VersionedDocument {
            environment_version,
            text: DOCUMENT.into(),
        }]
    };
    let view = RoutingUpdate {
        documents,
        data_centres: Vec::new(),
        replicas: Vec::new(),
        next_poll_ms: 50,
    };
    let reply = EntryPollReply::View(view);
    call.reply.send::<EntryPoll>(&reply).unwrap();
}

fn answer_claim(call: IncomingCall, claims: &mut IndexMap<ClaimKey, (u64, KeyState)>) {
    let request: ClaimRequest = call.decode().unwrap();
    let outcome = change_claim(claims, request);
    let reply = ClaimReply::Outcome(outcome);
    call.reply.send::<ClaimRequest>(&reply).unwrap();
}

fn change_claim(
    claims: &mut IndexMap<ClaimKey, (u64, KeyState)>,
    request: ClaimRequest,
) -> ClaimOutcome {
    let known = claims.get(&request.key).cloned();
    if known
        .as_ref()
        .is_some_and(|(digest, _)| *digest != request.digest)
    {
        return ClaimOutcome::DigestMismatch;
    }
    let state = known.map(|(_, state)| state);
    let next = match (request.change, state) {
        (_, Some(KeyState::Settled(answer))) => return ClaimOutcome::Answered(answer),
        (ClaimChange::Acquire(next), None) => Some(KeyState::Held(next)),
        (ClaimChange::Acquire(next), Some(KeyState::Held(held))) if held == next => {
            Some(KeyState::Held(held))
        }
        (ClaimChange::Replace { not_run, next }, Some(KeyState::Held(held)))
            if held.attempt == not_run || held == next =>
        {
            Some(KeyState::Held(next))
        }
        (ClaimChange::Replace { next, .. }, None) => Some(KeyState::Held(next)),
        (ClaimChange::Release { not_run }, Some(KeyState::Held(held)))
            if held.attempt == not_run =>
        {
            None
        }
        (ClaimChange::Settle { attempt, answer }, Some(KeyState::Held(held)))
            if held.attempt == attempt =>
        {
            Some(KeyState::Settled(answer))
        }
        (_, Some(KeyState::Held(held))) => return ClaimOutcome::Held(held),
        (_, None) => None,
    };
    match next {
        Some(state) => {
            claims.insert(request.key, (request.digest, state));
        }
        None => {
            claims.swap_remove(&request.key);
        }
    }
    ClaimOutcome::Granted
}

/// Agent that answers each request after a delay and counts its runs.
pub struct FakeAgent {
    pub address: SocketAddr,
    pub runs: Arc<AtomicU64>,
}

impl FakeAgent {
    pub fn start(delay: Duration) -> Self {
        let server = CallServer::start(loopback(), identity(5), 64).unwrap();
        let address = server.address();
        let runs = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&runs);
        thread::spawn(move || {
            for call in server.calls().clone() {
                let counter = Arc::clone(&counter);
                thread::spawn(move || answer_agent_call(call, &counter, delay));
            }
            drop(server);
        });
        Self { address, runs }
    }

    /// Announces the endpoint to an entry.
    pub fn announce(&self, entry: SocketAddr, sequence: u64, state: EndpointState) {
        let announcement = EndpointAnnouncement {
            worker: WorkerName::try_from("worker-1").unwrap(),
            data_centre: DataCentreName::try_from("caxias").unwrap(),
            rack: RackName::try_from("rack-1").unwrap(),
            address: self.address,
            incarnation: IncarnationId(5),
            sequence,
            expiry_ms: 60_000,
            endpoints: vec![EndpointStatus {
                name: EndpointName::try_from("endpoint-1").unwrap(),
                environment: EnvironmentName::try_from("production").unwrap(),
                service: ServiceName::try_from("despacho").unwrap(),
                state,
                slots: 8,
                outstanding: 0,
            }],
        };
        let client = CallClient::new(identity(5));
        client
            .call(entry, &announcement, Duration::from_secs(5))
            .unwrap();
    }
}

fn answer_agent_call(call: IncomingCall, runs: &AtomicU64, delay: Duration) {
    match call.kind {
        CallKind::Dispatch => {
            let request: DispatchRequest = call.decode().unwrap();
            let run = runs.fetch_add(1, Ordering::SeqCst) + 1;
            thread::sleep(delay);
            let reply = DispatchReply::Answered(HttpResponse {
                status: 200,
                headers: Vec::new(),
                body: format!("{} {} run {run}", request.method, request.path).into_bytes(),
            });
            call.reply.send::<DispatchRequest>(&reply).unwrap();
        }
        CallKind::Revoke => {
            let reply = RevokeReply::Unknown(UnknownReason::StillRunning);
            call.reply.send::<RevokeRequest>(&reply).unwrap();
        }
        _ => {}
    }
}

/// Returns settings of an entry on free ports.
pub fn entry_settings(control: SocketAddr) -> EntrySettings {
    let mut raw = raw_settings();
    raw.control = control.to_string();
    EntrySettings::try_from(raw).unwrap()
}

pub fn raw_settings() -> RawSettings {
    const ARGUMENTS: [&str; 7] = [
        "--data-centre=caxias",
        "--caller-listen=127.0.0.1:0",
        "--operator-listen=127.0.0.1:0",
        "--call-listen=127.0.0.1:0",
        "--control=127.0.0.1:1",
        "--connections=64",
        "--drain-wait-ms=200",
    ];
    let parser = guavavane_entry::options::entry_options();
    parser.run_inner(&ARGUMENTS).unwrap()
}

/// Starts an entry and waits until it is ready.
pub fn start_entry(control: SocketAddr) -> EntryProcess {
    start_entry_with(&entry_settings(control))
}

pub fn start_entry_with(settings: &EntrySettings) -> EntryProcess {
    let entry = EntryProcess::start(settings).unwrap();
    let url = format!("http://{}/health", entry.operator_address());
    while attohttpc::get(&url).send().unwrap().status() != 200 {
        thread::sleep(Duration::from_millis(10));
    }
    entry
}
