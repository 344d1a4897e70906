//! Requests whose callers wait for a reply.
//!
//! A request is first submitted to the core. A proposal or membership change then waits until its
//! entry is applied; a read waits until the entries up to its read index are applied.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;

use super::CoreInput;
use super::HandleRequest;
use super::LogIndex;
use super::RequestId;
use super::StateMachine;
use crate::core::CoreRefusal;
use crate::handle::ChangeError;
use crate::handle::ProposeError;
use crate::handle::ProposeResult;
use crate::handle::ReadError;
use crate::member::ReplicaMember;

/// Channel for the reply to one request. Failures to send are ignored: the caller no longer waits.
pub(super) enum PendingReply<M: StateMachine> {
    Propose(flume::Sender<ProposeResult<M>>),
    Read(flume::Sender<Result<(), ReadError>>),
    Change(flume::Sender<Result<(), ChangeError>>),
    NoReply,
}

impl<M: StateMachine> PendingReply<M> {
    pub(super) fn from_request(request: HandleRequest<M>) -> Self {
        match request {
            HandleRequest::Propose { reply, .. } => Self::Propose(reply),
            HandleRequest::Read { reply } => Self::Read(reply),
            HandleRequest::Change { reply, .. } => Self::Change(reply),
            HandleRequest::Transfer | HandleRequest::Stop => Self::NoReply,
        }
    }

    pub(super) fn fail_stopped(self) {
        self.send_error(
            ProposeError::Stopped,
            ReadError::Stopped,
            ChangeError::Stopped,
        );
    }

    pub(super) fn fail_storage(self) {
        self.send_error(
            ProposeError::StorageFailed,
            ReadError::StorageFailed,
            ChangeError::StorageFailed,
        );
    }

    fn send_error(self, propose: ProposeError, read: ReadError, change: ChangeError) {
        match self {
            Self::Propose(reply) => {
                let _ = reply.send(Err(propose));
            }
            Self::Read(reply) => {
                let _ = reply.send(Err(read));
            }
            Self::Change(reply) => {
                let _ = reply.send(Err(change));
            }
            Self::NoReply => {}
        }
    }

    fn send_ok(self) {
        match self {
            Self::Read(reply) => {
                let _ = reply.send(Ok(()));
            }
            Self::Change(reply) => {
                let _ = reply.send(Ok(()));
            }
            Self::Propose(_) | Self::NoReply => {}
        }
    }

    fn send_refusal(self, refusal: CoreRefusal, leader: Option<ReplicaMember>) {
        match refusal {
            CoreRefusal::NotLeader => self.send_error(
                ProposeError::NotLeader { leader },
                ReadError::NotLeader { leader },
                ChangeError::NotLeader { leader },
            ),
            CoreRefusal::Overloaded => self.send_error(
                ProposeError::Overloaded,
                ReadError::Overloaded,
                ChangeError::Overloaded,
            ),
            CoreRefusal::ChangePending => self.send_change_error(ChangeError::Pending),
            CoreRefusal::QuorumAtRisk => self.send_change_error(ChangeError::QuorumAtRisk),
            CoreRefusal::LeaderItself => self.send_change_error(ChangeError::LeaderItself),
            CoreRefusal::TooManyMembers => self.send_change_error(ChangeError::TooManyMembers),
            CoreRefusal::UnknownMember => self.send_change_error(ChangeError::UnknownMember),
        }
    }

    fn send_change_error(self, error: ChangeError) {
        if let Self::Change(reply) = self {
            let _ = reply.send(Err(error));
        }
    }
}

/// Pending requests by the event that they wait for.
pub(super) struct PendingRequests<M: StateMachine> {
    next_request_id: u64,
    /// Submitted to the core, without an output for the request yet.
    submitted: IndexMap<RequestId, PendingReply<M>>,
    /// Appended to the log and not applied, in order of index.
    appended: VecDeque<(LogIndex, PendingReply<M>)>,
    /// Confirmed reads that wait until the entry at their read index is applied.
    reads: Vec<(LogIndex, PendingReply<M>)>,
}

