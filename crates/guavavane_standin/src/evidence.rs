//! Evidence files: what the stand-ins saw, one JSON line an event.
//!
//! Each line is appended with one write call, so that it survives the death of its process and
//! lines of several writers do not mix. Times come from `CLOCK_BOOTTIME`, which all processes
//! of one machine share.

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

/// Extension of evidence files.
pub const EVIDENCE_EXTENSION: &str = "evidence";

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartRefusal {
    /// As high a fencing number or attempt was seen for the task.
    Fence,
    /// The order counts on another boot's clock.
    Boot,
    /// The order arrived after its permit.
    Late,
    /// The lease had run out already.
    LeaseOver,
    /// The attempt was stopped before it started.
    Stopped,
    /// Another attempt at the task still runs here.
    TaskRunning,
    /// The demand exceeds what is free.
    Capacity,
    /// The worker is shutting down.
    Draining,
}

/// How a caller's request ended, as the caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerOutcome {
    /// The whole answer to this request.
    Answered,
    /// Every send was refused as not run, or could not connect.
    NotRun,
    /// At least one send was reported as unknown, and none was answered.
    Unknown,
    /// No answer came before the caller's time-out.
    TimedOut,
    /// The connection broke after the request was sent and before the answer was whole.
    Broken,
    /// An answer came whole that is short, or belongs to another request.
    Mismatched,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum EvidenceEvent {
    /// A worker came up; nothing of its last boot runs.
    WorkerUp {
        /// The worker.
        worker: WorkerName,
        /// Its data centre.
        data_centre: DataCentreName,
        /// Its rack.
        rack: RackName,
        /// Its boot.
        boot: BootId,
        /// What it has.
        capacity: ResourceVector,
    },
    /// A worker's process was killed and has ended.
    WorkerKilled {
        /// The worker.
        worker: WorkerName,
    },
    /// An attempt started.
    Started {
        /// The worker.
        worker: WorkerName,
        /// Its data centre.
        data_centre: DataCentreName,
        /// The attempt.
        key: AttemptKey,
        /// Its fencing number.
        fence: FenceNumber,
        /// What it runs.
        program: StartProgram,
        /// What it is committed.
        demand: ResourceVector,
        /// Work done before.
        resume_ms: u64,
    },
    /// A start was refused.
    StartRefused {
        /// The worker.
        worker: WorkerName,
        /// The attempt.
        key: AttemptKey,
        /// Why.
        reason: StartRefusal,
    },
    /// A checkpoint was written.
    Checkpointed {
        /// The worker.
        worker: WorkerName,
        /// The attempt.
        key: AttemptKey,
        /// Work kept in it.
        progress_ms: u64,
    },
    /// An attempt ended.
    Ended {
        /// The worker.
        worker: WorkerName,
        /// The attempt.
        key: AttemptKey,
        /// How.
        state: AttemptState,
        /// Work done.
        progress_ms: u64,
        /// End of its lease.
        lease_until_ms: u64,
    },
    /// An endpoint began to run a request.
    Executed {
        /// The worker.
        worker: WorkerName,
        /// The attempt that the endpoint belongs to.
        key: AttemptKey,
        /// Value of the request id header, empty if there is none.
        request: String,
        /// HTTP method.
        method: String,
        /// The caller's id for the request.
        caller_id: String,
    },
    /// A caller sent a request for the first time.
    Sent {
        /// The caller's id for the request.
        caller_id: String,
        /// HTTP method.
        method: String,
        /// Whether it carries an idempotency key.
        keyed: bool,
    },
    /// A caller's request ended.
    Settled {
        /// The caller's id for the request.
        caller_id: String,
        /// How.
        outcome: CallerOutcome,
        /// From the scheduled moment to the end.
        latency_us: u64,
        /// Times it was sent.
        sends: u32,
        /// The last reason that an entry gave.
        reason: String,
    },
    /// An operator's command to take a data centre out was confirmed.
    DataCentreOut {
        /// The data centre.
        data_centre: DataCentreName,
    },
    /// An operator is about to bring a data centre back.
    DataCentreBack {
        /// The data centre.
        data_centre: DataCentreName,
    },
}

/// One line of evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRecord {
    /// When, in microseconds of `CLOCK_BOOTTIME`.
    pub at_us: u64,
    /// What.
    #[serde(flatten)]
    pub event: EvidenceEvent,
}

/// An evidence file that is appended to.
#[derive(Clone, Debug)]
pub struct EvidenceFile {
    file: Arc<Mutex<File>>,
}

impl EvidenceFile {
    /// Opens the file at `path`, which is created if it is not there.
    pub fn open(path: &Path) -> Result<Self> {
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .with_context(|| format!("evidence file {}", path.display()))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Appends an event that happens now.
    pub fn append(&self, event: EvidenceEvent) -> Result<()> {
        self.append_record(&EvidenceRecord {
            at_us: BootClock.now().as_micros(),
            event,
        })
    }

    /// Appends a record.
    pub fn append_record(&self, record: &EvidenceRecord) -> Result<()> {
        let mut line = serde_json::to_vec(record)?;
        line.push(b'\n');
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(&line)?;
        Ok(())
    }
}

/// Reads one evidence file; a last line without its end is left out.
pub fn read_file(path: &Path) -> Result<Vec<EvidenceRecord>> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("evidence file {}", path.display()))?;
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    let mut records = Vec::new();
    for (index, line) in whole.lines().enumerate() {
        let record: EvidenceRecord = serde_json::from_str(line)
            .with_context(|| format!("{}:{}", path.display(), index + 1))?;
        records.push(record);
    }
    Ok(records)
}

/// Reads all evidence files of a folder, in order of time.
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
        .with_context(|| format!("evidence folder {}", folder.display()))?;
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
