//! Defines the commands of operators, and their outcomes.
//!
//! An operator sends a command as JSON to an entry, which forwards it to the control leader.
//!
//! A change of a document or data centre names the version that it replaces, and is refused if
//! another change has replaced that version since. A resend of the same change succeeds again.

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
        /// Environment whose document is replaced.
        environment: EnvironmentName,
        /// Version that the document replaces; zero for the first.
        replaces: DocumentVersion,
        /// TOML text of the document.
        text: Arc<str>,
    },
    /// Copies the document of one environment to another.
    Promote {
        /// Environment whose document is copied.
        from: EnvironmentName,
        /// Version of the document that is copied.
        from_version: DocumentVersion,
        /// Environment that receives the copy.
        to: EnvironmentName,
        /// Version that the copy replaces there; zero for the first.
        replaces: DocumentVersion,
    },
    /// Shows the current document of an environment.
    Show {
        /// Environment whose document is shown.
        environment: EnvironmentName,
    },
    /// Lists the retained versions of an environment.
    History {
        /// Environment whose versions are listed.
        environment: EnvironmentName,
    },
    /// Takes a data centre out of service or returns it to service.
    SetDataCentre {
        /// Data centre to take out or return.
        data_centre: DataCentreName,
        /// Whether the data centre is to be out of service.
        out: bool,
        /// Version of the state that this replaces; `None` sets the state unconditionally.
        replaces: Option<u64>,
    },
    /// Shows documents, data centres, workers, replicas and counts of the cell.
    Status,
    /// Lists the jobs with the state of their tasks.
    Jobs,
    /// Submits one run of a declared batch as a job.
    Submit {
        /// Environment that declares the batch.
        environment: EnvironmentName,
        /// Batch to run.
        batch: BatchName,
        /// Idempotency key: a resend with the same key returns the same job.
        key: Arc<str>,
    },
    /// Cancels a job and its tasks.
    Cancel {
        /// Job to cancel.
        job: JobId,
    },
    /// Adds a control replica to the group as a learner.
    AddReplica {
        /// Identity of the replica to add.
        replica: u64,
        /// Address on which the replica accepts calls.
        address: SocketAddr,
    },
    /// Removes a control replica from the group.
    RemoveReplica {
        /// Identity of the replica.
        replica: u64,
    },
}

/// An accepted version of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedVersion {
    /// Environment of the document.
    pub environment: EnvironmentName,
    /// Version of the document; the first accepted one is 1.
    pub version: DocumentVersion,
    /// Digest of the TOML text.
    pub digest: u64,
}

/// State of a job, with counts of its tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Identity of the job.
    pub job: JobId,
    /// Service or batch for which the job was created.
    pub workload: String,
    /// Team to which the job is charged.
    pub team: String,
    /// Tasks that wait for a placement.
    pub pending: u32,
    /// Tasks that are placed on a worker, started or not.
    pub running: u32,
    /// Tasks that finished.
    pub finished: u32,
    /// Tasks that were cancelled.
    pub cancelled: u32,
    /// Tasks given up after their maximum number of failures.
    pub failed: u32,
    /// Evictions of all its tasks.
    pub evictions: u32,
    /// What a task of the job lacks, if no worker can ever fit it.
    pub impossible: Option<String>,
}

/// State of a data centre, with counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreReport {
    /// Name of the data centre.
    pub name: DataCentreName,
    /// Whether the data centre is out of service.
    pub out: bool,
    /// Version of this state; each change increments it.
    pub version: u64,
    /// Workers known in the data centre.
    pub workers: u32,
    /// Tasks placed on its workers.
    pub tasks: u32,
}

/// State of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Name of the worker.
    pub name: WorkerName,
    /// Data centre of the worker.
    pub data_centre: DataCentreName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Last reported boot of the worker.
    pub boot: BootId,
    /// Resources of the worker.
    pub capacity: ResourceVector,
    /// Resources committed to the tasks on the worker.
    pub committed: ResourceVector,
    /// Time since the last poll, in milliseconds; `None` if the worker has not polled this leader.
    pub silent_ms: Option<u64>,
}

/// State of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Identity of the replica.
    pub replica: u64,
    /// Address on which the replica accepts calls.
    pub address: SocketAddr,
    /// Whether the replica is a voter; otherwise it is a learner.
    pub voter: bool,
    /// Whether the replica is the leader.
    pub leader: bool,
}

/// State of the whole cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellStatus {
    /// Current document versions, by environment.
    pub documents: Vec<AcceptedVersion>,
    /// State of all data centres.
    pub data_centres: Vec<DataCentreReport>,
    /// State of all workers.
    pub workers: Vec<WorkerStatus>,
    /// State of all control replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// Number of stored claims.
    pub claims: u64,
    /// Number of committed entries of the replicated log.
    pub committed_entries: u64,
}

/// Outcome of an [`OperatorCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorOutcome {
    /// The document is accepted; a resend of the same command has the same outcome.
    Accepted(AcceptedVersion),
    /// Another document has replaced the version that the command names.
    Conflict {
        /// The accepted version with the next number or, if it is not retained, the current one.
        winner: AcceptedVersion,
    },
    /// The document is invalid and not accepted.
    Faulty {
        /// All errors found in the document.
        faults: Vec<DocumentFault>,
    },
    /// The current document of an environment.
    Document {
        /// Version of the document.
        accepted: AcceptedVersion,
        /// TOML text of the document.
        text: Arc<str>,
    },
    /// The retained versions of an environment.
    Versions {
        /// The versions, newest first.
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
    /// The batch run was submitted, now or by an earlier command with the same key.
    Submitted {
        /// Job that runs the batch.
        job: JobId,
    },
    /// The job is cancelled.
    Cancelled {
        /// Job that was cancelled.
        job: JobId,
    },
    /// The membership change is committed.
    ReplicasChanged,
    /// The command names something that does not exist, or cannot be carried out now.
    Rejected {
        /// Reason, for the operator to read.
        reason: String,
    },
    /// Whether the change is or will be in force is not known; the operator may send it again.
    Unknown,
    /// The command had no effect; the operator may send it again later.
    Unavailable,
}

impl RemoteCall for OperatorCommand {
    type Reply = OperatorReply;

    const KIND: CallKind = CallKind::Operate;
}

/// Reply of a control replica to an [`OperatorCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// The leader served the command.
    Outcome(OperatorOutcome),
    /// The command was not served.
    Refused(ControlRefusal),
}
