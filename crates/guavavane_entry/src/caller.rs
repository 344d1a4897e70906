//! HTTP for callers.
//!
//! The header [`SERVICE_HEADER`] or else the first segment of the path names the service. A
//! request with an `Idempotency-Key` claims its key, unless the document of its environment
//! declares it idempotent.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use flume::Sender;
use rouille::Request;
use rouille::Response;
use xxhash_rust::xxh3::Xxh3;

use crate::directory::PolicyLookup;
use crate::directory::ServiceDirectory;
use crate::directory::ServicePolicy;
use crate::drain::EntryPhase;
use crate::drain::GateRefusal;
use crate::drain::RequestGate;
use crate::response::hold_until_written;
use crate::response::is_connection_header;
use crate::response::not_run_response;
use crate::response::result_response;
use crate::stage::StageInput;
use guavavane_daemon::http::read_body;
use guavavane_daemon::http::BodyOutcome;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::RequestId;
use guavavane_model::prelude::ServiceName;
use guavavane_protocol::prelude::HeaderField;
use guavavane_protocol::prelude::UnknownReason;
use guavavane_routing::prelude::CallerRequest;
use guavavane_routing::prelude::ClaimIntent;
use guavavane_routing::prelude::RequestResult;
use guavavane_routing::prelude::ServiceKey;
use guavavane_transport::prelude::InFlightRequests;

/// Header that names the service instead of the path.
pub const SERVICE_HEADER: &str = "x-guavavane-service";

/// Header that names the environment; needed only if several environments define the service.
pub const ENVIRONMENT_HEADER: &str = "x-guavavane-environment";

/// Header with a timeout of the caller in milliseconds; it applies only if it is shorter than the
/// timeout of the service.
pub const TIMEOUT_HEADER: &str = "x-guavavane-timeout-ms";

/// Path of the health check on the callers' listener.
pub const HEALTH_PATH: &str = "/.guavavane/health";

/// Maximum length of an `Idempotency-Key`, in bytes.
const KEY_MAX_BYTES: usize = 255;

/// Time after the deadline after which the handler stops waiting for a result.
const RESULT_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);

/// Limits and defaults of a request.
#[derive(Clone, Debug)]
pub struct RequestLimits {
    /// Environment of requests that name none.
    pub default_environment: Option<EnvironmentName>,
    /// Maximum size of the body, in bytes.
    pub body_bytes_max: usize,
    /// Maximum total size of path, header names and values, in bytes.
    pub header_bytes_max: usize,
    /// Timeout of a request while no view from control is known.
    pub default_timeout: Duration,
}

/// Handles the HTTP requests of callers.
#[derive(Debug)]
pub struct CallerHandler {
    incarnation: IncarnationId,
    sequence: AtomicU64,
    directory: ServiceDirectory,
    gate: RequestGate,
    stage: Sender<StageInput>,
    served_connections: InFlightRequests,
    limits: RequestLimits,
}

/// Refusal of a request before it reaches the router.
#[derive(Debug)]
struct EarlyRefusal {
    status: u16,
    reason: &'static str,
}

fn refusal(status: u16, reason: &'static str) -> EarlyRefusal {
    EarlyRefusal { status, reason }
}

impl CallerHandler {
    /// Creates a handler that passes requests to `stage`.
    pub fn new(
        incarnation: IncarnationId,
        directory: ServiceDirectory,
        gate: RequestGate,
        stage: Sender<StageInput>,
        served_connections: InFlightRequests,
        limits: RequestLimits,
    ) -> Self {
        Self {
            incarnation,
            sequence: AtomicU64::new(0),
            directory,
            gate,
            stage,
            served_connections,
            limits,
        }
    }

    /// Handles one HTTP request and waits for its result.
    pub fn handle(&self, request: &Request) -> Response {
        if request.raw_url() == HEALTH_PATH {
            return health_response(self.gate.phase());
        }
        let guard = match self.gate.admit() {
            Ok(guard) => guard,
            Err(GateRefusal::Closed) => {
                return not_run_response(503, "draining")
                    .with_additional_header("connection", "close");
            }
            Err(GateRefusal::Full) => return not_run_response(429, "overloaded"),
        };
        let parsed = self.read_request(request);
        // The request has arrived completely or was refused; from here on the proxy must not
        // close its connection.
        let connection_guard = self.served_connections.begin(*request.remote_addr());
        let response = match parsed {
            Ok(request) => self.route(request),
            Err(refusal) => not_run_response(refusal.status, refusal.reason),
        };
        hold_until_written(response, guard, connection_guard)
    }

    fn route(&self, request: CallerRequest) -> Response {
        let id = request.id;
        let timeout = request.deadline.saturating_since(BootClock.now()) + RESULT_TIMEOUT_MARGIN;
        let (sender, receiver) = flume::bounded(1);
        let input = StageInput::Request(Box::new(request), sender);
        if self.stage.send(input).is_err() {
            return not_run_response(503, "stopping");
        }
        let result = receiver
            .recv_timeout(timeout)
            .unwrap_or(RequestResult::Unknown(UnknownReason::AgentTimeout));
        result_response(result).with_unique_header("x-guavavane-request", id.to_string())
    }

