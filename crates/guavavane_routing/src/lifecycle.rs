//! Lifecycle of one request as a state machine whose states are types.
//!
//! A [`Waiting`] request has no open attempt, and all its earlier attempts are proven not to have
//! run unless the request is idempotent. Only a waiting request can be placed, that is, assigned
//! an endpoint. A keyed request passes through [`Claiming`]. If another request's attempt holds
//! the claim, it waits in [`Blocked`] and claims again; if the same attempt still holds the claim,
//! it asks the agent of that attempt in [`Resolving`]. A [`Running`] request returns to waiting
//! only with a proof or because it is idempotent. Otherwise it asks the agent in [`Resolving`] if
//! it got no reply; without a proof or an answer, its result is unknown.

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
use guavavane_protocol::prelude::HttpResponse;
use guavavane_protocol::prelude::RefusalReason;
use guavavane_protocol::prelude::RequestAttempt;
use guavavane_protocol::prelude::UnknownReason;

/// Data of a request that all its states share.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// The request of the caller.
    pub request: Arc<CallerRequest>,
    /// Number of attempts so far; the next attempt takes the next number.
    pub attempts: u16,
    /// Endpoints that refused the request or failed.
    pub excluded: Vec<EndpointName>,
    /// Why it is unknown whether an earlier attempt of an idempotent request ran.
    unproven_reason: Option<UnknownReason>,
    /// Whether another request with the same key may have run.
    key_contested: bool,
    /// Attempt that holds the claim and is proven not to have run.
    not_run_holder: Option<RequestAttempt>,
    /// Number of times that the claim was found held.
    claim_conflicts: u16,
}

impl RequestContext {
    fn next_attempt(&mut self) -> RequestAttempt {
        self.attempts = self.attempts.saturating_add(1);
        RequestAttempt {
            request: self.request.id,
            attempt: self.attempts,
        }
    }

    /// Returns the result of a request that ends without an answer and without an open attempt.
    fn result_without_answer(&self, reason: NotRunReason) -> RequestResult {
        match self.unproven_reason {
            Some(unknown) => RequestResult::Unknown(unknown),
            None if self.key_contested => RequestResult::Unknown(UnknownReason::StillRunning),
            None => RequestResult::NotRun(reason),
        }
    }

    /// Returns the attempt that holds the claim but did not run, so that the claim can be
    /// released.
    pub fn holder_to_release(&self) -> Option<RequestAttempt> {
        self.not_run_holder
    }
}

/// A request in state `S`.
#[derive(Clone, Debug)]
pub struct RequestLifecycle<S> {
    /// Data that all states share.
    pub context: RequestContext,
    state: S,
}

/// State without an open attempt.
#[derive(Clone, Copy, Debug)]
pub struct Waiting;

/// What is known of the attempt that held the claim earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EarlierHolder {
    /// No other holder has been seen.
    NotSeen,
    /// This attempt held the claim before the backoff.
    HeldBeforeBackoff(RequestAttempt),
    /// This attempt held the claim, and its revocation did not show whether it ran.
    Unresolved(RequestAttempt, UnknownReason),
}

/// State in which the claim has been requested from control.
#[derive(Clone, Debug)]
pub struct Claiming {
    holder: ClaimHolder,
    earlier_holder: EarlierHolder,
}

/// State in which another attempt holds the claim and is given time to finish.
#[derive(Clone, Debug)]
pub struct Blocked {
    other: ClaimHolder,
}

/// State with at least one open attempt, that is, an attempt without a reply.
#[derive(Clone, Debug)]
pub struct Running {
    open_attempts: Vec<ClaimHolder>,
}

/// State in which an agent is asked to revoke an attempt or to return its answer.
#[derive(Clone, Debug)]
pub struct Resolving {
    holder: ClaimHolder,
}

/// A waiting request that was assigned an endpoint.
#[derive(Clone, Debug)]
pub enum PlacedRequest {
    /// The request has no key and can be dispatched.
    Running(RequestLifecycle<Running>),
    /// The request has a key, which must be claimed first.
    Claiming(RequestLifecycle<Claiming>),
}

