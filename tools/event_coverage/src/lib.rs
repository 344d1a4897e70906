//! Shows which log events, and which outcomes of them, played days have reached.
//!
//! [`source_event`] finds the events that sources can write, [`day_log`] counts those that the logs
//! of a day contain, and [`coverage_table`] compares both, by group of days. An event that no day
//! reaches marks a state that no test with whole processes has entered.

pub mod coverage_table;
pub mod day_log;
pub mod files;
pub mod source_event;