    fn read_request(&self, request: &Request) -> Result<CallerRequest, EarlyRefusal> {
        if self.gate.phase() == EntryPhase::Starting {
            return Err(refusal(503, "starting"));
        }
        self.check_headers(request)?;
        let (service, path) = self.read_service(request)?;
        let method = request.method().to_owned();
        let path_without_query = path.split('?').next().unwrap_or_default();
        let environment = self.read_environment(request)?;
        let policy = self.find_policy(environment.as_ref(), &service)?;
        let environment = policy
            .as_ref()
            .map(|policy| policy.environment.clone())
            .or(environment)
            .ok_or(refusal(400, "environment-needed"))?;
        // Without a view no request counts as idempotent, since the document may not declare it
        // so.
        let idempotent = policy
            .as_ref()
            .is_some_and(|policy| policy.spec.is_idempotent(&method, path_without_query));
        let service_timeout = policy
            .as_ref()
            .map_or(self.limits.default_timeout, |policy| policy.timeout());
        let timeout = requested_timeout(request)?
            .map_or(service_timeout, |requested| requested.min(service_timeout));
        let body = self.read_body(request)?;
        let claim = match read_idempotency_key(request)? {
            Some(key) if !idempotent => Some(ClaimIntent {
                digest: request_digest(&method, &path, &body),
                key,
            }),
            _ => None,
        };
        Ok(CallerRequest {
            id: self.next_id(),
            service: ServiceKey {
                environment,
                service,
            },
            headers: forwarded_headers(request),
            deadline: BootClock.now() + timeout,
            idempotent,
            may_hedge: policy.is_some_and(|policy| policy.spec.hedge),
            method,
            path,
            body,
            claim,
        })
    }

    fn next_id(&self) -> RequestId {
        RequestId {
            entry: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    fn check_headers(&self, request: &Request) -> Result<(), EarlyRefusal> {
        let bytes: usize = request
            .headers()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        if bytes + request.raw_url().len() > self.limits.header_bytes_max {
            return Err(refusal(431, "headers-too-large"));
        }
        Ok(())
    }

    fn read_service(&self, request: &Request) -> Result<(ServiceName, String), EarlyRefusal> {
        let url = request.raw_url();
        let unknown_service = |_| refusal(404, "no-such-service");
        if let Some(name) = request.header(SERVICE_HEADER) {
            let service = ServiceName::try_from(name).map_err(unknown_service)?;
            return Ok((service, url.to_owned()));
        }
        let rest = url.strip_prefix('/').unwrap_or(url);
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (name, path) = rest.split_at(end);
        let service = ServiceName::try_from(name).map_err(unknown_service)?;
        let path = if path.starts_with('/') {
            path.to_owned()
        } else {
            format!("/{path}")
        };
        Ok((service, path))
    }

    fn read_environment(&self, request: &Request) -> Result<Option<EnvironmentName>, EarlyRefusal> {
        let Some(name) = request.header(ENVIRONMENT_HEADER) else {
            return Ok(self.limits.default_environment.clone());
        };
        let environment = EnvironmentName::try_from(name);
        environment
            .map(Some)
            .map_err(|_| refusal(404, "no-such-environment"))
    }

    /// Returns the policy of a service, or `None` if no view from control is known.
    fn find_policy(
        &self,
        environment: Option<&EnvironmentName>,
        service: &ServiceName,
    ) -> Result<Option<Arc<ServicePolicy>>, EarlyRefusal> {
        match self.directory.find(environment, service) {
            PolicyLookup::Found(policy) => Ok(Some(policy)),
            PolicyLookup::NoView => Ok(None),
            PolicyLookup::Unknown => Err(refusal(404, "no-such-service")),
            PolicyLookup::Ambiguous => Err(refusal(400, "environment-needed")),
        }
    }

    fn read_body(&self, request: &Request) -> Result<Vec<u8>, EarlyRefusal> {
        let declared_length = request
            .header("content-length")
            .and_then(|text| text.parse::<usize>().ok());
        if declared_length.is_some_and(|bytes| bytes > self.limits.body_bytes_max) {
            return Err(refusal(413, "body-too-large"));
        }
        match read_body(request, self.limits.body_bytes_max) {
            BodyOutcome::Whole(body)
                if declared_length.is_some_and(|bytes| bytes != body.len()) =>
            {
                Err(refusal(400, "body-broken"))
            }
            BodyOutcome::Whole(body) => Ok(body),
            BodyOutcome::Oversized => Err(refusal(413, "body-too-large")),
            BodyOutcome::Broken => Err(refusal(400, "body-broken")),
        }
    }
}

/// Returns the response of a health check.
pub fn health_response(phase: EntryPhase) -> Response {
    let (status, text) = match phase {
        EntryPhase::Starting => (503, "starting\n"),
        EntryPhase::Ready => (200, "ready\n"),
        EntryPhase::Draining | EntryPhase::Closed => (503, "draining\n"),
    };
    Response::text(text).with_status_code(status)
}

fn requested_timeout(request: &Request) -> Result<Option<Duration>, EarlyRefusal> {
    let Some(text) = request.header(TIMEOUT_HEADER) else {
        return Ok(None);
    };
    match text.parse::<u32>() {
        Ok(millis) if millis > 0 => Ok(Some(Duration::from_millis(u64::from(millis)))),
        _ => Err(refusal(400, "bad-timeout")),
    }
}

fn read_idempotency_key(request: &Request) -> Result<Option<Arc<str>>, EarlyRefusal> {
    match request.header("idempotency-key") {
        None => Ok(None),
        Some(key) if key.is_empty() || key.len() > KEY_MAX_BYTES => Err(refusal(400, "bad-key")),
        Some(key) => Ok(Some(Arc::from(key))),
    }
}

fn forwarded_headers(request: &Request) -> Vec<HeaderField> {
    request
        .headers()
        .filter(|(name, _)| !is_connection_header(name))
        .map(|(name, value)| HeaderField {
            name: name.to_ascii_lowercase(),
            value: value.to_owned(),
        })
        .filter(|header| !header.name.starts_with("x-guavavane-"))
        .collect()
}

/// Returns the digest of method, path and body. Each is preceded by its length, so that different
/// splits of the same bytes differ.
fn request_digest(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
