//! Tests that two runs of a property test see the same values.
//!
//! Values that depend on the operating system's randomness would let a test pass or fail by
//! chance.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

use std::sync::Mutex;

use bolero::produce;

use guavavane_testing::for_each_value;

fn generated_values() -> Vec<Vec<u16>> {
    let seen = Mutex::new(Vec::new());
    for_each_value(50, produce::<Vec<u16>>(), |value| {
        seen.lock().unwrap().push(value.clone());
    });
    seen.into_inner().unwrap()
}

#[test]
fn two_runs_see_the_same_values() {
    let first = generated_values();
    assert_eq!(first.len(), 50);
    assert_eq!(first, generated_values());
    assert_ne!(first[0], first[1]);
}
