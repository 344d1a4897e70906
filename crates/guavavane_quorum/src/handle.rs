//! The callers' side of a replica; a handle may be cloned and used from any thread.

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

/// Why a command has no outcome.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This replica does not lead; the command was not run.
    #[error("not the leader")]
    NotLeader {
        /// The leader, as far as it is known.
        leader: Option<ReplicaMember>,
    },
    /// A bound on outstanding work is reached; the command was not run.
    #[error("overloaded")]
    Overloaded,
    /// The encoded command is larger than `command_bytes_max`; it was not run.
    #[error("command of {bytes} bytes is too large")]
    TooLarge {
        /// Size of the encoded command.
        bytes: usize,
    },
    /// The command may have run, or may still run.
    #[error("outcome unknown")]
    Unknown,
    /// Storage had failed before the command came; it was not run.
    #[error("storage failed")]
    StorageFailed,
    /// The replica has stopped; the command was not run.
    #[error("stopped")]
    Stopped,
}

/// Why a read was not made.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// This replica does not lead.
    #[error("not the leader")]
    NotLeader {
        /// The leader, as far as it is known.
        leader: Option<ReplicaMember>,
    },
    /// A bound on outstanding work is reached.
    #[error("overloaded")]
    Overloaded,
    /// Leadership could not be confirmed in time.
    #[error("timed out")]
    TimedOut,
    /// Storage failed.
    #[error("storage failed")]
    StorageFailed,
    /// The replica has stopped.
    #[error("stopped")]
    Stopped,
}

/// Why the members were not changed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// This replica does not lead.
    #[error("not the leader")]
    NotLeader {
        /// The leader, as far as it is known.
        leader: Option<ReplicaMember>,
    },
    /// A bound on outstanding work is reached.
    #[error("overloaded")]
    Overloaded,
    /// An earlier change is not committed yet.
    #[error("another change of members is under way")]
    Pending,
    /// Fewer reachable voters than a quorum would remain.
    #[error("the change would leave no reachable quorum")]
    QuorumAtRisk,
    /// The leader does not remove itself: transfer the leadership first.
    #[error("the leader does not remove itself; transfer the leadership first")]
    LeaderItself,
    /// The group has its most members.
    #[error("the group has its most members")]
    TooManyMembers,
    /// The group has no such member.
    #[error("no such member")]
    UnknownMember,
    /// The change may have been made, or may still be.
    #[error("outcome unknown")]
    Unknown,
    /// Storage failed.
    #[error("storage failed")]
    StorageFailed,
    /// The replica has stopped.
    #[error("stopped")]
    Stopped,
}

/// Result of a proposed command.
pub type ProposeResult<M> = Result<<M as StateMachine>::Outcome, ProposeError>;

/// A request to the replica's thread.
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

/// What the replica's thread shares with its handles.
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
    /// Runs a command and waits for its outcome.
    pub fn propose(&self, command: M::Command, timeout: Duration) -> ProposeResult<M> {
        match self.propose_async(command).recv_timeout(timeout) {
            Ok(result) => result,
            Err(RecvTimeoutError::Timeout) => Err(ProposeError::Unknown),
            Err(RecvTimeoutError::Disconnected) => Err(ProposeError::Unknown),
        }
    }

    /// Runs a command; the outcome arrives on the returned channel.
    ///
    /// A channel that closes without a result means [`ProposeError::Unknown`].
    pub fn propose_async(&self, command: M::Command) -> flume::Receiver<ProposeResult<M>> {
        let (reply, result) = flume::bounded(1);
        let config = bincode::config::standard();
        let encoded = bincode::serde::encode_to_vec(&command, config)
            .expect("commands encode without failing");
        if encoded.len() > self.command_bytes_max {
            let bytes = encoded.len();
            // The receiver is held by this function.
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

    /// Reads the state as of a moment after the call, which no later write precedes.
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
        Ok(self.local(read))
    }

    /// Reads this replica's state, which may be old.
    pub fn local<R>(&self, read: impl FnOnce(&M) -> R) -> R {
        read(&self.shared.lock_machine())
    }

    /// The replica's view of the group after its last batch of work.
    pub fn leadership(&self) -> Arc<LeadershipView> {
        self.shared.view()
    }

    /// Adds a learner, or moves a member to another address.
    pub fn add_learner(
        &self,
        id: ReplicaId,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<(), ChangeError> {
        self.change(MemberChange::AddLearner { id, address }, timeout)
    }

    /// Makes a learner a voter without waiting for the leader to do so.
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

    /// Hands the leadership to the voter that has most of the log, if this replica leads.
    ///
    /// Returns at once; [`QuorumHandle::leadership`] shows when it is done.
    pub fn transfer_leadership(&self) {
        // A stopped replica leads nothing.
        let _ = self.requests.send(HandleRequest::Transfer);
    }

    /// Stops the replica and waits until its folder is free.
    pub fn stop(&self) {
        // A send fails only if the replica has stopped already.
        let _ = self.requests.send(HandleRequest::Stop);
        let mut slot = self.thread.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(thread) = slot.take() {
            // A panic of the thread was reported where it happened.
            let _ = thread.join();
        }
    }
}
