//! Checked settings of the entry.

use std::net::SocketAddr;
use std::time::Duration;

use crate::options::RawSettings;
use guavavane_daemon::prelude::check_setting;
use guavavane_daemon::prelude::parse_setting;
use guavavane_daemon::prelude::SettingError;
use guavavane_model::prelude::CellId;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::EnvironmentName;
use guavavane_protocol::prelude::FRAME_MAX_BYTES;

/// Room that a frame needs besides the body of a request, in bytes.
const FRAME_ROOM_BYTES: usize = 256 * 1024;

/// What a name may be.
const NAME_ALLOWED: &str = "1 to 63 of a-z, 0-9 and inner '-'";

/// Longest time of a setting: one hour.
const TIME_MS_MAX: u64 = 3_600_000;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Cell that the entry belongs to.
    pub cell: CellId,
    /// Data centre of the entry.
    pub data_centre: DataCentreName,
    /// Environment of requests that name none.
    pub environment: Option<EnvironmentName>,
    /// Where callers are served.
    pub caller_listen: SocketAddr,
    /// Where operators are served.
    pub operator_listen: SocketAddr,
    /// Where announcements are taken.
    pub call_listen: SocketAddr,
    /// Where agents reach it; the bound address if not given.
    pub call_advertise: Option<SocketAddr>,
    /// The control replicas.
    pub control: Vec<SocketAddr>,
    /// Where metrics go.
    pub metrics: Option<SocketAddr>,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Connections of callers at once.
    pub connections: usize,
    /// Longest silence of a caller's connection without a request.
    pub idle_limit: Duration,
    /// Longest time for a caller to send a request or to take an answer.
    pub receive_limit: Duration,
    /// Requests in flight at once.
    pub requests: usize,
    /// Requests of one service that wait for an endpoint.
    pub queue: usize,
    /// Endpoints known at once.
    pub endpoints: usize,
    /// Idempotency keys in work at once.
    pub claims: usize,
    /// Threads that carry claims to control.
    pub claim_threads: usize,
    /// Announcements that wait to be taken.
    pub announcements: usize,
    /// Time for which work is still taken after SIGTERM.
    pub drain_wait: Duration,
    /// Longest wait for requests in flight after that.
    pub drain_limit: Duration,
    /// Longest pause between two polls of control.
    pub poll_interval: Duration,
    /// Longest wait for one control replica.
    pub control_limit: Duration,
    /// Time without control after which a new entry serves by announcements alone.
    pub view_wait: Duration,
    /// Timeout of requests while no document is known.
    pub request_timeout: Duration,
}

impl TryFrom<RawSettings> for EntrySettings {
    type Error = SettingError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingError> {
        let body_max = FRAME_MAX_BYTES - FRAME_ROOM_BYTES;
        Ok(Self {
            cell: CellId(parse_setting("cell", &raw.cell, "0 to 65535")?),
            data_centre: parse_data_centre(&raw.data_centre)?,
            environment: parse_environment(raw.environment.as_deref())?,
            caller_listen: parse_address("caller-listen", &raw.caller_listen)?,
            operator_listen: parse_address("operator-listen", &raw.operator_listen)?,
            call_listen: parse_address("call-listen", &raw.call_listen)?,
            call_advertise: parse_optional("call-advertise", raw.call_advertise.as_deref())?,
            control: parse_replicas(&raw.control)?,
            metrics: parse_optional("metrics", raw.metrics.as_deref())?,
            body_bytes: parse_count("body-bytes", &raw.body_bytes, body_max)?,
            header_bytes: parse_count("header-bytes", &raw.header_bytes, FRAME_ROOM_BYTES / 2)?,
            connections: parse_count("connections", &raw.connections, 16_384)?,
            idle_limit: parse_time("idle-ms", &raw.idle_ms, 100)?,
            receive_limit: parse_time("receive-ms", &raw.receive_ms, 100)?,
            requests: parse_count("requests", &raw.requests, 65_536)?,
            queue: parse_count("queue", &raw.queue, 65_536)?,
            endpoints: parse_count("endpoints", &raw.endpoints, 1_000_000)?,
            claims: parse_count("claims", &raw.claims, 65_536)?,
            claim_threads: parse_count("claim-threads", &raw.claim_threads, 1_024)?,
            announcements: parse_count("announcements", &raw.announcements, 65_536)?,
            drain_wait: parse_time("drain-wait-ms", &raw.drain_wait_ms, 0)?,
            drain_limit: parse_time("drain-limit-ms", &raw.drain_limit_ms, 0)?,
            poll_interval: parse_time("poll-ms", &raw.poll_ms, 10)?,
            control_limit: parse_time("control-limit-ms", &raw.control_limit_ms, 10)?,
            view_wait: parse_time("view-wait-ms", &raw.view_wait_ms, 0)?,
            request_timeout: parse_time("request-timeout-ms", &raw.request_timeout_ms, 10)?,
        })
    }
}

fn parse_data_centre(text: &str) -> Result<DataCentreName, SettingError> {
    parse_setting("data-centre", text, NAME_ALLOWED)
}

fn parse_environment(text: Option<&str>) -> Result<Option<EnvironmentName>, SettingError> {
    text.map(|text| parse_setting("environment", text, NAME_ALLOWED))
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
    check_setting(flag, text, &allowed, |count| (1..=max).contains(count))
}

fn parse_time(flag: &'static str, text: &str, min_ms: u64) -> Result<Duration, SettingError> {
    let allowed = format!("{min_ms} to {TIME_MS_MAX} milliseconds");
    let range = min_ms..=TIME_MS_MAX;
    let millis = check_setting(flag, text, &allowed, |millis| range.contains(millis))?;
    Ok(Duration::from_millis(millis))
}
