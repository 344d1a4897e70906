//! Checksummed frames, which distinguish a torn write from corruption.
//!
//! A frame is a header, a body and an end byte. Its first and last byte are not zero, and header
//! and body have separate CRC-32 checksums. Both depend on the number of the file and the offset
//! of the frame, so that bytes copied from another place are not accepted as a frame. The number
//! of a segment file is the segment's, that of a snapshot file its index, that of the identity
//! file 0. A sector that a crash left unwritten reads as zeros or lies beyond the end of the file;
//! anything else that fails a checksum is corruption.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// First byte of a frame.
const FRAME_START: u8 = 0xC3;
/// Last byte of a frame.
const FRAME_END: u8 = 0x3C;
/// Size of start byte, body length, header checksum and body checksum.
const HEADER_BYTES: usize = 1 + 4 + 4 + 4;
/// Unit that a disk writes as a whole, in bytes.
const SECTOR_BYTES: usize = 512;

/// Result of reading a frame at an offset.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum FrameRead<'a> {
    /// A complete frame; `next` is the offset after it.
    Complete { body: &'a [u8], next: usize },
    /// End of the log: the rest of the file is empty or all zeros.
    End,
    /// A frame that a crash left partly written.
    Torn,
    /// Bytes that neither a complete nor a torn write explains.
    Corrupt,
}

/// Encodes one value as the frame at `offset` of file number `file`.
pub(super) fn encode_frame<T: Serialize>(value: &T, file: u64, offset: u64) -> Vec<u8> {
    let config = bincode::config::standard();
    let body =
        bincode::serde::encode_to_vec(value, config).expect("stored types encode without failing");
    let length = u32::try_from(body.len()).expect("a frame is smaller than 4 GiB");
    let header_checksum = header_checksum(length, file, offset);
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len() + 1);
    frame.push(FRAME_START);
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&header_checksum.to_le_bytes());
    frame.extend_from_slice(&body_checksum(header_checksum, &body).to_le_bytes());
    frame.extend_from_slice(&body);
    frame.push(FRAME_END);
    frame
}

/// Decodes the body of a frame; `None` unless the whole body is a value of type `T`.
pub(super) fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let config = bincode::config::standard();
    let (value, used) = bincode::serde::decode_from_slice(body, config).ok()?;
    (used == body.len()).then_some(value)
}

/// Reads the frame at `offset` in `bytes`, the contents of file number `file`.
pub(super) fn read_frame(bytes: &[u8], file: u64, offset: usize) -> FrameRead<'_> {
    let rest = &bytes[offset..];
    if rest.iter().all(|b| *b == 0) {
        return FrameRead::End;
    }
    if rest.len() < HEADER_BYTES {
        return FrameRead::Torn;
    }
    let Some(length) = read_header(rest, file, offset) else {
        // Zeros after the last nonzero byte are reserved space, not an unwritten part of the frame.
        let written = rest
            .iter()
            .rposition(|b| *b != 0)
            .map_or(0, |last| last + 1);
        let end = offset + written.max(HEADER_BYTES);
        return classify_invalid(bytes, file, offset, end);
    };
    let next = offset + HEADER_BYTES + length + 1;
    if next > bytes.len() {
        return FrameRead::Torn;
    }
    let body = &bytes[offset + HEADER_BYTES..next - 1];
    let checksum = body_checksum(read_u32(rest, 5), body);
    if checksum != read_u32(rest, 9) || bytes[next - 1] != FRAME_END {
        return classify_invalid(bytes, file, offset, next);
    }
    FrameRead::Complete { body, next }
}

fn read_header(rest: &[u8], file: u64, offset: usize) -> Option<usize> {
    if rest.len() < HEADER_BYTES || rest[0] != FRAME_START {
        return None;
    }
    let length = read_u32(rest, 1);
    let valid = read_u32(rest, 5) == header_checksum(length, file, offset as u64);
    valid.then_some(length as usize)
}

/// Classifies an invalid frame at `start..end`.
///
/// The frame is torn if one of its sectors was not written and no other frame follows.
fn classify_invalid(bytes: &[u8], file: u64, start: usize, end: usize) -> FrameRead<'static> {
    let frame_follows =
        (start + 1..bytes.len()).any(|at| read_header(&bytes[at..], file, at).is_some());
    if !frame_follows && has_unwritten_sector(bytes, start, end) {
        return FrameRead::Torn;
    }
    FrameRead::Corrupt
}

fn has_unwritten_sector(bytes: &[u8], start: usize, end: usize) -> bool {
    let mut at = start;
    while at < end {
        let sector_end = (at / SECTOR_BYTES + 1) * SECTOR_BYTES;
        let until = sector_end.min(end);
        if bytes[at..until].iter().all(|b| *b == 0) {
            return true;
        }
        at = until;
    }
    false
}

fn header_checksum(length: u32, file: u64, offset: u64) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&file.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.finalize()
}

fn body_checksum(header_checksum: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(header_checksum);
    hasher.update(body);
    hasher.finalize()
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(word)
}
