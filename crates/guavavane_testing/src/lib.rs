//! Runs property tests on generated values that are the same in each run.
//!
//! Bolero takes all seeds of its random engine except the first from the operating system, so
//! that two runs of a test may differ in their result. Here, the exhaustive engine of Bolero
//! enumerates a range of seeds instead, and each seed determines the random number generator that
//! produces the value of one test case. The environment variable `GUAVAVANE_SEEDS=from..until`
//! replaces the default seeds `0..count`; `until` is excluded.

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

/// Environment variable with the range of seeds to run, as `from..until`.
pub const SEED_RANGE_VARIABLE: &str = "GUAVAVANE_SEEDS";

fn seed_range(count: u64) -> Range<u64> {
    let selected = std::env::var(SEED_RANGE_VARIABLE).ok().and_then(|text| {
        let (from, until) = text.split_once("..")?;
        Some(from.parse().ok()?..until.parse().ok()?)
    });
    selected.unwrap_or(0..count)
}

/// Runs `test_case` with each of `count` seeds and the random number generator of the seed.
///
/// The seed of a failing case is printed to standard error.
pub fn for_each_seed(count: u64, test_case: impl Fn(u64, &mut ChaCha8Rng) + RefUnwindSafe) {
    check!()
        .exhaustive()
        .with_generator(seed_range(count))
        .for_each(|seed| {
            let result = catch_unwind(|| test_case(*seed, &mut ChaCha8Rng::seed_from_u64(*seed)));
            if let Err(panic) = result {
                eprintln!("failing seed: {seed}");
                resume_unwind(panic);
            }
        });
}

/// Runs `test_case` with each of `count` seeds and the value generated from the seed.
///
/// The seed of a failing case is printed to standard error.
pub fn for_each_seeded_value<G>(
    count: u64,
    generator: G,
    test_case: impl Fn(u64, G::Output) + RefUnwindSafe,
) where
    G: ValueGenerator + RefUnwindSafe,
    G::Output: Debug,
{
    for_each_seed(count, |seed, rng| {
        let mut driver = Rng::new(rng, &Options::default());
        let value = generator.generate(&mut driver);
        test_case(
            seed,
            value.expect("the generator produces a value for every seed"),
        );
    });
}

/// Runs `test_case` on `count` generated values.
///
/// The seed of a failing case is printed to standard error.
pub fn for_each_value<G>(count: u64, generator: G, test_case: impl Fn(&G::Output) + RefUnwindSafe)
where
    G: ValueGenerator + RefUnwindSafe,
    G::Output: Debug,
{
    for_each_seeded_value(count, generator, |_, value| test_case(&value));
}
