//! Service endpoint that runs inside the worker's process.
//!
//! The endpoint announces itself to the agent of its worker, runs up to as many requests at once as
//! it has slots, and drains before it closes. It checks the lease of its attempt before it runs a
//! request and again before it answers, so that no effect of it is visible after the lease has
//! expired.

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
use crate::worker::fault::EndpointFault;
use crate::worker::shared_worker::SharedWorker;
use crate::worker::slots::RequestSlots;
use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::EndpointNotice;
use guavavane_contract::prelude::EndpointReadiness;
use guavavane_contract::prelude::REQUEST_ID_HEADER;
use guavavane_model::prelude::EndpointName;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::ServiceName;

/// Longer request bodies are truncated to this size.
const BODY_MAX_BYTES: u64 = 4 * 1024 * 1024;
/// Time without open requests after which a draining endpoint closes.
const DRAIN_IDLE_MS: u64 = 150;
/// Timeout of an announcement to the agent.
const ANNOUNCE_TIMEOUT_MS: u64 = 400;
/// Interval at which the threads of an endpoint poll their flags and conditions.
const POLL_INTERVAL_MS: u64 = 10;
/// Longest time for which [`EndpointFault::Freeze`] holds a request back.
const FREEZE_MAX_MS: u64 = 60_000;
/// Time that [`EndpointFault::LateAnswer`] adds to the service time.
const LATE_ANSWER_DELAY_MS: u64 = 4_000;
/// Factor by which [`EndpointFault::Slow`] lengthens the service time.
const SLOW_FACTOR: u32 = 10;
/// Server threads beyond the declared connections, which answer connections in excess.
const SPARE_THREADS: usize = 8;

/// Attempt, service and concurrency limits of an endpoint, from its start order.
#[derive(Clone, Debug)]
pub(crate) struct EndpointPlan {
    pub(crate) key: AttemptKey,
    pub(crate) environment: EnvironmentName,
    pub(crate) service: ServiceName,
    pub(crate) slots: u16,
    pub(crate) connections: u16,
}

/// Handle of a running endpoint; dropping the handle does not close the endpoint.
#[derive(Debug)]
pub(crate) struct EndpointHandle {
    shared: Arc<SharedEndpoint>,
    closed: StopFlag,
}

#[derive(Debug)]
struct SharedEndpoint {
    worker: Arc<SharedWorker>,
    plan: EndpointPlan,
    name: EndpointName,
    request_slots: RequestSlots,
    close_requested: StopFlag,
    drain_requested: StopFlag,
    /// Request id and body of the last answer, which [`EndpointFault::CrossedId`] sends again.
    previous_answer: Mutex<(String, Vec<u8>)>,
}

impl EndpointHandle {
    /// Starts an endpoint on a free port and begins to announce it to the agent.
    pub(crate) fn start(worker: &Arc<SharedWorker>, plan: EndpointPlan) -> Result<Self> {
        let key = plan.key;
        let text = format!("{}-t{}-a{}", plan.service, key.task, key.attempt);
        let shared = Arc::new(SharedEndpoint {
            worker: Arc::clone(worker),
            name: EndpointName::try_from(text)?,
            request_slots: RequestSlots::new(plan.slots),
            close_requested: StopFlag::default(),
            drain_requested: StopFlag::default(),
            previous_answer: Mutex::new((String::new(), Vec::new())),
            plan,
        });
        let address = SocketAddr::new(worker.settings.listen.ip(), 0);
        let server_shared = Arc::clone(&shared);
        let thread_count = usize::from(shared.plan.connections) + SPARE_THREADS;
        let server = Server::new(address, move |request| server_shared.serve(request))
            .map_err(|error| anyhow!("endpoint cannot listen on {address}: {error}"))?
            .pool_size(thread_count);
        let bound_address = server.server_addr();
        let closed = StopFlag::default();
        spawn_listener(server, closed.clone());
        let announcer = Arc::clone(&shared);
        thread::spawn(move || announcer.run_announcement_loop(bound_address));
        Ok(Self { shared, closed })
    }

    /// Drains the endpoint and closes it: announces that it leaves and serves requests until none
    /// has been open for [`DRAIN_IDLE_MS`] or the drain limit has passed. Blocks until closed.
    pub(crate) fn drain(&self) {
        self.shared.drain_requested.raise();
        let limit = self.shared.worker.settings.endpoint.drain_limit;
        let start = Instant::now();
        let mut idle_since = Instant::now();
        while start.elapsed() < limit && idle_since.elapsed() < Duration::from_millis(DRAIN_IDLE_MS)
        {
            if self.shared.request_slots.open_requests() > 0 {
                idle_since = Instant::now();
            }
            thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
        self.close_now();
    }

    /// Closes the endpoint at once; requests in flight are not answered.
    pub(crate) fn close_now(&self) {
        self.shared.close_requested.raise();
        self.closed.raise();
    }
}

fn spawn_listener<F>(server: Server<F>, closed: StopFlag)
where
    F: Send + Sync + 'static + Fn(&Request) -> Response,
{
    thread::spawn(move || {
        while !closed.is_raised() {
            server.poll_timeout(Duration::from_millis(POLL_INTERVAL_MS));
        }
    });
}

impl SharedEndpoint {
    fn run_announcement_loop(&self, address: SocketAddr) {
        let Some(agent) = self.worker.settings.agent else {
            return;
        };
        let settings = &self.worker.settings.endpoint;
        let mut leave_announced = false;
        while !self.close_requested.is_raised() {
            let drain_requested = self.drain_requested.is_raised();
            let state = if drain_requested {
                EndpointReadiness::Leaving
            } else {
                EndpointReadiness::Ready
            };
            leave_announced = self.announce(agent, address, state) && drain_requested;
            let start = Instant::now();
            while start.elapsed() < settings.announce_interval && !self.close_requested.is_raised()
            {
                if self.drain_requested.is_raised() && !leave_announced {
                    break;
                }
                thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
            }
        }
        if leave_announced {
            tracing::debug!(endpoint = %self.name, "endpoint left");
        }
    }

