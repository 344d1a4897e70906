//! Log events that sources can write.

use std::fmt;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use anyhow::Context;
use indexmap::IndexMap;

use crate::files::files_below;

/// Text in front of the name of an event.
const EVENT_FIELD: &str = "event = \"";
/// Macros whose events are left out: played days don't log at these levels.
const OMITTED_MACROS: [&str; 2] = ["debug", "trace"];

/// Line of a source file that writes an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourcePlace {
    /// Path of the file.
    pub file: PathBuf,
    /// Line number in the file, from 1.
    pub line: usize,
}

impl fmt::Display for SourcePlace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.file.display(), self.line)
    }
}

/// Places that write each event, by its name.
pub type SourceEvents = IndexMap<Arc<str>, Vec<SourcePlace>>;

/// Finds the events of all Rust files in the given files and folders.
///
/// # Errors
///
/// Fails if a file or folder can't be read.
pub fn read_events(paths: &[PathBuf]) -> anyhow::Result<SourceEvents> {
    let mut events = SourceEvents::new();
    for path in paths {
        let files = files_below(path).with_context(|| path.display().to_string())?;
        for file in files.iter().filter(|file| is_source(file)) {
            let source = fs::read_to_string(file).with_context(|| file.display().to_string())?;
            for (name, line) in find_events(&source) {
                let place = SourcePlace {
                    file: file.clone(),
                    line,
                };
                events.entry(Arc::from(name)).or_default().push(place);
            }
        }
    }
    Ok(events)
}

/// Finds the names of the events in a source, with their lines.
pub fn find_events(source: &str) -> Vec<(&str, usize)> {
    let fields = source.match_indices(EVENT_FIELD);
    let events = fields.filter_map(|(position, field)| {
        let (before, name) = (&source[..position], &source[position + field.len()..]);
        let (name, _) = name.split_once('"')?;
        let is_omitted = OMITTED_MACROS.contains(&macro_name(before)?);
        (!is_omitted).then(|| (name, before.matches('\n').count() + 1))
    });
    events.collect()
}

/// Name of the macro whose argument list has just been opened.
fn macro_name(before: &str) -> Option<&str> {
    let call = before.trim_end().strip_suffix("!(")?;
    call.rsplit(|letter: char| !letter.is_alphanumeric() && letter != '_')
        .next()
}

fn is_source(file: &Path) -> bool {
    file.extension().is_some_and(|extension| extension == "rs")
}
