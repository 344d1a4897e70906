//! Pairs of a passing fault and a loss, set in time.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use toml::Table;
use toml::Value;

use crate::catalogue::BorneLoss;
use crate::catalogue::CatalogueError;
use crate::catalogue::FaultCatalogue;
use crate::catalogue::FaultGroup;
use crate::catalogue::PassingFault;
use crate::day::schedule_entry;
use crate::day::DayFile;

/// Start of the passing fault, in seconds from the start of traffic.
const FAULT_START_S: f64 = 5.0;
/// Shortest and longest time between the end of the fault and the loss, in tenths of a second.
const PAUSE_DECISECONDS: RangeInclusive<u32> = 60..=140;
/// A configuration change before the fault, in seconds from the start of traffic.
const FIRST_CHANGE_S: f64 = 3.0;
/// Time from the end of a fault, or the start of a loss, to the configuration change after it.
const CHANGE_DELAY_S: f64 = 2.0;
/// Largest seed of a day: the file format has signed integers.
const SEED_LIMIT: u64 = 1 << 32;

/// All days of a catalogue. The same seed gives the same days.
pub fn generate_days(
    catalogue: &FaultCatalogue,
    seed: u64,
) -> Result<Vec<DayFile>, CatalogueError> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut names = BTreeSet::new();
    let mut days = Vec::new();
    for group in &catalogue.groups {
        for (fault, loss) in pairs_of(group) {
            let mut day = pair_day(group, fault, loss, &mut rng);
            if !names.insert(day.name.clone()) {
                return Err(CatalogueError::DuplicateName(day.name));
            }
            day.closing = closing_of(group, days.len());
            days.push(day);
        }
    }
    Ok(days)
}

fn pairs_of(group: &FaultGroup) -> impl Iterator<Item = (&PassingFault, &BorneLoss)> {
    let losses = || group.losses.iter();
    group
        .passing
        .iter()
        .flat_map(move |fault| losses().map(move |loss| (fault, loss)))
}

fn pair_day(
    group: &FaultGroup,
    fault: &PassingFault,
    loss: &BorneLoss,
    rng: &mut ChaCha8Rng,
) -> DayFile {
    let name: Arc<str> = format!("{}-{}-then-{}", group.name, fault.name, loss.name).into();
    let mut day = DayFile::new(name, rng.random_range(0..SEED_LIMIT), &group.mix);
    let fault_end_s = FAULT_START_S + fault.for_s;
    let pause_s = f64::from(rng.random_range(PAUSE_DECISECONDS)) / 10.0;
    let loss_start_s = fault_end_s + pause_s;
    let at_fault = |entry| schedule_entry(entry, FAULT_START_S, Some(fault.for_s));
    let at_loss = |entry| schedule_entry(entry, loss_start_s, None);
    day.plan = config_changes([
        FIRST_CHANGE_S,
        fault_end_s + CHANGE_DELAY_S,
        loss_start_s + CHANGE_DELAY_S,
    ]);
    day.plan.extend(fault.plan.iter().map(at_fault));
    day.faults.extend(fault.faults.iter().map(at_fault));
    day.faults.extend(loss.faults.iter().map(at_loss));
    day
}

/// Every other day gets one, in turn.
fn closing_of(group: &FaultGroup, position: usize) -> Option<Table> {
    if position.is_multiple_of(2) {
        return None;
    }
    group.closings.iter().cycle().nth(position / 2).cloned()
}

fn config_changes(starts_s: [f64; 3]) -> Vec<Table> {
    let kinds = ["idle", "timeout", "idle"];
    let pairs = starts_s.into_iter().zip(kinds);
    pairs.map(|(at, how)| config_change(at, how)).collect()
}

fn config_change(at: f64, how: &str) -> Table {
    Table::from_iter([
        ("at".to_owned(), Value::Float(at)),
        ("kind".to_owned(), Value::String("config_change".into())),
        ("how".to_owned(), Value::String(how.into())),
    ])
}
