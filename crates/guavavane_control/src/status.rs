//! Serves health and status of a control replica over HTTP.

use std::sync::Arc;

use rouille::Request;
use rouille::Response;
use serde::Serialize;

use crate::context::ControlContext;
use guavavane_daemon::http::json_response;
use guavavane_daemon::prelude::HttpError;
use guavavane_daemon::prelude::HttpServer;
use guavavane_daemon::prelude::ShutdownSignal;

/// Number of threads that serve health and status requests.
const HTTP_THREADS: usize = 4;

#[derive(Debug, Serialize)]
struct ReplicaReport {
    replica: String,
    role: String,
    term: u64,
    leader: Option<String>,
    leading: bool,
    commit: u64,
    applied: u64,
    last_snapshot: u64,
    log_bytes: u64,
    members: usize,
    voters: usize,
    /// Voters that can still be lost without losing the quorum; only the leader knows.
    spare_voters: Option<usize>,
    unavailable_voters: Vec<String>,
    storage_failed: bool,
}

/// Starts the HTTP server of `/health` and `/status`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start_status(
    context: &Arc<ControlContext>,
    shutdown: &ShutdownSignal,
) -> Result<HttpServer, HttpError> {
    let address = context.settings.http;
    let context = Arc::clone(context);
    let shutdown = shutdown.clone();
    HttpServer::start(address, HTTP_THREADS, move |request| {
        answer_request(&context, &shutdown, request)
    })
}

fn answer_request(
    context: &ControlContext,
    shutdown: &ShutdownSignal,
    request: &Request,
) -> Response {
    match request.url().as_str() {
        "/health" => answer_health(context, shutdown),
        "/status" => json_response(&replica_report(context)),
        _ => Response::empty_404(),
    }
}

fn answer_health(context: &ControlContext, shutdown: &ShutdownSignal) -> Response {
    let view = context.quorum.leadership();
    if shutdown.is_raised() {
        return Response::text("draining\n").with_status_code(503);
    }
    if view.storage_failed {
        return Response::text("storage-failed\n").with_status_code(503);
    }
    if view.leader.is_none() {
        return Response::text("no-leader\n").with_status_code(503);
    }
    Response::text("ready\n")
}

fn replica_report(context: &ControlContext) -> ReplicaReport {
    let view = context.quorum.leadership();
    ReplicaReport {
        replica: view.id.to_string(),
        role: format!("{:?}", view.role),
        term: view.term.0,
        leader: view.leader.map(|leader| leader.address.to_string()),
        leading: view.holds_lease(context.now()),
        commit: view.commit.0,
        applied: view.applied.0,
        last_snapshot: view.last_snapshot.0,
        log_bytes: view.log_bytes,
        members: view.members.len(),
        voters: view.members.voter_count(),
        spare_voters: view.spare_voters(),
        unavailable_voters: view
            .unavailable_voters
            .iter()
            .map(ToString::to_string)
            .collect(),
        storage_failed: view.storage_failed,
    }
}
