//! Command line options, as parsed ([`RawOperatorOptions`]) and validated ([`OperatorOptions`]).

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use guavavane_daemon::prelude::parse_setting;
use guavavane_daemon::prelude::SettingError;

/// Operates a guavavane cell: documents, data centres, jobs and control replicas.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(operator_options))]
pub struct RawOperatorOptions {
    /// Operator listeners of the entries, separated by commas; tried in this order
    #[bpaf(long, env("GUAVAVANE_ENTRIES"), argument("IP:PORT,..."), fallback("127.0.0.1:7400".to_owned()))]
    entries: String,
    /// Print outcomes as JSON
    #[bpaf(long, env("GUAVAVANE_JSON"))]
    json: bool,
    #[bpaf(external(raw_operator_action))]
    action: RawOperatorAction,
}

/// Command of an operator.
#[derive(Clone, Debug, Bpaf)]
pub enum RawOperatorAction {
    /// Check a document locally, without sending it
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
        /// Version that the document replaces, 0 for the first; default: the version in force
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
        /// Version of the copied document; default: the version in force
        #[bpaf(long, argument("VERSION"))]
        from_version: Option<u64>,
        /// Environment to which the document is applied
        #[bpaf(long, argument("NAME"))]
        to: String,
        /// Version that the document replaces there; default: the version in force
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
        /// Environment of the document
        #[bpaf(long, env("GUAVAVANE_ENVIRONMENT"), argument("NAME"))]
        environment: String,
    },
    /// List the retained document versions of an environment
    #[bpaf(command("history"))]
    History {
        /// Environment to list
        #[bpaf(long, env("GUAVAVANE_ENVIRONMENT"), argument("NAME"))]
        environment: String,
    },
    /// Take a data centre out of service
    #[bpaf(command("take-out"))]
    TakeOut {
        /// Version of the data centre's state that this change replaces; default: any
        #[bpaf(long, argument("VERSION"))]
        replaces: Option<u64>,
        /// Name of the data centre
        #[bpaf(positional("DATA_CENTRE"))]
        data_centre: String,
    },
    /// Bring a data centre back into service
    #[bpaf(command("bring-back"))]
    BringBack {
        /// Version of the data centre's state that this change replaces; default: any
        #[bpaf(long, argument("VERSION"))]
        replaces: Option<u64>,
        /// Name of the data centre
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
        /// Environment that declares the batch
        #[bpaf(long, env("GUAVAVANE_ENVIRONMENT"), argument("NAME"))]
        environment: String,
        /// Idempotency key of the run: submitting the same key again returns the same job
        #[bpaf(long, argument("KEY"))]
        key: String,
        /// Name of the batch
        #[bpaf(positional("BATCH"))]
        batch: String,
    },
    /// Cancel a job
    #[bpaf(command("cancel"))]
    Cancel {
        /// Identity of the job
        #[bpaf(positional("JOB"))]
        job: u64,
    },
    /// Add, remove or list control replicas
    #[bpaf(command("replica"))]
    Replica(#[bpaf(external(raw_replica_action))] RawReplicaAction),
}

/// Command that concerns control replicas.
#[derive(Clone, Debug, Bpaf)]
pub enum RawReplicaAction {
    /// Add a replica as a learner
    #[bpaf(command("add"))]
    Add {
        /// Identity of the replica, in hexadecimal
        #[bpaf(positional("IDENTITY"))]
        replica: String,
        /// Address at which the replica takes calls
        #[bpaf(positional("IP:PORT"))]
        address: SocketAddr,
    },
    /// Remove a replica
    #[bpaf(command("remove"))]
    Remove {
        /// Identity of the replica, in hexadecimal
        #[bpaf(positional("IDENTITY"))]
        replica: String,
    },
    /// List the replicas
    #[bpaf(command("list"))]
    List,
}

/// Validated command line.
#[derive(Clone, Debug)]
pub struct OperatorOptions {
    /// Operator listeners of the entries, tried in this order.
    pub entries: Vec<SocketAddr>,
    /// Whether outcomes are printed as JSON.
    pub json: bool,
    /// Command to run.
    pub action: RawOperatorAction,
}

impl TryFrom<RawOperatorOptions> for OperatorOptions {
    type Error = SettingError;

    fn try_from(raw: RawOperatorOptions) -> Result<Self, SettingError> {
        let allowed = "IP addresses with ports, such as 127.0.0.1:7400,127.0.0.1:7401";
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
