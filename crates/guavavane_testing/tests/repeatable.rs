//! Two runs see the same values.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

use std::sync::Mutex;

use bolero::produce;

use guavavane_testing::for_each_value;

fn values() -> Vec<Vec<u16>> {
    let seen = Mutex::new(Vec::new());
    for_each_value(50, produce::<Vec<u16>>(), |value| {
        seen.lock().unwrap().push(value.clone());
    });
    seen.into_inner().unwrap()
}

#[test]
fn values_repeat() {
    let first = values();
    assert_eq!(first.len(), 50);
    assert_eq!(first, values());
    assert_ne!(first[0], first[1]);
}
