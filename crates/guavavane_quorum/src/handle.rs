//! Handle of a running replica: proposals, reads and membership changes.
//!
//! A handle can be cloned and used from any thread. It sends requests to the replica thread over
//! a bounded queue and reads the state machine and the published view directly.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::thread::JoinHandle;
use std::time::Duration;

use flume::RecvTimeoutError;
use flume::TrySendError;
use thiserror::Error;

use crate::core::MemberChange;
use crate::machine::StateMachine;
use crate::member::ReplicaId;
use crate::member::ReplicaMember;
use crate::view::LeadershipView;

/// Error of a proposed command.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This replica does not lead; the command was not applied.
    #[error("not the leader")]
    NotLeader {
        /// Leader of the current term, if this replica knows it.
        leader: Option<ReplicaMember>,
    },
    /// The request queue or the limit of uncommitted entries is full; the command was not applied.
    #[error("overloaded")]
    Overloaded,
    /// The encoded command is larger than `command_bytes_max`; it was not applied.
    #[error("command of {bytes} bytes is too large")]
    TooLarge {
        /// Size of the encoded command, in bytes.
        bytes: usize,
    },
    /// The command may have been applied, or may still be.
    #[error("outcome unknown")]
    Unknown,
    /// The replica had stopped on an error before the command arrived; it was not applied. After an
    /// error of the disk it may go on later.
    #[error("storage failed")]
    StorageFailed,
    /// The replica has stopped; the command was not applied.
    #[error("stopped")]
    Stopped,
}

/// Error of a linearizable read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// This replica does not lead.
    #[error("not the leader")]
    NotLeader {
        /// Leader of the current term, if this replica knows it.
        leader: Option<ReplicaMember>,
    },
    /// The queue of requests or waiting reads is full.
    #[error("overloaded")]
    Overloaded,
    /// The leadership could not be confirmed within the timeout.
    #[error("timed out")]
    TimedOut,
    /// The replica has stopped on an error of storage or the state machine.
    #[error("storage failed")]
    StorageFailed,
    /// The replica has stopped.
    #[error("stopped")]
    Stopped,
}

/// Error of a membership change.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// This replica does not lead.
    #[error("not the leader")]
    NotLeader {
        /// Leader of the current term, if this replica knows it.
        leader: Option<ReplicaMember>,
    },
    /// The queue of requests is full.
    #[error("overloaded")]
    Overloaded,
    /// An earlier change, or the first entry of the leader's term, is not committed yet.
    #[error("another change of members is under way")]
    Pending,
    /// After the change, fewer voters than a quorum would be reachable.
    #[error("the change would leave no reachable quorum")]
    QuorumAtRisk,
    /// The leader can't remove itself: transfer the leadership first.
    #[error("the leader does not remove itself; transfer the leadership first")]
    LeaderItself,
    /// The group already has `members_max` members.
    #[error("the group has its most members")]
    TooManyMembers,
    /// No member has the given identity.
    #[error("no such member")]
    UnknownMember,
    /// The change may have been committed, or may still be.
    #[error("outcome unknown")]
    Unknown,
    /// The replica has stopped on an error of storage or the state machine.
    #[error("storage failed")]
    StorageFailed,
    /// The replica has stopped.
    #[error("stopped")]
    Stopped,
}

/// Outcome of a proposed command, or the reason why there is none.
pub type ProposeResult<M> = Result<<M as StateMachine>::Outcome, ProposeError>;

/// Request to the replica thread.
pub(crate) enum HandleRequest<M: StateMachine> {
    Propose {
        command: Arc<[u8]>,
        reply: flume::Sender<ProposeResult<M>>,
    },
    Read {
        reply: flume::Sender<Result<(), ReadError>>,
    },
    Change {
        change: MemberChange,
        reply: flume::Sender<Result<(), ChangeError>>,
    },
    Transfer,
    Stop,
}

/// State that the replica thread shares with its handles.
pub(crate) struct SharedState<M> {
    pub(crate) machine: Mutex<M>,
    pub(crate) view: RwLock<Arc<LeadershipView>>,
}

impl<M> SharedState<M> {
    pub(crate) fn lock_machine(&self) -> MutexGuard<'_, M> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn view(&self) -> Arc<LeadershipView> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&view)
    }

    pub(crate) fn publish(&self, view: LeadershipView) {
        let mut slot = self.view.write().unwrap_or_else(PoisonError::into_inner);
        *slot = Arc::new(view);
    }
}

/// Handle of a running replica.
pub struct QuorumHandle<M: StateMachine> {
    pub(crate) requests: flume::Sender<HandleRequest<M>>,
    pub(crate) shared: Arc<SharedState<M>>,
    pub(crate) thread: Arc<Mutex<Option<JoinHandle<()>>>>,
    pub(crate) command_bytes_max: usize,
}

impl<M: StateMachine> Clone for QuorumHandle<M> {
    fn clone(&self) -> Self {
        Self {
            requests: self.requests.clone(),
            shared: Arc::clone(&self.shared),
            thread: Arc::clone(&self.thread),
            command_bytes_max: self.command_bytes_max,
        }
    }
}

