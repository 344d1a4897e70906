//! Parses and checks the settings of the control daemon, from flags and environment variables.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;

use crate::state::command::ClaimLimits;
use guavavane_daemon::prelude::parse_checked_setting;
use guavavane_daemon::prelude::parse_setting;
use guavavane_daemon::prelude::SettingError;
use guavavane_model::prelude::CellId;
use guavavane_quorum::prelude::MemberRole;
use guavavane_quorum::prelude::ReplicaId;
use guavavane_quorum::prelude::ReplicaMember;

/// Command line before its values are checked.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum RawControlCommand {
    /// Initialise the data folder of one of the first voters
    #[bpaf(command("init"))]
    Init(#[bpaf(external(raw_init_settings))] RawInitSettings),
    /// Run a control replica; an empty data folder joins as a learner
    #[bpaf(command("run"))]
    Run(#[bpaf(external(raw_run_settings), map(Box::new))] Box<RawRunSettings>),
}

/// Raw settings of `init`.
#[derive(Clone, Debug, Bpaf)]
pub struct RawInitSettings {
    /// Data folder, created if absent
    #[bpaf(long, env("GUAVAVANE_DATA"), argument("FOLDER"))]
    data: String,
    /// Cell that the replica belongs to
    #[bpaf(long, env("GUAVAVANE_CELL"), argument("NUMBER"), fallback("1".to_owned()))]
    cell: String,
    /// Number of this replica, one of the voters
    #[bpaf(long, env("GUAVAVANE_REPLICA"), argument("NUMBER"))]
    replica: String,
    /// One of the first voters; the same list for each of them
    #[bpaf(long, argument("NUMBER@IP:PORT"))]
    voter: Vec<String>,
}

/// Raw settings of `run`.
#[derive(Clone, Debug, Bpaf)]
pub struct RawRunSettings {
    /// Data folder
    #[bpaf(long, env("GUAVAVANE_DATA"), argument("FOLDER"))]
    data: String,
    /// Cell that the replica belongs to
    #[bpaf(long, env("GUAVAVANE_CELL"), argument("NUMBER"), fallback("1".to_owned()))]
    cell: String,
    /// Address for calls of replicas, entries and agents
    #[bpaf(long, env("GUAVAVANE_LISTEN"), argument("IP:PORT"))]
    listen: String,
    /// Address at which others reach this replica; the listen address if absent
    #[bpaf(long, env("GUAVAVANE_ADVERTISE"), argument("IP:PORT"))]
    advertise: Option<String>,
    /// Address for /health and /status
    #[bpaf(long, env("GUAVAVANE_HTTP"), argument("IP:PORT"), fallback("127.0.0.1:0".to_owned()))]
    http: String,
    /// Replicas to ask for membership, separated by commas
    #[bpaf(
        long,
        env("GUAVAVANE_PEERS"),
        argument("IP:PORT,..."),
        fallback(String::new())
    )]
    peers: String,
    /// UDP address for statsd metrics
    #[bpaf(long, env("GUAVAVANE_METRICS"), argument("IP:PORT"))]
    metrics: Option<String>,
    /// Threads that serve calls
    #[bpaf(long, env("GUAVAVANE_THREADS"), argument("COUNT"), fallback("16".to_owned()))]
    threads: String,
    /// Duration of a worker's lease
    #[bpaf(long, env("GUAVAVANE_LEASE_MS"), argument("MS"), fallback("6000".to_owned()))]
    lease_ms: String,
    /// Time between two polls of an agent
    #[bpaf(long, env("GUAVAVANE_POLL_MS"), argument("MS"), fallback("500".to_owned()))]
    poll_ms: String,
    /// Latest start of a task, counted from the time at which the agent sent its poll
    #[bpaf(long, env("GUAVAVANE_PERMIT_MS"), argument("MS"), fallback("2000".to_owned()))]
    permit_ms: String,
    /// Time without contact after which the leader replaces a voter by a learner
    #[bpaf(long, env("GUAVAVANE_REMOVAL_MS"), argument("MS"), fallback("20000".to_owned()))]
    removal_ms: String,
    /// Number of voters that the leader maintains by promoting learners
    #[bpaf(long, env("GUAVAVANE_VOTERS"), argument("COUNT"), fallback("3".to_owned()))]
    voters: String,
    /// Maximum number of idempotency keys that are kept
    #[bpaf(long, env("GUAVAVANE_CLAIMS"), argument("COUNT"), fallback("200000".to_owned()))]
    claims: String,
    /// Maximum sum of the answers that are kept for idempotency keys
    #[bpaf(long, env("GUAVAVANE_CLAIM_BYTES"), argument("BYTES"), fallback("67108864".to_owned()))]
    claim_bytes: String,
    /// Minimum time that an idempotency key is kept
    #[bpaf(long, env("GUAVAVANE_CLAIM_RETENTION_MS"), argument("MS"), fallback("900000".to_owned()))]
    claim_retention_ms: String,
}

