//! Routing stage: the thread that owns the router.
//!
//! All inputs arrive through one unbounded channel. Its length is limited elsewhere: requests by
//! the gate at admission, replies by the attempts in flight, and announcements by dropping them
//! while the channel is long.

use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;
use indexmap::IndexMap;

use crate::claim::ClaimCall;
use guavavane_daemon::prelude::MetricSink;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::RequestId;
use guavavane_protocol::prelude::DispatchRequest;
use guavavane_protocol::prelude::DispatchTarget;
use guavavane_protocol::prelude::RequestAttempt;
use guavavane_protocol::prelude::RevokeRequest;
use guavavane_routing::prelude::AttemptResult;
use guavavane_routing::prelude::CallerRequest;
use guavavane_routing::prelude::RequestResult;
use guavavane_routing::prelude::RequestRouter;
use guavavane_routing::prelude::RouterAction;
use guavavane_routing::prelude::RouterInput;
use guavavane_routing::prelude::RoutingDecision;
use guavavane_routing::prelude::ServiceKey;
use guavavane_transport::prelude::CallClient;
use guavavane_transport::prelude::CallError;

/// Maximum time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Input of the routing stage.
#[derive(Debug)]
pub enum StageInput {
    /// A request and the channel for its result.
    Request(Box<CallerRequest>, Sender<RequestResult>),
    /// An input for the router.
    Router(RouterInput),
    /// A request for a report, and the channel for it.
    Report(Sender<StageReport>),
    /// Ends the thread.
    Stop,
}

/// Report of the routing stage, part of the status for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct StageReport {
    /// Requests in flight.
    pub requests: usize,
    /// Requests that wait for an endpoint.
    pub queued: usize,
    /// Attempts without a reply.
    pub attempts: usize,
    /// Claims that are being settled or released.
    pub claim_jobs: usize,
    /// Known endpoints.
    pub endpoints: Vec<EndpointReport>,
}

/// State of an endpoint as this entry knows it.
#[derive(Clone, Debug, serde::Serialize)]
pub struct EndpointReport {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Environment and name of its service.
    pub service: String,
    /// Data centre of the endpoint.
    pub data_centre: String,
    /// Whether the endpoint may get attempts.
    pub live: bool,
    /// Whether the endpoint is ejected.
    pub ejected: bool,
    /// Attempts of this entry without a reply.
    pub outstanding: usize,
}

/// Thread that owns the router.
#[derive(Debug)]
pub struct RoutingStage {
    router: RequestRouter,
    inputs: Receiver<StageInput>,
    feedback: Sender<StageInput>,
    calls: CallClient,
    claim_calls: Sender<ClaimCall>,
    metrics: MetricSink,
    waiting: IndexMap<RequestId, Sender<RequestResult>>,
}

impl RoutingStage {
    /// Creates a stage; `feedback` is the sending end of `inputs`.
    pub fn new(
        router: RequestRouter,
        inputs: Receiver<StageInput>,
        feedback: Sender<StageInput>,
        calls: CallClient,
        claim_calls: Sender<ClaimCall>,
        metrics: MetricSink,
    ) -> Self {
        Self {
            router,
            inputs,
            feedback,
            calls,
            claim_calls,
            metrics,
            waiting: IndexMap::new(),
        }
    }

    /// Starts the thread.
    pub fn start(self) -> std::io::Result<JoinHandle<()>> {
        let builder = thread::Builder::new().name("routing".to_owned());
        builder.spawn(move || self.run())
    }

