//! Callers that wait for an answer.

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

/// Where an answer goes. A caller that has left is no error.
pub(super) enum PendingReply<M: StateMachine> {
    Propose(flume::Sender<ProposeResult<M>>),
    Read(flume::Sender<Result<(), ReadError>>),
    Change(flume::Sender<Result<(), ChangeError>>),
    Nobody,
}

impl<M: StateMachine> PendingReply<M> {
    pub(super) fn of(request: HandleRequest<M>) -> Self {
        match request {
            HandleRequest::Propose { reply, .. } => Self::Propose(reply),
            HandleRequest::Read { reply } => Self::Read(reply),
            HandleRequest::Change { reply, .. } => Self::Change(reply),
            HandleRequest::Transfer | HandleRequest::Stop => Self::Nobody,
        }
    }

    pub(super) fn stopped(self) {
        self.fail(
            ProposeError::Stopped,
            ReadError::Stopped,
            ChangeError::Stopped,
        );
    }

    pub(super) fn storage_failed(self) {
        self.fail(
            ProposeError::StorageFailed,
            ReadError::StorageFailed,
            ChangeError::StorageFailed,
        );
    }

    fn fail(self, propose: ProposeError, read: ReadError, change: ChangeError) {
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
            Self::Nobody => {}
        }
    }

    fn confirm(self) {
        match self {
            Self::Read(reply) => {
                let _ = reply.send(Ok(()));
            }
            Self::Change(reply) => {
                let _ = reply.send(Ok(()));
            }
            Self::Propose(_) | Self::Nobody => {}
        }
    }

    fn refuse(self, refusal: CoreRefusal, leader: Option<ReplicaMember>) {
        match refusal {
            CoreRefusal::NotLeader => self.fail(
                ProposeError::NotLeader { leader },
                ReadError::NotLeader { leader },
                ChangeError::NotLeader { leader },
            ),
            CoreRefusal::Overloaded => self.fail(
                ProposeError::Overloaded,
                ReadError::Overloaded,
                ChangeError::Overloaded,
            ),
            CoreRefusal::ChangePending => self.fail_change(ChangeError::Pending),
            CoreRefusal::QuorumAtRisk => self.fail_change(ChangeError::QuorumAtRisk),
            CoreRefusal::LeaderItself => self.fail_change(ChangeError::LeaderItself),
            CoreRefusal::TooManyMembers => self.fail_change(ChangeError::TooManyMembers),
            CoreRefusal::UnknownMember => self.fail_change(ChangeError::UnknownMember),
        }
    }

    fn fail_change(self, error: ChangeError) {
        if let Self::Change(reply) = self {
            let _ = reply.send(Err(error));
        }
    }
}

/// Callers by what they wait for.
pub(super) struct WaitingCallers<M: StateMachine> {
    next_request_id: u64,
    /// Given to the core and not answered by it.
    asked: IndexMap<RequestId, PendingReply<M>>,
    /// Appended and not applied, in order of index.
    appended: VecDeque<(LogIndex, PendingReply<M>)>,
    /// Confirmed reads that wait for entries to be applied.
    reads: Vec<(LogIndex, PendingReply<M>)>,
}

impl<M: StateMachine> WaitingCallers<M> {
    pub(super) fn new() -> Self {
        Self {
            next_request_id: 0,
            asked: IndexMap::new(),
            appended: VecDeque::new(),
            reads: Vec::new(),
        }
    }

    /// Turns a request into an input of the core; `None` is the request to stop.
    pub(super) fn admit(&mut self, request: HandleRequest<M>) -> Option<CoreInput> {
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
        self.asked.insert(request_id, reply);
        Some(input)
    }

    pub(super) fn accept(&mut self, request_id: RequestId, index: LogIndex) {
        if let Some(reply) = self.asked.swap_remove(&request_id) {
            self.appended.push_back((index, reply));
        }
    }

    pub(super) fn confirm(&mut self, request_id: RequestId) {
        if let Some(reply) = self.asked.swap_remove(&request_id) {
            reply.confirm();
        }
    }

    pub(super) fn refuse(
        &mut self,
        request_id: RequestId,
        refusal: CoreRefusal,
        leader: Option<ReplicaMember>,
    ) {
        if let Some(reply) = self.asked.swap_remove(&request_id) {
            reply.refuse(refusal, leader);
        }
    }

    pub(super) fn await_read(&mut self, request_id: RequestId, index: LogIndex) {
        if let Some(reply) = self.asked.swap_remove(&request_id) {
            self.reads.push((index, reply));
        }
    }

    pub(super) fn release_reads(&mut self, applied: LogIndex) {
        let ready = self.reads.extract_if(.., |(index, _)| *index <= applied);
        ready.for_each(|(_, reply)| reply.confirm());
    }

    /// Answers the caller whose entry at `index` was applied.
    pub(super) fn complete(&mut self, index: LogIndex, outcome: Option<M::Outcome>) {
        let waits = self.appended.front().is_some_and(|(i, _)| *i == index);
        if !waits {
            return;
        }
        match (self.appended.pop_front(), outcome) {
            (Some((_, PendingReply::Propose(reply))), Some(outcome)) => {
                let _ = reply.send(Ok(outcome));
            }
            (Some((_, reply)), _) => reply.confirm(),
            (None, _) => {}
        }
    }

    /// Entries that were appended may still be committed by the next leader, or be lost.
    pub(super) fn lose_leadership(&mut self) {
        for (_, reply) in self.appended.drain(..) {
            reply.fail(
                ProposeError::Unknown,
                ReadError::TimedOut,
                ChangeError::Unknown,
            );
        }
    }

    /// Leaves all callers without an answer but that the outcome is unknown.
    pub(super) fn abandon(&mut self) {
        self.lose_leadership();
        let reads = self.reads.drain(..).map(|(_, reply)| reply);
        let asked = self.asked.drain(..).map(|(_, reply)| reply);
        for reply in reads.chain(asked) {
            reply.fail(
                ProposeError::Unknown,
                ReadError::Stopped,
                ChangeError::Unknown,
            );
        }
    }
}
