//! Updates of claims that continue after the caller has its result.

use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::RequestId;
use guavavane_protocol::prelude::ClaimRequest;

/// Identifies what waits for the reply to a claim call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimTag {
    /// The request that is claiming its idempotency key.
    Request(RequestId),
    /// The claim update with this number.
    Update(u64),
}

/// Settlement or release of a claim, sent again until control confirms it or it expires.
#[derive(Clone, Debug)]
pub struct ClaimUpdate {
    /// The claim call to send.
    pub call: ClaimRequest,
    /// Time after which the update is given up.
    pub expires_at: BootTime,
}
