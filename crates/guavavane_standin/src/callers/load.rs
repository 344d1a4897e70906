//! An open-loop load: each request has its moment, and latency counts from that moment.

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

/// Largest latency that is told apart.
const LATENCY_MAX_US: u64 = 120_000_000;
/// Pause before a request is sent again.
const RESEND_PAUSE_MS: u64 = 50;
/// Tries to find a target that can be connected to.
const CONNECT_TRIES: u32 = 20;

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

/// What a load came to.
#[derive(Clone, Debug)]
pub struct LoadSummary {
    /// Requests by outcome.
    pub outcomes: IndexMap<CallerOutcome, u64>,
    /// Latency of answered requests, in microseconds.
    pub latency: Histogram<u64>,
}

impl LoadSummary {
    /// Requests with this outcome.
    pub fn count(&self, outcome: CallerOutcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// One line of key=value pairs.
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

/// Sends a load until its duration has passed or `stop` is raised.
pub fn run_load(settings: &CallerSettings, stop: &StopFlag) -> Result<LoadSummary> {
    if settings.targets.is_empty() {
        bail!("callers need at least one target");
    }
    let evidence = EvidenceFile::open(&settings.evidence)?;
    let balancer = Arc::new(TargetBalancer::new(&settings.targets));
    let checked = StopFlag::default();
    let (due_sender, due_receiver) = flume::unbounded();
    let (done_sender, done_receiver) = flume::unbounded();
    thread::scope(|scope| {
        if let Some(interval) = settings.health_interval {
            let balancer = &balancer;
            let checked = &checked;
            scope.spawn(move || {
                while !checked.sleep(interval) {
                    balancer.check_health();
                }
            });
        }
        let senders: Vec<_> = (0..settings.threads)
            .map(|_| {
                let receiver = due_receiver.clone();
                let sender = done_sender.clone();
                let (evidence, balancer) = (&evidence, &balancer);
                scope.spawn(move || serve_due(settings, balancer, evidence, &receiver, &sender))
            })
            .collect();
        drop(done_sender);
        schedule(settings, stop, &due_sender);
        drop(due_sender);
        let mut result = Ok(());
        for sender in senders {
            let ended = sender.join().unwrap_or_else(|_| bail!("a sender panicked"));
            result = result.and(ended);
        }
        checked.raise();
        result
    })?;
    summarise(&done_receiver)
}

fn schedule(settings: &CallerSettings, stop: &StopFlag, sender: &Sender<ScheduledRequest>) {
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    let start = Instant::now();
    let interval = Duration::from_secs_f64(1.0 / settings.rate);
    let mut sequence = 0;
    loop {
        let offset = interval * sequence;
        if offset >= settings.duration || stop.is_raised() {
            return;
        }
        let due = start + offset;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let request = draw_request(settings, &mut random, sequence);
        if sender.send(ScheduledRequest { due, request }).is_err() {
            return;
        }
        sequence += 1;
    }
}

fn draw_request(
    settings: &CallerSettings,
    random: &mut ChaCha8Rng,
    sequence: u32,
) -> CallerRequest {
    let caller_id = format!("{}-{sequence}", settings.name);
    let prefix = &settings.prefix;
    if random.random_range(0..1_000) >= settings.slip_millis {
        return CallerRequest {
            path: format!("{prefix}/slips/{caller_id}"),
            caller_id,
            slip: false,
            key: None,
            body: Vec::new(),
        };
    }
    let keyed = random.random_range(0..1_000) < settings.keyed_millis;
    let slip = SlipBody {
        slip: caller_id.clone(),
        household: random.random_range(0..400),
        sticks: random.random_range(100..5_000),
    };
    CallerRequest {
        path: format!("{prefix}/slips"),
        key: keyed.then(|| format!("key-{caller_id}")),
        caller_id,
        slip: true,
        body: serde_json::to_vec(&slip).unwrap_or_default(),
    }
}

fn serve_due(
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
        let settled = send_until_settled(settings, balancer, request);
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

/// Sends a request until its outcome is known, or the sends are used up.
///
/// Only a keyed slip entry or a read is sent again. "Not run" is the outcome only if all sends
/// were refused as not run, since an earlier send of unknown outcome may have run.
fn send_until_settled(
    settings: &CallerSettings,
    balancer: &TargetBalancer,
    request: &CallerRequest,
) -> SettledRequest {
    let repeatable = request.key.is_some() || !request.slip;
    let allowed = if repeatable { settings.sends.max(1) } else { 1 };
    let mut outcome = None;
    let mut avoided = None;
    let mut sends = 0;
    let mut reason = String::new();
    while sends < allowed {
        let (report, target) = connect_and_send(settings, balancer, request, avoided);
        sends += 1;
        avoided = Some(target);
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
        if sends < allowed {
            thread::sleep(Duration::from_millis(RESEND_PAUSE_MS));
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
    avoided: Option<SocketAddr>,
) -> (SendReport, SocketAddr) {
    let mut target = balancer.choose(avoided);
    let mut report = SendReport::from(SendResult::NotConnected);
    for _ in 0..CONNECT_TRIES {
        report = send_once(target, request, settings.timeout);
        if report.result != SendResult::NotConnected {
            break;
        }
        thread::sleep(Duration::from_millis(RESEND_PAUSE_MS));
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
