//! Encodes and decodes frames: a fixed-length header followed by a message body, both in bincode.
//!
//! Header integers have a fixed width, so that every header has [`HEADER_BYTES`] bytes. Body
//! integers have a variable width, and a body has at most [`FRAME_MAX_BYTES`] bytes.

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
pub use guavavane_protocol::call::FRAME_MAX_BYTES;
use guavavane_protocol::call::PROTOCOL_VERSION;

/// Length of an encoded [`FrameHeader`], in bytes.
pub const HEADER_BYTES: usize = 20;

const HEADER_CONFIG: Configuration<LittleEndian, Fixint> =
    bincode::config::standard().with_fixed_int_encoding();

const BODY_CONFIG: Configuration<LittleEndian, bincode::config::Varint, Limit<FRAME_MAX_BYTES>> =
    bincode::config::standard().with_limit::<FRAME_MAX_BYTES>();

/// Error in encoding or decoding a frame or message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CodecError {
    /// The message is larger than [`FRAME_MAX_BYTES`]; holds its size in bytes.
    #[error("frame has {0} bytes; the limit is {FRAME_MAX_BYTES} bytes")]
    Oversized(usize),
    /// The body is shorter or longer than declared.
    #[error("frame body has {actual} bytes but {declared} are declared")]
    Length {
        /// Body length that the header declares, or length of the decoded message, in bytes.
        declared: usize,
        /// Length of the received body, in bytes.
        actual: usize,
    },
    /// The sender uses another protocol version.
    #[error("frame has protocol version {0}; this process has {PROTOCOL_VERSION}")]
    Version(u16),
    /// The sender belongs to another cell.
    #[error("frame is from another cell: {0}")]
    Cell(CellId),
    /// The bytes are not a valid encoding of the expected type.
    #[error("malformed message: {0}")]
    Malformed(String),
}

/// Header fields that identify this process as the sender of a frame.
///
/// Incoming frames must name the same cell; their incarnation is that of their sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameIdentity {
    /// Cell of this process.
    pub cell: CellId,
    /// Incarnation of this process.
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

/// Decodes a message; bytes left over after it are an error.
pub fn decode_message<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, CodecError> {
    let (message, decoded_bytes) = bincode::serde::decode_from_slice(bytes, BODY_CONFIG)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    if decoded_bytes != bytes.len() {
        return Err(CodecError::Length {
            declared: decoded_bytes,
            actual: bytes.len(),
        });
    }
    Ok(message)
}

/// Builds a frame from an encoded message and a header of this process.
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
        body_bytes: u32::try_from(message.len()).expect("FRAME_MAX_BYTES fits in 32 bits"),
    };
    let mut frame = bincode::serde::encode_to_vec(header, HEADER_CONFIG)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    debug_assert_eq!(frame.len(), HEADER_BYTES);
    frame.extend_from_slice(message);
    Ok(frame)
}

/// A frame whose version, cell and body length are valid; its message is not decoded yet.
#[derive(Debug)]
pub struct CheckedFrame {
    /// Incarnation of the sending process.
    pub sender: IncarnationId,
    /// Kind of call that the frame starts or answers.
    pub kind: CallKind,
    /// Encoded message; see [`decode_message`].
    pub message: Vec<u8>,
}

/// Validates the protocol version, cell and body length of a frame.
pub fn check_frame(identity: FrameIdentity, frame: &[u8]) -> Result<CheckedFrame, CodecError> {
    let (header, header_bytes): (FrameHeader, usize) =
        bincode::serde::decode_from_slice(frame, HEADER_CONFIG)
            .map_err(|error| CodecError::Malformed(error.to_string()))?;
    if header.version != PROTOCOL_VERSION {
        return Err(CodecError::Version(header.version));
    }
    if header.cell != identity.cell {
        return Err(CodecError::Cell(header.cell));
    }
    let message = &frame[header_bytes..];
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
