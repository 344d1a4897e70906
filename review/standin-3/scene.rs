//! Cells with workers, for the cases.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cell::Cell;
use crate::cell::Record;
use crate::cell::ZONES;
use crate::http::Message;
use crate::worker::History;
use crate::worker::Worker;
use crate::Verdict;

/// Cell with its workers and their runs.
pub struct Scene {
    pub cell: Cell,
    pub workers: Vec<Worker>,
    pub history: History,
}

/// Starts a cell with a worker for each of the kinds and puts a configuration in force.
pub fn start(record: &Record, kinds: &[&'static str], config: &str) -> Result<Scene, Verdict> {
    let cell = Cell::start(record, 1, kinds.len());
    let history: History = Arc::new(Mutex::new(Vec::new()));
    let workers: Vec<Worker> = kinds
        .iter()
        .enumerate()
        .map(|(n, kind)| {
            let id = format!("i-7f3a91{n:02x}");
            let rack = format!("r1-{}", n / 3);
            let (address, agent) = (cell.worker(n), cell.agent(n));
            let worker = Worker::new(&id, ZONES[n % 3], &rack, address, agent, &history, record);
            worker.with_kind(kind)
        })
        .collect();
    for worker in &workers {
        worker.start();
    }
    let answer = cell.order("POST", "/Config.Put", config, Duration::from_secs(20));
    if answer.as_ref().map_or(0, Message::status) != 200 {
        return Err(Verdict::NotRun(
            "no configuration is acknowledged".to_owned(),
        ));
    }
    thread::sleep(Duration::from_secs(3));
    Ok(Scene {
        cell,
        workers,
        history,
    })
}

impl Scene {
    /// Number of runs of a job so far, and of those that go on.
    pub fn runs_of(&self, id: &str) -> (usize, usize) {
        let history = self.history.lock().unwrap();
        let runs = history.iter().filter(|run| run.task.starts_with(id));
        let going_on = runs.clone().filter(|run| run.ended_ms.is_none());
        (runs.clone().count(), going_on.count())
    }

    /// Ends the workers and the processes.
    pub fn end(self) {
        for worker in &self.workers {
            worker.stop();
        }
    }
}

/// Waits until a condition is met; returns whether it was.
pub fn wait_for(within: Duration, mut is_met: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if is_met() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
