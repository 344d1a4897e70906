//! Open-loop load generator.
//!
//! Request `n` is due at `start + n / rate`, whatever the outcomes of earlier requests. Latency is
//! measured from the due time, so that waiting for a free sender thread counts (no coordinated
//! omission).

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use anyhow::Result;
use flume::Receiver;
use flume::Sender;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::answer::SlipBody;
use crate::callers::balancer::TargetBalancer;
use crate::callers::exchange::send_once;
use crate::callers::exchange::CallerRequest;
use crate::callers::exchange::SendReport;
use crate::callers::exchange::SendResult;
use crate::callers::settings::CallerSettings;
use crate::clock::StopFlag;
use crate::evidence::CallerOutcome;
use crate::evidence::EvidenceEvent;
use crate::evidence::EvidenceFile;

/// Highest latency that the histogram records; longer ones count as this one.
const LATENCY_MAX_US: u64 = 120_000_000;
/// Backoff before a request is sent again.
const RESEND_BACKOFF_MS: u64 = 50;
/// Maximum number of targets tried for one send until one accepts the connection.
const CONNECT_TRIES_MAX: u32 = 20;

#[derive(Clone, Debug)]
struct ScheduledRequest {
    due: Instant,
    request: CallerRequest,
}

#[derive(Clone, Copy, Debug)]
struct FinishedRequest {
    outcome: CallerOutcome,
    latency: Duration,
}

#[derive(Clone, Debug)]
struct SettledRequest {
    outcome: CallerOutcome,
    sends: u32,
    reason: String,
}

/// Outcomes and latencies of a load.
#[derive(Clone, Debug)]
pub struct LoadSummary {
    /// Number of requests by outcome.
    pub outcomes: IndexMap<CallerOutcome, u64>,
    /// Latency of answered requests from their due time, in µs.
    pub latency: Histogram<u64>,
}

