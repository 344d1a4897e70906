//! Settings of the control daemon, as flags and environment variables.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;

use crate::state::command::ClaimLimits;
use guavavane_daemon::prelude::check_setting;
use guavavane_daemon::prelude::parse_setting;
use guavavane_daemon::prelude::SettingError;
use guavavane_model::prelude::CellId;
use guavavane_quorum::prelude::MemberRole;
use guavavane_quorum::prelude::ReplicaId;
use guavavane_quorum::prelude::ReplicaMember;

/// What the command line asks for, before any check.
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
    /// Data folder, made if absent
    #[bpaf(long, env("GUAVAVANE_DATA"), argument("FOLDER"))]
    data: String,
    /// Cell that the replica belongs to
    #[bpaf(long, env("GUAVAVANE_CELL"), argument("NUMBER"), fallback("1".to_owned()))]
    cell: String,
    /// Identity of this replica, one of the voters
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
    /// Address under which others reach this replica; the listen address if absent
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
    /// Length of a worker's lease
    #[bpaf(long, env("GUAVAVANE_LEASE_MS"), argument("MS"), fallback("6000".to_owned()))]
    lease_ms: String,
    /// Time between two polls of an agent
    #[bpaf(long, env("GUAVAVANE_POLL_MS"), argument("MS"), fallback("500".to_owned()))]
    poll_ms: String,
    /// Latest start of a task, from the moment its poll was sent
    #[bpaf(long, env("GUAVAVANE_PERMIT_MS"), argument("MS"), fallback("2000".to_owned()))]
    permit_ms: String,
    /// Silence of a voter after which the leader replaces it by a learner
    #[bpaf(long, env("GUAVAVANE_REMOVAL_MS"), argument("MS"), fallback("20000".to_owned()))]
    removal_ms: String,
    /// Voters that the leader keeps by promoting learners
    #[bpaf(long, env("GUAVAVANE_VOTERS"), argument("COUNT"), fallback("3".to_owned()))]
    voters: String,
    /// Most idempotency keys kept
    #[bpaf(long, env("GUAVAVANE_CLAIMS"), argument("COUNT"), fallback("200000".to_owned()))]
    claims: String,
    /// Most bytes of answers kept for idempotency keys
    #[bpaf(long, env("GUAVAVANE_CLAIM_BYTES"), argument("BYTES"), fallback("67108864".to_owned()))]
    claim_bytes: String,
    /// How long an idempotency key is kept
    #[bpaf(long, env("GUAVAVANE_CLAIM_RETENTION_MS"), argument("MS"), fallback("900000".to_owned()))]
    claim_retention_ms: String,
}

/// Checked command.
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
    pub data: PathBuf,
    /// Cell.
    pub cell: CellId,
    /// This replica.
    pub replica: ReplicaId,
    /// The first voters.
    pub voters: Vec<ReplicaMember>,
}

/// Settings of `run`.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Data folder.
    pub data: PathBuf,
    /// Cell.
    pub cell: CellId,
    /// Address for calls.
    pub listen: SocketAddr,
    /// Address under which others reach this replica.
    pub advertise: SocketAddr,
    /// Address for health and status.
    pub http: SocketAddr,
    /// Replicas to ask for membership.
    pub peers: Vec<SocketAddr>,
    /// UDP address for metrics.
    pub metrics: Option<SocketAddr>,
    /// Threads that serve calls.
    pub threads: usize,
    /// Length of a worker's lease.
    pub lease: Duration,
    /// Time between two polls of an agent.
    pub poll: Duration,
    /// Latest start of a task, from the moment its poll was sent.
    pub permit: Duration,
    /// Silence of a voter after which the leader replaces it.
    pub removal: Duration,
    /// Voters that the leader keeps.
    pub voters: usize,
    /// Bounds of the claims.
    pub claim_limits: ClaimLimits,
    /// How long a claim is kept.
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
            data: PathBuf::from(raw.data),
            cell: CellId(parse_setting("cell", &raw.cell, CELL)?),
            replica,
            voters,
        })
    }
}

fn parse_voter(text: &str) -> Result<ReplicaMember, SettingError> {
    let refused = || SettingError::new("voter", text, "NUMBER@IP:PORT, such as 1@127.0.0.1:7000");
    let (id, address) = text.split_once('@').ok_or_else(refused)?;
    Ok(ReplicaMember {
        id: ReplicaId(id.parse().map_err(|_| refused())?),
        address: address.parse().map_err(|_| refused())?,
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
            data: PathBuf::from(raw.data),
            cell: CellId(parse_setting("cell", &raw.cell, CELL)?),
            listen,
            advertise,
            http: parse_setting("http", &raw.http, ADDRESS)?,
            peers: parse_peers(&raw.peers)?,
            metrics,
            threads: check_setting("threads", &raw.threads, "1 to 1024", |count| {
                (1..=1024).contains(count)
            })?,
            lease: parse_millis("lease-ms", &raw.lease_ms, 1_000, 600_000)?,
            poll: parse_millis("poll-ms", &raw.poll_ms, 20, 60_000)?,
            permit: parse_millis("permit-ms", &raw.permit_ms, 50, 10_000)?,
            removal: parse_millis("removal-ms", &raw.removal_ms, 2_500, 86_400_000)?,
            voters: check_setting("voters", &raw.voters, "1, 3, 5 or 7", |count| {
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
    /// A lease must outlast several polls, or one lost poll would stop tasks.
    fn check_intervals(&self, lease_text: &str) -> Result<(), SettingError> {
        let least = self.poll * 4;
        if self.lease < least {
            let allowed = format!("at least four polls, {} ms", least.as_millis());
            return Err(SettingError::new("lease-ms", lease_text, allowed));
        }
        Ok(())
    }
}

fn parse_millis(
    flag: &'static str,
    text: &str,
    least: u64,
    most: u64,
) -> Result<Duration, SettingError> {
    let allowed = format!("{least} to {most} ms");
    let millis = check_setting(flag, text, &allowed, |millis| {
        (least..=most).contains(millis)
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
