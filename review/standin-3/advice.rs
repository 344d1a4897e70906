//! Advice service that allows all workers and answers exactly in its configured time.

use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::cell::Cell;
use crate::cell::Record;
use crate::http::read_message;
use crate::http::write_response;
use crate::http::Json;

/// Times of the service, as a queue's configuration names them.
#[derive(Clone, Copy)]
pub struct AdviceService {
    pub decision_ms: u64,
    pub interval_ms: u64,
    pub validity_ms: u64,
}

/// Time of day in milliseconds.
pub fn time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Whether a ticket is valid for a worker now. A ticket tells its worker and its last millisecond.
pub fn is_valid(ticket: &str, worker: &str) -> bool {
    let mut fields = ticket.split('/');
    let is_of_worker = fields.next() == Some(worker);
    let last_ms = fields.next().and_then(|text| text.parse::<u64>().ok());
    is_of_worker && last_ms.is_some_and(|last_ms| time_ms() <= last_ms)
}

impl AdviceService {
    /// Fields of a queue with this service.
    pub fn fields(&self) -> String {
        let Self {
            decision_ms,
            interval_ms,
            validity_ms,
        } = self;
        format!(
            ",\"Advice\":{{\"DecisionMs\":{decision_ms},\"IntervalMs\":{interval_ms},\"ValidityMs\":{validity_ms}}}"
        )
    }

    /// Serves the cell; returns whether its address is free.
    pub fn start(self, cell: &Cell, record: &Record) -> bool {
        let Ok(listener) = TcpListener::bind(cell.advice()) else {
            return false;
        };
        let record = record.clone();
        // One call at a time for each calling machine; only the leader calls.
        let turn = Arc::new(Mutex::new(()));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, turn) = (record.clone(), Arc::clone(&turn));
                thread::spawn(move || self.answer(stream, &turn, &record));
            }
        });
        true
    }

    fn answer(self, mut stream: TcpStream, turn: &Mutex<()>, record: &Record) {
        let mut buffer = Vec::new();
        while let Some(message) = read_message(&mut stream, &mut buffer) {
            let body = Json::parse(&message.body).unwrap_or(Json::Null);
            let workers: Vec<String> = match body.get("Workers") {
                Json::List(workers) => workers.iter().map(|w| w.text().to_owned()).collect(),
                _ => Vec::new(),
            };
            let phase = body.get("Phase").text().to_owned();
            record.line(&format!("asked about {phase}: {}", workers.join(" ")));
            let rows: Vec<String> = {
                let _turn = turn.lock().unwrap();
                let count = workers.len() as u64;
                thread::sleep(Duration::from_millis(
                    self.decision_ms + self.interval_ms * count,
                ));
                let last_ms = time_ms() + self.validity_ms;
                let row = |worker: &String| format!("[\"{worker}\",\"{worker}/{last_ms}\"]");
                workers.iter().map(row).collect()
            };
            record.line(&format!(
                "advice for {phase}: {} workers allowed",
                rows.len()
            ));
            let text = format!("{{\"Good\":[{}]}}", rows.join(","));
            if !write_response(&mut stream, 200, &text) {
                return;
            }
        }
    }
}
