//! The incarnation of this process.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::hash::Hasher;
use std::process;

use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::IncarnationId;

/// Draws a number for this run of the process from the system's randomness.
pub fn draw_incarnation() -> IncarnationId {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(process::id());
    hasher.write_u64(BootClock.now().as_micros());
    IncarnationId(hasher.finish())
}
