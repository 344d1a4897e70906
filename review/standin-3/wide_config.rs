//! The configuration grows by many routes, twice. Each must be acknowledged and read back.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cell::config;
use crate::cell::Cell;
use crate::cell::Record;
use crate::http::Json;
use crate::http::Message;
use crate::Verdict;

/// Time for the first configuration.
const START: Duration = Duration::from_secs(20);
/// `AckMs` of the pages, with 3 ms more for each route.
fn ack_time(routes: usize) -> Duration {
    Duration::from_millis(4_000 + 3 * routes as u64)
}
/// Largest dose of the site file.
const STEP: usize = 1_968;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let cell = Cell::start(record, 1, 0);
    let put = |version: u64, further: usize, within: Duration| {
        let answer = cell.order("POST", "/Config.Put", &config(version, further), within);
        answer.as_ref().map_or(0, Message::status)
    };
    if put(1, 240, START) != 200 {
        return Verdict::NotRun("no configuration is acknowledged".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    // Without the disruption the configuration changes as often, by time-outs and a few routes.
    let step = if trouble { STEP } else { 2 };
    let (mut version, mut acknowledged) = (1, 1);
    let mut missed = Vec::new();
    for growth in 1..=2 {
        let further = 240 + growth * step;
        version += 3;
        let began = Instant::now();
        let status = put(version, further, ack_time(further));
        let took = began.elapsed();
        record.line(&format!(
            "version {version}, {} routes: {status} after {} ms",
            further + 1,
            took.as_millis()
        ));
        if status == 200 {
            acknowledged = version;
        } else {
            missed.push(format!(
                "version {version} with {} routes has no ack after {} ms (last status {status})",
                further + 1,
                took.as_millis()
            ));
        }
        thread::sleep(Duration::from_secs(3));
    }
    let read = cell.order("GET", "/Config.Get", "", Duration::from_secs(6));
    let held = read
        .and_then(|m| Json::parse(&m.body))
        .and_then(|b| b.get("Version").number());
    record.line(&format!(
        "read back: version {held:?}, newest acknowledged {acknowledged}"
    ));
    if held != Some(acknowledged) {
        return Verdict::Broken(format!("read back {held:?}, acknowledged {acknowledged}"));
    }
    if missed.is_empty() {
        Verdict::Held(format!("version {version} is acknowledged and read back"))
    } else {
        Verdict::Broken(missed.join("; "))
    }
}