impl LoadSummary {
    /// Returns the number of requests with this outcome.
    pub fn count(&self, outcome: CallerOutcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Returns outcomes and latency quantiles as one line of `key=value` pairs.
    pub fn line(&self) -> String {
        let outcomes: Vec<String> = self
            .outcomes
            .iter()
            .map(|(outcome, count)| format!("{outcome:?}={count}"))
            .collect();
        format!(
            "{} p50_us={} p99_us={} p999_us={} max_us={}",
            outcomes.join(" "),
            self.latency.value_at_quantile(0.5),
            self.latency.value_at_quantile(0.99),
            self.latency.value_at_quantile(0.999),
            self.latency.max(),
        )
    }
}

/// Sends a load until its duration has passed or `stop` is raised, then waits for all outcomes.
///
/// A scheduling loop on the calling thread queues each request at its due time; sender threads take
/// the requests from the queue.
pub fn run_load(settings: &CallerSettings, stop: &StopFlag) -> Result<LoadSummary> {
    if settings.targets.is_empty() {
        bail!("the list of target addresses is empty; at least one is needed");
    }
    let evidence = EvidenceFile::open(&settings.evidence)?;
    let balancer = Arc::new(TargetBalancer::new(&settings.targets));
    let health_checks_stop = StopFlag::default();
    let (due_queue, due_requests) = flume::unbounded();
    let (finished_sender, finished_requests) = flume::unbounded();
    thread::scope(|scope| {
        if let Some(interval) = settings.health_interval {
            let balancer = &balancer;
            let health_checks_stop = &health_checks_stop;
            scope.spawn(move || {
                while !health_checks_stop.sleep(interval) {
                    balancer.check_health();
                }
            });
        }
        let sender_threads: Vec<_> = (0..settings.threads)
            .map(|_| {
                let receiver = due_requests.clone();
                let sender = finished_sender.clone();
                let (evidence, balancer) = (&evidence, &balancer);
                scope.spawn(move || {
                    send_due_requests(settings, balancer, evidence, &receiver, &sender)
                })
            })
            .collect();
        drop(finished_sender);
        queue_requests_when_due(settings, stop, &due_queue);
        drop(due_queue);
        let mut result = Ok(());
        for sender in sender_threads {
            let thread_result = sender
                .join()
                .unwrap_or_else(|_| bail!("a sender thread panicked"));
            result = result.and(thread_result);
        }
        health_checks_stop.raise();
        result
    })?;
    summarise(&finished_requests)
}

fn queue_requests_when_due(
    settings: &CallerSettings,
    stop: &StopFlag,
    sender: &Sender<ScheduledRequest>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let start = Instant::now();
    let interval = Duration::from_secs_f64(1.0 / settings.rate);
    let mut sequence = 0;
    loop {
        let due_offset = interval * sequence;
        if due_offset >= settings.duration || stop.is_raised() {
            return;
        }
        let due = start + due_offset;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let request = draw_request(settings, &mut rng, sequence);
        if sender.send(ScheduledRequest { due, request }).is_err() {
            return;
        }
        sequence += 1;
    }
}

fn draw_request(settings: &CallerSettings, rng: &mut ChaCha8Rng, sequence: u32) -> CallerRequest {
    let caller_id = format!("{}-{sequence}", settings.name);
    let prefix = &settings.prefix;
    if rng.random_range(0..1_000) >= settings.slip_millis {
        return CallerRequest {
            path: format!("{prefix}/slips/{caller_id}"),
            caller_id,
            slip: false,
            key: None,
            body: Vec::new(),
        };
    }
    let has_key = rng.random_range(0..1_000) < settings.keyed_millis;
    let slip = SlipBody {
        slip: caller_id.clone(),
        household: rng.random_range(0..400),
        sticks: rng.random_range(100..5_000),
    };
    CallerRequest {
        path: format!("{prefix}/slips"),
        key: has_key.then(|| format!("key-{caller_id}")),
        caller_id,
        slip: true,
        body: serde_json::to_vec(&slip).unwrap_or_default(),
    }
}

fn send_due_requests(
    settings: &CallerSettings,
    balancer: &TargetBalancer,
    evidence: &EvidenceFile,
    receiver: &Receiver<ScheduledRequest>,
    sender: &Sender<FinishedRequest>,
) -> Result<()> {
    for scheduled in receiver {
        let request = &scheduled.request;
        evidence.append(EvidenceEvent::Sent {
            caller_id: request.caller_id.clone(),
            method: request.method().to_owned(),
            keyed: request.key.is_some(),
        })?;
        let settled = send_until_answered(settings, balancer, request);
        let outcome = settled.outcome;
        let latency = scheduled.due.elapsed();
        evidence.append(EvidenceEvent::Settled {
            caller_id: request.caller_id.clone(),
            outcome,
            latency_us: u64::try_from(latency.as_micros()).unwrap_or(u64::MAX),
            sends: settled.sends,
            reason: settled.reason,
        })?;
        // The receiver outlives all senders.
        let _ = sender.send(FinishedRequest { outcome, latency });
    }
    Ok(())
}

/// Sends a request until it is answered or the maximum number of sends is reached.
///
/// Only reads and keyed slip entries are sent again. The outcome is "not run" only if every send
/// was answered as not run or could not connect, since an earlier send of unknown outcome may have
/// run.
fn send_until_answered(
    settings: &CallerSettings,
    balancer: &TargetBalancer,
    request: &CallerRequest,
) -> SettledRequest {
    let may_resend = request.key.is_some() || !request.slip;
    let sends_max = if may_resend { settings.sends.max(1) } else { 1 };
    let mut outcome = None;
    let mut last_target = None;
    let mut sends = 0;
    let mut reason = String::new();
    while sends < sends_max {
        let (report, target) = connect_and_send(settings, balancer, request, last_target);
        sends += 1;
        last_target = Some(target);
        reason = report.reason;
        match report.result {
            SendResult::Answered => {
                outcome = Some(CallerOutcome::Answered);
                break;
            }
            SendResult::Mismatched => {
                outcome = Some(CallerOutcome::Mismatched);
                break;
            }
            SendResult::NotRun | SendResult::NotConnected => {}
            SendResult::Unknown => outcome = Some(CallerOutcome::Unknown),
            SendResult::TimedOut => outcome = Some(CallerOutcome::TimedOut),
            SendResult::Broken => outcome = Some(CallerOutcome::Broken),
        }
        if sends < sends_max {
            thread::sleep(Duration::from_millis(RESEND_BACKOFF_MS));
        }
    }
    SettledRequest {
        outcome: outcome.unwrap_or(CallerOutcome::NotRun),
        sends,
        reason,
    }
}

fn connect_and_send(
    settings: &CallerSettings,
    balancer: &TargetBalancer,
    request: &CallerRequest,
    last_target: Option<SocketAddr>,
) -> (SendReport, SocketAddr) {
    let mut target = balancer.choose(last_target);
    let mut report = SendReport::from(SendResult::NotConnected);
    for _ in 0..CONNECT_TRIES_MAX {
        report = send_once(target, request, settings.timeout);
        if report.result != SendResult::NotConnected {
            break;
        }
        thread::sleep(Duration::from_millis(RESEND_BACKOFF_MS));
        target = balancer.choose(Some(target));
    }
    (report, target)
}

fn summarise(receiver: &Receiver<FinishedRequest>) -> Result<LoadSummary> {
    let mut summary = LoadSummary {
        outcomes: IndexMap::new(),
        latency: Histogram::new_with_bounds(1, LATENCY_MAX_US, 3)?,
    };
    for finished in receiver.drain() {
        *summary.outcomes.entry(finished.outcome).or_default() += 1;
        if finished.outcome == CallerOutcome::Answered {
            let micros = u64::try_from(finished.latency.as_micros()).unwrap_or(u64::MAX);
            summary.latency.saturating_record(micros.max(1));
        }
    }
    Ok(summary)
}
