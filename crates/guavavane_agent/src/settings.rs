//! Settings of the agent from flags and environment variables, as text and as checked values.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use indexmap::IndexSet;

use crate::guard::GuardLimits;
use crate::worker::WorkerTiming;
use guavavane_daemon::prelude::parse_checked_setting;
use guavavane_daemon::prelude::parse_setting;
use guavavane_daemon::prelude::SettingError;
use guavavane_model::prelude::CellId;
use guavavane_protocol::prelude::FRAME_MAX_BYTES;

const ADDRESS_ALLOWED: &str = "an IP address and a port, such as 10.0.0.7:7300";
const MILLIS_ALLOWED: &str = "a whole number of milliseconds from 10 to 600000";

/// Space in a frame for everything but the headers and body of an answer, in bytes.
const FRAME_OVERHEAD_BYTES: usize = 64 * 1024;

/// Agent: guards the endpoints of its worker and runs the worker's tasks.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(agent_options))]
pub struct RawAgentSettings {
    /// Address on which calls of entries are accepted
    #[bpaf(env("GUAVAVANE_AGENT_LISTEN"), argument("ADDRESS"))]
    pub listen: String,
    /// Address that entries call, if it differs from the listen address
    #[bpaf(env("GUAVAVANE_AGENT_ADVERTISE"), argument("ADDRESS"), optional)]
    pub advertise: Option<String>,
    /// Address of the local HTTP listener for endpoints, health and status
    #[bpaf(env("GUAVAVANE_AGENT_HTTP"), argument("ADDRESS"))]
    pub http: String,
    /// Address of the platform's worker
    #[bpaf(env("GUAVAVANE_AGENT_WORKER"), argument("ADDRESS"))]
    pub worker: String,
    /// Addresses of the control replicas, separated by commas
    #[bpaf(env("GUAVAVANE_AGENT_CONTROL"), argument("ADDRESSES"))]
    pub control: String,
    /// Cell that this process belongs to
    #[bpaf(
        env("GUAVAVANE_AGENT_CELL"),
        argument("NUMBER"),
        fallback("1".to_owned()),
        display_fallback
    )]
    pub cell: String,
    /// UDP address to which metrics are sent in the statsd format
    #[bpaf(env("GUAVAVANE_AGENT_METRICS"), argument("ADDRESS"), optional)]
    pub metrics: Option<String>,
    /// Time until the next poll after a failed one, in ms
    #[bpaf(
        env("GUAVAVANE_AGENT_POLL_INTERVAL_MS"),
        argument("MS"),
        fallback("500".to_owned()),
        display_fallback
    )]
    pub poll_interval_ms: String,
    /// Timeout of a poll of one control replica, in ms
    #[bpaf(
        env("GUAVAVANE_AGENT_POLL_TIMEOUT_MS"),
        argument("MS"),
        fallback("500".to_owned()),
        display_fallback
    )]
    pub poll_timeout_ms: String,
    /// Timeout of a call to the worker, in ms
    #[bpaf(
        env("GUAVAVANE_AGENT_WORKER_TIMEOUT_MS"),
        argument("MS"),
        fallback("1000".to_owned()),
        display_fallback
    )]
    pub worker_timeout_ms: String,
    /// Time between two announcements to an entry, in ms
    #[bpaf(
        env("GUAVAVANE_AGENT_ANNOUNCE_INTERVAL_MS"),
        argument("MS"),
        fallback("500".to_owned()),
        display_fallback
    )]
    pub announce_interval_ms: String,
    /// How long an announcement is valid, in ms; at least twice the interval
    #[bpaf(
        env("GUAVAVANE_AGENT_ANNOUNCE_EXPIRY_MS"),
        argument("MS"),
        fallback("2000".to_owned()),
        display_fallback
    )]
    pub announce_expiry_ms: String,
    /// How long a request may run past its deadline before the agent gives it up, in ms
    #[bpaf(
        env("GUAVAVANE_AGENT_LINGER_MS"),
        argument("MS"),
        fallback("10000".to_owned()),
        display_fallback
    )]
    pub linger_ms: String,
    /// Maximum size of an answer of an endpoint, in bytes
    #[bpaf(
        env("GUAVAVANE_AGENT_ANSWER_MAX_BYTES"),
        argument("BYTES"),
        fallback("1048576".to_owned()),
        display_fallback
    )]
    pub answer_max_bytes: String,
    /// Maximum number of answers that are kept for revocations
    #[bpaf(
        env("GUAVAVANE_AGENT_ANSWERS_MAX"),
        argument("COUNT"),
        fallback("1024".to_owned()),
        display_fallback
    )]
    pub answers_max: String,
    /// Maximum number of running requests, over all endpoints
    #[bpaf(
        env("GUAVAVANE_AGENT_RUNNING_MAX"),
        argument("COUNT"),
        fallback("32".to_owned()),
        display_fallback
    )]
    pub running_max: String,
}

