//! Events in the logs of one day.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::files::files_below;
use crate::files::sorted_entries;

/// Fields whose values tell the outcome of an event.
const OUTCOME_FIELDS: [&str; 3] = ["ending", "result", "reason"];

/// Event with one of its outcomes, or without one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LoggedEvent {
    /// Name of the event.
    pub name: Arc<str>,
    /// Field and value of an outcome, as logged.
    pub outcome: Option<Arc<str>>,
}

/// Number of lines of each event in the logs of one day.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DayLog {
    lines: IndexMap<LoggedEvent, usize>,
}

impl DayLog {
    /// Counts the events in a log.
    pub fn add_text(&mut self, text: &str) {
        for line in text.lines() {
            let Some(name) = field_value(line, "event") else {
                continue;
            };
            let outcomes = OUTCOME_FIELDS.iter().filter_map(|field| {
                let value = outcome_name(field_value(line, field)?);
                Some(Arc::from(format!("{field}={value}")))
            });
            for outcome in outcomes.map(Some).chain([None]) {
                let event = LoggedEvent {
                    name: Arc::from(name),
                    outcome,
                };
                *self.lines.entry(event).or_default() += 1;
            }
        }
    }

    /// Returns all events and outcomes, each with its number of lines.
    pub fn events(&self) -> impl Iterator<Item = (&LoggedEvent, usize)> {
        self.lines.iter().map(|(event, lines)| (event, *lines))
    }
}

/// Days that are counted together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DayGroup {
    /// Name of the group.
    pub name: Arc<str>,
    /// Logs of its days.
    pub days: Vec<DayLog>,
}

/// Reads a group from a folder of its name: each file in it is a day, and so is each folder.
///
/// # Errors
///
/// Fails if a file or folder can't be read.
pub fn read_group(folder: &Path) -> io::Result<DayGroup> {
    let days = sorted_entries(folder)?.into_iter().map(|path| {
        let mut day = DayLog::default();
        for file in files_below(&path)? {
            day.add_text(&String::from_utf8_lossy(&fs::read(file)?));
        }
        Ok(day)
    });
    Ok(DayGroup {
        name: Arc::from(folder.file_name().unwrap_or_default().to_string_lossy()),
        days: days.collect::<io::Result<Vec<DayLog>>>()?,
    })
}

/// Value of a field of a line in the format `name=value`, up to the next space.
fn field_value<'a>(line: &'a str, field: &str) -> Option<&'a str> {
    let is_field = |word: &&str| word.split_once('=').is_some_and(|(name, _)| name == field);
    let word = line.split(' ').find(is_field)?;
    word.split_once('=').map(|(_, value)| value)
}

/// Leading letters of a value: the variant without its contents.
fn outcome_name(value: &str) -> &str {
    let value = value.trim_start_matches('"');
    let end = value.find(|letter: char| !letter.is_alphanumeric() && letter != '_');
    &value[..end.unwrap_or(value.len())]
}
