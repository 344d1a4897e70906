//! A day file: timed disruptions and the traffic beside them.

use std::sync::Arc;

use serde::Serialize;
use toml::Table;
use toml::Value;

/// Zones of a day; the platform replaces each placeholder by one of its own.
const ZONE_PLACEHOLDERS: [&str; 3] = ["@z0", "@z1", "@z2"];
/// Callers in each zone.
const CLIENTS_PER_ZONE: i64 = 10;
/// Requests per second in each zone.
const REQUESTS_PER_SECOND: f64 = 2.0;

/// A day, in the order of fields of its file.
#[derive(Debug, Serialize)]
pub struct DayFile {
    /// Shown in reports.
    pub name: Arc<str>,
    slot: &'static str,
    /// Decides whatever the day leaves open.
    pub seed: u64,
    /// Final fault.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub closing: Option<Table>,
    /// Planned work.
    pub plan: Vec<Table>,
    /// Unplanned disruptions.
    pub faults: Vec<Table>,
    traffic: Vec<ZoneTraffic>,
}

#[derive(Debug, Serialize)]
struct ZoneTraffic {
    zone: &'static str,
    mix: Table,
    per_s: f64,
    clients: i64,
    users: i64,
}

impl DayFile {
    /// A day without disruptions.
    #[must_use]
    pub fn new(name: Arc<str>, seed: u64, mix: &Table) -> Self {
        let traffic = ZONE_PLACEHOLDERS.map(|zone| ZoneTraffic {
            zone,
            mix: mix.clone(),
            per_s: REQUESTS_PER_SECOND,
            clients: CLIENTS_PER_ZONE,
            users: 1,
        });
        Self {
            name,
            slot: "trouble",
            seed,
            closing: None,
            plan: Vec::new(),
            faults: Vec::new(),
            traffic: traffic.into(),
        }
    }

    /// The text of the file.
    pub fn render(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }
}

/// The entry with its start moved by `start_s` and, if it has no duration, this one.
#[must_use]
pub fn schedule_entry(entry: &Table, start_s: f64, for_s: Option<f64>) -> Table {
    let offset_s = entry.get("at").and_then(Value::as_float).unwrap_or(0.0);
    let mut entry = entry.clone();
    entry.insert("at".into(), Value::Float(start_s + offset_s));
    if let Some(for_s) = for_s {
        entry.entry("for_s").or_insert(Value::Float(for_s));
    }
    entry
}