    fn run(mut self) {
        loop {
            match self.inputs.recv_timeout(self.idle_time()) {
                Ok(StageInput::Request(request, result)) => {
                    self.waiting.insert(request.id, result);
                    self.step(RouterInput::Request(request));
                }
                Ok(StageInput::Router(input)) => self.step(input),
                Ok(StageInput::Report(report)) => {
                    // Fails only if the requester has stopped waiting.
                    let _ = report.send(self.create_report());
                }
                Ok(StageInput::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => self.tick(),
            }
        }
    }

    fn idle_time(&self) -> Duration {
        let now = BootClock.now();
        self.router.next_timer().map_or(TICK_INTERVAL, |at| {
            TICK_INTERVAL.min(at.saturating_since(now))
        })
    }

    fn tick(&mut self) {
        let counts = self.router.counts();
        self.metrics.gauge("requests", counts.requests as u64);
        self.metrics.gauge("queued", counts.queued as u64);
        self.step(RouterInput::Tick);
    }

    fn step(&mut self, input: RouterInput) {
        for action in self.router.step(BootClock.now(), input) {
            match action {
                RouterAction::Dispatch { call, timeout } => self.dispatch(&call, timeout),
                RouterAction::Claim { tag, call, timeout } => {
                    self.send_claim(ClaimCall { tag, call, timeout });
                }
                RouterAction::Revoke {
                    request,
                    target,
                    call,
                    timeout,
                } => self.revoke(request, &target, &call, timeout),
                RouterAction::Finish { request, result } => self.finish(request, result),
                RouterAction::Decision {
                    attempt,
                    service,
                    decision,
                } => log_decision(attempt, &service, &decision),
            }
        }
    }

    fn dispatch(&self, call: &DispatchRequest, timeout: Duration) {
        let feedback = self.feedback.clone();
        let attempt = call.attempt;
        let on_reply = move |result| {
            let result = match result {
                Ok(reply) => AttemptResult::Reply(reply),
                Err(error) => attempt_result(&error),
            };
            // Fails only if the stage has ended.
            let _ = feedback.send(StageInput::Router(RouterInput::Reply(attempt, result)));
        };
        self.calls
            .call_with_callback(call.target.agent, call, timeout, on_reply);
    }

    fn revoke(
        &self,
        request: RequestId,
        target: &DispatchTarget,
        call: &RevokeRequest,
        timeout: Duration,
    ) {
        let feedback = self.feedback.clone();
        let on_reply = move |result: Result<_, CallError>| {
            let input = RouterInput::Revoke(request, result.ok());
            // Fails only if the stage has ended.
            let _ = feedback.send(StageInput::Router(input));
        };
        self.calls
            .call_with_callback(target.agent, call, timeout, on_reply);
    }

    fn send_claim(&self, call: ClaimCall) {
        if let Err(error) = self.claim_calls.try_send(call) {
            let tag = error.into_inner().tag;
            let input = RouterInput::Claim(tag, None);
            // Cannot fail: the stage itself holds a receiver of this channel.
            let _ = self.feedback.send(StageInput::Router(input));
        }
    }

    fn finish(&mut self, request: RequestId, result: RequestResult) {
        if let Some(sender) = self.waiting.swap_remove(&request) {
            // Fails only if the caller has stopped waiting.
            let _ = sender.send(result);
        }
    }

    fn create_report(&self) -> StageReport {
        let now = BootClock.now();
        let counts = self.router.counts();
        let endpoints = self
            .router
            .table()
            .endpoints()
            .map(|record| EndpointReport {
                endpoint: record.target.endpoint.to_string(),
                service: record.service.to_string(),
                data_centre: record.data_centre.to_string(),
                live: record.is_live(now),
                ejected: record.health.is_ejected(now),
                outstanding: record.attempts_started_at.len(),
            });
        StageReport {
            requests: counts.requests,
            queued: counts.queued,
            attempts: counts.attempts,
            claim_jobs: counts.claim_updates,
            endpoints: endpoints.collect(),
        }
    }
}

fn attempt_result(error: &CallError) -> AttemptResult {
    if error.is_unprocessed() {
        AttemptResult::Unseen
    } else {
        AttemptResult::NoReply
    }
}

fn log_decision(attempt: RequestAttempt, service: &ServiceKey, decision: &RoutingDecision) {
    let alternatives: Vec<String> = decision
        .alternatives
        .iter()
        .map(ToString::to_string)
        .collect();
    tracing::info!(
        event = "routed",
        request = %attempt.request,
        attempt = attempt.attempt,
        service = %service,
        endpoint = %decision.chosen.endpoint,
        score = format_args!("{:.0}", decision.chosen.score),
        reason = %decision.reason,
        alternatives = alternatives.join(","),
    );
}

/// Asks the stage for a report; returns `None` if none arrives before `timeout`.
pub fn request_report(inputs: &Sender<StageInput>, timeout: Duration) -> Option<StageReport> {
    let (sender, receiver) = flume::bounded(1);
    inputs.send(StageInput::Report(sender)).ok()?;
    receiver.recv_timeout(timeout).ok()
}