impl RequestLifecycle<Waiting> {
    /// Creates the lifecycle of a new request.
    pub fn new(request: Arc<CallerRequest>) -> Self {
        Self {
            context: RequestContext {
                request,
                attempts: 0,
                excluded: Vec::new(),
                unproven_reason: None,
                key_contested: false,
                not_run_holder: None,
                claim_conflicts: 0,
            },
            state: Waiting,
        }
    }

    /// Assigns an endpoint to the request.
    pub fn place(mut self, target: DispatchTarget) -> (PlacedRequest, ClaimHolder) {
        let attempt = self.context.next_attempt();
        let holder = ClaimHolder { attempt, target };
        let context = self.context;
        let lifecycle = if context.request.claim.is_some() {
            PlacedRequest::Claiming(RequestLifecycle {
                context,
                state: Claiming {
                    holder: holder.clone(),
                    earlier_holder: EarlierHolder::NotSeen,
                },
            })
        } else {
            PlacedRequest::Running(RequestLifecycle {
                context,
                state: Running {
                    open_attempts: vec![holder.clone()],
                },
            })
        };
        (lifecycle, holder)
    }

    /// Ends the request without an answer.
    pub fn finish(self, reason: NotRunReason) -> RequestResult {
        self.context.result_without_answer(reason)
    }
}

/// Transition after a claim was found held.
#[derive(Clone, Debug)]
pub enum ClaimConflictTransition {
    /// An undispatched attempt of the same request holds the claim: claim again.
    Waiting(RequestLifecycle<Waiting>),
    /// Another request holds the claim: wait for it to finish.
    Blocked(RequestLifecycle<Blocked>),
    /// The same attempt still holds the claim: ask its agent.
    Resolving(RequestLifecycle<Resolving>),
    /// The request ends with this result.
    Finished(RequestResult),
}

impl RequestLifecycle<Claiming> {
    /// Returns the attempt that the claim is requested for.
    pub fn holder(&self) -> &ClaimHolder {
        &self.state.holder
    }

    /// Returns the change to request from control.
    pub fn change(&self) -> ClaimChange {
        let next = self.state.holder.clone();
        match self.context.not_run_holder {
            Some(not_run) => ClaimChange::Replace { not_run, next },
            None => ClaimChange::Acquire(next),
        }
    }

    /// Enters [`Running`]: the claim is committed and the attempt may be dispatched.
    pub fn mark_granted(mut self) -> RequestLifecycle<Running> {
        self.context.not_run_holder = None;
        self.context.key_contested = false;
        RequestLifecycle {
            context: self.context,
            state: Running {
                open_attempts: vec![self.state.holder],
            },
        }
    }

    /// Returns to [`Waiting`]: the claim is committed, but its attempt is not dispatched. The
    /// next claim replaces the attempt.
    pub fn mark_unsent(mut self) -> RequestLifecycle<Waiting> {
        self.context.key_contested = false;
        self.context.not_run_holder = Some(self.state.holder.attempt);
        RequestLifecycle {
            context: self.context,
            state: Waiting,
        }
    }