impl<M: StateMachine> PendingRequests<M> {
    pub(super) fn new() -> Self {
        Self {
            next_request_id: 0,
            submitted: IndexMap::new(),
            appended: VecDeque::new(),
            reads: Vec::new(),
        }
    }

    /// Registers a request and converts it to a core input; `None` means [`HandleRequest::Stop`].
    pub(super) fn register(&mut self, request: HandleRequest<M>) -> Option<CoreInput> {
        let request_id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let (input, reply) = match request {
            HandleRequest::Propose { command, reply } => {
                let command = Arc::clone(&command);
                let input = CoreInput::Propose {
                    request_id,
                    command,
                };
                (input, PendingReply::Propose(reply))
            }
            HandleRequest::Read { reply } => {
                (CoreInput::Read { request_id }, PendingReply::Read(reply))
            }
            HandleRequest::Change { change, reply } => {
                let input = CoreInput::Change { request_id, change };
                (input, PendingReply::Change(reply))
            }
            HandleRequest::Transfer => return Some(CoreInput::Transfer),
            HandleRequest::Stop => return None,
        };
        self.submitted.insert(request_id, reply);
        Some(input)
    }

    pub(super) fn mark_appended(&mut self, request_id: RequestId, index: LogIndex) {
        if let Some(reply) = self.submitted.swap_remove(&request_id) {
            self.appended.push_back((index, reply));
        }
    }

    pub(super) fn complete_unchanged(&mut self, request_id: RequestId) {
        if let Some(reply) = self.submitted.swap_remove(&request_id) {
            reply.send_ok();
        }
    }

    pub(super) fn refuse(
        &mut self,
        request_id: RequestId,
        refusal: CoreRefusal,
        leader: Option<ReplicaMember>,
    ) {
        if let Some(reply) = self.submitted.swap_remove(&request_id) {
            reply.send_refusal(refusal, leader);
        }
    }

    pub(super) fn queue_read(&mut self, request_id: RequestId, index: LogIndex) {
        if let Some(reply) = self.submitted.swap_remove(&request_id) {
            self.reads.push((index, reply));
        }
    }

    pub(super) fn complete_reads(&mut self, applied: LogIndex) {
        let ready = self.reads.extract_if(.., |(index, _)| *index <= applied);
        ready.for_each(|(_, reply)| reply.send_ok());
    }

    /// Replies to the request whose entry at `index` was applied, if one is pending.
    pub(super) fn complete_applied(&mut self, index: LogIndex, outcome: Option<M::Outcome>) {
        let is_waiting = self.appended.front().is_some_and(|(i, _)| *i == index);
        if !is_waiting {
            return;
        }
        match (self.appended.pop_front(), outcome) {
            (Some((_, PendingReply::Propose(reply))), Some(outcome)) => {
                let _ = reply.send(Ok(outcome));
            }
            (Some((_, reply)), _) => reply.send_ok(),
            (None, _) => {}
        }
    }

    /// Fails the requests that were appended, with an unknown result.
    ///
    /// The next leader may still commit their entries, or replace them.
    pub(super) fn fail_appended(&mut self) {
        for (_, reply) in self.appended.drain(..) {
            reply.send_error(
                ProposeError::Unknown,
                ReadError::TimedOut,
                ChangeError::Unknown,
            );
        }
    }

    /// Fails all pending requests: commands and changes with an unknown result, reads as stopped.
    pub(super) fn fail_all(&mut self) {
        self.fail_appended();
        let reads = self.reads.drain(..).map(|(_, reply)| reply);
        let submitted = self.submitted.drain(..).map(|(_, reply)| reply);
        for reply in reads.chain(submitted) {
            reply.send_error(
                ProposeError::Unknown,
                ReadError::Stopped,
                ChangeError::Unknown,
            );
        }
    }
}
