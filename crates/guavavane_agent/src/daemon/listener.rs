//! Local HTTP listener for announcements of endpoints, health checks and status.

use std::time::Duration;

use flume::Sender;
use rouille::Request;
use rouille::Response;
use serde::Serialize;

use super::guard_loop::GuardEvent;
use super::guard_loop::GuardStatus;
use super::worker_loop::WorkerEvent;
use super::worker_loop::WorkerStatus;
use crate::settings::AgentSettings;
use guavavane_contract::prelude::EndpointNotice;
use guavavane_daemon::http::json_response;
use guavavane_daemon::http::read_body;
use guavavane_daemon::http::BodyOutcome;
use guavavane_daemon::prelude::HttpError;
use guavavane_daemon::prelude::HttpServer;

/// Number of threads of the listener.
const LISTENER_THREADS: usize = 16;

/// Maximum size of an endpoint's announcement in bytes.
const NOTICE_MAX_BYTES: usize = 4_096;

/// Timeout for an answer from the guard's or the worker's thread.
const EVENT_TIMEOUT: Duration = Duration::from_millis(500);

/// Body of `GET /status`; a part is `null` if its thread did not answer in time.
#[derive(Debug, Serialize)]
struct AgentStatus {
    guard: Option<GuardStatus>,
    worker: Option<WorkerStatus>,
}

pub(super) fn start(
    settings: &AgentSettings,
    guard: Sender<GuardEvent>,
    worker: Sender<WorkerEvent>,
) -> Result<HttpServer, HttpError> {
    HttpServer::start(settings.http, LISTENER_THREADS, move |request| {
        handle(request, &guard, &worker)
    })
}

fn handle(request: &Request, guard: &Sender<GuardEvent>, worker: &Sender<WorkerEvent>) -> Response {
    match (request.method(), request.url().as_str()) {
        ("POST", "/announce") => handle_announcement(request, guard),
        ("GET", "/health") => health_response(guard),
        ("GET", "/status") => json_response(&AgentStatus {
            guard: request_guard_status(guard),
            worker: request_worker_status(worker),
        }),
        _ => Response::text("not found").with_status_code(404),
    }
}

fn handle_announcement(request: &Request, guard: &Sender<GuardEvent>) -> Response {
    let body = match read_body(request, NOTICE_MAX_BYTES) {
        BodyOutcome::Whole(body) => body,
        BodyOutcome::Oversized => return Response::text("too long").with_status_code(413),
        BodyOutcome::Broken => return Response::text("broken body").with_status_code(400),
    };
    let notice: EndpointNotice = match serde_json::from_slice(&body) {
        Ok(notice) => notice,
        Err(error) => {
            tracing::warn!(event = "notice_refused", remote = %request.remote_addr(), %error);
            return Response::text(error.to_string()).with_status_code(400);
        }
    };
    let (sender, applied) = flume::bounded(1);
    let event = GuardEvent::Notice(notice, sender);
    // 204 means that the guard has applied the announcement, not only that it arrived.
    match guard.send_timeout(event, EVENT_TIMEOUT) {
        Ok(()) if applied.recv_timeout(EVENT_TIMEOUT).is_ok() => Response::empty_204(),
        _ => Response::text("busy").with_status_code(503),
    }
}

fn health_response(guard: &Sender<GuardEvent>) -> Response {
    match request_guard_status(guard) {
        Some(status) if status.is_draining() => Response::text("draining").with_status_code(503),
        Some(_) => Response::text("ok"),
        None => Response::text("stuck").with_status_code(503),
    }
}

fn request_guard_status(guard: &Sender<GuardEvent>) -> Option<GuardStatus> {
    let (sender, status) = flume::bounded(1);
    guard.try_send(GuardEvent::Status(sender)).ok()?;
    status.recv_timeout(EVENT_TIMEOUT).ok()
}

fn request_worker_status(worker: &Sender<WorkerEvent>) -> Option<WorkerStatus> {
    let (sender, status) = flume::bounded(1);
    worker.try_send(WorkerEvent::Status(sender)).ok()?;
    status.recv_timeout(EVENT_TIMEOUT).ok()
}