/// Command line with checked values.
#[derive(Clone, Debug)]
pub enum ControlCommandLine {
    /// Initialise a data folder.
    Init(InitSettings),
    /// Run a replica.
    Run(Box<RunSettings>),
}

/// Settings of `init`.
#[derive(Clone, Debug)]
pub struct InitSettings {
    /// Data folder.
    pub data_folder: PathBuf,
    /// Cell that the replica belongs to.
    pub cell: CellId,
    /// Identity of this replica, one of `voters`.
    pub replica: ReplicaId,
    /// The first voters; the same list on each of them.
    pub voters: Vec<ReplicaMember>,
}

/// Settings of `run`.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Data folder.
    pub data_folder: PathBuf,
    /// Cell that the replica belongs to.
    pub cell: CellId,
    /// Address for calls of replicas, entries and agents.
    pub listen: SocketAddr,
    /// Address at which others reach this replica.
    pub advertise: SocketAddr,
    /// Address of the HTTP server for health and status.
    pub http: SocketAddr,
    /// Replicas from which membership is requested.
    pub peers: Vec<SocketAddr>,
    /// UDP address for statsd metrics, if any.
    pub metrics: Option<SocketAddr>,
    /// Number of threads that serve calls.
    pub threads: usize,
    /// Duration of a worker's lease, without the margin for clock drift.
    pub lease_duration: Duration,
    /// Time between two polls of an agent that has no new orders.
    pub poll_interval: Duration,
    /// Latest start of a task, counted from the time at which the agent sent its poll.
    pub permit: Duration,
    /// Time without contact after which the leader replaces a voter by a learner.
    pub removal_timeout: Duration,
    /// Number of voters that the leader maintains by promoting learners.
    pub voters: usize,
    /// Limits of the claims.
    pub claim_limits: ClaimLimits,
    /// Minimum time that a claim is kept.
    pub claim_retention: Duration,
}

const ADDRESS: &str = "an IP address and port, such as 127.0.0.1:7000";
const CELL: &str = "a number from 0 to 65535";

impl TryFrom<RawControlCommand> for ControlCommandLine {
    type Error = SettingError;

    fn try_from(raw: RawControlCommand) -> Result<Self, SettingError> {
        match raw {
            RawControlCommand::Init(raw) => Ok(Self::Init(InitSettings::try_from(raw)?)),
            RawControlCommand::Run(raw) => {
                let settings = RunSettings::try_from(*raw)?;
                Ok(Self::Run(Box::new(settings)))
            }
        }
    }
}

impl TryFrom<RawInitSettings> for InitSettings {
    type Error = SettingError;

    fn try_from(raw: RawInitSettings) -> Result<Self, SettingError> {
        let voters = raw
            .voter
            .iter()
            .map(|text| parse_voter(text))
            .collect::<Result<Vec<_>, _>>()?;
        let replica = parse_setting("replica", &raw.replica, "a number")?;
        let replica = ReplicaId(replica);
        if !voters.iter().any(|voter| voter.id == replica) {
            let allowed = "the number of one of the --voter flags";
            return Err(SettingError::new("replica", raw.replica, allowed));
        }
        Ok(Self {
            data_folder: PathBuf::from(raw.data),
            cell: CellId(parse_setting("cell", &raw.cell, CELL)?),
            replica,
            voters,
        })
    }
}

