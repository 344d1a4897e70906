//! A gang on a queue with advice that needs more workers than one question to the advice service names.

use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cell::advised_config;
use crate::cell::Record;
use crate::http::read_message;
use crate::http::write_response;
use crate::http::Json;
use crate::late_deadline::start_configured_cell;
use crate::late_deadline::wait_for;
use crate::Verdict;

const DECISION_MS: u64 = 100;
const INTERVAL_MS: u64 = 150;
const VALIDITY_MS: u64 = 2_000;
const WORKERS: usize = 11;
/// Members of the gang; two of them fit on one worker.
const MEMBERS: usize = 10;
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);

/// Advice service: allows all workers, after `DecisionMs` and `IntervalMs` for each.
fn serve_advice(listener: TcpListener, record: Record) {
    for stream in listener.incoming().flatten() {
        let record = record.clone();
        thread::spawn(move || answer(stream, &record));
    }
}

fn answer(mut stream: TcpStream, record: &Record) {
    let mut buffer = Vec::new();
    while let Some(message) = read_message(&mut stream, &mut buffer) {
        let body = Json::parse(&message.body).unwrap_or(Json::Null);
        let workers: Vec<String> = match body.get("Workers") {
            Json::List(workers) => workers.iter().map(|w| w.text().to_owned()).collect(),
            _ => Vec::new(),
        };
        let count = workers.len() as u64;
        thread::sleep(Duration::from_millis(DECISION_MS + INTERVAL_MS * count));
        let phase = body.get("Phase").text().to_owned();
        record.line(&format!("advice for {phase}: {}", workers.join(" ")));
        let rows: Vec<String> = workers
            .iter()
            .map(|worker| format!("[\"{worker}\",\"t-{worker}-{phase}\"]"))
            .collect();
        if !write_response(
            &mut stream,
            200,
            &format!("{{\"Good\":[{}]}}", rows.join(",")),
        ) {
            return;
        }
    }
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let advice = format!(
        ",\"Advice\":{{\"DecisionMs\":{DECISION_MS},\"IntervalMs\":{INTERVAL_MS},\"ValidityMs\":{VALIDITY_MS}}}"
    );
    let config = advised_config(1, 5, &advice);
    let (cell, workers, history) = match start_configured_cell(record, WORKERS, &config) {
        Ok(started) => started,
        Err(verdict) => return verdict,
    };
    let Ok(listener) = TcpListener::bind(cell.advice()) else {
        return Verdict::NotRun("the address of the advice service is taken".to_owned());
    };
    let advice_record = record.clone();
    thread::spawn(move || serve_advice(listener, advice_record));
    let id = "5c0e7a21d94b3601";
    let (spec, gang) = if trouble {
        (format!("ms=1500 cpu=7000 gang={MEMBERS}"), ",\"Gang\":true")
    } else {
        ("ms=1500 cpu=7000".to_owned(), "")
    };
    let body = format!(
        "{{\"Spec\":\"{spec}\",\"Phases\":[{{\"Count\":{MEMBERS},\"Cpu\":7000,\"MemMb\":1024,\"EstimateMs\":1500{gang}}}]}}"
    );
    if !cell.submit(id, &body) {
        return Verdict::NotRun("the job is not accepted".to_owned());
    }
    let began = Instant::now();
    let mut state = String::new();
    let within = FINISH + Duration::from_secs(26);
    let is_completed = wait_for(within, || {
        thread::sleep(Duration::from_millis(480));
        state = cell.state(id);
        state == "completed"
    });
    let runs = history.lock().unwrap().len();
    for worker in &workers {
        worker.stop();
    }
    let took = began.elapsed().as_millis();
    if is_completed {
        Verdict::Held(format!(
            "the job is completed after {took} ms, with {runs} runs"
        ))
    } else {
        Verdict::Broken(format!(
            "LOST: after {took} ms with all workers free, the job is shown as {state}; {runs} runs"
        ))
    }
}
