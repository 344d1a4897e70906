//! An endpoint inside the worker's process.
//!
//! It announces itself to the agent, runs requests in its slots and leaves gracefully. It looks
//! at its lease before it runs a request and again before it answers, so that nothing of it is
//! seen once the lease has run out.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::anyhow;
use anyhow::Result;
use rouille::Request;
use rouille::Response;
use rouille::ResponseBody;
use rouille::Server;

use crate::answer::caller_id;
use crate::answer::EchoAnswer;
use crate::clock::StopFlag;
use crate::evidence::EvidenceEvent;
use crate::http::http_post;
use crate::worker::core::WorkerCore;
use crate::worker::misbehaviour::Misbehaviour;
use crate::worker::slots::SlotGate;
use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::EndpointNotice;
use guavavane_contract::prelude::NoticeState;
use guavavane_contract::prelude::REQUEST_ID_HEADER;
use guavavane_model::prelude::EndpointName;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::ServiceName;

/// Largest body that an endpoint reads.
const BODY_MAX_BYTES: u64 = 4 * 1024 * 1024;
/// Time without any request after which a leaving endpoint closes.
const QUIET_MS: u64 = 150;
/// Time-out of an announcement.
const ANNOUNCE_TIMEOUT_MS: u64 = 400;
/// Look at the mode while a request is held.
const HOLD_INTERVAL_MS: u64 = 10;
/// Longest hold of a frozen endpoint.
const HOLD_LIMIT_MS: u64 = 60_000;
/// Delay of a late answer.
const LATE_ANSWER_MS: u64 = 4_000;
/// Factor of a slow endpoint.
const SLOW_FACTOR: u32 = 10;
/// Threads beyond the connections, so that connections in excess are answered too.
const SPARE_THREADS: usize = 8;

/// What an endpoint is.
#[derive(Clone, Debug)]
pub(crate) struct EndpointPlan {
    pub(crate) key: AttemptKey,
    pub(crate) environment: EnvironmentName,
    pub(crate) service: ServiceName,
    pub(crate) slots: u16,
    pub(crate) connections: u16,
}

/// A running endpoint.
#[derive(Debug)]
pub(crate) struct EndpointHandle {
    shared: Arc<EndpointState>,
    closed: StopFlag,
}

#[derive(Debug)]
struct EndpointState {
    core: Arc<WorkerCore>,
    plan: EndpointPlan,
    name: EndpointName,
    gate: SlotGate,
    halted: StopFlag,
    leaving: StopFlag,
    previous: Mutex<(String, Vec<u8>)>,
}

impl EndpointHandle {
    /// Starts an endpoint on a free port.
    pub(crate) fn start(core: &Arc<WorkerCore>, plan: EndpointPlan) -> Result<Self> {
        let key = plan.key;
        let text = format!("{}-t{}-a{}", plan.service, key.task, key.attempt);
        let shared = Arc::new(EndpointState {
            core: Arc::clone(core),
            name: EndpointName::try_from(text)?,
            gate: SlotGate::new(plan.slots),
            halted: StopFlag::default(),
            leaving: StopFlag::default(),
            previous: Mutex::new((String::new(), Vec::new())),
            plan,
        });
        let address = SocketAddr::new(core.settings.listen.ip(), 0);
        let served = Arc::clone(&shared);
        let pool = usize::from(shared.plan.connections) + SPARE_THREADS;
        let server = Server::new(address, move |request| served.serve(request))
            .map_err(|error| anyhow!("endpoint cannot listen: {error}"))?
            .pool_size(pool);
        let bound = server.server_addr();
        let closed = StopFlag::default();
        spawn_listener(server, closed.clone());
        let announced = Arc::clone(&shared);
        thread::spawn(move || announced.announce_until_halted(bound));
        Ok(Self { shared, closed })
    }

    /// Leaves: announces it, ends what is in flight, closes. Returns when closed.
    pub(crate) fn leave(&self) {
        self.shared.leaving.raise();
        let limit = self.shared.core.settings.endpoint.drain_limit;
        let start = Instant::now();
        let mut quiet_since = Instant::now();
        while start.elapsed() < limit && quiet_since.elapsed() < Duration::from_millis(QUIET_MS) {
            if self.shared.gate.open_requests() > 0 {
                quiet_since = Instant::now();
            }
            thread::sleep(Duration::from_millis(HOLD_INTERVAL_MS));
        }
        self.halt();
    }

    /// Closes at once; nothing in flight is answered.
    pub(crate) fn halt(&self) {
        self.shared.halted.raise();
        self.closed.raise();
    }
}

fn spawn_listener<F>(server: Server<F>, closed: StopFlag)
where
    F: Send + Sync + 'static + Fn(&Request) -> Response,
{
    thread::spawn(move || {
        while !closed.is_raised() {
            server.poll_timeout(Duration::from_millis(HOLD_INTERVAL_MS));
        }
    });
}

impl EndpointState {
    fn announce_until_halted(&self, address: SocketAddr) {
        let Some(agent) = self.core.settings.agent else {
            return;
        };
        let settings = &self.core.settings.endpoint;
        let mut said_leaving = false;
        while !self.halted.is_raised() {
            let leaving = self.leaving.is_raised();
            let state = if leaving {
                NoticeState::Leaving
            } else {
                NoticeState::Ready
            };
            said_leaving = self.announce(agent, address, state) && leaving;
            let start = Instant::now();
            while start.elapsed() < settings.announce_interval && !self.halted.is_raised() {
                if self.leaving.is_raised() && !said_leaving {
                    break;
                }
                thread::sleep(Duration::from_millis(HOLD_INTERVAL_MS));
            }
        }
        if said_leaving {
            tracing::debug!(endpoint = %self.name, "endpoint left");
        }
    }