    /// Handles a claim that `other` holds. After more than `claim_conflicts_max` conflicts the
    /// request ends.
    pub fn handle_conflict(
        mut self,
        other: ClaimHolder,
        claim_conflicts_max: u16,
    ) -> ClaimConflictTransition {
        self.context.claim_conflicts += 1;
        let is_own = other.attempt.request == self.context.request.id;
        if !is_own {
            self.context.key_contested = true;
            self.context.not_run_holder = None;
        }
        if self.context.claim_conflicts > claim_conflicts_max {
            return ClaimConflictTransition::Finished(
                self.context
                    .result_without_answer(NotRunReason::ControlUnavailable),
            );
        }
        if is_own {
            // A keyed request has no open attempt while it claims, so its own attempt has not
            // run.
            self.context.not_run_holder = Some(other.attempt);
            return ClaimConflictTransition::Waiting(RequestLifecycle {
                context: self.context,
                state: Waiting,
            });
        }
        match self.state.earlier_holder {
            EarlierHolder::HeldBeforeBackoff(attempt) if attempt == other.attempt => {
                ClaimConflictTransition::Resolving(RequestLifecycle {
                    context: self.context,
                    state: Resolving { holder: other },
                })
            }
            EarlierHolder::Unresolved(attempt, reason) if attempt == other.attempt => {
                ClaimConflictTransition::Finished(RequestResult::Unknown(reason))
            }
            _ => ClaimConflictTransition::Blocked(RequestLifecycle {
                context: self.context,
                state: Blocked { other },
            }),
        }
    }

    /// Ends the request without a claim; no attempt was dispatched under it.
    pub fn finish(self, reason: NotRunReason) -> RequestResult {
        match self.state.earlier_holder {
            EarlierHolder::Unresolved(_, unknown) => RequestResult::Unknown(unknown),
            _ => self.context.result_without_answer(reason),
        }
    }
}

impl RequestLifecycle<Blocked> {
    /// Requests the claim again, now that its holder has had time to finish. The new attempt is
    /// for the endpoint of that holder.
    pub fn retry_claim(mut self) -> RequestLifecycle<Claiming> {
        let attempt = self.context.next_attempt();
        let other = self.state.other;
        RequestLifecycle {
            state: Claiming {
                holder: ClaimHolder {
                    attempt,
                    target: other.target,
                },
                earlier_holder: EarlierHolder::HeldBeforeBackoff(other.attempt),
            },
            context: self.context,
        }
    }

    /// Ends the request while another attempt holds its key.
    pub fn finish(self) -> RequestResult {
        RequestResult::Unknown(UnknownReason::StillRunning)
    }
}

/// Transition after an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptTransition {
    /// The request is answered.
    Answered(RequestAttempt, HttpResponse),
    /// Another attempt is still open.
    Running(RequestLifecycle<Running>),
    /// The request may be sent again.
    Waiting(RequestLifecycle<Waiting>),
    /// An attempt got no reply: ask its agent whether it ran.
    Resolving(RequestLifecycle<Resolving>),
    /// It cannot be known whether the request ran.
    Unknown(UnknownReason),
}

impl RequestLifecycle<Running> {
    /// Returns the attempts without a reply.
    pub fn open_attempts(&self) -> &[ClaimHolder] {
        &self.state.open_attempts
    }

    /// Adds a hedge beside the open attempt; returns `None` unless the request is safe to repeat.
    pub fn add_hedge(&mut self, target: DispatchTarget) -> Option<ClaimHolder> {
        if !self.context.request.is_safe_to_repeat() {
            return None;
        }
        let attempt = self.context.next_attempt();
        let holder = ClaimHolder { attempt, target };
        self.state.open_attempts.push(holder.clone());
        Some(holder)
    }

    /// Applies the outcome of an attempt; an attempt that is not open has no effect.
    pub fn end_attempt(
        mut self,
        attempt: RequestAttempt,
        outcome: AttemptOutcome,
    ) -> AttemptTransition {
        let Some(index) = self.find_open_attempt(attempt) else {
            return AttemptTransition::Running(self);
        };
        let holder = self.state.open_attempts.swap_remove(index);
        match outcome {
            AttemptOutcome::Answered(answer) => AttemptTransition::Answered(attempt, answer),
            AttemptOutcome::NotRun(proof) => self.end_not_run(&holder, proof),
            AttemptOutcome::Unknown(reason) => self.end_unknown(&holder, reason),
            AttemptOutcome::NoReply => self.end_without_reply(holder),
        }
    }

    fn find_open_attempt(&self, attempt: RequestAttempt) -> Option<usize> {
        let is_attempt = |holder: &ClaimHolder| holder.attempt == attempt;
        self.state.open_attempts.iter().position(is_attempt)
    }

