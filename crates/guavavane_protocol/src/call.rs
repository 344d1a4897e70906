//! Calls, their kinds and the frame that carries them.

use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;

use guavavane_model::prelude::CellId;
use guavavane_model::prelude::IncarnationId;

/// Version of the messages of this crate; raised with each incompatible change.
pub const PROTOCOL_VERSION: u16 = 1;

/// Largest frame body, in bytes.
pub const FRAME_MAX_BYTES: usize = 4 * 1024 * 1024;

/// What a frame asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CallKind {
    /// An entry sends a request to an agent.
    Dispatch,
    /// An entry asks an agent to refuse a request for good, or for its answer.
    Revoke,
    /// An agent tells an entry of its endpoints.
    Announce,
    /// An agent polls the control leader.
    WorkerPoll,
    /// An entry polls a control replica.
    EntryPoll,
    /// An entry claims an idempotency key.
    Claim,
    /// An operator's command.
    Operate,
    /// A message between control replicas.
    Replica,
    /// A replica with an empty folder asks to join.
    Join,
}

/// A message that starts a call.
pub trait RemoteCall: Serialize + DeserializeOwned + Send + 'static {
    /// What the callee answers.
    type Reply: Serialize + DeserializeOwned + Send + 'static;

    /// The kind that the frame carries.
    const KIND: CallKind;
}

/// What precedes each message on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrameHeader {
    /// Must equal [`PROTOCOL_VERSION`].
    pub version: u16,
    /// Cell that the sender belongs to.
    pub cell: CellId,
    /// Run of the sending process.
    pub sender: IncarnationId,
    /// What the frame asks for.
    pub kind: CallKind,
    /// Length of the message that follows, in bytes.
    pub body_bytes: u32,
}
