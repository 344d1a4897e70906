//! Table of the events of the sources and the days that reached them.

use std::fmt;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::day_log::DayGroup;
use crate::day_log::LoggedEvent;
use crate::source_event::SourceEvents;
use crate::source_event::SourcePlace;

/// Days and lines of an event in one group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventCount {
    /// Days that reached the event.
    pub days: usize,
    /// Lines of the event in all days.
    pub lines: usize,
}

/// Event, or outcome of an event, with its count in each group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoverageRow {
    /// Event and outcome.
    pub event: LoggedEvent,
    /// Counts in the order of the groups.
    pub counts: Vec<EventCount>,
    /// Places that write the event.
    pub places: Vec<SourcePlace>,
}

impl CoverageRow {
    /// Days of all groups that reached the event.
    pub fn days(&self) -> usize {
        self.counts.iter().map(|count| count.days).sum()
    }
}

/// Coverage of all events by all groups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoverageTable {
    groups: Vec<(Arc<str>, usize)>,
    /// Rows, those that the fewest days reached first; outcomes follow their event.
    pub rows: Vec<CoverageRow>,
}

impl CoverageTable {
    /// Compares the events of the sources with groups of days.
    pub fn new(sources: &SourceEvents, groups: &[DayGroup]) -> Self {
        let counts: Vec<_> = groups.iter().map(count_events).collect();
        let mut rows: Vec<CoverageRow> = row_events(sources, &counts)
            .into_iter()
            .map(|event| CoverageRow {
                counts: counts
                    .iter()
                    .map(|group| group.get(&event).copied().unwrap_or_default())
                    .collect(),
                places: sources[&event.name].clone(),
                event,
            })
            .collect();
        let event_days: IndexMap<Arc<str>, usize> = rows
            .iter()
            .filter(|row| row.event.outcome.is_none())
            .map(|row| (Arc::clone(&row.event.name), row.days()))
            .collect();
        rows.sort_by_cached_key(|row| (event_days[&row.event.name], row.event.clone()));
        let groups = groups.iter();
        Self {
            groups: groups
                .map(|group| (Arc::clone(&group.name), group.days.len()))
                .collect(),
            rows,
        }
    }

    /// Events that no day reached.
    pub fn missed(&self) -> impl Iterator<Item = &CoverageRow> {
        self.rows.iter().filter(|row| row.days() == 0)
    }

    fn event_count(&self) -> usize {
        let events = self.rows.iter().filter(|row| row.event.outcome.is_none());
        events.count()
    }
}

/// Events of the sources, and the outcomes of them that a group contains.
fn row_events(
    sources: &SourceEvents,
    counts: &[IndexMap<LoggedEvent, EventCount>],
) -> IndexSet<LoggedEvent> {
    let events = sources.keys().map(|name| LoggedEvent {
        name: Arc::clone(name),
        outcome: None,
    });
    let logged = counts.iter().flat_map(IndexMap::keys);
    let outcomes = logged.filter(|event| sources.contains_key(&event.name));
    events.chain(outcomes.cloned()).collect()
}

fn count_events(group: &DayGroup) -> IndexMap<LoggedEvent, EventCount> {
    let mut counts = IndexMap::<LoggedEvent, EventCount>::new();
    for (event, lines) in group.days.iter().flat_map(|day| day.events()) {
        let count = counts.entry(event.clone()).or_default();
        count.days += 1;
        count.lines += lines;
    }
    counts
}

impl fmt::Display for CoverageTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "| Event |")?;
        for (name, days) in &self.groups {
            write!(formatter, " {name}, {days} days |")?;
        }
        writeln!(formatter, " Source |")?;
        writeln!(formatter, "|---|{}---|", "---|".repeat(self.groups.len()))?;
        for row in &self.rows {
            writeln!(formatter, "{row}")?;
        }
        let (events, missed) = (self.event_count(), self.missed().count());
        writeln!(formatter, "\n{events} events, {missed} reached by no day")
    }
}

impl fmt::Display for CoverageRow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.event.outcome {
            None => write!(formatter, "| `{}` |", self.event.name)?,
            Some(outcome) => write!(formatter, "| `{}` {outcome} |", self.event.name)?,
        }
        for count in &self.counts {
            write!(formatter, " {} ({}) |", count.days, count.lines)?;
        }
        let is_event = self.event.outcome.is_none();
        let places = self.places.iter().filter(|_| is_event);
        let places: Vec<String> = places.map(ToString::to_string).collect();
        write!(formatter, " {} |", places.join(" "))
    }
}
