//! Work on claims that goes on after the caller has its result.

use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::RequestId;
use guavavane_protocol::prelude::ClaimRequest;

/// What a reply to a claim belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimTag {
    /// A request that waits for it.
    Request(RequestId),
    /// A job that settles or releases a claim.
    Job(u64),
}

/// Settles or releases a claim; tried again until it is committed or the limit is reached.
#[derive(Clone, Debug)]
pub struct ClaimJob {
    /// The change.
    pub call: ClaimRequest,
    /// When it is given up.
    pub give_up_at: BootTime,
}
