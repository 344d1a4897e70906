//! Stand-in of the advice service: answers one call after the other, in turn.

use std::collections::HashMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::read_request;
use crate::http::write_response;
use crate::json::Json;
use crate::worker::Record;

pub const DECISION_MS: u64 = 150;
pub const INTERVAL_MS: u64 = 25;
pub const VALIDITY_MS: u64 = 3_000;
const WAITING_MAX: u64 = 32;

/// Tickets that were issued, by step and worker, with their ends.
#[derive(Default)]
pub struct Tickets(Mutex<HashMap<(String, String, String), Instant>>);

impl Tickets {
    pub fn allows(&self, step: &str, worker: &str, ticket: &str) -> bool {
        let key = (step.to_owned(), worker.to_owned(), ticket.to_owned());
        self.0
            .lock()
            .unwrap()
            .get(&key)
            .is_some_and(|until| Instant::now() < *until)
    }
}

/// Turns of the calls: the number of the next call to come and of the one that is served.
#[derive(Default)]
struct Turns {
    turns: Mutex<(u64, u64)>,
    served: Condvar,
}

pub fn start(
    address: SocketAddr,
    record: &Arc<Record>,
    tickets: &Arc<Tickets>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let turns = Arc::new(Turns::default());
    let (record, tickets) = (Arc::clone(record), Arc::clone(tickets));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (turns, record, tickets) = (
                Arc::clone(&turns),
                Arc::clone(&record),
                Arc::clone(&tickets),
            );
            thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let _ = writer.set_nodelay(true);
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    let (status, body) = advise(&request.body, &turns, &record, &tickets);
                    if write_response(&mut writer, status, &body).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

fn advise(body: &str, turns: &Turns, record: &Record, tickets: &Tickets) -> (u16, String) {
    let parsed = Json::parse(body);
    let step = parsed
        .as_ref()
        .and_then(|body| body.text("Phase"))
        .map(str::to_owned);
    let workers = parsed
        .as_ref()
        .and_then(|body| body.get("Workers").cloned());
    let (Some(step), Some(Json::List(workers))) = (step, workers) else {
        return (400, String::new());
    };
    let mut state = turns.turns.lock().unwrap();
    if state.0 - state.1 >= WAITING_MAX {
        record.line(format!("advice on {step}: 429"));
        return (429, String::new());
    }
    let turn = state.0;
    state.0 += 1;
    record.line(format!(
        "advice on {step} is asked, {} calls before it",
        turn - state.1
    ));
    while state.1 != turn {
        state = turns.served.wait(state).unwrap();
    }
    drop(state);
    thread::sleep(Duration::from_millis(
        DECISION_MS + INTERVAL_MS * workers.len() as u64,
    ));
    let until = Instant::now() + Duration::from_millis(VALIDITY_MS);
    let mut good = Vec::new();
    for worker in &workers {
        let Json::Text(worker) = worker else {
            continue;
        };
        let ticket = format!("t{turn}-{worker}");
        good.push(format!("[\"{worker}\",\"{ticket}\"]"));
        let key = (step.clone(), worker.clone(), ticket);
        tickets.0.lock().unwrap().insert(key, until);
    }
    record.line(format!(
        "advice on {step} is given for {} workers",
        good.len()
    ));
    turns.turns.lock().unwrap().1 += 1;
    turns.served.notify_all();
    (
        200,
        format!(
            "{{\"Good\":[{}],\"ValidityMs\":{VALIDITY_MS}}}",
            good.join(",")
        ),
    )
}
