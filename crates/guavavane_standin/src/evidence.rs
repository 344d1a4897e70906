//! Evidence files: histories of events as workers, callers and operators observed them.
//!
//! A file holds one event a line, as JSON. Each line is appended with one write call, so that a
//! written line survives a crash of its process and lines of concurrent writers are not
//! interleaved. Times are read from `CLOCK_BOOTTIME`, which all processes of a machine share, so
//! that the files of all processes merge into one history.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use anyhow::Context;
use anyhow::Result;
use serde::Deserialize;
use serde::Serialize;

use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::AttemptState;
use guavavane_contract::prelude::StartProgram;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootId;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::FenceNumber;
use guavavane_model::prelude::RackName;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::WorkerName;

/// File name extension of evidence files.
pub const EVIDENCE_EXTENSION: &str = "evidence";

/// Reason for which a worker refused a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartRefusal {
    /// The worker accepted an attempt of the task with the same or a higher fencing token or
    /// attempt number.
    Fence,
    /// The times of the order refer to the clock of another boot.
    Boot,
    /// The order arrived after the time by which the attempt had to start.
    Late,
    /// The lease expired before the attempt started.
    LeaseOver,
    /// A stop order for the attempt arrived before the start order.
    Stopped,
    /// Another attempt of the task runs on this worker.
    TaskRunning,
    /// The demand exceeds the free capacity.
    Capacity,
    /// The worker is shutting down.
    Draining,
}

/// Outcome of a request, as its caller observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerOutcome {
    /// A complete answer to this request arrived.
    Answered,
    /// Every send was answered as not run, or could not connect.
    NotRun,
    /// At least one send was answered as of unknown outcome, and no answer of the service arrived.
    Unknown,
    /// No answer arrived within the caller's timeout.
    TimedOut,
    /// The connection broke after the request was sent and before the answer was complete.
    Broken,
    /// An answer arrived that is truncated or belongs to another request.
    Mismatched,
}

/// Observed event; tagged by `event` in JSON, in kebab case.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum EvidenceEvent {
    /// A worker process started; no attempt of its previous boot runs.
    WorkerUp {
        /// Name of the worker.
        worker: WorkerName,
        /// Data centre of the worker.
        data_centre: DataCentreName,
        /// Rack of the worker.
        rack: RackName,
        /// Boot identity of this start.
        boot: BootId,
        /// Capacity of the worker.
        capacity: ResourceVector,
    },
    /// The harness killed a worker process, which has ended.
    WorkerKilled {
        /// Name of the worker.
        worker: WorkerName,
    },
    /// A worker started an attempt.
    Started {
        /// Name of the worker.
        worker: WorkerName,
        /// Data centre of the worker.
        data_centre: DataCentreName,
        /// Task and number of the attempt.
        key: AttemptKey,
        /// Fencing token of the start order.
        fence: FenceNumber,
        /// Service or batch task that the attempt runs.
        program: StartProgram,
        /// Resources committed to the attempt.
        demand: ResourceVector,
        /// Progress of the checkpoint from which the attempt resumes, in ms; 0 without one.
        resume_ms: u64,
    },
    /// A worker refused a start order.
    StartRefused {
        /// Name of the worker.
        worker: WorkerName,
        /// Task and number of the attempt.
        key: AttemptKey,
        /// Reason of the refusal.
        reason: StartRefusal,
    },
    /// A worker wrote a checkpoint of an attempt.
    Checkpointed {
        /// Name of the worker.
        worker: WorkerName,
        /// Task and number of the attempt.
        key: AttemptKey,
        /// Progress that the checkpoint saves, in ms.
        progress_ms: u64,
    },
    /// An attempt ended on its worker.
    Ended {
        /// Name of the worker.
        worker: WorkerName,
        /// Task and number of the attempt.
        key: AttemptKey,
        /// Final state of the attempt.
        state: AttemptState,
        /// Progress at the end, in ms.
        progress_ms: u64,
        /// End of the lease, in ms of `CLOCK_BOOTTIME`.
        lease_until_ms: u64,
    },
    /// An endpoint began to run a request.
    Executed {
        /// Name of the worker.
        worker: WorkerName,
        /// Attempt to which the endpoint belongs.
        key: AttemptKey,
        /// Value of the request id header; empty without one.
        request: String,
        /// HTTP method.
        method: String,
        /// Identity that the caller gave the request.
        caller_id: String,
    },
    /// A caller sent a request for the first time.
    Sent {
        /// Identity that the caller gave the request.
        caller_id: String,
        /// HTTP method.
        method: String,
        /// Whether it carries an idempotency key.
        keyed: bool,
    },
    /// A caller observed the outcome of a request.
    Settled {
        /// Identity that the caller gave the request.
        caller_id: String,
        /// Outcome over all sends of the request.
        outcome: CallerOutcome,
        /// Time from the scheduled send time to the outcome, in µs.
        latency_us: u64,
        /// Number of sends.
        sends: u32,
        /// Reason in the last answer of an entry; empty without one.
        reason: String,
    },
    /// The command to take a data centre out was confirmed to the operator.
    DataCentreOut {
        /// Name of the data centre.
        data_centre: DataCentreName,
    },
    /// The operator is about to send the command to bring a data centre back.
    DataCentreBack {
        /// Name of the data centre.
        data_centre: DataCentreName,
    },
}

