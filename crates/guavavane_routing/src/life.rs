//! Life cycle of one request, as types.
//!
//! A [`Waiting`] request has no open attempt, and each earlier one is proven not to have run
//! unless the request is idempotent. Only a waiting request can be placed. A keyed request
//! passes through [`Claiming`]; while another attempt holds its key it is [`Blocked`] and then
//! [`Resolving`]. A [`Running`] request comes back to waiting only with a proof, or because it
//! is idempotent; otherwise it ends as unknown.

use std::sync::Arc;

use crate::request::AttemptOutcome;
use crate::request::CallerRequest;
use crate::request::NotRunProof;
use crate::request::NotRunReason;
use crate::request::RequestResult;
use guavavane_model::prelude::EndpointName;
use guavavane_protocol::prelude::ClaimChange;
use guavavane_protocol::prelude::ClaimHolder;
use guavavane_protocol::prelude::DispatchTarget;
use guavavane_protocol::prelude::HttpAnswer;
use guavavane_protocol::prelude::RefusalReason;
use guavavane_protocol::prelude::RequestAttempt;
use guavavane_protocol::prelude::UnknownReason;

/// What a request carries through all its states.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The request.
    pub request: Arc<CallerRequest>,
    /// Attempts numbered so far.
    pub attempts: u16,
    /// Endpoints that refused or failed.
    pub avoid: Vec<EndpointName>,
    /// Why an earlier attempt of an idempotent request is not proven either way.
    unproven: Option<UnknownReason>,
    /// Whether another request may have run under the same key.
    contested: bool,
    /// Attempt that holds the claim and is proven not to have run.
    replaces: Option<RequestAttempt>,
    /// Times that the claim was found held.
    rounds: u16,
}

impl RequestRecord {
    fn next_attempt(&mut self) -> RequestAttempt {
        self.attempts = self.attempts.saturating_add(1);
        RequestAttempt {
            request: self.request.id,
            attempt: self.attempts,
        }
    }

    /// The result of a request that ends without an answer and without an open attempt.
    fn unserved(&self, reason: NotRunReason) -> RequestResult {
        match self.unproven {
            Some(unknown) => RequestResult::Unknown(unknown),
            None if self.contested => RequestResult::Unknown(UnknownReason::StillRunning),
            None => RequestResult::NotRun(reason),
        }
    }

    /// Attempt that holds the claim without having run, to be released.
    pub fn released(&self) -> Option<RequestAttempt> {
        self.replaces
    }
}

/// A request in state `S`.
#[derive(Clone, Debug)]
pub struct RequestLife<S> {
    /// What the request carries through all its states.
    pub record: RequestRecord,
    state: S,
}

/// No attempt is open.
#[derive(Clone, Copy, Debug)]
pub struct Waiting;

/// What is known of the attempt that held the claim before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HolderCheck {
    /// Nobody was seen to hold it.
    Fresh,
    /// This attempt held it before the wait.
    Waited(RequestAttempt),
    /// This attempt held it and its agent does not know more.
    Unresolved(RequestAttempt, UnknownReason),
}

/// A claim is asked for.
#[derive(Clone, Debug)]
pub struct Claiming {
    holder: ClaimHolder,
    check: HolderCheck,
}

/// Another attempt holds the claim; it is given time to end.
#[derive(Clone, Debug)]
pub struct Blocked {
    other: ClaimHolder,
}

/// At least one attempt is open.
#[derive(Clone, Debug)]
pub struct Running {
    open: Vec<ClaimHolder>,
}

/// An agent is asked to refuse an attempt for good, or for its answer.
#[derive(Clone, Debug)]
pub struct Resolving {
    holder: ClaimHolder,
}

/// A waiting request that was given an endpoint.
#[derive(Clone, Debug)]
pub enum PlacedLife {
    /// To be dispatched.
    Running(RequestLife<Running>),
    /// To be claimed first.
    Claiming(RequestLife<Claiming>),
}

impl RequestLife<Waiting> {
    /// The life of a new request.
    pub fn new(request: Arc<CallerRequest>) -> Self {
        Self {
            record: RequestRecord {
                request,
                attempts: 0,
                avoid: Vec::new(),
                unproven: None,
                contested: false,
                replaces: None,
                rounds: 0,
            },
            state: Waiting,
        }
    }

    /// Gives the request an endpoint.
    pub fn place(mut self, target: DispatchTarget) -> (PlacedLife, ClaimHolder) {
        let attempt = self.record.next_attempt();
        let holder = ClaimHolder { attempt, target };
        let record = self.record;
        let life = if record.request.claim.is_some() {
            PlacedLife::Claiming(RequestLife {
                record,
                state: Claiming {
                    holder: holder.clone(),
                    check: HolderCheck::Fresh,
                },
            })
        } else {
            PlacedLife::Running(RequestLife {
                record,
                state: Running {
                    open: vec![holder.clone()],
                },
            })
        };
        (life, holder)
    }

