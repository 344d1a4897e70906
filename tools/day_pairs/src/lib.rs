//! Day files that pair a fault which passes with a later loss that the system has to bear.
//!
//! The catalogue lists faults, losses and final faults by group. The generator pairs each fault of
//! a group with each of its losses, sets the times, and adds configuration changes after both. A
//! loss strikes after the fault has passed, so that only a part that did not recover is missing.

pub mod catalogue;
pub mod day;
pub mod pairs;
