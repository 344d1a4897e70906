//! Replica thread: passes inputs to the consensus core and executes the core's outputs.
//!
//! Each round collects the messages and requests that have arrived, steps the core through them,
//! writes all resulting records as one batch with one sync, and only then sends acknowledgements
//! and applies entries. Requests that arrive during a sync share the sync of the next round
//! (group commit).
//!
//! After a failed write or sync the replica takes no part in the group until `recovery` has read
//! its folder again.

mod pending;
mod recovery;
mod snapshots;

use std::error::Error;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use flume::Selector;

use self::pending::PendingReply;
use self::pending::PendingRequests;
use self::snapshots::OversizedSnapshot;
use self::snapshots::SaveResult;
use self::snapshots::SnapshotThread;
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

/// Maximum number of messages, and of requests, that a round takes without waiting.
const ROUND_INPUTS_MAX: usize = 1_024;
/// Maximum time that a round waits for input, in milliseconds; bounds the time between two
/// readings of the clock.
const ROUND_WAIT_MAX_MS: u64 = 100;
/// Time after a failed snapshot until the next one is taken.
const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_secs(1);

enum RoundInput<M: StateMachine> {
    Message(PeerMessage),
    Request(HandleRequest<M>),
}

/// Reason why the replica thread stops processing rounds.
enum StopReason {
    /// A handle requested the stop, or the transport or all handles were dropped.
    Requested,
    Storage(StorageError),
    /// A command or snapshot can't be decoded.
    StateMachine(String),
}

