//! Checksummed frames, and how damage is told from a torn write.
//!
//! A frame starts and ends with a byte that is not zero and carries separate checksums of its
//! head and its body. Both are salted with the file's number and the frame's offset, so that
//! bytes of another place never pass for a frame. A sector that a crash left unwritten reads
//! as zeros or lies beyond the end of the file; anything else that fails a checksum is damage.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// First byte of a frame.
const FRAME_START: u8 = 0xC3;
/// Last byte of a frame.
const FRAME_END: u8 = 0x3C;
/// Start byte, length, checksum of the head, checksum of the body.
const HEAD_BYTES: usize = 1 + 4 + 4 + 4;
/// Unit in which a disk writes at once.
const SECTOR_BYTES: usize = 512;

/// What stands at an offset of a file.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum FrameRead<'a> {
    /// A whole frame.
    Whole { body: &'a [u8], next: usize },
    /// Nothing, or only zeros.
    End,
    /// A frame whose writing a crash cut short.
    Torn,
    /// Bytes that were never written like this.
    Damaged,
}

/// Encodes one value as the frame at `offset` of file number `file`.
pub(super) fn encode_frame<T: Serialize>(value: &T, file: u64, offset: u64) -> Vec<u8> {
    let config = bincode::config::standard();
    let body =
        bincode::serde::encode_to_vec(value, config).expect("stored types encode without failing");
    let length = u32::try_from(body.len()).expect("a frame is smaller than 4 GiB");
    let head_checksum = head_checksum(length, file, offset);
    let mut frame = Vec::with_capacity(HEAD_BYTES + body.len() + 1);
    frame.push(FRAME_START);
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&head_checksum.to_le_bytes());
    frame.extend_from_slice(&body_checksum(head_checksum, &body).to_le_bytes());
    frame.extend_from_slice(&body);
    frame.push(FRAME_END);
    frame
}

/// Decodes the body of a frame; `None` if it is of another type.
pub(super) fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let config = bincode::config::standard();
    let (value, used) = bincode::serde::decode_from_slice(body, config).ok()?;
    (used == body.len()).then_some(value)
}

/// Reads what stands at `offset` of the bytes of file number `file`.
pub(super) fn read_frame(bytes: &[u8], file: u64, offset: usize) -> FrameRead<'_> {
    let rest = &bytes[offset..];
    if rest.iter().all(|b| *b == 0) {
        return FrameRead::End;
    }
    if rest.len() < HEAD_BYTES {
        return FrameRead::Torn;
    }
    let Some(length) = read_head(rest, file, offset) else {
        // The zeros behind the last frame were never meant to be more.
        let written = rest
            .iter()
            .rposition(|b| *b != 0)
            .map_or(0, |last| last + 1);
        let end = offset + written.max(HEAD_BYTES);
        return classify_damage(bytes, file, offset, end);
    };
    let next = offset + HEAD_BYTES + length + 1;
    if next > bytes.len() {
        return FrameRead::Torn;
    }
    let body = &bytes[offset + HEAD_BYTES..next - 1];
    let checksum = body_checksum(read_u32(rest, 5), body);
    if checksum != read_u32(rest, 9) || bytes[next - 1] != FRAME_END {
        return classify_damage(bytes, file, offset, next);
    }
    FrameRead::Whole { body, next }
}

fn read_head(rest: &[u8], file: u64, offset: usize) -> Option<usize> {
    if rest.len() < HEAD_BYTES || rest[0] != FRAME_START {
        return None;
    }
    let length = read_u32(rest, 1);
    let valid = read_u32(rest, 5) == head_checksum(length, file, offset as u64);
    valid.then_some(length as usize)
}

/// Torn if a sector of `start..end` was not written and no frame follows.
fn classify_damage(bytes: &[u8], file: u64, start: usize, end: usize) -> FrameRead<'static> {
    let follows = (start + 1..bytes.len()).any(|at| read_head(&bytes[at..], file, at).is_some());
    if !follows && has_blank_sector(bytes, start, end) {
        return FrameRead::Torn;
    }
    FrameRead::Damaged
}

fn has_blank_sector(bytes: &[u8], start: usize, end: usize) -> bool {
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

fn head_checksum(length: u32, file: u64, offset: u64) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&file.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.finalize()
}

fn body_checksum(head_checksum: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(head_checksum);
    hasher.update(body);
    hasher.finalize()
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(word)
}
