//! The command line, raw and checked.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use guavavane_daemon::prelude::parse_setting;
use guavavane_daemon::prelude::SettingError;

/// The command line before any check.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(operator_options))]
pub struct RawOperatorOptions {
    /// Operator listeners of entries, separated by commas
    #[bpaf(long, env("GUAVAVANE_ENTRIES"), argument("IP:PORT,..."), fallback("127.0.0.1:7400".to_owned()))]
    entries: String,
    /// Print answers as JSON
    #[bpaf(long, env("GUAVAVANE_JSON"))]
    json: bool,
    #[bpaf(external(raw_operator_action))]
    action: RawOperatorAction,
}

/// What an operator asks for.
#[derive(Clone, Debug, Bpaf)]
pub enum RawOperatorAction {
    /// Check a document without sending it
    #[bpaf(command("check"))]
    Check {
        /// File of the document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a document in force
    #[bpaf(command("apply"))]
    Apply {
        /// Environment of the document
        #[bpaf(long, env("GUAVAVANE_ENVIRONMENT"), argument("NAME"))]
        environment: String,
        /// Version that it replaces; the version in force now if absent, 0 for the first
        #[bpaf(long, argument("VERSION"))]
        replaces: Option<u64>,
        /// File of the document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put the document of one environment in force in another
    #[bpaf(command("promote"))]
    Promote {
        /// Environment whose document is copied
        #[bpaf(long, argument("NAME"))]
        from: String,
        /// Its version; the version in force now if absent
        #[bpaf(long, argument("VERSION"))]
        from_version: Option<u64>,
        /// Environment that gets it
        #[bpaf(long, argument("NAME"))]
        to: String,
        /// Version that it replaces there; the version in force now if absent
        #[bpaf(long, argument("VERSION"))]
        replaces: Option<u64>,
    },
    /// Compare a document with the one in force
    #[bpaf(command("diff"))]
    Diff {
        /// Environment to compare with
        #[bpaf(long, env("GUAVAVANE_ENVIRONMENT"), argument("NAME"))]
        environment: String,
        /// File of the document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the document in force
    #[bpaf(command("show"))]
    Show {
        /// Its environment
        #[bpaf(long, env("GUAVAVANE_ENVIRONMENT"), argument("NAME"))]
        environment: String,
    },
    /// List the kept versions of an environment
    #[bpaf(command("history"))]
    History {
        /// The environment
        #[bpaf(long, env("GUAVAVANE_ENVIRONMENT"), argument("NAME"))]
        environment: String,
    },
    /// Take a data centre out of service
    #[bpaf(command("take-out"))]
    TakeOut {
        /// Change that this replaces; any if absent
        #[bpaf(long, argument("VERSION"))]
        replaces: Option<u64>,
        /// The data centre
        #[bpaf(positional("DATA_CENTRE"))]
        data_centre: String,
    },
    /// Bring a data centre back into service
    #[bpaf(command("bring-back"))]
    BringBack {
        /// Change that this replaces; any if absent
        #[bpaf(long, argument("VERSION"))]
        replaces: Option<u64>,
        /// The data centre
        #[bpaf(positional("DATA_CENTRE"))]
        data_centre: String,
    },
    /// Show data centres, workers and replicas
    #[bpaf(command("status"))]
    Status,
    /// List jobs
    #[bpaf(command("jobs"))]
    Jobs,
    /// Submit one run of a declared batch
    #[bpaf(command("submit"))]
    Submit {
        /// Environment that declares it
        #[bpaf(long, env("GUAVAVANE_ENVIRONMENT"), argument("NAME"))]
        environment: String,
        /// Key of the run; the same key gives the same job
        #[bpaf(long, argument("KEY"))]
        key: String,
        /// The batch
        #[bpaf(positional("BATCH"))]
        batch: String,
    },
    /// Cancel a job
    #[bpaf(command("cancel"))]
    Cancel {
        /// The job
        #[bpaf(positional("JOB"))]
        job: u64,
    },
    /// Add, remove or list control replicas
    #[bpaf(command("replica"))]
    Replica(#[bpaf(external(raw_replica_action))] RawReplicaAction),
}

/// What an operator asks for about control replicas.
#[derive(Clone, Debug, Bpaf)]
pub enum RawReplicaAction {
    /// Add a replica as a learner
    #[bpaf(command("add"))]
    Add {
        /// Its identity, in hexadecimal
        #[bpaf(positional("IDENTITY"))]
        replica: String,
        /// Its address
        #[bpaf(positional("IP:PORT"))]
        address: SocketAddr,
    },
    /// Remove a replica
    #[bpaf(command("remove"))]
    Remove {
        /// Its identity, in hexadecimal
        #[bpaf(positional("IDENTITY"))]
        replica: String,
    },
    /// List the replicas
    #[bpaf(command("list"))]
    List,
}

/// The checked command line.
#[derive(Clone, Debug)]
pub struct OperatorOptions {
    /// Operator listeners of entries.
    pub entries: Vec<SocketAddr>,
    /// Whether answers are printed as JSON.
    pub json: bool,
    /// What to do.
    pub action: RawOperatorAction,
}

impl TryFrom<RawOperatorOptions> for OperatorOptions {
    type Error = SettingError;

    fn try_from(raw: RawOperatorOptions) -> Result<Self, SettingError> {
        let allowed = "IP addresses and ports, such as 127.0.0.1:7400,127.0.0.1:7401";
        let entries = raw
            .entries
            .split(',')
            .map(|part| parse_setting("entries", part.trim(), allowed))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Self {
            entries,
            json: raw.json,
            action: raw.action,
        })
    }
}