/// One line of an evidence file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRecord {
    /// Time of the event, in µs of `CLOCK_BOOTTIME`.
    pub at_us: u64,
    /// The event; its fields stand beside `at_us` in JSON.
    #[serde(flatten)]
    pub event: EvidenceEvent,
}

/// Evidence file opened for appending; clones share the file.
#[derive(Clone, Debug)]
pub struct EvidenceFile {
    file: Arc<Mutex<File>>,
}

impl EvidenceFile {
    /// Opens the file at `path` for appending and creates it if it does not exist.
    pub fn open(path: &Path) -> Result<Self> {
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .with_context(|| format!("cannot open evidence file {}", path.display()))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Appends an event with the current time.
    pub fn append(&self, event: EvidenceEvent) -> Result<()> {
        self.append_record(&EvidenceRecord {
            at_us: BootClock.now().as_micros(),
            event,
        })
    }

    /// Appends a record as one line, with one write call.
    pub fn append_record(&self, record: &EvidenceRecord) -> Result<()> {
        let mut line = serde_json::to_vec(record)?;
        line.push(b'\n');
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(&line)?;
        Ok(())
    }
}

/// Reads an evidence file; an incomplete last line is skipped.
pub fn read_file(path: &Path) -> Result<Vec<EvidenceRecord>> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("cannot read evidence file {}", path.display()))?;
    let complete_lines = text
        .rfind('\n')
        .map_or("", |last_newline| &text[..last_newline]);
    let mut records = Vec::new();
    for (index, line) in complete_lines.lines().enumerate() {
        let record: EvidenceRecord = serde_json::from_str(line)
            .with_context(|| format!("{}:{}: invalid record", path.display(), index + 1))?;
        records.push(record);
    }
    Ok(records)
}

/// Reads all evidence files of a folder and merges their records in order of time.
pub fn read_folder(folder: &Path) -> Result<Vec<EvidenceRecord>> {
    let mut records = Vec::new();
    for path in evidence_paths(folder)? {
        records.extend(read_file(&path)?);
    }
    records.sort_by_key(|record| record.at_us);
    Ok(records)
}

fn evidence_paths(folder: &Path) -> Result<Vec<PathBuf>> {
    let listing = std::fs::read_dir(folder)
        .with_context(|| format!("cannot list evidence folder {}", folder.display()))?;
    let mut paths = Vec::new();
    for item in listing {
        let path = item?.path();
        if path.extension().is_some_and(|x| x == EVIDENCE_EXTENSION) {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}
