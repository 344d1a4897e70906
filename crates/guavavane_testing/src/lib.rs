//! Generated test values that are the same in each run.
//!
//! Bolero draws the seeds of its random engine from the operating system, all but the first, so
//! that two runs of a check may differ in their verdict. Here its exhaustive engine goes through
//! a range of seeds, and its generators draw from a source that the seed determines.
//! `GUAVAVANE_SEEDS=from..until` picks other seeds than `0..count`.

use std::fmt::Debug;
use std::ops::Range;
use std::panic::catch_unwind;
use std::panic::resume_unwind;
use std::panic::RefUnwindSafe;

use bolero::check;
use bolero::generator::bolero_generator::driver::Options;
use bolero::generator::bolero_generator::driver::Rng;
use bolero::ValueGenerator;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Environment variable that picks other seeds, as `from..until`.
pub const SEEDS_VARIABLE: &str = "GUAVAVANE_SEEDS";

fn seeds(count: u64) -> Range<u64> {
    let picked = std::env::var(SEEDS_VARIABLE).ok().and_then(|text| {
        let (from, until) = text.split_once("..")?;
        Some(from.parse().ok()?..until.parse().ok()?)
    });
    picked.unwrap_or(0..count)
}

/// Runs `run` with `count` sources of randomness; a failure names the seed.
pub fn for_each_seed(count: u64, run: impl Fn(u64, &mut ChaCha8Rng) + RefUnwindSafe) {
    check!()
        .exhaustive()
        .with_generator(seeds(count))
        .for_each(|seed| {
            let result = catch_unwind(|| run(*seed, &mut ChaCha8Rng::seed_from_u64(*seed)));
            if let Err(panic) = result {
                eprintln!("failing seed: {seed}");
                resume_unwind(panic);
            }
        });
}

/// Runs `run` on `count` generated values and the seed of each; a failure names the seed.
pub fn for_each_seeded_value<G>(
    count: u64,
    generator: G,
    run: impl Fn(u64, G::Output) + RefUnwindSafe,
) where
    G: ValueGenerator + RefUnwindSafe,
    G::Output: Debug,
{
    for_each_seed(count, |seed, random| {
        let mut driver = Rng::new(random, &Options::default());
        let value = generator.generate(&mut driver);
        run(seed, value.expect("the generator always gives a value"));
    });
}

/// Runs `run` on `count` generated values; a failure names the seed.
pub fn for_each_value<G>(count: u64, generator: G, run: impl Fn(&G::Output) + RefUnwindSafe)
where
    G: ValueGenerator + RefUnwindSafe,
    G::Output: Debug,
{
    for_each_seeded_value(count, generator, |_, value| run(&value));
}
