//! Commands of operators, sent as JSON to an entry and passed on to the control leader.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::call::CallKind;
use crate::call::RemoteCall;
use crate::replica::ControlRefusal;
use guavavane_model::prelude::BatchName;
use guavavane_model::prelude::BootId;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::DocumentFault;
use guavavane_model::prelude::DocumentVersion;
use guavavane_model::prelude::EnvironmentName;
use guavavane_model::prelude::JobId;
use guavavane_model::prelude::RackName;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::WorkerName;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorCommand {
    /// Replaces the document of an environment.
    Apply {
        /// The environment.
        environment: EnvironmentName,
        /// Version that it replaces; zero for the first.
        replaces: DocumentVersion,
        /// The document, as TOML.
        text: Arc<str>,
    },
    /// Copies the document of one environment to another.
    Promote {
        /// Environment whose document is copied.
        from: EnvironmentName,
        /// Its version.
        from_version: DocumentVersion,
        /// Environment that gets it.
        to: EnvironmentName,
        /// Version that it replaces there; zero for the first.
        replaces: DocumentVersion,
    },
    /// Shows the document in force.
    Show {
        /// The environment.
        environment: EnvironmentName,
    },
    /// Lists the versions of an environment that are kept.
    History {
        /// The environment.
        environment: EnvironmentName,
    },
    /// Takes a data centre out of service or brings it back.
    SetDataCentre {
        /// The data centre.
        data_centre: DataCentreName,
        /// Whether it is to be out.
        out: bool,
        /// Change that this replaces; `None` to set it whatever came before.
        replaces: Option<u64>,
    },
    /// Shows data centres, workers, replicas and counts.
    Status,
    /// Lists jobs.
    Jobs,
    /// Submits one instance of a declared batch.
    Submit {
        /// The environment that declares it.
        environment: EnvironmentName,
        /// The batch.
        batch: BatchName,
        /// Makes a resend harmless: the same key gives the same job.
        key: Arc<str>,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Adds a control replica as a learner.
    AddReplica {
        /// Its identity.
        replica: u64,
        /// Its address.
        address: SocketAddr,
    },
    /// Removes a control replica.
    RemoveReplica {
        /// Its identity.
        replica: u64,
    },
}

/// A version that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedVersion {
    /// The environment.
    pub environment: EnvironmentName,
    /// The version.
    pub version: DocumentVersion,
    /// Digest of the text.
    pub digest: u64,
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// Service or batch that it came from.
    pub workload: String,
    /// Its team.
    pub team: String,
    /// Tasks that wait.
    pub pending: u32,
    /// Tasks that are placed or run.
    pub running: u32,
    /// Tasks that finished.
    pub finished: u32,
    /// Tasks that were cancelled.
    pub cancelled: u32,
    /// Tasks that failed too often.
    pub failed: u32,
    /// Evictions of its tasks.
    pub evictions: u32,
    /// What it lacks, if it can never run.
    pub impossible: Option<String>,
}

/// State of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreReport {
    /// The data centre.
    pub name: DataCentreName,
    /// Whether it is out.
    pub out: bool,
    /// Raised with each change.
    pub version: u64,
    /// Workers known.
    pub workers: u32,
    /// Tasks committed there.
    pub tasks: u32,
}

/// State of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The worker.
    pub name: WorkerName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its rack.
    pub rack: RackName,
    /// Its boot.
    pub boot: BootId,
    /// What it has.
    pub capacity: ResourceVector,
    /// What is committed.
    pub committed: ResourceVector,
    /// Time since its last poll at the leader, if it polled this leader.
    pub silent_ms: Option<u64>,
}

/// State of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Its identity.
    pub replica: u64,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it leads.
    pub leader: bool,
}

/// State of the whole cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellStatus {
    /// Documents in force.
    pub documents: Vec<AcceptedVersion>,
    /// Data centres.
    pub data_centres: Vec<DataCentreReport>,
    /// Workers.
    pub workers: Vec<WorkerStatus>,
    /// Control replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// Claims kept.
    pub claims: u64,
    /// Log entries committed.
    pub committed_entries: u64,
}

/// What an operator's command led to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorOutcome {
    /// The document is accepted; a resend of the same command gets the same answer.
    Accepted(AcceptedVersion),
    /// Another document has that version.
    Conflict {
        /// The version in force.
        winner: AcceptedVersion,
    },
    /// The document is not accepted.
    Faulty {
        /// All faults found.
        faults: Vec<DocumentFault>,
    },
    /// The document in force.
    Document {
        /// Its version.
        accepted: AcceptedVersion,
        /// Its text.
        text: Arc<str>,
    },
    /// The kept versions, newest first.
    Versions {
        /// The versions.
        versions: Vec<AcceptedVersion>,
    },
    /// State of a data centre after the change.
    DataCentre(DataCentreReport),
    /// State of the cell.
    Status(CellStatus),
    /// State of the jobs.
    Jobs {
        /// The jobs, oldest first.
        jobs: Vec<JobStatus>,
    },
    /// The job that was submitted.
    Submitted {
        /// The job.
        job: JobId,
    },
    /// The job is cancelled.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// The change of replicas is committed.
    ReplicasChanged,
    /// The command names something that is not there, or cannot be done now.
    Rejected {
        /// Why.
        reason: String,
    },
    /// The change may or may not be in force: send it again.
    Unknown,
    /// Nothing was done; send it again later.
    Unavailable,
}

impl RemoteCall for OperatorCommand {
    type Reply = OperatorReply;

    const KIND: CallKind = CallKind::Operate;
}

/// The control replica's answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// Served by the leader.
    Outcome(OperatorOutcome),
    /// Not served.
    Refused(ControlRefusal),
}
