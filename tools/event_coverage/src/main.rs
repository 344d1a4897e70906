//! `event_coverage --sources PATH... GROUP...`: prints a table of the events that the sources can
//! write, with the days and lines that reached each. A group is a folder with one log file, or one
//! folder of log files, for each day.

use std::path::PathBuf;

use anyhow::Context;
use bpaf::Bpaf;
use event_coverage::coverage_table::CoverageTable;
use event_coverage::day_log::read_group;
use event_coverage::source_event::read_events;

/// Prints which log events of the sources played days have reached
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct CoverageOptions {
    /// File or folder of sources
    #[bpaf(argument("PATH"), some("name at least one folder of sources"))]
    sources: Vec<PathBuf>,
    /// Folder with one log file, or one folder of log files, for each day
    #[bpaf(positional("GROUP"), some("name at least one folder of logs"))]
    groups: Vec<PathBuf>,
}

fn main() -> anyhow::Result<()> {
    let options = coverage_options().run();
    let events = read_events(&options.sources)?;
    let mut groups = Vec::new();
    for folder in &options.groups {
        groups.push(read_group(folder).with_context(|| folder.display().to_string())?);
    }
    print!("{}", CoverageTable::new(&events, &groups));
    Ok(())
}