impl<M: StateMachine> QuorumHandle<M> {
    /// Proposes a command and waits until it is applied, for at most `timeout`.
    pub fn propose(&self, command: M::Command, timeout: Duration) -> ProposeResult<M> {
        match self.propose_async(command).recv_timeout(timeout) {
            Ok(result) => result,
            Err(RecvTimeoutError::Timeout) => Err(ProposeError::Unknown),
            Err(RecvTimeoutError::Disconnected) => Err(ProposeError::Unknown),
        }
    }

    /// Proposes a command; its outcome is sent to the returned channel once it is applied.
    ///
    /// If the channel closes without a result, the result is [`ProposeError::Unknown`].
    pub fn propose_async(&self, command: M::Command) -> flume::Receiver<ProposeResult<M>> {
        let (reply, result) = flume::bounded(1);
        let config = bincode::config::standard();
        let encoded = bincode::serde::encode_to_vec(&command, config)
            .expect("commands encode without failing");
        if encoded.len() > self.command_bytes_max {
            let bytes = encoded.len();
            // Can't fail: this function holds the receiver.
            let _ = reply.send(Err(ProposeError::TooLarge { bytes }));
            return result;
        }
        let request = HandleRequest::Propose {
            command: encoded.into(),
            reply: reply.clone(),
        };
        let refusal = match self.requests.try_send(request) {
            Ok(()) => return result,
            Err(TrySendError::Full(_)) => ProposeError::Overloaded,
            Err(TrySendError::Disconnected(_)) => ProposeError::Stopped,
        };
        let _ = reply.send(Err(refusal));
        result
    }

    /// Linearizable read: `read` sees the effects of all commands that completed before the call.
    pub fn read<R>(&self, timeout: Duration, read: impl FnOnce(&M) -> R) -> Result<R, ReadError> {
        let (reply, result) = flume::bounded(1);
        match self.requests.try_send(HandleRequest::Read { reply }) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return Err(ReadError::Overloaded),
            Err(TrySendError::Disconnected(_)) => return Err(ReadError::Stopped),
        }
        match result.recv_timeout(timeout) {
            Ok(answer) => answer?,
            Err(RecvTimeoutError::Timeout) => return Err(ReadError::TimedOut),
            Err(RecvTimeoutError::Disconnected) => return Err(ReadError::Stopped),
        }
        Ok(self.read_local(read))
    }

    /// Reads this replica's state without confirming the leadership; the state may be stale.
    pub fn read_local<R>(&self, read: impl FnOnce(&M) -> R) -> R {
        read(&self.shared.lock_machine())
    }

    /// Returns the view that the replica thread published last.
    pub fn leadership(&self) -> Arc<LeadershipView> {
        self.shared.view()
    }

    /// Adds a learner, or changes the address of a member.
    ///
    /// Waits until the change is committed, for at most `timeout`.
    pub fn add_learner(
        &self,
        id: ReplicaId,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<(), ChangeError> {
        self.change(MemberChange::AddLearner { id, address }, timeout)
    }

    /// Promotes a learner to voter without waiting for the leader to do so.
    pub fn promote_learner(&self, id: ReplicaId, timeout: Duration) -> Result<(), ChangeError> {
        self.change(MemberChange::Promote(id), timeout)
    }

    /// Removes a member other than the leader.
    pub fn remove_member(&self, id: ReplicaId, timeout: Duration) -> Result<(), ChangeError> {
        self.change(MemberChange::Remove(id), timeout)
    }

    fn change(&self, change: MemberChange, timeout: Duration) -> Result<(), ChangeError> {
        let (reply, result) = flume::bounded(1);
        let request = HandleRequest::Change { change, reply };
        match self.requests.try_send(request) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return Err(ChangeError::Overloaded),
            Err(TrySendError::Disconnected(_)) => return Err(ChangeError::Stopped),
        }
        result
            .recv_timeout(timeout)
            .unwrap_or(Err(ChangeError::Unknown))
    }

    /// Starts a leadership transfer to the reachable voter with the most up-to-date log.
    ///
    /// Does nothing if this replica does not lead. Returns without waiting for the transfer;
    /// [`QuorumHandle::leadership`] shows when it has completed.
    pub fn transfer_leadership(&self) {
        // Doesn't wait for space in the queue, which a replica with a slow disk may not get.
        if self.requests.try_send(HandleRequest::Transfer).is_err() {
            tracing::warn!(event = "transfer_not_started", replica = %self.leadership().id);
        }
    }

    /// Stops the replica and waits until its data folder is unlocked.
    pub fn stop(&self) {
        // Fails only if the replica has stopped already.
        let _ = self.requests.send(HandleRequest::Stop);
        let mut slot = self.thread.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(thread) = slot.take() {
            // The panic hook has already reported a panic of the thread.
            let _ = thread.join();
        }
    }
}
