//! Encodes the ledger in snapshots, with the copies of runs in a form of their own.
//!
//! Without copies a snapshot has the format of commit b041a08. With copies it begins with a marker
//! that no integer of that format begins with, so that an earlier process refuses the snapshot
//! instead of losing the copies, which it would if they only followed the other fields.

use bincode::error::DecodeError;
use indexmap::IndexMap;

use super::record::CopyRecord;
use super::JobLedger;
use crate::identity::TaskKey;

/// First byte of a snapshot with copies; reserved in bincode's encoding of integers.
const COPIES_MARKER: u8 = 0xff;
/// Format of the copies, the second byte of a snapshot with copies.
const COPIES_FORMAT: u8 = 1;

impl JobLedger {
    pub(super) fn encode(&self) -> Vec<u8> {
        let config = bincode::config::standard();
        let records = bincode::serde::encode_to_vec(self, config);
        let records = records.expect("the ledger encodes without failing");
        if self.copies.is_empty() {
            return records;
        }
        let copies = bincode::serde::encode_to_vec(&self.copies, config);
        let copies = copies.expect("the copies encode without failing");
        [&[COPIES_MARKER, COPIES_FORMAT][..], &copies, &records].concat()
    }

    /// Decodes a ledger without its indexes.
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let config = bincode::config::standard();
        let [COPIES_MARKER, format, rest @ ..] = bytes else {
            return Ok(bincode::serde::decode_from_slice(bytes, config)?.0);
        };
        if *format != COPIES_FORMAT {
            return Err(DecodeError::Other("unknown format of the copies"));
        }
        let copies = bincode::serde::decode_from_slice(rest, config)?;
        let (copies, used): (IndexMap<TaskKey, CopyRecord>, usize) = copies;
        let (mut ledger, _): (Self, usize) =
            bincode::serde::decode_from_slice(&rest[used..], config)?;
        ledger.copies = copies;
        Ok(ledger)
    }
}
