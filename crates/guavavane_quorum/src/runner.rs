//! The replica's thread: feeds the core and carries out what it decides.
//!
//! Each round takes what has arrived, steps the core through it, writes all resulting records
//! as one batch with one sync, and only then sends acknowledgements and applies entries. While
//! a sync runs, new requests gather and share the next one.

mod snapshots;
mod waiting;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use flume::Selector;

use self::snapshots::SnapshotThread;
use self::waiting::PendingReply;
use self::waiting::WaitingCallers;
use crate::core::ConsensusCore;
use crate::core::CoreInput;
use crate::core::CoreOutput;
use crate::core::RequestId;
use crate::entry::EntryPayload;
use crate::entry::LogEntry;
use crate::entry::LogIndex;
use crate::entry::SnapshotImage;
use crate::handle::HandleRequest;
use crate::handle::SharedState;
use crate::machine::StateMachine;
use crate::message::OutgoingMessage;
use crate::message::PeerMessage;
use crate::settings::CheckedSettings;
use crate::storage::DiskFolder;
use crate::storage::LogStore;
use crate::storage::StorageError;
use crate::view::LeadershipView;
use guavavane_model::time::BootClock;
use guavavane_model::time::BootTime;

/// Most inputs of one kind that a round takes.
const ROUND_INPUTS_MAX: usize = 1_024;
/// Longest time between two looks at the clock.
const WAIT_MAX_MS: u64 = 100;

enum RoundInput<M: StateMachine> {
    Message(PeerMessage),
    Request(HandleRequest<M>),
}

/// Why the thread ends or stops its work.
enum RunnerStop {
    Requested,
    Storage(StorageError),
    /// The log holds a command or snapshot that the machine can't read.
    Machine(String),
}

impl From<StorageError> for RunnerStop {
    fn from(error: StorageError) -> Self {
        Self::Storage(error)
    }
}

pub(crate) struct ReplicaRunner<M: StateMachine, D: DiskFolder> {
    core: ConsensusCore,
    store: LogStore<D>,
    snapshots: SnapshotThread,
    settings: CheckedSettings,
    shared: Arc<SharedState<M>>,
    inbox: flume::Receiver<PeerMessage>,
    requests: flume::Receiver<HandleRequest<M>>,
    outbox: flume::Sender<OutgoingMessage>,
    callers: WaitingCallers<M>,
    applied: LogIndex,
    bytes_since_snapshot: u64,
    last_now: BootTime,
}

impl<M: StateMachine, D: DiskFolder> ReplicaRunner<M, D> {
    pub(crate) fn new(
        core: ConsensusCore,
        store: LogStore<D>,
        settings: CheckedSettings,
        shared: Arc<SharedState<M>>,
        inbox: flume::Receiver<PeerMessage>,
        requests: flume::Receiver<HandleRequest<M>>,
        outbox: flume::Sender<OutgoingMessage>,
    ) -> io::Result<Self> {
        Ok(Self {
            snapshots: SnapshotThread::start(store.snapshot_writer())?,
            applied: core.commit(),
            core,
            store,
            settings,
            shared,
            inbox,
            requests,
            outbox,
            callers: WaitingCallers::new(),
            bytes_since_snapshot: 0,
            last_now: BootTime::default(),
        })
    }

    pub(crate) fn view_of(
        core: &ConsensusCore,
        applied: LogIndex,
        storage_failed: bool,
    ) -> LeadershipView {
        LeadershipView {
            id: core.id(),
            role: core.role(),
            term: core.term(),
            leader: core.leader(),
            lease_valid_until: core.lease_valid_until(),
            led_since: core.led_since(),
            commit: core.commit(),
            applied,
            last_index: core.last_index(),
            last_snapshot: core.snapshot_index(),
            log_bytes: core.log_bytes(),
            members: core.members().clone(),
            storage_failed,
        }
    }

