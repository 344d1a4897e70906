//! Validated settings of the entry.

use std::net::SocketAddr;
use std::time::Duration;

use crate::options::RawSettings;
use guavavane_daemon::prelude::parse_checked_setting;
use guavavane_daemon::prelude::parse_setting;
use guavavane_daemon::prelude::SettingError;
use guavavane_model::prelude::CellId;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::EnvironmentName;
use guavavane_protocol::prelude::FRAME_MAX_BYTES;

/// Bytes of a frame that are reserved for all parts other than the body of the request.
const FRAME_OVERHEAD_MAX_BYTES: usize = 256 * 1024;

/// Allowed format of a name, for error messages.
const NAME_FORMAT: &str = "1 to 63 of a-z, 0-9 and inner '-'";

/// Maximum of a time setting in milliseconds: one hour.
const TIME_MS_MAX: u64 = 3_600_000;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Cell that the entry belongs to.
    pub cell: CellId,
    /// Data centre of the entry; its endpoints are preferred.
    pub data_centre: DataCentreName,
    /// Environment of requests that name none.
    pub default_environment: Option<EnvironmentName>,
    /// Address at which callers are served.
    pub caller_listen: SocketAddr,
    /// Address at which operators are served.
    pub operator_listen: SocketAddr,
    /// Address at which announcements of agents are received.
    pub call_listen: SocketAddr,
    /// Address at which agents reach `call_listen`; the bound address if not given.
    pub call_advertise: Option<SocketAddr>,
    /// Addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// UDP address that metrics are sent to.
    pub metrics: Option<SocketAddr>,
    /// Maximum size of the body of a request, in bytes.
    pub body_bytes_max: usize,
    /// Maximum total size of path, header names and values of a request, in bytes.
    pub header_bytes_max: usize,
    /// Maximum number of connections of callers.
    pub connections_max: usize,
    /// Time after which a caller's connection without a request is closed.
    pub idle_timeout: Duration,
    /// Maximum time for a caller to send a request, and to receive a response.
    pub receive_timeout: Duration,
    /// Maximum number of requests in flight.
    pub requests_max: usize,
    /// Maximum number of requests of one service that wait for an endpoint.
    pub queue_max: usize,
    /// Maximum number of known endpoints.
    pub endpoints_max: usize,
    /// Maximum number of idempotency-key claims in use.
    pub claims_max: usize,
    /// Number of threads that send claim calls to control.
    pub claim_threads: usize,
    /// Maximum number of announcements that wait to be applied.
    pub announcements_max: usize,
    /// Time after SIGTERM for which new requests are still admitted.
    pub drain_delay: Duration,
    /// Maximum wait for requests in flight after `drain_delay`.
    pub drain_timeout: Duration,
    /// Maximum time between two polls of control.
    pub poll_interval: Duration,
    /// Timeout of a call to one control replica.
    pub control_timeout: Duration,
    /// Time without control after which a starting entry serves by announcements alone.
    pub view_timeout: Duration,
    /// Timeout of requests while no document is known.
    pub request_timeout: Duration,
}

impl TryFrom<RawSettings> for EntrySettings {
    type Error = SettingError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingError> {
        let body_bytes_max = FRAME_MAX_BYTES - FRAME_OVERHEAD_MAX_BYTES;
        Ok(Self {
            cell: CellId(parse_setting("cell", &raw.cell, "0 to 65535")?),
            data_centre: parse_data_centre(&raw.data_centre)?,
            default_environment: parse_environment(raw.environment.as_deref())?,
            caller_listen: parse_address("caller-listen", &raw.caller_listen)?,
            operator_listen: parse_address("operator-listen", &raw.operator_listen)?,
            call_listen: parse_address("call-listen", &raw.call_listen)?,
            call_advertise: parse_optional("call-advertise", raw.call_advertise.as_deref())?,
            control: parse_replicas(&raw.control)?,
            metrics: parse_optional("metrics", raw.metrics.as_deref())?,
            body_bytes_max: parse_count("body-bytes", &raw.body_bytes, body_bytes_max)?,
            header_bytes_max: parse_count(
                "header-bytes",
                &raw.header_bytes,
                FRAME_OVERHEAD_MAX_BYTES / 2,
            )?,
            connections_max: parse_count("connections", &raw.connections, 16_384)?,
            idle_timeout: parse_time("idle-ms", &raw.idle_ms, 100)?,
            receive_timeout: parse_time("receive-ms", &raw.receive_ms, 100)?,
            requests_max: parse_count("requests", &raw.requests, 65_536)?,
            queue_max: parse_count("queue", &raw.queue, 65_536)?,
            endpoints_max: parse_count("endpoints", &raw.endpoints, 1_000_000)?,
            claims_max: parse_count("claims", &raw.claims, 65_536)?,
            claim_threads: parse_count("claim-threads", &raw.claim_threads, 1_024)?,
            announcements_max: parse_count("announcements", &raw.announcements, 65_536)?,
            drain_delay: parse_time("drain-wait-ms", &raw.drain_wait_ms, 0)?,
            drain_timeout: parse_time("drain-limit-ms", &raw.drain_limit_ms, 0)?,
            poll_interval: parse_time("poll-ms", &raw.poll_ms, 10)?,
            control_timeout: parse_time("control-limit-ms", &raw.control_limit_ms, 10)?,
            view_timeout: parse_time("view-wait-ms", &raw.view_wait_ms, 0)?,
            request_timeout: parse_time("request-timeout-ms", &raw.request_timeout_ms, 10)?,
        })
    }
}

fn parse_data_centre(text: &str) -> Result<DataCentreName, SettingError> {
    parse_setting("data-centre", text, NAME_FORMAT)
}

fn parse_environment(text: Option<&str>) -> Result<Option<EnvironmentName>, SettingError> {
    text.map(|text| parse_setting("environment", text, NAME_FORMAT))
        .transpose()
}

fn parse_address(flag: &'static str, text: &str) -> Result<SocketAddr, SettingError> {
    parse_setting(
        flag,
        text,
        "an IP address and a port, such as 127.0.0.1:8080",
    )
}

fn parse_optional(
    flag: &'static str,
    text: Option<&str>,
) -> Result<Option<SocketAddr>, SettingError> {
    text.map(|text| parse_address(flag, text)).transpose()
}

fn parse_replicas(text: &str) -> Result<Vec<SocketAddr>, SettingError> {
    text.split(',')
        .map(|address| parse_address("control", address.trim()))
        .collect()
}

fn parse_count(flag: &'static str, text: &str, max: usize) -> Result<usize, SettingError> {
    let allowed = format!("1 to {max}");
    parse_checked_setting(flag, text, &allowed, |count| (1..=max).contains(count))
}

fn parse_time(flag: &'static str, text: &str, min_ms: u64) -> Result<Duration, SettingError> {
    let allowed = format!("{min_ms} to {TIME_MS_MAX} milliseconds");
    let range = min_ms..=TIME_MS_MAX;
    let millis = parse_checked_setting(flag, text, &allowed, |millis| range.contains(millis))?;
    Ok(Duration::from_millis(millis))
}