fn parse_voter(text: &str) -> Result<ReplicaMember, SettingError> {
    let invalid = || SettingError::new("voter", text, "NUMBER@IP:PORT, such as 1@127.0.0.1:7000");
    let (id, address) = text.split_once('@').ok_or_else(invalid)?;
    Ok(ReplicaMember {
        id: ReplicaId(id.parse().map_err(|_| invalid())?),
        address: address.parse().map_err(|_| invalid())?,
        role: MemberRole::Voter,
    })
}

impl TryFrom<RawRunSettings> for RunSettings {
    type Error = SettingError;

    fn try_from(raw: RawRunSettings) -> Result<Self, SettingError> {
        let listen: SocketAddr = parse_setting("listen", &raw.listen, ADDRESS)?;
        let advertise = match &raw.advertise {
            Some(text) => parse_setting("advertise", text, ADDRESS)?,
            None => listen,
        };
        let metrics = raw
            .metrics
            .as_deref()
            .map(|text| parse_setting("metrics", text, ADDRESS))
            .transpose()?;
        let settings = Self {
            data_folder: PathBuf::from(raw.data),
            cell: CellId(parse_setting("cell", &raw.cell, CELL)?),
            listen,
            advertise,
            http: parse_setting("http", &raw.http, ADDRESS)?,
            peers: parse_peers(&raw.peers)?,
            metrics,
            threads: parse_checked_setting("threads", &raw.threads, "1 to 1024", |count| {
                (1..=1024).contains(count)
            })?,
            lease_duration: parse_millis("lease-ms", &raw.lease_ms, 1_000, 600_000)?,
            poll_interval: parse_millis("poll-ms", &raw.poll_ms, 20, 60_000)?,
            permit: parse_millis("permit-ms", &raw.permit_ms, 50, 10_000)?,
            removal_timeout: parse_millis("removal-ms", &raw.removal_ms, 2_500, 86_400_000)?,
            voters: parse_checked_setting("voters", &raw.voters, "1, 3, 5 or 7", |count| {
                [1, 3, 5, 7].contains(count)
            })?,
            claim_limits: ClaimLimits {
                claims: parse_setting("claims", &raw.claims, "a number")?,
                answer_bytes: parse_setting("claim-bytes", &raw.claim_bytes, "a number of bytes")?,
            },
            claim_retention: parse_millis(
                "claim-retention-ms",
                &raw.claim_retention_ms,
                1_000,
                86_400_000,
            )?,
        };
        settings.check_intervals(&raw.lease_ms)?;
        Ok(settings)
    }
}

impl RunSettings {
    /// Checks that a lease lasts for at least four polls; with a shorter one a lost poll could stop
    /// tasks.
    fn check_intervals(&self, lease_text: &str) -> Result<(), SettingError> {
        let minimum = self.poll_interval * 4;
        if self.lease_duration < minimum {
            let allowed = format!("at least four polls, {} ms", minimum.as_millis());
            return Err(SettingError::new("lease-ms", lease_text, allowed));
        }
        Ok(())
    }
}

fn parse_millis(
    flag: &'static str,
    text: &str,
    minimum: u64,
    maximum: u64,
) -> Result<Duration, SettingError> {
    let allowed = format!("{minimum} to {maximum} ms");
    let millis = parse_checked_setting(flag, text, &allowed, |millis| {
        (minimum..=maximum).contains(millis)
    })?;
    Ok(Duration::from_millis(millis))
}

fn parse_peers(text: &str) -> Result<Vec<SocketAddr>, SettingError> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(|part| parse_setting("peers", part, ADDRESS))
        .collect()
}
