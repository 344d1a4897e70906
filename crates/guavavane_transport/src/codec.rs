//! Frames: a fixed header, then a message, both bincode with a size limit.

use bincode::config::Configuration;
use bincode::config::Fixint;
use bincode::config::Limit;
use bincode::config::LittleEndian;
use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

use guavavane_model::prelude::CellId;
use guavavane_model::prelude::IncarnationId;
use guavavane_protocol::call::CallKind;
use guavavane_protocol::call::FrameHeader;
use guavavane_protocol::call::FRAME_MAX_BYTES;
use guavavane_protocol::call::PROTOCOL_VERSION;

/// Length of an encoded [`FrameHeader`], in bytes.
pub const HEADER_BYTES: usize = 20;

const HEADER_CONFIG: Configuration<LittleEndian, Fixint> =
    bincode::config::standard().with_fixed_int_encoding();

const BODY_CONFIG: Configuration<LittleEndian, bincode::config::Varint, Limit<FRAME_MAX_BYTES>> =
    bincode::config::standard().with_limit::<FRAME_MAX_BYTES>();

/// Why a frame was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CodecError {
    /// The frame is larger than [`FRAME_MAX_BYTES`].
    #[error("frame of {0} bytes is over the limit of {FRAME_MAX_BYTES}")]
    Oversized(usize),
    /// The frame is shorter or longer than its header says.
    #[error("frame has {actual} body bytes, its header says {declared}")]
    Length {
        /// What the header says.
        declared: usize,
        /// What arrived.
        actual: usize,
    },
    /// The sender speaks another version.
    #[error("frame has protocol version {0}, this process has {PROTOCOL_VERSION}")]
    Version(u16),
    /// The sender belongs to another cell.
    #[error("frame is from cell {0}")]
    Cell(CellId),
    /// The bytes are not a message of this kind.
    #[error("malformed message: {0}")]
    Malformed(String),
}

/// What a process puts into the header of its frames and expects of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameIdentity {
    /// Cell of this process.
    pub cell: CellId,
    /// Run of this process.
    pub incarnation: IncarnationId,
}

/// Encodes a message without a header.
pub fn encode_message<M: Serialize>(message: &M) -> Result<Vec<u8>, CodecError> {
    let bytes = bincode::serde::encode_to_vec(message, BODY_CONFIG)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    if bytes.len() > FRAME_MAX_BYTES {
        return Err(CodecError::Oversized(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a message that must fill `bytes`.
pub fn decode_message<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, CodecError> {
    let (message, used) = bincode::serde::decode_from_slice(bytes, BODY_CONFIG)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    if used != bytes.len() {
        return Err(CodecError::Length {
            declared: used,
            actual: bytes.len(),
        });
    }
    Ok(message)
}

/// Puts a header before an encoded message.
pub fn frame_message(
    identity: FrameIdentity,
    kind: CallKind,
    message: &[u8],
) -> Result<Vec<u8>, CodecError> {
    if message.len() > FRAME_MAX_BYTES {
        return Err(CodecError::Oversized(message.len()));
    }
    let header = FrameHeader {
        version: PROTOCOL_VERSION,
        cell: identity.cell,
        sender: identity.incarnation,
        kind,
        body_bytes: u32::try_from(message.len()).expect("the limit of a frame fits 32 bits"),
    };
    let mut frame = bincode::serde::encode_to_vec(header, HEADER_CONFIG)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    debug_assert_eq!(frame.len(), HEADER_BYTES);
    frame.extend_from_slice(message);
    Ok(frame)
}

/// A frame that passed the checks of its header.
#[derive(Debug)]
pub struct CheckedFrame {
    /// Run of the sending process.
    pub sender: IncarnationId,
    /// What the frame asks for.
    pub kind: CallKind,
    /// The encoded message.
    pub message: Vec<u8>,
}

/// Checks version, cell and length of a frame.
pub fn check_frame(identity: FrameIdentity, frame: &[u8]) -> Result<CheckedFrame, CodecError> {
    let (header, used): (FrameHeader, usize) =
        bincode::serde::decode_from_slice(frame, HEADER_CONFIG)
            .map_err(|error| CodecError::Malformed(error.to_string()))?;
    if header.version != PROTOCOL_VERSION {
        return Err(CodecError::Version(header.version));
    }
    if header.cell != identity.cell {
        return Err(CodecError::Cell(header.cell));
    }
    let message = &frame[used..];
    let declared = header.body_bytes as usize;
    if message.len() != declared {
        return Err(CodecError::Length {
            declared,
            actual: message.len(),
        });
    }
    Ok(CheckedFrame {
        sender: header.sender,
        kind: header.kind,
        message: message.to_vec(),
    })
}