/// Checked settings of the agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Address on which calls of entries are accepted.
    pub listen: SocketAddr,
    /// Address that entries call, if it differs from the listen address.
    pub advertise: Option<SocketAddr>,
    /// Address of the local HTTP listener.
    pub http: SocketAddr,
    /// Address of the platform's worker.
    pub worker: SocketAddr,
    /// Addresses of the control replicas; at least one.
    pub control: IndexSet<SocketAddr>,
    /// Cell of this process.
    pub cell: CellId,
    /// Address to which metrics are sent; none are sent without one.
    pub metrics: Option<SocketAddr>,
    /// Timeout of a poll of one control replica.
    pub poll_timeout: Duration,
    /// Timeout of a call to the worker.
    pub worker_timeout: Duration,
    /// Time between two announcements to an entry.
    pub announce_interval: Duration,
    /// How long an announcement is valid.
    pub announce_expiry: Duration,
    /// How long a request may run past its deadline before the agent gives it up.
    pub linger: Duration,
    /// Limits of the request guard.
    pub limits: GuardLimits,
    /// Intervals and timeouts of the worker controller.
    pub timing: WorkerTiming,
}

impl TryFrom<RawAgentSettings> for AgentSettings {
    type Error = SettingError;

    fn try_from(raw: RawAgentSettings) -> Result<Self, SettingError> {
        let announce_interval = parse_millis("announce-interval-ms", &raw.announce_interval_ms)?;
        let announce_expiry = parse_millis("announce-expiry-ms", &raw.announce_expiry_ms)?;
        if announce_expiry < announce_interval * 2 {
            return Err(SettingError::new(
                "announce-expiry-ms",
                raw.announce_expiry_ms,
                "at least twice --announce-interval-ms",
            ));
        }
        Ok(Self {
            listen: parse_address("listen", &raw.listen)?,
            advertise: parse_optional_address("advertise", raw.advertise.as_deref(), is_reachable)?,
            http: parse_address("http", &raw.http)?,
            worker: parse_address("worker", &raw.worker)?,
            control: parse_replicas(&raw.control)?,
            cell: CellId(parse_setting(
                "cell",
                &raw.cell,
                "a number from 0 to 65535",
            )?),
            metrics: parse_optional_address("metrics", raw.metrics.as_deref(), |_| true)?,
            poll_timeout: parse_millis("poll-timeout-ms", &raw.poll_timeout_ms)?,
            worker_timeout: parse_millis("worker-timeout-ms", &raw.worker_timeout_ms)?,
            announce_interval,
            announce_expiry,
            linger: parse_millis("linger-ms", &raw.linger_ms)?,
            limits: parse_limits(&raw)?,
            timing: WorkerTiming {
                poll_backoff: parse_millis("poll-interval-ms", &raw.poll_interval_ms)?,
                ..WorkerTiming::default()
            },
        })
    }
}

fn parse_limits(raw: &RawAgentSettings) -> Result<GuardLimits, SettingError> {
    let answer_limit_bytes = FRAME_MAX_BYTES - FRAME_OVERHEAD_BYTES;
    let answer_max_bytes = parse_checked_setting(
        "answer-max-bytes",
        &raw.answer_max_bytes,
        "a number of bytes from 1024 to 4128768",
        |bytes| (1_024..=answer_limit_bytes).contains(bytes),
    )?;
    let answers_max = parse_checked_setting(
        "answers-max",
        &raw.answers_max,
        "a number from 1 to 16384",
        |count| (1..=16_384).contains(count),
    )?;
    let running_max = parse_checked_setting(
        "running-max",
        &raw.running_max,
        "a number from 1 to 256",
        |count| (1..=256).contains(count),
    )?;
    Ok(GuardLimits {
        answer_max_bytes,
        answers_max,
        running_max,
        ..GuardLimits::default()
    })
}

fn parse_address(flag: &'static str, text: &str) -> Result<SocketAddr, SettingError> {
    parse_setting(flag, text, ADDRESS_ALLOWED)
}

fn parse_optional_address(
    flag: &'static str,
    text: Option<&str>,
    check: impl FnOnce(&SocketAddr) -> bool,
) -> Result<Option<SocketAddr>, SettingError> {
    text.map(|text| parse_checked_setting(flag, text, ADDRESS_ALLOWED, check))
        .transpose()
}

/// Whether the address can be called: neither host nor port is unspecified.
fn is_reachable(address: &SocketAddr) -> bool {
    let is_unspecified_host = match address.ip() {
        IpAddr::V4(ip) => ip.is_unspecified(),
        IpAddr::V6(ip) => ip.is_unspecified(),
    };
    !is_unspecified_host && address.port() != 0
}

fn parse_millis(flag: &'static str, text: &str) -> Result<Duration, SettingError> {
    parse_checked_setting(flag, text, MILLIS_ALLOWED, |millis: &u64| {
        (10..=600_000).contains(millis)
    })
    .map(Duration::from_millis)
}

fn parse_replicas(text: &str) -> Result<IndexSet<SocketAddr>, SettingError> {
    text.split(',')
        .map(|part| parse_setting("control", part.trim(), ADDRESS_ALLOWED))
        .collect()
}
