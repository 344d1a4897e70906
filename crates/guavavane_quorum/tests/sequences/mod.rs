//! Generated sequences that are the same in each run.
//!
//! Bolero draws the seeds of its random engine from the operating system, so that two runs may
//! differ in their verdict. Here its exhaustive engine goes through the seeds, and its
//! generators draw from a seeded source. `QUORUM_SEEDS=from..until` picks other seeds.

use std::fmt::Debug;
use std::ops::Range;
use std::panic::RefUnwindSafe;

use bolero::check;
use bolero::generator::bolero_generator::driver::Options;
use bolero::generator::bolero_generator::driver::Rng;
use bolero::ValueGenerator;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn seeds(count: u64) -> Range<u64> {
    let picked = std::env::var("QUORUM_SEEDS").ok().and_then(|text| {
        let (from, until) = text.split_once("..")?;
        Some(from.parse().ok()?..until.parse().ok()?)
    });
    picked.unwrap_or(0..count)
}

/// Runs `run` on `count` generated values; a failure names the seed.
pub(crate) fn for_each_value<G>(
    count: u64,
    generator: G,
    run: impl Fn(u64, G::Output) + RefUnwindSafe,
) where
    G: ValueGenerator + RefUnwindSafe,
    G::Output: Debug,
{
    check!()
        .exhaustive()
        .with_generator(seeds(count))
        .for_each(|seed| {
            let random = ChaCha8Rng::seed_from_u64(*seed);
            let mut driver = Rng::new(random, &Options::default());
            let value = generator.generate(&mut driver);
            run(*seed, value.expect("the generator always gives a value"));
        });
}