    fn end_not_run(mut self, holder: &ClaimHolder, proof: NotRunProof) -> AttemptTransition {
        self.context.excluded.push(holder.target.endpoint.clone());
        if self.context.request.claim.is_some() {
            self.context.not_run_holder = Some(holder.attempt);
            if proof.reason() == Some(RefusalReason::Revoked) {
                // The entry that revoked the attempt continues with the key, so its request may
                // run.
                self.context.key_contested = true;
            }
        }
        self.continue_or_wait()
    }

    fn end_unknown(mut self, holder: &ClaimHolder, reason: UnknownReason) -> AttemptTransition {
        if !self.context.request.is_safe_to_repeat() {
            return AttemptTransition::Unknown(reason);
        }
        self.context.excluded.push(holder.target.endpoint.clone());
        self.context.unproven_reason = Some(reason);
        self.continue_or_wait()
    }

    fn end_without_reply(self, holder: ClaimHolder) -> AttemptTransition {
        if self.context.request.is_safe_to_repeat() {
            return self.end_unknown(&holder, UnknownReason::AgentTimeout);
        }
        AttemptTransition::Resolving(RequestLifecycle {
            context: self.context,
            state: Resolving { holder },
        })
    }

    fn continue_or_wait(self) -> AttemptTransition {
        if !self.state.open_attempts.is_empty() {
            return AttemptTransition::Running(self);
        }
        AttemptTransition::Waiting(RequestLifecycle {
            context: self.context,
            state: Waiting,
        })
    }

    /// Ends the request while an attempt is open.
    pub fn finish(self) -> RequestResult {
        RequestResult::Unknown(UnknownReason::AgentTimeout)
    }
}

/// Transition after a revocation ended.
#[derive(Clone, Debug)]
pub enum RevocationTransition {
    /// The attempt ran and gave this answer.
    Answered(RequestAttempt, HttpResponse),
    /// The attempt is proven not to have run.
    Waiting(RequestLifecycle<Waiting>),
    /// The claim is requested once more, since the other request may have settled it by now.
    Claiming(RequestLifecycle<Claiming>),
    /// It cannot be known whether the attempt ran.
    Unknown(UnknownReason),
}

impl RequestLifecycle<Resolving> {
    /// Returns the attempt that is being revoked.
    pub fn holder(&self) -> &ClaimHolder {
        &self.state.holder
    }

    /// Applies the outcome of the revocation.
    pub fn end_revocation(mut self, outcome: AttemptOutcome) -> RevocationTransition {
        let attempt = self.state.holder.attempt;
        match outcome {
            AttemptOutcome::Answered(answer) => RevocationTransition::Answered(attempt, answer),
            AttemptOutcome::NotRun(_) => {
                if self.context.request.claim.is_some() {
                    self.context.not_run_holder = Some(attempt);
                    self.context.key_contested = false;
                }
                RevocationTransition::Waiting(RequestLifecycle {
                    context: self.context,
                    state: Waiting,
                })
            }
            AttemptOutcome::Unknown(reason) => self.handle_unknown_outcome(reason),
            AttemptOutcome::NoReply => self.handle_unknown_outcome(UnknownReason::AgentTimeout),
        }
    }

    fn handle_unknown_outcome(mut self, reason: UnknownReason) -> RevocationTransition {
        let other = self.state.holder;
        if other.attempt.request == self.context.request.id {
            return RevocationTransition::Unknown(reason);
        }
        let attempt = self.context.next_attempt();
        RevocationTransition::Claiming(RequestLifecycle {
            context: self.context,
            state: Claiming {
                holder: ClaimHolder {
                    attempt,
                    target: other.target,
                },
                earlier_holder: EarlierHolder::Unresolved(other.attempt, reason),
            },
        })
    }

    /// Ends the request while it is unknown whether the attempt ran.
    pub fn finish(self) -> RequestResult {
        RequestResult::Unknown(UnknownReason::StillRunning)
    }
}