    pub(crate) fn run(mut self) {
        let stop = loop {
            if let Err(stop) = self.run_round() {
                break stop;
            }
        };
        let failed = !matches!(stop, RunnerStop::Requested);
        self.withdraw(failed);
        self.callers.abandon();
        match stop {
            RunnerStop::Requested => return self.refuse_queued(),
            RunnerStop::Storage(error) => {
                tracing::error!(event = "storage_failed", replica = %self.core.id(), %error);
            }
            RunnerStop::Machine(error) => {
                tracing::error!(event = "machine_failed", replica = %self.core.id(), %error);
            }
        }
        // A transport that waits for room in the inbox must not wait for ever.
        self.inbox = flume::bounded(0).1;
        self.refuse_until_stopped();
    }

    fn run_round(&mut self) -> Result<(), RunnerStop> {
        let inputs = self.gather()?;
        // Read after the inputs were taken: a lease that is valid now was valid after each
        // request came, also if this thread was frozen before.
        let now = self.now();
        let mut outputs = Vec::new();
        for input in inputs {
            let input = match input {
                RoundInput::Message(message) => CoreInput::Message(message),
                RoundInput::Request(request) => match self.callers.admit(request) {
                    Some(input) => input,
                    None => return Err(RunnerStop::Requested),
                },
            };
            outputs.extend(self.core.step(now, input));
        }
        outputs.extend(self.core.step(now, CoreInput::Tick));
        outputs.extend(self.core.step(now, CoreInput::Flush));
        self.carry_out(outputs)?;
        let now = self.now();
        let outputs = self.core.step(now, CoreInput::Persisted);
        self.carry_out(outputs)?;
        self.snapshot_if_due()
    }

    /// Strictly increases, so that a moment names one round.
    fn now(&mut self) -> BootTime {
        let later = self.last_now + Duration::from_micros(1);
        self.last_now = BootClock.now().max(later);
        self.last_now
    }

    /// Waits for input or the core's deadline and takes what is there.
    fn gather(&mut self) -> Result<Vec<RoundInput<M>>, RunnerStop> {
        let deadline = self.core.next_deadline();
        let wait = deadline.saturating_since(BootClock.now());
        let wait = wait.min(Duration::from_millis(WAIT_MAX_MS));
        let first = Selector::new()
            .recv(&self.inbox, |m| m.ok().map(RoundInput::Message))
            .recv(&self.requests, |r| r.ok().map(RoundInput::Request))
            .wait_timeout(wait);
        let mut inputs = Vec::new();
        match first {
            Ok(Some(input)) => inputs.push(input),
            // The transport is gone, or all handles are.
            Ok(None) => return Err(RunnerStop::Requested),
            Err(_) => {}
        }
        let messages = self.inbox.try_iter().take(ROUND_INPUTS_MAX);
        inputs.extend(messages.map(RoundInput::Message));
        let requests = self.requests.try_iter().take(ROUND_INPUTS_MAX);
        inputs.extend(requests.map(RoundInput::Request));
        Ok(inputs)
    }

    fn carry_out(&mut self, outputs: Vec<CoreOutput>) -> Result<(), RunnerStop> {
        let mut deferred = Vec::new();
        for output in outputs {
            match output {
                CoreOutput::SaveHardState(state) => self.store.save_hard_state(state),
                CoreOutput::AppendEntries(entries) => self.store.append(entries),
                CoreOutput::Send {
                    message,
                    after_sync: false,
                } => self.send(message),
                CoreOutput::InstallSnapshot { image, keep_log } => {
                    self.finish(std::mem::take(&mut deferred))?;
                    self.install(image, keep_log)?;
                }
                CoreOutput::Accepted {
                    request_id, index, ..
                } => {
                    self.callers.accept(request_id, index);
                }
                other => deferred.push(other),
            }
        }
        self.finish(deferred)
    }

    /// Makes all writes durable and does what had to wait for that.
    fn finish(&mut self, deferred: Vec<CoreOutput>) -> Result<(), RunnerStop> {
        self.store.sync()?;
        // Published before anything leaves: a leader that hands over no longer shows a lease.
        self.publish(false);
        for output in deferred {
            match output {
                CoreOutput::Send { message, .. } => self.send(message),
                CoreOutput::Apply(entries) => self.apply(entries)?,
                CoreOutput::ReadReady { request_id, index } => {
                    self.callers.await_read(request_id, index)
                }
                CoreOutput::Unchanged { request_id } => self.callers.confirm(request_id),
                CoreOutput::Refused {
                    request_id,
                    refusal,
                } => {
                    self.callers.refuse(request_id, refusal, self.core.leader());
                }
                CoreOutput::LostLeadership => self.callers.lose_leadership(),
                _ => {}
            }
        }
        self.callers.release_reads(self.applied);
        self.publish(false);
        Ok(())
    }

