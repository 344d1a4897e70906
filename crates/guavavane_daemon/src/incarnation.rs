//! Generates the incarnation identity of this process.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::hash::Hasher;
use std::process;

use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::IncarnationId;

/// Returns a random identity for this incarnation of the process.
///
/// The hash keys that the standard library draws from the operating system are the source of
/// randomness; process id and time also enter the hash.
pub fn random_incarnation_id() -> IncarnationId {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(process::id());
    hasher.write_u64(BootClock.now().as_micros());
    IncarnationId(hasher.finish())
}