    /// Ends the request without an answer.
    pub fn finish(self, reason: NotRunReason) -> RequestResult {
        self.record.unserved(reason)
    }
}

/// What follows from a claim held by another attempt.
#[derive(Clone, Debug)]
pub enum HeldStep {
    /// It is an own attempt that was never dispatched: claim again.
    Own(RequestLife<Waiting>),
    /// Wait for the holder.
    Blocked(RequestLife<Blocked>),
    /// Ask the holder's agent.
    Resolving(RequestLife<Resolving>),
    /// The outcome cannot be known.
    Finished(RequestResult),
}

impl RequestLife<Claiming> {
    /// The attempt that the claim is for.
    pub fn holder(&self) -> &ClaimHolder {
        &self.state.holder
    }

    /// The change to ask for.
    pub fn change(&self) -> ClaimChange {
        let next = self.state.holder.clone();
        match self.record.replaces {
            Some(not_run) => ClaimChange::Replace { not_run, next },
            None => ClaimChange::Acquire(next),
        }
    }

    /// The claim is committed: the attempt may be dispatched.
    pub fn granted(mut self) -> RequestLife<Running> {
        self.record.replaces = None;
        self.record.contested = false;
        RequestLife {
            record: self.record,
            state: Running {
                open: vec![self.state.holder],
            },
        }
    }

    /// The claim is committed, but its attempt is not dispatched: claim for another.
    pub fn unsent(mut self) -> RequestLife<Waiting> {
        self.record.contested = false;
        self.record.replaces = Some(self.state.holder.attempt);
        RequestLife {
            record: self.record,
            state: Waiting,
        }
    }

    /// Another attempt holds the claim.
    pub fn held(mut self, other: ClaimHolder, rounds_max: u16) -> HeldStep {
        self.record.rounds += 1;
        let own = other.attempt.request == self.record.request.id;
        if !own {
            self.record.contested = true;
            self.record.replaces = None;
        }
        if self.record.rounds > rounds_max {
            return HeldStep::Finished(self.record.unserved(NotRunReason::ControlUnavailable));
        }
        if own {
            // No attempt of a keyed request is open while it claims, so none has run.
            self.record.replaces = Some(other.attempt);
            return HeldStep::Own(RequestLife {
                record: self.record,
                state: Waiting,
            });
        }
        match self.state.check {
            HolderCheck::Waited(attempt) if attempt == other.attempt => {
                HeldStep::Resolving(RequestLife {
                    record: self.record,
                    state: Resolving { holder: other },
                })
            }
            HolderCheck::Unresolved(attempt, reason) if attempt == other.attempt => {
                HeldStep::Finished(RequestResult::Unknown(reason))
            }
            _ => HeldStep::Blocked(RequestLife {
                record: self.record,
                state: Blocked { other },
            }),
        }
    }

    /// Ends the request without a claim: nothing was dispatched under it.
    pub fn finish(self, reason: NotRunReason) -> RequestResult {
        match self.state.check {
            HolderCheck::Unresolved(_, unknown) => RequestResult::Unknown(unknown),
            _ => self.record.unserved(reason),
        }
    }
}

impl RequestLife<Blocked> {
    /// Asks for the claim again, now that its holder had time to end.
    pub fn recheck(mut self) -> RequestLife<Claiming> {
        let attempt = self.record.next_attempt();
        let other = self.state.other;
        RequestLife {
            state: Claiming {
                holder: ClaimHolder {
                    attempt,
                    target: other.target,
                },
                check: HolderCheck::Waited(other.attempt),
            },
            record: self.record,
        }
    }

    /// Ends the request while another attempt holds its key.
    pub fn finish(self) -> RequestResult {
        RequestResult::Unknown(UnknownReason::StillRunning)
    }
}

/// What follows from the end of an attempt.
#[derive(Clone, Debug)]
pub enum RunningStep {
    /// The request has its answer.
    Answered(RequestAttempt, HttpAnswer),
    /// Another attempt is open.
    Running(RequestLife<Running>),
    /// It may be sent again.
    Waiting(RequestLife<Waiting>),
    /// The agent of a lost attempt is to be asked.
    Resolving(RequestLife<Resolving>),
    /// The outcome cannot be known.
    Unknown(UnknownReason),
}

impl RequestLife<Running> {
    /// Attempts without a reply.
    pub fn open(&self) -> &[ClaimHolder] {
        &self.state.open
    }