    fn send(&self, message: OutgoingMessage) {
        // A full outbox is a slow network: the protocol sends again what is lost.
        let _ = self.outbox.try_send(message);
    }

    fn apply(&mut self, entries: Vec<LogEntry>) -> Result<(), RunnerStop> {
        let mut machine = self.shared.lock_machine();
        for entry in entries {
            self.bytes_since_snapshot += entry.size_bytes() as u64;
            let outcome = match &entry.payload {
                EntryPayload::Command(bytes) => {
                    let config = bincode::config::standard();
                    let decoded = bincode::serde::decode_from_slice(bytes, config);
                    let (command, _) = decoded
                        .map_err(|e| RunnerStop::Machine(format!("{}: {e}", entry.index)))?;
                    Some(machine.apply(entry.index, command))
                }
                EntryPayload::Blank | EntryPayload::Members(_) => None,
            };
            self.applied = entry.index;
            self.callers.complete(entry.index, outcome);
        }
        Ok(())
    }

    fn install(&mut self, image: SnapshotImage, keep_log: bool) -> Result<(), RunnerStop> {
        if let Some(saved) = self.snapshots.wait() {
            self.note_saved(saved?)?;
        }
        let restored = self.shared.lock_machine().restore(&image.bytes);
        restored.map_err(|e| RunnerStop::Machine(e.to_string()))?;
        self.store.install_snapshot(&image, keep_log)?;
        self.applied = image.index;
        self.bytes_since_snapshot = 0;
        tracing::info!(event = "snapshot_installed", replica = %self.core.id(), index = %image.index);
        Ok(())
    }

    fn snapshot_if_due(&mut self) -> Result<(), RunnerStop> {
        if let Some(saved) = self.snapshots.poll() {
            self.note_saved(saved?)?;
        }
        let entries = self.applied.0 - self.core.snapshot_index().0;
        let due = entries >= self.settings.snapshot_entries
            || self.bytes_since_snapshot >= self.settings.snapshot_log_bytes;
        if !due || entries == 0 || self.snapshots.is_busy() {
            return Ok(());
        }
        let term = self.core.term_at(self.applied);
        let image = SnapshotImage {
            index: self.applied,
            term: term.expect("the last applied entry is kept"),
            members: self.core.members_at(self.applied).clone(),
            bytes: self.shared.lock_machine().snapshot().into(),
        };
        let bytes = image.bytes.len() as u64;
        if bytes > self.settings.snapshot_bytes_max {
            // Other replicas refuse it; the log must not go.
            return Err(RunnerStop::Machine(format!("snapshot of {bytes} bytes")));
        }
        self.bytes_since_snapshot = 0;
        self.snapshots.save(image);
        Ok(())
    }

    /// A snapshot is durable: the log that it covers may go.
    fn note_saved(&mut self, image: SnapshotImage) -> Result<(), RunnerStop> {
        self.store.drop_covered(image.index)?;
        let now = self.now();
        self.core.step(now, CoreInput::SnapshotSaved(image));
        Ok(())
    }

    fn publish(&self, storage_failed: bool) {
        let view = Self::view_of(&self.core, self.applied, storage_failed);
        self.shared.publish(view);
    }

    /// Publishes that this replica neither leads nor votes any more.
    fn withdraw(&self, storage_failed: bool) {
        let mut view = Self::view_of(&self.core, self.applied, storage_failed);
        view.role = crate::core::ReplicaRole::Follower;
        view.leader = None;
        view.lease_valid_until = None;
        view.led_since = None;
        self.shared.publish(view);
    }

    fn refuse_queued(&self) {
        for request in self.requests.try_iter() {
            PendingReply::of(request).stopped();
        }
    }

    fn refuse_until_stopped(&self) {
        while let Ok(request) = self.requests.recv() {
            if matches!(request, HandleRequest::Stop) {
                return self.refuse_queued();
            }
            PendingReply::of(request).storage_failed();
        }
    }
}