impl From<StorageError> for StopReason {
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
    pending: PendingRequests<M>,
    applied: LogIndex,
    bytes_since_snapshot: u64,
    /// Time before which no snapshot is taken, after one could not be written.
    next_snapshot: BootTime,
    last_time: BootTime,
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
            pending: PendingRequests::new(),
            bytes_since_snapshot: 0,
            next_snapshot: BootTime::default(),
            last_time: BootTime::default(),
        })
    }

    pub(crate) fn build_view(
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
            needs_join: core.needs_join() && !storage_failed,
            unavailable_voters: core.unavailable_voters(),
            storage_failed,
        }
    }

    pub(crate) fn run(mut self) {
        loop {
            match self.run_rounds() {
                StopReason::Requested => {
                    self.publish_stopped(false);
                    self.pending.fail_all();
                    return self.refuse_queued();
                }
                StopReason::Storage(error) => {
                    tracing::error!(event = "storage_failed", replica = %self.core.id(), %error);
                    self.publish_stopped(true);
                    self.pending.fail_all();
                    if self.recover_storage().is_err() {
                        return self.refuse_queued();
                    }
                }
                StopReason::StateMachine(error) => {
                    tracing::error!(event = "machine_failed", replica = %self.core.id(), %error);
                    self.publish_stopped(true);
                    self.pending.fail_all();
                    // Closes the inbox, so that a transport that waits for space in it does not
                    // block forever.
                    self.inbox = flume::bounded(0).1;
                    return self.refuse_until_stopped();
                }
            }
        }
    }

    fn run_rounds(&mut self) -> StopReason {
        loop {
            if let Err(stop) = self.run_round() {
                return stop;
            }
        }
    }

    fn run_round(&mut self) -> Result<(), StopReason> {
        let inputs = self.collect_inputs()?;
        // The clock is read after the inputs were taken: a lease that is valid now was valid after
        // each request arrived, even if this thread was suspended before.
        let now = self.now();
        let mut outputs = Vec::new();
        for input in inputs {
            let input = match input {
                RoundInput::Message(message) => CoreInput::Message(message),
                RoundInput::Request(request) => match self.pending.register(request) {
                    Some(input) => input,
                    None => return Err(StopReason::Requested),
                },
            };
            outputs.extend(self.core.step(now, input));
        }
        outputs.extend(self.core.step(now, CoreInput::Tick));
        outputs.extend(self.core.step(now, CoreInput::Flush));
        self.process_outputs(outputs)?;
        let now = self.now();
        let outputs = self.core.step(now, CoreInput::Persisted);
        self.process_outputs(outputs)?;
        self.snapshot_if_due()
    }

    /// Current time, strictly increasing, so that no two rounds have the same time.
    fn now(&mut self) -> BootTime {
        let earliest = self.last_time + Duration::from_micros(1);
        self.last_time = BootClock.now().max(earliest);
        self.last_time
    }

    /// Waits for an input or the core's next deadline, then takes all inputs that have arrived.
    fn collect_inputs(&mut self) -> Result<Vec<RoundInput<M>>, StopReason> {
        let deadline = self.core.next_deadline();
        let timeout = deadline.saturating_since(BootClock.now());
        let timeout = timeout.min(Duration::from_millis(ROUND_WAIT_MAX_MS));
        let mut inputs: Vec<RoundInput<M>> = self.receive(timeout)?.into_iter().collect();
        let messages = self.inbox.try_iter().take(ROUND_INPUTS_MAX);
        inputs.extend(messages.map(RoundInput::Message));
        let requests = self.requests.try_iter().take(ROUND_INPUTS_MAX);
        inputs.extend(requests.map(RoundInput::Request));
        Ok(inputs)
    }

    /// Waits for one input; none if none arrives before the timeout.
    fn receive(&self, timeout: Duration) -> Result<Option<RoundInput<M>>, StopReason> {
        let received = Selector::new()
            .recv(&self.inbox, |m| m.ok().map(RoundInput::Message))
            .recv(&self.requests, |r| r.ok().map(RoundInput::Request))
            .wait_timeout(timeout);
        match received {
            Ok(Some(input)) => Ok(Some(input)),
            // The transport or all handles were dropped.
            Ok(None) => Err(StopReason::Requested),
            Err(_) => Ok(None),
        }
    }

    fn process_outputs(&mut self, outputs: Vec<CoreOutput>) -> Result<(), StopReason> {
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
                    self.sync_and_process(std::mem::take(&mut deferred))?;
                    self.install(image, keep_log)?;
                }
                CoreOutput::Accepted {
                    request_id, index, ..
                } => {
                    self.pending.mark_appended(request_id, index);
                }
                other => deferred.push(other),
            }
        }
        self.sync_and_process(deferred)
    }

    /// Makes all writes durable, then processes the outputs that depend on them.
    fn sync_and_process(&mut self, deferred: Vec<CoreOutput>) -> Result<(), StopReason> {
        self.store.sync()?;
        // The view is published before any message is sent, so that a leader that transfers the
        // leadership no longer shows a lease.
        self.publish(false);
        for output in deferred {
            match output {
                CoreOutput::Send { message, .. } => self.send(message),
                CoreOutput::Apply(entries) => self.apply(entries)?,
                CoreOutput::ReadReady { request_id, index } => {
                    self.pending.queue_read(request_id, index)
                }
                CoreOutput::Unchanged { request_id } => self.pending.complete_unchanged(request_id),
                CoreOutput::Refused {
                    request_id,
                    refusal,
                } => {
                    self.pending.refuse(request_id, refusal, self.core.leader());
                }
                CoreOutput::LostLeadership => self.pending.fail_appended(),
                _ => {}
            }
        }
        self.pending.complete_reads(self.applied);
        self.publish(false);
        Ok(())
    }

    fn send(&self, message: OutgoingMessage) {
        // A message is dropped if the outbox is full, as on a lossy network; Raft sends it again.
        let _ = self.outbox.try_send(message);
    }

    fn apply(&mut self, entries: Vec<LogEntry>) -> Result<(), StopReason> {
        let mut machine = self.shared.lock_machine();
        // After a recovery the core commits entries again that were applied before.
        let applied = self.applied;
        for entry in entries.into_iter().filter(|entry| entry.index > applied) {
            self.bytes_since_snapshot += entry.size_bytes() as u64;
            let outcome = match &entry.payload {
                EntryPayload::Command(bytes) => {
                    let config = bincode::config::standard();
                    let decoded = bincode::serde::decode_from_slice(bytes, config);
                    let (command, _) = decoded.map_err(|e| {
                        StopReason::StateMachine(format!("entry {}: {e}", entry.index))
                    })?;
                    Some(machine.apply(entry.index, command))
                }
                EntryPayload::Blank | EntryPayload::Members(_) => None,
            };
            self.applied = entry.index;
            self.pending.complete_applied(entry.index, outcome);
        }
        Ok(())
    }

    fn install(&mut self, image: SnapshotImage, keep_log: bool) -> Result<(), StopReason> {
        // No snapshot may be written while a received one is installed.
        if let Some(saved) = self.snapshots.wait() {
            self.handle_saved_snapshot(saved)?;
        }
        if image.index > self.applied {
            let restored = self.shared.lock_machine().restore(&image.bytes);
            restored.map_err(|e| StopReason::StateMachine(e.to_string()))?;
            self.applied = image.index;
            self.bytes_since_snapshot = 0;
        }
        self.store.install_snapshot(&image, keep_log)?;
        tracing::info!(event = "snapshot_installed", replica = %self.core.id(), index = %image.index);
        Ok(())
    }

    fn snapshot_if_due(&mut self) -> Result<(), StopReason> {
        if let Some(saved) = self.snapshots.poll() {
            self.handle_saved_snapshot(saved)?;
        }
        if self.core.commit() < self.applied || self.now() < self.next_snapshot {
            return Ok(());
        }
        let entries = self.applied.0 - self.core.snapshot_index().0;
        let due = entries >= self.settings.snapshot_entries
            || self.bytes_since_snapshot >= self.settings.snapshot_log_bytes;
        if !due || entries == 0 || self.snapshots.is_saving() {
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
            // Other replicas would refuse the snapshot, so the log must not be compacted.
            self.postpone_snapshot(&OversizedSnapshot { bytes });
            return Ok(());
        }
        self.bytes_since_snapshot = 0;
        self.snapshots.save(image);
        Ok(())
    }

    /// Compacts the log up to a durable snapshot, on disk and in the core. A snapshot that could not
    /// be written leaves the log as it is; another one is taken later.
    fn handle_saved_snapshot(&mut self, saved: SaveResult) -> Result<(), StopReason> {
        match saved {
            Ok(image) => {
                self.store.remove_covered_segments(image.index)?;
                let now = self.now();
                self.core.step(now, CoreInput::SnapshotSaved(image));
            }
            Err(error) => self.postpone_snapshot(&error),
        }
        Ok(())
    }

    /// Makes a snapshot that could not be written due again after an interval.
    fn postpone_snapshot(&mut self, error: &dyn Error) {
        tracing::warn!(event = "snapshot_failed", replica = %self.core.id(), %error);
        self.next_snapshot = self.now() + SNAPSHOT_RETRY_INTERVAL;
        self.bytes_since_snapshot = self.settings.snapshot_log_bytes;
    }

    fn publish(&self, storage_failed: bool) {
        let view = Self::build_view(&self.core, self.applied, storage_failed);
        self.shared.publish(view);
    }

    /// Publishes a last view, since this replica no longer leads or votes.
    fn publish_stopped(&self, storage_failed: bool) {
        let mut view = Self::build_view(&self.core, self.applied, storage_failed);
        view.role = crate::core::ReplicaRole::Follower;
        view.leader = None;
        view.lease_valid_until = None;
        view.led_since = None;
        view.needs_join = false;
        self.shared.publish(view);
    }

    fn refuse_queued(&self) {
        for request in self.requests.try_iter() {
            PendingReply::from_request(request).fail_stopped();
        }
    }

    /// Answers each request with a storage error until a handle stops the replica.
    fn refuse_until_stopped(&self) {
        while let Ok(request) = self.requests.recv() {
            if matches!(request, HandleRequest::Stop) {
                return self.refuse_queued();
            }
            PendingReply::from_request(request).fail_storage();
        }
    }
}