    /// Adds a second attempt beside the first; only for idempotent requests.
    pub fn hedge(&mut self, target: DispatchTarget) -> Option<ClaimHolder> {
        if !self.record.request.is_safe_to_repeat() {
            return None;
        }
        let attempt = self.record.next_attempt();
        let holder = ClaimHolder { attempt, target };
        self.state.open.push(holder.clone());
        Some(holder)
    }

    /// Takes the end of one of its attempts.
    pub fn end(mut self, attempt: RequestAttempt, end: AttemptOutcome) -> RunningStep {
        let Some(index) = self.position(attempt) else {
            return RunningStep::Running(self);
        };
        let holder = self.state.open.swap_remove(index);
        match end {
            AttemptOutcome::Answered(answer) => RunningStep::Answered(attempt, answer),
            AttemptOutcome::NotRun(proof) => self.refused(&holder, proof),
            AttemptOutcome::Unknown(reason) => self.unknown(&holder, reason),
            AttemptOutcome::NoReply => self.lost(holder),
        }
    }

    fn position(&self, attempt: RequestAttempt) -> Option<usize> {
        let same = |holder: &ClaimHolder| holder.attempt == attempt;
        self.state.open.iter().position(same)
    }

    fn refused(mut self, holder: &ClaimHolder, proof: NotRunProof) -> RunningStep {
        self.record.avoid.push(holder.target.endpoint.clone());
        if self.record.request.claim.is_some() {
            self.record.replaces = Some(holder.attempt);
            if proof.reason() == Some(RefusalReason::Revoked) {
                // Whoever revoked it goes on with the key.
                self.record.contested = true;
            }
        }
        self.without_attempt()
    }

    fn unknown(mut self, holder: &ClaimHolder, reason: UnknownReason) -> RunningStep {
        if !self.record.request.is_safe_to_repeat() {
            return RunningStep::Unknown(reason);
        }
        self.record.avoid.push(holder.target.endpoint.clone());
        self.record.unproven = Some(reason);
        self.without_attempt()
    }

    fn lost(self, holder: ClaimHolder) -> RunningStep {
        if self.record.request.is_safe_to_repeat() {
            return self.unknown(&holder, UnknownReason::AgentTimeout);
        }
        RunningStep::Resolving(RequestLife {
            record: self.record,
            state: Resolving { holder },
        })
    }

    fn without_attempt(self) -> RunningStep {
        if !self.state.open.is_empty() {
            return RunningStep::Running(self);
        }
        RunningStep::Waiting(RequestLife {
            record: self.record,
            state: Waiting,
        })
    }

    /// Ends the request while an attempt is open.
    pub fn finish(self) -> RequestResult {
        RequestResult::Unknown(UnknownReason::AgentTimeout)
    }
}

/// What follows from the end of a revocation.
#[derive(Clone, Debug)]
pub enum ResolvingStep {
    /// The attempt ran, and this is its answer.
    Answered(RequestAttempt, HttpAnswer),
    /// The attempt is proven not to have run.
    Waiting(RequestLife<Waiting>),
    /// The claim is asked for once more: it may be settled by now.
    Claiming(RequestLife<Claiming>),
    /// The outcome cannot be known.
    Unknown(UnknownReason),
}

impl RequestLife<Resolving> {
    /// The attempt that is asked about.
    pub fn holder(&self) -> &ClaimHolder {
        &self.state.holder
    }

    /// Takes the end of the revocation.
    pub fn end(mut self, end: AttemptOutcome) -> ResolvingStep {
        let attempt = self.state.holder.attempt;
        match end {
            AttemptOutcome::Answered(answer) => ResolvingStep::Answered(attempt, answer),
            AttemptOutcome::NotRun(_) => {
                if self.record.request.claim.is_some() {
                    self.record.replaces = Some(attempt);
                    self.record.contested = false;
                }
                ResolvingStep::Waiting(RequestLife {
                    record: self.record,
                    state: Waiting,
                })
            }
            AttemptOutcome::Unknown(reason) => self.unresolved(reason),
            AttemptOutcome::NoReply => self.unresolved(UnknownReason::AgentTimeout),
        }
    }

    fn unresolved(mut self, reason: UnknownReason) -> ResolvingStep {
        let other = self.state.holder;
        if other.attempt.request == self.record.request.id {
            return ResolvingStep::Unknown(reason);
        }
        let attempt = self.record.next_attempt();
        ResolvingStep::Claiming(RequestLife {
            record: self.record,
            state: Claiming {
                holder: ClaimHolder {
                    attempt,
                    target: other.target,
                },
                check: HolderCheck::Unresolved(other.attempt, reason),
            },
        })
    }

    /// Ends the request while the outcome of the attempt is not known.
    pub fn finish(self) -> RequestResult {
        RequestResult::Unknown(UnknownReason::StillRunning)
    }
}