    fn announce(&self, agent: SocketAddr, address: SocketAddr, state: EndpointReadiness) -> bool {
        let expiry = self.worker.settings.endpoint.announce_expiry;
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
        self.request_slots.count_arrival();
        let response = self.serve_counted(request);
        self.request_slots.count_end();
        response
    }

    fn serve_counted(&self, request: &Request) -> Response {
        let Some(body) = read_truncated_body(request) else {
            return Response::text("cannot read the body of the request").with_status_code(400);
        };
        let fault = self.worker.draw_fault();
        if fault == EndpointFault::Freeze {
            self.wait_while_frozen();
        }
        self.request_slots.acquire();
        self.worker.count_slot_acquired();
        let response = self.execute(request, &body, fault);
        self.worker.count_slot_released();
        self.request_slots.release();
        response
    }

    fn execute(&self, request: &Request, body: &[u8], fault: EndpointFault) -> Response {
        if !self.may_execute() {
            return truncated_response();
        }
        let request_id = request.header(REQUEST_ID_HEADER).unwrap_or_default();
        let caller_id = caller_id(request.raw_url(), body);
        self.worker.record(EvidenceEvent::Executed {
            worker: self.worker.settings.facts.worker.clone(),
            key: self.plan.key,
            request: request_id.to_owned(),
            method: request.method().to_owned(),
            caller_id: caller_id.clone(),
        });
        thread::sleep(self.service_time(fault));
        if !self.may_execute() {
            return truncated_response();
        }
        let padding = self.worker.settings.endpoint.answer_bytes;
        let answer = EchoAnswer::new(caller_id, body, padding);
        let text = serde_json::to_vec(&answer).unwrap_or_default();
        self.respond(request_id, text, fault)
    }

    fn respond(&self, request_id: &str, text: Vec<u8>, fault: EndpointFault) -> Response {
        let previous_answer = {
            let own = (request_id.to_owned(), text.clone());
            let mut stored_answer = self
                .previous_answer
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            std::mem::replace(&mut *stored_answer, own)
        };
        match fault {
            EndpointFault::ShortAnswer => {
                let declared = text.len();
                let half = std::io::Cursor::new(text).take(declared as u64 / 2);
                let body = ResponseBody::from_reader_and_size(half, declared);
                json_response(request_id, body)
            }
            EndpointFault::CrossedId if !previous_answer.1.is_empty() => json_response(
                &previous_answer.0,
                ResponseBody::from_data(previous_answer.1),
            ),
            EndpointFault::DoubleAnswer => {
                let declared = text.len();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {declared}\r\n\r\n");
                let two_answers = [text.clone(), head.into_bytes(), text].concat();
                let reader = std::io::Cursor::new(two_answers);
                let body = ResponseBody::from_reader_and_size(reader, declared);
                json_response(request_id, body)
            }
            EndpointFault::Failing => {
                json_response(request_id, ResponseBody::from_data(text)).with_status_code(500)
            }
            _ => json_response(request_id, ResponseBody::from_data(text)),
        }
    }

    fn service_time(&self, fault: EndpointFault) -> Duration {
        let slowdown = self.worker.read(|machine, _| machine.request_slowdown());
        let base_time = self.worker.settings.endpoint.service_time;
        let slowdown_millis = u32::try_from(slowdown).unwrap_or(u32::MAX);
        let service_time = base_time * slowdown_millis / 1_000;
        match fault {
            EndpointFault::Slow => service_time * SLOW_FACTOR,
            EndpointFault::LateAnswer => service_time + Duration::from_millis(LATE_ANSWER_DELAY_MS),
            _ => service_time,
        }
    }

    fn wait_while_frozen(&self) {
        let start = Instant::now();
        while self.worker.fault_order().mode == EndpointFault::Freeze
            && !self.close_requested.is_raised()
            && start.elapsed() < Duration::from_millis(FREEZE_MAX_MS)
        {
            thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
    }

    fn may_execute(&self) -> bool {
        let lease_valid = self
            .worker
            .read(|machine, now| machine.holds_lease(now, &self.plan.key));
        lease_valid && !self.close_requested.is_raised()
    }
}

fn read_truncated_body(request: &Request) -> Option<Vec<u8>> {
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

/// Returns a response that ends after its header, as one of a process that crashed.
fn truncated_response() -> Response {
    let reader = std::io::Cursor::new(Vec::new());
    let mut response = Response::text("").with_status_code(500);
    response.data = ResponseBody::from_reader_and_size(reader, 1);
    response
}
