//! Defines remote calls, their kinds and the header of the frames that carry them.

use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;

use guavavane_model::prelude::CellId;
use guavavane_model::prelude::IncarnationId;

/// Protocol version of the messages of this crate; each incompatible change increments it.
pub const PROTOCOL_VERSION: u16 = 1;

/// Maximum size of a message in a frame, without the header, in bytes.
pub const FRAME_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Kind of a call, which selects its message and reply types.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CallKind {
    /// An entry dispatches a request to an agent.
    Dispatch,
    /// An entry asks an agent for the answer of a request, or to refuse it permanently.
    Revoke,
    /// An agent announces its endpoints to an entry.
    Announce,
    /// An agent polls the control leader.
    WorkerPoll,
    /// An entry polls a control replica.
    EntryPoll,
    /// An entry changes the claim of an idempotency key.
    Claim,
    /// An entry forwards a command of an operator.
    Operate,
    /// A control replica sends a message to another.
    Replica,
    /// A control replica without data asks to join the group.
    Join,
}

/// Request message of a remote call.
pub trait RemoteCall: Serialize + DeserializeOwned + Send + 'static {
    /// Message with which the callee replies.
    type Reply: Serialize + DeserializeOwned + Send + 'static;

    /// Kind that the frames of the call and of its reply carry.
    const KIND: CallKind;
}

/// Header that precedes each message on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrameHeader {
    /// Protocol version of the sender; must equal [`PROTOCOL_VERSION`].
    pub version: u16,
    /// Cell of the sender; must equal the cell of the receiver.
    pub cell: CellId,
    /// Incarnation of the sending process.
    pub sender: IncarnationId,
    /// Kind of the call.
    pub kind: CallKind,
    /// Length of the message that follows, in bytes.
    pub body_bytes: u32,
}
