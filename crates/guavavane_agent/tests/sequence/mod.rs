//! Generated sequences that are the same in each run.
//!
//! Bolero goes through the seeds one by one; each seeds the source that a sequence is drawn
//! from. `AGENT_SEEDS=from..until` picks other seeds.

use std::ops::Range;
use std::panic::catch_unwind;
use std::panic::resume_unwind;
use std::panic::RefUnwindSafe;

use bolero::check;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn seeds(count: u64) -> Range<u64> {
    let picked = std::env::var("AGENT_SEEDS").ok().and_then(|text| {
        let (from, until) = text.split_once("..")?;
        Some(from.parse().ok()?..until.parse().ok()?)
    });
    picked.unwrap_or(0..count)
}

/// Runs `run` with `count` sources of randomness; a failure names the seed.
pub(crate) fn for_each_seed(count: u64, run: impl Fn(&mut ChaCha8Rng) + RefUnwindSafe) {
    check!()
        .exhaustive()
        .with_generator(seeds(count))
        .for_each(|seed| {
            let result = catch_unwind(|| run(&mut ChaCha8Rng::seed_from_u64(*seed)));
            if let Err(panic) = result {
                eprintln!("failing seed: {seed}");
                resume_unwind(panic);
            }
        });
}