    fn announce(&self, agent: SocketAddr, address: SocketAddr, state: NoticeState) -> bool {
        let expiry = self.core.settings.endpoint.announce_expiry;
        let notice = EndpointNotice {
            endpoint: self.name.clone(),
            environment: self.plan.environment.clone(),
            service: self.plan.service.clone(),
            address,
            slots: self.plan.slots,
            connections: self.plan.connections,
            state,
            expiry_ms: u32::try_from(expiry.as_millis()).unwrap_or(u32::MAX),
        };
        let sent = http_post(format!("http://{agent}/announce"))
            .timeout(Duration::from_millis(ANNOUNCE_TIMEOUT_MS))
            .json(&notice)
            .and_then(|request| request.send());
        sent.is_ok_and(|response| response.is_success())
    }

    fn serve(&self, request: &Request) -> Response {
        self.gate.open();
        let response = self.serve_open(request);
        self.gate.close();
        response
    }

    fn serve_open(&self, request: &Request) -> Response {
        let Some(body) = read_body(request) else {
            return Response::text("body is not readable").with_status_code(400);
        };
        let mode = self.core.draw_misbehaviour();
        if mode == Misbehaviour::Freeze {
            self.hold();
        }
        self.gate.take();
        self.core.slot_taken();
        let response = self.run(request, &body, mode);
        self.core.slot_freed();
        self.gate.free();
        response
    }

    fn run(&self, request: &Request, body: &[u8], mode: Misbehaviour) -> Response {
        if !self.lives() {
            return broken_response();
        }
        let request_id = request.header(REQUEST_ID_HEADER).unwrap_or_default();
        let caller_id = caller_id(request.raw_url(), body);
        self.core.record(EvidenceEvent::Executed {
            worker: self.core.settings.facts.worker.clone(),
            key: self.plan.key,
            request: request_id.to_owned(),
            method: request.method().to_owned(),
            caller_id: caller_id.clone(),
        });
        thread::sleep(self.service_time(mode));
        if !self.lives() {
            return broken_response();
        }
        let padding = self.core.settings.endpoint.answer_bytes;
        let answer = EchoAnswer::new(caller_id, body, padding);
        let text = serde_json::to_vec(&answer).unwrap_or_default();
        self.respond(request_id, text, mode)
    }

    fn respond(&self, request_id: &str, text: Vec<u8>, mode: Misbehaviour) -> Response {
        let crossed = {
            let own = (request_id.to_owned(), text.clone());
            let mut previous = self.previous.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::replace(&mut *previous, own)
        };
        match mode {
            Misbehaviour::ShortAnswer => {
                let declared = text.len();
                let short = std::io::Cursor::new(text).take(declared as u64 / 2);
                let body = ResponseBody::from_reader_and_size(short, declared);
                json_response(request_id, body)
            }
            Misbehaviour::CrossedId if !crossed.1.is_empty() => {
                json_response(&crossed.0, ResponseBody::from_data(crossed.1))
            }
            Misbehaviour::DoubleAnswer => {
                let declared = text.len();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {declared}\r\n\r\n");
                let twice = [text.clone(), head.into_bytes(), text].concat();
                let reader = std::io::Cursor::new(twice);
                let body = ResponseBody::from_reader_and_size(reader, declared);
                json_response(request_id, body)
            }
            Misbehaviour::Failing => {
                json_response(request_id, ResponseBody::from_data(text)).with_status_code(500)
            }
            _ => json_response(request_id, ResponseBody::from_data(text)),
        }
    }

    fn service_time(&self, mode: Misbehaviour) -> Duration {
        let slowdown = self.core.look(|machine, _| machine.request_slowdown());
        let alone = self.core.settings.endpoint.service_time;
        let millis = u32::try_from(slowdown).unwrap_or(u32::MAX);
        let time = alone * millis / 1_000;
        match mode {
            Misbehaviour::Slow => time * SLOW_FACTOR,
            Misbehaviour::LateAnswer => time + Duration::from_millis(LATE_ANSWER_MS),
            _ => time,
        }
    }

    fn hold(&self) {
        let start = Instant::now();
        while self.core.mode().mode == Misbehaviour::Freeze
            && !self.halted.is_raised()
            && start.elapsed() < Duration::from_millis(HOLD_LIMIT_MS)
        {
            thread::sleep(Duration::from_millis(HOLD_INTERVAL_MS));
        }
    }

    fn lives(&self) -> bool {
        let holds = self
            .core
            .look(|machine, now| machine.holds_lease(now, &self.plan.key));
        holds && !self.halted.is_raised()
    }
}

fn read_body(request: &Request) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let mut reader = request.data()?.take(BODY_MAX_BYTES);
    reader.read_to_end(&mut body).ok()?;
    Some(body)
}

fn json_response(request_id: &str, body: ResponseBody) -> Response {
    let mut response = Response::text("")
        .with_unique_header("Content-Type", "application/json")
        .with_unique_header(REQUEST_ID_HEADER, request_id.to_owned());
    response.data = body;
    response
}

/// An answer that ends after its head, as that of a process that died.
fn broken_response() -> Response {
    let reader = std::io::Cursor::new(Vec::new());
    let mut response = Response::text("").with_status_code(500);
    response.data = ResponseBody::from_reader_and_size(reader, 1);
    response
}
